//! Size of a request relative to the mean of its route.

/// Share of a request's worth that does not depend on its size.
const FIXED_SHARE: f64 = 0.3;
/// Maximum units of one request; a mean one has 1.
const MAX_UNITS: f64 = 4.0;
/// Requests over which the mean size is taken: enough to smooth out sizes, few enough to follow a change.
const MEAN_REQUESTS: f64 = 200.0;

/// Mean size of a route's requests, from which the units of each are computed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sizes {
    mean: f64,
    samples: f64,
}

impl Sizes {
    /// Units of a request of this size: 1 for the mean. A size that is not a positive number counts as the mean.
    pub(crate) fn units(&mut self, size: f64) -> f64 {
        if !size.is_finite() || size <= 0.0 {
            return 1.0;
        }
        self.samples = (self.samples + 1.0).min(MEAN_REQUESTS);
        self.mean += (size - self.mean) / self.samples;
        (FIXED_SHARE + (1.0 - FIXED_SHARE) * size / self.mean).min(MAX_UNITS)
    }
}
