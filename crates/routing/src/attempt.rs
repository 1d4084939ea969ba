//! One request sent to one worker, until its outcome is known.

use crate::worker::WorkerKey;

slotmap::new_key_type! {
    /// Handle of an attempt that has not finished.
    pub struct AttemptKey;
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker sent a complete response that is not a server error.
    Success,
    /// The worker executed the request and responded with this status. A status below 500 concerns the request only.
    WorkerError(u16),
    /// The worker rejected the request without executing it, with this status.
    NotExecuted(u16),
    /// The connection could not be established.
    ConnectFailed,
    /// The connection was reset or closed early, or carried data that is not a valid response.
    Broken,
    /// No response, or no further stream event, arrived in time.
    TimedOut,
    /// The client disconnected or the attempt was abandoned; this is no evidence about the worker.
    Cancelled,
}

/// State of one attempt.
#[derive(Debug, Clone)]
pub(crate) struct Attempt {
    /// Worker it was sent to.
    pub worker: WorkerKey,
    /// When it was sent.
    pub sent_at: u64,
    /// When the first byte of the response arrived.
    pub first_byte_at: Option<u64>,
    /// When the last event of the stream arrived.
    pub last_event_at: Option<u64>,
    /// Prompt tokens that the worker has to prefill.
    pub prefill_tokens: u64,
    /// Tokens it occupies in the worker's KV cache.
    pub total_tokens: u64,
    /// Hash of service and model; selects the latency baselines it is compared with.
    pub workload: u64,
    /// Client or session it came from, as far as known: failures of a single client don't eject a worker.
    pub client: u64,
    /// Whether it needs no model.
    pub without_model: bool,
    /// Whether it is the single trial request that decides about an ejected worker.
    pub is_trial: bool,
    /// Hashes of the prompt prefixes that the worker had not cached before this attempt.
    pub new_prefixes: Vec<u64>,
}
