//! The record log.

use std::path::{Path, PathBuf};

use bytes::Bytes;

use crate::frame::{frame_header, scan, INITIAL_CHECKSUM};
use crate::{FileSystem, LogError, LogFile, StandardFileSystem};

/// Maximum length of a record in bytes: far above any register value and far below what the length field can hold.
pub const MAX_RECORD_BYTES: usize = 1 << 28;

/// Length in bytes from which a part of a record is written by itself, not copied beside its neighbours first.
const LONG_PART_BYTES: usize = 64 << 10;

/// Settings of a log.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Length of the file in bytes above which [`RecordLog::needs_rewrite`] returns true.
    pub rewrite_above_bytes: u64,
}

/// An append-only file of checksummed records.
pub struct RecordLog<S: FileSystem = StandardFileSystem> {
    file_system: S,
    directory: PathBuf,
    path: PathBuf,
    replacement_path: PathBuf,
    file: S::File,
    options: Options,
    /// End of the records written so far.
    written: Position,
    /// End of the records covered by the last successful sync.
    synced: Position,
    /// A failed write may have left bytes after `written`.
    tail_dirty: bool,
    /// A rename has not been made durable yet.
    directory_sync_pending: bool,
    /// Length of the file in bytes above which the next rewrite is needed.
    rewrite_above_bytes: u64,
    /// Bytes that were cut off when the file was opened, since they are no valid records.
    discarded_bytes: u64,
}

/// The end of a frame: its offset, and the checksum that the next frame continues.
#[derive(Clone, Copy)]
struct Position {
    length: u64,
    checksum: u32,
}

impl RecordLog {
    /// Opens the log `name` in `directory` on the file system of the operating system; see [`RecordLog::open_with`].
    pub fn open(directory: &Path, name: &str, options: Options) -> Result<(RecordLog, Vec<Bytes>), LogError> {
        RecordLog::open_with(StandardFileSystem, directory, name, options)
    }
}

impl<S: FileSystem> RecordLog<S> {
    /// Opens the file `name.log` in `directory` and returns the log and its records. All of them share the memory of the
    /// file's content, as long as one of them is held.
    ///
    /// Directory and file are created durably if they do not exist. A file left by an interrupted rewrite is removed,
    /// and bytes after the last valid record are truncated.
    pub fn open_with(
        file_system: S,
        directory: &Path,
        name: &str,
        options: Options,
    ) -> Result<(RecordLog<S>, Vec<Bytes>), LogError> {
        let path = directory.join(format!("{name}.log"));
        let replacement_path = directory.join(format!("{name}.log.new"));
        file_system.create_directory(directory).map_err(LogError::Open)?;
        if file_system.exists(&replacement_path).map_err(LogError::Open)? {
            file_system.remove(&replacement_path).map_err(LogError::Open)?;
        }
        let mut file = file_system.open(&path).map_err(LogError::Open)?;
        let content = Bytes::from(file.read_all().map_err(LogError::Open)?);
        let scanned = scan(&content);
        if (content.len() as u64) > scanned.length {
            file.set_length(scanned.length).map_err(LogError::Open)?;
        }
        // The previous process may have exited before it synced the records read here.
        file.sync().map_err(LogError::Open)?;
        file_system.sync_directory(directory).map_err(LogError::Open)?;

        let end = Position { length: scanned.length, checksum: scanned.checksum };
        let log = RecordLog {
            file_system,
            directory: directory.to_path_buf(),
            path,
            replacement_path,
            file,
            options,
            written: end,
            synced: end,
            tail_dirty: false,
            directory_sync_pending: false,
            rewrite_above_bytes: options.rewrite_above_bytes,
            discarded_bytes: content.len() as u64 - scanned.length,
        };
        Ok((log, scanned.records))
    }

    /// Appends a record. It is durable only after [`RecordLog::sync`].
    ///
    /// After an error the record is not part of the log; earlier records are. It can reappear only after a power loss
    /// before the next sync, if it had been written completely.
    pub fn append(&mut self, record: &[u8]) -> Result<(), LogError> {
        self.append_parts(&[record])
    }

    /// As [`RecordLog::append`], of a record that consists of several parts.
    pub fn append_parts(&mut self, parts: &[&[u8]]) -> Result<(), LogError> {
        check_length(parts.iter().map(|part| part.len()).sum())?;
        self.truncate_dirty_tail().map_err(LogError::Append)?;
        let (header, checksum) = frame_header(self.written.checksum, parts);
        let frame = [&[&header[..]], parts].concat();
        if let Err(error) = write_slices(&mut self.file, self.written.length, &frame) {
            self.tail_dirty = true;
            let _ = self.truncate_dirty_tail();
            return Err(LogError::Append(error));
        }
        self.written.length += total_length(&frame);
        self.written.checksum = checksum;
        Ok(())
    }

    /// Makes all appended records durable.
    ///
    /// After an error the records appended since the last successful sync are discarded: the operating system may have
    /// dropped their dirty pages and would still report success for the next sync. The caller must append
    /// again what it still needs.
    pub fn sync(&mut self) -> Result<(), LogError> {
        match self.try_sync() {
            Ok(()) => {
                self.synced = self.written;
                Ok(())
            }
            Err(error) => {
                self.written = self.synced;
                self.tail_dirty = true;
                Err(LogError::Sync(error))
            }
        }
    }

    /// Whether the file has grown past its limit since the last rewrite.
    pub fn needs_rewrite(&self) -> bool {
        self.written.length > self.rewrite_above_bytes
    }

    /// Bytes that were cut off when the file was opened, since they are no valid records.
    pub fn discarded_bytes(&self) -> u64 {
        self.discarded_bytes
    }

    /// Length of the file in bytes.
    pub fn length(&self) -> u64 {
        self.written.length
    }

    /// Replaces all records by `records`, durably.
    ///
    /// After an error the log holds either the old or the new records and accepts further ones; if it holds the new
    /// ones, the next [`RecordLog::sync`] makes the replacement durable first. `records` must therefore include the
    /// effect of everything appended so far.
    pub fn rewrite(&mut self, records: &[impl AsRef<[u8]>]) -> Result<(), LogError> {
        let records: Vec<[&[u8]; 1]> = records.iter().map(|record| [record.as_ref()]).collect();
        self.rewrite_parts(&records)
    }

    /// As [`RecordLog::rewrite`], by records that consist of several parts.
    pub fn rewrite_parts<const PARTS: usize>(&mut self, records: &[[&[u8]; PARTS]]) -> Result<(), LogError> {
        records.iter().try_for_each(|parts| check_length(parts.iter().map(|part| part.len()).sum()))?;
        // The limit grows with the file: otherwise a failed rewrite, or a compacted state above the configured limit,
        // would trigger a rewrite after every append.
        self.rewrite_above_bytes = self.written.length + self.options.rewrite_above_bytes;
        let (file, end) = match self.write_replacement(records) {
            Ok(replacement) => replacement,
            Err(error) => {
                let _ = self.file_system.remove(&self.replacement_path);
                return Err(LogError::Rewrite(error));
            }
        };
        self.file = file;
        self.written = end;
        self.synced = end;
        self.tail_dirty = false;
        self.rewrite_above_bytes = self.options.rewrite_above_bytes.max(2 * end.length);
        self.directory_sync_pending = true;
        self.sync_directory_if_pending().map_err(LogError::Rewrite)
    }

    /// Writes the replacement file, syncs it and renames it to the log's path.
    fn write_replacement<const PARTS: usize>(
        &self,
        records: &[[&[u8]; PARTS]],
    ) -> std::io::Result<(S::File, Position)> {
        let mut checksum = INITIAL_CHECKSUM;
        let mut headers = Vec::new();
        for parts in records {
            let (header, next) = frame_header(checksum, parts);
            headers.push(header);
            checksum = next;
        }
        let frames = headers.iter().zip(records);
        let content: Vec<&[u8]> =
            frames.flat_map(|(header, parts)| [&[&header[..]], &parts[..]].concat()).collect();
        let mut file = self.file_system.open(&self.replacement_path)?;
        file.set_length(0)?;
        write_slices(&mut file, 0, &content)?;
        file.sync()?;
        self.rename_replacement()?;
        Ok((file, Position { length: total_length(&content), checksum }))
    }

    /// Renames the replacement file to the log's path. A rename that reports an error may still have taken effect;
    /// records written to the old file would then be lost.
    fn rename_replacement(&self) -> std::io::Result<()> {
        let renamed = self.file_system.rename(&self.replacement_path, &self.path);
        let took_effect = || matches!(self.file_system.exists(&self.replacement_path), Ok(false));
        renamed.or_else(|error| if took_effect() { Ok(()) } else { Err(error) })
    }

    fn try_sync(&mut self) -> std::io::Result<()> {
        self.sync_directory_if_pending()?;
        self.truncate_dirty_tail()?;
        self.file.sync()
    }

    fn sync_directory_if_pending(&mut self) -> std::io::Result<()> {
        if self.directory_sync_pending {
            self.file_system.sync_directory(&self.directory)?;
            self.directory_sync_pending = false;
        }
        Ok(())
    }

    /// Truncates bytes that a failed write may have left.
    fn truncate_dirty_tail(&mut self) -> std::io::Result<()> {
        if self.tail_dirty {
            self.file.set_length(self.written.length)?;
            self.tail_dirty = false;
        }
        Ok(())
    }
}

/// Writes slices one behind the other from `offset` on, the short ones together.
fn write_slices(file: &mut impl LogFile, offset: u64, slices: &[&[u8]]) -> std::io::Result<()> {
    let mut position = offset;
    let mut gathered = Vec::new();
    for slice in slices {
        if slice.len() < LONG_PART_BYTES {
            gathered.extend_from_slice(slice);
            continue;
        }
        position += write_gathered(file, position, &mut gathered)?;
        file.write_at(position, slice)?;
        position += slice.len() as u64;
    }
    write_gathered(file, position, &mut gathered)?;
    Ok(())
}

/// Writes and empties a buffer; returns its length in bytes.
fn write_gathered(file: &mut impl LogFile, offset: u64, gathered: &mut Vec<u8>) -> std::io::Result<u64> {
    if !gathered.is_empty() {
        file.write_at(offset, gathered)?;
    }
    let length = gathered.len() as u64;
    gathered.clear();
    Ok(length)
}

fn total_length(slices: &[&[u8]]) -> u64 {
    slices.iter().map(|slice| slice.len() as u64).sum()
}

fn check_length(length: usize) -> Result<(), LogError> {
    if length > MAX_RECORD_BYTES {
        return Err(LogError::RecordTooLong { length, limit: MAX_RECORD_BYTES });
    }
    Ok(())
}
