//! Demand per model and adapter, smoothed.

use std::collections::BTreeMap;

/// An entry older than this no longer counts towards the current demand, in milliseconds; gatekeepers tell theirs
/// every 500 ms, so two may be lost.
const FRESH_MS: u64 = 1_600;
/// Entries without demand for this long are forgotten, in milliseconds.
const EXPIRY_MS: u64 = 120_000;
/// Weight of the newest sample (taken every 500 ms) in the quick average, which spans about a second.
const FAST_WEIGHT: f64 = 0.5;
/// Weight of the newest sample in the average of the rate that the newest rate is compared with: about three seconds.
const MEDIUM_WEIGHT: f64 = 0.15;
/// Difference in age of the newest rate (averaged over about a second) and that average, in seconds.
const MEDIUM_LAG_S: f64 = 2.0;
/// How far ahead demand is looked for, in seconds: a load from the store and the time to plan it.
const FORECAST_HORIZON_S: f64 = 3.5;
/// Weight of the newest sample in the average time that a request occupies a slot.
const SERVICE_WEIGHT: f64 = 0.2;
/// Bounds of that time, in seconds.
const SERVICE_BOUNDS_S: (f64, f64) = (0.2, 4.0);
/// Rate in requests a second from which the time a request occupies a slot can be told.
const MIN_MEASURABLE_RATE: f64 = 1.0;
/// Share of the highest recent load that is still counted one sample later when copies are judged surplus.
const PEAK_DECAY: f64 = 0.8;
/// Rise that is put down to chance, as a multiple of the square root of the rate.
const NOISE_FACTOR: f64 = 0.7;
/// Weight of the newest sample in the slow average, which spans about ten seconds.
const SLOW_WEIGHT: f64 = 0.05;
/// Weight of the newest sample in the popularity, which spans about thirty seconds.
const POPULARITY_WEIGHT: f64 = 0.017;
/// Time a request is taken to occupy a slot where gatekeepers tell no outstanding requests, in seconds.
const ASSUMED_SERVICE_S: f64 = 1.0;

/// What one demand entry said last.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sample {
    pub(crate) requests_per_s: f64,
    pub(crate) outstanding: u32,
    pub(crate) waiting: u32,
    pub(crate) latency_target_ms: u64,
}

impl Sample {
    /// Slots these requests occupy or would occupy.
    fn slots(&self) -> f64 {
        let held = f64::from(self.outstanding + self.waiting);
        if self.outstanding > 0 {
            return held;
        }
        held.max(self.requests_per_s * ASSUMED_SERVICE_S)
    }
}

#[derive(Debug)]
struct Entry {
    sample: Sample,
    reported_at: u64,
    requested_at: u64,
}

/// Demand for one model over all its adapters.
#[derive(Debug, Default)]
pub(crate) struct ModelDemand {
    /// By name of the adapter, which is empty for requests that name none.
    entries: BTreeMap<String, Entry>,
    requested_at: Option<u64>,
    samples: u32,
    /// Requests a second, averaged over about ten seconds.
    pub(crate) slow_rate: f64,
    /// Requests a second, averaged over about thirty seconds.
    pub(crate) popularity: f64,
    /// Requests a second, averaged over about three seconds.
    medium_rate: f64,
    /// Time that a request occupies a slot, in seconds.
    service_s: f64,
    /// The highest slots of late, fading.
    pub(crate) peak_slots: f64,
    /// Slots occupied, averaged over about a second.
    pub(crate) slots: f64,
    /// Slots that will be occupied a few seconds ahead if a rise beyond chance goes on.
    pub(crate) forecast_slots: f64,
    /// Smallest latency aim of current requests, in milliseconds.
    pub(crate) latency_target_ms: u64,
    /// Copies needed so that the adapters in use find slots.
    pub(crate) adapter_replicas: usize,
    /// Copies below which another is loaded.
    pub(crate) target_replicas: usize,
    /// Copies beyond which one is surplus; at least the target, so that chance doesn't load and unload in turn.
    pub(crate) max_replicas: usize,
}

impl ModelDemand {
    /// Takes in what gatekeepers tell of one adapter, or of the bare model.
    pub(crate) fn record_sample(&mut self, now: u64, adapter: Option<String>, sample: Sample) {
        let wanted = sample.requests_per_s > 0.0 || sample.waiting > 0 || sample.outstanding > 0;
        let entry = self.entries.entry(adapter.unwrap_or_default()).or_insert(Entry {
            sample: Sample::default(),
            reported_at: now,
            requested_at: now,
        });
        entry.sample = sample;
        entry.reported_at = now;
        if wanted {
            entry.requested_at = now;
            self.requested_at = Some(now);
        }
    }

    /// Notes that requests ask for the model or adapter now.
    pub(crate) fn record_request(&mut self, now: u64, adapter: Option<String>) {
        self.requested_at = Some(now);
        let entry = self.entries.entry(adapter.unwrap_or_default()).or_insert(Entry {
            sample: Sample::default(),
            reported_at: now,
            requested_at: now,
        });
        entry.requested_at = now;
    }

    /// Milliseconds since requests last asked for the model, or none if they never did.
    pub(crate) fn idle_ms(&self, now: u64) -> Option<u64> {
        self.requested_at.map(|at| now.saturating_sub(at))
    }

    /// Milliseconds since requests last asked for an adapter, or none if they never did.
    pub(crate) fn adapter_idle_ms(&self, now: u64, adapter: &str) -> Option<u64> {
        let entry = self.entries.get(adapter)?;
        Some(now.saturating_sub(entry.requested_at))
    }

    /// Adapters asked for within the last `within_ms`, with the slots their requests occupy.
    pub(crate) fn adapters(&self, now: u64, within_ms: u64) -> impl Iterator<Item = (&str, f64)> {
        self.entries.iter().filter_map(move |(adapter, entry)| {
            let recent = now.saturating_sub(entry.requested_at) <= within_ms;
            let fresh = now.saturating_sub(entry.reported_at) <= FRESH_MS;
            let slots = if fresh { entry.sample.slots() } else { 0.0 };
            (recent && !adapter.is_empty()).then_some((adapter.as_str(), slots))
        })
    }

    /// Updates the averages; called every 500 ms while the model is active.
    pub(crate) fn sample(&mut self, now: u64) {
        self.entries.retain(|_, entry| now.saturating_sub(entry.requested_at) <= EXPIRY_MS);
        let fresh: Vec<&Entry> =
            self.entries.values().filter(|entry| now.saturating_sub(entry.reported_at) <= FRESH_MS).collect();
        let rate: f64 = fresh.iter().map(|entry| entry.sample.requests_per_s).sum();
        let slots: f64 = fresh.iter().map(|entry| entry.sample.slots()).sum();
        let aims = fresh.iter().map(|entry| entry.sample.latency_target_ms).filter(|aim| *aim > 0);
        self.latency_target_ms = aims.min().unwrap_or(self.latency_target_ms);
        self.samples = self.samples.saturating_add(1);
        self.slots += self.weight(FAST_WEIGHT) * (slots - self.slots);
        self.peak_slots = self.slots.max(self.peak_slots * PEAK_DECAY);
        self.medium_rate += self.weight(MEDIUM_WEIGHT) * (rate - self.medium_rate);
        self.measure_service(slots, rate);
        self.slow_rate += self.weight(SLOW_WEIGHT) * (rate - self.slow_rate);
        self.popularity += self.weight(POPULARITY_WEIGHT) * (rate - self.popularity);
        let rise = rate - self.medium_rate - NOISE_FACTOR * rate.sqrt();
        let forecast_rate = rate + rise.max(0.0) / MEDIUM_LAG_S * FORECAST_HORIZON_S;
        self.forecast_slots = self.slots.max(forecast_rate * self.service_s);
    }

    /// By Little's law, a request occupies a slot for the slots in use over the rate of arrivals.
    fn measure_service(&mut self, slots: f64, rate: f64) {
        if self.service_s == 0.0 {
            self.service_s = ASSUMED_SERVICE_S;
        }
        if rate >= MIN_MEASURABLE_RATE {
            let measured = (slots / rate).clamp(SERVICE_BOUNDS_S.0, SERVICE_BOUNDS_S.1);
            self.service_s += SERVICE_WEIGHT * (measured - self.service_s);
        }
    }

    /// Weight of a sample in an average that is the plain mean as long as there are few.
    fn weight(&self, steady_weight: f64) -> f64 {
        steady_weight.max(1.0 / f64::from(self.samples))
    }

    /// Whether nothing about this model needs attention any more.
    pub(crate) fn is_expired(&self, now: u64) -> bool {
        self.idle_ms(now).is_none_or(|idle| idle > EXPIRY_MS)
    }
}
