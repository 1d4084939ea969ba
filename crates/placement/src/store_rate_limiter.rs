//! Token bucket that limits the rate of loads from the weight store.

/// Token bucket that starts empty, since a previous planner may just have used all tokens.
#[derive(Debug)]
pub(crate) struct StoreRateLimiter {
    per_ms: f64,
    burst: f64,
    tokens: f64,
    updated_at: u64,
}

impl StoreRateLimiter {
    /// An empty bucket that fills with `per_s` tokens per second up to `burst`.
    pub(crate) fn new(now: u64, per_s: f64, burst: f64) -> Self {
        Self { per_ms: per_s / 1_000.0, burst, tokens: 0.0, updated_at: now }
    }

    /// Changes the rate; accumulated tokens are kept.
    pub(crate) fn set_rate(&mut self, now: u64, per_s: f64) {
        self.refill(now);
        self.per_ms = per_s / 1_000.0;
    }

    /// Takes the token of one load, or returns false if there is none.
    pub(crate) fn try_take(&mut self, now: u64) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Returns the token of a load that provably did not start.
    pub(crate) fn refund(&mut self, now: u64) {
        self.refill(now);
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }

    /// Number of loads that may be sent from `now` until `within_ms` later, each as its token becomes available. The
    /// burst limits what may be sent at one moment, not what is planned: if it limited planned loads, the rate of loads
    /// that wait for memory to be freed would be the burst divided by their waiting time, however much the store
    /// allows.
    pub(crate) fn sendable_within(&self, now: u64, within_ms: u64) -> f64 {
        self.tokens_at(now) + within_ms as f64 * self.per_ms
    }

    /// Tokens available at `later` if none is taken before.
    pub(crate) fn tokens_at(&self, later: u64) -> f64 {
        let elapsed = later.saturating_sub(self.updated_at) as f64;
        (self.tokens + elapsed * self.per_ms).min(self.burst)
    }

    /// Time from `now` until `count` more loads have their tokens, in milliseconds.
    pub(crate) fn wait_ms(&self, now: u64, count: usize) -> u64 {
        let lacking = count as f64 - self.tokens_at(now);
        if lacking <= 0.0 {
            return 0;
        }
        if self.per_ms <= 0.0 {
            return u64::MAX / 4;
        }
        (lacking / self.per_ms).ceil() as u64
    }

    fn refill(&mut self, now: u64) {
        self.tokens = self.tokens_at(now);
        self.updated_at = self.updated_at.max(now);
    }
}
