//! Batching of frequent small changes: residency, model lists and expected load times.
//!
//! The set of resident models of a worker changes with each order, and every change goes to every gatekeeper over each
//! of its connections. Sent one by one, these changes took most of a core node's CPU time at 300 gatekeepers and 256
//! workers. They are therefore sent in rounds, and the interval between rounds grows with the number of subscribers,
//! which bounds the messages per second for any number of subscribers. In a small fleet changes go out immediately. A
//! subscriber whose home is another node gets them from that node; this node sends them later as well, in case the home
//! node's message did not arrive.
//!
//! New, draining, terminated and suspected workers are not batched: all subscribers are informed immediately.

#[cfg(test)]
mod tests;

use crate::input::SubscriberId;
use crate::node::ControlNode;
use std::collections::{BTreeMap, BTreeSet};
use switchhill_distribution::Change;
use switchhill_protocol::{Downstream, DownstreamBody, Expectation, PeerBody, Residency, WorkerUpdate};
use switchhill_registration::Worker;

/// Mean number of home subscribers served per millisecond. With nine core nodes and 291 gatekeepers, a node has 32 home
/// subscribers and sends a round each tick (25 ms).
const HOME_SUBSCRIBERS_PER_MS: f64 = 1.3;
/// The same for the other subscribers: in that fleet a node has 97 of them and sends them a round every 250 ms.
const OTHER_SUBSCRIBERS_PER_MS: f64 = 0.4;

/// Model or adapter whose load is expected to complete.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ExpectedModel {
    service: String,
    model: String,
    adapter: String,
}

/// Ids of workers with unsent changes. A round sends the state that is current at that time.
#[derive(Debug, Default)]
struct ChangedWorkers {
    /// Workers whose residency changed according to the placer.
    residency: BTreeSet<String>,
    /// Workers whose own heartbeats reported a changed list of models.
    models: BTreeSet<String>,
}

/// Changes that have not been sent yet.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    for_homes: ChangedWorkers,
    for_others: ChangedWorkers,
    for_peers: BTreeSet<String>,
    expectations: BTreeMap<ExpectedModel, Expectation>,
    next_home_round_at: u64,
    next_other_round_at: u64,
}

impl Announcements {
    fn is_due_for_homes(&self, now: u64) -> bool {
        let is_empty = self.for_homes.is_empty() && self.for_peers.is_empty() && self.expectations.is_empty();
        now >= self.next_home_round_at && !is_empty
    }

    fn is_due_for_others(&self, now: u64) -> bool {
        now >= self.next_other_round_at && !self.for_others.is_empty()
    }
}

/// Time in milliseconds until the next round, after one that was sent to this number of subscribers.
fn round_interval_ms(subscribers: usize, subscribers_per_ms: f64) -> u64 {
    (subscribers as f64 / subscribers_per_ms) as u64
}

impl ChangedWorkers {
    fn is_empty(&self) -> bool {
        self.residency.is_empty() && self.models.is_empty()
    }
}

impl ControlNode {
    /// Merges a residency update of the placer and queues it for the subscribers if it is newer than the known state.
    pub(crate) fn apply_residency(&mut self, residency: &Residency) {
        if self.state.merge_residency(residency).is_none() {
            return;
        }
        self.announcements.for_homes.residency.insert(residency.worker.clone());
        self.announcements.for_others.residency.insert(residency.worker.clone());
    }

    /// Queues for the home subscribers when a missing model is expected to be loaded.
    pub(crate) fn queue_expectation(&mut self, expectation: Expectation) {
        let key = ExpectedModel {
            service: expectation.service.clone(),
            model: expectation.model.clone(),
            adapter: expectation.adapter.clone(),
        };
        self.announcements.expectations.insert(key, expectation);
    }

    /// Queues a worker's changed list of models for the subscribers and, if this node received the worker's heartbeat,
    /// for the other core nodes.
    pub(crate) fn queue_model_change(&mut self, worker: &str, received_here: bool) {
        self.announcements.for_homes.models.insert(worker.to_owned());
        self.announcements.for_others.models.insert(worker.to_owned());
        if received_here {
            self.announcements.for_peers.insert(worker.to_owned());
        }
    }

    /// Sends the rounds that are due to subscribers and other core nodes.
    pub(crate) fn send_due_announcements(&mut self, now: u64) {
        if self.announcements.is_due_for_homes(now) {
            self.send_home_round(now);
        }
        if self.announcements.is_due_for_others(now) {
            self.send_other_round(now);
        }
    }

    /// Sends all queued changes. This has to precede a status, which holds a digest of the worker table: if the status
    /// arrived before the changes that the digest covers, every subscriber would see a mismatch, and under continuous
    /// changes the mismatches would last until the subscriber fetches the whole table.
    pub(crate) fn flush_announcements(&mut self, now: u64) {
        self.send_home_round(now);
        self.send_other_round(now);
    }

    fn send_home_round(&mut self, now: u64) {
        self.send_model_changes_to_peers(now);
        let changed = std::mem::take(&mut self.announcements.for_homes);
        let expectations = std::mem::take(&mut self.announcements.expectations);
        let mut messages = self.messages(&changed);
        messages.extend(expectations.into_values().map(expectation_message));
        let homes: Vec<SubscriberId> = self.subscribers.homes().map(|(id, _)| id).collect();
        self.announcements.next_home_round_at = now + round_interval_ms(homes.len(), HOME_SUBSCRIBERS_PER_MS);
        for message in messages {
            self.send_subscribers(homes.clone(), message);
        }
    }

    fn send_other_round(&mut self, now: u64) {
        let changed = std::mem::take(&mut self.announcements.for_others);
        let others: Vec<SubscriberId> = self.subscribers.others().collect();
        self.announcements.next_other_round_at =
            now + round_interval_ms(others.len(), OTHER_SUBSCRIBERS_PER_MS);
        for message in self.messages(&changed) {
            self.send_subscribers(others.clone(), message);
        }
    }

    /// Sends a subscriber that has just become a home subscriber the changes still queued for the other subscribers.
    pub(crate) fn send_queued_to_new_home(&mut self, id: SubscriberId) {
        for message in self.messages(&self.announcements.for_others) {
            self.send_subscriber(id, message);
        }
    }

    /// Sends the other core nodes the workers whose heartbeats this node received and whose lists of models changed.
    pub(crate) fn send_model_changes_to_peers(&mut self, now: u64) {
        let workers = std::mem::take(&mut self.announcements.for_peers);
        let entries: Vec<Vec<u8>> =
            workers.iter().filter_map(|id| self.state.workers().get(id)).map(Worker::to_bytes).collect();
        if !entries.is_empty() {
            let update = WorkerUpdate { number: 0, entries, residency: Vec::new(), whole: false };
            self.send_all_peers(now, PeerBody::WorkerUpdate(update));
        }
    }

    fn messages(&self, changed: &ChangedWorkers) -> Vec<Downstream> {
        let workers = changed.models.iter().filter_map(|id| self.state.workers().get(id).cloned());
        let workers: Vec<Worker> = workers.collect();
        let models = (!workers.is_empty()).then_some(Change::Workers(workers));
        let residency = changed.residency.iter().filter_map(|id| self.state.residency().get(id).cloned());
        let changes = models.into_iter().chain(residency.map(Change::Residency));
        changes.filter_map(|change| change.message()).collect()
    }
}

fn expectation_message(expectation: Expectation) -> Downstream {
    Downstream { body: Some(DownstreamBody::Expectation(expectation)) }
}
