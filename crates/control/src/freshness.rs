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
    /// A ballot told that is not known here yet, and since when it is awaited.
    awaited: Option<(Ballot, u64)>,
    /// The highest ballot told when the read under way began.
    reading: Ballot,
    /// The highest ballot told before the last complete read of the register began.
    read: Ballot,
    /// When the read under way, or the last one, began.
    reading_since: u64,
    /// The last tick without contact with a quorum.
    out_of_contact_at: Option<u64>,
}

impl Freshness {
    /// A node has accepted a value under this ballot.
    pub(crate) fn told(&mut self, accepted: Ballot) {
        self.told = self.told.max(accepted);
    }

    /// A read of the register begins.
    pub(crate) fn read_begins(&mut self, now: u64) {
        self.reading = self.told;
        self.reading_since = now;
    }

    /// Whether what the read brought is as new as the node's contact: one begun before contact was lost tells what a
    /// majority held then.
    pub(crate) fn read_counts(&self) -> bool {
        self.out_of_contact_at.is_none_or(|lost_at| self.reading_since > lost_at)
    }

    /// A read of the register has ended with the newest value.
    pub(crate) fn read_ended(&mut self) {
        self.read = self.reading;
    }

    /// Whether a ballot is awaited for too long. `held` is the one known to be chosen here. While changes follow one another
    /// there always is a newer one, so each is given its time.
    fn is_behind(&mut self, now: u64, held: Ballot) -> bool {
        let known = held.max(self.read);
        self.awaited = self.awaited.filter(|(ballot, _)| *ballot > known);
        if self.awaited.is_none() && self.told > known {
            self.awaited = Some((self.told, now));
        }
        self.awaited.is_some_and(|(_, since)| now >= since + BEHIND_FOR)
    }
}

impl ControlNode {
    /// Has the register read again before the node serves, once what it holds may be old.
    pub(crate) fn tick_freshness(&mut self, now: u64) {
        // Its own acceptance counts too: a value not known to be chosen may name another electorate.
        let accepted = self.replica.accepted_ballot();
        self.freshness.told(accepted);
        let held = self.committed_ballot().unwrap_or(Ballot::NONE);
        let is_behind = self.freshness.is_behind(now, held);
        let in_contact = self.has_quorum(now);
        if !in_contact {
            self.freshness.out_of_contact_at = Some(now);
        }
        if is_behind || !in_contact {
            self.caught_up = false;
        }
    }
}
