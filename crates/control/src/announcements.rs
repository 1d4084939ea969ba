//! Small changes that come by the hundred a second in a large fleet, gathered and told together.
//!
//! What a worker holds changes with each order, and each change concerns every gatekeeper over each of its links. Told one by
//! one, they took most of a core node's processor time at 300 gatekeepers and 256 workers. So changes are told in rounds, and
//! the time between two rounds grows with the number of subscribers: what is sent in a second is bounded whatever their
//! number. In a small fleet that is at once. A subscriber whose home is another node hears of it from there;
//! here it is told later, in case the home was not heard.
//!
//! A worker that is new, drains, ends, or is suspected does not come this way: it is told at once, to all.

#[cfg(test)]
mod tests;

use crate::input::SubscriberId;
use crate::node::ControlNode;
use std::collections::{BTreeMap, BTreeSet};
use switchhill_distribution::Change;
use switchhill_protocol::{Downstream, DownstreamBody, Expectation, PeerBody, Residency, WorkerUpdate};
use switchhill_registration::Worker;

/// Subscribers that are told in a millisecond on the mean, of those whose home the node is. The 32 homes of one of nine core
/// nodes before 291 gatekeepers have a round each tick, of 25 ms.
const HOMES_A_MS: f64 = 1.3;
/// The same of the others: the 97 others there have a round each 250 ms.
const OTHERS_A_MS: f64 = 0.4;

/// A model or adapter of which something is expected.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ExpectedModel {
    service: String,
    model: String,
    adapter: String,
}

/// Workers of which something is to be told; what is told is what the node holds then.
#[derive(Debug, Default)]
struct ChangedWorkers {
    /// Whose residency changed, as the placer knows it.
    residency: BTreeSet<String>,
    /// Whose list of models changed, as they say themselves.
    models: BTreeSet<String>,
}

/// What is still to be told.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    for_homes: ChangedWorkers,
    for_others: ChangedWorkers,
    for_peers: BTreeSet<String>,
    expectations: BTreeMap<ExpectedModel, Expectation>,
    next_for_homes: u64,
    next_for_others: u64,
}

impl Announcements {
    fn is_due_for_homes(&self, now: u64) -> bool {
        let nothing = self.for_homes.is_empty() && self.for_peers.is_empty() && self.expectations.is_empty();
        now >= self.next_for_homes && !nothing
    }

    fn is_due_for_others(&self, now: u64) -> bool {
        now >= self.next_for_others && !self.for_others.is_empty()
    }
}

/// Time in milliseconds from a round to so many subscribers until the next.
fn pause_after(subscribers: usize, subscribers_a_ms: f64) -> u64 {
    (subscribers as f64 / subscribers_a_ms) as u64
}

impl ChangedWorkers {
    fn is_empty(&self) -> bool {
        self.residency.is_empty() && self.models.is_empty()
    }
}

impl ControlNode {
    /// Takes in what a worker holds, as a placer tells; subscribers are told if that is new.
    pub(crate) fn residency(&mut self, residency: &Residency) {
        if self.state.merge_residency(residency).is_none() {
            return;
        }
        self.announcements.for_homes.residency.insert(residency.worker.clone());
        self.announcements.for_others.residency.insert(residency.worker.clone());
    }

    /// Home subscribers are told when a missing model will stand.
    pub(crate) fn expectation(&mut self, expectation: Expectation) {
        let key = ExpectedModel {
            service: expectation.service.clone(),
            model: expectation.model.clone(),
            adapter: expectation.adapter.clone(),
        };
        self.announcements.expectations.insert(key, expectation);
    }

    /// Subscribers are told, and other core nodes where the worker was heard here, that its list of models changed.
    pub(crate) fn models_changed(&mut self, worker: &str, heard_here: bool) {
        self.announcements.for_homes.models.insert(worker.to_owned());
        self.announcements.for_others.models.insert(worker.to_owned());
        if heard_here {
            self.announcements.for_peers.insert(worker.to_owned());
        }
    }

    /// Tells subscribers and other core nodes what is due.
    pub(crate) fn announce(&mut self, now: u64) {
        if self.announcements.is_due_for_homes(now) {
            self.announce_to_homes(now);
        }
        if self.announcements.is_due_for_others(now) {
            self.announce_to_others(now);
        }
    }

    /// Tells all that is still to be told. A status holds a digest of the worker table: told before the changes that it
    /// covers, it would show each subscriber a difference, and while changes go on, one status after the other would,
    /// until the subscriber asks for the whole table.
    pub(crate) fn announce_all(&mut self, now: u64) {
        self.announce_to_homes(now);
        self.announce_to_others(now);
    }

    fn announce_to_homes(&mut self, now: u64) {
        self.announce_to_peers(now);
        let changed = std::mem::take(&mut self.announcements.for_homes);
        let expectations = std::mem::take(&mut self.announcements.expectations);
        let mut messages = self.messages(&changed);
        messages.extend(expectations.into_values().map(expectation_message));
        let homes: Vec<SubscriberId> = self.subscribers.homes().map(|(id, _)| id).collect();
        self.announcements.next_for_homes = now + pause_after(homes.len(), HOMES_A_MS);
        for message in messages {
            self.send_subscribers(homes.clone(), message);
        }
    }

    fn announce_to_others(&mut self, now: u64) {
        let changed = std::mem::take(&mut self.announcements.for_others);
        let others: Vec<SubscriberId> = self.subscribers.others().collect();
        self.announcements.next_for_others = now + pause_after(others.len(), OTHERS_A_MS);
        for message in self.messages(&changed) {
            self.send_subscribers(others.clone(), message);
        }
    }

    /// Tells a subscriber that was another until now, and is a home subscriber from now on, what the others have not been
    /// told yet.
    pub(crate) fn announce_to_new_home(&mut self, id: SubscriberId) {
        for message in self.messages(&self.announcements.for_others) {
            self.send_subscriber(id, message);
        }
    }

    /// Tells the other core nodes of the workers heard here whose lists of models changed.
    pub(crate) fn announce_to_peers(&mut self, now: u64) {
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
