//! Workers: instances, heartbeats by sequence, draining, gone, suspected.
//!
//! Every core node and every gatekeeper holds a [`WorkerTable`]. Entries are ordered in full (see
//! [`Worker::supersedes`]), so tables that merged the same entries, in any order and any number of times,
//! are the same.

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
