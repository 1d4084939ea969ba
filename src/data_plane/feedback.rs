//! What the data plane tells the agent beside it.

/// A message of the data plane to the agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Feedback {
    /// Requests wait for a model or an adapter that no worker holds.
    Missing {
        /// Service of the requests.
        service: String,
        /// Model they name.
        model: String,
        /// Adapter they name, where there is one.
        adapter: Option<String>,
        /// How many wait for it here.
        waiting: u32,
        /// Shortest latency objective among them, in milliseconds.
        target_latency_ms: u64,
    },
    /// No connection to a worker came up.
    Unreachable {
        /// Id of the worker.
        worker: String,
        /// Whether its machine refused the connection; otherwise it said nothing.
        refused: bool,
    },
    /// What has happened since the last summary.
    Summary(Summary),
}

/// Demand and load of about one second.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Summary {
    /// Time that it covers, in milliseconds.
    pub span_ms: u64,
    /// Requests for each model that was asked for.
    pub demand: Vec<ModelDemand>,
    /// Requests that are out at each worker that has any.
    pub outstanding: Vec<WorkerLoad>,
    /// Each route that had requests.
    pub routes: Vec<RouteLoad>,
}

/// Requests that named one model, or none.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelDemand {
    /// Service of the requests.
    pub service: String,
    /// Model they named.
    pub model: Option<String>,
    /// Adapter they named.
    pub adapter: Option<String>,
    /// Requests a second, averaged over about a second.
    pub requests_per_s: f64,
    /// Tokens a second, of prompts and of answers at the most.
    pub tokens_per_s: f64,
    /// Requests without a complete answer, those that wait included.
    pub outstanding: u32,
    /// Shortest latency objective among them, in milliseconds.
    pub target_latency_ms: u64,
}

/// Requests of this gatekeeper that are out at a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerLoad {
    /// Id of the worker.
    pub worker: String,
    /// Requests without a complete answer.
    pub requests: u32,
}

/// Requests of one route.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteLoad {
    /// Name of the route.
    pub route: String,
    /// Requests that arrived.
    pub arrived: u32,
    /// Those that were let through to routing.
    pub admitted: u32,
    /// Units admitted a second, smoothed as admission does it.
    pub admitted_per_s: f64,
    /// Worth that those admitted lose for each second of waiting, a second.
    pub delay_cost_per_s: f64,
}
