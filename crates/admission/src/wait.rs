//! Queueing wait of a route's requests: latency above the lowest recent mean.

use std::collections::VecDeque;

/// Samples over which the running mean latency is taken.
const MEAN_SAMPLES: f64 = 60.0;
/// Seconds over which the lowest mean latency is taken.
const FLOOR_WINDOW: usize = 120;
/// Weight of the prior (the service's mean wait), in samples.
const PRIOR_SAMPLES: f64 = 5.0;
/// Factor on the wait after a second without samples of the service.
const WAIT_DECAY: f64 = 0.7;

/// Latency samples of one second, and the estimates made from them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Waits {
    mean: f64,
    samples: f64,
    lows: VecDeque<f64>,
    floor: f64,
    sum: f64,
    count: f64,
    wait: f64,
}

impl Waits {
    /// Adds the latency of one request.
    pub(crate) fn record(&mut self, latency: f64) {
        self.samples = (self.samples + 1.0).min(MEAN_SAMPLES);
        self.mean += (latency - self.mean) / self.samples;
        if self.lows.is_empty() {
            self.floor = self.mean;
        }
        // Negative differences count too: otherwise the spread of service times would look like a wait.
        self.sum += latency - self.floor;
        self.count += 1.0;
    }

    /// Sum and number of the waits in the current second.
    pub(crate) fn current_second(&self) -> (f64, f64) {
        (self.sum, self.count)
    }

    /// Ends a second; `calm` says whether the service had free slots, `pooled` is the mean wait of its requests.
    pub(crate) fn end_second(&mut self, calm: bool, pooled: Option<f64>) {
        match pooled {
            Some(pooled) => {
                // A rare route is judged by its service: its own few samples are mostly noise.
                let newest = (self.sum + PRIOR_SAMPLES * pooled) / (self.count + PRIOR_SAMPLES);
                let weight = (self.count + PRIOR_SAMPLES) / (self.count + 2.0 * PRIOR_SAMPLES);
                self.wait += (newest - self.wait) * weight;
            }
            None => self.wait *= WAIT_DECAY,
        }
        self.update_floor(calm);
        (self.sum, self.count) = (0.0, 0.0);
    }

    /// Latency of a request that is not queued.
    pub(crate) fn floor(&self) -> f64 {
        self.floor
    }

    /// Present mean wait, not negative.
    pub(crate) fn wait(&self) -> f64 {
        self.wait.max(0.0)
    }

    fn update_floor(&mut self, calm: bool) {
        if self.count <= 0.0 {
            return;
        }
        let lower = self.lows.is_empty() || self.mean < self.floor;
        // A long overload must not become the usual latency: the window advances in calm seconds only.
        if calm || lower {
            self.lows.push_back(self.mean);
            let excess = self.lows.len().saturating_sub(FLOOR_WINDOW);
            self.lows.drain(..excess);
        }
        self.floor = self.lows.iter().copied().fold(f64::INFINITY, f64::min);
    }
}
