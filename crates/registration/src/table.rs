//! Replicated table of all known workers.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::worker::{Worker, WorkerState};

/// Milliseconds for which a gone or suspected entry is retained and replicated. Long enough for a node that
/// was partitioned for a while to still learn that the instance has terminated.
pub const EVICT_AFTER_MS: u64 = 60_000;
/// Milliseconds for which the tombstone of an evicted entry is kept. Far above [`EVICT_AFTER_MS`], so that
/// nodes that evict at different times do not reintroduce the entry to each other.
const TOMBSTONE_TTL_MS: u64 = 10 * EVICT_AFTER_MS;

/// Failure-detector timeout: milliseconds without a heartbeat after which a worker is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionTimeout(pub u64);

/// Result of merging an entry into the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// No change: the table has an equal entry, or a newer one without a material difference.
    Unchanged,
    /// Only the sequence and the countdowns were updated.
    Refreshed,
    /// The entry is new or differs materially; the caller publishes it.
    Changed,
    /// The table has a newer entry that differs materially. The sender and other receivers of the older entry
    /// may keep it for a long time, so the caller publishes the table's entry.
    Superseded,
}

/// Result of recording a heartbeat received from a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// Result of merging the entry.
    pub merge: MergeOutcome,
    /// Entries of other instances at the same address that became suspected; the caller publishes them.
    pub displaced: Vec<Worker>,
}

/// Digest of a heartbeat that a node received from a worker, as replicated to other nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatDigest {
    /// Instance id.
    pub id: String,
    /// Sequence number of the heartbeat.
    pub sequence: u64,
    /// [`Worker::material_digest`] of the heartbeat.
    pub material_digest: u64,
}

/// Heartbeats received from workers since a cursor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatSummary {
    /// Cursor for the next call.
    pub cursor: u64,
    /// The latest heartbeat of each instance that sent one.
    pub heartbeats: Vec<HeartbeatDigest>,
}

/// Result of applying a digest from another node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DigestOutcome {
    /// The table already has the content of the heartbeat or a newer one.
    UpToDate,
    /// The table has the content, and the digest cleared a suspicion; the caller publishes the entry.
    SuspicionCleared(Box<Worker>),
    /// The table lacks the content; the caller requests the entry from the sender.
    EntryMissing,
}

#[derive(Clone, Debug)]
struct Entry {
    worker: Worker,
    /// [`Worker::material_digest`] of `worker`.
    material_digest: u64,
    /// Time at which the latest heartbeat became known, directly or through another node.
    last_heartbeat_at: u64,
    /// Time at which the heartbeat in `worker` was received; the countdowns are relative to it.
    received_at: u64,
    /// Cursor position of the latest heartbeat received from the worker itself.
    heartbeat_cursor: Option<u64>,
    /// Eviction time; set while the entry is gone or suspected.
    evict_at: Option<u64>,
}

impl Entry {
    fn new(now: u64, worker: Worker) -> Entry {
        let mut entry = Entry {
            material_digest: worker.material_digest(),
            worker,
            last_heartbeat_at: now,
            received_at: now,
            heartbeat_cursor: None,
            evict_at: None,
        };
        entry.schedule_eviction(now);
        entry
    }

    /// Replaces the worker by a newer entry of the same instance.
    fn replace(&mut self, now: u64, worker: Worker) {
        let changed = worker.differs_materially(&self.worker);
        if worker.sequence > self.worker.sequence && !worker.suspected {
            self.last_heartbeat_at = now;
        }
        if worker.sequence != self.worker.sequence {
            self.received_at = now;
        }
        self.material_digest = worker.material_digest();
        self.worker = worker;
        if changed {
            self.schedule_eviction(now);
        }
    }

    fn schedule_eviction(&mut self, now: u64) {
        let inactive = self.worker.is_gone() || self.worker.suspected;
        self.evict_at = inactive.then(|| now.saturating_add(EVICT_AFTER_MS));
    }

    fn suspect(&mut self, now: u64) -> Worker {
        self.worker.suspected = true;
        self.schedule_eviction(now);
        self.worker.clone()
    }

    fn is_active(&self) -> bool {
        !self.worker.is_gone() && !self.worker.suspected
    }

    /// Contribution to [`WorkerTable::digest`].
    fn digest(&self) -> u64 {
        if self.is_active() {
            self.material_digest
        } else {
            0
        }
    }
}

/// Remains of an evicted entry; prevents older entries from reintroducing the instance.
#[derive(Clone, Copy, Debug)]
struct Tombstone {
    gone: bool,
    sequence: u64,
    expires_at: u64,
}

impl Tombstone {
    /// Returns whether a heartbeat with this sequence is already covered by the tombstone.
    fn covers_sequence(&self, sequence: u64) -> bool {
        self.gone || sequence <= self.sequence
    }

    /// Returns whether the entry is already covered by the tombstone. A gone entry is not, unless the
    /// instance was already known to be gone.
    fn covers_entry(&self, worker: &Worker) -> bool {
        match worker.is_gone() {
            true => self.gone,
            false => self.covers_sequence(worker.sequence),
        }
    }
}

/// Replicated table of all known workers, including suspected ones and those recently gone.
#[derive(Clone, Debug)]
pub struct WorkerTable {
    suspicion_timeout: u64,
    entries: BTreeMap<String, Entry>,
    tombstones: HashMap<String, Tombstone>,
    /// Instance ids by address, to detect that an address is reused.
    by_address: HashMap<String, BTreeSet<String>>,
    /// Number of heartbeats accepted from workers; the latest cursor position.
    cursor: u64,
    last_tick: Option<u64>,
    /// Earliest time from which missing heartbeats count towards the timeout.
    timeout_floor: u64,
    /// [`WorkerTable::digest`], maintained incrementally.
    digest: u64,
    /// Number of entries evicted so far.
    evicted_entries: u64,
    /// Lower bound on the next time at which an entry becomes suspected.
    next_suspicion: u64,
    /// Lower bound on the next time at which an entry is evicted.
    next_eviction: u64,
    /// Lower bound on the next time at which a tombstone expires.
    next_tombstone_expiry: u64,
}

impl WorkerTable {
    /// Creates an empty table.
    pub fn new(suspicion_timeout: SuspicionTimeout) -> WorkerTable {
        WorkerTable {
            suspicion_timeout: suspicion_timeout.0,
            entries: BTreeMap::new(),
            tombstones: HashMap::new(),
            by_address: HashMap::new(),
            cursor: 0,
            last_tick: None,
            timeout_floor: 0,
            digest: 0,
            evicted_entries: 0,
            next_suspicion: 0,
            next_eviction: 0,
            next_tombstone_expiry: 0,
        }
    }

    /// Records a heartbeat received from a worker at `now`.
    ///
    /// Only one instance can listen on an address, so other instances at this address must have terminated.
    /// They become suspected rather than gone: a node that was paused may process heartbeats late and out of
    /// order, and the next heartbeat of a wrongly suspected worker clears the suspicion, whereas gone is
    /// final.
    pub fn record_heartbeat(&mut self, now: u64, worker: Worker) -> HeartbeatOutcome {
        let id = worker.id.clone();
        let merge = self.merge(now, worker);
        let accepted = matches!(merge, MergeOutcome::Refreshed | MergeOutcome::Changed);
        if !accepted {
            return HeartbeatOutcome { merge, displaced: Vec::new() };
        }
        self.cursor += 1;
        if let Some(entry) = self.entries.get_mut(&id) {
            entry.heartbeat_cursor = Some(self.cursor);
        }
        HeartbeatOutcome { merge, displaced: self.suspect_displaced(now, &id) }
    }

    /// Merges an entry from another node at `now`.
    pub fn merge(&mut self, now: u64, worker: Worker) -> MergeOutcome {
        if let Some(tombstone) = self.tombstones.get(&worker.id) {
            if tombstone.covers_entry(&worker) {
                return MergeOutcome::Unchanged;
            }
            self.tombstones.remove(&worker.id);
        }
        let Some(entry) = self.entries.get_mut(&worker.id) else {
            self.insert(now, worker);
            return MergeOutcome::Changed;
        };
        let differs = worker.differs_materially(&entry.worker);
        if !worker.supersedes(&entry.worker) {
            return if differs { MergeOutcome::Superseded } else { MergeOutcome::Unchanged };
        }
        let moved = worker.address != entry.worker.address;
        let previous_address = entry.worker.address.clone();
        let digest = entry.digest();
        entry.replace(now, worker);
        let (id, address) = (entry.worker.id.clone(), entry.worker.address.clone());
        let entry = &*entry;
        self.digest = self.digest.wrapping_sub(digest).wrapping_add(entry.digest());
        self.next_eviction = self.next_eviction.min(entry.evict_at.unwrap_or(u64::MAX));
        self.next_suspicion =
            self.next_suspicion.min(entry.last_heartbeat_at.saturating_add(self.suspicion_timeout));
        if moved {
            self.unlink_address(&previous_address, &id);
            self.by_address.entry(address).or_default().insert(id);
        }
        if differs {
            MergeOutcome::Changed
        } else {
            MergeOutcome::Refreshed
        }
    }

    /// Applies the digest of a heartbeat that another node received.
    pub fn apply_digest(&mut self, now: u64, heartbeat: &HeartbeatDigest) -> DigestOutcome {
        let Some(entry) = self.entries.get_mut(&heartbeat.id) else {
            let tombstone = self.tombstones.get(&heartbeat.id);
            return match tombstone.is_some_and(|tombstone| tombstone.covers_sequence(heartbeat.sequence)) {
                true => DigestOutcome::UpToDate,
                false => DigestOutcome::EntryMissing,
            };
        };
        if entry.worker.is_gone() || heartbeat.sequence <= entry.worker.sequence {
            return DigestOutcome::UpToDate;
        }
        entry.last_heartbeat_at = now;
        if heartbeat.material_digest != entry.material_digest {
            return DigestOutcome::EntryMissing;
        }
        entry.worker.sequence = heartbeat.sequence;
        if !entry.worker.suspected {
            return DigestOutcome::UpToDate;
        }
        entry.worker.suspected = false;
        entry.schedule_eviction(now);
        self.digest = self.digest.wrapping_add(entry.digest());
        self.next_suspicion = self.next_suspicion.min(now.saturating_add(self.suspicion_timeout));
        DigestOutcome::SuspicionCleared(Box::new(entry.worker.clone()))
    }

    /// Marks an instance as gone, even if its id is unknown, and returns the entry to publish.
    pub fn mark_gone(&mut self, now: u64, id: &str) -> Worker {
        let known = self.entries.get(id);
        let gone = known.map_or_else(|| Worker::gone(id), |entry| entry.worker.to_gone());
        self.merge(now, gone.clone());
        gone
    }

    /// Suspects a worker that was reported unreachable and returns its entry to publish. Returns `None` if
    /// the worker is unknown, gone or already suspected. Its next heartbeat clears the suspicion.
    pub fn suspect(&mut self, now: u64, id: &str) -> Option<Worker> {
        let entry = self.entries.get_mut(id).filter(|entry| entry.is_active())?;
        self.digest = self.digest.wrapping_sub(entry.digest());
        self.next_eviction = self.next_eviction.min(now.saturating_add(EVICT_AFTER_MS));
        Some(entry.suspect(now))
    }

    /// Suspects workers whose heartbeats timed out, returning their entries to publish, and evicts expired
    /// entries.
    ///
    /// `may_suspect` is false while this node has no quorum contact. Timeouts restart when it becomes true
    /// again, on the first tick, and after a gap between ticks of more than half the timeout: such a gap
    /// means that this node itself was paused.
    pub fn tick(&mut self, now: u64, may_suspect: bool) -> Vec<Worker> {
        let max_tick_gap = self.suspicion_timeout / 2;
        let was_paused = self.last_tick.is_none_or(|last| now.saturating_sub(last) > max_tick_gap);
        self.last_tick = Some(now);
        if !may_suspect || was_paused {
            self.timeout_floor = now;
        }
        self.evict_expired(now);
        self.suspect_timed_out(now)
    }

    /// Returns the heartbeats received from workers since `cursor`; 0 selects all.
    pub fn heartbeats_since(&self, cursor: u64) -> HeartbeatSummary {
        let is_newer = |entry: &&Entry| entry.heartbeat_cursor.is_some_and(|position| position > cursor);
        let heartbeats = self.entries.values().filter(is_newer).map(|entry| HeartbeatDigest {
            id: entry.worker.id.clone(),
            sequence: entry.worker.sequence,
            material_digest: entry.material_digest,
        });
        HeartbeatSummary { cursor: self.cursor, heartbeats: heartbeats.collect() }
    }

    /// Returns the entry of an instance.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        self.entries.get(id).map(|entry| &entry.worker)
    }

    /// Iterates over all entries in id order, including gone and suspected ones.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.entries.values().map(|entry| &entry.worker)
    }

    /// Iterates over the ready workers of a service in id order; see [`Worker::is_ready`].
    pub fn ready_of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Worker> {
        self.iter().filter(move |worker| worker.is_ready() && worker.service == service)
    }

    /// Returns all entries for a joining node, with the countdowns adjusted to `now`.
    pub fn snapshot(&self, now: u64) -> Vec<Worker> {
        self.entries.values().map(|entry| with_adjusted_countdowns(entry, now)).collect()
    }

    /// Digest of the material fields of all active entries, used to detect diverging replicas. Sequences are
    /// excluded. Gone and suspected entries are excluded too, so that a table which evicted them and one
    /// which still retains them have the same digest.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of entries evicted so far.
    pub fn evicted_entries(&self) -> u64 {
        self.evicted_entries
    }

    fn insert(&mut self, now: u64, worker: Worker) {
        let ids = self.by_address.entry(worker.address.clone()).or_default();
        ids.insert(worker.id.clone());
        let entry = Entry::new(now, worker);
        self.digest = self.digest.wrapping_add(entry.digest());
        self.next_eviction = self.next_eviction.min(entry.evict_at.unwrap_or(u64::MAX));
        self.next_suspicion = self.next_suspicion.min(now.saturating_add(self.suspicion_timeout));
        self.entries.insert(entry.worker.id.clone(), entry);
    }

    fn unlink_address(&mut self, address: &str, id: &str) {
        if let Some(ids) = self.by_address.get_mut(address) {
            ids.remove(id);
            if ids.is_empty() {
                self.by_address.remove(address);
            }
        }
    }

    /// Suspects all other instances at the address of instance `id`.
    fn suspect_displaced(&mut self, now: u64, id: &str) -> Vec<Worker> {
        let Some(address) = self.get(id).map(|worker| worker.address.clone()) else { return Vec::new() };
        let ids = self.by_address.get(&address).into_iter().flatten();
        let others: Vec<String> = ids.filter(|other| *other != id).cloned().collect();
        others.iter().filter_map(|other| self.suspect(now, other)).collect()
    }

    fn evict_expired(&mut self, now: u64) {
        self.expire_tombstones(now);
        if now < self.next_eviction {
            return;
        }
        let is_due = |entry: &&Entry| entry.evict_at.is_some_and(|due| due <= now);
        let due: Vec<String> =
            self.entries.values().filter(is_due).map(|entry| entry.worker.id.clone()).collect();
        for id in due {
            let Some(entry) = self.entries.remove(&id) else { continue };
            self.unlink_address(&entry.worker.address, &id);
            let tombstone = Tombstone {
                gone: entry.worker.is_gone(),
                sequence: entry.worker.sequence,
                expires_at: now.saturating_add(TOMBSTONE_TTL_MS),
            };
            self.next_tombstone_expiry = self.next_tombstone_expiry.min(tombstone.expires_at);
            self.tombstones.insert(id, tombstone);
            self.evicted_entries += 1;
        }
        let due = self.entries.values().filter_map(|entry| entry.evict_at);
        self.next_eviction = due.min().unwrap_or(u64::MAX);
    }

    fn expire_tombstones(&mut self, now: u64) {
        if now >= self.next_tombstone_expiry {
            self.tombstones.retain(|_, tombstone| now < tombstone.expires_at);
            let due = self.tombstones.values().map(|tombstone| tombstone.expires_at);
            self.next_tombstone_expiry = due.min().unwrap_or(u64::MAX);
        }
    }

    fn suspect_timed_out(&mut self, now: u64) -> Vec<Worker> {
        if now < self.next_suspicion {
            return Vec::new();
        }
        let mut timed_out = Vec::new();
        let mut next = u64::MAX;
        for entry in self.entries.values().filter(|entry| entry.is_active()) {
            let due = entry.last_heartbeat_at.max(self.timeout_floor).saturating_add(self.suspicion_timeout);
            match now < due {
                true => next = next.min(due),
                false => timed_out.push(entry.worker.id.clone()),
            }
        }
        self.next_suspicion = next;
        timed_out.iter().filter_map(|id| self.suspect(now, id)).collect()
    }
}

fn with_adjusted_countdowns(entry: &Entry, now: u64) -> Worker {
    let elapsed = now.saturating_sub(entry.received_at);
    let mut worker = entry.worker.clone();
    worker.cold_remaining_ms = worker.cold_remaining_ms.saturating_sub(elapsed);
    if let WorkerState::Draining { remaining_ms: Some(remaining) } = &mut worker.state {
        *remaining = remaining.saturating_sub(elapsed);
    }
    worker
}
