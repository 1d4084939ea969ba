//! What a data plane holds, fed by the agent beside it.

use crate::links::persists;
use crate::loads::LoadTable;
use crate::merged::{Change, MergedState};
use switchhill_protocol::{
    Downstream, DownstreamBody, Expectation, Fetch, Hello, Status, Upstream, UpstreamBody,
};
use switchhill_registration::{SuspicionTimeout, Worker};

/// Suspicion of workers is told by the core.
const NEVER_SUSPECT: SuspicionTimeout = SuspicionTimeout(u64::MAX / 4);

/// How long worker tables may differ, in milliseconds, before the whole one is asked for.
const WORKERS_DIFFER_FOR: u64 = 700;

/// What a message of the agent calls for.
#[derive(Debug, Default, PartialEq)]
pub struct ReceiveOutcome {
    /// What is to be sent to the agent.
    pub answers: Vec<Upstream>,
    /// Whether the message told load over the fleet.
    pub loads: bool,
    /// Workers that the message told of, or of whose models it told.
    pub workers: Vec<String>,
    /// When a missing model should stand, if the message told that.
    pub expectation: Option<Expectation>,
}

/// A data plane's side of the feed.
#[derive(Debug)]
pub struct FeedState {
    node: String,
    zone: String,
    state: MergedState,
    gatekeepers: u32,
    loads: LoadTable,
    /// Whether the agent's worker table is whole and from a core with a quorum.
    has_full_worker_table: bool,
    differs_since: Option<u64>,
}

impl FeedState {
    /// A data plane that knows nothing.
    pub fn new(node: &str, zone: &str) -> FeedState {
        FeedState {
            node: node.to_owned(),
            zone: zone.to_owned(),
            state: MergedState::new(NEVER_SUSPECT),
            gatekeepers: 0,
            loads: LoadTable::default(),
            has_full_worker_table: false,
            differs_since: None,
        }
    }

    /// What it holds.
    pub fn state(&self) -> &MergedState {
        &self.state
    }

    /// Load over the fleet, this data plane's own included.
    pub fn loads(&self) -> &LoadTable {
        &self.loads
    }

    /// Gatekeepers that are known to serve.
    pub fn gatekeepers(&self) -> u32 {
        self.gatekeepers
    }

    /// The first message on a connection; also a heartbeat.
    pub fn hello(&self) -> Upstream {
        let (node, zone) = (self.node.clone(), self.zone.clone());
        let hello = Hello { node, zone, revision: self.state.revision(), home: true };
        Upstream { body: Some(UpstreamBody::Hello(hello)) }
    }

    /// Forgets what ended long ago.
    pub fn tick(&mut self, now: u64) {
        self.state.tick(now);
    }

    /// Takes in a message of the agent.
    pub fn receive(&mut self, now: u64, message: Downstream) -> ReceiveOutcome {
        let mut received = ReceiveOutcome::default();
        match message.body {
            Some(DownstreamBody::Status(status)) => received.answers = self.status(now, &status),
            Some(DownstreamBody::Configuration(configuration)) => {
                let change = self.state.merge_configuration(&configuration);
                if change == Some(Change::FullConfigurationRequired) {
                    received.answers.push(fetch(0, false));
                }
            }
            Some(DownstreamBody::Workers(workers)) => {
                let entries = workers.entries.iter().filter_map(|entry| Worker::from_bytes(entry).ok());
                let entries: Vec<Worker> = entries.collect();
                received.workers.extend(entries.iter().map(|worker| worker.id.clone()));
                self.state.merge_entries(now, entries.into_iter());
                if workers.whole && self.has_full_worker_table {
                    if let Some(Change::Workers(absent)) = self.state.suspect_absent(now, &workers) {
                        received.workers.extend(absent.into_iter().map(|worker| worker.id));
                    }
                }
            }
            Some(DownstreamBody::Residency(residency)) => {
                let changed = self.state.merge_residency(&residency).is_some();
                received.workers.extend(changed.then_some(residency.worker));
            }
            Some(DownstreamBody::Loads(loads)) => {
                self.loads.apply_fleet(&loads);
                received.loads = true;
            }
            Some(DownstreamBody::Expectation(expectation)) => received.expectation = Some(expectation),
            None => {}
        }
        received
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
        let differs = self.has_full_worker_table && status.workers_digest != self.state.workers().digest();
        if persists(&mut self.differs_since, differs, now, WORKERS_DIFFER_FOR) {
            answers.push(fetch(self.state.revision(), true));
        }
        answers
    }
}

fn fetch(have_revision: u64, workers: bool) -> Upstream {
    Upstream { body: Some(UpstreamBody::Fetch(Fetch { have_revision, workers })) }
}
