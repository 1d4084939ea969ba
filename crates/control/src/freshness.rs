//! Detection of stale state: decides when the register has to be read again before the node serves.
//!
//! A node that lost contact with the quorum reads the register from a quorum after contact returns, before it serves
//! again. A node also does so if it learns of an accepted ballot whose value does not reach it: the electorate may have
//! changed while the node was in contact with a quorum of the electorate that it knows.

use crate::node::ControlNode;
use switchhill_register::Ballot;

/// Time in milliseconds, three heartbeats, within which a value accepted by some node is normally known here as chosen.
const BEHIND_TIMEOUT_MS: u64 = 600;

/// Accepted ballots, as reported by this and other nodes, and the reads that cover them.
#[derive(Debug, Default)]
pub(crate) struct Freshness {
    /// The highest accepted ballot reported so far.
    highest_reported: Ballot,
    /// A reported ballot that is not known here yet, and the time from which it has been awaited.
    awaited: Option<(Ballot, u64)>,
    /// The highest ballot reported when the current read started.
    reported_at_read_start: Ballot,
    /// The highest ballot reported before the last completed read of the register started.
    covered_by_read: Ballot,
    /// Start time of the current or last read.
    read_started_at: u64,
    /// Time of the last tick without contact with a quorum.
    last_tick_out_of_contact: Option<u64>,
}

impl Freshness {
    /// Records that a node has accepted a value under this ballot.
    pub(crate) fn ballot_reported(&mut self, accepted: Ballot) {
        self.highest_reported = self.highest_reported.max(accepted);
    }

    /// Records the start of a read of the register.
    pub(crate) fn read_started(&mut self, now: u64) {
        self.reported_at_read_start = self.highest_reported;
        self.read_started_at = now;
    }

    /// Whether the read started after contact was last lost. An earlier one returns what a majority held before the
    /// loss.
    pub(crate) fn is_read_current(&self) -> bool {
        self.last_tick_out_of_contact.is_none_or(|lost_at| self.read_started_at > lost_at)
    }

    /// Records that the current read has returned the newest value.
    pub(crate) fn read_completed(&mut self) {
        self.covered_by_read = self.reported_at_read_start;
    }

    /// Whether a ballot has been awaited for too long. `committed` is the newest ballot known here as chosen. During a
    /// series of changes some newer ballot is always awaited, so the time limit applies to each ballot separately.
    fn is_behind(&mut self, now: u64, committed: Ballot) -> bool {
        let known = committed.max(self.covered_by_read);
        self.awaited = self.awaited.filter(|(ballot, _)| *ballot > known);
        if self.awaited.is_none() && self.highest_reported > known {
            self.awaited = Some((self.highest_reported, now));
        }
        self.awaited.is_some_and(|(_, since)| now >= since + BEHIND_TIMEOUT_MS)
    }
}

impl ControlNode {
    /// Requires a new read of the register before the node serves again if its state may be stale.
    pub(crate) fn tick_freshness(&mut self, now: u64) {
        // The node's own accepted ballot counts too: a value not known to be chosen may contain another electorate.
        let accepted = self.replica.accepted_ballot();
        self.freshness.ballot_reported(accepted);
        let committed = self.committed_ballot().unwrap_or(Ballot::NONE);
        let is_behind = self.freshness.is_behind(now, committed);
        let in_contact = self.has_quorum(now);
        if !in_contact {
            self.freshness.last_tick_out_of_contact = Some(now);
        }
        if is_behind || !in_contact {
            self.caught_up = false;
        }
    }
}
