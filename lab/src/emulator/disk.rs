//! The virtual disk of a core machine: appended records, syncs that take time, what a crash leaves.
//!
//! It follows the thread that writes the replica's file: all records that wait are written together and synced once.

use std::collections::VecDeque;
use switchhill_control::Input;

/// Records above which the file is called long, so that it is rewritten within a short run.
const LONG_ABOVE: usize = 40;

/// Work for the disk.
#[derive(Debug, Clone)]
enum Work {
    Append(u64, Vec<u8>),
    Rewrite(Vec<Vec<u8>>),
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
}

/// A disk.
#[derive(Debug)]
pub struct Disk {
    identity: Option<Identity>,
    synced: Vec<Vec<u8>>,
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
            synced: Vec::new(),
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

    /// Records that a process finds when it starts.
    pub fn records(&self) -> Vec<Vec<u8>> {
        self.synced.clone()
    }

    /// Sets how the disk behaves from the next write on.
    pub fn set_condition(&mut self, condition: DiskCondition) {
        self.condition = condition;
    }

    /// Adds a record.
    pub fn append(&mut self, token: u64, record: Vec<u8>) {
        self.waiting.push_back(Work::Append(token, record));
    }

    /// Replaces all records.
    pub fn rewrite(&mut self, records: Vec<Vec<u8>>) {
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
        if self.condition.refuses {
            self.asked_rewrite = false;
            return works.iter().filter_map(refused).collect();
        }
        let last = works.iter().rev().find_map(token);
        works.into_iter().for_each(|work| self.apply(work));
        let mut told: Vec<Input> = last.map(Input::Persisted).into_iter().collect();
        if self.synced.len() > LONG_ABOVE && !self.asked_rewrite {
            self.asked_rewrite = true;
            told.push(Input::LogIsLong);
        }
        told
    }

    fn apply(&mut self, work: Work) {
        match work {
            Work::Append(_, record) => self.synced.push(record),
            Work::Rewrite(records) => {
                self.synced = records;
                self.asked_rewrite = false;
            }
        }
    }

    /// The process ends; what it wrote stays, what waited in the process is gone.
    pub fn process_ended(&mut self) {
        let written = std::mem::take(&mut self.under_way);
        if !self.condition.refuses {
            written.into_iter().for_each(|work| self.apply(work));
        }
        self.waiting.clear();
        self.asked_rewrite = false;
    }

    /// The power fails; of what was not synced the beginning may be there.
    pub fn power_lost(&mut self, random: &mut fastrand::Rng) {
        let mut written = std::mem::take(&mut self.under_way);
        written.truncate(random.usize(0..=written.len()));
        if !self.condition.refuses {
            written.into_iter().for_each(|work| self.apply(work));
        }
        self.waiting.clear();
        self.asked_rewrite = false;
        if self.flaw == Some(DiskFlaw::LosesSynced) {
            self.synced.truncate(self.synced.len() / 2);
        }
    }

    /// The disk is replaced by an empty one.
    pub fn wipe(&mut self) {
        self.synced.clear();
        self.waiting.clear();
        self.under_way.clear();
        self.asked_rewrite = false;
        if self.flaw != Some(DiskFlaw::KeepsIdentityWhenWiped) {
            self.identity = None;
        }
    }
}

fn token(work: &Work) -> Option<u64> {
    match work {
        Work::Append(token, _) => Some(*token),
        Work::Rewrite(_) => None,
    }
}

fn refused(work: &Work) -> Option<Input> {
    token(work).map(Input::PersistFailed)
}
