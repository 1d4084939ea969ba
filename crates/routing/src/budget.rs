//! Budget of repeats: how many requests this gatekeeper may send to a second worker.
//!
//! The rule holds for the whole fleet: in every window, arrivals at a service beyond the first of each
//! request stay within `ratio` times its requests plus `slack`. Each gatekeeper keeps its own part without
//! talking to the others: the requests it took itself give it credit, and the slack is divided.
//!
//! Credit comes from the requests of the last half window only. Wherever a window of the rule is laid that
//! contains a repeat, those requests lie wholly within it or within the window half a length before, both of
//! which the rule accepts; so bursts and pauses of the traffic cannot break it.

use std::collections::{HashMap, VecDeque};

/// Buckets a window is divided in.
const BUCKETS: u64 = 20;
/// Share of the ratio that is used.
const RATIO_SHARE: f64 = 0.95;
/// Share of the slack that is used; the rest is for gatekeepers not known yet and for late arrivals.
const SLACK_SHARE: f64 = 0.6;
/// Size assumed for the fleet before it is known.
const ASSUMED_GATEKEEPERS: u32 = 64;

/// The fleet's rule.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Repeats per request.
    pub ratio: f64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
    /// Repeats in a window on top of those.
    pub slack: f64,
}

/// This gatekeeper's part of the fleet's retry budget, per service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    gatekeepers: u32,
    started_at: Option<u64>,
    services: HashMap<String, Ledger>,
}

/// Requests and repeats of one service over the last window.
#[derive(Debug, Default)]
struct Ledger {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    index: u64,
    requests: u64,
    repeats: u64,
}

impl RetryBudget {
    /// A budget that has seen nothing yet.
    pub fn new(ratio: f64, window_ms: u64, slack: f64) -> Self {
        Self::with_settings(RetryBudgetSettings { ratio, window_ms, slack })
    }

    /// A budget that has seen nothing yet.
    pub fn with_settings(settings: RetryBudgetSettings) -> Self {
        let services = HashMap::new();
        RetryBudget { settings, gatekeepers: ASSUMED_GATEKEEPERS, started_at: None, services }
    }

    /// Tells how many gatekeepers share the budget; 0 means that it is not known.
    pub fn set_data_plane_count(&mut self, count: u32) {
        self.gatekeepers = if count == 0 { ASSUMED_GATEKEEPERS } else { count };
    }

    /// Counts a client's request for the service. Call it once for each, also when it is refused later.
    pub fn record_request(&mut self, now: u64, service: &str) {
        self.started_at.get_or_insert(now);
        self.bucket(now, service).requests += 1;
    }

    /// Takes one repeat out of the budget if there is one; call it before each send after a request's first.
    pub fn try_retry(&mut self, now: u64, service: &str) -> bool {
        let allowed = self.can_retry(now, service);
        if allowed {
            self.bucket(now, service).repeats += 1;
        }
        allowed
    }

    /// Whether there is a repeat in the budget, without taking it.
    pub fn can_retry(&mut self, now: u64, service: &str) -> bool {
        self.started_at.get_or_insert(now);
        let allowance = self.allowance(now, service);
        let repeats = self.services.get(service).map_or(0, |ledger| ledger.repeats());
        (repeats + 1) as f64 <= allowance
    }

    /// Gives back a repeat taken by [`RetryBudget::try_retry`] that was never sent.
    pub fn return_unused(&mut self, now: u64, service: &str) {
        let bucket = self.bucket(now, service);
        bucket.repeats = bucket.repeats.saturating_sub(1);
    }

    /// Repeats allowed in the window that ends now.
    fn allowance(&mut self, now: u64, service: &str) -> f64 {
        let index = self.index(now);
        self.bucket(now, service);
        let requests = self.services.get(service).map_or(0, |ledger| ledger.recent_requests(index));
        RATIO_SHARE * self.settings.ratio * requests as f64 + self.slack(now)
    }

    /// This gatekeeper's part of the slack. It grows over the first window, because a process that ran here
    /// before may have used its part just now.
    fn slack(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.started_at.unwrap_or(now)) as f64;
        let grown = (age / self.settings.window_ms.max(1) as f64).min(1.0);
        SLACK_SHARE * self.settings.slack / f64::from(self.gatekeepers) * grown
    }

    fn index(&self, now: u64) -> u64 {
        now / (self.settings.window_ms / BUCKETS).max(1)
    }

    /// The newest bucket, after those that have left the window are dropped.
    fn bucket(&mut self, now: u64, service: &str) -> &mut Bucket {
        let index = self.index(now);
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Ledger::default());
        }
        let ledger = self.services.get_mut(service).expect("inserted above");
        ledger.advance(index);
        ledger.buckets.back_mut().expect("advance leaves a bucket")
    }
}

impl Ledger {
    fn advance(&mut self, index: u64) {
        let newest = self.buckets.back().map(|bucket| bucket.index);
        if newest.is_none_or(|newest| newest < index) {
            self.buckets.push_back(Bucket { index, requests: 0, repeats: 0 });
        }
        // The bucket one window ago is kept: part of it is still inside.
        while self.buckets.front().is_some_and(|bucket| bucket.index + BUCKETS < index) {
            self.buckets.pop_front();
        }
    }

    fn repeats(&self) -> u64 {
        self.buckets.iter().map(|bucket| bucket.repeats).sum()
    }

    /// Requests of the last half window.
    fn recent_requests(&self, index: u64) -> u64 {
        let recent = self.buckets.iter().filter(|bucket| bucket.index + BUCKETS / 2 > index);
        recent.map(|bucket| bucket.requests).sum()
    }
}
