//! How many streams are handed on at once: a limit that learns what the fleet bears.
//!
//! Time from handing on to the answer is compared with the time that the same class takes when nothing waits
//! (TCP Vegas, Brakmo and Peterson 1995, in the form of Netflix's gradient limits). Turned down by what the
//! decisions behind the door refuse for want of room, as a loss signal. From time to time the limit steps back
//! to learn the unloaded time anew (as BBR does, Cardwell et al. 2016).

use crate::Millis;

/// A window is over after this long and this many ends, or after the longer time with any.
const WINDOW_LEN: Millis = 100.0;
const WINDOW_COMPLETIONS: u32 = 20;
const WINDOW_MAX_LEN: Millis = 500.0;
/// Time in flight may be this multiple of the unloaded time before the limit falls: what keeps the fleet busy
/// between two of the loop's rounds.
const LATENCY_TOLERANCE: f64 = 1.5;
/// A share of ends without room above which the limit falls.
const TOLERATED_DROP_SHARE: f64 = 0.02;
/// The unloaded time is the lowest of two such spans.
const BASELINE_PERIOD: Millis = 15_000.0;
/// At a span's end the limit steps back for so many windows, to this share of what the fleet seems to hold
/// without a line.
const PROBE_FACTOR: f64 = 0.7;
const PROBE_WINDOWS: u32 = 3;
/// Ends of a class that make a mean.
const MIN_SAMPLES: u32 = 5;

/// How a stream that was handed on has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Served by an upstream host.
    Success,
    /// Turned away for want of room, or out of time.
    Dropped,
    /// Anything else: it tells nothing of the fleet's load.
    Ignored,
}

#[derive(Debug, Clone, Copy, Default)]
struct Class {
    sum: Millis,
    samples: u32,
    /// The lowest mean of this span and of the one before; 0 for none.
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

/// The limit.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    min: f64,
    max: f64,
    /// Doubling until the first sign of pressure.
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

    /// Whether `open` leaves room for one more.
    pub(crate) fn has_room(&self, in_flight: usize) -> bool {
        (in_flight as f64) < self.limit
    }

    /// So many are in flight now.
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

    /// The unloaded time over that of this window, 1 where nothing is known, weighed by ends.
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
            // A window is short against the fleet's own swings: a part of the way at a time.
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
            // Under lasting pressure nothing shows the unloaded time, and the lowest mean of the last
            // span would be a loaded one: the limit would climb from span to span.
            if limit_reached {
                self.limit_before_probe = self.limit;
                self.limit = (self.limit * unloaded_ratio * PROBE_FACTOR).max(self.min);
                self.probe_windows_left = PROBE_WINDOWS;
            }
        }
    }
}
