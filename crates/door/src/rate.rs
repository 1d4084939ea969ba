//! Smoothed measurements.

use crate::Millis;

/// How long a measurement is valid.
const RATE_VALIDITY: Millis = 5000.0;

/// Exponentially weighted moving average that expires.
#[derive(Debug, Default)]
pub(crate) struct SmoothedRate {
    pub(crate) value: f64,
    updated_at: Millis,
}

impl SmoothedRate {
    /// Adds a sample with weight `gain`. Without a valid value the sample replaces it.
    pub(crate) fn update(&mut self, now: Millis, sample: f64, gain: f64) {
        self.value = self.current(now).map_or(sample, |value| value + gain * (sample - value));
        self.updated_at = now;
    }

    pub(crate) fn current(&self, now: Millis) -> Option<f64> {
        (self.value > 0.0 && now - self.updated_at < RATE_VALIDITY).then_some(self.value)
    }
}

/// Measurement window.
#[derive(Debug, Default)]
pub(crate) struct RateWindow {
    pub(crate) start: Millis,
    pub(crate) dispatched: u32,
    pub(crate) virtual_time: f64,
    /// The queue was never empty during the window.
    pub(crate) backlogged: bool,
}
