//! A virtual file system that refuses writes, stops at any operation and loses power.
//!
//! After a loss of power a file holds what its last sync covered and of each later write all, a part or nothing; each name
//! that was made, renamed or removed since its folder's last sync is changed or not, by itself.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use switchhill_record_log::{FileSystem, LogFile};

#[derive(Debug)]
enum Change {
    Write { offset: usize, bytes: Vec<u8> },
    Length(usize),
}

#[derive(Debug, Default)]
struct Content {
    /// What a reader sees while the power is on.
    current: Vec<u8>,
    /// Length of `current` that the last sync covered, where only appends followed.
    durable: Vec<u8>,
    unsynced: Vec<Change>,
}

#[derive(Debug, Default)]
struct State {
    files: Vec<Content>,
    names: BTreeMap<PathBuf, usize>,
    durable_names: BTreeMap<PathBuf, usize>,
    refuses: bool,
    /// A planted fault: syncs of the folder do nothing.
    ignores_folder_syncs: bool,
    /// Operations left until everything fails; none for no end.
    left: Option<u32>,
}

/// A handle to the file system; clones share it.
#[derive(Debug, Clone, Default)]
pub struct VirtualFileSystem(Rc<RefCell<State>>);

/// An open file.
#[derive(Debug)]
pub struct VirtualFile {
    state: Rc<RefCell<State>>,
    id: usize,
}

impl VirtualFileSystem {
    /// Whether writes are refused from now on, as on a full disk.
    pub fn set_refuses(&self, refuses: bool) {
        self.0.borrow_mut().refuses = refuses;
    }

    /// Syncs of the folder do nothing after the first, as no file system may.
    pub fn ignore_folder_syncs(&self) {
        self.0.borrow_mut().ignores_folder_syncs = true;
    }

    /// All operations after these fail.
    pub fn stop_after(&self, operations: u32) {
        self.0.borrow_mut().left = Some(operations);
    }

    /// The power fails; `takes_synced` loses half of what was synced too, as no file system may.
    pub fn lose_power(&self, random: &mut fastrand::Rng, takes_synced: bool) {
        let state = &mut *self.0.borrow_mut();
        for file in &mut state.files {
            file.lose_power(random);
            if takes_synced {
                file.durable.truncate(file.durable.len() / 2);
                file.current.truncate(file.durable.len());
            }
        }
        let changed: Vec<PathBuf> = state.names.keys().chain(state.durable_names.keys()).cloned().collect();
        for name in changed {
            if random.bool() {
                continue;
            }
            match state.names.get(&name).copied() {
                Some(id) => state.durable_names.insert(name, id),
                None => state.durable_names.remove(&name),
            };
        }
        state.names = state.durable_names.clone();
        state.left = None;
    }
}

impl Content {
    fn lose_power(&mut self, random: &mut fastrand::Rng) {
        for change in std::mem::take(&mut self.unsynced) {
            let kept = random.bool();
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

    fn sync(&mut self) {
        for change in self.unsynced.drain(..) {
            match change {
                Change::Write { offset, bytes } => write_into(&mut self.durable, offset, &bytes),
                Change::Length(length) => self.durable.resize(length, 0),
            }
        }
    }
}

impl State {
    /// Counts an operation; whether it can be carried out.
    fn operate(&mut self) -> Result<()> {
        let Some(left) = self.left.as_mut() else { return Ok(()) };
        *left = left.checked_sub(1).ok_or_else(|| Error::other("the machine has no power"))?;
        Ok(())
    }

    fn write(&mut self) -> Result<()> {
        self.operate()?;
        if self.refuses {
            return Err(Error::from(ErrorKind::StorageFull));
        }
        Ok(())
    }
}

fn write_into(content: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    let end = offset + bytes.len();
    if content.len() < end {
        content.resize(end, 0);
    }
    content[offset..end].copy_from_slice(bytes);
}

impl FileSystem for VirtualFileSystem {
    type File = VirtualFile;

    fn create_directory(&self, _folder: &Path) -> Result<()> {
        self.0.borrow_mut().operate()
    }

    fn open(&self, path: &Path) -> Result<VirtualFile> {
        let mut state = self.0.borrow_mut();
        state.operate()?;
        let next = state.files.len();
        let id = *state.names.entry(path.to_path_buf()).or_insert(next);
        if id == next {
            state.files.push(Content::default());
        }
        Ok(VirtualFile { state: Rc::clone(&self.0), id })
    }

    fn exists(&self, path: &Path) -> Result<bool> {
        Ok(self.0.borrow().names.contains_key(path))
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        let mut state = self.0.borrow_mut();
        state.operate()?;
        let id = state.names.remove(from).ok_or(ErrorKind::NotFound)?;
        state.names.insert(to.to_path_buf(), id);
        Ok(())
    }

    fn remove(&self, path: &Path) -> Result<()> {
        let mut state = self.0.borrow_mut();
        state.operate()?;
        state.names.remove(path).ok_or(ErrorKind::NotFound)?;
        Ok(())
    }

    fn sync_directory(&self, _folder: &Path) -> Result<()> {
        let mut state = self.0.borrow_mut();
        state.operate()?;
        if !state.ignores_folder_syncs {
            state.durable_names = state.names.clone();
        }
        Ok(())
    }
}

impl LogFile for VirtualFile {
    fn read_all(&mut self) -> Result<Vec<u8>> {
        Ok(self.state.borrow().files[self.id].current.clone())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> Result<()> {
        let mut state = self.state.borrow_mut();
        state.write()?;
        let file = &mut state.files[self.id];
        write_into(&mut file.current, offset as usize, bytes);
        file.unsynced.push(Change::Write { offset: offset as usize, bytes: bytes.to_vec() });
        Ok(())
    }

    fn set_length(&mut self, length: u64) -> Result<()> {
        let mut state = self.state.borrow_mut();
        state.operate()?;
        let file = &mut state.files[self.id];
        file.current.resize(length as usize, 0);
        file.unsynced.push(Change::Length(length as usize));
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        let mut state = self.state.borrow_mut();
        state.operate()?;
        state.files[self.id].sync();
        Ok(())
    }
}
