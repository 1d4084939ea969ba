//! Counts of messages, bytes and processor time by role and kind.

use rustix::time::{clock_gettime, ClockId, Timespec};
use std::collections::BTreeMap;

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
    pub(super) fn add(&mut self, key: Key, bytes: usize, since: ProcessorTime) {
        let count = self.counts.entry(key).or_default();
        count.messages += 1;
        count.bytes += bytes as u64;
        count.nanoseconds += since.elapsed_nanoseconds();
    }
}

/// Processor time of this thread at a moment: other work on the machine doesn't count.
#[derive(Debug, Clone, Copy)]
pub(super) struct ProcessorTime(Timespec);

impl ProcessorTime {
    /// Now.
    pub(super) fn now() -> ProcessorTime {
        ProcessorTime(clock_gettime(ClockId::ThreadCPUTime))
    }

    fn elapsed_nanoseconds(self) -> u64 {
        let now = clock_gettime(ClockId::ThreadCPUTime);
        let seconds = now.tv_sec - self.0.tv_sec;
        let nanoseconds = now.tv_nsec - self.0.tv_nsec;
        u64::try_from(seconds * 1_000_000_000 + nanoseconds).unwrap_or(0)
    }
}
