//! Estimate of what sending a request to a worker costs, in milliseconds of delay.

use crate::choice::RequestProfile;
use crate::pace::Baselines;
use crate::prefix::Prefix;
use crate::settings::RouterSettings;
use crate::shortlist::Homes;
use crate::table::WorkerState;
use crate::worker::WorkerKey;

/// Duration assumed before any request has finished.
const DEFAULT_DURATION_MS: f64 = 500.0;
/// First-byte latency assumed before any answer has begun.
const DEFAULT_FIRST_BYTE_MS: f64 = 40.0;
/// How much slower a cold worker is taken to be.
const COLD_FACTOR: f64 = 1.8;
/// Silence of a worker with requests of ours that is nothing unusual; beyond it, silence counts as delay.
const USUAL_SILENCE_MS: u64 = 250;
/// Share of its memory up to which a worker is not short of it.
const MEMORY_COMFORT: f64 = 0.8;
/// Priorities up to this one are urgent.
const URGENT_PRIORITY: u8 = 1;
/// How much more urgent requests mind other requests.
const URGENT_FACTOR: f64 = 1.5;
/// Time in which the mean of the others' loads fades to a half once it is no longer told.
const MEAN_HALF_LIFE_MS: f64 = 3_000.0;
/// Share of a shared prompt that its second home is taken to have kept.
const SECOND_HOME_SHARE: f64 = 0.5;
/// How much longer a queue urgent requests may join: workers let them pass the others in it.
const URGENT_QUEUE_FACTOR: f64 = 1.5;

/// What the costs of all candidates for one request share.
pub(crate) struct CostBasis<'a> {
    /// Whether a worker, told by its id, has a connection at rest.
    pub is_connected: &'a dyn Fn(&str) -> bool,
    pub now: u64,
    pub settings: &'a RouterSettings,
    pub baselines: &'a Baselines,
    pub workload: u64,
    pub profile: &'a RequestProfile,
    pub prefixes: &'a [Prefix],
    /// Workers to which the request's shared prompt is assigned.
    pub homes: Homes,
    /// Memory of an engine of this service in tokens, if known.
    pub cache_tokens: Option<u64>,
    /// Mean of what others have outstanding at the candidates.
    pub mean_elsewhere: f64,
    /// Load of all candidates together.
    pub total_load: f64,
    /// How many candidates there are.
    pub candidates: f64,
    /// Mean memory of one request of ours.
    pub mean_tokens: f64,
}

impl CostBasis<'_> {
    /// The same with the load of all of these candidates.
    pub fn with_total_load<'w>(mut self, workers: impl Iterator<Item = &'w WorkerState>) -> Self {
        let loads: Vec<f64> = workers.map(|worker| self.load(worker)).collect();
        self.candidates = loads.len() as f64;
        self.total_load = loads.iter().sum();
        self
    }

    /// Requests at the worker: ours, and those of others as far as the figure can still be believed.
    pub fn load(&self, worker: &WorkerState) -> f64 {
        f64::from(worker.outstanding) + self.elsewhere(worker)
    }

    /// Whether the worker has as many requests as it should be given.
    pub fn is_full(&self, worker: &WorkerState) -> bool {
        let slots = f64::from(worker.view.slots.max(1));
        let queue = (slots * self.settings.queue_ratio).max(2.0);
        let most_queued = if self.is_urgent() { queue * URGENT_QUEUE_FACTOR } else { queue };
        self.load(worker) >= slots + most_queued
    }

    /// Whether the worker has far more requests than the other candidates: its queue outweighs any prompt that it has kept.
    ///
    /// This bounds the load of a prompt's home (consistent hashing with bounded loads): slots say little of it, as an
    /// engine that reads long prompts has a queue of seconds while most of its slots are free.
    pub fn is_crowded(&self, worker: &WorkerState) -> bool {
        let load = self.load(worker);
        let others = (self.total_load - load).max(0.0) / (self.candidates - 1.0).max(1.0);
        self.settings.crowded_times > 0.0
            && self.candidates > 1.0
            && load > self.settings.crowded_times * others + self.settings.crowded_slack
    }

    /// Expected delay of the request at the worker, without what kept prompts save.
    pub fn delay(&self, worker: &WorkerState) -> f64 {
        let slots = f64::from(worker.view.slots.max(1));
        let load = self.load(worker);
        let urgency = if self.is_urgent() { URGENT_FACTOR } else { 1.0 };
        let queued = (load + 1.0 - slots).max(0.0);
        let duration = self.baselines.usual_duration(self.workload).unwrap_or(DEFAULT_DURATION_MS);
        let waiting = queued * duration / slots + self.step(worker) * load;
        let reading = self.reading(worker, load);
        let slowness = self.slowness(worker) * self.coldness(worker);
        let answering = self.baselines.usual_first_byte(self.workload).unwrap_or(DEFAULT_FIRST_BYTE_MS);
        let work = (waiting * urgency + reading + answering) * slowness;
        work + self.memory(worker, load)
            + self.silence(worker)
            + self.distance(worker)
            + self.connecting(worker)
    }

    /// What a new connection costs, in time and at the worker.
    fn connecting(&self, worker: &WorkerState) -> f64 {
        match (self.is_connected)(&worker.view.id) {
            true => 0.0,
            false => self.settings.new_connection_ms,
        }
    }

    /// What the worker saves by prompts it has read already, for us or, as their home, for others.
    pub fn saving(&self, key: WorkerKey, worker: &WorkerState) -> f64 {
        let shared = self.prefixes.last().map_or(0, |prefix| prefix.tokens) as f64;
        let kept = worker.prefixes.kept_tokens(self.prefixes) as f64;
        let likely = if self.homes.first == Some(key) {
            shared
        } else if self.homes.second == Some(key) {
            shared * SECOND_HOME_SHARE
        } else {
            0.0
        };
        kept.max(likely) / self.settings.prefill_tokens_per_ms * self.settings.kept_prompt_weight
    }

    /// Delay that one more request at the worker means for the next.
    pub fn step(&self, worker: &WorkerState) -> f64 {
        self.settings.full_batch_ms / f64::from(worker.view.slots.max(1))
    }

    fn is_urgent(&self) -> bool {
        self.profile.priority <= URGENT_PRIORITY
    }

    fn elsewhere(&self, worker: &WorkerState) -> f64 {
        let belief = belief(self.now, worker, self.settings.load_half_life_ms);
        belief * f64::from(worker.view.peer_load) + (1.0 - belief) * self.mean_elsewhere
    }

    /// Time to read the prompts that are before this one; those of others are taken to be like ours.
    fn reading(&self, worker: &WorkerState, load: f64) -> f64 {
        let ours = f64::from(worker.outstanding).max(1.0);
        let unread = worker.unread_tokens as f64 * (load / ours).clamp(1.0, 4.0);
        unread / self.settings.prefill_tokens_per_ms
    }

    fn slowness(&self, worker: &WorkerState) -> f64 {
        match self.settings.worker_speed {
            true => worker.slowness.get(self.now),
            false => 1.0,
        }
    }

    fn coldness(&self, worker: &WorkerState) -> f64 {
        if worker.cold_until > self.now {
            COLD_FACTOR
        } else {
            1.0
        }
    }

    fn memory(&self, worker: &WorkerState, load: f64) -> f64 {
        let Some(cache_tokens) = self.cache_tokens else { return 0.0 };
        let others = (load - f64::from(worker.outstanding)).max(0.0) * self.mean_tokens;
        let own = self.profile.total_tokens() as f64;
        let share = (worker.outstanding_tokens as f64 + others + own) / cache_tokens.max(1) as f64;
        (share - MEMORY_COMFORT).max(0.0) / (1.0 - MEMORY_COMFORT) * self.settings.memory_short_ms
    }

    fn silence(&self, worker: &WorkerState) -> f64 {
        if worker.outstanding == 0 {
            return 0.0;
        }
        self.now.saturating_sub(worker.heard_at).saturating_sub(USUAL_SILENCE_MS) as f64
    }

    fn distance(&self, worker: &WorkerState) -> f64 {
        if worker.view.zone == self.settings.zone {
            0.0
        } else {
            self.settings.other_zone_ms
        }
    }
}

/// Mean of what others have outstanding at the workers. Figures that are no longer told fade out: should a
/// worker be fuller than it seems then, it rejects the request unexecuted.
pub(crate) fn mean_elsewhere<'a>(now: u64, workers: impl Iterator<Item = &'a WorkerState>) -> f64 {
    let mut sum = 0.0;
    let mut count = 0.0;
    for worker in workers {
        sum += f64::from(worker.view.peer_load) * belief(now, worker, MEAN_HALF_LIFE_MS);
        count += 1.0;
    }
    sum / f64::max(count, 1.0)
}

/// How far the load told of the worker still holds: a half after `half_life_ms`.
fn belief(now: u64, worker: &WorkerState, half_life_ms: f64) -> f64 {
    let age = now.saturating_sub(worker.view.peer_load_at) as f64;
    (-age * std::f64::consts::LN_2 / half_life_ms).exp()
}
