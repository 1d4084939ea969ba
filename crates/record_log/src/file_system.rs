//! The few file operations a record log needs, behind a trait so that faults can be injected.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Folder operations of a record log.
pub trait FileSystem {
    /// An open file of this file system.
    type File: LogFile;

    /// Creates the folder, and makes its name durable, if it does not exist.
    fn create_directory(&self, folder: &Path) -> io::Result<()>;

    /// Opens a file for reading and writing; an absent one is created empty.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// Whether a file of this name exists.
    fn exists(&self, path: &Path) -> io::Result<bool>;

    /// Gives the file `from` the name `to`, replacing what had that name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Makes the names in the folder durable.
    fn sync_directory(&self, folder: &Path) -> io::Result<()>;
}

/// Operations on an open file.
pub trait LogFile {
    /// Reads the whole file.
    fn read_all(&mut self) -> io::Result<Vec<u8>>;

    /// Writes all of `bytes` at `offset`. On an error any part of them may have been written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Cuts the file to `length` bytes.
    fn set_length(&mut self, length: u64) -> io::Result<()>;

    /// Makes content and length durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// The file system of the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct StandardFileSystem;

impl FileSystem for StandardFileSystem {
    type File = File;

    fn create_directory(&self, folder: &Path) -> io::Result<()> {
        if folder.is_dir() {
            return Ok(());
        }
        fs::create_dir_all(folder)?;
        match folder.parent() {
            Some(parent) if !parent.as_os_str().is_empty() => self.sync_directory(parent),
            _ => Ok(()),
        }
    }

    fn open(&self, path: &Path) -> io::Result<File> {
        OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
    }

    fn exists(&self, path: &Path) -> io::Result<bool> {
        path.try_exists()
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_directory(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}

impl LogFile for File {
    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        let length = self.metadata()?.len() as usize;
        let mut content = vec![0; length];
        self.read_exact_at(&mut content, 0)?;
        Ok(content)
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()> {
        self.write_all_at(bytes, offset)
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        self.set_len(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
