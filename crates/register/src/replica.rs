//! The replica: inputs, time, and what is not part of a round.

use std::collections::{BTreeMap, VecDeque};

use crate::acceptor::Acceptor;
use crate::backoff::Backoff;
use crate::ballots::Ballots;
use crate::catch_up::MissingValue;
use crate::completion::Since;
use crate::durability::State;
use crate::operation::{Goal, Operation, Stage};
use crate::random::Random;
use crate::{Accepted, Ballot, Body, Electorate, Input, Member, Message, Output, Record, ReplicaId};

/// How long unanswered messages of a round wait to be sent again, in milliseconds: a lost one costs a fraction of a
/// second, a slow link no flood.
pub(crate) const RESEND_MS: u64 = 250;

/// One replica of the register: acceptor and proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    pub(crate) id: ReplicaId,
    pub(crate) acceptor: Acceptor,
    pub(crate) committed: Option<Accepted>,
    pub(crate) ballots: Ballots,
    pub(crate) random: Random,
    pub(crate) backoff: Backoff,
    pub(crate) active: Option<Operation>,
    pub(crate) queue: VecDeque<Operation>,
    /// The value accepted here, and since when.
    pub(crate) accepted_since: Since,
    /// The newest value known to be chosen, and since when.
    pub(crate) committed_since: Since,
    /// Until when records refused by the disk are not written again, in milliseconds.
    persist_again_at: u64,
    addresses: BTreeMap<ReplicaId, String>,
    /// A value told to be chosen that is not held yet.
    pub(crate) missing: Option<MissingValue>,
    /// Messages to this replica itself.
    local: VecDeque<Body>,
    pub(crate) outputs: Vec<Output>,
}

impl Replica {
    /// A replica of the first electorate (epoch 1, `seeds`) on an empty disk.
    ///
    /// `seed` feeds the random source; it must differ from process to process.
    pub fn genesis(id: ReplicaId, seeds: Vec<Member>, seed: u64) -> Replica {
        let first_electorate = Some(Electorate { epoch: 1, members: seeds, joint_with: Vec::new() });
        let state = State { first_electorate, ..State::default() };
        Replica::with_acceptor(id, Acceptor::new(state), seed)
    }

    /// A replica on an empty disk that has yet to learn who votes.
    ///
    /// It does not vote until it is asked to in an electorate that contains it.
    pub fn joining(id: ReplicaId, seed: u64) -> Replica {
        Replica::with_acceptor(id, Acceptor::new(State::default()), seed)
    }

    /// A replica restarted with the records of its disk. Without records it is a joining one.
    pub fn recover(id: ReplicaId, records: impl Iterator<Item = Record>, seed: u64) -> Replica {
        let mut state = State::default();
        records.for_each(|record| state.apply(record));
        state.detach();
        Replica::with_acceptor(id, Acceptor::recovered(state), seed)
    }

    fn with_acceptor(id: ReplicaId, acceptor: Acceptor, seed: u64) -> Replica {
        let mut ballots = Ballots::new(id, acceptor.state.reserved);
        ballots.see(acceptor.state.promised);
        let mut replica = Replica {
            id,
            acceptor,
            committed: None,
            ballots,
            random: Random::new(seed),
            backoff: Backoff::default(),
            active: None,
            queue: VecDeque::new(),
            accepted_since: Since::default(),
            committed_since: Since::default(),
            persist_again_at: 0,
            addresses: BTreeMap::new(),
            missing: None,
            local: VecDeque::new(),
            outputs: Vec::new(),
        };
        replica.learn_addresses();
        replica
    }

    /// This replica's identity.
    pub fn id(&self) -> ReplicaId {
        self.id
    }

    /// The records that stand for the whole state, for a rewrite of the log. They cover all records asked for so far.
    pub fn records(&self) -> Vec<Record> {
        self.acceptor.state.records()
    }

    /// The newest electorate known, preferring a chosen one.
    pub fn electorate(&self) -> Option<&Electorate> {
        let accepted = self.committed.as_ref().or(self.acceptor.state.accepted.as_ref());
        let in_value = accepted.map(|accepted| &accepted.value.electorate);
        in_value.or(self.acceptor.state.first_electorate.as_ref())
    }

    /// The electorate rounds start with: that of the value accepted here, chosen or not.
    pub(crate) fn voting_electorate(&self) -> Option<&Electorate> {
        let accepted = self.acceptor.state.accepted.as_ref();
        let in_value = accepted.map(|accepted| &accepted.value.electorate);
        in_value.or(self.acceptor.state.first_electorate.as_ref())
    }

    /// Ballot of the value accepted here; [`Ballot::NONE`] if there is none.
    pub fn accepted_ballot(&self) -> Ballot {
        self.acceptor.state.accepted_ballot()
    }

    /// The newest value known to be chosen.
    pub fn committed(&self) -> Option<&Accepted> {
        self.committed.as_ref()
    }

    /// Whether this replica votes in the newest electorate it knows.
    pub fn is_member(&self) -> bool {
        self.electorate().is_some_and(|electorate| electorate.contains(self.id))
    }

    /// Whether this replica has a ballot to propose with. A replica that has just started has none until its disk has
    /// reserved some, nor has one that has seen ballots above all that its disk had reserved.
    pub fn can_propose(&self) -> bool {
        self.ballots.are_reserved(self.acceptor.durable_reservation())
    }

    /// Nothing below this ballot is accepted here any more.
    pub fn promised(&self) -> Ballot {
        self.acceptor.state.promised
    }

    /// Takes an input at `now`, in milliseconds of a monotonic clock, and returns what is to be done.
    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        self.take(now, input);
        self.settle(now);
        std::mem::take(&mut self.outputs)
    }

    fn take(&mut self, now: u64, input: Input) {
        match input {
            Input::Message { from, message } if message.to == self.id => {
                self.receive(now, from, message.body)
            }
            Input::Message { .. } => {}
            Input::Persisted { token } => self.persisted(now, token),
            Input::PersistFailed { token } => self.persist_failed(now, token),
            Input::Begin { operation } => self.enqueue(Some(operation), Goal::Prepare),
            Input::Read { operation } => self.enqueue(Some(operation), Goal::Read),
            Input::Write { operation, data, members } => self.write(now, operation, data, members),
            Input::Abandon { operation } => self.abandon(operation),
            Input::Learn { accepted } => self.note_committed(accepted),
            Input::Tick => self.tick(now),
        }
    }

    /// Goes on until nothing more follows from what has come in.
    fn settle(&mut self, now: u64) {
        self.note_times(now);
        self.reserve_ballots();
        loop {
            for (to, body) in self.acceptor.release() {
                self.send(to, body);
            }
            if let Some(body) = self.local.pop_front() {
                self.receive(now, self.id, body);
                continue;
            }
            if !self.start_next(now) {
                break;
            }
        }
        self.note_times(now);
    }

    fn receive(&mut self, now: u64, from: ReplicaId, body: Body) {
        self.see_ballots(&body);
        match body {
            Body::Prepare { ballot, held, electorate } => {
                if self.may_vote(&electorate) {
                    self.acceptor.prepare(from, ballot, held, &mut self.outputs);
                }
            }
            Body::Accept { ballot, value } => {
                if self.may_vote(&value.electorate) {
                    self.accept_proposal(from, Accepted { ballot, value });
                }
            }
            Body::AcceptDelta { ballot, delta } => {
                if self.may_vote(&delta.electorate) {
                    self.accept_delta(from, ballot, delta);
                }
            }
            Body::ValueNeeded { ballot } => self.on_value_needed(from, ballot),
            Body::Inspect { read, electorate } => {
                if self.may_vote(&electorate) {
                    self.acceptor.inspect(from, read, &mut self.outputs);
                }
            }
            Body::Fetch { ballot } => self.acceptor.fetch(from, ballot, &mut self.outputs),
            Body::Promise { ballot, accepted, value } => self.on_promise(now, from, ballot, accepted, value),
            Body::AcceptReply { ballot } => self.on_accept_reply(now, from, ballot),
            Body::Reject { ballot, .. } => self.on_reject(now, ballot),
            Body::Committed { ballot, value } => self.on_committed(now, from, ballot, value),
            Body::InspectReply { read, accepted } => self.on_inspect_reply(now, from, read, accepted),
            Body::FetchReply { accepted } => self.on_fetch_reply(now, accepted),
        }
    }

    pub(crate) fn accept_proposal(&mut self, from: ReplicaId, proposal: Accepted) {
        self.acceptor.accept(from, proposal, &mut self.outputs);
        self.learn_addresses();
    }

    /// A replica without any state votes only in an electorate that names it: its id is new, so what it does not remember
    /// it has never promised.
    fn may_vote(&self, electorate: &Electorate) -> bool {
        self.electorate().is_some() || electorate.contains(self.id)
    }

    fn see_ballots(&mut self, body: &Body) {
        match body {
            Body::Prepare { ballot, .. }
            | Body::Accept { ballot, .. }
            | Body::AcceptDelta { ballot, .. }
            | Body::Committed { ballot, .. } => {
                self.ballots.see(*ballot);
            }
            Body::Promise { accepted, .. } | Body::InspectReply { accepted, .. } => {
                self.ballots.see(*accepted)
            }
            Body::Reject { promised, .. } => self.ballots.see(*promised),
            _ => {}
        }
    }

    pub(crate) fn send(&mut self, to: ReplicaId, body: Body) {
        if to == self.id {
            self.local.push_back(body);
            return;
        }
        let address = self.addresses.get(&to).cloned().unwrap_or_default();
        self.outputs.push(Output::Send { to, address, message: Message { to, body } });
    }

    pub(crate) fn send_to_all(&mut self, receivers: Vec<ReplicaId>, body: &Body) {
        for to in receivers {
            self.send(to, body.clone());
        }
    }

    fn learn_addresses(&mut self) {
        let accepted = self.acceptor.state.accepted.as_ref();
        let in_value = accepted.map(|accepted| &accepted.value.electorate);
        let first = self.acceptor.state.first_electorate.as_ref();
        for electorate in [first, in_value].into_iter().flatten() {
            learn_addresses_of(&mut self.addresses, electorate);
        }
    }

    pub(crate) fn learn_electorate(&mut self, electorate: &Electorate) {
        learn_addresses_of(&mut self.addresses, electorate);
    }

    /// Asks for more ballot counters well before they are needed, so that a stalled disk holds up no proposal.
    fn reserve_ballots(&mut self) {
        if let Some(counter) = self.ballots.reservation_due(self.acceptor.state.reserved) {
            self.acceptor.reserve(counter, &mut self.outputs);
        }
    }

    fn persisted(&mut self, now: u64, token: u64) {
        self.acceptor.persisted(token, &mut self.outputs);
        // A proposer may have waited for a reservation.
        self.tick_round(now);
    }

    fn persist_failed(&mut self, now: u64, token: u64) {
        self.acceptor.persist_failed(token);
        self.persist_again_at = now + RESEND_MS;
    }

    fn tick(&mut self, now: u64) {
        self.backoff.tick(now);
        if now >= self.persist_again_at {
            self.acceptor.schedule(&mut self.outputs);
        }
        if self.active.as_ref().is_some_and(|active| now >= active.deadline) {
            self.expire();
        }
        self.tick_round(now);
        self.tick_fetch(now);
        self.complete_if_due(now);
    }

    fn tick_round(&mut self, now: u64) {
        match self.active.as_ref().map(|active| &active.stage) {
            Some(Stage::Inspecting(_)) => self.tick_inspect(now),
            Some(Stage::Waiting { until }) if now >= *until => self.resume(now),
            Some(Stage::Preparing(_)) => self.tick_prepare(now),
            Some(Stage::Proposing(_)) => self.tick_accept(now),
            _ => {}
        }
    }

    /// Goes on after a wait. A read needs no ballot where a quorum agrees: while the disk keeps one from being reserved, it
    /// looks again.
    fn resume(&mut self, now: u64) {
        let reads = self.active.as_ref().is_some_and(|active| active.goal == Goal::Read);
        if reads && !self.can_propose() {
            self.start_inspect(now);
        } else {
            self.start_prepare(now);
        }
    }

    pub(crate) fn committed_ballot(&self) -> Ballot {
        self.committed.as_ref().map_or(Ballot::NONE, |committed| committed.ballot)
    }

    /// Takes over a value known to be chosen, if it is newer than the last one.
    pub(crate) fn note_committed(&mut self, chosen: Accepted) {
        if chosen.ballot <= self.committed_ballot() {
            return;
        }
        self.ballots.see(chosen.ballot);
        self.backoff.value_chosen();
        self.acceptor.adopt(&chosen, &mut self.outputs);
        self.committed = Some(chosen.clone());
        self.learn_electorate(&chosen.value.electorate);
        self.outputs.push(Output::Committed(chosen));
    }
}

fn learn_addresses_of(addresses: &mut BTreeMap<ReplicaId, String>, electorate: &Electorate) {
    for member in electorate.all_members() {
        addresses.insert(member.id, member.address.clone());
    }
}
