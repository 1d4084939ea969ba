//! A core node as one state machine without I/O.
//!
//! [`ControlNode::handle`] takes an [`Input`] with the time and returns what is to be sent, written and answered. It
//! composes the crates that decide: the register, the members, the worker table, the subscribers and the placer's
//! role. The program around it owns sockets, the file and the clock; the emulator owns virtual ones.

mod announcements;
mod calls;
mod electorate;
mod freshness;
mod input;
mod jobs;
mod load;
#[cfg(test)]
mod lone_node_tests;
mod node;
mod peers;
mod placer;
mod subscribers;
mod unreachable;
mod workers;

pub use input::{
    Answer, Call, CallId, Input, NodeSettings, OrderCall, OrderTicket, Output, ReportCall, SubscriberId,
    WorkerReport,
};
pub use node::ControlNode;
