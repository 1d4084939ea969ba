//! Retry budget: how many requests this data plane may send to a second worker.
//!
//! The limit holds for the whole fleet: in every window, arrivals at a service beyond the first attempt of each
//! request stay within `ratio` times its requests plus `slack`. Each data plane enforces its own share without
//! coordination: the requests it accepted itself earn it retries, and the slack is divided.
//!
//! Only the requests of the last half window earn retries. Wherever a window of the rule that contains a retry is
//! placed, those requests lie wholly within it or within the window half a length earlier, and the rule accepts both;
//! so bursts and pauses of the traffic cannot break it.

use std::collections::{HashMap, VecDeque};

/// Buckets per window.
const BUCKETS: u64 = 20;
/// Share of the ratio that is used.
const RATIO_SHARE: f64 = 0.95;
/// Share of the slack that is used; the rest is reserved for data planes not known yet and for late arrivals.
const SLACK_SHARE: f64 = 0.6;
/// Number of data planes assumed until it is known.
const ASSUMED_DATA_PLANES: u32 = 64;

/// Limit for the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetSettings {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the window in milliseconds.
    pub window_ms: u64,
    /// Retries allowed per window in addition to the ratio.
    pub slack: f64,
}

/// This data plane's share of the fleet's retry budget, per service.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetryBudgetSettings,
    data_planes: u32,
    started_at: Option<u64>,
    services: HashMap<String, ServiceWindow>,
}

/// Requests and retries of one service over the last window.
#[derive(Debug, Default)]
struct ServiceWindow {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    index: u64,
    requests: u64,
    retries: u64,
}

impl RetryBudget {
    /// Creates a budget without any recorded requests.
    pub fn new(ratio: f64, window_ms: u64, slack: f64) -> Self {
        Self::with_settings(RetryBudgetSettings { ratio, window_ms, slack })
    }

    /// Creates a budget without any recorded requests.
    pub fn with_settings(settings: RetryBudgetSettings) -> Self {
        let services = HashMap::new();
        RetryBudget { settings, data_planes: ASSUMED_DATA_PLANES, started_at: None, services }
    }

    /// Sets the number of data planes that share the budget; 0 means that it is not known.
    pub fn set_data_plane_count(&mut self, count: u32) {
        self.data_planes = if count == 0 { ASSUMED_DATA_PLANES } else { count };
    }

    /// Counts a client's request for the service. Call it once per request, also if the request is refused later.
    pub fn record_request(&mut self, now: u64, service: &str) {
        self.started_at.get_or_insert(now);
        self.bucket(now, service).requests += 1;
    }

    /// Takes one retry out of the budget if there is one; call it before each attempt after a request's first.
    pub fn try_retry(&mut self, now: u64, service: &str) -> bool {
        let allowed = self.can_retry(now, service);
        if allowed {
            self.bucket(now, service).retries += 1;
        }
        allowed
    }

    /// Whether the budget has a retry left, without taking it.
    pub fn can_retry(&mut self, now: u64, service: &str) -> bool {
        self.started_at.get_or_insert(now);
        let allowance = self.allowance(now, service);
        let retries = self.services.get(service).map_or(0, |window| window.retries());
        (retries + 1) as f64 <= allowance
    }

    /// Returns a retry taken by [`RetryBudget::try_retry`] that was never sent.
    pub fn return_unused(&mut self, now: u64, service: &str) {
        let bucket = self.bucket(now, service);
        bucket.retries = bucket.retries.saturating_sub(1);
    }

    /// Retries allowed in the window that ends now.
    fn allowance(&mut self, now: u64, service: &str) -> f64 {
        let index = self.index(now);
        self.bucket(now, service);
        let requests = self.services.get(service).map_or(0, |window| window.recent_requests(index));
        RATIO_SHARE * self.settings.ratio * requests as f64 + self.slack(now)
    }

    /// This data plane's share of the slack. It grows linearly over the first window, because a previous process on
    /// this host may have used its share just before the start.
    fn slack(&self, now: u64) -> f64 {
        let age = now.saturating_sub(self.started_at.unwrap_or(now)) as f64;
        let ramp = (age / self.settings.window_ms.max(1) as f64).min(1.0);
        SLACK_SHARE * self.settings.slack / f64::from(self.data_planes) * ramp
    }

    fn index(&self, now: u64) -> u64 {
        now / (self.settings.window_ms / BUCKETS).max(1)
    }

    /// The newest bucket, after buckets that have left the window are dropped.
    fn bucket(&mut self, now: u64, service: &str) -> &mut Bucket {
        let index = self.index(now);
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), ServiceWindow::default());
        }
        let window = self.services.get_mut(service).expect("inserted above");
        window.advance(index);
        window.buckets.back_mut().expect("advance leaves a bucket")
    }
}

impl ServiceWindow {
    fn advance(&mut self, index: u64) {
        let newest = self.buckets.back().map(|bucket| bucket.index);
        if newest.is_none_or(|newest| newest < index) {
            self.buckets.push_back(Bucket { index, requests: 0, retries: 0 });
        }
        // The bucket that begins one window earlier is kept because part of it is still inside the window.
        while self.buckets.front().is_some_and(|bucket| bucket.index + BUCKETS < index) {
            self.buckets.pop_front();
        }
    }

    fn retries(&self) -> u64 {
        self.buckets.iter().map(|bucket| bucket.retries).sum()
    }

    /// Requests of the last half window.
    fn recent_requests(&self, index: u64) -> u64 {
        let recent = self.buckets.iter().filter(|bucket| bucket.index + BUCKETS / 2 > index);
        recent.map(|bucket| bucket.requests).sum()
    }
}
