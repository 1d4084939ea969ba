//! A control-plane node ("core node") as one state machine without I/O.
//!
//! [`ControlNode::handle`] takes an [`Input`] with the current time and returns the messages to send, the records to
//! persist and the calls to answer. It combines the consensus register, the membership, the worker table, the
//! subscribers and the placer role. The surrounding program owns the sockets, the log file and the clock; the emulator
//! substitutes virtual ones.

mod announcements;
mod calls;
#[cfg(test)]
mod departed_nodes_tests;
mod electorate;
mod freshness;
mod input;
mod jobs;
mod large_messages;
mod load;
mod node;
mod peer_addresses;
mod peers;
mod placer;
mod register_values;
#[cfg(test)]
mod single_node_tests;
mod subscribers;
mod unreachable;
mod workers;

pub use input::{
    Answer, Call, CallId, Input, NodeSettings, OrderCall, OrderTicket, Output, ReportCall, SubscriberId,
    WorkerReport,
};
pub use node::ControlNode;
