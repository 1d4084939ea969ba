//! Heartbeats of workers, and the worker table that all core nodes share.

use crate::input::{Answer, CallId};
use crate::node::ControlNode;
use std::collections::{BTreeMap, BTreeSet};
use switchhill_configuration::ResultCode;
use switchhill_distribution::Change;
use switchhill_protocol::{HeardWorker, PeerBody, WorkerUpdate, WorkerUpdateAck, WorkersHeard};
use switchhill_register::ReplicaId;
use switchhill_registration::{DigestOutcome, Heartbeat, HeartbeatDigest, MergeOutcome, Worker, WorkerState};

/// Time in milliseconds in which a majority must have a worker's end before it is acknowledged.
const ACKNOWLEDGE_WITHIN: u64 = 700;

/// Time in milliseconds after which an update that a peer has not acknowledged is sent to it again.
const RESEND_AFTER: u64 = 150;

/// Time in milliseconds between two messages about workers that were heard.
const HEARD_EVERY: u64 = 300;

/// How long two worker tables may differ, in milliseconds, before the whole one is sent.
const DIFFER_FOR: u64 = 500;

/// Time in milliseconds between two repairs of the same node.
const REPAIR_EVERY: u64 = 400;

/// Worker heartbeats after which a table that started empty is whole, in tenths.
const WARM_AFTER_TENTHS: u64 = 15;

/// A worker's end that waits for a majority.
#[derive(Debug)]
struct PendingUpdate {
    call: CallId,
    entry: Worker,
    acknowledged: BTreeSet<ReplicaId>,
    deadline: u64,
    resend_at: u64,
}

/// Updates of the worker table that are under way.
#[derive(Debug, Default)]
pub(crate) struct PendingUpdates {
    next_number: u64,
    pending: BTreeMap<u64, PendingUpdate>,
    next_heard: u64,
    heard_marker: u64,
    differ_since: BTreeMap<u64, u64>,
    repaired_at: BTreeMap<u64, u64>,
    brought_up_to_date_at: BTreeMap<u64, u64>,
    /// Workers whose end a majority has, with the state that it has.
    settled: BTreeMap<String, WorkerState>,
}

impl PendingUpdates {
    /// No update yet. Numbers begin at the random number of the life, so that an acknowledgement of an update of an earlier
    /// life, which a peer may still send after a restart, is never taken for one of this life.
    pub(crate) fn new(life: u64) -> PendingUpdates {
        PendingUpdates { next_number: life, ..PendingUpdates::default() }
    }

    /// The number of the next update; never 0, which asks for no acknowledgement.
    fn take_number(&mut self) -> u64 {
        self.next_number = self.next_number.wrapping_add(1).max(1);
        self.next_number
    }

    /// Whether a node may be sent the whole worker table now; counts as done if so.
    fn may_repair(&mut self, now: u64, node: u64) -> bool {
        is_due(&mut self.repaired_at, now, node)
    }

    /// Whether a node may be sent the committed value now; counts as done if so.
    pub(crate) fn may_bring_up_to_date(&mut self, now: u64, node: u64) -> bool {
        is_due(&mut self.brought_up_to_date_at, now, node)
    }
}

impl ControlNode {
    /// A worker's heartbeat.
    pub(crate) fn worker_heartbeat(&mut self, now: u64, call: CallId, id: &str, body: &[u8]) {
        let worker = match Heartbeat::parse(id, body) {
            Ok(worker) => worker,
            Err(error) => {
                let error = ResultCode::BadField.answer(&error.to_string());
                self.answer(call, Answer::json(400, error));
                return;
            }
        };
        let leaving = worker.state != WorkerState::Ready;
        self.take_beat(now, worker.clone());
        if leaving {
            self.settle(now, call, worker);
        } else {
            self.answer(call, Answer::json(200, "{}"));
        }
    }

    /// A worker has ended.
    pub(crate) fn worker_gone(&mut self, now: u64, call: CallId, id: &str) {
        let gone = self.state.workers_mut().mark_gone(now, id);
        self.tell_of_workers(now, vec![gone.clone()]);
        self.settle(now, call, gone);
    }

    /// Acknowledges a worker's end once a majority of the core has it.
    fn settle(&mut self, now: u64, call: CallId, entry: Worker) {
        if self.updates.settled.get(&entry.id).is_some_and(|state| same_kind(state, &entry.state)) {
            self.answer(call, Answer::json(200, "{}"));
            return;
        }
        let number = self.updates.take_number();
        self.send_update(now, number, &entry, &BTreeSet::new());
        let pending = PendingUpdate {
            call,
            entry,
            acknowledged: BTreeSet::from([ReplicaId(self.settings.replica)]),
            deadline: now + ACKNOWLEDGE_WITHIN,
            resend_at: now + RESEND_AFTER,
        };
        self.updates.pending.insert(number, pending);
        self.finish_update(now, number);
    }

    fn send_update(&mut self, now: u64, number: u64, entry: &Worker, except: &BTreeSet<ReplicaId>) {
        let update =
            WorkerUpdate { number, entries: vec![entry.to_bytes()], residency: Vec::new(), whole: false };
        let up = self
            .contacts
            .iter()
            .filter(|(id, _)| self.contacts.is_up(now, *id) && !except.contains(&ReplicaId(*id)));
        let addresses: Vec<String> = up.map(|(_, contact)| contact.address.clone()).collect();
        for address in addresses {
            self.send_peer(address, PeerBody::WorkerUpdate(update.clone()));
        }
    }

    /// A core node has an update.
    pub(crate) fn worker_update_acknowledged(&mut self, now: u64, from: u64, number: u64) {
        if let Some(pending) = self.updates.pending.get_mut(&number) {
            pending.acknowledged.insert(ReplicaId(from));
        }
        self.finish_update(now, number);
    }

    fn finish_update(&mut self, now: u64, number: u64) {
        let Some(pending) = self.updates.pending.get(&number) else { return };
        let settled =
            self.replica.electorate().is_some_and(|electorate| electorate.is_quorum(&pending.acknowledged));
        if !settled || !self.serves(now) {
            return;
        }
        if let Some(pending) = self.updates.pending.remove(&number) {
            self.updates.settled.insert(pending.entry.id, pending.entry.state);
            self.answer(pending.call, Answer::json(200, "{}"));
        }
    }

    /// Takes a heartbeat into the table and tells of what it changed.
    fn take_beat(&mut self, now: u64, worker: Worker) {
        let id = worker.id.clone();
        let before = self.state.workers().get(&id).cloned();
        let outcome = self.state.workers_mut().record_heartbeat(now, worker);
        let mut changed = outcome.displaced;
        if outcome.merge == MergeOutcome::Changed {
            let present = self.state.workers().get(&id).cloned();
            match present {
                Some(present) if differs_in_models_alone(before.as_ref(), &present) => {
                    self.models_changed(&id, true);
                }
                present => changed.extend(present),
            }
        }
        if !changed.is_empty() {
            self.tell_of_workers(now, changed);
        }
    }

    /// Tells subscribers and other core nodes of entries that changed here.
    pub(crate) fn tell_of_workers(&mut self, now: u64, workers: Vec<Worker>) {
        self.tell_peers_of_workers(now, &workers);
        self.workers_changed(now, &Change::Workers(workers));
    }

    fn tell_peers_of_workers(&mut self, now: u64, workers: &[Worker]) {
        let entries = workers.iter().map(Worker::to_bytes).collect();
        let update = WorkerUpdate { number: 0, entries, residency: Vec::new(), whole: false };
        self.send_all_peers(now, PeerBody::WorkerUpdate(update));
    }

    fn workers_changed(&mut self, now: u64, change: &Change) {
        if let Some(message) = change.message() {
            self.publish(&message);
        }
        self.placer_workers_changed(now);
    }

    /// Another core node's entries.
    pub(crate) fn worker_update(&mut self, now: u64, address: String, update: WorkerUpdate) {
        let entries = update.entries.iter().filter_map(|entry| Worker::from_bytes(entry).ok());
        let entries: Vec<Worker> = entries.collect();
        let before = |entry: &Worker| self.state.workers().get(&entry.id).cloned();
        let before: BTreeMap<String, Worker> = entries.iter().filter_map(before).map(by_id).collect();
        if let Some(Change::Workers(changed)) = self.state.merge_entries(now, entries.into_iter()) {
            let models_alone = |worker: &Worker| differs_in_models_alone(before.get(&worker.id), worker);
            let (models, all): (Vec<Worker>, Vec<Worker>) = changed.into_iter().partition(models_alone);
            models.iter().for_each(|worker| self.models_changed(&worker.id, false));
            if !all.is_empty() {
                self.workers_changed(now, &Change::Workers(all));
            }
        }
        for residency in &update.residency {
            self.residency(residency);
        }
        self.warm |= update.whole;
        if update.number > 0 {
            self.send_peer(address, PeerBody::WorkerUpdateAck(WorkerUpdateAck { number: update.number }));
        }
    }

    /// Another core node heard workers.
    pub(crate) fn workers_heard(&mut self, now: u64, heard: &WorkersHeard) {
        for worker in &heard.workers {
            let heartbeat = HeartbeatDigest {
                id: worker.id.clone(),
                sequence: worker.sequence,
                material_digest: worker.material,
            };
            // An entry that is missing here comes with the comparison of tables.
            if let DigestOutcome::SuspicionCleared(cleared) =
                self.state.workers_mut().apply_digest(now, &heartbeat)
            {
                self.workers_changed(now, &Change::Workers(vec![*cleared]));
            }
        }
    }

    /// Sends the whole table to a node whose table differs for some time.
    pub(crate) fn compare_workers(&mut self, now: u64, from: u64, address: String, digest: u64, warm: bool) {
        if digest == self.state.workers().digest() {
            self.updates.differ_since.remove(&from);
            self.warm |= warm;
            return;
        }
        let since = *self.updates.differ_since.entry(from).or_insert(now);
        let due = now >= since + DIFFER_FOR || !warm;
        if due && self.updates.may_repair(now, from) {
            let update = WorkerUpdate {
                number: 0,
                entries: self.state.workers().iter().map(Worker::to_bytes).collect(),
                residency: self.state.residency().values().cloned().collect(),
                whole: self.warm,
            };
            self.send_peer(address, PeerBody::WorkerUpdate(update));
        }
    }

    /// Suspects silent workers, tells who was heard, ends updates that took too long.
    pub(crate) fn tick_workers(&mut self, now: u64) {
        self.warm |= now >= self.started_at + self.settings.worker_heartbeat_ms * WARM_AFTER_TENTHS / 10;
        self.suspect_silent(now);
        self.tell_heard(now);
        self.tick_updates(now);
        self.state.tick(now);
        let workers = self.state.workers();
        self.updates.settled.retain(|id, _| workers.get(id).is_some());
    }

    fn suspect_silent(&mut self, now: u64) {
        let may_suspect = self.serves(now) && self.warm;
        let suspected = self.state.workers_mut().tick(now, may_suspect);
        if !suspected.is_empty() {
            self.tell_of_workers(now, suspected);
        }
    }

    fn tell_heard(&mut self, now: u64) {
        if now < self.updates.next_heard {
            return;
        }
        self.updates.next_heard = now + HEARD_EVERY;
        let heard = self.state.workers().heartbeats_since(self.updates.heard_marker);
        self.updates.heard_marker = heard.cursor;
        if heard.heartbeats.is_empty() {
            return;
        }
        let told = |heartbeat: HeartbeatDigest| HeardWorker {
            id: heartbeat.id,
            sequence: heartbeat.sequence,
            material: heartbeat.material_digest,
        };
        let workers = heard.heartbeats.into_iter().map(told).collect();
        self.send_all_peers(now, PeerBody::WorkersHeard(WorkersHeard { workers }));
    }

    fn tick_updates(&mut self, now: u64) {
        let over: Vec<u64> =
            self.updates.pending.iter().filter(|(_, p)| now >= p.deadline).map(|(n, _)| *n).collect();
        for number in over {
            if let Some(pending) = self.updates.pending.remove(&number) {
                self.answer(
                    pending.call,
                    Answer::undecided(ResultCode::NoQuorum, "the end is not known to a majority"),
                );
            }
        }
        let due: Vec<u64> =
            self.updates.pending.iter().filter(|(_, p)| now >= p.resend_at).map(|(n, _)| *n).collect();
        for number in due {
            let Some(pending) = self.updates.pending.get_mut(&number) else { continue };
            pending.resend_at = now + RESEND_AFTER;
            let (entry, acknowledged) = (pending.entry.clone(), pending.acknowledged.clone());
            self.send_update(now, number, &entry, &acknowledged);
            self.finish_update(now, number);
        }
    }
}

fn by_id(worker: Worker) -> (String, Worker) {
    (worker.id.clone(), worker)
}

/// Whether an entry says the same as the one before it, but for the models that the worker holds.
fn differs_in_models_alone(before: Option<&Worker>, present: &Worker) -> bool {
    before.is_some_and(|before| {
        let with_models = Worker { models: present.models.clone(), ..before.clone() };
        !with_models.differs_materially(present)
    })
}

fn is_due(done_at: &mut BTreeMap<u64, u64>, now: u64, node: u64) -> bool {
    let due = done_at.get(&node).is_none_or(|at| now >= at + REPAIR_EVERY);
    if due {
        done_at.insert(node, now);
    }
    due
}

fn same_kind(one: &WorkerState, other: &WorkerState) -> bool {
    std::mem::discriminant(one) == std::mem::discriminant(other)
}
