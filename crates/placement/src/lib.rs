//! Placement of models and adapters on the workers of one service.
//!
//! [`Planner`] is a state machine without I/O. It is told about workers, demand, answers to its orders and the
//! passing of time, and returns the orders to send, the reports to ask for and what it believes each worker holds.
//!
//! Three properties are kept on every path:
//!
//! - A load is ordered only where the weights and adapter slots of the worker hold it beside everything that is
//!   resident, under way or possibly taken without an answer.
//! - Loads from the weight store pass a token bucket below the store's rate ([`Engine::loads_per_s`]).
//! - A worker gets one order at a time, conditional on the number of orders it has taken so far (`if_revision`), so
//!   an order that arrives late or belongs to an earlier planner can't make the planner's view wrong unnoticed.

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
