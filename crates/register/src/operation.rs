//! Operations and the rounds they go through.

use std::collections::{BTreeMap, BTreeSet};

use bytes::Bytes;

use crate::replica::RESEND_MS;
use crate::{Accepted, Ballot, Body, Electorate, Member, ReplicaId, ValueDelta};

/// One operation of the caller, or the replica's own completion of a value not known to be chosen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Operation {
    /// The caller's number; `None` for a completion.
    pub(crate) number: Option<u64>,
    pub(crate) goal: Goal,
    pub(crate) stage: Stage,
    /// When to give up, in milliseconds.
    pub(crate) deadline: u64,
}

/// What an operation is after.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Goal {
    /// The newest chosen value.
    Read,
    /// A prepared ballot to write with.
    Prepare,
    /// The caller's value.
    Write(Write),
    /// The value is chosen; what remains is the second step of its change of the electorate.
    Settle {
        /// The value chosen.
        chosen: Accepted,
    },
}

/// A value to be written.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Write {
    pub(crate) data: Bytes,
    pub(crate) members: Option<Vec<Member>>,
    /// Origin of the value it replaces.
    pub(crate) predecessor: Ballot,
    /// Its own origin: the ballot of its first proposal.
    pub(crate) origin: Ballot,
}

/// Where an operation stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Stage {
    /// Not started.
    Queued,
    /// Waiting for answers to an inspection.
    Inspecting(InspectRound),
    /// Waiting before a new prepare round.
    Waiting {
        /// When it starts, in milliseconds.
        until: u64,
    },
    /// Waiting for promises.
    Preparing(PrepareRound),
    /// Prepared, waiting for the caller.
    Prepared(Prepared),
    /// Waiting for acceptances.
    Proposing(AcceptRound),
}

/// A ballot promised by a quorum.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Prepared {
    pub(crate) ballot: Ballot,
    /// The electorate of the current value.
    pub(crate) electorate: Electorate,
    pub(crate) current: Option<Accepted>,
    /// Whether the promises show that the current value is chosen.
    pub(crate) chosen: bool,
    /// Who has promised without holding any value.
    pub(crate) empty: BTreeSet<ReplicaId>,
}

/// When a round sends its messages again and when it is given up after a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct RoundTimes {
    pub(crate) sent_at: u64,
    /// Set once a replica has refused.
    pub(crate) retry_at: Option<u64>,
}

/// What is due in a round.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DueAction {
    /// Nothing yet.
    Wait,
    /// Its messages are sent again.
    Resend,
    /// It was refused and starts anew.
    Restart,
}

impl RoundTimes {
    pub(crate) fn started(now: u64) -> RoundTimes {
        RoundTimes { sent_at: now, retry_at: None }
    }

    /// What is due now. Messages that are due count as sent.
    pub(crate) fn due_action(&mut self, now: u64) -> DueAction {
        if self.retry_at.is_some_and(|retry_at| now >= retry_at) {
            return DueAction::Restart;
        }
        if now < self.sent_at + RESEND_MS {
            return DueAction::Wait;
        }
        self.sent_at = now;
        DueAction::Resend
    }
}

/// A prepare round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PrepareRound {
    pub(crate) ballot: Ballot,
    /// The electorate of the highest value, a quorum of which must promise.
    pub(crate) electorate: Electorate,
    /// Who has promised, and the ballot it had accepted.
    pub(crate) promises: BTreeMap<ReplicaId, Ballot>,
    /// The highest value held or reported.
    pub(crate) highest: Option<Accepted>,
    pub(crate) times: RoundTimes,
}

/// An accept round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct AcceptRound {
    pub(crate) proposal: Accepted,
    /// Electorates each of which must accept by a quorum.
    pub(crate) electorates: Vec<Electorate>,
    pub(crate) accepted_by: BTreeSet<ReplicaId>,
    /// The proposal by what leads to it from the value prepared, if that is short.
    pub(crate) delta: Option<ValueDelta>,
    /// Who does not hold the content of the value prepared.
    pub(crate) lacking: BTreeSet<ReplicaId>,
    /// How often the proposal has been sent again.
    pub(crate) resends: u32,
    pub(crate) times: RoundTimes,
}

/// An inspect round.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct InspectRound {
    pub(crate) read: u64,
    /// The electorate a quorum of which must answer: the one started with, then that of the highest value reported.
    pub(crate) electorate: Electorate,
    /// Who has answered, and the ballot it had accepted.
    pub(crate) answers: BTreeMap<ReplicaId, Ballot>,
    /// The last value fetched.
    pub(crate) fetched: Option<Accepted>,
    /// The ballot a fetch has been sent for.
    pub(crate) fetching: Ballot,
    pub(crate) times: RoundTimes,
}

/// The voters of all electorates, each once.
pub(crate) fn voters(electorates: &[Electorate]) -> BTreeSet<ReplicaId> {
    let members = electorates.iter().flat_map(Electorate::all_members);
    members.map(|member| member.id).collect()
}

impl PrepareRound {
    fn promised_by(&self) -> BTreeSet<ReplicaId> {
        self.promises.keys().copied().collect()
    }

    pub(crate) fn is_complete(&self) -> bool {
        self.electorate.is_quorum(&self.promised_by())
    }

    pub(crate) fn unanswered(&self) -> Vec<ReplicaId> {
        let answered = self.promised_by();
        voters(std::slice::from_ref(&self.electorate)).difference(&answered).copied().collect()
    }

    /// Whether a quorum had accepted the highest value under its ballot.
    fn highest_is_chosen(&self) -> bool {
        self.highest.as_ref().is_some_and(|highest| {
            let holders = holders(&self.promises, highest.ballot);
            self.electorate.is_quorum(&holders)
        })
    }

    /// The prepared state; `committed` is the highest ballot known to be chosen.
    pub(crate) fn into_prepared(self, committed: Ballot) -> Prepared {
        let known = self.highest.as_ref().is_some_and(|highest| highest.ballot == committed);
        let chosen = known || self.highest_is_chosen();
        let empty = holders(&self.promises, Ballot::NONE);
        Prepared { ballot: self.ballot, electorate: self.electorate, current: self.highest, chosen, empty }
    }
}

impl AcceptRound {
    pub(crate) fn is_complete(&self) -> bool {
        self.electorates.iter().all(|electorate| electorate.is_quorum(&self.accepted_by))
    }

    pub(crate) fn unanswered(&self) -> Vec<ReplicaId> {
        voters(&self.electorates).difference(&self.accepted_by).copied().collect()
    }

    /// The proposal, whole.
    pub(crate) fn whole(&self) -> Body {
        let Accepted { ballot, value } = self.proposal.clone();
        Body::Accept { ballot, value }
    }

    /// The message that proposes to a replica now, if one is due.
    ///
    /// A whole value that has a delta is large: it is sent to those who lack the base, and then after longer and longer
    /// times, also to those who have not answered to its delta, which an earlier edition does not know.
    pub(crate) fn message_for(&self, to: ReplicaId) -> Option<Body> {
        let Some(delta) = &self.delta else { return Some(self.whole()) };
        let is_whole_due = self.resends > 1 && self.resends.is_power_of_two();
        let is_lacking = self.lacking.contains(&to);
        if is_whole_due || is_lacking && self.resends == 0 {
            return Some(self.whole());
        }
        let delta = Body::AcceptDelta { ballot: self.proposal.ballot, delta: delta.clone() };
        (!is_lacking).then_some(delta)
    }
}

impl InspectRound {
    fn answered_by(&self) -> BTreeSet<ReplicaId> {
        self.answers.keys().copied().collect()
    }

    pub(crate) fn has_quorum(&self) -> bool {
        self.electorate.is_quorum(&self.answered_by())
    }

    pub(crate) fn unanswered(&self) -> Vec<ReplicaId> {
        let answered = self.answered_by();
        voters(std::slice::from_ref(&self.electorate)).difference(&answered).copied().collect()
    }

    /// The highest ballot reported.
    pub(crate) fn top(&self) -> Ballot {
        self.answers.values().copied().max().unwrap_or(Ballot::NONE)
    }

    /// Who has accepted the value of this ballot.
    pub(crate) fn holders(&self, ballot: Ballot) -> BTreeSet<ReplicaId> {
        holders(&self.answers, ballot)
    }
}

fn holders(reported: &BTreeMap<ReplicaId, Ballot>, ballot: Ballot) -> BTreeSet<ReplicaId> {
    let holders = reported.iter().filter(|(_, accepted)| **accepted == ballot);
    holders.map(|(id, _)| *id).collect()
}
