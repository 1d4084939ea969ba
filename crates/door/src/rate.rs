//! Measured rates.

use crate::Millis;

/// A measured rate stands this long.
const RATE_VALIDITY: Millis = 5000.0;

/// A smoothed figure that stands for a while.
#[derive(Debug, Default)]
pub(crate) struct SmoothedRate {
    pub(crate) value: f64,
    updated_at: Millis,
}

impl SmoothedRate {
    /// Takes in a sample with this weight, or for all that is known where nothing stands.
    pub(crate) fn update(&mut self, now: Millis, sample: f64, gain: f64) {
        self.value = self.current(now).map_or(sample, |value| value + gain * (sample - value));
        self.updated_at = now;
    }

    pub(crate) fn current(&self, now: Millis) -> Option<f64> {
        (self.value > 0.0 && now - self.updated_at < RATE_VALIDITY).then_some(self.value)
    }
}

/// The window over which rates are measured.
#[derive(Debug, Default)]
pub(crate) struct RateWindow {
    pub(crate) start: Millis,
    pub(crate) dispatched: u32,
    pub(crate) virtual_time: f64,
    /// Something has been held all the time.
    pub(crate) backlogged: bool,
}
