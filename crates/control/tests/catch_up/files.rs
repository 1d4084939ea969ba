//! In-memory files and a disk writer thread simulated in virtual time.

use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use std::io::{ErrorKind, Result};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};

use switchhill_control::Input;
use switchhill_record_log::{FileSystem, LogFile, Options};
use switchhill_replica_file::{open, Identity, OpenedReplica, WriteRequest, Writer, WriterEvent};

/// File size in bytes above which the log is rewritten; the same value as in the program.
const REWRITE_ABOVE: u64 = 8 << 20;

/// Duration in microseconds of a sync on a healthy disk.
const SYNC_US: u64 = 5_000;

/// Write throughput of a disk in bytes per microsecond.
const BYTES_PER_US: u64 = 100;

type Content = Arc<Mutex<Vec<u8>>>;

/// A file system whose files survive a process restart.
#[derive(Clone, Default)]
pub struct MemoryFileSystem(Arc<Mutex<BTreeMap<PathBuf, Content>>>);

/// An open in-memory file.
pub struct MemoryFile(Content);

impl MemoryFileSystem {
    /// Total size of all files in bytes.
    pub fn used(&self) -> usize {
        self.0.lock().unwrap().values().map(|content| content.lock().unwrap().len()).sum()
    }
}

impl FileSystem for MemoryFileSystem {
    type File = MemoryFile;

    fn create_directory(&self, _folder: &Path) -> Result<()> {
        Ok(())
    }

    fn open(&self, path: &Path) -> Result<MemoryFile> {
        Ok(MemoryFile(self.0.lock().unwrap().entry(path.to_path_buf()).or_default().clone()))
    }

    fn exists(&self, path: &Path) -> Result<bool> {
        Ok(self.0.lock().unwrap().contains_key(path))
    }

    fn rename(&self, from: &Path, to: &Path) -> Result<()> {
        let mut names = self.0.lock().unwrap();
        let content = names.remove(from).ok_or(ErrorKind::NotFound)?;
        names.insert(to.to_path_buf(), content);
        Ok(())
    }

    fn remove(&self, path: &Path) -> Result<()> {
        self.0.lock().unwrap().remove(path);
        Ok(())
    }

    fn sync_directory(&self, _folder: &Path) -> Result<()> {
        Ok(())
    }
}

impl LogFile for MemoryFile {
    fn read_all(&mut self) -> Result<Vec<u8>> {
        Ok(self.0.lock().unwrap().clone())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> Result<()> {
        let mut content = self.0.lock().unwrap();
        let (from, to) = (offset as usize, offset as usize + bytes.len());
        let length = content.len().max(to);
        content.resize(length, 0);
        content[from..to].copy_from_slice(bytes);
        Ok(())
    }

    fn set_length(&mut self, length: u64) -> Result<()> {
        self.0.lock().unwrap().resize(length as usize, 0);
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        Ok(())
    }
}

/// Fault of a simulated disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskFault {
    /// A sync takes five milliseconds.
    None,
    /// Every operation takes this many times as long.
    Slow(u64),
    /// No operation completes until this many milliseconds after the process start.
    Stalled(u64),
}

/// The disk of a core machine and its writer thread.
pub struct Disk {
    files: MemoryFileSystem,
    writer: Option<Writer<MemoryFileSystem>>,
    waiting: VecDeque<WriteRequest>,
    writing: bool,
    fault: DiskFault,
    started_us: u64,
    /// Maximum number of bytes queued at one time.
    pub most_waiting: usize,
    /// Maximum total file size in bytes.
    pub most_used: usize,
}

impl Disk {
    pub fn new() -> Disk {
        Disk {
            files: MemoryFileSystem::default(),
            writer: None,
            waiting: VecDeque::new(),
            writing: false,
            fault: DiskFault::None,
            started_us: 0,
            most_waiting: 0,
            most_used: 0,
        }
    }

    /// Opens the replica file for a new process; returns the stored identity and records.
    pub fn start(&mut self, now_us: u64, fault: DiskFault, fresh: Identity) -> (Identity, Vec<Bytes>) {
        let options = Options { rewrite_above_bytes: REWRITE_ABOVE };
        let stored = open(self.files.clone(), Path::new("/data"), options, || fresh);
        let OpenedReplica { writer, identity, records, .. } = stored.expect("the file opens");
        self.writer = Some(writer);
        self.waiting.clear();
        self.writing = false;
        self.fault = fault;
        self.started_us = now_us;
        (identity, records)
    }

    pub fn add(&mut self, request: WriteRequest) {
        self.waiting.push_back(request);
        let waiting = self.waiting.iter().map(request_bytes).sum();
        self.most_waiting = self.most_waiting.max(waiting);
    }

    /// Starts writing the queued requests unless a sync is in progress. Returns the completion time and the inputs that are
    /// delivered to the node at that time.
    pub fn begin(&mut self, now_us: u64) -> Option<(u64, Vec<Input>)> {
        if self.writing || self.waiting.is_empty() {
            return None;
        }
        let batch: Vec<WriteRequest> = self.waiting.drain(..).collect();
        let written: usize = batch.iter().map(request_bytes).sum();
        let mut inputs = Vec::new();
        self.writer.as_mut()?.process_batch(batch, &mut |event| inputs.extend(node_input(event)));
        self.writing = true;
        self.most_used = self.most_used.max(self.files.used());
        let duration = SYNC_US + written as u64 / BYTES_PER_US;
        let ends_at = match self.fault {
            DiskFault::None => now_us + duration,
            DiskFault::Slow(times) => now_us + duration * times,
            DiskFault::Stalled(for_ms) => now_us.max(self.started_us + for_ms * 1_000) + duration,
        };
        Some((ends_at, inputs))
    }

    pub fn ended(&mut self) {
        self.writing = false;
    }
}

fn request_bytes(request: &WriteRequest) -> usize {
    match request {
        WriteRequest::Append(_, record) => record.len(),
        WriteRequest::Rewrite(records) => records.iter().map(Bytes::len).sum(),
    }
}

fn node_input(event: WriterEvent) -> Option<Input> {
    match event {
        WriterEvent::Persisted(token) => Some(Input::Persisted(token)),
        WriterEvent::AppendFailed(token, _) => Some(Input::PersistFailed(token)),
        WriterEvent::RewriteNeeded => Some(Input::LogCompactionDue),
        WriterEvent::RewriteFailed(_) => None,
    }
}
