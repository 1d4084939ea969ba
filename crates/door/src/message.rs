//! What comes to the door, and what becomes of it.

use crate::Millis;

/// A stream at the door.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Arrival<'a> {
    /// Names it; never used twice.
    pub stream: u64,
    /// The subscriber.
    pub subscriber: u64,
    /// Position of its class.
    pub class: usize,
    /// Position of the subscriber's plan.
    pub plan: usize,
    /// What it takes from the quota; 0 counts as 1.
    pub units: f64,
    /// Its client waits this long.
    pub client_timeout: Millis,
    /// An answer in this time earns the full worth.
    pub latency_target: Millis,
    /// What it takes in the caller's memory.
    pub bytes: usize,
    /// Descriptors or memory are short: it may pass but not be held.
    pub resources_low: bool,
    /// Its client reads whole seconds only.
    pub whole_seconds: bool,
    /// The ticket it brings.
    pub ticket: Option<&'a [u8]>,
}

/// What a refused client is told.
#[derive(Debug, Clone, PartialEq)]
pub struct Refusal {
    /// Come back after so long.
    pub retry_after: Millis,
    /// And bring this.
    pub ticket: Option<String>,
}

/// What becomes of a stream on its arrival.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// Hand it on now.
    Admitted,
    /// It waits; [`AdmissionQueue::poll`] will tell.
    Queued,
    /// Refuse it.
    Refused(Refusal),
}

/// What becomes of a stream that was held.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Hand it on; it has waited so long.
    Dispatch(u64, Millis),
    /// Refuse it.
    Refuse(u64, Refusal),
}
