//! Input and output types of the controller.

use serde::Deserialize;

/// Settings of a [`Controller`](crate::Controller).
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Seed of the random draws by which a share of a route's requests is refused. Set by the process, not configured.
    #[serde(skip)]
    pub seed: u64,
    /// Weight of the newest price in the moving average, above 0 and at most 1.
    pub alpha: f64,
    /// Share of a service's slots below which nothing is refused.
    pub calm_occupancy: f64,
    /// Share of a service's slots from which the full price is charged; above `calm_occupancy`.
    pub full_occupancy: f64,
}

impl Default for Settings {
    fn default() -> Self {
        // Refusals below half of the slots are penalised, and reports are some hundred ms old. A queue of about
        // half the slots is accepted before the full price is charged: random arrivals alone make short queues.
        Self { seed: 0, alpha: 0.1, calm_occupancy: 0.9, full_occupancy: 1.6 }
    }
}

/// Configuration of a route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteConfig {
    /// Name of the route.
    pub route: String,
    /// Service whose workers run its requests.
    pub service: String,
    /// Time to first byte up to which an answer has its full worth.
    pub target_latency_ms: f64,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum time for a request.
    pub timeout_ms: f64,
}

/// Load of a service over all of its workers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLoad {
    /// Ready workers.
    pub ready_workers: u32,
    /// Requests that all of them together run at a time.
    pub slots: u32,
    /// Requests known to run or wait there, by reports, own requests and other gatekeepers' summaries.
    pub outstanding: f64,
}

impl ServiceLoad {
    /// Outstanding requests as a share of the slots; `None` while no slots are known.
    pub fn occupancy(&self) -> Option<f64> {
        (self.slots > 0).then(|| self.outstanding / f64::from(self.slots))
    }

    /// Outstanding requests beyond the slots, which are queued.
    pub fn queued(&self) -> f64 {
        (self.outstanding - f64::from(self.slots)).max(0.0)
    }
}

/// Latency sample of one finished request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Time from admission to the first byte of the answer; `None` without an answer.
    pub first_byte_ms: Option<f64>,
    /// It waited for a model or an adapter to be loaded, so its latency does not measure congestion.
    pub waited_for_load: bool,
    /// Its worker was hung (see [`is_worker_hung`](crate::is_worker_hung)), so neither does its latency.
    pub worker_hung: bool,
    /// Size of the request, in the unit used on arrival.
    pub units: f64,
}

impl Sample {
    /// The latency, if it measures congestion.
    pub fn latency_ms(&self) -> Option<f64> {
        let ordinary = !self.waited_for_load && !self.worker_hung;
        self.first_byte_ms.filter(|latency| ordinary && latency.is_finite() && *latency >= 0.0)
    }
}

/// Load of a route that gatekeepers exchange; the summaries of several of them add up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Summary {
    /// Units admitted a second.
    pub admitted_per_s: f64,
    /// Worth that these units lose for each second of waiting, a second.
    pub delay_cost_per_s: f64,
}

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// Passed on to routing.
    Admit,
    /// Refused before it reaches a worker.
    Refuse {
        /// Delay before the client should retry.
        retry_after_ms: u64,
    },
}
