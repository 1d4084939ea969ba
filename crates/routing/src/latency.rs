//! Observed latency of workers relative to the usual latency of the same workload.

use std::collections::HashMap;

/// Relative step by which a running median moves towards each observation.
const MEDIAN_STEP: f64 = 0.03;
/// Weight of the newest observation in a worker's exponentially weighted moving average.
const EWMA_WEIGHT: f64 = 0.1;
/// Bounds of one observation, so that a single outlier doesn't dominate the average.
const RATIO_BOUNDS: (f64, f64) = (0.25, 6.0);
/// Bounds of a worker's slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 5.0);
/// Time without observations after which a worker's slowness, on a logarithmic scale, has halved.
const SLOWNESS_HALF_LIFE_MS: f64 = 4_000.0;

/// Time constant of the send rate.
const SEND_RATE_MS: f64 = 1_000.0;

/// Running median of a positive quantity.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Median {
    value: Option<f64>,
}

impl Median {
    /// Adds an observation and returns its ratio to the median before it.
    pub fn observe(&mut self, observation: f64) -> f64 {
        let observation = observation.max(0.5);
        let median = *self.value.get_or_insert(observation);
        let moved =
            if observation > median { median * (1.0 + MEDIAN_STEP) } else { median / (1.0 + MEDIAN_STEP) };
        self.value = Some(moved);
        observation / median
    }

    /// The current estimate, if there was any observation.
    pub fn get(&self) -> Option<f64> {
        self.value
    }
}

/// Usual latencies per workload (a service, or one of its models).
#[derive(Debug, Default)]
pub(crate) struct Baselines {
    first_byte: HashMap<u64, Median>,
    interval: HashMap<u64, Median>,
    duration: HashMap<u64, Median>,
}

impl Baselines {
    /// Adds a first-byte latency and returns its ratio to the usual one.
    pub fn first_byte(&mut self, workload: u64, latency_ms: u64) -> f64 {
        self.first_byte.entry(workload).or_default().observe(latency_ms as f64)
    }

    /// Adds an interval between stream events and returns its ratio to the usual one.
    pub fn interval(&mut self, workload: u64, interval_ms: u64) -> f64 {
        self.interval.entry(workload).or_default().observe(interval_ms as f64)
    }

    /// Adds the duration of a whole request.
    pub fn duration(&mut self, workload: u64, duration_ms: u64) {
        self.duration.entry(workload).or_default().observe(duration_ms as f64);
    }

    /// Usual first-byte latency, if known.
    pub fn usual_first_byte(&self, workload: u64) -> Option<f64> {
        self.first_byte.get(&workload).and_then(Median::get)
    }

    /// Usual duration of a request, if known.
    pub fn usual_duration(&self, workload: u64) -> Option<f64> {
        self.duration.get(&workload).and_then(Median::get)
    }
}

/// Latency of one worker relative to the baselines: 1 is usual, 2 takes twice as long.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slowness {
    log: f64,
    updated_at: u64,
}

impl Default for Slowness {
    fn default() -> Self {
        Slowness { log: 0.0, updated_at: 0 }
    }
}

impl Slowness {
    /// Adds the ratio of an observation to its baseline.
    pub fn observe(&mut self, now: u64, ratio: f64) {
        let bounded = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1).ln();
        let decayed = self.decayed(now);
        self.log = decayed + EWMA_WEIGHT * (bounded - decayed);
        self.updated_at = now;
    }

    /// The slowness, which decays towards 1 while there are no observations.
    pub fn get(&self, now: u64) -> f64 {
        self.decayed(now).exp().clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1)
    }

    fn decayed(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.updated_at) as f64;
        self.log * (-age * std::f64::consts::LN_2 / SLOWNESS_HALF_LIFE_MS).exp()
    }
}

/// Exponentially decaying rate of sends, over about the last second.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct SendRate {
    count: f64,
    updated_at: u64,
}

impl SendRate {
    /// Counts one send.
    pub fn count(&mut self, now: u64) {
        self.count = self.decayed(now) + 1.0;
        self.updated_at = now;
    }

    /// Sends per millisecond.
    pub fn per_ms(&self, now: u64) -> f64 {
        self.decayed(now) / SEND_RATE_MS
    }

    fn decayed(&self, now: u64) -> f64 {
        self.count * (-(now.saturating_sub(self.updated_at) as f64) / SEND_RATE_MS).exp()
    }
}
