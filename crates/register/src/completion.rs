//! Completion of what a proposer has left unfinished.

use crate::operation::Goal;
use crate::replica::Replica;
use crate::Ballot;

/// How old an accepted value not known to be chosen must be before the first voter completes it, in milliseconds: longer
/// than its proposer usually takes to say so.
const COMPLETE_AFTER_MS: u64 = 120;

/// How much longer each further voter waits before it completes a value, in milliseconds: one read round.
const COMPLETE_RANK_MS: u64 = 80;

/// How old a chosen change of the electorate must be before the first voter takes its second step, in milliseconds: longer
/// than the rounds of its proposer take. Until then a change needs majorities of the old and of the new voters.
const SETTLE_AFTER_MS: u64 = 500;

/// A ballot, and since when it is the newest one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Since {
    ballot: Ballot,
    /// In milliseconds.
    since: u64,
}

impl Since {
    fn note(&mut self, now: u64, ballot: Ballot) {
        if self.ballot != ballot {
            *self = Since { ballot, since: now };
        }
    }
}

impl Replica {
    pub(crate) fn note_times(&mut self, now: u64) {
        self.accepted_since.note(now, self.accepted_ballot());
        self.committed_since.note(now, self.committed_ballot());
    }

    /// Completes a value accepted here that is not heard to be chosen, or a change of the electorate that stays halfway:
    /// their proposer may be gone.
    pub(crate) fn complete_if_due(&mut self, now: u64) {
        let Some(rank) = self.rank() else {
            return;
        };
        let delay = rank as u64 * COMPLETE_RANK_MS;
        if now >= self.accepted_since.since + self.backoff.scaled(COMPLETE_AFTER_MS + delay) {
            self.accepted_since.since = now;
            self.complete(Goal::Read);
        }
        if now >= self.committed_since.since + SETTLE_AFTER_MS + delay {
            self.committed_since.since = now;
            self.settle_electorate();
        }
    }

    fn settle_electorate(&mut self) {
        if let Some(chosen) = self.committed.clone() {
            self.complete(Goal::Settle { chosen });
        }
    }

    fn complete(&mut self, goal: Goal) {
        let kind = std::mem::discriminant(&goal);
        let mut operations = self.active.iter().chain(&self.queue);
        let under_way = operations.any(|operation| std::mem::discriminant(&operation.goal) == kind);
        if !under_way && self.needs_completion(&goal) {
            self.enqueue(None, goal);
        }
    }

    /// Whether there still is something to complete.
    pub(crate) fn needs_completion(&self, goal: &Goal) -> bool {
        match goal {
            Goal::Settle { .. } => {
                let committed = self.committed.as_ref();
                committed.is_some_and(|committed| committed.value.electorate.is_joint())
            }
            _ => self.accepted_ballot() > self.committed_ballot(),
        }
    }

    /// This replica's position among the voters.
    fn rank(&self) -> Option<usize> {
        let voters = self.electorate()?.all_members();
        voters.iter().position(|member| member.id == self.id)
    }
}
