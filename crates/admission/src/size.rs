//! Size of a request against the mean of its route.

/// Part of a request's worth that does not depend on its size.
const FIXED_PART: f64 = 0.3;
/// Most that one request counts for, as a multiple of a mean one.
const MOST_UNITS: f64 = 4.0;
/// Requests over which the mean size is taken: enough to even out sizes, few enough to follow a change.
const MEAN_OVER: f64 = 200.0;

/// Mean size of a route's requests, and the units that each of them counts for.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sizes {
    mean: f64,
    seen: f64,
}

impl Sizes {
    /// Units of a request of this size: 1 for a mean one. A size that is no positive number counts as the mean.
    pub(crate) fn units(&mut self, size: f64) -> f64 {
        if !size.is_finite() || size <= 0.0 {
            return 1.0;
        }
        self.seen = (self.seen + 1.0).min(MEAN_OVER);
        self.mean += (size - self.mean) / self.seen;
        (FIXED_PART + (1.0 - FIXED_PART) * size / self.mean).min(MOST_UNITS)
    }
}
