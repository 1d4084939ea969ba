//! Adaptive limit on the number of streams in flight.
//!
//! The time from dispatch to response is compared with the unloaded time of the same class (TCP Vegas, Brakmo
//! and Peterson 1995, in the form of Netflix's gradient limits). Streams that the routing core refuses for
//! lack of capacity are a loss signal and lower the limit as well. Periodically the limit is reduced to
//! measure the unloaded time again (as in BBR, Cardwell et al. 2016).

use crate::Millis;

/// A window closes after `WINDOW_LEN` with at least `WINDOW_COMPLETIONS` completions, or at the first
/// completion after `WINDOW_MAX_LEN`.
const WINDOW_LEN: Millis = 100.0;
const WINDOW_COMPLETIONS: u32 = 20;
const WINDOW_MAX_LEN: Millis = 500.0;
/// The limit falls when latency exceeds the unloaded time by more than this factor. The slack keeps the fleet
/// busy between two rounds of the event loop.
const LATENCY_TOLERANCE: f64 = 1.5;
/// Share of dropped streams above which the limit falls.
const TOLERATED_DROP_SHARE: f64 = 0.02;
/// The unloaded time is the lowest mean in the current and the previous period of this length.
const BASELINE_PERIOD: Millis = 15_000.0;
/// At the end of a period the limit is reduced for `PROBE_WINDOWS` windows to this share of the estimated
/// number of streams that the fleet serves without queueing.
const PROBE_FACTOR: f64 = 0.7;
const PROBE_WINDOWS: u32 = 3;
/// Minimum number of completions of a class for a mean.
const MIN_SAMPLES: u32 = 5;

/// How a dispatched stream has completed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served by an upstream host.
    Success,
    /// Refused for lack of capacity, or timed out.
    Dropped,
    /// Completed in another way, which says nothing about the load of the fleet.
    Ignored,
}

#[derive(Debug, Clone, Copy, Default)]
struct Class {
    sum: Millis,
    samples: u32,
    /// The lowest mean of the current and of the previous period; 0 if there is none.
    lowest: Millis,
    previous_lowest: Millis,
}

impl Class {
    fn unloaded(&self) -> Millis {
        match (self.lowest, self.previous_lowest) {
            (0.0, other) | (other, 0.0) => other,
            (one, other) => one.min(other),
        }
    }
}

/// The current limit and the measurements behind it.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    min: f64,
    max: f64,
    /// The limit doubles until the first sign of overload.
    slow_start: bool,
    classes: Box<[Class]>,
    window_start: Millis,
    period_start: Millis,
    completions: u32,
    drops: u32,
    peak_in_flight: f64,
    probe_windows_left: u32,
    limit_before_probe: f64,
}

impl ConcurrencyLimit {
    pub(crate) fn new(classes: usize, start: f64, min: f64, max: f64) -> Self {
        Self {
            limit: start.clamp(min, max),
            min,
            max,
            slow_start: true,
            classes: vec![Class::default(); classes].into(),
            window_start: 0.0,
            period_start: 0.0,
            completions: 0,
            drops: 0,
            peak_in_flight: 0.0,
            probe_windows_left: 0,
            limit_before_probe: 0.0,
        }
    }

    pub(crate) fn value(&self) -> f64 {
        self.limit
    }

    /// Whether another stream may be dispatched while `in_flight` are in flight.
    pub(crate) fn has_room(&self, in_flight: usize) -> bool {
        (in_flight as f64) < self.limit
    }

    /// Records the number of streams in flight after a dispatch.
    pub(crate) fn on_dispatch(&mut self, in_flight: usize) {
        self.peak_in_flight = self.peak_in_flight.max(in_flight as f64);
    }

    pub(crate) fn on_completion(&mut self, now: Millis, class: usize, took: Millis, outcome: Outcome) {
        self.completions += 1;
        match outcome {
            Outcome::Success => {
                if let Some(class) = self.classes.get_mut(class) {
                    class.sum += took;
                    class.samples += 1;
                }
            }
            Outcome::Dropped => self.drops += 1,
            Outcome::Ignored => {}
        }
        let age = now - self.window_start;
        if (age >= WINDOW_LEN && self.completions >= WINDOW_COMPLETIONS) || age >= WINDOW_MAX_LEN {
            self.close_window(now);
        }
    }

    /// The ratio of the unloaded time to that of the window, averaged over classes by their completions; 1
    /// without measurements.
    fn unloaded_ratio(&mut self) -> f64 {
        let (mut sum, mut weight) = (0.0, 0.0);
        for class in &mut self.classes {
            if class.samples < MIN_SAMPLES {
                continue;
            }
            let samples = f64::from(class.samples);
            let mean = class.sum / samples;
            if class.lowest == 0.0 || mean < class.lowest {
                class.lowest = mean;
            }
            sum += samples * (class.unloaded() / mean.max(0.001)).min(1.0);
            weight += samples;
            (class.sum, class.samples) = (0.0, 0);
        }
        if weight > 0.0 {
            sum / weight
        } else {
            1.0
        }
    }

    fn close_window(&mut self, now: Millis) {
        let unloaded_ratio = self.unloaded_ratio();
        let gradient = (LATENCY_TOLERANCE * unloaded_ratio).min(1.0);
        let drop_share = f64::from(self.drops) / f64::from(self.completions.max(1));
        let limit_reached = self.peak_in_flight >= 0.9 * self.limit;
        (self.window_start, self.completions, self.drops, self.peak_in_flight) = (now, 0, 0, 0.0);
        if self.probe_windows_left > 0 {
            self.probe_windows_left -= 1;
            if self.probe_windows_left == 0 {
                self.limit = self.limit_before_probe;
            }
            return;
        }
        if drop_share > TOLERATED_DROP_SHARE {
            self.slow_start = false;
            self.limit *= 1.0 - 0.5 * drop_share.min(0.4);
        } else if gradient < 1.0 {
            self.slow_start = false;
            // A window is short compared with the load swings of the fleet, so the limit moves only part of
            // the way.
            self.limit *= 1.0 - 0.2 * (1.0 - gradient.max(0.5));
        } else if limit_reached {
            self.limit += if self.slow_start { self.limit } else { self.limit.sqrt() };
        }
        self.limit = self.limit.clamp(self.min, self.max);
        if now - self.period_start > BASELINE_PERIOD {
            self.period_start = now;
            for class in &mut self.classes {
                (class.previous_lowest, class.lowest) = (class.lowest, 0.0);
            }
            // Under sustained load no sample shows the unloaded time. The lowest mean of the last period
            // would be a loaded one, and the limit would climb from period to period.
            if limit_reached {
                self.limit_before_probe = self.limit;
                self.limit = (self.limit * unloaded_ratio * PROBE_FACTOR).max(self.min);
                self.probe_windows_left = PROBE_WINDOWS;
            }
        }
    }
}
