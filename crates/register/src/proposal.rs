//! The accept round, and the announcement of what it has chosen.

use std::collections::BTreeSet;

use crate::operation::{voters, AcceptRound, DueAction, Goal, Prepared, RoundTimes, Stage};
use crate::prepare::{settled_result, verdict};
use crate::replica::Replica;
use crate::{content_delta, Accepted, Ballot, Body, ReplicaId, Value, ValueDelta};

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
        self.start_accept(now, prepared, value);
    }

    /// Proposes the prepared value again, unchanged.
    pub(crate) fn propose_current(&mut self, now: u64, prepared: Prepared) {
        if let Some(value) = prepared.current.as_ref().map(|current| current.value.clone()) {
            self.start_accept(now, prepared, value);
        }
    }

    /// Proposes the second step of a change of the electorate.
    pub(crate) fn propose_settled(&mut self, now: u64, prepared: Prepared) {
        if let Some(current) = &prepared.current {
            let electorate = prepared.electorate.settled();
            let data = current.value.data.clone();
            let value = Value::successor(Some(&current.value), prepared.ballot, electorate, data);
            self.start_accept(now, prepared, value);
        }
    }

    fn start_accept(&mut self, now: u64, prepared: Prepared, value: Value) {
        self.learn_electorate(&value.electorate);
        let delta = prepared.current.as_ref().and_then(|current| delta_from(current, &value));
        let mut electorates = vec![prepared.electorate];
        if electorates[0] != value.electorate {
            electorates.push(value.electorate.clone());
        }
        let round = AcceptRound {
            proposal: Accepted { ballot: prepared.ballot, value },
            electorates,
            accepted_by: BTreeSet::new(),
            delta,
            lacking: prepared.empty,
            resends: 0,
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
        let own_id = self.id;
        let Some(round) = self.accept_round() else {
            return;
        };
        // This replica shares the value with its proposal.
        let message_for = |to| match to == own_id {
            true => Some((to, round.whole())),
            false => Some((to, round.message_for(to)?)),
        };
        let messages: Vec<(ReplicaId, Body)> =
            round.unanswered().into_iter().filter_map(message_for).collect();
        for (to, message) in messages {
            self.send(to, message);
        }
    }

    /// A replica does not hold the value that the proposal is built on.
    pub(crate) fn on_value_needed(&mut self, from: ReplicaId, ballot: Ballot) {
        let Some(round) = self.accept_round().filter(|round| round.proposal.ballot == ballot) else {
            return;
        };
        if round.lacking.insert(from) {
            let whole = round.whole();
            self.send(from, whole);
        }
    }

    /// Accepts a proposal told by a delta, or asks for all of it.
    pub(crate) fn accept_delta(&mut self, from: ReplicaId, ballot: Ballot, delta: ValueDelta) {
        match self.value_by(&delta) {
            Some(value) => self.accept_proposal(from, Accepted { ballot, value }),
            None => self.send(from, Body::ValueNeeded { ballot }),
        }
    }

    /// The value that a delta leads to, if its base is held. The same content may be held under another ballot, as after
    /// several replicas have proposed it again at once; the delta tells by its checksum whether it is the same.
    fn value_by(&self, delta: &ValueDelta) -> Option<Value> {
        let held = [self.acceptor.state.accepted.as_ref(), self.committed.as_ref()];
        let mut held: Vec<&Accepted> = held.into_iter().flatten().collect();
        held.sort_by_key(|held| held.ballot != delta.base);
        let contents = held.iter().map(|held| &held.value.data);
        let data = contents.flat_map(|data| content_delta::apply(data, &delta.difference)).next()?;
        Some(Value { electorate: delta.electorate.clone(), data, lineage: delta.lineage.clone() })
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
            DueAction::Resend => {
                round.resends += 1;
                self.send_accepts();
            }
            DueAction::Restart => self.restart_refused_round(now),
        }
    }
}

/// What leads from the value prepared to the one proposed, if that is short.
fn delta_from(current: &Accepted, value: &Value) -> Option<ValueDelta> {
    let difference = content_delta::difference(&current.value.data, &value.data)?;
    let (electorate, lineage) = (value.electorate.clone(), value.lineage.clone());
    Some(ValueDelta { base: current.ballot, electorate, lineage, difference })
}
