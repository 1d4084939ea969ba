//! Estimated cost of sending a request to a worker, in milliseconds of delay.

use crate::choice::RequestProfile;
use crate::latency::Baselines;
use crate::prefix::Prefix;
use crate::settings::RouterSettings;
use crate::shortlist::PrefixOwners;
use crate::table::WorkerState;
use crate::worker::WorkerKey;

/// Duration assumed before any request has finished.
const DEFAULT_DURATION_MS: f64 = 500.0;
/// First-byte latency assumed before any response has begun.
const DEFAULT_FIRST_BYTE_MS: f64 = 40.0;
/// Assumed latency of a cold worker relative to a warm one.
const COLD_FACTOR: f64 = 1.8;
/// Time without a response from a worker with outstanding requests that is usual; anything beyond counts as delay.
const USUAL_SILENCE_MS: u64 = 250;
/// Share of its KV cache up to which a worker adds no delay for memory.
const FREE_MEMORY_SHARE: f64 = 0.8;
/// Requests with a priority up to this one are urgent.
const URGENT_PRIORITY: u8 = 1;
/// Weight of the queueing delay for urgent requests.
const URGENT_FACTOR: f64 = 1.5;
/// Age at which a peer load counts for half in the mean of the peer loads.
const MEAN_HALF_LIFE_MS: f64 = 3_000.0;
/// Share of a shared prompt that its secondary owner is assumed to have cached.
const SECONDARY_OWNER_SHARE: f64 = 0.5;
/// How many times as long a queue may be for urgent requests: workers let them overtake the others in it.
const URGENT_QUEUE_FACTOR: f64 = 1.5;

/// Inputs that the costs of all candidates for one request share.
pub(crate) struct CostContext<'a> {
    /// Whether a worker, given by its id, has an idle connection.
    pub is_connected: &'a dyn Fn(&str) -> bool,
    pub now: u64,
    pub settings: &'a RouterSettings,
    pub baselines: &'a Baselines,
    pub workload: u64,
    pub profile: &'a RequestProfile,
    pub prefixes: &'a [Prefix],
    /// Workers to which the request's shared prompt is assigned.
    pub owners: PrefixOwners,
    /// KV cache capacity of an engine of this service in tokens, if known.
    pub kv_cache_tokens: Option<u64>,
    /// Mean peer load of the candidates.
    pub mean_peer_load: f64,
    /// Load of all candidates together.
    pub total_load: f64,
    /// Number of candidates.
    pub candidates: f64,
    /// Mean KV cache tokens of one request of this data plane.
    pub mean_tokens: f64,
}

impl CostContext<'_> {
    /// The same context with the total load of these candidates.
    pub fn with_total_load<'w>(mut self, workers: impl Iterator<Item = &'w WorkerState>) -> Self {
        let loads: Vec<f64> = workers.map(|worker| self.load(worker)).collect();
        self.candidates = loads.len() as f64;
        self.total_load = loads.iter().sum();
        self
    }

    /// Estimated requests at the worker: those of this data plane and, discounted by their age, those of its peers.
    pub fn load(&self, worker: &WorkerState) -> f64 {
        f64::from(worker.outstanding) + self.peer_load(worker)
    }

    /// Whether the worker has as many requests as it may be given.
    pub fn is_full(&self, worker: &WorkerState) -> bool {
        let slots = f64::from(worker.view.slots.max(1));
        let queue = (slots * self.settings.queue_ratio).max(2.0);
        let max_queued = if self.is_urgent() { queue * URGENT_QUEUE_FACTOR } else { queue };
        self.load(worker) >= slots + max_queued
    }

    /// Whether the worker has so many more requests than the other candidates that its queue outweighs any cached
    /// prompt.
    ///
    /// This bounds the load of a prefix owner (consistent hashing with bounded loads). Slots are no measure of it: an
    /// engine that prefills long prompts has a queue of seconds while most of its slots are free.
    pub fn is_overloaded(&self, worker: &WorkerState) -> bool {
        let load = self.load(worker);
        let others = (self.total_load - load).max(0.0) / (self.candidates - 1.0).max(1.0);
        self.settings.crowded_times > 0.0
            && self.candidates > 1.0
            && load > self.settings.crowded_times * others + self.settings.crowded_slack
    }

    /// Expected delay of the request at the worker, without the savings from cached prompts.
    pub fn delay(&self, worker: &WorkerState) -> f64 {
        let slots = f64::from(worker.view.slots.max(1));
        let load = self.load(worker);
        let urgency = if self.is_urgent() { URGENT_FACTOR } else { 1.0 };
        let queued = (load + 1.0 - slots).max(0.0);
        let duration = self.baselines.usual_duration(self.workload).unwrap_or(DEFAULT_DURATION_MS);
        let queueing = queued * duration / slots + self.delay_per_request(worker) * load;
        let prefill = self.prefill_delay(worker, load);
        let slowdown = self.slowness(worker) * self.cold_factor(worker);
        let first_byte = self.baselines.usual_first_byte(self.workload).unwrap_or(DEFAULT_FIRST_BYTE_MS);
        let execution = (queueing * urgency + prefill + first_byte) * slowdown;
        execution
            + self.memory_delay(worker, load)
            + self.silence_delay(worker)
            + self.zone_delay(worker)
            + self.connection_delay(worker)
    }

    /// Cost of opening a new connection, both in time and in load on the worker.
    fn connection_delay(&self, worker: &WorkerState) -> f64 {
        match (self.is_connected)(&worker.view.id) {
            true => 0.0,
            false => self.settings.new_connection_ms,
        }
    }

    /// Prefill time saved by prompts that the worker has cached, either observed or assumed of a prefix owner.
    pub fn cached_prompt_saving(&self, key: WorkerKey, worker: &WorkerState) -> f64 {
        let shared = self.prefixes.last().map_or(0, |prefix| prefix.tokens) as f64;
        let cached = worker.prefixes.cached_tokens(self.prefixes) as f64;
        let assumed = if self.owners.primary == Some(key) {
            shared
        } else if self.owners.secondary == Some(key) {
            shared * SECONDARY_OWNER_SHARE
        } else {
            0.0
        };
        cached.max(assumed) / self.settings.prefill_tokens_per_ms * self.settings.kept_prompt_weight
    }

    /// Delay that each request at the worker adds to the next one.
    pub fn delay_per_request(&self, worker: &WorkerState) -> f64 {
        self.settings.full_batch_ms / f64::from(worker.view.slots.max(1))
    }

    fn is_urgent(&self) -> bool {
        self.profile.priority <= URGENT_PRIORITY
    }

    fn peer_load(&self, worker: &WorkerState) -> f64 {
        let weight = freshness(self.now, worker, self.settings.load_half_life_ms);
        weight * f64::from(worker.view.peer_load) + (1.0 - weight) * self.mean_peer_load
    }

    /// Time to prefill the prompts ahead of this one; those of other data planes are assumed to be like ours.
    fn prefill_delay(&self, worker: &WorkerState, load: f64) -> f64 {
        let ours = f64::from(worker.outstanding).max(1.0);
        let pending = worker.pending_prefill_tokens as f64 * (load / ours).clamp(1.0, 4.0);
        pending / self.settings.prefill_tokens_per_ms
    }

    fn slowness(&self, worker: &WorkerState) -> f64 {
        match self.settings.worker_speed {
            true => worker.slowness.get(self.now),
            false => 1.0,
        }
    }

    fn cold_factor(&self, worker: &WorkerState) -> f64 {
        if worker.cold_until > self.now {
            COLD_FACTOR
        } else {
            1.0
        }
    }

    fn memory_delay(&self, worker: &WorkerState, load: f64) -> f64 {
        let Some(kv_cache_tokens) = self.kv_cache_tokens else { return 0.0 };
        let peers = (load - f64::from(worker.outstanding)).max(0.0) * self.mean_tokens;
        let own = self.profile.total_tokens() as f64;
        let share = (worker.outstanding_tokens as f64 + peers + own) / kv_cache_tokens.max(1) as f64;
        (share - FREE_MEMORY_SHARE).max(0.0) / (1.0 - FREE_MEMORY_SHARE) * self.settings.memory_short_ms
    }

    fn silence_delay(&self, worker: &WorkerState) -> f64 {
        if worker.outstanding == 0 {
            return 0.0;
        }
        self.now.saturating_sub(worker.last_activity_at).saturating_sub(USUAL_SILENCE_MS) as f64
    }

    fn zone_delay(&self, worker: &WorkerState) -> f64 {
        if worker.view.zone == self.settings.zone {
            0.0
        } else {
            self.settings.other_zone_ms
        }
    }
}

/// Mean peer load of the workers. Loads that are no longer reported decay; if a worker then has more requests than
/// estimated, it rejects the request without executing it.
pub(crate) fn mean_peer_load<'a>(now: u64, workers: impl Iterator<Item = &'a WorkerState>) -> f64 {
    let mut sum = 0.0;
    let mut count = 0.0;
    for worker in workers {
        sum += f64::from(worker.view.peer_load) * freshness(now, worker, MEAN_HALF_LIFE_MS);
        count += 1.0;
    }
    sum / f64::max(count, 1.0)
}

/// Weight of the worker's reported peer load by its age: one half after `half_life_ms`.
fn freshness(now: u64, worker: &WorkerState, half_life_ms: f64) -> f64 {
    let age = now.saturating_sub(worker.view.peer_load_at) as f64;
    (-age * std::f64::consts::LN_2 / half_life_ms).exp()
}
