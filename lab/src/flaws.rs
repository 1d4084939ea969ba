//! The command that plants each known fault and tells whether its test notices.
//!
//! Faults that a test plants itself are marked above the test by a comment `Planted fault: WHAT`; the test passes where it
//! notices. Faults that only a change of the source can plant are patches in `lab/flaws`, whose first line names the test:
//! `# test: cargo test -p CRATE --test FILE NAME`. Each is applied to a copy of the tree, and the test must fail there.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Start of a patch's first line.
const TEST_LINE: &str = "# test: ";

/// What marks a test that plants a fault itself.
const MARK: &str = "Planted fault: ";

/// Folder of the patches.
const PATCHES: &str = "lab/flaws";

/// Folders that are not searched for marked tests.
const NOT_SEARCHED: [&str; 3] = ["target", ".git", "journal"];

/// What a test said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Noticed,
    NotNoticed,
    /// The patch no longer applies, or the tree with it doesn't build.
    Broken,
}

impl Verdict {
    fn text(self) -> &'static str {
        match self {
            Verdict::Noticed => "noticed",
            Verdict::NotNoticed => "NOT noticed",
            Verdict::Broken => "BROKEN (does not apply, build or run)",
        }
    }
}

/// A fault as a patch.
struct Patch {
    name: String,
    test: String,
    diff: String,
}

/// A test that plants a fault itself.
struct Marked {
    what: String,
    package: String,
    target: Vec<String>,
    test: String,
}

/// Plants each fault whose name contains `only` and prints a table. True where all were noticed.
pub fn run(only: &str, list: bool, jobs: usize) -> Result<bool, String> {
    let patches: Vec<Patch> = read_patches()?.into_iter().filter(|patch| patch.name.contains(only)).collect();
    let marked: Vec<Marked> = marked_tests(Path::new("."))
        .into_iter()
        .filter(|marked| marked.what.contains(only) || marked.test.contains(only))
        .collect();
    println!("| planted fault | test | |\n| --- | --- | --- |");
    let mut all_noticed = true;
    for marked in &marked {
        let command = marked.command();
        let verdict = (!list).then(|| run_marked(&command, jobs));
        all_noticed &= verdict.is_none_or(|verdict| verdict == Verdict::Noticed);
        print_row(&marked.what, &command, verdict);
    }
    if patches.is_empty() {
        return Ok(all_noticed);
    }
    let copy = if list { None } else { Some(Copy::new()?) };
    for patch in &patches {
        let verdict = copy.as_ref().map(|copy| copy.try_patch(patch, jobs));
        all_noticed &= verdict.is_none_or(|verdict| verdict == Verdict::Noticed);
        print_row(&format!("{}.patch", patch.name), &patch.test, verdict);
    }
    Ok(all_noticed)
}

fn print_row(what: &str, test: &str, verdict: Option<Verdict>) {
    println!("| {what} | `{test}` | {} |", verdict.map_or("not run", Verdict::text));
}

fn read_patches() -> Result<Vec<Patch>, String> {
    let entries = fs::read_dir(PATCHES).map_err(|error| format!("{PATCHES}: {error}"))?;
    let mut paths: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "patch"));
    paths.sort();
    paths.iter().map(|path| read_patch(path)).collect()
}

fn read_patch(path: &Path) -> Result<Patch, String> {
    let diff = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let test = diff.lines().next().and_then(|line| line.strip_prefix(TEST_LINE));
    let test =
        test.ok_or_else(|| format!("{}: the first line is not `{TEST_LINE}COMMAND`", path.display()))?;
    let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(Patch { name, test: test.trim().to_owned(), diff })
}

/// A copy of the tree as it is checked in and changed, beside the build of the copies.
struct Copy {
    tree: PathBuf,
    target: PathBuf,
}

impl Copy {
    fn new() -> Result<Copy, String> {
        let folder = std::env::current_dir().map_err(|error| error.to_string())?.join("target/flaws");
        let (tree, target) = (folder.join("tree"), folder.join("target"));
        let _ = fs::remove_dir_all(&tree);
        let listed =
            output(Command::new("git").args(["ls-files", "--cached", "--others", "--exclude-standard"]))?;
        for file in listed.lines().filter(|file| !file.starts_with("journal/")) {
            copy_file(Path::new(file), &tree.join(file))?;
        }
        output(Command::new("git").arg("init").arg("--quiet").arg(&tree))?;
        Ok(Copy { tree, target })
    }

    fn try_patch(&self, patch: &Patch, jobs: usize) -> Verdict {
        if !self.apply(patch, false) {
            return Verdict::Broken;
        }
        let builds = self.cargo(&patch.test, &["--no-run"], jobs);
        let verdict = match builds && !self.cargo(&patch.test, &[], jobs) {
            true => Verdict::Noticed,
            false if builds => Verdict::NotNoticed,
            false => Verdict::Broken,
        };
        match self.apply(patch, true) {
            true => verdict,
            false => Verdict::Broken,
        }
    }

    fn apply(&self, patch: &Patch, reverse: bool) -> bool {
        let file = self.target.with_file_name("planted.patch");
        if fs::write(&file, &patch.diff).is_err() {
            return false;
        }
        let mut command = Command::new("git");
        command.arg("apply").args(reverse.then_some("--reverse")).arg(&file).current_dir(&self.tree);
        output(&mut command).is_ok()
    }

    /// Runs a test command in the copy; whether it succeeds.
    fn cargo(&self, test: &str, more: &[&str], jobs: usize) -> bool {
        let mut words = test.split_whitespace();
        let Some(program) = words.next() else { return false };
        let mut command = Command::new(program);
        let (options, rest): (Vec<&str>, Vec<&str>) = {
            let words: Vec<&str> = words.collect();
            let end = words.iter().position(|word| *word == "--").unwrap_or(words.len());
            (words[..end].to_vec(), words[end..].to_vec())
        };
        command.args(options).args(["-j", &jobs.to_string()]).args(more).args(rest);
        command.env("CARGO_TARGET_DIR", &self.target).current_dir(&self.tree);
        output(&mut command).is_ok()
    }
}

fn copy_file(from: &Path, to: &Path) -> Result<(), String> {
    if !from.is_file() {
        return Ok(());
    }
    let folder = to.parent().unwrap_or(to);
    let copied = fs::create_dir_all(folder).and_then(|()| fs::copy(from, to));
    copied.map(drop).map_err(|error| format!("{}: {error}", from.display()))
}

fn output(command: &mut Command) -> Result<String, String> {
    let done = command.output().map_err(|error| error.to_string())?;
    match done.status.success() {
        true => Ok(String::from_utf8_lossy(&done.stdout).into_owned()),
        false => Err(String::from_utf8_lossy(&done.stderr).into_owned()),
    }
}

/// A marked test passes where it notices, and must have run.
fn run_marked(command: &str, jobs: usize) -> Verdict {
    let mut words = command.split_whitespace();
    let program = words.next().unwrap_or("cargo");
    let done = output(Command::new(program).args(words).args(["-j", &jobs.to_string()]));
    match done {
        Ok(text)
            if text
                .lines()
                .any(|line| line.starts_with("test result: ok.") && !line.contains(" 0 passed")) =>
        {
            Verdict::Noticed
        }
        Ok(_) => Verdict::Broken,
        Err(_) => Verdict::NotNoticed,
    }
}

fn marked_tests(folder: &Path) -> Vec<Marked> {
    let Ok(entries) = fs::read_dir(folder) else { return Vec::new() };
    let mut paths: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    paths.sort();
    let mut found = Vec::new();
    for path in paths {
        let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
        if path.is_dir() && !NOT_SEARCHED.contains(&name.as_str()) {
            found.extend(marked_tests(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.extend(marked_in(&path));
        }
    }
    found
}

fn marked_in(path: &Path) -> Vec<Marked> {
    let text = fs::read_to_string(path).unwrap_or_default();
    let Some((package, target)) = place_of(path) else { return Vec::new() };
    let mut found = Vec::new();
    let lines: Vec<&str> = text.lines().map(str::trim_start).collect();
    for (number, line) in lines.iter().enumerate() {
        let Some(what) = line.strip_prefix("/// ").and_then(|line| line.strip_prefix(MARK)) else { continue };
        // Attributes up to the function; anything else than a test has none that names one.
        let block: Vec<&str> = lines[number..].iter().copied().take_while(|line| !line.is_empty()).collect();
        let Some(end) = block.iter().position(|line| function_name(line).is_some()) else { continue };
        let is_test = block[..end].iter().any(|line| line.starts_with("#[") && line.contains("test"));
        let Some(test) = function_name(block[end]).filter(|_| is_test) else { continue };
        let cases: Vec<String> = block[..end].iter().filter_map(|line| case_name(line)).collect();
        let what = what.trim_end_matches('.');
        let marked = |what: String, test: String| Marked {
            what,
            package: package.clone(),
            target: target.clone(),
            test,
        };
        if cases.is_empty() {
            found.push(marked(what.to_owned(), test));
            continue;
        }
        let width = if cases.len() > 9 { 2 } else { 1 };
        found.extend(cases.iter().enumerate().map(|(case, name)| {
            let number = case + 1;
            marked(name.replace('_', " "), format!("{test}::case_{number:0width$}_{name}"))
        }));
    }
    found
}

/// Name of a named case of a test.
fn case_name(line: &str) -> Option<String> {
    let rest = line.strip_prefix("#[case::")?;
    Some(rest.chars().take_while(|letter| letter.is_alphanumeric() || *letter == '_').collect())
}

fn function_name(line: &str) -> Option<String> {
    let rest = line.trim_start_matches("pub ").trim_start_matches("async ").strip_prefix("fn ")?;
    Some(rest.chars().take_while(|letter| letter.is_alphanumeric() || *letter == '_').collect())
}

/// The package of a test file and the options that choose its target.
fn place_of(path: &Path) -> Option<(String, Vec<String>)> {
    let parts: Vec<String> = path.iter().map(|part| part.to_string_lossy().into_owned()).collect();
    let parts: Vec<&str> = parts.iter().map(String::as_str).filter(|part| *part != ".").collect();
    let (package, inside) = match parts.as_slice() {
        ["crates", name, inside @ ..] => (format!("switchhill-{}", name.replace('_', "-")), inside),
        ["lab", inside @ ..] => ("switchhill-lab".to_owned(), inside),
        inside => ("switchhill".to_owned(), inside),
    };
    match inside {
        ["tests", file] => {
            Some((package, vec!["--test".to_owned(), file.trim_end_matches(".rs").to_owned()]))
        }
        ["tests", folder, ..] => Some((package, vec!["--test".to_owned(), (*folder).to_owned()])),
        ["src", ..] => Some((package, vec!["--lib".to_owned()])),
        _ => None,
    }
}

impl Marked {
    fn command(&self) -> String {
        format!("cargo test -p {} {} {}", self.package, self.target.join(" "), self.test)
    }
}
