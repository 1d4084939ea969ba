//! The client behind a stream, and the causes of a refusal.

use crate::message::Arrival;
use crate::queue::QueuedStream;
use crate::Millis;

/// Why a stream is refused; selects the counter.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RefusalCause {
    SubscriberLimit,
    ExpectedWait,
    QueueFull,
    LowResources,
    QueueTimeout,
    AfterDispatch,
}

/// What the admission queue needs to know of a client to advise it when to retry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ClientInfo {
    pub(crate) subscriber: u64,
    pub(crate) class: usize,
    pub(crate) whole_seconds: bool,
    /// How long the client waits for a response.
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
            // A stream is queued for at most a quarter of its client's timeout.
            client_timeout: 4.0 * (entry.deadline - entry.arrived),
        }
    }
}
