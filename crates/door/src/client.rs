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
    pub(crate) customer: u64,
    pub(crate) class: usize,
    pub(crate) whole_seconds: bool,
    /// How long it waits for an answer.
    pub(crate) wait: Millis,
}

impl From<&Arrival<'_>> for Client {
    fn from(arrival: &Arrival<'_>) -> Self {
        let Arrival { customer, class, whole_seconds, wait, .. } = *arrival;
        Self { customer, class, whole_seconds, wait }
    }
}

impl From<&Held> for Client {
    fn from(held: &Held) -> Self {
        Self {
            customer: held.subscriber,
            class: usize::from(held.class),
            whole_seconds: held.whole_seconds,
            // It was held for a quarter of its time at the most.
            wait: 4.0 * (held.latest - held.arrived),
        }
    }
}
