//! An in-memory file system with injected faults and simulated power loss.
//!
//! It gives the guarantees of a real one: after a power loss a file holds the content of its last sync, each later
//! write is kept, lost or torn, and each directory entry changed since the last directory sync is independently old or
//! new.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::path::{Path, PathBuf};
use std::rc::Rc;

use switchhill_record_log::{FileSystem, LogFile};

type FileId = usize;

/// Operations that fail, each with the given probability in percent.
#[derive(Clone, Copy, Default)]
pub struct Faults {
    pub write: u32,
    pub sync: u32,
    pub rename: u32,
    pub sync_directory: u32,
    /// Total bytes that all files may hold; `None` is unlimited.
    pub capacity: Option<usize>,
}

enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Length(usize),
}

#[derive(Default)]
struct Content {
    durable: Vec<u8>,
    /// Content seen by readers before a power loss.
    current: Vec<u8>,
    /// Changes since the last sync.
    unsynced: Vec<Change>,
}

struct State {
    random: fastrand::Rng,
    faults: Faults,
    files: Vec<Content>,
    names: BTreeMap<PathBuf, FileId>,
    durable_names: BTreeMap<PathBuf, FileId>,
}

/// A handle to the file system; clones share it.
#[derive(Clone)]
pub struct FaultyFileSystem(Rc<RefCell<State>>);

/// An open file of a [`FaultyFileSystem`].
pub struct FaultyFile {
    state: Rc<RefCell<State>>,
    id: FileId,
}

impl FaultyFileSystem {
    pub fn new(seed: u64) -> FaultyFileSystem {
        FaultyFileSystem(Rc::new(RefCell::new(State {
            random: fastrand::Rng::with_seed(seed),
            faults: Faults::default(),
            files: Vec::new(),
            names: BTreeMap::new(),
            durable_names: BTreeMap::new(),
        })))
    }

    pub fn set_faults(&self, faults: Faults) {
        self.0.borrow_mut().faults = faults;
    }

    /// Keeps or loses each unsynced change independently; with `all`, every unsynced change is lost.
    pub fn lose_power(&self, all: bool) {
        let mut state = self.0.borrow_mut();
        let state = &mut *state;
        for file in &mut state.files {
            file.lose_power(&mut state.random, all);
        }
        let changed: Vec<PathBuf> = state.names.keys().chain(state.durable_names.keys()).cloned().collect();
        for name in changed {
            let now = state.names.get(&name).copied();
            if all || state.random.bool() {
                continue;
            }
            match now {
                Some(id) => state.durable_names.insert(name, id),
                None => state.durable_names.remove(&name),
            };
        }
        state.names = state.durable_names.clone();
    }

    /// Overwrites bytes of a file, both current and durable, without going through the log.
    pub fn corrupt(&self, path: &Path, offset: usize, bytes: &[u8]) {
        let mut state = self.0.borrow_mut();
        let id = state.names[path];
        let file = &mut state.files[id];
        write_into(&mut file.current, offset, bytes);
        write_into(&mut file.durable, offset, bytes);
    }

    pub fn names(&self) -> Vec<PathBuf> {
        self.0.borrow().names.keys().cloned().collect()
    }
}

impl Content {
    fn lose_power(&mut self, random: &mut fastrand::Rng, all: bool) {
        let unsynced = std::mem::take(&mut self.unsynced);
        for change in unsynced {
            let kept = !all && random.bool();
            match change {
                Change::Write { offset, bytes } if kept => {
                    let torn = if random.bool() { bytes.len() } else { random.usize(0..=bytes.len()) };
                    write_into(&mut self.durable, offset, &bytes[..torn]);
                }
                Change::Length(length) if kept => self.durable.resize(length, 0),
                _ => {}
            }
        }
        self.current = self.durable.clone();
    }
}

impl State {
    fn fails(&mut self, percent: u32) -> bool {
        self.random.u32(0..100) < percent
    }

    fn used(&self) -> usize {
        self.names.values().map(|&id| self.files[id].current.len()).sum()
    }
}

fn write_into(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    content[offset..end].copy_from_slice(bytes);
}

fn injected_error(operation: &str) -> Error {
    Error::other(format!("injected failure of {operation}"))
}

impl FileSystem for FaultyFileSystem {
    type File = FaultyFile;

    fn create_directory(&self, _directory: &Path) -> Result<()> {
        Ok(())
    }

    fn open(&self, path: &Path) -> Result<FaultyFile> {
        let mut state = self.0.borrow_mut();
        let next = state.files.len();
        let id = *state.names.entry(path.to_path_buf()).or_insert(next);
        if id == next {
            state.files.push(Content::default());
        }
        Ok(FaultyFile { state: self.0.clone(), id })
    }

    fn exists(&self, path: &Path) -> Result<bool> {
        Ok(self.0.borrow().names.contains_key(path))
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        let mut state = self.0.borrow_mut();
        let percent = state.faults.rename;
        if state.fails(percent) {
            return Err(injected_error("rename"));
        }
        let id = state.names.remove(from).ok_or(ErrorKind::NotFound)?;
        state.names.insert(to.to_path_buf(), id);
        Ok(())
    }

    fn remove(&self, path: &Path) -> Result<()> {
        self.0.borrow_mut().names.remove(path).ok_or(ErrorKind::NotFound)?;
        Ok(())
    }

    fn sync_directory(&self, _directory: &Path) -> Result<()> {
        let mut state = self.0.borrow_mut();
        let percent = state.faults.sync_directory;
        if state.fails(percent) {
            return Err(injected_error("directory sync"));
        }
        state.durable_names = state.names.clone();
        Ok(())
    }
}

impl LogFile for FaultyFile {
    fn read_all(&mut self) -> Result<Vec<u8>> {
        Ok(self.state.borrow().files[self.id].current.clone())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> Result<()> {
        let mut state = self.state.borrow_mut();
        let percent = state.faults.write;
        let room = state.faults.capacity.map(|capacity| capacity.saturating_sub(state.used()));
        let fits = room.is_none_or(|room| bytes.len() <= room);
        let fails = !fits || state.fails(percent);
        let written = if fails { state.random.usize(0..=bytes.len()) } else { bytes.len() };
        let written = written.min(room.unwrap_or(written));
        let file = &mut state.files[self.id];
        let bytes = bytes[..written].to_vec();
        write_into(&mut file.current, offset as usize, &bytes);
        file.unsynced.push(Change::Write { offset: offset as usize, bytes });
        if fails {
            return Err(Error::from(ErrorKind::StorageFull));
        }
        Ok(())
    }

    fn set_length(&mut self, length: u64) -> Result<()> {
        let mut state = self.state.borrow_mut();
        let file = &mut state.files[self.id];
        file.current.resize(length as usize, 0);
        file.unsynced.push(Change::Length(length as usize));
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        let mut state = self.state.borrow_mut();
        let percent = state.faults.sync;
        if state.fails(percent) {
            return Err(injected_error("sync"));
        }
        let id = self.id;
        let file = &mut state.files[id];
        file.durable = file.current.clone();
        file.unsynced.clear();
        let own_names: Vec<PathBuf> =
            state.names.iter().filter(|(_, &named)| named == id).map(|(name, _)| name.clone()).collect();
        for name in own_names {
            state.durable_names.entry(name).or_insert(id);
        }
        Ok(())
    }
}
