//! Publisher side: messages for one subscriber.

use bytes::Bytes;
use switchhill_configuration::{Delta, Document};
use switchhill_protocol::{Configuration, Downstream, DownstreamBody, Residency, Workers};
use switchhill_registration::Worker;

use crate::merged::MergedState;

/// Encoded delta between two configurations, computed once for all subscribers.
#[derive(Debug, Clone)]
pub struct ConfigurationDelta {
    /// Revision that the delta applies to.
    pub from_revision: u64,
    /// Resulting revision.
    pub revision: u64,
    /// Encoded delta.
    pub delta: Bytes,
}

impl ConfigurationDelta {
    /// Computes the delta from `old` to `new`.
    pub fn between(old: &Document, new: &Document) -> ConfigurationDelta {
        ConfigurationDelta {
            from_revision: old.revision(),
            revision: new.revision(),
            delta: Bytes::from(Delta::between(old, new).encode()),
        }
    }

    /// The delta that a message holds, if it holds one.
    pub(crate) fn of_message(message: &Configuration) -> Option<ConfigurationDelta> {
        (!message.delta.is_empty()).then(|| ConfigurationDelta {
            from_revision: message.from_revision,
            revision: message.revision,
            delta: message.delta.clone(),
        })
    }
}

/// Publisher's view of one subscriber.
#[derive(Debug, Clone)]
pub struct SubscriberState {
    /// Latest revision that the subscriber has or was sent.
    pub sent_revision: u64,
    /// Whether this publisher is the subscriber's home.
    pub home: bool,
}

impl SubscriberState {
    /// Creates the state of a subscriber that has `revision`, 0 for none.
    pub fn new(revision: u64, home: bool) -> SubscriberState {
        SubscriberState { sent_revision: revision, home }
    }

    /// Returns the message that updates the subscriber to the latest configuration, if it is behind. The delta is used
    /// if it applies to the revision sent last; otherwise the full document is sent.
    pub fn configuration(
        &mut self,
        state: &MergedState,
        delta: Option<&ConfigurationDelta>,
    ) -> Option<Downstream> {
        let revision = state.revision();
        if revision <= self.sent_revision {
            return None;
        }
        let applicable =
            delta.filter(|delta| delta.from_revision == self.sent_revision && delta.revision == revision);
        let message = match applicable {
            Some(delta) => Configuration {
                revision,
                document: Bytes::new(),
                delta: delta.delta.clone(),
                from_revision: delta.from_revision,
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
    /// Returns all worker entries and residencies as messages.
    pub fn snapshot(&self) -> Vec<Downstream> {
        let entries = self.workers().iter().map(Worker::to_bytes).collect();
        let workers = Downstream { body: Some(DownstreamBody::Workers(Workers { entries, whole: true })) };
        let residency = self.residency().values().cloned().map(residency_message);
        std::iter::once(workers).chain(residency).collect()
    }
}

/// Encodes worker entries as an incremental message.
pub(crate) fn workers_message(workers: &[Worker]) -> Downstream {
    let entries = workers.iter().map(Worker::to_bytes).collect();
    Downstream { body: Some(DownstreamBody::Workers(Workers { entries, whole: false })) }
}

/// Wraps a residency in a message.
pub(crate) fn residency_message(residency: Residency) -> Downstream {
    Downstream { body: Some(DownstreamBody::Residency(residency)) }
}

impl crate::Change {
    /// Returns the message that propagates a change of workers or residency to subscribers; `None` for other
    /// changes.
    pub fn message(&self) -> Option<Downstream> {
        match self {
            crate::Change::Workers(workers) => Some(workers_message(workers)),
            crate::Change::Residency(residency) => Some(residency_message(residency.clone())),
            crate::Change::Configuration | crate::Change::FullConfigurationRequired => None,
        }
    }
}
