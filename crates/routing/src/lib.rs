//! Load balancing of requests over workers, outlier ejection of failing workers, and the retry budget.
//!
//! All types are state machines without I/O: the caller passes the time as `now`, in milliseconds of a monotonic
//! clock, and reports the outcome of each attempt. [`Router`] picks workers; [`RetryBudget`] limits how many requests
//! may be retried on a second worker.

mod attempt;
mod budget;
mod candidates;
mod choice;
mod cost;
mod ejection;
mod health;
mod indexes;
mod latency;
mod prefix;
mod router;
mod sessions;
mod settings;
mod shortlist;
mod silence;
mod table;
mod worker;

pub use attempt::{AttemptKey, AttemptOutcome};
pub use budget::{RetryBudget, RetryBudgetSettings};
pub use choice::{Choice, PromptPart, RequestProfile};
pub use router::Router;
pub use settings::RouterSettings;
pub use worker::{Availability, ResidentModel, WorkerKey, WorkerView};
