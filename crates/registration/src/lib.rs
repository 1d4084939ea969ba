//! Worker registration: heartbeats, worker state and failure suspicion.
//!
//! Every core node and every gatekeeper holds a [`WorkerTable`]. Entries of one instance are totally ordered
//! (see [`Worker::supersedes`]), which makes merging commutative, associative and idempotent: replicas that
//! merged the same entries, in any order and any number of times, are equal.

mod heartbeat;
mod record;
mod table;
mod worker;

pub use heartbeat::{Heartbeat, HeartbeatError};
pub use record::RecordError;
pub use table::{
    DigestOutcome, HeartbeatDigest, HeartbeatOutcome, HeartbeatSummary, MergeOutcome, SuspicionTimeout,
    WorkerTable, EVICT_AFTER_MS,
};
pub use worker::{ResidentModel, Worker, WorkerState};
