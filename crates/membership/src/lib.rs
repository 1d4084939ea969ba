//! Members of the core: heartbeats, who is heard both ways, quorum contact.
//!
//! Core nodes send each other heartbeats that echo the last one received. From the echoes a node knows until when each
//! other node is certain to have heard it: the time at which it sent the heartbeat that came back. Only that counts as
//! contact, so a link that works one way is no contact, and a frozen node finds on waking that its contacts are old.

mod contact;
mod contacts;

pub use contact::{Contact, PeerStatus, ReceivedHeartbeat};
pub use contacts::{ContactSettings, Contacts};
