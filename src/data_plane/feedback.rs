//! Messages from the data plane to the agent on the same machine.

/// A message from the data plane to the agent.
#[derive(Debug, Clone, PartialEq)]
pub enum Feedback {
    /// Requests wait for a model or an adapter that no worker holds.
    Missing {
        /// Service of the waiting requests.
        service: String,
        /// Model that they name.
        model: String,
        /// Adapter that they name, if any.
        adapter: Option<String>,
        /// Number of requests that wait for it at this gatekeeper.
        waiting: u32,
        /// Shortest latency target among them, in milliseconds.
        target_latency_ms: u64,
    },
    /// No connection to a worker could be established.
    Unreachable {
        /// Id of the worker.
        worker: String,
        /// Whether the worker's machine refused the connection. Otherwise it did not respond.
        refused: bool,
    },
    /// Load and demand since the last summary.
    Summary(Summary),
}

/// Load and demand over the time since the last summary.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Summary {
    /// Length of the covered interval, in milliseconds.
    pub span_ms: u64,
    /// Demand for each requested model.
    pub demand: Vec<ModelDemand>,
    /// Outstanding requests at each worker that has any.
    pub outstanding: Vec<WorkerLoad>,
    /// Load of each route that had requests.
    pub routes: Vec<RouteLoad>,
}

/// Demand of the requests that name the same model, or none.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelDemand {
    /// Service of the requests.
    pub service: String,
    /// Model that they name, if any.
    pub model: Option<String>,
    /// Adapter that they name, if any.
    pub adapter: Option<String>,
    /// Requests per second, averaged over about one second.
    pub requests_per_s: f64,
    /// Tokens per second: prompt tokens plus the maximum number of output tokens.
    pub tokens_per_s: f64,
    /// Requests without a complete response, including those that wait.
    pub outstanding: u32,
    /// Shortest latency target among them, in milliseconds.
    pub target_latency_ms: u64,
}

/// Outstanding requests of this gatekeeper at a worker.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerLoad {
    /// Id of the worker.
    pub worker: String,
    /// Number of requests without a complete response.
    pub requests: u32,
}

/// Load of one route.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RouteLoad {
    /// Name of the route.
    pub route: String,
    /// Number of requests that arrived.
    pub arrived: u32,
    /// Number of requests that were admitted.
    pub admitted: u32,
    /// Admitted units per second, smoothed by the admission controller.
    pub admitted_per_s: f64,
    /// Value that the admitted requests lose per second of additional delay, as a rate per second.
    pub delay_cost_per_s: f64,
}
