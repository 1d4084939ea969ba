//! What the controller is told: settings, routes, loads, samples; and what it answers.

use serde::Deserialize;

/// Settings of a [`Controller`](crate::Controller).
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Seed of the draws by which a part of a route's requests is refused. Given by the process, not read.
    #[serde(skip)]
    pub seed: u64,
    /// Weight of the newest price in the smoothed one, above 0 and at most 1.
    pub alpha: f64,
    /// Share of a service's slots below which nothing is refused.
    pub calm_occupancy: f64,
    /// Share of a service's slots from which on the whole price is charged; above `calm_occupancy`.
    pub full_occupancy: f64,
}

impl Default for Settings {
    fn default() -> Self {
        // Refusals under half of the slots are charged for, and reports are some hundred ms old. A queue of
        // half the slots, at most, is borne before the price counts in full: chance alone makes short ones.
        Self { seed: 0, alpha: 0.1, calm_occupancy: 0.9, full_occupancy: 1.6 }
    }
}

/// A route as the operator's configuration has it.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteConfig {
    /// Name of the route.
    pub route: String,
    /// Service whose workers take its requests.
    pub service: String,
    /// Time to the first byte of an answer that earns its full worth.
    pub target_latency_ms: f64,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Longest time that a request may be held.
    pub timeout_ms: f64,
}

/// Load of a service over all of its workers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ServiceLoad {
    /// Workers that take requests.
    pub ready_workers: u32,
    /// Requests that all of them run at once.
    pub slots: u32,
    /// Requests known to run or wait there: reports, own requests, and what other gatekeepers tell.
    pub outstanding: f64,
}

impl ServiceLoad {
    /// Known requests as a share of the slots; none while no slots are known.
    pub fn occupancy(&self) -> Option<f64> {
        (self.slots > 0).then(|| self.outstanding / f64::from(self.slots))
    }

    /// Known requests beyond the slots, which wait.
    pub fn queued(&self) -> f64 {
        (self.outstanding - f64::from(self.slots)).max(0.0)
    }
}

/// What one finished request tells of its route's latency.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Time from admission to the first byte of the answer; none where no answer came.
    pub first_byte_ms: Option<f64>,
    /// It waited for a model or an adapter to be loaded: its latency tells nothing of congestion.
    pub waited_for_load: bool,
    /// Its worker was hung (see [`is_worker_hung`](crate::is_worker_hung)): nor does this latency.
    pub worker_hung: bool,
    /// Size of the request, in the same measure as on arrival.
    pub units: f64,
}

impl Sample {
    /// The latency, if it tells of congestion.
    pub fn latency_ms(&self) -> Option<f64> {
        let ordinary = !self.waited_for_load && !self.worker_hung;
        self.first_byte_ms.filter(|latency| ordinary && latency.is_finite() && *latency >= 0.0)
    }
}

/// What gatekeepers tell one another of a route; sums over several of them add up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Summary {
    /// Units admitted a second.
    pub admitted_per_s: f64,
    /// Worth that these lose for each second of waiting, a second.
    pub delay_cost_per_s: f64,
}

/// What becomes of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It goes on to routing.
    Admit,
    /// It is refused before any worker has it.
    Refuse {
        /// When the client should come back.
        retry_after_ms: u64,
    },
}
