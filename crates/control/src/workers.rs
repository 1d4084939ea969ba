//! Worker heartbeats, and the replication of the worker table among the core nodes.

use crate::input::{Answer, CallId};
use crate::node::ControlNode;
use std::collections::{BTreeMap, BTreeSet};
use switchhill_configuration::ResultCode;
use switchhill_distribution::Change;
use switchhill_protocol::{HeardWorker, PeerBody, WorkerUpdate, WorkerUpdateAck, WorkersHeard};
use switchhill_register::ReplicaId;
use switchhill_registration::{DigestOutcome, Heartbeat, HeartbeatDigest, MergeOutcome, Worker, WorkerState};

/// Time limit in milliseconds for a majority to confirm a worker's draining or termination before the call fails.
const MAJORITY_TIMEOUT_MS: u64 = 700;

/// Interval in milliseconds at which an update is sent again to peers that have not acknowledged it.
const RESEND_INTERVAL_MS: u64 = 150;

/// Interval in milliseconds at which the other core nodes are informed of received heartbeats.
const HEARD_INTERVAL_MS: u64 = 300;

/// Time in milliseconds for which two worker tables may differ before the complete table is sent.
const MAX_DIFFERENCE_MS: u64 = 500;

/// Minimum interval in milliseconds between repairs of the same node.
const REPAIR_INTERVAL_MS: u64 = 400;

/// Time after the start, in tenths of the worker heartbeat interval, after which an initially empty table is complete.
const COMPLETE_AFTER_TENTHS: u64 = 15;

/// A draining or terminated worker whose new state is not yet confirmed by a majority.
#[derive(Debug)]
struct PendingUpdate {
    call: CallId,
    entry: Worker,
    acknowledged: BTreeSet<ReplicaId>,
    deadline: u64,
    resend_at: u64,
}

/// Unconfirmed updates of the worker table, and the state of its replication to other nodes.
#[derive(Debug, Default)]
pub(crate) struct PendingUpdates {
    next_number: u64,
    pending: BTreeMap<u64, PendingUpdate>,
    next_heard_at: u64,
    heard_marker: u64,
    differ_since: BTreeMap<u64, u64>,
    repaired_at: BTreeMap<u64, u64>,
    committed_sent_at: BTreeMap<u64, u64>,
    /// Draining and terminated workers whose state a majority has confirmed, with that state.
    confirmed: BTreeMap<String, WorkerState>,
}

impl PendingUpdates {
    /// Creates the state without pending updates. Update numbers start at the random number of the incarnation, so that
    /// a late acknowledgement of an update from before a restart never matches an update of this process.
    pub(crate) fn new(incarnation: u64) -> PendingUpdates {
        PendingUpdates { next_number: incarnation, ..PendingUpdates::default() }
    }

    /// Returns the number of the next update. It is never 0, which stands for an update without acknowledgement.
    fn take_number(&mut self) -> u64 {
        self.next_number = self.next_number.wrapping_add(1).max(1);
        self.next_number
    }

    /// Keeps the state of replication only to the nodes that `is_known` accepts.
    pub(crate) fn retain_nodes(&mut self, is_known: impl Fn(u64) -> bool) {
        for times in [&mut self.differ_since, &mut self.repaired_at, &mut self.committed_sent_at] {
            times.retain(|id, _| is_known(*id));
        }
    }

    /// Whether the complete worker table may be sent to a node now. If so, the time is recorded.
    fn may_repair(&mut self, now: u64, node: u64) -> bool {
        mark_if_due(&mut self.repaired_at, now, node)
    }

    /// Whether the committed value may be sent to a node now. If so, the time is recorded.
    pub(crate) fn may_send_committed(&mut self, now: u64, node: u64) -> bool {
        mark_if_due(&mut self.committed_sent_at, now, node)
    }
}

impl ControlNode {
    /// Handles a worker's heartbeat.
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
        self.apply_heartbeat(now, worker.clone());
        if leaving {
            self.answer_after_majority(now, call, worker);
        } else {
            self.answer(call, Answer::json(200, "{}"));
        }
    }

    /// Handles the deregistration of a worker.
    pub(crate) fn worker_deregistered(&mut self, now: u64, call: CallId, id: &str) {
        let entry = self.state.workers_mut().mark_gone(now, id);
        self.publish_workers(now, vec![entry.clone()]);
        self.answer_after_majority(now, call, entry);
    }

    /// Answers the call once a majority of the electorate has the worker's draining or terminated state.
    fn answer_after_majority(&mut self, now: u64, call: CallId, entry: Worker) {
        if self.updates.confirmed.get(&entry.id).is_some_and(|state| is_same_variant(state, &entry.state)) {
            self.answer(call, Answer::json(200, "{}"));
            return;
        }
        let number = self.updates.take_number();
        self.send_update(now, number, &entry, &BTreeSet::new());
        let pending = PendingUpdate {
            call,
            entry,
            acknowledged: BTreeSet::from([ReplicaId(self.settings.replica_id)]),
            deadline: now + MAJORITY_TIMEOUT_MS,
            resend_at: now + RESEND_INTERVAL_MS,
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

    /// Records that a core node has acknowledged an update.
    pub(crate) fn worker_update_acknowledged(&mut self, now: u64, from: u64, number: u64) {
        if let Some(pending) = self.updates.pending.get_mut(&number) {
            pending.acknowledged.insert(ReplicaId(from));
        }
        self.finish_update(now, number);
    }

    fn finish_update(&mut self, now: u64, number: u64) {
        let Some(pending) = self.updates.pending.get(&number) else { return };
        let is_confirmed =
            self.replica.electorate().is_some_and(|electorate| electorate.is_quorum(&pending.acknowledged));
        if !is_confirmed || !self.serves(now) {
            return;
        }
        if let Some(pending) = self.updates.pending.remove(&number) {
            self.updates.confirmed.insert(pending.entry.id, pending.entry.state);
            self.answer(pending.call, Answer::json(200, "{}"));
        }
    }

    /// Merges a heartbeat into the worker table and publishes the changes.
    fn apply_heartbeat(&mut self, now: u64, worker: Worker) {
        let id = worker.id.clone();
        let before = self.state.workers().get(&id).cloned();
        let outcome = self.state.workers_mut().record_heartbeat(now, worker);
        let mut changed = outcome.displaced;
        if outcome.merge == MergeOutcome::Changed {
            let current = self.state.workers().get(&id).cloned();
            match current {
                Some(current) if differs_only_in_models(before.as_ref(), &current) => {
                    self.queue_model_change(&id, true);
                }
                current => changed.extend(current),
            }
        }
        if !changed.is_empty() {
            self.publish_workers(now, changed);
        }
    }

    /// Sends subscribers and other core nodes the entries that this node changed.
    pub(crate) fn publish_workers(&mut self, now: u64, workers: Vec<Worker>) {
        self.send_workers_to_peers(now, &workers);
        self.workers_changed(now, &Change::Workers(workers));
    }

    fn send_workers_to_peers(&mut self, now: u64, workers: &[Worker]) {
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

    /// Merges entries received from another core node.
    pub(crate) fn worker_update(&mut self, now: u64, address: String, update: WorkerUpdate) {
        let entries = update.entries.iter().filter_map(|entry| Worker::from_bytes(entry).ok());
        let entries: Vec<Worker> = entries.collect();
        let before = |entry: &Worker| self.state.workers().get(&entry.id).cloned();
        let before: BTreeMap<String, Worker> = entries.iter().filter_map(before).map(by_id).collect();
        if let Some(Change::Workers(changed)) = self.state.merge_entries(now, entries.into_iter()) {
            let only_models = |worker: &Worker| differs_only_in_models(before.get(&worker.id), worker);
            let (models, all): (Vec<Worker>, Vec<Worker>) = changed.into_iter().partition(only_models);
            models.iter().for_each(|worker| self.queue_model_change(&worker.id, false));
            if !all.is_empty() {
                self.workers_changed(now, &Change::Workers(all));
            }
        }
        for residency in &update.residency {
            self.apply_residency(residency);
        }
        self.workers_complete |= update.whole;
        if update.number > 0 {
            self.send_peer(address, PeerBody::WorkerUpdateAck(WorkerUpdateAck { number: update.number }));
        }
    }

    /// Records worker heartbeats that another core node received.
    pub(crate) fn peer_heard_workers(&mut self, now: u64, heard: &WorkersHeard) {
        for worker in &heard.workers {
            let beat = HeartbeatDigest {
                id: worker.id.clone(),
                sequence: worker.sequence,
                material_digest: worker.material,
            };
            // A missing entry is added by the comparison of the tables.
            if let DigestOutcome::SuspicionCleared(cleared) =
                self.state.workers_mut().apply_digest(now, &beat)
            {
                self.workers_changed(now, &Change::Workers(vec![*cleared]));
            }
        }
    }

    /// Sends the complete table to a node whose table has differed for some time.
    pub(crate) fn compare_workers(&mut self, now: u64, from: u64, address: String, digest: u64, warm: bool) {
        if digest == self.state.workers().digest() {
            self.updates.differ_since.remove(&from);
            self.workers_complete |= warm;
            return;
        }
        let since = *self.updates.differ_since.entry(from).or_insert(now);
        let due = now >= since + MAX_DIFFERENCE_MS || !warm;
        if due && self.updates.may_repair(now, from) {
            let update = WorkerUpdate {
                number: 0,
                entries: self.state.workers().iter().map(Worker::to_bytes).collect(),
                residency: self.state.residency().values().cloned().collect(),
                whole: self.workers_complete,
            };
            self.send_peer(address, PeerBody::WorkerUpdate(update));
        }
    }

    /// Suspects silent workers, informs the other core nodes of received heartbeats, and resends or fails pending
    /// updates.
    pub(crate) fn tick_workers(&mut self, now: u64) {
        self.workers_complete |=
            now >= self.started_at + self.settings.worker_heartbeat_ms * COMPLETE_AFTER_TENTHS / 10;
        self.suspect_silent(now);
        self.send_heard(now);
        self.tick_updates(now);
        self.state.tick(now);
        let workers = self.state.workers();
        self.updates.confirmed.retain(|id, _| workers.get(id).is_some());
    }

    fn suspect_silent(&mut self, now: u64) {
        let may_suspect = self.serves(now) && self.workers_complete;
        let suspected = self.state.workers_mut().tick(now, may_suspect);
        if !suspected.is_empty() {
            self.publish_workers(now, suspected);
        }
    }

    fn send_heard(&mut self, now: u64) {
        if now < self.updates.next_heard_at {
            return;
        }
        self.updates.next_heard_at = now + HEARD_INTERVAL_MS;
        let heard = self.state.workers().heartbeats_since(self.updates.heard_marker);
        self.updates.heard_marker = heard.cursor;
        if heard.heartbeats.is_empty() {
            return;
        }
        let message = |beat: HeartbeatDigest| HeardWorker {
            id: beat.id,
            sequence: beat.sequence,
            material: beat.material_digest,
        };
        let workers = heard.heartbeats.into_iter().map(message).collect();
        self.send_all_peers(now, PeerBody::WorkersHeard(WorkersHeard { workers }));
    }

    fn tick_updates(&mut self, now: u64) {
        let expired: Vec<u64> =
            self.updates.pending.iter().filter(|(_, p)| now >= p.deadline).map(|(n, _)| *n).collect();
        for number in expired {
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
            pending.resend_at = now + RESEND_INTERVAL_MS;
            let (entry, acknowledged) = (pending.entry.clone(), pending.acknowledged.clone());
            self.send_update(now, number, &entry, &acknowledged);
            self.finish_update(now, number);
        }
    }
}

fn by_id(worker: Worker) -> (String, Worker) {
    (worker.id.clone(), worker)
}

/// Whether an entry differs from its previous version only in the list of models.
fn differs_only_in_models(before: Option<&Worker>, current: &Worker) -> bool {
    before.is_some_and(|before| {
        let with_models = Worker { models: current.models.clone(), ..before.clone() };
        !with_models.differs_materially(current)
    })
}

fn mark_if_due(done_at: &mut BTreeMap<u64, u64>, now: u64, node: u64) -> bool {
    let due = done_at.get(&node).is_none_or(|at| now >= at + REPAIR_INTERVAL_MS);
    if due {
        done_at.insert(node, now);
    }
    due
}

fn is_same_variant(one: &WorkerState, other: &WorkerState) -> bool {
    std::mem::discriminant(one) == std::mem::discriminant(other)
}
