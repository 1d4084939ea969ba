//! A soak: the whole system as real processes on loopback, under troubles drawn from a seed, with clients, workers and
//! an operator that keep records, and checks of these records against invariants.
//!
//! It stands on the pieces of [`crate::local_system`]. Sockets and the scheduler are real, so that a seed gives the same
//! troubles and requests each time, but not the same times.

pub mod check;
mod clients;
mod command;
mod connection;
mod figures;
mod finding;
mod fleet;
mod journal;
mod operator;
mod plan;
mod platform;
pub mod record;
mod request;
mod run;
mod workers;

pub use command::{soak, Asked};
pub use figures::Figures;
pub use finding::{Finding, Invariant};
pub use plan::{draw, Action, CoreTroubles, Planned};
pub use run::{run, Outcome, Wanted};
