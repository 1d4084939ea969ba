//! Choice of a worker for a request, ejection of failing workers, and the retry budget.
//!
//! Everything here is a state machine without input or output: the caller passes the time as `now`, in
//! milliseconds of a monotonic clock, and reports what became of each attempt. [`Router`] picks workers;
//! [`RetryBudget`] says whether a request may be sent to a second one.

mod attempt;
mod budget;
mod candidates;
mod choice;
mod cost;
mod ejection;
mod health;
mod indexes;
mod pace;
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
