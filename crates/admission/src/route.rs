//! State of one route: its price, what it admits, and what others tell of it.

use crate::price;
use crate::size::Sizes;
use crate::types::{RouteConfig, Sample, Summary};
use crate::wait::Waits;

/// Part of a mean request's worth that the least urgent route lacks. It is charged the price in full against
/// less worth, so it is refused sooner; small, since every kind of request is to be served.
const LEAST_URGENT_LESS: f64 = 0.3;
/// Weight of the newest second in the rates of a route.
const RATE_WEIGHT: f64 = 0.3;
/// Most of the aim that the latency without any wait may cost: an answer beyond the aim has some worth left.
const MOST_SERVED_SHARE: f64 = 0.7;

/// State of one route.
#[derive(Debug, Clone)]
pub(crate) struct Route {
    pub(crate) terms: RouteConfig,
    /// Worth of a unit by its rank.
    pub(crate) worth: f64,
    pub(crate) sizes: Sizes,
    pub(crate) waits: Waits,
    /// Smoothed price of a unit.
    pub(crate) price: f64,
    /// What a unit is charged, as a share of what it is worth beyond its latency without wait.
    pub(crate) charge: f64,
    asked: f64,
    asked_per_s: f64,
    admitted: f64,
    admitted_per_s: f64,
    told: Option<(u64, Summary)>,
}

impl Route {
    /// A route of which nothing is known: its price starts at nought.
    pub(crate) fn new(terms: RouteConfig) -> Self {
        Self {
            terms,
            worth: 1.0,
            sizes: Sizes::default(),
            waits: Waits::default(),
            price: 0.0,
            charge: 0.0,
            asked: 0.0,
            asked_per_s: 0.0,
            admitted: 0.0,
            admitted_per_s: 0.0,
            told: None,
        }
    }

    /// Sets the worth of a unit by the route's rank among `ranks` priorities of its service.
    pub(crate) fn set_rank(&mut self, rank: usize, ranks: usize) {
        let last = ranks.saturating_sub(1).max(1) as f64;
        self.worth = 1.0 - LEAST_URGENT_LESS * rank as f64 / last;
    }

    /// Counts what is asked for.
    pub(crate) fn ask(&mut self, units: f64) {
        self.asked += units;
    }

    /// Counts what goes on to routing.
    pub(crate) fn admit(&mut self, units: f64) {
        self.admitted += units;
    }

    /// Takes what a finished request tells.
    pub(crate) fn record_sample(&mut self, sample: &Sample) {
        if let Some(latency) = sample.latency_ms() {
            self.waits.sample(latency);
        }
    }

    /// Takes the sum of what other gatekeepers tell.
    pub(crate) fn set_peer_summary(&mut self, now: u64, summary: Summary) {
        let sound = |figure: f64| if figure.is_finite() { figure.max(0.0) } else { 0.0 };
        let summary = Summary {
            admitted_per_s: sound(summary.admitted_per_s),
            delay_cost_per_s: sound(summary.delay_cost_per_s),
        };
        self.told = Some((now, summary));
    }

    /// What this gatekeeper tells the others.
    pub(crate) fn own(&self) -> Summary {
        let rate = self.admitted_per_s;
        let delay_cost_per_s = price::delay_cost(self.worth, self.target_latency_ms(), rate, 1.0);
        Summary { admitted_per_s: rate, delay_cost_per_s }
    }

    /// Own figures and what others told from `since` on; of others that are silent, each counts as this one.
    pub(crate) fn everywhere(&self, since: u64, silent: f64) -> Summary {
        let own = self.own();
        let told = self.told.filter(|(at, _)| *at >= since).map(|(_, told)| told).unwrap_or_default();
        Summary {
            admitted_per_s: own.admitted_per_s * (1.0 + silent) + told.admitted_per_s,
            delay_cost_per_s: own.delay_cost_per_s * (1.0 + silent) + told.delay_cost_per_s,
        }
    }

    /// Rate of arrivals in units a second.
    pub(crate) fn asked_per_s(&self) -> f64 {
        self.asked_per_s
    }

    /// Ends the counts of `seconds`.
    pub(crate) fn end_second(&mut self, seconds: f64) {
        self.asked_per_s += (self.asked / seconds - self.asked_per_s) * RATE_WEIGHT;
        self.admitted_per_s += (self.admitted / seconds - self.admitted_per_s) * RATE_WEIGHT;
        (self.asked, self.admitted) = (0.0, 0.0);
    }

    /// Latency aim, at least a millisecond.
    pub(crate) fn target_latency_ms(&self) -> f64 {
        self.terms.target_latency_ms.max(1.0)
    }

    /// Wait that a request has before it: what answers tell, or the queue if that is longer.
    pub(crate) fn wait_ms(&self, queue_wait_ms: f64) -> f64 {
        self.waits.wait().max(queue_wait_ms)
    }

    /// Latency without wait, as far as it is charged.
    pub(crate) fn served_ms(&self) -> f64 {
        self.waits.floor().min(MOST_SERVED_SHARE * self.target_latency_ms())
    }

    /// Part of a unit's worth that is left for wait and price.
    pub(crate) fn surplus(&self) -> f64 {
        1.0 - self.served_ms() / self.target_latency_ms()
    }

    /// Cost of wait and price as a share of the surplus.
    pub(crate) fn own_charge(&self, queue_wait_ms: f64) -> f64 {
        let waiting = self.wait_ms(queue_wait_ms) / self.target_latency_ms();
        (waiting + self.price / self.worth) / self.surplus()
    }
}
