//! Settings of the router.

use serde::Deserialize;

/// Settings of a [`crate::Router`]. The defaults fit engines that send a stream event about every 35 ms.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouterSettings {
    /// Zone of this data plane; workers of other zones cost `other_zone_ms` more. Set by the process, not read from
    /// the settings file.
    #[serde(skip)]
    pub zone: String,
    /// Prompt tokens an engine prefills per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Weight of a cached prompt token relative to the time needed to prefill it again.
    pub kept_prompt_weight: f64,
    /// Estimated delay in milliseconds added by a full batch; a partly filled batch adds a proportional share.
    pub full_batch_ms: f64,
    /// Cost in milliseconds of a worker in another zone.
    pub other_zone_ms: f64,
    /// Cost in milliseconds of a worker to which a new connection would have to be opened.
    pub new_connection_ms: f64,
    /// Requests a worker may be given beyond its slots, as a ratio of its slots.
    pub queue_ratio: f64,
    /// Target bound on the requests that all other data planes together send to one worker before their loads are
    /// reported again. It sets how many workers are compared per choice.
    pub unseen_requests: f64,
    /// Time in milliseconds without an event on any stream of a worker after which its streams should be resumed on
    /// another worker. Set by the process, not read from the settings file.
    #[serde(skip)]
    pub silent_ms: u64,
    /// Fewest running streams for a worker to be considered silent.
    pub silent_streams: usize,
    /// Prompt prefixes remembered per worker.
    pub prefixes_per_worker: usize,
    /// Sessions remembered for all workers together.
    pub sessions: usize,
    /// Delay in milliseconds added by a worker whose whole KV cache is reserved; 0 ignores the KV cache.
    pub memory_short_ms: f64,
    /// Upper bound in milliseconds on the cost reduction for the worker that last served the session; 0 gives it
    /// no advantage.
    pub session_most_ms: f64,
    /// Whether shared prompts are assigned to workers by hash.
    pub prompt_homes: bool,
    /// Load of a worker, as a multiple of the mean load of the other candidates, above which other candidates are
    /// preferred whatever it has cached; 0 sets no bound.
    pub crowded_times: f64,
    /// Requests added to the bound of `crowded_times`, so that small loads never exceed it.
    pub crowded_slack: f64,
    /// Whether workers that fail requests are ejected.
    pub ejection: bool,
    /// Whether a worker's observed response times count in its cost.
    pub worker_speed: bool,
    /// Age in milliseconds at which the load reported by other data planes counts for half of the estimate; the rest is
    /// the mean load of the candidates.
    pub load_half_life_ms: f64,
}

impl Default for RouterSettings {
    fn default() -> Self {
        RouterSettings {
            zone: String::new(),
            prefill_tokens_per_ms: 40.0,
            kept_prompt_weight: 5.0,
            full_batch_ms: 60.0,
            other_zone_ms: 2.0,
            new_connection_ms: 12.0,
            queue_ratio: 1.0,
            unseen_requests: 12.0,
            silent_ms: 180,
            silent_streams: 2,
            prefixes_per_worker: 256,
            sessions: 4096,
            memory_short_ms: 400.0,
            session_most_ms: 60.0,
            prompt_homes: true,
            crowded_times: 2.5,
            crowded_slack: 6.0,
            ejection: true,
            worker_speed: true,
            load_half_life_ms: 500.0,
        }
    }
}

impl RouterSettings {
    /// Default settings for a data plane in `zone`.
    pub fn for_zone(zone: &str) -> Self {
        RouterSettings { zone: zone.to_owned(), ..Self::default() }
    }
}
