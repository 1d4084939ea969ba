//! The replica: inputs, time, and what is not part of a round.

use std::collections::{BTreeMap, VecDeque};

use crate::acceptor::Acceptor;
use crate::ballots::Ballots;
use crate::catch_up::MissingValue;
use crate::durability::State;
use crate::operation::{Goal, Operation, Stage, Write};
use crate::random::Random;
use crate::{
    Accepted, Ballot, Body, Electorate, Input, Member, Message, Output, Record, RegisterError, ReplicaId,
};

/// How long an operation may take from its start, and again from its write, in milliseconds. Two of them and the way to
/// the operator stay below the time in which a change must be acknowledged.
const OPERATION_MS: u64 = 2_500;

/// How long unanswered messages of a round wait to be sent again, in milliseconds: a lost one costs a fraction of a
/// second, a slow link no flood.
pub(crate) const RESEND_MS: u64 = 250;

/// How old an accepted value not known to be chosen must be before the first voter completes it, in milliseconds: longer
/// than its proposer usually takes to say so.
const COMPLETE_AFTER_MS: u64 = 120;

/// How much longer each further voter waits before it completes a value, in milliseconds: one read round.
const COMPLETE_RANK_MS: u64 = 80;

/// One replica of the register: acceptor and proposer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Replica {
    pub(crate) id: ReplicaId,
    pub(crate) acceptor: Acceptor,
    pub(crate) committed: Option<Accepted>,
    pub(crate) ballots: Ballots,
    pub(crate) random: Random,
    pub(crate) active: Option<Operation>,
    queue: VecDeque<Operation>,
    /// The last value seen accepted here, and since when in milliseconds.
    accepted_since: Option<(Ballot, u64)>,
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
            active: None,
            queue: VecDeque::new(),
            accepted_since: None,
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
            Input::PersistFailed { token } => self.acceptor.persist_failed(token),
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
        self.note_accepted(now);
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
        self.note_accepted(now);
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
                    self.acceptor.accept(from, Accepted { ballot, value }, &mut self.outputs);
                    self.learn_addresses();
                }
            }
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

    /// A replica without any state votes only in an electorate that names it: its id is new, so what it does not remember
    /// it has never promised.
    fn may_vote(&self, electorate: &Electorate) -> bool {
        self.electorate().is_some() || electorate.contains(self.id)
    }

    fn see_ballots(&mut self, body: &Body) {
        match body {
            Body::Prepare { ballot, .. } | Body::Accept { ballot, .. } | Body::Committed { ballot, .. } => {
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

    /// Queues an operation. One of the caller takes the place of a completion, which its own rounds make needless.
    fn enqueue(&mut self, number: Option<u64>, goal: Goal) {
        self.active.take_if(|active| active.number.is_none());
        self.queue.push_back(Operation { number, goal, stage: Stage::Queued, deadline: 0 });
    }

    /// Starts the next operation if none is active. Returns whether it did.
    fn start_next(&mut self, now: u64) -> bool {
        if self.active.is_some() {
            return false;
        }
        let Some(mut operation) = self.queue.pop_front() else {
            return false;
        };
        if operation.number.is_none() && self.accepted_ballot() <= self.committed_ballot() {
            return true;
        }
        operation.deadline = now + OPERATION_MS;
        let reads = operation.goal == Goal::Read;
        self.active = Some(operation);
        if self.electorate().is_none() {
            self.finish(Err(RegisterError::NoElectorate));
        } else if reads {
            self.start_inspect(now);
        } else {
            self.start_prepare(now);
        }
        true
    }

    fn write(&mut self, now: u64, operation: u64, data: bytes::Bytes, members: Option<Vec<Member>>) {
        let active = self.active.take_if(|active| active.number == Some(operation));
        let Some(Operation { stage: Stage::Prepared(prepared), .. }) = active else {
            self.refuse_write(operation, active);
            return;
        };
        let predecessor = prepared.current.as_ref().map_or(Ballot::NONE, |current| current.value.origin());
        let write = Write { data, members, predecessor, origin: Ballot::NONE };
        self.active = Some(Operation {
            number: Some(operation),
            goal: Goal::Write(write),
            stage: Stage::Waiting { until: now },
            deadline: now + OPERATION_MS,
        });
        self.propose_own(now, prepared);
    }

    /// Answers a write whose operation is unknown or not prepared.
    fn refuse_write(&mut self, operation: u64, active: Option<Operation>) {
        let already_writing =
            matches!(&active, Some(Operation { goal: Goal::Write(_) | Goal::Settle { .. }, .. }));
        if already_writing {
            self.active = active;
            return;
        }
        self.queue.retain(|queued| queued.number != Some(operation));
        self.outputs.push(Output::Done { operation, result: Err(RegisterError::ConflictBefore) });
    }

    fn abandon(&mut self, operation: u64) {
        self.queue.retain(|queued| queued.number != Some(operation));
        if self.active.as_ref().is_some_and(|active| active.number == Some(operation)) {
            self.active = None;
        }
    }

    /// Ends the active operation.
    pub(crate) fn finish(&mut self, result: Result<Accepted, RegisterError>) {
        if let Some(operation) = self.active.take().and_then(|operation| operation.number) {
            self.outputs.push(Output::Done { operation, result });
        }
    }

    fn persisted(&mut self, now: u64, token: u64) {
        self.acceptor.persisted(token);
        // A proposer may have waited for a reservation.
        self.tick_round(now);
    }

    fn tick(&mut self, now: u64) {
        self.acceptor.schedule(&mut self.outputs);
        if self.active.as_ref().is_some_and(|active| now >= active.deadline) {
            self.expire();
        }
        self.tick_round(now);
        self.tick_fetch(now);
        self.complete_if_due(now);
    }

    /// Ends the active operation at its deadline.
    fn expire(&mut self) {
        let Some(active) = &self.active else {
            return;
        };
        let result = match &active.goal {
            Goal::Settle { chosen } => Ok(chosen.clone()),
            Goal::Prepare if matches!(active.stage, Stage::Prepared(_)) => Err(RegisterError::ConflictBefore),
            Goal::Read | Goal::Prepare => Err(RegisterError::NoQuorum { outcome_unknown: false }),
            Goal::Write(_) => Err(RegisterError::NoQuorum { outcome_unknown: true }),
        };
        self.finish(result);
    }

    fn tick_round(&mut self, now: u64) {
        match self.active.as_ref().map(|active| &active.stage) {
            Some(Stage::Inspecting(_)) => self.tick_inspect(now),
            Some(Stage::Waiting { until }) if now >= *until => self.start_prepare(now),
            Some(Stage::Preparing(_)) => self.tick_prepare(now),
            Some(Stage::Proposing(_)) => self.tick_accept(now),
            _ => {}
        }
    }

    fn note_accepted(&mut self, now: u64) {
        let ballot = self.accepted_ballot();
        if ballot != Ballot::NONE && self.accepted_since.is_none_or(|(noted, _)| noted != ballot) {
            self.accepted_since = Some((ballot, now));
        }
    }

    /// Reads the register in full when a value accepted here is not heard to be chosen: its proposer may be gone.
    fn complete_if_due(&mut self, now: u64) {
        let Some((ballot, since)) = self.accepted_since else {
            return;
        };
        let Some(rank) = self.rank().filter(|_| ballot > self.committed_ballot()) else {
            return;
        };
        let due = since + COMPLETE_AFTER_MS + rank as u64 * COMPLETE_RANK_MS;
        let mut operations = self.active.iter().chain(&self.queue);
        let under_way = operations.any(|operation| operation.goal == Goal::Read);
        if now >= due && !under_way {
            self.accepted_since = Some((ballot, now));
            self.enqueue(None, Goal::Read);
        }
    }

    /// This replica's position among the voters.
    fn rank(&self) -> Option<usize> {
        let voters = self.electorate()?.all_members();
        voters.iter().position(|member| member.id == self.id)
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
