//! An in-memory file system whose every loss of power can be tried, one outcome after the other.
//!
//! Stricter than the one that draws its faults: a name lasts only once its folder has been synced, also that of a new
//! file, and each change of a name is kept or lost by itself.
#![allow(dead_code, reason = "each test file uses some of this")]

use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use switchhill_record_log::{FileSystem, LogFile};

type FileId = usize;

/// The choices of one case; [`Choices::advance`] goes on to the next case until all have been tried.
#[derive(Default)]
pub struct Choices {
    taken: Vec<(usize, usize)>,
    next: usize,
    /// Whether writes are torn in their middle only, so that there are fewer cases.
    coarse: bool,
}

impl Choices {
    /// Choices among fewer cases: writes are torn in their middle only.
    pub fn coarse() -> Choices {
        Choices { coarse: true, ..Choices::default() }
    }

    /// Whether there are to be fewer cases.
    pub fn is_coarse(&self) -> bool {
        self.coarse
    }

    /// One of `count` alternatives.
    pub fn choose(&mut self, count: usize) -> usize {
        if self.next == self.taken.len() {
            self.taken.push((0, count));
        }
        let (choice, known) = self.taken[self.next];
        assert_eq!(known, count, "the case is not the same each time");
        self.next += 1;
        choice
    }

    /// Goes on to the next case; false after the last one.
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

/// What goes wrong with one operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// The process ends just before it.
    Ends,
    /// It is refused. Half of a write has been made.
    Refused,
    /// It is refused although it has been carried out.
    DoneButRefused,
}

/// A planted fault: a step that the log leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// The folder is never synced.
    NoFolderSync,
    /// The replacement gets its name before it is synced.
    RenameBeforeSync,
    /// Appended records are not synced.
    NoFileSync,
    /// What is read at the start is not synced.
    NoSyncAtStart,
    /// Bytes behind the last valid record are not cut off.
    TailKept,
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
    trouble: Option<(usize, Trouble)>,
    ended: bool,
    flaw: Option<Flaw>,
}

/// A handle to the file system; clones share it.
#[derive(Clone, Default)]
pub struct PowerFileSystem(Arc<Mutex<State>>);

/// An open file.
pub struct PowerFile {
    state: Arc<Mutex<State>>,
    id: FileId,
    replacement: bool,
    synced_before: bool,
}

impl PowerFileSystem {
    pub fn new(flaw: Option<Flaw>) -> PowerFileSystem {
        PowerFileSystem(Arc::new(Mutex::new(State { flaw, ..State::default() })))
    }

    /// Plans trouble for the operation with this number, counted from now.
    pub fn plan(&self, trouble: Option<(usize, Trouble)>) {
        let mut state = self.0.lock().unwrap();
        state.operations = 0;
        state.trouble = trouble;
    }

    /// Operations since the last plan.
    pub fn operations(&self) -> usize {
        self.0.lock().unwrap().operations
    }

    /// Whether the process has ended.
    pub fn ended(&self) -> bool {
        self.0.lock().unwrap().ended
    }

    /// Starts a new process; the disk is as it was.
    pub fn restart(&self) {
        let mut state = self.0.lock().unwrap();
        state.ended = false;
        state.trouble = None;
    }

    /// A copy of the disk as it is now, for a process of its own.
    pub fn snapshot(&self) -> PowerFileSystem {
        let mut state = self.0.lock().unwrap().clone();
        state.trouble = None;
        state.ended = false;
        PowerFileSystem(Arc::new(Mutex::new(state)))
    }

    /// Loses power: what was not synced is there, missing or torn as `choices` say.
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

    /// Each change is missing, whole, or torn: its beginning up to any byte, or its second half alone.
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
    /// Counts an operation; the trouble planned for it.
    fn begin(&mut self) -> Result<Option<Trouble>> {
        if self.ended {
            return Err(ended());
        }
        let number = self.operations;
        self.operations += 1;
        match self.trouble {
            Some((planned, Trouble::Ends)) if planned == number => {
                self.ended = true;
                Err(ended())
            }
            Some((planned, trouble)) if planned == number => Ok(Some(trouble)),
            _ => Ok(None),
        }
    }

    fn name(&mut self, name: &Path, id: Option<FileId>) {
        match id {
            Some(id) => self.names.insert(name.to_path_buf(), id),
            None => self.names.remove(name),
        };
        self.unsynced_names.push((name.to_path_buf(), id));
    }
}

fn ended() -> Error {
    Error::other("the process has ended")
}

fn refused() -> Error {
    Error::from(ErrorKind::StorageFull)
}

/// Carries out an operation that happens as a whole or not at all.
fn carry_out(state: &mut State, operation: impl FnOnce(&mut State)) -> Result<()> {
    match state.begin()? {
        None => operation(state),
        Some(Trouble::DoneButRefused) => {
            operation(state);
            return Err(refused());
        }
        Some(_) => return Err(refused()),
    }
    Ok(())
}

impl FileSystem for PowerFileSystem {
    type File = PowerFile;

    fn create_directory(&self, _folder: &Path) -> Result<()> {
        Ok(())
    }

    fn open(&self, path: &Path) -> Result<PowerFile> {
        let mut state = self.0.lock().unwrap();
        if !state.names.contains_key(path) {
            carry_out(&mut state, |state| {
                state.files.push(Content::default());
                let id = state.files.len() - 1;
                state.name(path, Some(id));
            })?;
        }
        let replacement = path.extension().is_some_and(|extension| extension == "new");
        Ok(PowerFile { state: self.0.clone(), id: state.names[path], replacement, synced_before: false })
    }

    fn exists(&self, path: &Path) -> Result<bool> {
        let state = self.0.lock().unwrap();
        if state.ended {
            return Err(ended());
        }
        Ok(state.names.contains_key(path))
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        let mut state = self.0.lock().unwrap();
        let id = *state.names.get(from).ok_or(ErrorKind::NotFound)?;
        carry_out(&mut state, |state| {
            state.name(to, Some(id));
            state.name(from, None);
        })
    }

    fn remove(&self, path: &Path) -> Result<()> {
        let mut state = self.0.lock().unwrap();
        if !state.names.contains_key(path) {
            return Err(ErrorKind::NotFound.into());
        }
        carry_out(&mut state, |state| state.name(path, None))
    }

    fn sync_directory(&self, _folder: &Path) -> Result<()> {
        let mut state = self.0.lock().unwrap();
        carry_out(&mut state, |state| {
            if state.flaw != Some(Flaw::NoFolderSync) {
                state.durable_names = state.names.clone();
                state.unsynced_names.clear();
            }
        })
    }
}

impl PowerFile {
    fn sync_is_left_out(&self, flaw: Option<Flaw>) -> bool {
        match flaw {
            Some(Flaw::RenameBeforeSync) => self.replacement && !self.synced_before,
            Some(Flaw::NoFileSync) => !self.replacement && self.synced_before,
            Some(Flaw::NoSyncAtStart) => !self.replacement && !self.synced_before,
            _ => false,
        }
    }
}

impl LogFile for PowerFile {
    fn read_all(&mut self) -> Result<Vec<u8>> {
        Ok(self.state.lock().unwrap().files[self.id].current.clone())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> Result<()> {
        let mut state = self.state.lock().unwrap();
        let trouble = state.begin()?;
        let written = if trouble == Some(Trouble::Refused) { bytes.len() / 2 } else { bytes.len() };
        let change = Change::Write { offset: offset as usize, bytes: bytes[..written].to_vec() };
        state.files[self.id].change(change);
        trouble.map_or(Ok(()), |_| Err(refused()))
    }

    fn set_length(&mut self, length: u64) -> Result<()> {
        let mut state = self.state.lock().unwrap();
        let id = self.id;
        carry_out(&mut state, |state| {
            if state.flaw != Some(Flaw::TailKept) {
                state.files[id].change(Change::Length(length as usize));
            }
        })
    }

    fn sync(&mut self) -> Result<()> {
        let state = self.state.clone();
        let mut state = state.lock().unwrap();
        let left_out = self.sync_is_left_out(state.flaw);
        let id = self.id;
        carry_out(&mut state, |state| {
            if !left_out {
                state.files[id].sync();
            }
        })?;
        self.synced_before = true;
        Ok(())
    }
}
