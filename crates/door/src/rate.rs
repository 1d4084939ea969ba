//! Measured rates.

use crate::Millis;

/// A measured rate stands this long.
const RATE_STANDS: Millis = 5000.0;

/// A smoothed figure that stands for a while.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    pub(crate) value: f64,
    at: Millis,
}

impl Rate {
    /// Takes in a sample with this weight, or for all that is known where nothing stands.
    pub(crate) fn learn(&mut self, now: Millis, sample: f64, gain: f64) {
        self.value = self.stands(now).map_or(sample, |value| value + gain * (sample - value));
        self.at = now;
    }

    pub(crate) fn stands(&self, now: Millis) -> Option<f64> {
        (self.value > 0.0 && now - self.at < RATE_STANDS).then_some(self.value)
    }
}

/// The window over which rates are measured.
#[derive(Debug, Default)]
pub(crate) struct Window {
    pub(crate) since: Millis,
    pub(crate) passed: u32,
    pub(crate) virtual_time: f64,
    /// Something has been held all the time.
    pub(crate) pressed: bool,
}
