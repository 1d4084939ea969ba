//! What of a replica's state is durable, and which messages wait for it.

use bytes::Bytes;

use crate::{Accepted, Ballot, Body, Electorate, Output, Record, ReplicaId};

/// How far each kind of state is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Extent {
    pub(crate) first_electorate: bool,
    pub(crate) reserved: u64,
    pub(crate) promised: Ballot,
    pub(crate) accepted: Ballot,
}

impl Extent {
    fn cover(&mut self, other: &Extent) {
        self.first_electorate |= other.first_electorate;
        self.reserved = self.reserved.max(other.reserved);
        self.promised = self.promised.max(other.promised);
        self.accepted = self.accepted.max(other.accepted);
    }

    fn covers(&self, needs: &Extent) -> bool {
        self.first_electorate >= needs.first_electorate
            && self.reserved >= needs.reserved
            && self.promised >= needs.promised
            && self.accepted >= needs.accepted
    }

    fn of(record: &Record) -> Extent {
        let mut extent = Extent::default();
        match record {
            Record::FirstElectorate(_) => extent.first_electorate = true,
            Record::Reserved(counter) => extent.reserved = *counter,
            Record::Promised(ballot) => extent.promised = *ballot,
            Record::Accepted(accepted) => {
                extent.promised = accepted.ballot;
                extent.accepted = accepted.ballot;
            }
        }
        extent
    }
}

/// The state of an acceptor and proposer that must outlast the process.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct State {
    pub(crate) first_electorate: Option<Electorate>,
    pub(crate) reserved: u64,
    pub(crate) promised: Ballot,
    pub(crate) accepted: Option<Accepted>,
}

impl State {
    pub(crate) fn accepted_ballot(&self) -> Ballot {
        self.accepted.as_ref().map_or(Ballot::NONE, |accepted| accepted.ballot)
    }

    /// Takes over a record read back from the disk.
    pub(crate) fn apply(&mut self, record: Record) {
        match record {
            Record::FirstElectorate(electorate) => self.first_electorate = Some(electorate),
            Record::Reserved(counter) => self.reserved = self.reserved.max(counter),
            Record::Promised(ballot) => self.promised = self.promised.max(ballot),
            Record::Accepted(accepted) => {
                self.promised = self.promised.max(accepted.ballot);
                if accepted.ballot > self.accepted_ballot() {
                    self.accepted = Some(accepted);
                }
            }
        }
    }

    /// Gives the value a content of its own: that of a record refers to the bytes of the whole file.
    pub(crate) fn detach(&mut self) {
        if let Some(accepted) = &mut self.accepted {
            accepted.value.data = Bytes::copy_from_slice(&accepted.value.data);
        }
    }

    pub(crate) fn extent(&self) -> Extent {
        Extent {
            first_electorate: self.first_electorate.is_some(),
            reserved: self.reserved,
            promised: self.promised,
            accepted: self.accepted_ballot(),
        }
    }

    /// The records that stand for this state, leaving out what `written` covers.
    fn records_beyond(&self, written: &Extent) -> Vec<Record> {
        let mut records = Vec::new();
        if let Some(electorate) = self.first_electorate.as_ref().filter(|_| !written.first_electorate) {
            records.push(Record::FirstElectorate(electorate.clone()));
        }
        if self.reserved > written.reserved {
            records.push(Record::Reserved(self.reserved));
        }
        if let Some(accepted) = self.accepted.as_ref().filter(|accepted| accepted.ballot > written.accepted) {
            records.push(Record::Accepted(accepted.clone()));
        }
        let implied = self.accepted_ballot().max(written.promised);
        if self.promised > implied {
            records.push(Record::Promised(self.promised));
        }
        records
    }

    pub(crate) fn records(&self) -> Vec<Record> {
        self.records_beyond(&Extent::default())
    }
}

/// A message that may be sent only once what it says is durable.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Withheld {
    to: ReplicaId,
    body: Body,
    needs: Extent,
}

/// Follows the records on their way to the disk.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Durability {
    durable: Extent,
    pending: Vec<(u64, Extent)>,
    last_token: u64,
    withheld: Vec<Withheld>,
}

impl Durability {
    /// All of `extent` has been read back from the disk.
    pub(crate) fn recovered(extent: Extent) -> Durability {
        Durability { durable: extent, ..Durability::default() }
    }

    pub(crate) fn durable(&self) -> &Extent {
        &self.durable
    }

    fn scheduled(&self) -> Extent {
        let mut scheduled = self.durable;
        for (_, extent) in &self.pending {
            scheduled.cover(extent);
        }
        scheduled
    }

    /// Whether a value is on its way to the disk.
    fn value_under_way(&self) -> bool {
        self.pending.iter().any(|(_, extent)| extent.accepted != Ballot::NONE)
    }

    /// Asks for the records without which `state` would not outlast the process.
    ///
    /// A value waits for the one under way, and only the newest follows it: however long the disk takes, no more than
    /// two values are held for it, and it doesn't fall behind.
    pub(crate) fn schedule(&mut self, state: &State, outputs: &mut Vec<Output>) {
        let value_under_way = self.value_under_way();
        for record in state.records_beyond(&self.scheduled()) {
            if value_under_way && matches!(record, Record::Accepted(_)) {
                continue;
            }
            self.last_token += 1;
            self.pending.push((self.last_token, Extent::of(&record)));
            outputs.push(Output::Persist { token: self.last_token, record });
        }
    }

    /// Keeps a message until `needs` is durable. A later message of the same kind to the same replica replaces it.
    pub(crate) fn withhold(&mut self, to: ReplicaId, body: Body, needs: Extent) {
        let kind = std::mem::discriminant(&body);
        self.withheld.retain(|other| other.to != to || std::mem::discriminant(&other.body) != kind);
        self.withheld.push(Withheld { to, body, needs });
    }

    pub(crate) fn persisted(&mut self, token: u64) {
        let (done, pending) = self.pending.drain(..).partition(|(pending, _)| *pending <= token);
        self.pending = pending;
        let done: Vec<(u64, Extent)> = done;
        for (_, extent) in &done {
            self.durable.cover(extent);
        }
    }

    /// Forgets failed records and the messages that waited for them; the peers will ask again.
    pub(crate) fn failed(&mut self, token: u64) {
        self.pending.retain(|(pending, _)| *pending > token);
        let scheduled = self.scheduled();
        self.withheld.retain(|withheld| scheduled.covers(&withheld.needs));
    }

    /// Takes out the messages that may be sent now.
    pub(crate) fn release(&mut self) -> Vec<(ReplicaId, Body)> {
        let durable = self.durable;
        let (ready, withheld) = self.withheld.drain(..).partition(|withheld| durable.covers(&withheld.needs));
        self.withheld = withheld;
        let ready: Vec<Withheld> = ready;
        ready.into_iter().map(|withheld| (withheld.to, withheld.body)).collect()
    }
}
