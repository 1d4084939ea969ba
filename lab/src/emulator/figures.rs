//! What a run measures beside the checkers.

use std::collections::BTreeMap;

/// Times in milliseconds.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Longest time after a cut began at which a machine that was cut off still confirmed, refused, answered a reading or
    /// gave an order.
    pub last_word_ms: u64,
    /// From an order's being sent again to its acknowledgement, in calm but for lost answers.
    pub resent_ms: Vec<u64>,
    /// From an acknowledgement to its being in force, at each machine in touch.
    pub in_force_ms: Vec<u64>,
    /// From the loss of a core machine to an electorate of all that are there and nobody else.
    pub electorate_ms: Vec<u64>,
    /// From a core node's start to its holding what was acknowledged before.
    pub core_caught_up_ms: Vec<u64>,
    /// From a data plane's start to its holding what was acknowledged before.
    pub data_plane_caught_up_ms: Vec<u64>,
    /// Changes that were acknowledged, in the run with the most of them.
    pub changes_missed: u64,
    /// Longest file of a replica, in bytes.
    pub longest_file: u64,
    newest: u64,
    acknowledged: u64,
    cores: BTreeMap<usize, (u64, u64)>,
    data_planes: BTreeMap<usize, (u64, u64)>,
    core_lost_at: Option<u64>,
}

impl Figures {
    /// A revision is acknowledged.
    pub fn acknowledged(&mut self, _now: u64, revision: u64) {
        self.newest = self.newest.max(revision);
        self.acknowledged += 1;
    }

    /// Changes that were acknowledged.
    pub fn count_acknowledged(&self) -> u64 {
        self.acknowledged
    }

    /// An order was acknowledged so long after it was sent again.
    pub fn resent(&mut self, after_ms: u64) {
        self.resent_ms.push(after_ms);
    }

    /// A core node started.
    pub fn core_started(&mut self, now: u64, core: usize) {
        if self.newest > 0 {
            self.cores.insert(core, (now, self.newest));
        }
    }

    /// A core node holds a revision.
    pub fn core_holds(&mut self, now: u64, core: usize, revision: u64) {
        let waits = self.cores.get(&core).copied();
        if let Some((since, _)) = waits.filter(|(_, wanted)| revision >= *wanted) {
            self.cores.remove(&core);
            self.core_caught_up_ms.push(now - since);
        }
    }

    /// A data plane started.
    pub fn data_plane_started(&mut self, now: u64, edge: usize) {
        if self.newest > 0 {
            self.data_planes.insert(edge, (now, self.newest));
        }
    }

    /// A data plane holds a revision.
    pub fn data_plane_holds(&mut self, now: u64, edge: usize, revision: u64) {
        let waits = self.data_planes.get(&edge).copied();
        if let Some((since, _)) = waits.filter(|(_, wanted)| revision >= *wanted) {
            self.data_planes.remove(&edge);
            self.data_plane_caught_up_ms.push(now - since);
        }
    }

    /// A core machine is lost for good.
    pub fn core_lost(&mut self, now: u64, _core: usize) {
        self.core_lost_at = Some(now);
    }

    /// Whether a loss waits for a full electorate.
    pub fn waits_for_electorate(&self) -> bool {
        self.core_lost_at.is_some()
    }

    /// The electorate is full.
    pub fn electorate_full(&mut self, now: u64) {
        if let Some(since) = self.core_lost_at.take() {
            self.electorate_ms.push(now - since);
        }
    }

    /// Adds what another run measured.
    pub fn add(&mut self, other: &Figures) {
        self.last_word_ms = self.last_word_ms.max(other.last_word_ms);
        self.changes_missed = self.changes_missed.max(other.changes_missed);
        self.longest_file = self.longest_file.max(other.longest_file);
        self.resent_ms.extend(&other.resent_ms);
        self.in_force_ms.extend(&other.in_force_ms);
        self.electorate_ms.extend(&other.electorate_ms);
        self.core_caught_up_ms.extend(&other.core_caught_up_ms);
        self.data_plane_caught_up_ms.extend(&other.data_plane_caught_up_ms);
    }
}
