//! Membership of the core nodes: heartbeats, two-way reachability and quorum contact.
//!
//! Each heartbeat echoes the last heartbeat received from every other node. An echo proves that its sender received
//! this node's heartbeat, so contact is confirmed as of the time that heartbeat was sent. Contact requires such a
//! confirmation: a one-way link does not count, and a process resumed after a freeze finds its confirmations expired.

mod contact;
mod contacts;

pub use contact::{Contact, PeerStatus, ReceivedHeartbeat};
pub use contacts::{ContactSettings, Contacts};
