//! Placement of models and adapters on the workers of one service.
//!
//! [`Planner`] is a state machine without I/O. Its inputs are the workers, demand, answers to its orders and the
//! passing of time; its outputs are orders to send, reports to request and what each worker holds according to its
//! record.
//!
//! Three invariants hold on every path:
//!
//! - A load is ordered only if the worker's memory and adapter slots can hold it in addition to everything that is
//!   resident, being loaded, or possibly accepted without an answer.
//! - Loads from the weight store pass a token bucket whose rate is below the store's limit ([`Engine::loads_per_s`]).
//! - A worker gets one order at a time, conditional on the number of orders that it has accepted (`if_revision`). An
//!   order that arrives late or comes from an earlier planner thus cannot invalidate the planner's record undetected.

mod catalogue;
mod counters;
mod demand;
mod message;
mod orders;
mod planner;
mod policy;
mod reports;
mod served_reports;
mod settings;
mod store_rate_limiter;
mod worker;

pub use counters::PlacementCounters;
pub use message::{
    Input, Operation, OrderAnswer, OrderId, Output, Resident, WorkerId, WorkerState, WorkerView,
};
pub use planner::Planner;
pub use settings::{Engine, ModelSpec, PlannerSettings};
