//! The file operations that a record log needs, behind traits so that tests can inject faults.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::os::unix::fs::FileExt;
use std::path::Path;

/// Directory operations of a record log.
pub trait FileSystem {
    /// An open file of this file system.
    type File: LogFile;

    /// Creates the directory if it does not exist, and makes its entry in the parent durable.
    fn create_directory(&self, directory: &Path) -> io::Result<()>;

    /// Opens a file for reading and writing, and creates it if it does not exist.
    fn open(&self, path: &Path) -> io::Result<Self::File>;

    /// Whether a file exists at this path.
    fn exists(&self, path: &Path) -> io::Result<bool>;

    /// Renames `from` to `to`, replacing an existing file.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Makes the entries of the directory durable.
    fn sync_directory(&self, directory: &Path) -> io::Result<()>;
}

/// Operations on an open file.
pub trait LogFile {
    /// Reads the whole file.
    fn read_all(&mut self) -> io::Result<Vec<u8>>;

    /// Writes all of `bytes` at `offset`. After an error, any part of them may have been written.
    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<()>;

    /// Truncates the file to `length` bytes.
    fn set_length(&mut self, length: u64) -> io::Result<()>;

    /// Makes the content and the length of the file durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// The file system of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct StandardFileSystem;

impl FileSystem for StandardFileSystem {
    type File = File;

    fn create_directory(&self, directory: &Path) -> io::Result<()> {
        if directory.is_dir() {
            return Ok(());
        }
        fs::create_dir_all(directory)?;
        match directory.parent() {
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

    fn sync_directory(&self, directory: &Path) -> io::Result<()> {
        File::open(directory)?.sync_all()
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
