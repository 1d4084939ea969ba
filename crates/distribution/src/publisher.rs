//! What one subscriber is sent.

use bytes::Bytes;
use switchhill_configuration::{Delta, Document};
use switchhill_protocol::{Configuration, Downstream, DownstreamBody, Residency, Workers};
use switchhill_registration::Worker;

use crate::merged::MergedState;

/// A change between two configurations, made once for all subscribers.
#[derive(Debug, Clone)]
pub struct ConfigurationDelta {
    /// Revision before.
    pub from_revision: u64,
    /// Revision after.
    pub revision: u64,
    /// The change.
    pub delta: Bytes,
}

impl ConfigurationDelta {
    /// The change between two configurations.
    pub fn between(old: &Document, new: &Document) -> ConfigurationDelta {
        ConfigurationDelta {
            from_revision: old.revision(),
            revision: new.revision(),
            delta: Bytes::from(Delta::between(old, new).encode()),
        }
    }
}

/// State of one subscriber at its publisher.
#[derive(Debug, Clone)]
pub struct SubscriberState {
    /// Revision that the subscriber holds or has been sent.
    pub sent_revision: u64,
    /// Whether this publisher is the subscriber's home.
    pub home: bool,
}

impl SubscriberState {
    /// A subscriber that holds a revision, 0 for none.
    pub fn new(revision: u64, home: bool) -> SubscriberState {
        SubscriberState { sent_revision: revision, home }
    }

    /// The message that brings the subscriber to the newest configuration, if it needs one.
    pub fn configuration(
        &mut self,
        state: &MergedState,
        change: Option<&ConfigurationDelta>,
    ) -> Option<Downstream> {
        let revision = state.revision();
        if revision <= self.sent_revision {
            return None;
        }
        let delta =
            change.filter(|change| change.from_revision == self.sent_revision && change.revision == revision);
        let message = match delta {
            Some(change) => Configuration {
                revision,
                document: Bytes::new(),
                delta: change.delta.clone(),
                from_revision: change.from_revision,
                confirmed: state.confirmed(),
            },
            None => Configuration {
                revision,
                document: state.encoded().clone(),
                delta: Bytes::new(),
                from_revision: 0,
                confirmed: state.confirmed(),
            },
        };
        self.sent_revision = revision;
        Some(Downstream { body: Some(DownstreamBody::Configuration(message)) })
    }
}

impl MergedState {
    /// All entries of the worker table and what workers hold, as messages.
    pub fn snapshot(&self) -> Vec<Downstream> {
        let entries = self.workers().iter().map(Worker::to_bytes).collect();
        let workers = Downstream { body: Some(DownstreamBody::Workers(Workers { entries, whole: true })) };
        let residency = self.residency().values().cloned().map(residency_message);
        std::iter::once(workers).chain(residency).collect()
    }
}

/// Entries of the worker table as a message.
pub(crate) fn workers_message(workers: &[Worker]) -> Downstream {
    let entries = workers.iter().map(Worker::to_bytes).collect();
    Downstream { body: Some(DownstreamBody::Workers(Workers { entries, whole: false })) }
}

/// What a worker holds as a message.
pub(crate) fn residency_message(residency: Residency) -> Downstream {
    Downstream { body: Some(DownstreamBody::Residency(residency)) }
}

impl crate::Change {
    /// The message that tells subscribers of a change of workers or residency.
    pub fn message(&self) -> Option<Downstream> {
        match self {
            crate::Change::Workers(workers) => Some(workers_message(workers)),
            crate::Change::Residency(residency) => Some(residency_message(residency.clone())),
            crate::Change::Configuration | crate::Change::FullConfigurationRequired => None,
        }
    }
}
