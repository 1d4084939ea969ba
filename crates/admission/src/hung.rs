//! Detection of hung workers.

/// Multiple of the expected latency above which silence is no longer taken for queueing.
const SILENCE_FACTOR: f64 = 10.0;

/// An attempt without an answer so far.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct UnansweredAttempt {
    /// Time since it was sent.
    pub age_ms: f64,
    /// Present latency of its route.
    pub expected_ms: f64,
    /// Its worker has begun to answer a request that was sent later.
    pub overtaken: bool,
    /// A heartbeat of its worker, or an answer to another request, has arrived since it was sent.
    pub worker_heard: bool,
}

/// Whether an attempt is unanswered because its worker hangs, and not because it is queued.
///
/// Queues are served in order, so an overtaken attempt is lost; and a worker that is silent in every respect for
/// ten times the expected latency is stalled.
pub fn is_worker_hung(silence: UnansweredAttempt) -> bool {
    let silent = silence.age_ms > SILENCE_FACTOR * silence.expected_ms.max(1.0);
    silent && (silence.overtaken || !silence.worker_heard)
}
