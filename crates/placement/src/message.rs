//! Inputs and outputs of the planner.

use std::fmt;

/// Identity of one incarnation of a worker; a restart brings a new one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub String);

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identity of an order, given once among the planners of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderId(pub u64);

/// What the worker table says of a worker's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerState {
    /// Takes requests and orders.
    Ready,
    /// Leaves soon; serves what it holds but gets no orders.
    Draining,
    /// Not heard of for some heartbeats; gets no orders and isn't counted as a holder.
    Suspected,
    /// Ended.
    Gone,
}

/// A model held by a worker, with those of its adapters the worker holds.
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
    /// Address that takes orders.
    pub address: String,
    /// Zone the worker stands in.
    pub zone: String,
    /// State of its life.
    pub state: WorkerState,
    /// What its newest heartbeat said it holds; lags behind orders.
    pub models: Vec<Resident>,
    /// Sequence of that heartbeat.
    pub as_of_sequence: u64,
}

/// How an order ended, or that its end isn't known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// 202: the worker carries it out.
    Accepted,
    /// 200: the worker holds already what was to be loaded, or doesn't hold what was to be unloaded.
    AlreadyHolds,
    /// 409: another order is under way or the expected sequence differs.
    Busy,
    /// 412: the worker has seen a higher fencing token.
    StaleFence,
    /// 400: the worker knows no such order.
    Rejected,
    /// 421: another worker answers at this address.
    WrongInstance,
    /// No answer; the order may have been taken.
    NoAnswer,
}

/// What the planner is told.
#[derive(Debug, Clone, PartialEq)]
pub enum Input {
    /// The whole list of workers of the service; a worker not listed is gone.
    Workers(Vec<WorkerView>),
    /// Demand for a model and adapter over all gatekeepers, told about every 500 ms while there is any. Each entry
    /// counts the requests that name exactly this pair; the demand of a model is the sum of its entries.
    Demand {
        /// Name of the model.
        model: String,
        /// Name of the adapter, where requests name one.
        adapter: Option<String>,
        /// Requests that arrive a second.
        requests_per_s: f64,
        /// Smallest latency aim among them, in milliseconds.
        latency_target_ms: u64,
        /// Requests outstanding at workers, running or queued; 0 where it isn't known.
        outstanding: u32,
        /// Requests held because no worker can take them.
        waiting: u32,
    },
    /// A gatekeeper holds or refuses requests because no worker has what they need.
    Missing {
        /// Name of the model.
        model: String,
        /// Name of the adapter, where requests name one.
        adapter: Option<String>,
        /// Requests held or refused for this.
        waiting: u32,
        /// Their smallest latency aim, in milliseconds.
        latency_target_ms: u64,
    },
    /// How much a worker has to do.
    Load {
        /// The worker.
        worker: WorkerId,
        /// Requests it runs.
        running: u32,
        /// Requests it queues.
        queued: u32,
        /// Tokens of its memory in use that can't give way.
        kv_used: u64,
        /// Tokens its memory holds.
        kv_total: u64,
    },
    /// The answer to an order.
    OrderResult {
        /// The order.
        order: OrderId,
        /// How it was answered.
        answer: OrderAnswer,
    },
    /// A worker's report.
    Report {
        /// The worker.
        worker: WorkerId,
        /// Whether it carries out an order.
        busy: bool,
        /// Orders it has taken.
        sequence: u64,
        /// What it holds.
        models: Vec<Resident>,
    },
    /// Time has passed; expected every 20 to 100 ms.
    Tick,
}

/// Kind of order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Load a model, or an adapter of a model that is there.
    Load,
    /// Unload a model with its adapters, or one adapter.
    Unload,
}

/// What the planner wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Output {
    /// Send an order, and return its [`Input::OrderResult`] whatever happens.
    Order {
        /// Identity of the order.
        order: OrderId,
        /// Worker that takes it.
        worker: WorkerId,
        /// Its address.
        address: String,
        /// Kind of order.
        operation: Operation,
        /// Name of the model.
        model: String,
        /// Name of the adapter, for an order about an adapter.
        adapter: Option<String>,
        /// Number of orders the worker must have taken before.
        if_revision: Option<u64>,
    },
    /// Ask a worker for its report; an answer that never comes is asked for again.
    RequestReport {
        /// The worker.
        worker: WorkerId,
        /// Its address.
        address: String,
    },
    /// What requests may be sent to a worker for, from now on. It goes before heartbeats sent earlier.
    Resident {
        /// The worker.
        worker: WorkerId,
        /// All models and adapters it can serve.
        models: Vec<Resident>,
    },
    /// ReportAnswer to [`Input::Missing`], repeated when it changes.
    ReadyEstimate {
        /// Name of the model.
        model: String,
        /// Name of the adapter, where one was missing.
        adapter: Option<String>,
        /// Time until it should stand, in milliseconds; none where there is no room for it.
        ready_in_ms: Option<u64>,
    },
    /// A worker has seen a higher fencing token: another planner acts, and this one orders nothing more.
    Superseded,
}
