//! Settings of the router.

use serde::Deserialize;

/// Settings of a [`crate::Router`]. `Default` fits engines with event intervals of about 35 ms.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RouterSettings {
    /// Zone of this gatekeeper; its own zone's workers are preferred by `other_zone_ms`. Given by the process, not read.
    #[serde(skip)]
    pub zone: String,
    /// Prompt tokens an engine reads per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// How much more a token kept is valued than the time to read it again.
    pub kept_prompt_weight: f64,
    /// Estimated delay in milliseconds a full batch adds; a part-full one adds its share.
    pub full_batch_ms: f64,
    /// Disadvantage in milliseconds of a worker in another zone.
    pub other_zone_ms: f64,
    /// Disadvantage in milliseconds of a worker to which a new connection would have to be opened.
    pub new_connection_ms: f64,
    /// Requests beyond its slots that a worker is given, as a share of its slots.
    pub queue_ratio: f64,
    /// Requests that the other gatekeepers together may send to a worker unseen, because all compare it.
    pub unseen_requests: f64,
    /// Silence of all streams of a worker after which they should be resumed elsewhere, in milliseconds. Given by the
    /// process, not read.
    #[serde(skip)]
    pub silent_ms: u64,
    /// Running streams a worker must have before its silence is believed.
    pub silent_streams: usize,
    /// Prompt prefixes remembered per worker.
    pub prefixes_per_worker: usize,
    /// Sessions remembered in all.
    pub sessions: usize,
    /// Delay in milliseconds that a worker adds when all of its memory is promised; 0 ignores its memory.
    pub memory_short_ms: f64,
    /// Greatest advantage in milliseconds of the worker that served a session last; 0 forgets sessions.
    pub session_most_ms: f64,
    /// Whether shared prompts are assigned to workers by hash.
    pub prompt_homes: bool,
    /// How many times the mean load of the other candidates a worker may have before they are preferred, whatever it has
    /// kept; 0 sets no bound.
    pub crowded_times: f64,
    /// Requests at a worker that count as crowded by no comparison.
    pub crowded_slack: f64,
    /// Whether workers that fail requests are ejected.
    pub ejection: bool,
    /// Whether a worker's speed, as its answers show it, counts.
    pub worker_speed: bool,
    /// Age in milliseconds at which a load told by other gatekeepers counts half; the rest is the mean.
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
    /// Default settings for a gatekeeper of `zone`.
    pub fn for_zone(zone: &str) -> Self {
        RouterSettings { zone: zone.to_owned(), ..Self::default() }
    }
}
