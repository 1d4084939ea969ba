//! State of a data plane, fed by the agent on the same machine.

use crate::links::persists;
use crate::loads::LoadTable;
use crate::merged::{Change, MergedState};
use switchhill_protocol::{
    Downstream, DownstreamBody, Expectation, Fetch, Hello, Status, Upstream, UpstreamBody,
};
use switchhill_registration::{SuspicionTimeout, Worker};

/// Data planes do not detect failures themselves; the core reports suspicions.
const NEVER_SUSPECT: SuspicionTimeout = SuspicionTimeout(u64::MAX / 4);

/// Milliseconds for which the worker tables may differ before the full table is requested.
const WORKERS_DIVERGENCE_TIMEOUT: u64 = 700;

/// Result of processing a message from the agent.
#[derive(Debug, Default, PartialEq)]
pub struct ReceiveOutcome {
    /// Messages to send to the agent.
    pub answers: Vec<Upstream>,
    /// Whether the message updated the fleet-wide load.
    pub loads: bool,
    /// Ids of the workers whose entry or models the message contained.
    pub workers: Vec<String>,
    /// Expected availability of a missing model, if the message contained one.
    pub expectation: Option<Expectation>,
}

/// Data plane side of a feed.
#[derive(Debug)]
pub struct FeedState {
    node: String,
    zone: String,
    state: MergedState,
    gatekeepers: u32,
    loads: LoadTable,
    /// Whether the agent's worker table is complete and backed by a quorum of the core.
    has_full_worker_table: bool,
    diverged_since: Option<u64>,
}

impl FeedState {
    /// Creates the state of a data plane that has received nothing yet.
    pub fn new(node: &str, zone: &str) -> FeedState {
        FeedState {
            node: node.to_owned(),
            zone: zone.to_owned(),
            state: MergedState::new(NEVER_SUSPECT),
            gatekeepers: 0,
            loads: LoadTable::default(),
            has_full_worker_table: false,
            diverged_since: None,
        }
    }

    /// Returns the merged state.
    pub fn state(&self) -> &MergedState {
        &self.state
    }

    /// Returns the fleet-wide load, including that of this data plane.
    pub fn loads(&self) -> &LoadTable {
        &self.loads
    }

    /// Returns the number of gatekeepers known to be serving.
    pub fn gatekeepers(&self) -> u32 {
        self.gatekeepers
    }

    /// Returns the first message of a connection, which also serves as the heartbeat.
    pub fn hello(&self) -> Upstream {
        let (node, zone) = (self.node.clone(), self.zone.clone());
        let hello = Hello { node, zone, revision: self.state.revision(), home: true };
        Upstream { body: Some(UpstreamBody::Hello(hello)) }
    }

    /// Evicts expired entries.
    pub fn tick(&mut self, now: u64) {
        self.state.tick(now);
    }

    /// Processes a message from the agent.
    pub fn receive(&mut self, now: u64, message: Downstream) -> ReceiveOutcome {
        let mut outcome = ReceiveOutcome::default();
        match message.body {
            Some(DownstreamBody::Status(status)) => outcome.answers = self.status(now, &status),
            Some(DownstreamBody::Configuration(configuration)) => {
                let change = self.state.merge_configuration(&configuration);
                if change == Some(Change::FullConfigurationRequired) {
                    outcome.answers.push(fetch(0, false));
                }
            }
            Some(DownstreamBody::Workers(workers)) => {
                let entries = workers.entries.iter().filter_map(|entry| Worker::from_bytes(entry).ok());
                let entries: Vec<Worker> = entries.collect();
                outcome.workers.extend(entries.iter().map(|worker| worker.id.clone()));
                self.state.merge_entries(now, entries.into_iter());
                if workers.whole && self.has_full_worker_table {
                    if let Some(Change::Workers(absent)) = self.state.suspect_absent(now, &workers) {
                        outcome.workers.extend(absent.into_iter().map(|worker| worker.id));
                    }
                }
            }
            Some(DownstreamBody::Residency(residency)) => {
                let changed = self.state.merge_residency(&residency).is_some();
                outcome.workers.extend(changed.then_some(residency.worker));
            }
            Some(DownstreamBody::Loads(loads)) => {
                self.loads.apply_fleet(&loads);
                outcome.loads = true;
            }
            Some(DownstreamBody::Expectation(expectation)) => outcome.expectation = Some(expectation),
            None => {}
        }
        outcome
    }

    fn status(&mut self, now: u64, status: &Status) -> Vec<Upstream> {
        self.gatekeepers = status.gatekeepers;
        self.has_full_worker_table = status.quorum && status.warm;
        if status.quorum {
            self.state.confirm(status.revision);
        }
        let mut answers = Vec::new();
        if status.revision > self.state.revision() {
            answers.push(fetch(self.state.revision(), false));
        }
        let diverged = self.has_full_worker_table && status.workers_digest != self.state.workers().digest();
        if persists(&mut self.diverged_since, diverged, now, WORKERS_DIVERGENCE_TIMEOUT) {
            answers.push(fetch(self.state.revision(), true));
        }
        answers
    }
}

fn fetch(have_revision: u64, workers: bool) -> Upstream {
    Upstream { body: Some(UpstreamBody::Fetch(Fetch { have_revision, workers })) }
}
