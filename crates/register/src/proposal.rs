//! The accept round, and the announcement of what it has chosen.

use std::collections::BTreeSet;

use crate::operation::{voters, AcceptRound, DueAction, Goal, Prepared, RoundTimes, Stage};
use crate::prepare::{settled_result, verdict};
use crate::replica::Replica;
use crate::{Accepted, Ballot, Body, Electorate, ReplicaId, Value};

impl Replica {
    /// Proposes the operation's own value on top of the prepared one.
    pub(crate) fn propose_own(&mut self, now: u64, prepared: Prepared) {
        let Some(Goal::Write(write)) = self.active.as_mut().map(|active| &mut active.goal) else {
            return;
        };
        if write.origin == Ballot::NONE {
            write.origin = prepared.ballot;
        }
        let electorate = match &write.members {
            Some(members) => prepared.electorate.joint(members.clone()),
            None => prepared.electorate.clone(),
        };
        let previous = prepared.current.as_ref().map(|current| &current.value);
        let value = Value::successor(previous, write.origin, electorate, write.data.clone());
        self.start_accept(now, prepared.ballot, value, prepared.electorate);
    }

    /// Proposes the prepared value again, unchanged.
    pub(crate) fn propose_current(&mut self, now: u64, prepared: Prepared) {
        if let Some(current) = prepared.current {
            self.start_accept(now, prepared.ballot, current.value, prepared.electorate);
        }
    }

    /// Proposes the second step of a change of the electorate.
    pub(crate) fn propose_settled(&mut self, now: u64, prepared: Prepared) {
        if let Some(current) = &prepared.current {
            let electorate = prepared.electorate.settled();
            let data = current.value.data.clone();
            let value = Value::successor(Some(&current.value), prepared.ballot, electorate, data);
            self.start_accept(now, prepared.ballot, value, prepared.electorate);
        }
    }

    fn start_accept(&mut self, now: u64, ballot: Ballot, value: Value, replaced: Electorate) {
        self.learn_electorate(&value.electorate);
        let mut electorates = vec![replaced];
        if electorates[0] != value.electorate {
            electorates.push(value.electorate.clone());
        }
        let round = AcceptRound {
            proposal: Accepted { ballot, value },
            electorates,
            accepted_by: BTreeSet::new(),
            times: RoundTimes::started(now),
        };
        self.set_stage(Stage::Proposing(round));
        self.send_accepts();
    }

    fn accept_round(&mut self) -> Option<&mut AcceptRound> {
        match self.active.as_mut()?.stage {
            Stage::Proposing(ref mut round) => Some(round),
            _ => None,
        }
    }

    fn send_accepts(&mut self) {
        let Some(round) = self.accept_round() else {
            return;
        };
        let Accepted { ballot, value } = round.proposal.clone();
        let receivers = round.unanswered();
        self.send_to_all(receivers, &Body::Accept { ballot, value });
    }

    pub(crate) fn on_accept_reply(&mut self, now: u64, from: ReplicaId, ballot: Ballot) {
        let Some(round) = self.accept_round().filter(|round| round.proposal.ballot == ballot) else {
            self.answer_late_acceptance(from, ballot);
            return;
        };
        round.accepted_by.insert(from);
        if round.is_complete() {
            let round = round.clone();
            self.on_chosen(now, round);
        }
    }

    /// Tells a replica that accepted after the quorum that the value is chosen.
    fn answer_late_acceptance(&mut self, from: ReplicaId, ballot: Ballot) {
        if ballot != Ballot::NONE && ballot == self.committed_ballot() && from != self.id {
            self.send(from, Body::Committed { ballot, value: None });
        }
    }

    fn on_chosen(&mut self, now: u64, round: AcceptRound) {
        self.announce(&round);
        let chosen = round.proposal;
        self.note_committed(chosen.clone());
        let Some(active) = &mut self.active else {
            return;
        };
        match &active.goal {
            Goal::Read => self.finish(Ok(chosen)),
            Goal::Prepare => self.start_prepare(now),
            Goal::Settle { .. } if chosen.value.electorate.is_joint() => self.start_prepare(now),
            Goal::Settle { chosen: joint } => {
                let result = settled_result(joint, &chosen);
                self.finish(Ok(result));
            }
            Goal::Write(write) => match verdict(write, &chosen) {
                Ok(chosen) if chosen.value.electorate.is_joint() => {
                    active.goal = Goal::Settle { chosen };
                    self.start_prepare(now);
                }
                result => self.finish(result),
            },
        }
    }

    /// Tells all voters. The value has been sent to each of them; one that has not got it fetches it.
    fn announce(&mut self, round: &AcceptRound) {
        let ballot = round.proposal.ballot;
        for to in voters(&round.electorates) {
            if to != self.id {
                self.send(to, Body::Committed { ballot, value: None });
            }
        }
    }

    pub(crate) fn tick_accept(&mut self, now: u64) {
        let Some(round) = self.accept_round() else {
            return;
        };
        match round.times.due_action(now) {
            DueAction::Wait => {}
            DueAction::Resend => self.send_accepts(),
            DueAction::Restart => self.restart_refused_round(now),
        }
    }
}
