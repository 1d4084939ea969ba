//! Inputs and outputs of the admission queue.

use crate::Millis;

/// A stream that asks for admission.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Arrival<'a> {
    /// Unique identifier, never reused.
    pub stream: u64,
    /// The subscriber that sent it.
    pub subscriber: u64,
    /// Index of its class.
    pub class: usize,
    /// Index of the subscriber's plan.
    pub plan: usize,
    /// Units that it takes from the quota; 0 counts as 1.
    pub units: f64,
    /// How long its client waits for a response.
    pub client_timeout: Millis,
    /// A response within this time earns the full value.
    pub latency_target: Millis,
    /// Memory that it occupies in the caller.
    pub bytes: usize,
    /// Descriptors or memory are low: the stream may be admitted but not queued.
    pub resources_low: bool,
    /// Its client understands retry delays in whole seconds only.
    pub whole_seconds: bool,
    /// The ticket that it presents.
    pub ticket: Option<&'a [u8]>,
}

/// Advice to a refused client.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Delay before the next attempt.
    pub retry_after: Millis,
    /// Ticket to present with the next attempt.
    pub ticket: Option<String>,
}

/// The decision about an arriving stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// Dispatch it now.
    Admitted,
    /// It waits; a later [`AdmissionQueue::poll`](crate::AdmissionQueue::poll) decides.
    Queued,
    /// Refuse it.
    Refused(Refusal),
}

/// The decision about a queued stream.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Dispatch the stream; the second field is its queueing time.
    Dispatch(u64, Millis),
    /// Refuse the stream.
    Refuse(u64, Refusal),
}
