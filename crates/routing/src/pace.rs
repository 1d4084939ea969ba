//! How fast workers are, relative to what is usual for the same work.

use std::collections::HashMap;

/// Relative step by which a median moves towards each observation.
const MEDIAN_STEP: f64 = 0.03;
/// Share of the newest observation in a worker's average.
const SPEED_SHARE: f64 = 0.1;
/// Bounds of one observation, so that a single outlier doesn't decide.
const RATIO_BOUNDS: (f64, f64) = (0.25, 6.0);
/// Bounds of a worker's slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 5.0);
/// Time in which half of what was learnt about a worker fades.
const HALF_LIFE_MS: f64 = 4_000.0;

/// Time constant of a rate of sends.
const SEND_RATE_MS: f64 = 1_000.0;

/// Running median of a positive quantity.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Median {
    value: Option<f64>,
}

impl Median {
    /// Takes an observation in and returns its ratio to the median.
    pub fn observe(&mut self, observation: f64) -> f64 {
        let observation = observation.max(0.5);
        let median = *self.value.get_or_insert(observation);
        let moved =
            if observation > median { median * (1.0 + MEDIAN_STEP) } else { median / (1.0 + MEDIAN_STEP) };
        self.value = Some(moved);
        observation / median
    }

    /// The median so far.
    pub fn get(&self) -> Option<f64> {
        self.value
    }
}

/// What is usual per workload (a service, or a model of it).
#[derive(Debug, Default)]
pub(crate) struct Baselines {
    first_byte: HashMap<u64, Median>,
    interval: HashMap<u64, Median>,
    duration: HashMap<u64, Median>,
}

impl Baselines {
    /// Ratio of a first-byte latency to the usual one.
    pub fn first_byte(&mut self, workload: u64, latency_ms: u64) -> f64 {
        self.first_byte.entry(workload).or_default().observe(latency_ms as f64)
    }

    /// Ratio of a pause between events to the usual one.
    pub fn interval(&mut self, workload: u64, pause_ms: u64) -> f64 {
        self.interval.entry(workload).or_default().observe(pause_ms as f64)
    }

    /// Takes in how long a whole request took.
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

/// Slowness of one worker: 1 is usual, 2 takes twice as long.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slowness {
    log: f64,
    at: u64,
}

impl Default for Slowness {
    fn default() -> Self {
        Slowness { log: 0.0, at: 0 }
    }
}

impl Slowness {
    /// Takes in the ratio of an observation to what is usual.
    pub fn observe(&mut self, now: u64, ratio: f64) {
        let bounded = ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1).ln();
        let faded = self.faded(now);
        self.log = faded + SPEED_SHARE * (bounded - faded);
        self.at = now;
    }

    /// The slowness, faded towards 1 by the time without observations.
    pub fn get(&self, now: u64) -> f64 {
        self.faded(now).exp().clamp(SLOWNESS_BOUNDS.0, SLOWNESS_BOUNDS.1)
    }

    fn faded(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        self.log * (-age * std::f64::consts::LN_2 / HALF_LIFE_MS).exp()
    }
}

/// Rate of sends over about the last second.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct SendRate {
    count: f64,
    at: u64,
}

impl SendRate {
    /// Counts one send.
    pub fn count(&mut self, now: u64) {
        self.count = self.faded(now) + 1.0;
        self.at = now;
    }

    /// Sends per millisecond.
    pub fn per_ms(&self, now: u64) -> f64 {
        self.faded(now) / SEND_RATE_MS
    }

    fn faded(&self, now: u64) -> f64 {
        self.count * (-(now.saturating_sub(self.at) as f64) / SEND_RATE_MS).exp()
    }
}
