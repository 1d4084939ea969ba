//! A copy of the checkout in which faults are planted, so that the checkout itself may be changed meanwhile.

use super::{Fault, Verdict};
use std::collections::BTreeSet;
use std::fs;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

/// Beginnings of the paths that no test's outcome depends on: they are not part of a tree's digest.
const WITHOUT_WEIGHT: [&str; 3] = ["docs/", "lab/flaws/", "journal/"];

/// How long a test may take. One that takes longer is ended and has noticed nothing.
const LONGEST_TEST: Duration = Duration::from_secs(900);

/// What `timeout` returns where it had to end its command.
const TIMED_OUT: i32 = 124;

/// A copy of the tree as it is checked in and changed, and the build of it.
pub(super) struct TreeCopy {
    folder: PathBuf,
    jobs: usize,
    digest: u64,
}

impl TreeCopy {
    /// Brings the copy up to date with the checkout. A file that is as it was keeps its time, so that cargo builds nothing anew for it.
    pub(super) fn new(jobs: usize) -> Result<TreeCopy, String> {
        let folder = std::env::current_dir().map_err(|error| error.to_string())?.join("target/flaws");
        let copy = TreeCopy { folder, jobs, digest: 0 };
        let listed =
            output(Command::new("git").args(["ls-files", "--cached", "--others", "--exclude-standard"]))?;
        let files: BTreeSet<PathBuf> =
            listed.lines().map(PathBuf::from).filter(|file| file.is_file()).collect();
        remove_others(&copy.tree(), &copy.tree(), &files)?;
        let mut hasher = DefaultHasher::new();
        for file in &files {
            let content = fs::read(file).map_err(|error| named(file, &error))?;
            bring_up_to_date(&content, &copy.tree().join(file))?;
            if !WITHOUT_WEIGHT.iter().any(|start| file.starts_with(start)) {
                (file, content).hash(&mut hasher);
            }
        }
        output(Command::new("git").arg("init").arg("--quiet").arg(copy.tree()))?;
        Ok(TreeCopy { digest: hasher.finish(), ..copy })
    }

    /// What the outcome of planting this fault depends on: the tree, the fault and its test.
    pub(super) fn key(&self, fault: &Fault) -> String {
        let mut hasher = DefaultHasher::new();
        (self.digest, &fault.diff, &fault.test).hash(&mut hasher);
        format!("{:016x}", hasher.finish())
    }

    /// Where what was built and printed last for a fault is kept.
    pub(super) fn output_file(&self, name: &str) -> PathBuf {
        let name: String = name.chars().map(|c| if c.is_alphanumeric() { c } else { '-' }).collect();
        self.folder.join("output").join(format!("{name}.txt"))
    }

    pub(super) fn record_file(&self) -> PathBuf {
        self.folder.join("record.txt")
    }

    /// Whether the test passes on the tree as it is. Without that its failure under a fault would show nothing.
    pub(super) fn run_without_fault(&self, test: &str) -> Verdict {
        match self.run(test, "without-a-fault") {
            Ran::Passed => Verdict::Noticed,
            Ran::NoTest => Verdict::NoTest,
            Ran::NotBuilt | Ran::Failed | Ran::TookTooLong => Verdict::FailsWithout,
        }
    }

    /// Runs a test that plants its fault itself and passes where it notices.
    pub(super) fn run_marked(&self, fault: &Fault) -> Verdict {
        match self.run(&fault.test, &fault.name) {
            Ran::Passed => Verdict::Noticed,
            Ran::Failed => Verdict::NotNoticed,
            Ran::NotBuilt => Verdict::DoesNotBuild,
            Ran::NoTest => Verdict::NoTest,
            Ran::TookTooLong => Verdict::TookTooLong,
        }
    }

    /// Plants a patch, runs its test and takes the patch out again.
    pub(super) fn try_patch(&self, fault: &Fault, diff: &str) -> Verdict {
        if !self.apply(diff, false) {
            return Verdict::DoesNotApply;
        }
        let verdict = match self.run(&fault.test, &fault.name) {
            Ran::Failed => Verdict::Noticed,
            Ran::Passed => Verdict::NotNoticed,
            Ran::NotBuilt => Verdict::DoesNotBuild,
            Ran::NoTest => Verdict::NoTest,
            Ran::TookTooLong => Verdict::TookTooLong,
        };
        match self.apply(diff, true) {
            true => verdict,
            false => Verdict::DoesNotApply,
        }
    }

    fn tree(&self) -> PathBuf {
        self.folder.join("tree")
    }

    fn apply(&self, diff: &str, reverse: bool) -> bool {
        let file = self.folder.join("planted.patch");
        if fs::write(&file, diff).is_err() {
            return false;
        }
        let mut command = Command::new("git");
        command.arg("apply").args(reverse.then_some("--reverse")).arg(&file).current_dir(self.tree());
        output(&mut command).is_ok()
    }

    /// Builds and runs a test command in the copy and keeps what it printed.
    fn run(&self, test: &str, name: &str) -> Ran {
        let words: Vec<&str> = test.split_whitespace().collect();
        let end = words.iter().position(|word| *word == "--").unwrap_or(words.len());
        let (options, rest) = words.split_at(end);
        let Some((program, options)) = options.split_first() else { return Ran::NotBuilt };
        let mut build = Command::new(program);
        build.args(options).arg("--no-run");
        if self.carry_out(&mut build, name).is_none_or(|(code, _)| code != Some(0)) {
            return Ran::NotBuilt;
        }
        let mut test = Command::new("timeout");
        test.arg(LONGEST_TEST.as_secs().to_string()).arg(program).args(options).args(rest);
        match self.carry_out(&mut test, name) {
            Some((Some(0), printed)) if ran_a_test(&printed) => Ran::Passed,
            Some((Some(0), _)) => Ran::NoTest,
            Some((Some(TIMED_OUT), _)) => Ran::TookTooLong,
            _ => Ran::Failed,
        }
    }

    /// The exit code of a command run in the copy, and what it printed.
    fn carry_out(&self, command: &mut Command, name: &str) -> Option<(Option<i32>, String)> {
        command.env("CARGO_BUILD_JOBS", self.jobs.to_string());
        command.env("CARGO_TARGET_DIR", self.folder.join("target")).current_dir(self.tree());
        let done = command.output().ok()?;
        let printed = String::from_utf8_lossy(&done.stdout).into_owned();
        let file = self.output_file(name);
        let _ = fs::create_dir_all(file.parent().unwrap_or(&self.folder));
        let _ = fs::write(file, format!("{}{printed}", String::from_utf8_lossy(&done.stderr)));
        Some((done.status.code(), printed))
    }
}

/// What came of a test command.
enum Ran {
    NotBuilt,
    Passed,
    Failed,
    /// It succeeded and ran nothing.
    NoTest,
    TookTooLong,
}

/// Whether the summary of any test program tells of a test that passed.
pub(super) fn ran_a_test(printed: &str) -> bool {
    let mut results = printed.lines().filter_map(|line| line.strip_prefix("test result: ok. "));
    results.any(|counts| !counts.starts_with("0 passed"))
}

fn remove_others(tree: &Path, folder: &Path, files: &BTreeSet<PathBuf>) -> Result<(), String> {
    let Ok(entries) = fs::read_dir(folder) else { return Ok(()) };
    for path in entries.filter_map(|entry| Some(entry.ok()?.path())) {
        let Ok(inside) = path.strip_prefix(tree) else { continue };
        if inside.starts_with(".git") {
            continue;
        }
        if path.is_dir() {
            remove_others(tree, &path, files)?;
        } else if !files.contains(inside) {
            fs::remove_file(&path).map_err(|error| named(&path, &error))?;
        }
    }
    Ok(())
}

fn bring_up_to_date(content: &[u8], to: &Path) -> Result<(), String> {
    if fs::read(to).is_ok_and(|present| present == content) {
        return Ok(());
    }
    let folder = to.parent().unwrap_or(to);
    let written = fs::create_dir_all(folder).and_then(|()| fs::write(to, content));
    written.map_err(|error| named(to, &error))
}

fn named(file: &Path, error: &std::io::Error) -> String {
    format!("{}: {error}", file.display())
}

fn output(command: &mut Command) -> Result<String, String> {
    let done = command.output().map_err(|error| error.to_string())?;
    match done.status.success() {
        true => Ok(String::from_utf8_lossy(&done.stdout).into_owned()),
        false => Err(String::from_utf8_lossy(&done.stderr).into_owned()),
    }
}
