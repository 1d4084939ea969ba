//! Counts of messages, bytes and processor time by role and kind.

use std::collections::BTreeMap;
use std::time::Instant;

/// A process of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// A core node that does not place.
    Core,
    /// The core node that places.
    Placer,
    /// An agent.
    Agent,
    /// A data plane.
    DataPlane,
}

/// Whether a message was received or sent; what has no bytes is an input of its own process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// Received: decoded and handled.
    Received,
    /// Sent: encoded.
    Sent,
    /// An input without a message, such as a tick.
    Local,
}

/// What one kind of message came to.
#[derive(Debug, Clone, Copy, Default)]
pub struct Count {
    /// How many.
    pub messages: u64,
    /// Bytes of all of them, framing included, headers of TCP and IP not.
    pub bytes: u64,
    /// Processor time for all of them, in nanoseconds.
    pub nanoseconds: u64,
}

/// A row's name.
pub(super) type Key = (Role, Direction, &'static str);

/// All counts.
#[derive(Debug, Default)]
pub(super) struct Ledger {
    pub(super) counts: BTreeMap<Key, Count>,
}

impl Ledger {
    /// Adds one message whose handling began at `since`.
    pub(super) fn add(&mut self, key: Key, bytes: usize, since: Instant) {
        let count = self.counts.entry(key).or_default();
        count.messages += 1;
        count.bytes += bytes as u64;
        count.nanoseconds += since.elapsed().as_nanos() as u64;
    }
}
