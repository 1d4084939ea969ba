//! Where a proposer's ballots come from.

use crate::{Ballot, ReplicaId};

/// Counters reserved at once. Far more than a process uses, so that a disk that stalls later holds up no proposal.
pub(crate) const RESERVATION: u64 = 1 << 32;

/// Gives each ballot once, also across restarts: counters are reserved on the disk before they are used, and a restarted
/// replica starts above its last reservation.
///
/// Relying on the own promise instead would not do. A proposal goes on while the own disk stalls, so after a loss of power
/// the own promise may be missing although others have voted under that ballot.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Ballots {
    id: ReplicaId,
    /// Last counter this replica may have used.
    used: u64,
    /// Highest counter seen anywhere.
    seen: u64,
}

impl Ballots {
    pub(crate) fn new(id: ReplicaId, recovered_reservation: u64) -> Ballots {
        Ballots { id, used: recovered_reservation, seen: 0 }
    }

    pub(crate) fn see(&mut self, ballot: Ballot) {
        self.seen = self.seen.max(ballot.counter);
    }

    fn next_counter(&self) -> u64 {
        self.used.max(self.seen) + 1
    }

    /// The reservation that should be made now, given the highest one asked for so far.
    pub(crate) fn reservation_due(&self, asked_for: u64) -> Option<u64> {
        let next = self.next_counter();
        (asked_for < next + RESERVATION / 2).then_some(next + RESERVATION)
    }

    /// Whether a reservation covers the next ballot.
    pub(crate) fn are_reserved(&self, durable_reservation: u64) -> bool {
        self.next_counter() <= durable_reservation
    }

    /// A ballot above all seen, or `None` while no reservation covers it.
    pub(crate) fn take(&mut self, durable_reservation: u64) -> Option<Ballot> {
        if !self.are_reserved(durable_reservation) {
            return None;
        }
        let counter = self.next_counter();
        self.used = counter;
        Some(Ballot { counter, proposer: self.id })
    }
}
