//! Whom a refusal concerns, and why.

use crate::message::Arrival;
use crate::queue::Held;
use crate::Millis;

/// Why a stream is refused, for the figures.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Cause {
    Subscriber,
    Wait,
    Room,
    Scarce,
    Overdue,
    Behind,
}

/// Who a refusal concerns.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Client {
    pub(crate) subscriber: u64,
    pub(crate) class: usize,
    pub(crate) whole_seconds: bool,
    /// How long it waits for an answer.
    pub(crate) client_timeout: Millis,
}

impl From<&Arrival<'_>> for Client {
    fn from(arrival: &Arrival<'_>) -> Self {
        let Arrival { subscriber, class, whole_seconds, client_timeout, .. } = *arrival;
        Self { subscriber, class, whole_seconds, client_timeout }
    }
}

impl From<&Held> for Client {
    fn from(held: &Held) -> Self {
        Self {
            subscriber: held.subscriber,
            class: usize::from(held.class),
            whole_seconds: held.whole_seconds,
            // It was held for a quarter of its time at the most.
            client_timeout: 4.0 * (held.latest - held.arrived),
        }
    }
}
