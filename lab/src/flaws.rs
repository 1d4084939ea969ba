//! The command that plants each known fault and tells whether its test notices.
//!
//! Faults that a test plants itself are marked above the test by a comment `Planted fault: WHAT`; the test passes where it
//! notices. Faults that only a change of the source can plant are patches in `lab/flaws`, whose first line names the test:
//! `# test: cargo test -p CRATE --test FILE NAME`. Each is applied to a copy of the tree. The test must pass there without
//! the patch and fail with it.

mod marked;
mod record;
mod report;
#[cfg(test)]
mod tests;
mod tree_copy;

use record::Record;
use report::Row;
use std::collections::HashMap;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::Instant;
use tree_copy::TreeCopy;

/// Start of a patch's first line.
const TEST_LINE: &str = "# test: ";

/// Folder of the patches.
const PATCHES: &str = "lab/flaws";

/// What came of a planted fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    Noticed,
    NotNoticed,
    TookTooLong,
    DoesNotApply,
    DoesNotBuild,
    NoTest,
    /// The test fails without the fault, so that its failure with it shows nothing.
    FailsWithout,
}

impl Verdict {
    fn text(self) -> &'static str {
        match self {
            Verdict::Noticed => "noticed",
            Verdict::NotNoticed => "NOT noticed",
            Verdict::TookTooLong => "NOT noticed (the test did not end)",
            Verdict::DoesNotApply => "BROKEN (does not apply)",
            Verdict::DoesNotBuild => "BROKEN (does not build)",
            Verdict::NoTest => "BROKEN (no such test)",
            Verdict::FailsWithout => "BROKEN (the test fails without the fault)",
        }
    }
}

/// A known fault and the command of the test that must notice it.
struct Fault {
    name: String,
    test: String,
    /// The change that plants it; none where the test plants it itself.
    diff: Option<String>,
}

/// What is asked of the command.
pub struct Wanted<'a> {
    /// Part of the names of the faults that are wanted; empty for all.
    pub only: &'a str,
    /// List them and run nothing.
    pub list: bool,
    /// Compilers at a time.
    pub jobs: usize,
    /// Leave out what an earlier run found noticed on the same tree.
    pub resume: bool,
}

/// Plants each wanted fault and prints a table. True where all were noticed.
pub fn run(wanted: &Wanted) -> Result<bool, String> {
    let mut faults = marked::marked_tests(Path::new("."));
    faults.extend(read_patches()?);
    faults.retain(|fault| fault.name.contains(wanted.only) || fault.test.contains(wanted.only));
    println!("{}", report::HEAD);
    if wanted.list {
        for Fault { name, test, .. } in faults {
            println!("{}", Row { name, test, verdict: None, seconds: 0, earlier: false }.line());
        }
        return Ok(true);
    }
    let begun = Instant::now();
    let mut planting = Planting::new(wanted)?;
    planting.run_tests_without_fault(&faults);
    let mut rows = Vec::new();
    for fault in faults {
        let row = planting.row(fault)?;
        println!("{}", row.line());
        rows.push(row);
    }
    println!("\n{}", report::summary(&rows, begun.elapsed().as_secs()));
    Ok(rows.iter().all(|row| row.verdict == Some(Verdict::Noticed)))
}

/// A run of the command.
struct Planting {
    copy: TreeCopy,
    record: Record,
    /// What came of the tests without a fault, by command.
    without_fault: HashMap<String, Verdict>,
}

impl Planting {
    fn new(wanted: &Wanted) -> Result<Planting, String> {
        let copy = TreeCopy::new(wanted.jobs)?;
        let record = Record::open(&copy.record_file(), wanted.resume)?;
        Ok(Planting { copy, record, without_fault: HashMap::new() })
    }

    fn row(&mut self, fault: Fault) -> Result<Row, String> {
        let key = self.copy.key(&fault);
        let earlier = self.record.noticed(&key);
        let begun = Instant::now();
        let verdict = if earlier.is_some() { Verdict::Noticed } else { self.plant(&fault) };
        let seconds = earlier.unwrap_or(begun.elapsed().as_secs());
        if earlier.is_none() && verdict == Verdict::Noticed {
            self.record.add(&key, seconds, &fault.name)?;
        }
        let Fault { name, test, .. } = fault;
        Ok(Row { name, test, verdict: Some(verdict), seconds, earlier: earlier.is_some() })
    }

    fn plant(&self, fault: &Fault) -> Verdict {
        match (&fault.diff, self.without_fault.get(&fault.test)) {
            (Some(_), Some(&broken)) if broken != Verdict::Noticed => broken,
            (Some(diff), _) => self.copy.try_patch(fault, diff),
            (None, _) => self.copy.run_marked(fault),
        }
    }

    /// Runs the tests of the patches that are still to be tried on the tree as it is, all before the first patch: each patch that
    /// comes and goes has its crate built anew.
    fn run_tests_without_fault(&mut self, faults: &[Fault]) {
        for fault in faults {
            let left_out = fault.diff.is_none() || self.record.noticed(&self.copy.key(fault)).is_some();
            if left_out || self.without_fault.contains_key(&fault.test) {
                continue;
            }
            let begun = Instant::now();
            let verdict = self.copy.run_without_fault(&fault.test);
            let passed = if verdict == Verdict::Noticed { "passes" } else { verdict.text() };
            eprintln!("without a fault, {} s: `{}` {passed}", begun.elapsed().as_secs(), fault.test);
            self.without_fault.insert(fault.test.clone(), verdict);
        }
    }
}

fn read_patches() -> Result<Vec<Fault>, String> {
    let entries = fs::read_dir(PATCHES).map_err(|error| format!("{PATCHES}: {error}"))?;
    let mut paths: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "patch"));
    paths.sort();
    paths.iter().map(|path| read_patch(path)).collect()
}

fn read_patch(path: &Path) -> Result<Fault, String> {
    let diff = fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let test = diff.lines().next().and_then(|line| line.strip_prefix(TEST_LINE));
    let test =
        test.ok_or_else(|| format!("{}: the first line is not `{TEST_LINE}COMMAND`", path.display()))?;
    let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    Ok(Fault { name, test: test.trim().to_owned(), diff: Some(diff) })
}
