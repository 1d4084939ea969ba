//! One request at one worker, from sending to its outcome.

use crate::worker::WorkerKey;

slotmap::new_key_type! {
    /// Handle of an attempt that has not finished.
    pub struct AttemptKey;
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker gave a whole answer that is not an error of its own.
    Success,
    /// The worker ran the request and answered with this status. Below 500 it speaks of the request only.
    WorkerError(u16),
    /// The worker rejected the request without running it, with this status.
    NotExecuted(u16),
    /// No connection came up.
    ConnectFailed,
    /// The connection was reset or cut, or carried something that is no answer.
    Broken,
    /// No answer, or no further event, came in time.
    TimedOut,
    /// The client went away; this says nothing about the worker.
    Cancelled,
}

/// Bookkeeping of one attempt.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    /// Worker it was sent to.
    pub worker: WorkerKey,
    /// When it was sent.
    pub sent_at: u64,
    /// When the answer began.
    pub first_byte_at: Option<u64>,
    /// Last event of the stream.
    pub progress_at: Option<u64>,
    /// Tokens of its prompt that have to be prefilled.
    pub prefill_tokens: u64,
    /// Tokens it occupies in the worker's memory.
    pub total_tokens: u64,
    /// Name of the workload whose usual pace it is compared with.
    pub workload: u64,
    /// Whom it came from, as far as known: one client's failures alone don't eject a worker.
    pub origin: u64,
    /// Whether it needs no model.
    pub plain: bool,
    /// Whether it is the single request that decides about an ejected worker.
    pub trial: bool,
    /// Prompt prefixes the worker did not hold before this attempt.
    pub new_prefixes: Vec<u64>,
}
