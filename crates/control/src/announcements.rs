//! Small changes that come by the hundred a second in a large fleet, gathered and told together.
//!
//! What a worker holds changes with each order, and each change concerns every gatekeeper over each of its links. Told one by
//! one, they took most of a core node's processor time at 300 gatekeepers and 256 workers. So a change is told at once where
//! none was told a moment before, and otherwise with those that come within one tick. A subscriber whose home is
//! another node hears of it from there; here it is told with the next status, in case the home was not heard.
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

/// Time in milliseconds between two rounds: that of the node's ticks.
const ROUND_EVERY: u64 = 25;

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
    next_round: u64,
}

impl Announcements {
    fn is_due(&self, now: u64) -> bool {
        let nothing = self.for_homes.is_empty() && self.for_peers.is_empty() && self.expectations.is_empty();
        now >= self.next_round && !nothing
    }
}

impl ChangedWorkers {
    fn is_empty(&self) -> bool {
        self.residency.is_empty() && self.models.is_empty()
    }
}

impl ControlNode {
    /// Takes in what a worker holds, as a placer tells, and tells subscribers if that is new.
    pub(crate) fn residency(&mut self, now: u64, residency: &Residency) {
        if self.state.merge_residency(residency).is_none() {
            return;
        }
        self.announcements.for_homes.residency.insert(residency.worker.clone());
        self.announcements.for_others.residency.insert(residency.worker.clone());
        self.announce(now);
    }

    /// Tells home subscribers when a missing model will stand.
    pub(crate) fn expectation(&mut self, now: u64, expectation: Expectation) {
        let key = ExpectedModel {
            service: expectation.service.clone(),
            model: expectation.model.clone(),
            adapter: expectation.adapter.clone(),
        };
        self.announcements.expectations.insert(key, expectation);
        self.announce(now);
    }

    /// Tells subscribers, and other core nodes where the worker was heard here, that its list of models changed.
    pub(crate) fn models_changed(&mut self, now: u64, worker: &str, heard_here: bool) {
        self.announcements.for_homes.models.insert(worker.to_owned());
        self.announcements.for_others.models.insert(worker.to_owned());
        if heard_here {
            self.announcements.for_peers.insert(worker.to_owned());
        }
        self.announce(now);
    }

    /// Tells home subscribers and other core nodes what is due.
    pub(crate) fn announce(&mut self, now: u64) {
        if !self.announcements.is_due(now) {
            return;
        }
        self.announcements.next_round = now + ROUND_EVERY;
        self.announce_to_peers(now);
        let changed = std::mem::take(&mut self.announcements.for_homes);
        let expectations = std::mem::take(&mut self.announcements.expectations);
        let mut messages = self.messages(&changed);
        messages.extend(expectations.into_values().map(expectation_message));
        let homes: Vec<SubscriberId> = self.subscribers.homes().map(|(id, _)| id).collect();
        for message in messages {
            self.send_subscribers(homes.clone(), message);
        }
    }

    /// Tells the other subscribers what has changed since they were last told.
    pub(crate) fn announce_to_others(&mut self) {
        let changed = std::mem::take(&mut self.announcements.for_others);
        let others: Vec<SubscriberId> = self.subscribers.others().collect();
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

    fn announce_to_peers(&mut self, now: u64) {
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
