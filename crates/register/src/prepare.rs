//! The prepare round, and what follows from it.

use crate::operation::{DueAction, Goal, Operation, PrepareRound, Prepared, RoundTimes, Stage, Write};
use crate::replica::Replica;
use crate::{Accepted, Ballot, Body, Output, RegisterError, ReplicaId, Value};

/// What a prepared proposer does next.
enum Step {
    /// Ends the operation.
    Finish(Result<Accepted, RegisterError>),
    /// Hands the prepared state to the caller.
    HandOver,
    /// Proposes the current value again, unchanged.
    ProposeCurrent,
    /// Proposes the second step of a change of the electorate.
    ProposeSettled,
    /// Proposes the operation's own value.
    ProposeOwn,
}

impl Replica {
    /// Starts a prepare round, or waits while no ballot is reserved.
    pub(crate) fn start_prepare(&mut self, now: u64) {
        let Some(electorate) = self.voting_electorate().cloned() else {
            return;
        };
        let ballot = self.ballots.take(self.acceptor.durable_reservation());
        let Some(ballot) = ballot else {
            self.set_stage(Stage::Waiting { until: now });
            return;
        };
        let round = PrepareRound {
            ballot,
            electorate,
            promises: Default::default(),
            highest: self.acceptor.state.accepted.clone(),
            times: RoundTimes::started(now),
        };
        self.set_stage(Stage::Preparing(round));
        self.send_prepares();
    }

    pub(crate) fn set_stage(&mut self, stage: Stage) {
        if let Some(active) = &mut self.active {
            active.stage = stage;
        }
    }

    fn prepare_round(&mut self) -> Option<&mut PrepareRound> {
        match self.active.as_mut()?.stage {
            Stage::Preparing(ref mut round) => Some(round),
            _ => None,
        }
    }

    fn send_prepares(&mut self) {
        let Some(round) = self.prepare_round() else {
            return;
        };
        let held = round.highest.as_ref().map_or(Ballot::NONE, |highest| highest.ballot);
        let ballot = round.ballot;
        let electorate = round.electorate.clone();
        let receivers = round.unanswered();
        self.send_to_all(receivers, &Body::Prepare { ballot, held, electorate });
    }

    /// Takes a reported value as the highest one, if it is, and goes on to its electorate.
    fn take_highest(&mut self, now: u64, reported: Accepted) {
        let Some(round) = self.prepare_round() else {
            return;
        };
        let held = round.highest.as_ref().map_or(Ballot::NONE, |highest| highest.ballot);
        if reported.ballot <= held {
            return;
        }
        let electorate = reported.value.electorate.clone();
        round.highest = Some(reported);
        if round.electorate != electorate {
            round.electorate = electorate.clone();
            round.times.sent_at = now;
            self.learn_electorate(&electorate);
            self.send_prepares();
        }
    }

    pub(crate) fn on_promise(
        &mut self,
        now: u64,
        from: ReplicaId,
        ballot: Ballot,
        accepted: Ballot,
        value: Option<Value>,
    ) {
        let committed = self.committed_ballot();
        let Some(round) = self.prepare_round().filter(|round| round.ballot == ballot) else {
            self.repair(from, accepted);
            return;
        };
        round.promises.insert(from, accepted);
        if let Some(value) = value {
            self.take_highest(now, Accepted { ballot: accepted, value });
        }
        if let Some(round) = self.prepare_round().filter(|round| round.is_complete()) {
            let prepared = round.clone().into_prepared(committed);
            self.on_prepared(now, prepared);
        }
    }

    pub(crate) fn tick_prepare(&mut self, now: u64) {
        let Some(round) = self.prepare_round() else {
            return;
        };
        match round.times.due_action(now) {
            DueAction::Wait => {}
            DueAction::Resend => self.send_prepares(),
            DueAction::Restart => self.restart_refused_round(now),
        }
    }

    /// Gives up a refused round and starts a new one.
    pub(crate) fn restart_refused_round(&mut self, now: u64) {
        self.backoff.round_refused(now);
        self.start_prepare(now);
    }

    /// A refused round goes on for a moment, in case a quorum answers all the same, and then starts anew above.
    pub(crate) fn on_reject(&mut self, now: u64, ballot: Ballot) {
        let retry_at = now + self.backoff.wait_ms(&mut self.random);
        let Some(active) = &mut self.active else {
            return;
        };
        let (refused, times) = match &mut active.stage {
            Stage::Preparing(round) => (round.ballot, &mut round.times),
            Stage::Proposing(round) => (round.proposal.ballot, &mut round.times),
            _ => return,
        };
        if refused == ballot {
            times.retry_at.get_or_insert(retry_at);
        }
    }

    fn on_prepared(&mut self, now: u64, prepared: Prepared) {
        if let Some(current) = prepared.current.clone().filter(|_| prepared.chosen) {
            self.note_committed(current);
        }
        let Some(active) = &self.active else {
            return;
        };
        match next_step(active, &prepared) {
            Step::Finish(result) => self.finish(result),
            Step::HandOver => self.hand_over(prepared),
            Step::ProposeCurrent => self.propose_current(now, prepared),
            Step::ProposeSettled => self.propose_settled(now, prepared),
            Step::ProposeOwn => self.propose_own(now, prepared),
        }
    }

    fn hand_over(&mut self, prepared: Prepared) {
        let current = prepared.current.clone();
        let number = self.active.as_ref().and_then(|active| active.number);
        self.set_stage(Stage::Prepared(prepared));
        if let Some(operation) = number {
            self.outputs.push(Output::Prepared { operation, current });
        }
    }
}

fn next_step(operation: &Operation, prepared: &Prepared) -> Step {
    match &operation.goal {
        Goal::Read => next_step_of_read(prepared),
        Goal::Prepare => next_step_of_settling(prepared).unwrap_or(Step::HandOver),
        Goal::Settle { chosen } => {
            let newest = prepared.current.as_ref().filter(|_| prepared.chosen);
            let settled = || Step::Finish(Ok(settled_result(chosen, newest.unwrap_or(chosen))));
            next_step_of_settling(prepared).unwrap_or_else(settled)
        }
        Goal::Write(write) => next_step_of_write(write, prepared),
    }
}

fn next_step_of_read(prepared: &Prepared) -> Step {
    match &prepared.current {
        None => Step::Finish(Err(RegisterError::Empty)),
        Some(current) if prepared.chosen => Step::Finish(Ok(current.clone())),
        Some(_) => Step::ProposeCurrent,
    }
}

/// A change of the electorate that is under way is finished first: the joint value is chosen, then the final one proposed.
fn next_step_of_settling(prepared: &Prepared) -> Option<Step> {
    let joint = prepared.current.as_ref().is_some_and(|current| current.value.electorate.is_joint());
    match (joint, prepared.chosen) {
        (false, _) => None,
        (true, false) => Some(Step::ProposeCurrent),
        (true, true) => Some(Step::ProposeSettled),
    }
}

/// The newest value chosen if it still has the content of the joint one, else the joint one.
pub(crate) fn settled_result(joint: &Accepted, newest: &Accepted) -> Accepted {
    let same = newest.value.data == joint.value.data;
    if same { newest } else { joint }.clone()
}

/// Finds out what has become of a write whose accept round was interrupted.
///
/// A quorum has promised the new ballot, so no lower one can be chosen any more. What can still be chosen, and what has
/// been, is the highest value reported.
/// - It is the value ours replaces: ours has not been chosen, and can be proposed again as it stands.
/// - It is chosen under a ballot not below that of our first proposal: that decides; see [`verdict`].
/// - Otherwise it is proposed again, so that it is chosen under a ballot above ours. That includes values older than the
///   one ours replaces, which then had not been chosen: others may still hold ours and choose it, unless something else is
///   chosen above it.
fn next_step_of_write(write: &Write, prepared: &Prepared) -> Step {
    let origin = prepared.current.as_ref().map_or(Ballot::NONE, |current| current.value.origin());
    if origin == write.predecessor {
        return Step::ProposeOwn;
    }
    match &prepared.current {
        Some(current) if prepared.chosen && current.ballot >= write.origin => {
            Step::Finish(verdict(write, current))
        }
        _ => Step::ProposeCurrent,
    }
}

/// The outcome of a write, given a value chosen under a ballot that is not below the one of the first proposal.
///
/// If that value descends from ours, ours is part of the history. If not, ours never will be: whoever prepares a higher
/// ballot meets the chosen value or a later one, and nobody has met ours above the chosen value's ballot before.
pub(crate) fn verdict(write: &Write, chosen: &Accepted) -> Result<Accepted, RegisterError> {
    if chosen.value.descends_from(write.origin) {
        Ok(chosen.clone())
    } else if chosen.value.knows_history_since(write.origin) {
        Err(RegisterError::ConflictLost)
    } else {
        Err(RegisterError::Conflict)
    }
}
