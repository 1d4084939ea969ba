//! Input and result of choosing a worker for a request.

use crate::worker::WorkerKey;

/// One part of a prompt. Requests with the same leading parts can share cached prefill results.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id of the part's content.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Properties of a request that the choice of a worker depends on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RequestProfile {
    /// Service that must execute it.
    pub service: String,
    /// Model it names, if the service has models.
    pub model: Option<String>,
    /// Adapter of that model.
    pub adapter: Option<String>,
    /// Parts of its prompt in order; the last belongs to the request itself or to its session.
    pub prompt_parts: Vec<PromptPart>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Upper bound on the tokens it generates.
    pub output_tokens: u32,
    /// Priority class; 0 is the most urgent.
    pub priority: u8,
    /// Latency objective of its route in milliseconds.
    pub target_latency_ms: u64,
    /// Session it belongs to.
    pub session: Option<u64>,
}

impl RequestProfile {
    /// Tokens it occupies in a worker's KV cache when it ends.
    pub(crate) fn total_tokens(&self) -> u64 {
        u64::from(self.prompt_tokens) + u64::from(self.output_tokens)
    }
}

/// Result of [`crate::Router::choose`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this worker.
    Send(WorkerKey),
    /// Workers of the service are ready, but none has loaded the model or the adapter.
    ModelNotLoaded,
    /// All workers that could execute it are full, ejected or already tried.
    Busy {
        /// When to ask again, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// The service has no worker that may receive requests.
    NoWorker,
}
