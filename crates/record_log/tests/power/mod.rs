//! An in-memory file system that enumerates every outcome of a power loss.
//!
//! Stricter than the randomized file system in `fault`: a directory entry, also that of a new file, is durable only
//! after a sync of its directory, and each unsynced change of an entry is kept or lost independently.
#![allow(dead_code, reason = "each test file uses a part of this module")]

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use switchhill_record_log::{FileSystem, LogFile};

type FileId = usize;

/// The choices made in one case; [`Choices::advance`] enumerates the cases in depth-first order.
#[derive(Default)]
pub struct Choices {
    taken: Vec<(usize, usize)>,
    next: usize,
    /// Whether writes are torn at their midpoint only, which reduces the number of cases.
    coarse: bool,
}

impl Choices {
    /// Enumerates fewer cases: writes are torn at their midpoint only.
    pub fn coarse() -> Choices {
        Choices { coarse: true, ..Choices::default() }
    }

    /// Whether writes are torn at their midpoint only.
    pub fn is_coarse(&self) -> bool {
        self.coarse
    }

    /// Chooses one of `count` alternatives.
    pub fn choose(&mut self, count: usize) -> usize {
        if self.next == self.taken.len() {
            self.taken.push((0, count));
        }
        let (choice, known) = self.taken[self.next];
        assert_eq!(known, count, "the test is not deterministic: the number of alternatives changed");
        self.next += 1;
        choice
    }

    /// Advances to the next case; returns false after the last one.
    pub fn advance(&mut self) -> bool {
        self.next = 0;
        while let Some((choice, count)) = self.taken.pop() {
            if choice + 1 < count {
                self.taken.push((choice + 1, count));
                return true;
            }
        }
        false
    }

    /// The alternatives taken, for a failure message.
    pub fn taken(&self) -> Vec<usize> {
        self.taken.iter().map(|(choice, _)| *choice).collect()
    }
}

/// A fault injected into one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process crashes just before the operation.
    Crash,
    /// The operation fails. A write has stored half of its bytes.
    Error,
    /// The operation reports an error although it was completed.
    ErrorAfterCompletion,
}

/// A bug injected into the log: a step that it omits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    /// The directory is never synced.
    NoDirectorySync,
    /// The replacement file is renamed before it is synced.
    RenameBeforeSync,
    /// Appended records are not synced.
    NoFileSync,
    /// The content read on open is not synced.
    NoSyncOnOpen,
    /// Bytes after the last valid record are not truncated.
    TailNotTruncated,
}

#[derive(Clone)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Length(usize),
}

#[derive(Clone, Default)]
struct Content {
    durable: Vec<u8>,
    current: Vec<u8>,
    unsynced: Vec<Change>,
}

#[derive(Clone, Default)]
struct State {
    files: Vec<Content>,
    names: BTreeMap<PathBuf, FileId>,
    durable_names: BTreeMap<PathBuf, FileId>,
    unsynced_names: Vec<(PathBuf, Option<FileId>)>,
    operations: usize,
    fault: Option<(usize, Fault)>,
    crashed: bool,
    bug: Option<InjectedBug>,
}

/// A handle to the file system; clones share it.
#[derive(Clone, Default)]
pub struct PowerLossFileSystem(Arc<Mutex<State>>);

/// An open file.
pub struct PowerLossFile {
    state: Arc<Mutex<State>>,
    id: FileId,
    replacement: bool,
    synced_before: bool,
}

impl PowerLossFileSystem {
    pub fn new(bug: Option<InjectedBug>) -> PowerLossFileSystem {
        PowerLossFileSystem(Arc::new(Mutex::new(State { bug, ..State::default() })))
    }

    /// Injects a fault into the operation with this index, counted from this call.
    pub fn inject_fault(&self, fault: Option<(usize, Fault)>) {
        let mut state = self.0.lock().unwrap();
        state.operations = 0;
        state.fault = fault;
    }

    /// Number of operations since the last call of [`PowerLossFileSystem::inject_fault`].
    pub fn operations(&self) -> usize {
        self.0.lock().unwrap().operations
    }

    /// Whether the process has crashed.
    pub fn crashed(&self) -> bool {
        self.0.lock().unwrap().crashed
    }

    /// Starts a new process on the unchanged disk.
    pub fn restart(&self) {
        let mut state = self.0.lock().unwrap();
        state.crashed = false;
        state.fault = None;
    }

    /// Returns an independent copy of the current disk state.
    pub fn snapshot(&self) -> PowerLossFileSystem {
        let mut state = self.0.lock().unwrap().clone();
        state.fault = None;
        state.crashed = false;
        PowerLossFileSystem(Arc::new(Mutex::new(state)))
    }

    /// Simulates a power loss: `choices` decide whether each unsynced change is kept, lost or torn.
    pub fn lose_power(&self, choices: &mut Choices) {
        let mut state = self.0.lock().unwrap();
        for file in &mut state.files {
            file.lose_power(choices);
        }
        for (name, id) in std::mem::take(&mut state.unsynced_names) {
            if choices.choose(2) == 0 {
                continue;
            }
            match id {
                Some(id) => state.durable_names.insert(name, id),
                None => state.durable_names.remove(&name),
            };
        }
        state.names = state.durable_names.clone();
    }
}

impl Content {
    fn apply(content: &mut Vec<u8>, change: &Change) {
        match change {
            Change::Write { offset, bytes } => {
                content.resize(content.len().max(offset + bytes.len()), 0);
                content[*offset..offset + bytes.len()].copy_from_slice(bytes);
            }
            Change::Length(length) => content.resize(*length, 0),
        }
    }

    fn change(&mut self, change: Change) {
        Content::apply(&mut self.current, &change);
        self.unsynced.push(change);
    }

    fn sync(&mut self) {
        self.durable = self.current.clone();
        self.unsynced.clear();
    }

    /// Each unsynced change is lost, kept or torn; a torn write keeps a prefix of any length or its second half.
    fn lose_power(&mut self, choices: &mut Choices) {
        for change in std::mem::take(&mut self.unsynced) {
            let kept = match change {
                Change::Write { offset, bytes } if choices.is_coarse() => match choices.choose(3) {
                    0 => continue,
                    1 => Change::Write { offset, bytes: bytes[..bytes.len() / 2].to_vec() },
                    _ => Change::Write { offset, bytes },
                },
                Change::Write { offset, bytes } => match choices.choose(bytes.len() + 2) {
                    0 => continue,
                    torn if torn <= bytes.len() => Change::Write { offset, bytes: bytes[..torn].to_vec() },
                    _ => {
                        let half = bytes.len() / 2;
                        Change::Write { offset: offset + half, bytes: bytes[half..].to_vec() }
                    }
                },
                Change::Length(_) if choices.choose(2) == 0 => continue,
                length => length,
            };
            Content::apply(&mut self.durable, &kept);
        }
        self.current = self.durable.clone();
    }
}

impl State {
    /// Counts an operation and returns the fault injected into it.
    fn begin(&mut self) -> Result<Option<Fault>> {
        if self.crashed {
            return Err(crashed());
        }
        let number = self.operations;
        self.operations += 1;
        match self.fault {
            Some((index, Fault::Crash)) if index == number => {
                self.crashed = true;
                Err(crashed())
            }
            Some((index, fault)) if index == number => Ok(Some(fault)),
            _ => Ok(None),
        }
    }

    fn set_entry(&mut self, name: &Path, id: Option<FileId>) {
        match id {
            Some(id) => self.names.insert(name.to_path_buf(), id),
            None => self.names.remove(name),
        };
        self.unsynced_names.push((name.to_path_buf(), id));
    }
}

fn crashed() -> Error {
    Error::other("the process has crashed")
}

fn storage_full() -> Error {
    Error::from(ErrorKind::StorageFull)
}

/// Runs an operation that takes effect completely or not at all.
fn run_atomic(state: &mut State, operation: impl FnOnce(&mut State)) -> Result<()> {
    match state.begin()? {
        None => operation(state),
        Some(Fault::ErrorAfterCompletion) => {
            operation(state);
            return Err(storage_full());
        }
        Some(_) => return Err(storage_full()),
    }
    Ok(())
}

impl FileSystem for PowerLossFileSystem {
    type File = PowerLossFile;

    fn create_directory(&self, _directory: &Path) -> Result<()> {
        Ok(())
    }

    fn open(&self, path: &Path) -> Result<PowerLossFile> {
        let mut state = self.0.lock().unwrap();
        if !state.names.contains_key(path) {
            run_atomic(&mut state, |state| {
                state.files.push(Content::default());
                let id = state.files.len() - 1;
                state.set_entry(path, Some(id));
            })?;
        }
        let replacement = path.extension().is_some_and(|extension| extension == "new");
        Ok(PowerLossFile { state: self.0.clone(), id: state.names[path], replacement, synced_before: false })
    }

    fn exists(&self, path: &Path) -> Result<bool> {
        let state = self.0.lock().unwrap();
        if state.crashed {
            return Err(crashed());
        }
        Ok(state.names.contains_key(path))
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        let mut state = self.0.lock().unwrap();
        let id = *state.names.get(from).ok_or(ErrorKind::NotFound)?;
        run_atomic(&mut state, |state| {
            state.set_entry(to, Some(id));
            state.set_entry(from, None);
        })
    }

    fn remove(&self, path: &Path) -> Result<()> {
        let mut state = self.0.lock().unwrap();
        if !state.names.contains_key(path) {
            return Err(ErrorKind::NotFound.into());
        }
        run_atomic(&mut state, |state| state.set_entry(path, None))
    }

    fn sync_directory(&self, _directory: &Path) -> Result<()> {
        let mut state = self.0.lock().unwrap();
        run_atomic(&mut state, |state| {
            if state.bug != Some(InjectedBug::NoDirectorySync) {
                state.durable_names = state.names.clone();
                state.unsynced_names.clear();
            }
        })
    }
}

impl PowerLossFile {
    fn omits_sync(&self, bug: Option<InjectedBug>) -> bool {
        match bug {
            Some(InjectedBug::RenameBeforeSync) => self.replacement && !self.synced_before,
            Some(InjectedBug::NoFileSync) => !self.replacement && self.synced_before,
            Some(InjectedBug::NoSyncOnOpen) => !self.replacement && !self.synced_before,
            _ => false,
        }
    }
}

impl LogFile for PowerLossFile {
    fn read_all(&mut self) -> Result<Vec<u8>> {
        Ok(self.state.lock().unwrap().files[self.id].current.clone())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> Result<()> {
        let mut state = self.state.lock().unwrap();
        let fault = state.begin()?;
        let written = if fault == Some(Fault::Error) { bytes.len() / 2 } else { bytes.len() };
        let change = Change::Write { offset: offset as usize, bytes: bytes[..written].to_vec() };
        state.files[self.id].change(change);
        fault.map_or(Ok(()), |_| Err(storage_full()))
    }

    fn set_length(&mut self, length: u64) -> Result<()> {
        let mut state = self.state.lock().unwrap();
        let id = self.id;
        run_atomic(&mut state, |state| {
            if state.bug != Some(InjectedBug::TailNotTruncated) {
                state.files[id].change(Change::Length(length as usize));
            }
        })
    }

    fn sync(&mut self) -> Result<()> {
        let state = self.state.clone();
        let mut state = state.lock().unwrap();
        let omitted = self.omits_sync(state.bug);
        let id = self.id;
        run_atomic(&mut state, |state| {
            if !omitted {
                state.files[id].sync();
            }
        })?;
        self.synced_before = true;
        Ok(())
    }
}
