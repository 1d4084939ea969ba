//! Wait of a route's requests: latency above the lowest recent one.

use std::collections::VecDeque;

/// Samples over which the running mean latency is taken.
const MEAN_OVER: f64 = 60.0;
/// Seconds in which the lowest mean latency is looked for.
const RECENT: usize = 120;
/// Samples that count as much as what was known before.
const PRIOR: f64 = 5.0;
/// Share of a wait that is left after a second in which nothing confirms it.
const UNCONFIRMED: f64 = 0.7;

/// Samples of one second, and what they leave behind.
#[derive(Debug, Clone, Default)]
pub(crate) struct Waits {
    mean: f64,
    known: f64,
    lows: VecDeque<f64>,
    floor: f64,
    sum: f64,
    count: f64,
    wait: f64,
}

impl Waits {
    /// Takes the latency of one request.
    pub(crate) fn sample(&mut self, latency: f64) {
        self.known = (self.known + 1.0).min(MEAN_OVER);
        self.mean += (latency - self.mean) / self.known;
        if self.lows.is_empty() {
            self.floor = self.mean;
        }
        // Not cut off at nought: the spread of the work itself must not look like waiting.
        self.sum += latency - self.floor;
        self.count += 1.0;
    }

    /// Samples of the running second: the sum of their waits, and their number.
    pub(crate) fn second(&self) -> (f64, f64) {
        (self.sum, self.count)
    }

    /// Ends a second; `calm` says whether the service had free slots, and `pooled` is its mean wait.
    pub(crate) fn end_second(&mut self, calm: bool, pooled: Option<f64>) {
        match pooled {
            Some(pooled) => {
                // A seldom asked route is judged by its service: its own few samples are mostly spread.
                let newest = (self.sum + PRIOR * pooled) / (self.count + PRIOR);
                let weight = (self.count + PRIOR) / (self.count + 2.0 * PRIOR);
                self.wait += (newest - self.wait) * weight;
            }
            None => self.wait *= UNCONFIRMED,
        }
        self.note_low(calm);
        (self.sum, self.count) = (0.0, 0.0);
    }

    /// Latency of a request that does not wait.
    pub(crate) fn floor(&self) -> f64 {
        self.floor
    }

    /// Present mean wait.
    pub(crate) fn wait(&self) -> f64 {
        self.wait.max(0.0)
    }

    fn note_low(&mut self, calm: bool) {
        if self.count <= 0.0 {
            return;
        }
        let lower = self.lows.is_empty() || self.mean < self.floor;
        // A long overload must not become the usual latency: the window moves on in calm seconds only.
        if calm || lower {
            self.lows.push_back(self.mean);
            let excess = self.lows.len().saturating_sub(RECENT);
            self.lows.drain(..excess);
        }
        self.floor = self.lows.iter().copied().fold(f64::INFINITY, f64::min);
    }
}
