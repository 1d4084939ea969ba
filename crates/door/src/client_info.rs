//! Whom a refusal concerns, and why.

use crate::message::Arrival;
use crate::queue::QueuedStream;
use crate::Millis;

/// Why a stream is refused, for the figures.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RefusalCause {
    SubscriberLimit,
    ExpectedWait,
    QueueFull,
    LowResources,
    QueueTimeout,
    AfterDispatch,
}

/// Who a refusal concerns.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClientInfo {
    pub(crate) subscriber: u64,
    pub(crate) class: usize,
    pub(crate) whole_seconds: bool,
    /// How long it waits for an answer.
    pub(crate) client_timeout: Millis,
}

impl From<&Arrival<'_>> for ClientInfo {
    fn from(arrival: &Arrival<'_>) -> Self {
        let Arrival { subscriber, class, whole_seconds, client_timeout, .. } = *arrival;
        Self { subscriber, class, whole_seconds, client_timeout }
    }
}

impl From<&QueuedStream> for ClientInfo {
    fn from(entry: &QueuedStream) -> Self {
        Self {
            subscriber: entry.subscriber,
            class: usize::from(entry.class),
            whole_seconds: entry.whole_seconds,
            // It was held for a quarter of its time at the most.
            client_timeout: 4.0 * (entry.deadline - entry.arrived),
        }
    }
}
