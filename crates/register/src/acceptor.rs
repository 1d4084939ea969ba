//! The acceptor: promises and acceptances.

use crate::durability::{Durability, Extent, State};
use crate::{Accepted, Ballot, Body, Output, ReplicaId};

/// The acceptor of a replica, with the replica's durable state.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Acceptor {
    pub(crate) state: State,
    durability: Durability,
}

impl Acceptor {
    /// An acceptor none of whose state is on the disk yet.
    pub(crate) fn new(state: State) -> Acceptor {
        Acceptor { state, durability: Durability::default() }
    }

    /// An acceptor all of whose state has been read from the disk.
    pub(crate) fn recovered(state: State) -> Acceptor {
        let durability = Durability::recovered(state.extent());
        Acceptor { state, durability }
    }

    pub(crate) fn durable_reservation(&self) -> u64 {
        self.durability.durable().reserved
    }

    pub(crate) fn reserve(&mut self, counter: u64, outputs: &mut Vec<Output>) {
        self.state.reserved = counter;
        self.durability.schedule(&self.state, outputs);
    }

    /// Asks again for what a failed write has left only in memory.
    pub(crate) fn schedule(&mut self, outputs: &mut Vec<Output>) {
        self.durability.schedule(&self.state, outputs);
    }

    pub(crate) fn persisted(&mut self, token: u64, outputs: &mut Vec<Output>) {
        self.durability.persisted(token);
        self.durability.schedule(&self.state, outputs);
    }

    pub(crate) fn persist_failed(&mut self, token: u64) {
        self.durability.failed(token);
    }

    pub(crate) fn release(&mut self) -> Vec<(ReplicaId, Body)> {
        self.durability.release()
    }

    /// Promises `ballot`, or refuses it. A promise given again to its own proposer is harmless: a ballot is used once.
    pub(crate) fn prepare(
        &mut self,
        from: ReplicaId,
        ballot: Ballot,
        held: Ballot,
        outputs: &mut Vec<Output>,
    ) {
        if ballot < self.state.promised {
            self.reject(from, ballot);
            return;
        }
        self.state.promised = ballot;
        let accepted = self.state.accepted.as_ref();
        let value = accepted.filter(|accepted| accepted.ballot > held).map(|accepted| accepted.value.clone());
        let promise = Body::Promise { ballot, accepted: self.state.accepted_ballot(), value };
        let accepted = self.state.accepted_ballot();
        self.answer(from, promise, Extent { promised: ballot, accepted, ..Extent::default() }, outputs);
    }

    /// Accepts a proposal, or refuses it.
    pub(crate) fn accept(&mut self, from: ReplicaId, proposal: Accepted, outputs: &mut Vec<Output>) {
        let ballot = proposal.ballot;
        if ballot < self.state.promised {
            self.reject(from, ballot);
            return;
        }
        self.state.promised = ballot;
        if ballot > self.state.accepted_ballot() {
            self.state.accepted = Some(proposal);
        }
        let needs = Extent { promised: ballot, accepted: ballot, ..Extent::default() };
        self.answer(from, Body::AcceptReply { ballot }, needs, outputs);
    }

    /// Takes a chosen value as accepted under the ballot of its choice, even where a higher ballot is promised: whoever
    /// holds that promise meets the value elsewhere in its quorum too.
    pub(crate) fn adopt(&mut self, chosen: &Accepted, outputs: &mut Vec<Output>) {
        if chosen.ballot > self.state.accepted_ballot() {
            self.state.accepted = Some(chosen.clone());
            self.state.promised = self.state.promised.max(chosen.ballot);
            self.durability.schedule(&self.state, outputs);
        }
    }

    pub(crate) fn inspect(&mut self, from: ReplicaId, read: u64, outputs: &mut Vec<Output>) {
        let accepted = self.state.accepted_ballot();
        let needs = Extent { accepted, ..Extent::default() };
        self.answer(from, Body::InspectReply { read, accepted }, needs, outputs);
    }

    pub(crate) fn fetch(&mut self, from: ReplicaId, ballot: Ballot, outputs: &mut Vec<Output>) {
        let accepted = self.state.accepted.as_ref().filter(|accepted| accepted.ballot >= ballot);
        if let Some(accepted) = accepted.cloned() {
            self.answer(from, Body::FetchReply { accepted }, Extent::default(), outputs);
        }
    }

    fn answer(&mut self, to: ReplicaId, body: Body, needs: Extent, outputs: &mut Vec<Output>) {
        self.durability.schedule(&self.state, outputs);
        self.durability.withhold(to, body, needs);
    }

    fn reject(&mut self, to: ReplicaId, ballot: Ballot) {
        let promised = self.state.promised;
        self.durability.withhold(to, Body::Reject { ballot, promised }, Extent::default());
    }
}
