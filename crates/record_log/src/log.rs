//! The record log itself.

use std::path::{Path, PathBuf};

use crate::frame::{scan, write_frame, FIRST_CHECKSUM};
use crate::{FileSystem, LogError, LogFile, StandardFileSystem};

/// Longest record in bytes: far above any register value, far below the length field.
pub const MAX_RECORD_BYTES: usize = 1 << 28;

/// Settings of a log.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Length of the file in bytes above which [`RecordLog::needs_rewrite`] asks for a rewrite.
    pub rewrite_above_bytes: u64,
}

/// One file of checksummed records.
pub struct RecordLog<S: FileSystem = StandardFileSystem> {
    file_system: S,
    folder: PathBuf,
    path: PathBuf,
    new_path: PathBuf,
    file: S::File,
    options: Options,
    /// End of the records written so far.
    written: Position,
    /// End of the records covered by the last successful sync.
    synced: Position,
    /// A failed write may have left bytes behind `written`.
    tail_unclean: bool,
    /// A rename has not been made durable yet.
    folder_sync_due: bool,
    /// Length above which the next rewrite is due.
    rewrite_above_bytes: u64,
}

/// Where a frame ends, and what the next one's checksum continues.
#[derive(Clone, Copy)]
struct Position {
    length: u64,
    checksum: u32,
}

impl RecordLog {
    /// Opens the log `name` in `folder` on the file system of the machine; see [`RecordLog::open_with`].
    pub fn open(folder: &Path, name: &str, options: Options) -> Result<(RecordLog, Vec<Vec<u8>>), LogError> {
        RecordLog::open_with(StandardFileSystem, folder, name, options)
    }
}

impl<S: FileSystem> RecordLog<S> {
    /// Opens the file `name.log` in `folder` and returns it with its records.
    ///
    /// Folder and file are created, durably, if they are absent. What an interrupted rewrite left is removed, and bytes
    /// after the last valid record are cut off.
    pub fn open_with(
        file_system: S,
        folder: &Path,
        name: &str,
        options: Options,
    ) -> Result<(RecordLog<S>, Vec<Vec<u8>>), LogError> {
        let path = folder.join(format!("{name}.log"));
        let new_path = folder.join(format!("{name}.log.new"));
        file_system.create_directory(folder).map_err(LogError::Open)?;
        if file_system.exists(&new_path).map_err(LogError::Open)? {
            file_system.remove(&new_path).map_err(LogError::Open)?;
        }
        let mut file = file_system.open(&path).map_err(LogError::Open)?;
        let content = file.read_all().map_err(LogError::Open)?;
        let found = scan(&content);
        if (content.len() as u64) > found.length {
            file.set_length(found.length).map_err(LogError::Open)?;
        }
        // What was read may not have been synced before the process that wrote it ended.
        file.sync().map_err(LogError::Open)?;
        file_system.sync_directory(folder).map_err(LogError::Open)?;

        let end = Position { length: found.length, checksum: found.checksum };
        let log = RecordLog {
            file_system,
            folder: folder.to_path_buf(),
            path,
            new_path,
            file,
            options,
            written: end,
            synced: end,
            tail_unclean: false,
            folder_sync_due: false,
            rewrite_above_bytes: options.rewrite_above_bytes,
        };
        Ok((log, found.records))
    }

    /// Writes a record behind the last one. It is durable only after [`RecordLog::sync`].
    ///
    /// After an error the record is not part of the log; those before it are. Only a loss of power before the next sync
    /// can bring it back, where all of it had been written.
    pub fn append(&mut self, record: &[u8]) -> Result<(), LogError> {
        check_length(record)?;
        self.clean_tail().map_err(LogError::Append)?;
        let mut frame = Vec::new();
        let checksum = write_frame(&mut frame, self.written.checksum, record);
        if let Err(error) = self.file.write_at(self.written.length, &frame) {
            self.tail_unclean = true;
            let _ = self.clean_tail();
            return Err(LogError::Append(error));
        }
        self.written.length += frame.len() as u64;
        self.written.checksum = checksum;
        Ok(())
    }

    /// Makes all appended records durable.
    ///
    /// After an error the records appended since the last successful sync are given up: the system may have dropped
    /// their pages and would still report success the next time. The caller appends again what it needs.
    pub fn sync(&mut self) -> Result<(), LogError> {
        match self.try_sync() {
            Ok(()) => {
                self.synced = self.written;
                Ok(())
            }
            Err(error) => {
                self.written = self.synced;
                self.tail_unclean = true;
                Err(LogError::Sync(error))
            }
        }
    }

    /// Whether the file has grown past its bound since the last rewrite.
    pub fn needs_rewrite(&self) -> bool {
        self.written.length > self.rewrite_above_bytes
    }

    /// Length of the file in bytes.
    pub fn length(&self) -> u64 {
        self.written.length
    }

    /// Replaces all records by `records`, durably.
    ///
    /// After an error the log holds either the old or the new records and takes further ones; if it holds the new ones,
    /// the next [`RecordLog::sync`] makes the replacement durable first. `records` must therefore stand for everything
    /// appended so far.
    pub fn rewrite(&mut self, records: &[Vec<u8>]) -> Result<(), LogError> {
        records.iter().try_for_each(|record| check_length(record))?;
        // The bound follows the compact length, so that a state longer than the bound is not rewritten all the time.
        self.rewrite_above_bytes = self.written.length + self.options.rewrite_above_bytes;
        let (file, end) = match self.write_replacement(records) {
            Ok(replacement) => replacement,
            Err(error) => {
                let _ = self.file_system.remove(&self.new_path);
                return Err(LogError::Rewrite(error));
            }
        };
        self.file = file;
        self.written = end;
        self.synced = end;
        self.tail_unclean = false;
        self.rewrite_above_bytes = self.options.rewrite_above_bytes.max(2 * end.length);
        self.folder_sync_due = true;
        self.sync_folder_if_due().map_err(LogError::Rewrite)
    }

    /// Writes the new file, syncs it and gives it the log's name.
    fn write_replacement(&self, records: &[Vec<u8>]) -> std::io::Result<(S::File, Position)> {
        let mut content = Vec::new();
        let mut checksum = FIRST_CHECKSUM;
        for record in records {
            checksum = write_frame(&mut content, checksum, record);
        }
        let mut file = self.file_system.open(&self.new_path)?;
        file.set_length(0)?;
        file.write_at(0, &content)?;
        file.sync()?;
        self.rename_replacement()?;
        let length = content.len() as u64;
        Ok((file, Position { length, checksum }))
    }

    /// Gives the new file the log's name. A rename that reports an error may have been carried out all the same; what is
    /// written to the old file would be lost then.
    fn rename_replacement(&self) -> std::io::Result<()> {
        let renamed = self.file_system.rename(&self.new_path, &self.path);
        let carried_out = || matches!(self.file_system.exists(&self.new_path), Ok(false));
        renamed.or_else(|error| if carried_out() { Ok(()) } else { Err(error) })
    }

    fn try_sync(&mut self) -> std::io::Result<()> {
        self.sync_folder_if_due()?;
        self.clean_tail()?;
        self.file.sync()
    }

    fn sync_folder_if_due(&mut self) -> std::io::Result<()> {
        if self.folder_sync_due {
            self.file_system.sync_directory(&self.folder)?;
            self.folder_sync_due = false;
        }
        Ok(())
    }

    /// Cuts off what a failed write may have left.
    fn clean_tail(&mut self) -> std::io::Result<()> {
        if self.tail_unclean {
            self.file.set_length(self.written.length)?;
            self.tail_unclean = false;
        }
        Ok(())
    }
}

fn check_length(record: &[u8]) -> Result<(), LogError> {
    if record.len() > MAX_RECORD_BYTES {
        return Err(LogError::RecordTooLong { length: record.len(), limit: MAX_RECORD_BYTES });
    }
    Ok(())
}
