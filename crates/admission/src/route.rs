//! State of one route: its price, its rates, and the summary of other gatekeepers.

use crate::price;
use crate::size::Sizes;
use crate::types::{RouteConfig, Sample, Summary};
use crate::wait::Waits;

/// Share of a mean request's worth that the least urgent route lacks. It is charged the full price against less
/// worth, so it is refused sooner; small, since every kind of request has to be served.
const LEAST_URGENT_DISCOUNT: f64 = 0.3;
/// Weight of the latest second in the rates of a route.
const RATE_WEIGHT: f64 = 0.3;
/// Maximum share of the target latency charged for the latency without wait: a late answer has some worth left.
const MAX_SERVED_SHARE: f64 = 0.7;

/// State of one route.
#[derive(Debug, Clone)]
pub(crate) struct Route {
    pub(crate) config: RouteConfig,
    /// Worth of a unit, by the route's rank.
    pub(crate) worth: f64,
    pub(crate) sizes: Sizes,
    pub(crate) waits: Waits,
    /// Smoothed price of a unit.
    pub(crate) price: f64,
    /// Charge of a unit, as a share of its surplus (its worth less the cost of the latency without wait).
    pub(crate) charge: f64,
    arrived: f64,
    arrived_per_s: f64,
    admitted: f64,
    admitted_per_s: f64,
    peers: Option<(u64, Summary)>,
}

impl Route {
    /// A route without samples; its price starts at 0.
    pub(crate) fn new(config: RouteConfig) -> Self {
        Self {
            config,
            worth: 1.0,
            sizes: Sizes::default(),
            waits: Waits::default(),
            price: 0.0,
            charge: 0.0,
            arrived: 0.0,
            arrived_per_s: 0.0,
            admitted: 0.0,
            admitted_per_s: 0.0,
            peers: None,
        }
    }

    /// Sets the worth of a unit by the route's rank among `ranks` priorities of its service.
    pub(crate) fn set_rank(&mut self, rank: usize, ranks: usize) {
        let last = ranks.saturating_sub(1).max(1) as f64;
        self.worth = 1.0 - LEAST_URGENT_DISCOUNT * rank as f64 / last;
    }

    /// Counts units that arrived.
    pub(crate) fn count_arrival(&mut self, units: f64) {
        self.arrived += units;
    }

    /// Counts units that were admitted.
    pub(crate) fn count_admission(&mut self, units: f64) {
        self.admitted += units;
    }

    /// Records the sample of a finished request.
    pub(crate) fn record_sample(&mut self, sample: &Sample) {
        if let Some(latency) = sample.latency_ms() {
            self.waits.record(latency);
        }
    }

    /// Replaces the sum of the other gatekeepers' summaries.
    pub(crate) fn set_peer_summary(&mut self, now: u64, summary: Summary) {
        let valid = |figure: f64| if figure.is_finite() { figure.max(0.0) } else { 0.0 };
        let summary = Summary {
            admitted_per_s: valid(summary.admitted_per_s),
            delay_cost_per_s: valid(summary.delay_cost_per_s),
        };
        self.peers = Some((now, summary));
    }

    /// Summary for the other gatekeepers.
    pub(crate) fn own_summary(&self) -> Summary {
        let rate = self.admitted_per_s;
        let delay_cost_per_s = price::delay_cost(self.worth, self.target_latency_ms(), rate, 1.0);
        Summary { admitted_per_s: rate, delay_cost_per_s }
    }

    /// Own summary plus that of the others if not older than `since`; each of `silent` others counts as this one.
    pub(crate) fn total_summary(&self, since: u64, silent: f64) -> Summary {
        let own = self.own_summary();
        let peers = self.peers.filter(|(at, _)| *at >= since).map(|(_, peers)| peers).unwrap_or_default();
        Summary {
            admitted_per_s: own.admitted_per_s * (1.0 + silent) + peers.admitted_per_s,
            delay_cost_per_s: own.delay_cost_per_s * (1.0 + silent) + peers.delay_cost_per_s,
        }
    }

    /// Arrival rate in units a second.
    pub(crate) fn arrived_per_s(&self) -> f64 {
        self.arrived_per_s
    }

    /// Updates the rates from the counts of the past `seconds`.
    pub(crate) fn end_second(&mut self, seconds: f64) {
        self.arrived_per_s += (self.arrived / seconds - self.arrived_per_s) * RATE_WEIGHT;
        self.admitted_per_s += (self.admitted / seconds - self.admitted_per_s) * RATE_WEIGHT;
        (self.arrived, self.admitted) = (0.0, 0.0);
    }

    /// Target latency, at least one millisecond.
    pub(crate) fn target_latency_ms(&self) -> f64 {
        self.config.target_latency_ms.max(1.0)
    }

    /// Expected wait of a new request: the measured one, or the queue's if that is longer.
    pub(crate) fn wait_ms(&self, queue_wait_ms: f64) -> f64 {
        self.waits.wait().max(queue_wait_ms)
    }

    /// Latency without wait, up to the share that is charged.
    pub(crate) fn served_ms(&self) -> f64 {
        self.waits.floor().min(MAX_SERVED_SHARE * self.target_latency_ms())
    }

    /// Share of a unit's worth that is left for wait and price.
    pub(crate) fn surplus(&self) -> f64 {
        1.0 - self.served_ms() / self.target_latency_ms()
    }

    /// Cost of wait and price, as a share of the surplus.
    pub(crate) fn own_charge(&self, queue_wait_ms: f64) -> f64 {
        let waiting = self.wait_ms(queue_wait_ms) / self.target_latency_ms();
        (waiting + self.price / self.worth) / self.surplus()
    }
}
