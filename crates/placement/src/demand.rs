//! Smoothed demand per model and adapter.

use std::collections::BTreeMap;

/// Age from which an entry no longer counts towards the current demand, in milliseconds. Data planes report every
/// 500 ms, so two reports may be lost.
const FRESH_MS: u64 = 1_600;
/// Time without demand after which entries are dropped, in milliseconds.
const EXPIRY_MS: u64 = 120_000;
/// Weight of a sample, taken every 500 ms, in the fast average, which spans about 1 s.
const FAST_WEIGHT: f64 = 0.5;
/// Weight of a sample in the medium average of the rate, which spans about 3 s and is the baseline for a rise.
const MEDIUM_WEIGHT: f64 = 0.15;
/// Lag of the medium average behind the newest rate, which is itself an average over about 1 s, in seconds.
const MEDIUM_LAG_S: f64 = 2.0;
/// Forecast horizon, in seconds: the time to plan a load and to load from the store.
const FORECAST_HORIZON_S: f64 = 3.5;
/// Weight of a sample in the average service time of a request.
const SERVICE_WEIGHT: f64 = 0.2;
/// Bounds of the measured service time, in seconds.
const SERVICE_BOUNDS_S: (f64, f64) = (0.2, 4.0);
/// Rate from which the service time can be measured, in requests per second.
const MIN_MEASURABLE_RATE: f64 = 1.0;
/// Decay per sample of the peak load by which replicas are judged surplus.
const PEAK_DECAY: f64 = 0.8;
/// Rise that is attributed to random fluctuation, as a multiple of the square root of the rate.
const NOISE_FACTOR: f64 = 0.7;
/// Weight of a sample in the slow average, which spans about 10 s.
const SLOW_WEIGHT: f64 = 0.05;
/// Weight of a sample in the popularity, which spans about 30 s.
const POPULARITY_WEIGHT: f64 = 0.017;
/// Service time assumed while data planes report no outstanding requests, in seconds.
const ASSUMED_SERVICE_S: f64 = 1.0;

/// Latest report of one demand entry.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sample {
    pub(crate) requests_per_s: f64,
    pub(crate) outstanding: u32,
    pub(crate) waiting: u32,
    pub(crate) latency_target_ms: u64,
}

impl Sample {
    /// Slots that these requests occupy or would occupy.
    fn slots(&self) -> f64 {
        let in_progress = f64::from(self.outstanding + self.waiting);
        if self.outstanding > 0 {
            return in_progress;
        }
        in_progress.max(self.requests_per_s * ASSUMED_SERVICE_S)
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
    /// By adapter name, which is empty for requests that name none.
    entries: BTreeMap<String, Entry>,
    requested_at: Option<u64>,
    samples: u32,
    /// Requests per second, averaged over about 10 s.
    pub(crate) slow_rate: f64,
    /// Requests per second, averaged over about 30 s.
    pub(crate) popularity: f64,
    /// Requests per second, averaged over about 3 s.
    medium_rate: f64,
    /// Service time of a request, in seconds.
    service_s: f64,
    /// Decaying peak of the occupied slots.
    pub(crate) peak_slots: f64,
    /// Occupied slots, averaged over about 1 s.
    pub(crate) slots: f64,
    /// Forecast of occupied slots if a rise beyond random fluctuation continues.
    pub(crate) forecast_slots: f64,
    /// Smallest latency target of current requests, in milliseconds.
    pub(crate) latency_target_ms: u64,
    /// Replicas needed to provide slots for the active adapters.
    pub(crate) adapter_replicas: usize,
    /// Number of replicas below which another is loaded.
    pub(crate) target_replicas: usize,
    /// Number of replicas above which one is surplus; at least the target, so that fluctuations do not alternately load
    /// and unload.
    pub(crate) max_replicas: usize,
}

impl ModelDemand {
    /// Records the demand reported for one adapter, or for the model without an adapter.
    pub(crate) fn record_sample(&mut self, now: u64, adapter: Option<String>, sample: Sample) {
        let has_demand = sample.requests_per_s > 0.0 || sample.waiting > 0 || sample.outstanding > 0;
        let entry = self.entries.entry(adapter.unwrap_or_default()).or_insert(Entry {
            sample: Sample::default(),
            reported_at: now,
            requested_at: now,
        });
        entry.sample = sample;
        entry.reported_at = now;
        if has_demand {
            entry.requested_at = now;
            self.requested_at = Some(now);
        }
    }

    /// Records that requests need the model or adapter now.
    pub(crate) fn record_request(&mut self, now: u64, adapter: Option<String>) {
        self.requested_at = Some(now);
        let entry = self.entries.entry(adapter.unwrap_or_default()).or_insert(Entry {
            sample: Sample::default(),
            reported_at: now,
            requested_at: now,
        });
        entry.requested_at = now;
    }

    /// Time since the model was last requested, in milliseconds, or `None` if it never was.
    pub(crate) fn idle_ms(&self, now: u64) -> Option<u64> {
        self.requested_at.map(|at| now.saturating_sub(at))
    }

    /// Time since an adapter was last requested, in milliseconds, or `None` if it never was.
    pub(crate) fn adapter_idle_ms(&self, now: u64, adapter: &str) -> Option<u64> {
        let entry = self.entries.get(adapter)?;
        Some(now.saturating_sub(entry.requested_at))
    }

    /// Adapters requested within the last `within_ms`, with the slots that their requests occupy.
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
        let targets = fresh.iter().map(|entry| entry.sample.latency_target_ms).filter(|target| *target > 0);
        self.latency_target_ms = targets.min().unwrap_or(self.latency_target_ms);
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

    /// Measures the service time by Little's law: slots in use divided by the arrival rate.
    fn measure_service(&mut self, slots: f64, rate: f64) {
        if self.service_s == 0.0 {
            self.service_s = ASSUMED_SERVICE_S;
        }
        if rate >= MIN_MEASURABLE_RATE {
            let measured = (slots / rate).clamp(SERVICE_BOUNDS_S.0, SERVICE_BOUNDS_S.1);
            self.service_s += SERVICE_WEIGHT * (measured - self.service_s);
        }
    }

    /// Weight of a sample in an average that starts as the arithmetic mean of the first samples.
    fn weight(&self, steady_weight: f64) -> f64 {
        steady_weight.max(1.0 / f64::from(self.samples))
    }

    /// Whether the model has had no demand for so long that its record can be dropped.
    pub(crate) fn is_expired(&self, now: u64) -> bool {
        self.idle_ms(now).is_none_or(|idle| idle > EXPIRY_MS)
    }
}
