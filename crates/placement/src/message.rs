//! Inputs and outputs of the planner.

use std::fmt;

/// Identity of one incarnation of a worker; it changes with each restart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub String);

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identity of an order, unique among the planners of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// Lifecycle state of a worker in the worker table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// Accepts requests and orders.
    Ready,
    /// About to leave; serves its models but gets no orders.
    Draining,
    /// Missed several heartbeats; gets no orders and its models do not count as replicas.
    Suspected,
    /// Terminated.
    Gone,
}

/// A model held by a worker, with its adapters on that worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Resident {
    /// Name of the model.
    pub name: String,
    /// Names of the adapters.
    pub adapters: Vec<String>,
}

/// One worker as the worker table shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerView {
    /// Identity of this incarnation.
    pub id: WorkerId,
    /// Address for orders.
    pub address: String,
    /// Zone of the worker.
    pub zone: String,
    /// Lifecycle state.
    pub state: WorkerState,
    /// Models in its newest heartbeat; lags behind orders.
    pub models: Vec<Resident>,
    /// Sequence of that heartbeat.
    pub as_of_sequence: u64,
}

/// Answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// 202: the worker executes the order.
    Accepted,
    /// 200: nothing to do; the item to load is loaded already, or the item to unload is not loaded.
    AlreadyHolds,
    /// 409: another order is in progress or the expected revision differs.
    Busy,
    /// 412: the worker has seen a higher fencing token.
    StaleFence,
    /// 400: the worker does not support the order.
    Rejected,
    /// 421: another worker answers at this address.
    WrongInstance,
    /// No answer; the order may have been accepted.
    NoAnswer,
}

/// Input of the planner.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The whole list of workers of the service; a worker not listed is gone.
    Workers(Vec<WorkerView>),
    /// Demand for a model and adapter over all data planes, reported about every 500 ms while there is any. Each entry
    /// counts the requests that name exactly this pair; the demand for a model is the sum of its entries.
    Demand {
        /// Name of the model.
        model: String,
        /// Name of the adapter, if requests name one.
        adapter: Option<String>,
        /// Arrival rate in requests per second.
        requests_per_s: f64,
        /// Smallest latency target among the requests, in milliseconds.
        latency_target_ms: u64,
        /// Requests running or queued at workers; 0 if unknown.
        outstanding: u32,
        /// Requests held because no worker can serve them.
        waiting: u32,
    },
    /// A data plane holds or rejects requests because no worker has the model or adapter they need.
    Missing {
        /// Name of the model.
        model: String,
        /// Name of the adapter, if requests name one.
        adapter: Option<String>,
        /// Requests held or rejected for this reason.
        waiting: u32,
        /// Smallest latency target among them, in milliseconds.
        latency_target_ms: u64,
    },
    /// Current load of a worker.
    Load {
        /// The worker.
        worker: WorkerId,
        /// Running requests.
        running: u32,
        /// Queued requests.
        queued: u32,
        /// KV cache tokens in use that cannot be evicted.
        kv_used: u64,
        /// Capacity of its KV cache in tokens.
        kv_total: u64,
    },
    /// The answer to an order.
    OrderResult {
        /// The order.
        order: OrderId,
        /// The answer.
        answer: OrderAnswer,
    },
    /// A worker's report.
    Report {
        /// The worker.
        worker: WorkerId,
        /// Whether an order is in progress.
        busy: bool,
        /// Number of orders it has accepted.
        sequence: u64,
        /// Models it holds.
        models: Vec<Resident>,
    },
    /// Timer tick, expected every 20 to 100 ms.
    Tick,
}

/// Kind of order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Load a model, or an adapter of a loaded model.
    Load,
    /// Unload a model with its adapters, or one adapter.
    Unload,
}

/// Output of the planner.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send an order. An [`Input::OrderResult`] must follow in every case.
    Order {
        /// Identity of the order.
        order: OrderId,
        /// Worker that receives it.
        worker: WorkerId,
        /// Its address.
        address: String,
        /// Kind of order.
        operation: Operation,
        /// Name of the model.
        model: String,
        /// Name of the adapter, for an adapter order.
        adapter: Option<String>,
        /// Number of orders that the worker must have accepted before.
        if_revision: Option<u64>,
    },
    /// Request a worker's report; the planner repeats the request if no report arrives.
    RequestReport {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        address: String,
    },
    /// Models and adapters that requests may be routed to on a worker from now on. Takes precedence over heartbeats
    /// sent earlier.
    Resident {
        /// The worker.
        worker: WorkerId,
        /// All models and adapters it can serve.
        models: Vec<Resident>,
    },
    /// Answer to [`Input::Missing`], repeated when it changes.
    ReadyEstimate {
        /// Name of the model.
        model: String,
        /// Name of the adapter, if one was missing.
        adapter: Option<String>,
        /// Estimated time until it is served, in milliseconds; `None` if no load can be planned.
        ready_in_ms: Option<u64>,
    },
    /// A worker has seen a higher fencing token: another planner is active, and this one sends no more orders.
    Superseded,
}
