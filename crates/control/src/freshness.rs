//! Whether what the node holds is certain to be as new as its contact with a quorum.
//!
//! A node that lost contact reads the register from a quorum once it is back, before it speaks for the system. So does a
//! node that hears of a ballot which it does not come to hold: while it was in contact with a quorum of the electorate that
//! it knows, the electorate may have changed.

use crate::node::ControlNode;
use switchhill_register::Ballot;

/// Time in milliseconds in which a value that some node has accepted is usually known here to be chosen: three heartbeats.
const BEHIND_FOR: u64 = 600;

/// Ballots that this node and others have accepted.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    /// The highest ballot told.
    told: Ballot,
    /// When it was first told.
    since: u64,
    /// The highest ballot told when the read under way began.
    reading: Ballot,
    /// The highest ballot told before the last complete read of the register began.
    read: Ballot,
}

impl Freshness {
    /// A node has accepted a value under this ballot.
    pub(crate) fn told(&mut self, now: u64, accepted: Ballot) {
        if accepted > self.told {
            self.told = accepted;
            self.since = now;
        }
    }

    /// A read of the register begins.
    pub(crate) fn read_begins(&mut self) {
        self.reading = self.told;
    }

    /// A read of the register has ended with the newest value.
    pub(crate) fn read_ended(&mut self) {
        self.read = self.reading;
    }

    fn is_behind(&self, now: u64, held: Ballot) -> bool {
        self.told > held.max(self.read) && now >= self.since + BEHIND_FOR
    }
}

impl ControlNode {
    /// Has the register read again before the node serves, once what it holds may be old.
    pub(crate) fn tick_freshness(&mut self, now: u64) {
        // Its own acceptance counts too: a value not known to be chosen may name another electorate.
        let accepted = self.replica.accepted_ballot();
        self.freshness.told(now, accepted);
        let held = self.committed_ballot().unwrap_or(Ballot::NONE);
        if !self.has_quorum(now) || self.freshness.is_behind(now, held) {
            self.caught_up = false;
        }
    }
}
