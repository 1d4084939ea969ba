//! The table of all workers, as one node knows them.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use crate::worker::{Worker, WorkerState};

/// Milliseconds for which an entry that is gone or suspected is kept and told to others. Long enough that a
/// node cut off for a while still learns that the instance has ended.
pub const EVICT_AFTER_MS: u64 = 60_000;
/// Milliseconds for which a forgotten instance is still known by id and sequence. Far above
/// [`EVICT_AFTER_MS`], so that nodes that forget at different times do not bring it back to each other.
const REMEMBER_FORGOTTEN_MS: u64 = 10 * EVICT_AFTER_MS;

/// Milliseconds without a heartbeat after which a worker is suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SuspicionTimeout(pub u64);

/// What merging an entry did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeOutcome {
    /// Nothing: the table holds the same or a newer entry that says the same.
    Unchanged,
    /// Only the sequence moved, and what counts down by itself.
    Refreshed,
    /// The entry is new or says something else: it is to be published.
    Changed,
    /// The table holds a newer entry that says something else. Who sent this one, or heard of it, may
    /// hold the older entry for long: the table's entry is to be published.
    Superseded,
}

/// What a heartbeat that came directly from a worker did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatOutcome {
    /// What merging it did.
    pub merge: MergeOutcome,
    /// Other instances at the same address, now suspected: entries to publish.
    pub displaced: Vec<Worker>,
}

/// A heartbeat that some node heard directly, in short.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatDigest {
    /// The instance.
    pub id: String,
    /// The heartbeat's number.
    pub sequence: u64,
    /// [`Worker::material_digest`] of what it said.
    pub material_digest: u64,
}

/// The heartbeats heard directly since a marker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeartbeatSummary {
    /// The marker for the next call.
    pub cursor: u64,
    /// The newest heartbeat of each instance that was heard.
    pub heartbeats: Vec<HeartbeatDigest>,
}

/// What a heartbeat that another node heard did here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DigestOutcome {
    /// The table has what it said.
    UpToDate,
    /// The table has what it said, and it cleared a suspicion: the entry is to be published.
    SuspicionCleared(Box<Worker>),
    /// The table lacks what it said: the sender is to be asked for its entry.
    EntryMissing,
}

#[derive(Clone, Debug)]
struct Entry {
    worker: Worker,
    /// [`Worker::material_digest`] of the worker.
    material_digest: u64,
    /// When the newest sequence was heard of.
    last_heard: u64,
    /// When the heartbeat in `worker` was received; what counts down does so from here.
    received_at: u64,
    /// The marker of the newest heartbeat that came directly.
    heartbeat_cursor: Option<u64>,
    /// When the entry is forgotten, for one that is gone or suspected.
    forget_at: Option<u64>,
}

impl Entry {
    fn new(now: u64, worker: Worker) -> Entry {
        let mut entry = Entry {
            material_digest: worker.material_digest(),
            worker,
            last_heard: now,
            received_at: now,
            heartbeat_cursor: None,
            forget_at: None,
        };
        entry.arm_forgetting(now);
        entry
    }

    /// Takes a newer entry of the same instance.
    fn replace(&mut self, now: u64, worker: Worker) {
        let rearm = worker.differs_materially(&self.worker);
        if worker.sequence > self.worker.sequence && !worker.suspected {
            self.last_heard = now;
        }
        if worker.sequence != self.worker.sequence {
            self.received_at = now;
        }
        self.material_digest = worker.material_digest();
        self.worker = worker;
        if rearm {
            self.arm_forgetting(now);
        }
    }

    fn arm_forgetting(&mut self, now: u64) {
        let ends = self.worker.is_gone() || self.worker.suspected;
        self.forget_at = ends.then(|| now.saturating_add(EVICT_AFTER_MS));
    }

    fn suspect(&mut self, now: u64) -> Worker {
        self.worker.suspected = true;
        self.arm_forgetting(now);
        self.worker.clone()
    }

    fn may_be_suspected(&self) -> bool {
        !self.worker.is_gone() && !self.worker.suspected
    }

    /// Its part of the table's digest.
    fn digest(&self) -> u64 {
        if self.may_be_suspected() {
            self.material_digest
        } else {
            0
        }
    }
}

/// What is left of a forgotten entry.
#[derive(Clone, Copy, Debug)]
struct Forgotten {
    gone: bool,
    sequence: u64,
    until: u64,
}

impl Forgotten {
    /// Whether the heartbeat with this sequence says nothing new of the instance.
    fn covers_beat(&self, sequence: u64) -> bool {
        self.gone || sequence <= self.sequence
    }

    /// Whether the entry says nothing new of the instance; that it is gone is new unless it was known.
    fn covers_entry(&self, worker: &Worker) -> bool {
        match worker.is_gone() {
            true => self.gone,
            false => self.covers_beat(worker.sequence),
        }
    }
}

/// The table of all workers.
#[derive(Clone, Debug)]
pub struct WorkerTable {
    suspect_after: u64,
    entries: BTreeMap<String, Entry>,
    forgotten: HashMap<String, Forgotten>,
    /// Ids by address, to find an address that is used again.
    by_address: HashMap<String, BTreeSet<String>>,
    /// Number of heartbeats heard directly.
    cursor: u64,
    last_tick: Option<u64>,
    /// Silence counts from here at the earliest.
    silence_from: u64,
    /// [`WorkerTable::digest`], kept up to date.
    digest: u64,
    /// Number of entries forgotten so far.
    evicted_entries: u64,
    /// No entry is due to be suspected before this time.
    next_suspicion: u64,
    /// No entry is due to be forgotten before this time.
    next_forgetting: u64,
    /// Nothing forgotten is due to be dropped before this time.
    next_drop: u64,
}

impl WorkerTable {
    /// An empty table.
    pub fn new(suspect_after: SuspicionTimeout) -> WorkerTable {
        WorkerTable {
            suspect_after: suspect_after.0,
            entries: BTreeMap::new(),
            forgotten: HashMap::new(),
            by_address: HashMap::new(),
            cursor: 0,
            last_tick: None,
            silence_from: 0,
            digest: 0,
            evicted_entries: 0,
            next_suspicion: 0,
            next_forgetting: 0,
            next_drop: 0,
        }
    }

    /// Takes a heartbeat that came directly from a worker at `now`.
    ///
    /// Other instances at its address have ended, as only one can be there. They become suspected, not
    /// gone: heartbeats may be read late and in the wrong order by a node that stood still, and a worker
    /// that is suspected by mistake is cleared by its next heartbeat.
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
        HeartbeatOutcome { merge, displaced: self.displace(now, &id) }
    }

    /// Merges an entry of another node's table at `now`.
    pub fn merge(&mut self, now: u64, worker: Worker) -> MergeOutcome {
        if let Some(forgotten) = self.forgotten.get(&worker.id) {
            if forgotten.covers_entry(&worker) {
                return MergeOutcome::Unchanged;
            }
            self.forgotten.remove(&worker.id);
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
        self.next_forgetting = self.next_forgetting.min(entry.forget_at.unwrap_or(u64::MAX));
        self.next_suspicion = self.next_suspicion.min(entry.last_heard.saturating_add(self.suspect_after));
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

    /// Takes a heartbeat that another node heard directly.
    pub fn apply_digest(&mut self, now: u64, heartbeat: &HeartbeatDigest) -> DigestOutcome {
        let Some(entry) = self.entries.get_mut(&heartbeat.id) else {
            let forgotten = self.forgotten.get(&heartbeat.id);
            return match forgotten.is_some_and(|forgotten| forgotten.covers_beat(heartbeat.sequence)) {
                true => DigestOutcome::UpToDate,
                false => DigestOutcome::EntryMissing,
            };
        };
        if entry.worker.is_gone() || heartbeat.sequence <= entry.worker.sequence {
            return DigestOutcome::UpToDate;
        }
        entry.last_heard = now;
        if heartbeat.material_digest != entry.material_digest {
            return DigestOutcome::EntryMissing;
        }
        entry.worker.sequence = heartbeat.sequence;
        if !entry.worker.suspected {
            return DigestOutcome::UpToDate;
        }
        entry.worker.suspected = false;
        entry.arm_forgetting(now);
        self.digest = self.digest.wrapping_add(entry.digest());
        self.next_suspicion = self.next_suspicion.min(now.saturating_add(self.suspect_after));
        DigestOutcome::SuspicionCleared(Box::new(entry.worker.clone()))
    }

    /// Marks an instance as ended and gives the entry to publish, also for an id that is not known.
    pub fn mark_gone(&mut self, now: u64, id: &str) -> Worker {
        let known = self.entries.get(id);
        let ended = known.map_or_else(|| Worker::gone(id), |entry| entry.worker.to_gone());
        self.merge(now, ended.clone());
        ended
    }

    /// Suspects a worker that others found unreachable, and gives its entry to publish unless it is not known, has ended or
    /// is suspected already. Its next heartbeat clears the suspicion.
    pub fn suspect(&mut self, now: u64, id: &str) -> Option<Worker> {
        let entry = self.entries.get_mut(id).filter(|entry| entry.may_be_suspected())?;
        self.digest = self.digest.wrapping_sub(entry.digest());
        self.next_forgetting = self.next_forgetting.min(now.saturating_add(EVICT_AFTER_MS));
        Some(entry.suspect(now))
    }

    /// Suspects workers that were silent for too long and gives their entries to publish; forgets old ones.
    ///
    /// `may_suspect` is false while this node has no contact with a quorum. Silence counts anew from the
    /// time at which it last was false, and from the end of a pause between ticks so long that this node
    /// itself must have stood still.
    pub fn tick(&mut self, now: u64, may_suspect: bool) -> Vec<Worker> {
        let longest_pause = self.suspect_after / 2;
        let stood_still = self.last_tick.is_none_or(|last| now.saturating_sub(last) > longest_pause);
        self.last_tick = Some(now);
        if !may_suspect || stood_still {
            self.silence_from = now;
        }
        self.forget(now);
        self.suspect_silent(now)
    }

    /// The heartbeats heard directly since `marker`; 0 asks for all.
    pub fn heartbeats_since(&self, cursor: u64) -> HeartbeatSummary {
        let is_newer = |entry: &&Entry| entry.heartbeat_cursor.is_some_and(|position| position > cursor);
        let heartbeats = self.entries.values().filter(is_newer).map(|entry| HeartbeatDigest {
            id: entry.worker.id.clone(),
            sequence: entry.worker.sequence,
            material_digest: entry.material_digest,
        });
        HeartbeatSummary { cursor: self.cursor, heartbeats: heartbeats.collect() }
    }

    /// The entry of an instance.
    pub fn get(&self, id: &str) -> Option<&Worker> {
        self.entries.get(id).map(|entry| &entry.worker)
    }

    /// All entries by id, those that are gone or suspected included.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.entries.values().map(|entry| &entry.worker)
    }

    /// The workers of a service that take requests and are not suspected, by id.
    pub fn ready_of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Worker> {
        self.iter().filter(move |worker| worker.is_ready() && worker.service == service)
    }

    /// All entries for a node that joins, with what counts down reduced to what is left at `now`.
    pub fn snapshot(&self, now: u64) -> Vec<Worker> {
        self.entries.values().map(|entry| counted_down(entry, now)).collect()
    }

    /// A digest of what the table says, suspicions included, but not of sequences. Tables that say the same
    /// have the same digest, also where one has forgotten what the other still holds as gone or suspected:
    /// such entries do not enter.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of entries forgotten so far.
    pub fn evicted_entries(&self) -> u64 {
        self.evicted_entries
    }

    fn insert(&mut self, now: u64, worker: Worker) {
        let ids = self.by_address.entry(worker.address.clone()).or_default();
        ids.insert(worker.id.clone());
        let entry = Entry::new(now, worker);
        self.digest = self.digest.wrapping_add(entry.digest());
        self.next_forgetting = self.next_forgetting.min(entry.forget_at.unwrap_or(u64::MAX));
        self.next_suspicion = self.next_suspicion.min(now.saturating_add(self.suspect_after));
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

    /// Suspects the other instances at the address of the instance `id`.
    fn displace(&mut self, now: u64, id: &str) -> Vec<Worker> {
        let Some(address) = self.get(id).map(|worker| worker.address.clone()) else { return Vec::new() };
        let ids = self.by_address.get(&address).into_iter().flatten();
        let others: Vec<String> = ids.filter(|other| *other != id).cloned().collect();
        others.iter().filter_map(|other| self.suspect(now, other)).collect()
    }

    fn forget(&mut self, now: u64) {
        self.drop_forgotten(now);
        if now < self.next_forgetting {
            return;
        }
        let is_due = |entry: &&Entry| entry.forget_at.is_some_and(|due| due <= now);
        let due: Vec<String> =
            self.entries.values().filter(is_due).map(|entry| entry.worker.id.clone()).collect();
        for id in due {
            let Some(entry) = self.entries.remove(&id) else { continue };
            self.unlink_address(&entry.worker.address, &id);
            let forgotten = Forgotten {
                gone: entry.worker.is_gone(),
                sequence: entry.worker.sequence,
                until: now.saturating_add(REMEMBER_FORGOTTEN_MS),
            };
            self.next_drop = self.next_drop.min(forgotten.until);
            self.forgotten.insert(id, forgotten);
            self.evicted_entries += 1;
        }
        let due = self.entries.values().filter_map(|entry| entry.forget_at);
        self.next_forgetting = due.min().unwrap_or(u64::MAX);
    }

    fn drop_forgotten(&mut self, now: u64) {
        if now >= self.next_drop {
            self.forgotten.retain(|_, forgotten| now < forgotten.until);
            let due = self.forgotten.values().map(|forgotten| forgotten.until);
            self.next_drop = due.min().unwrap_or(u64::MAX);
        }
    }

    fn suspect_silent(&mut self, now: u64) -> Vec<Worker> {
        if now < self.next_suspicion {
            return Vec::new();
        }
        let mut silent = Vec::new();
        let mut next = u64::MAX;
        for entry in self.entries.values().filter(|entry| entry.may_be_suspected()) {
            let due = entry.last_heard.max(self.silence_from).saturating_add(self.suspect_after);
            match now < due {
                true => next = next.min(due),
                false => silent.push(entry.worker.id.clone()),
            }
        }
        self.next_suspicion = next;
        silent.iter().filter_map(|id| self.suspect(now, id)).collect()
    }
}

fn counted_down(entry: &Entry, now: u64) -> Worker {
    let elapsed = now.saturating_sub(entry.received_at);
    let mut worker = entry.worker.clone();
    worker.cold_remaining_ms = worker.cold_remaining_ms.saturating_sub(elapsed);
    if let WorkerState::Draining { remaining_ms: Some(remaining) } = &mut worker.state {
        *remaining = remaining.saturating_sub(elapsed);
    }
    worker
}
