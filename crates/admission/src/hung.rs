//! Telling a hung worker from a wait.

/// Multiple of the expected latency after which silence no longer passes for waiting.
const SILENT: f64 = 10.0;

/// An attempt that has no answer yet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnansweredAttempt {
    /// Time since it was sent.
    pub age_ms: f64,
    /// Latency that its route's answers have at present.
    pub expected_ms: f64,
    /// Its worker has begun an answer to something that was sent to it later.
    pub overtaken: bool,
    /// Its worker's heartbeats, or its answers to others, have come since it was sent.
    pub worker_heard: bool,
}

/// Whether an attempt is out for the sake of its worker and not of a queue.
///
/// Queues are served in turn, so an attempt that was overtaken is lost; and a worker of which nothing at all
/// is heard for ten times the expected latency stands still.
pub fn is_worker_hung(silence: UnansweredAttempt) -> bool {
    let silent = silence.age_ms > SILENT * silence.expected_ms.max(1.0);
    silent && (silence.overtaken || !silence.worker_heard)
}
