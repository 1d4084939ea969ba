//! The virtual disk of a core machine: the program's record log on a virtual file system, syncs that take time, what a crash
//! leaves.
//!
//! It follows the thread that writes the replica's file: all records that wait are written together and synced once.

use super::file_system::VirtualFileSystem;
use bytes::Bytes;
use std::collections::VecDeque;
use std::path::Path;
use switchhill_control::Input;
use switchhill_record_log::{Options, RecordLog};

/// Folder of the replica's file.
const FOLDER: &str = "/data";

/// Name of the replica's file.
const NAME: &str = "replica";

/// Length of the file in bytes above which it is to be rewritten: short, so that short runs come to it.
const REWRITE_ABOVE: u64 = 60_000;

/// Most operations on the file system that a process carries out after the moment at which the power fails.
const LAST_OPERATIONS: u32 = 9;

/// Work for the disk.
#[derive(Debug, Clone)]
enum Work {
    Append(u64, Bytes),
    Rewrite(Vec<Bytes>),
}

/// The name that a replica wrote to its disk first, and whether it is of the first electorate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Identity {
    /// Id of the replica.
    pub replica: u64,
    /// Whether the id was derived from the address when the whole system started.
    pub genesis: bool,
}

/// How the disk behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DiskCondition {
    /// Time in milliseconds of a sync.
    pub sync_ms: u64,
    /// Whether it refuses writes.
    pub refuses: bool,
}

/// A planted fault of the disk, to show that the checkers notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiskFlaw {
    /// A loss of power takes synced records too.
    LosesSynced,
    /// An empty disk keeps the identity it had.
    KeepsIdentityWhenWiped,
    /// A loss of power may take the names of files though their folder was synced.
    LosesNames,
}

/// A disk.
pub struct Disk {
    identity: Option<Identity>,
    files: VirtualFileSystem,
    log: Option<RecordLog<VirtualFileSystem>>,
    waiting: VecDeque<Work>,
    under_way: Vec<Work>,
    condition: DiskCondition,
    flaw: Option<DiskFlaw>,
    asked_rewrite: bool,
}

impl Disk {
    /// An empty disk.
    pub fn new(condition: DiskCondition, flaw: Option<DiskFlaw>) -> Disk {
        Disk {
            identity: None,
            files: VirtualFileSystem::default(),
            log: None,
            waiting: VecDeque::new(),
            under_way: Vec::new(),
            condition,
            flaw,
            asked_rewrite: false,
        }
    }

    /// The identity on the disk; an empty disk takes the one given.
    pub fn identity_or(&mut self, fresh: Identity) -> Identity {
        *self.identity.get_or_insert(fresh)
    }

    /// Opens the replica's file, as a process does when it starts; its records.
    pub fn open(&mut self) -> Vec<Bytes> {
        let options = Options { rewrite_above_bytes: REWRITE_ABOVE };
        let opened = RecordLog::open_with(self.files.clone(), Path::new(FOLDER), NAME, options);
        let (log, records) = opened.expect("a virtual file system opens its files");
        self.log = Some(log);
        if self.flaw == Some(DiskFlaw::LosesNames) {
            self.files.ignore_folder_syncs();
        }
        records
    }

    /// Length of the replica's file in bytes.
    pub fn length(&self) -> u64 {
        self.log.as_ref().map_or(0, RecordLog::length)
    }

    /// Sets how the disk behaves from the next write on.
    pub fn set_condition(&mut self, condition: DiskCondition) {
        self.condition = condition;
        self.files.set_refuses(condition.refuses);
    }

    /// Adds a record.
    pub fn append(&mut self, token: u64, record: Bytes) {
        self.waiting.push_back(Work::Append(token, record));
    }

    /// Replaces all records.
    pub fn rewrite(&mut self, records: Vec<Bytes>) {
        self.waiting.push_back(Work::Rewrite(records));
    }

    /// Begins to write what waits, unless a sync is under way; the time that it takes.
    pub fn begin(&mut self) -> Option<u64> {
        if !self.under_way.is_empty() || self.waiting.is_empty() {
            return None;
        }
        self.under_way.extend(self.waiting.drain(..));
        Some(self.condition.sync_ms)
    }

    /// The sync under way ended; what the process is told.
    pub fn complete(&mut self) -> Vec<Input> {
        let works = std::mem::take(&mut self.under_way);
        let Some(log) = self.log.as_mut() else { return Vec::new() };
        let (mut told, mut tokens) = (Vec::new(), Vec::new());
        for work in works {
            match work {
                Work::Append(token, record) => match log.append(&record) {
                    Ok(()) => tokens.push(token),
                    Err(_) => told.push(Input::PersistFailed(token)),
                },
                Work::Rewrite(records) => {
                    self.asked_rewrite = false;
                    // After an error the old or the new records hold, and both stand for the same state.
                    let _ = log.rewrite(&records);
                }
            }
        }
        if let Some(last) = tokens.last().copied() {
            match log.sync() {
                Ok(()) => told.push(Input::Persisted(last)),
                Err(_) => told.extend(tokens.into_iter().map(Input::PersistFailed)),
            }
        }
        if log.needs_rewrite() && !self.asked_rewrite {
            self.asked_rewrite = true;
            told.push(Input::LogCompactionDue);
        }
        told
    }

    /// The process ends; what it wrote stays, what waited in the process is gone.
    pub fn process_ended(&mut self) {
        self.complete();
        self.close();
    }

    /// The power fails: the process stops at any of its next operations, and what was not synced is there or not.
    pub fn power_lost(&mut self, random: &mut fastrand::Rng) {
        self.files.stop_after(random.u32(0..LAST_OPERATIONS));
        self.complete();
        self.close();
        self.files.lose_power(random, self.flaw == Some(DiskFlaw::LosesSynced));
        self.files.set_refuses(self.condition.refuses);
    }

    fn close(&mut self) {
        self.log = None;
        self.waiting.clear();
        self.under_way.clear();
        self.asked_rewrite = false;
    }

    /// The disk is replaced by an empty one.
    pub fn wipe(&mut self) {
        self.close();
        self.files = VirtualFileSystem::default();
        self.files.set_refuses(self.condition.refuses);
        if self.flaw != Some(DiskFlaw::KeepsIdentityWhenWiped) {
            self.identity = None;
        }
    }
}
