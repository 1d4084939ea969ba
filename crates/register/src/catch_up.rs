//! How a replica that has missed a value comes by it.

use crate::operation::Stage;
use crate::replica::{Replica, RESEND_MS};
use crate::{Accepted, Ballot, Body, ReplicaId, Value};

/// Longest content in bytes that a replica is sent because it has told of an older one. A longer one is announced, and the
/// replica asks one holder for it if it still lacks it: it may hold it, or it may be on its way already.
const LONGEST_REPAIR_BYTES: usize = 64 << 10;

/// Doublings of the wait for a value that was asked for, after which it grows no further: a large value takes longer to come
/// than a lost message to be missed.
const MAX_FETCH_DOUBLINGS: u32 = 4;

/// How often a chosen value is asked for. After that the replica waits for the next change, or for [`Input::Learn`](crate::Input::Learn).
const FETCH_ATTEMPTS: u32 = 8;

/// A value told to be chosen that this replica does not hold.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct MissingValue {
    ballot: Ballot,
    /// Who told of it last, and holds it.
    holder: ReplicaId,
    asked_at: u64,
    attempts_left: u32,
}

impl MissingValue {
    /// When it is asked for again, in milliseconds.
    fn ask_again_at(&self) -> u64 {
        let asked_again = FETCH_ATTEMPTS - self.attempts_left;
        self.asked_at + (RESEND_MS << asked_again.min(MAX_FETCH_DOUBLINGS))
    }
}

impl Replica {
    pub(crate) fn on_committed(&mut self, now: u64, from: ReplicaId, ballot: Ballot, value: Option<Value>) {
        if ballot <= self.committed_ballot() {
            return;
        }
        let held = self.acceptor.state.accepted.clone().filter(|accepted| accepted.ballot == ballot);
        let chosen = value.map(|value| Accepted { ballot, value }).or(held);
        match chosen {
            Some(chosen) => self.note_committed(chosen),
            None => self.fetch_chosen(now, from, ballot),
        }
    }

    fn fetch_chosen(&mut self, now: u64, holder: ReplicaId, ballot: Ballot) {
        if let Some(missing) = self.missing.as_mut().filter(|missing| missing.ballot >= ballot) {
            if missing.ballot == ballot {
                missing.holder = holder;
            }
            return;
        }
        self.missing = Some(MissingValue { ballot, holder, asked_at: now, attempts_left: FETCH_ATTEMPTS });
        self.send(holder, Body::Fetch { ballot });
    }

    pub(crate) fn tick_fetch(&mut self, now: u64) {
        let committed = self.committed_ballot();
        self.missing.take_if(|missing| missing.ballot <= committed || missing.attempts_left == 0);
        let Some(missing) = self.missing.as_mut().filter(|missing| now >= missing.ask_again_at()) else {
            return;
        };
        missing.asked_at = now;
        missing.attempts_left -= 1;
        let (holder, ballot) = (missing.holder, missing.ballot);
        self.send(holder, Body::Fetch { ballot });
    }

    /// Takes over a value whose ballot has been told to be chosen. One under a higher ballot may not be.
    pub(crate) fn note_fetched(&mut self, fetched: &Accepted) {
        if self.missing.as_ref().is_some_and(|missing| missing.ballot == fetched.ballot) {
            self.note_committed(fetched.clone());
        }
    }

    /// Sends the newest chosen value to a replica that has told of an older one, or announces it, unless a newer one is on
    /// its way.
    pub(crate) fn repair(&mut self, to: ReplicaId, accepted: Ballot) {
        let proposing =
            self.active.as_ref().is_some_and(|active| matches!(active.stage, Stage::Proposing(_)));
        if to != self.id && accepted < self.committed_ballot() && !proposing {
            if let Some(announcement) = self.announcement() {
                self.send(to, announcement);
            }
        }
    }

    /// What tells another replica of the newest chosen value: the value itself, or its ballot alone if it is long.
    pub fn announcement(&self) -> Option<Body> {
        let committed = self.committed.as_ref()?;
        let is_short = committed.value.data.len() <= LONGEST_REPAIR_BYTES;
        let value = is_short.then(|| committed.value.clone());
        Some(Body::Committed { ballot: committed.ballot, value })
    }
}
