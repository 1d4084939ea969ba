//! Hollow fleets: the real state machines of all roles in one process, without sockets and in virtual time.
//!
//! Every message is encoded by its sender and decoded by its receiver, as on the wire, and its bytes and processor time
//! are counted by role and kind. Requests are not run: each gatekeeper tells the load of a steady number of them.

mod callers;
mod core_nodes;
mod data_plane;
mod events;
mod fleet;
mod gatekeepers;
mod kinds;
mod ledger;
pub mod parts;
mod report;
mod site;
mod worker;

pub use ledger::{Count, Direction, Role};
pub use report::{DrainTimes, Report};

/// Sizes of a hollow fleet.
#[derive(Debug, Clone, Copy)]
pub struct Sizes {
    /// Gatekeepers: each an agent with a data plane beside it.
    pub gatekeepers: usize,
    /// Workers.
    pub workers: usize,
    /// Models of the one service.
    pub models: usize,
    /// Core nodes.
    pub cores: usize,
}

/// Runs a fleet for `seconds` after its start and tells what its roles cost.
pub fn run(sizes: Sizes, seconds: u64, seed: u64) -> Report {
    fleet::Fleet::new(sizes, seed).run(seconds)
}
