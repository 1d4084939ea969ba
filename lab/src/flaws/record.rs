//! What earlier runs of the command found, so that one that was stopped can be gone on with.

use std::collections::HashMap;
use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::Path;

/// Faults that were noticed, by key: the same tree, the same fault and the same test.
pub(super) struct Record {
    noticed: HashMap<String, u64>,
    file: File,
}

impl Record {
    /// Opens the record. Without `resume` what it holds is dropped.
    pub(super) fn open(path: &Path, resume: bool) -> Result<Record, String> {
        let failed = |error: std::io::Error| format!("{}: {error}", path.display());
        let text = match std::fs::read_to_string(path) {
            Ok(text) if resume => text,
            _ => String::new(),
        };
        let mut options = OpenOptions::new();
        let options = options.create(true).write(true).append(resume).truncate(!resume);
        Ok(Record { noticed: read(&text), file: options.open(path).map_err(failed)? })
    }

    /// Seconds that it took, where the fault was noticed before.
    pub(super) fn noticed(&self, key: &str) -> Option<u64> {
        self.noticed.get(key).copied()
    }

    /// Notes that a fault was noticed.
    pub(super) fn add(&mut self, key: &str, seconds: u64, name: &str) -> Result<(), String> {
        writeln!(self.file, "{key} {seconds} {name}").map_err(|error| error.to_string())
    }
}

/// Lines of key, seconds and name. A line that was cut off in the middle counts for nothing.
pub(super) fn read(text: &str) -> HashMap<String, u64> {
    let whole = text.split_inclusive('\n').filter(|line| line.ends_with('\n'));
    whole
        .filter_map(|line| {
            let mut words = line.split(' ');
            Some((words.next()?.to_owned(), words.next()?.parse().ok()?))
        })
        .collect()
}
