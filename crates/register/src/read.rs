//! The inspect round of a read.
//!
//! A quorum that reports the same ballot as the highest one has accepted its value, which therefore is chosen. Any value
//! chosen before the read began has been accepted by a replica of each quorum, so none is newer. Where the reports differ,
//! the read goes through a prepare and an accept round.

use crate::operation::{DueAction, InspectRound, RoundTimes, Stage};
use crate::replica::Replica;
use crate::{Accepted, Ballot, Body, RegisterError, ReplicaId};

/// How long a read waits for further reports when those of a quorum differ, in milliseconds: most often a change is just
/// being accepted.
const AGREE_MS: u64 = 40;

impl Replica {
    pub(crate) fn start_inspect(&mut self, now: u64) {
        let Some(electorate) = self.voting_electorate().cloned() else {
            return;
        };
        let round = InspectRound {
            read: self.random.next(),
            electorate,
            answers: Default::default(),
            fetched: None,
            fetching: Ballot::NONE,
            times: RoundTimes::started(now),
        };
        self.set_stage(Stage::Inspecting(round));
        self.send_inspects();
    }

    fn inspect_round(&mut self) -> Option<&mut InspectRound> {
        match self.active.as_mut()?.stage {
            Stage::Inspecting(ref mut round) => Some(round),
            _ => None,
        }
    }

    fn send_inspects(&mut self) {
        let Some(round) = self.inspect_round() else {
            return;
        };
        let read = round.read;
        let electorate = round.electorate.clone();
        let receivers = round.unanswered();
        self.send_to_all(receivers, &Body::Inspect { read, electorate });
    }

    pub(crate) fn on_inspect_reply(&mut self, now: u64, from: ReplicaId, read: u64, accepted: Ballot) {
        let Some(round) = self.inspect_round().filter(|round| round.read == read) else {
            self.repair(from, accepted);
            return;
        };
        round.answers.insert(from, accepted);
        self.evaluate_inspect(now);
    }

    pub(crate) fn on_fetch_reply(&mut self, now: u64, accepted: Accepted) {
        self.note_fetched(&accepted);
        if let Some(round) = self.inspect_round() {
            round.fetched = Some(accepted);
            self.evaluate_inspect(now);
        }
    }

    fn evaluate_inspect(&mut self, now: u64) {
        let Some(round) = self.inspect_round().filter(|round| round.has_quorum()) else {
            return;
        };
        let top = round.top();
        if top == Ballot::NONE {
            self.finish(Err(RegisterError::Empty));
            return;
        }
        match self.value_of(top) {
            Some(highest) => self.compare_with(now, highest),
            None => self.fetch_top(now, top),
        }
    }

    /// The value of this ballot, if it is held or has been fetched.
    fn value_of(&mut self, ballot: Ballot) -> Option<Accepted> {
        let own = self.acceptor.state.accepted.clone();
        let fetched = self.inspect_round().and_then(|round| round.fetched.clone());
        [own, fetched].into_iter().flatten().find(|accepted| accepted.ballot == ballot)
    }

    fn fetch_top(&mut self, now: u64, top: Ballot) {
        let Some(round) = self.inspect_round() else {
            return;
        };
        if round.fetching == top {
            self.wait_for_agreement(now);
            return;
        }
        round.fetching = top;
        if let Some(holder) = round.holders(top).first().copied() {
            self.send(holder, Body::Fetch { ballot: top });
        }
    }

    fn compare_with(&mut self, now: u64, highest: Accepted) {
        let Some(round) = self.inspect_round() else {
            return;
        };
        let electorate = highest.value.electorate.clone();
        if round.electorate != electorate {
            round.electorate = electorate.clone();
            self.learn_electorate(&electorate);
            self.send_inspects();
            self.evaluate_inspect(now);
            return;
        }
        if electorate.is_quorum(&round.holders(highest.ballot)) {
            self.finish_read(highest);
        } else if round.unanswered().is_empty() {
            self.start_prepare(now);
        } else {
            self.wait_for_agreement(now);
        }
    }

    fn wait_for_agreement(&mut self, now: u64) {
        if let Some(round) = self.inspect_round() {
            round.times.retry_at.get_or_insert(now + AGREE_MS);
        }
    }

    fn finish_read(&mut self, highest: Accepted) {
        let answers = self.inspect_round().map(|round| round.answers.clone()).unwrap_or_default();
        let completes = self.active.as_ref().is_some_and(|active| active.number.is_none());
        let ballot = highest.ballot;
        self.note_committed(highest.clone());
        for (from, accepted) in answers {
            self.repair(from, accepted);
            if completes && accepted == ballot && from != self.id {
                self.send(from, Body::Committed { ballot, value: None });
            }
        }
        self.finish(Ok(highest));
    }

    pub(crate) fn tick_inspect(&mut self, now: u64) {
        let Some(round) = self.inspect_round() else {
            return;
        };
        match round.times.due_action(now) {
            DueAction::Wait => {}
            DueAction::Resend => {
                round.fetching = Ballot::NONE;
                self.send_inspects();
                self.evaluate_inspect(now);
            }
            DueAction::Restart => self.start_prepare(now),
        }
    }
}
