//! Encoding of messages and records, as protocol buffers.

use bytes::Bytes;
use prost::Message as _;

use crate::{
    Accepted, Ballot, Body, DecodeError, Electorate, Member, Message, Record, ReplicaId, Value, ValueDelta,
};

#[derive(Clone, PartialEq, prost::Message)]
struct WireBallot {
    #[prost(uint64, tag = "1")]
    counter: u64,
    #[prost(fixed64, tag = "2")]
    proposer: u64,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireMember {
    #[prost(fixed64, tag = "1")]
    id: u64,
    #[prost(string, tag = "2")]
    address: String,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireElectorate {
    #[prost(uint64, tag = "1")]
    epoch: u64,
    #[prost(message, repeated, tag = "2")]
    members: Vec<WireMember>,
    #[prost(message, repeated, tag = "3")]
    joint_with: Vec<WireMember>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireValue {
    #[prost(message, optional, tag = "1")]
    electorate: Option<WireElectorate>,
    #[prost(bytes = "bytes", tag = "2")]
    data: Bytes,
    #[prost(message, repeated, tag = "3")]
    lineage: Vec<WireBallot>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireAccepted {
    #[prost(message, optional, tag = "1")]
    ballot: Option<WireBallot>,
    #[prost(message, optional, tag = "2")]
    value: Option<WireValue>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireAcceptDelta {
    #[prost(message, optional, tag = "1")]
    ballot: Option<WireBallot>,
    #[prost(message, optional, tag = "2")]
    base: Option<WireBallot>,
    #[prost(message, optional, tag = "3")]
    electorate: Option<WireElectorate>,
    #[prost(message, repeated, tag = "4")]
    lineage: Vec<WireBallot>,
    #[prost(bytes = "bytes", tag = "5")]
    difference: Bytes,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WirePrepare {
    #[prost(message, optional, tag = "1")]
    ballot: Option<WireBallot>,
    #[prost(message, optional, tag = "2")]
    held: Option<WireBallot>,
    #[prost(message, optional, tag = "3")]
    electorate: Option<WireElectorate>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WirePromise {
    #[prost(message, optional, tag = "1")]
    ballot: Option<WireBallot>,
    #[prost(message, optional, tag = "2")]
    accepted: Option<WireBallot>,
    #[prost(message, optional, tag = "3")]
    value: Option<WireValue>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireReject {
    #[prost(message, optional, tag = "1")]
    ballot: Option<WireBallot>,
    #[prost(message, optional, tag = "2")]
    promised: Option<WireBallot>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireInspect {
    #[prost(fixed64, tag = "1")]
    read: u64,
    #[prost(message, optional, tag = "2")]
    electorate: Option<WireElectorate>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireInspectReply {
    #[prost(fixed64, tag = "1")]
    read: u64,
    #[prost(message, optional, tag = "2")]
    accepted: Option<WireBallot>,
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireMessage {
    #[prost(fixed64, tag = "1")]
    to: u64,
    #[prost(oneof = "WireBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    body: Option<WireBody>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum WireBody {
    #[prost(message, tag = "2")]
    Prepare(WirePrepare),
    #[prost(message, tag = "3")]
    Promise(WirePromise),
    #[prost(message, tag = "4")]
    Accept(WireAccepted),
    #[prost(message, tag = "5")]
    AcceptReply(WireBallot),
    #[prost(message, tag = "6")]
    Reject(WireReject),
    /// A chosen value, which may be left out.
    #[prost(message, tag = "7")]
    Committed(WireAccepted),
    #[prost(message, tag = "8")]
    Inspect(WireInspect),
    #[prost(message, tag = "9")]
    InspectReply(WireInspectReply),
    #[prost(message, tag = "10")]
    Fetch(WireBallot),
    #[prost(message, tag = "11")]
    FetchReply(WireAccepted),
    #[prost(message, tag = "12")]
    AcceptDelta(WireAcceptDelta),
    #[prost(message, tag = "13")]
    ValueNeeded(WireBallot),
}

#[derive(Clone, PartialEq, prost::Message)]
struct WireRecord {
    #[prost(oneof = "WireFact", tags = "1, 2, 3, 4")]
    fact: Option<WireFact>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
enum WireFact {
    #[prost(message, tag = "1")]
    FirstElectorate(WireElectorate),
    #[prost(uint64, tag = "2")]
    Reserved(u64),
    #[prost(message, tag = "3")]
    Promised(WireBallot),
    #[prost(message, tag = "4")]
    Accepted(WireAccepted),
}

impl Message {
    /// The bytes of the message.
    pub fn encode(&self) -> Bytes {
        let body = Some(WireBody::from(&self.body));
        WireMessage { to: self.to.0, body }.encode_to_vec().into()
    }

    /// Reads a message, whose values refer to the same bytes.
    ///
    /// # Errors
    /// The bytes are no message.
    pub fn decode(bytes: &Bytes) -> Result<Message, DecodeError> {
        let wire = WireMessage::decode(bytes.clone())?;
        let body = required(wire.body, "body")?;
        Ok(Message { to: ReplicaId(wire.to), body: body.try_into()? })
    }
}

impl Record {
    /// The bytes of the record.
    pub fn encode(&self) -> Bytes {
        let fact = match self {
            Record::FirstElectorate(electorate) => WireFact::FirstElectorate(electorate.into()),
            Record::Reserved(counter) => WireFact::Reserved(*counter),
            Record::Promised(ballot) => WireFact::Promised((*ballot).into()),
            Record::Accepted(accepted) => WireFact::Accepted(accepted.into()),
        };
        WireRecord { fact: Some(fact) }.encode_to_vec().into()
    }

    /// Reads a record, whose value refers to the same bytes.
    ///
    /// # Errors
    /// The bytes are no record.
    pub fn decode(bytes: &Bytes) -> Result<Record, DecodeError> {
        let wire = WireRecord::decode(bytes.clone())?;
        Ok(match required(wire.fact, "fact")? {
            WireFact::FirstElectorate(electorate) => Record::FirstElectorate(electorate.into()),
            WireFact::Reserved(counter) => Record::Reserved(counter),
            WireFact::Promised(ballot) => Record::Promised(ballot.into()),
            WireFact::Accepted(accepted) => Record::Accepted(accepted.try_into()?),
        })
    }
}

fn required<T>(field: Option<T>, name: &'static str) -> Result<T, DecodeError> {
    field.ok_or(DecodeError::Missing(name))
}

fn ballot(field: Option<WireBallot>) -> Result<Ballot, DecodeError> {
    required(field, "ballot").map(Ballot::from)
}

fn electorate(field: Option<WireElectorate>) -> Result<Electorate, DecodeError> {
    required(field, "electorate").map(Electorate::from)
}

impl From<Ballot> for WireBallot {
    fn from(ballot: Ballot) -> WireBallot {
        WireBallot { counter: ballot.counter, proposer: ballot.proposer.0 }
    }
}

impl From<WireBallot> for Ballot {
    fn from(wire: WireBallot) -> Ballot {
        Ballot { counter: wire.counter, proposer: ReplicaId(wire.proposer) }
    }
}

impl From<&Member> for WireMember {
    fn from(member: &Member) -> WireMember {
        WireMember { id: member.id.0, address: member.address.clone() }
    }
}

impl From<WireMember> for Member {
    fn from(wire: WireMember) -> Member {
        Member { id: ReplicaId(wire.id), address: wire.address }
    }
}

impl From<&Electorate> for WireElectorate {
    fn from(electorate: &Electorate) -> WireElectorate {
        WireElectorate {
            epoch: electorate.epoch,
            members: electorate.members.iter().map(WireMember::from).collect(),
            joint_with: electorate.joint_with.iter().map(WireMember::from).collect(),
        }
    }
}

impl From<WireElectorate> for Electorate {
    fn from(wire: WireElectorate) -> Electorate {
        Electorate {
            epoch: wire.epoch,
            members: wire.members.into_iter().map(Member::from).collect(),
            joint_with: wire.joint_with.into_iter().map(Member::from).collect(),
        }
    }
}

impl From<&Value> for WireValue {
    fn from(value: &Value) -> WireValue {
        WireValue {
            electorate: Some((&value.electorate).into()),
            data: value.data.clone(),
            lineage: value.lineage.iter().map(|origin| (*origin).into()).collect(),
        }
    }
}

impl TryFrom<WireValue> for Value {
    type Error = DecodeError;

    fn try_from(wire: WireValue) -> Result<Value, DecodeError> {
        Ok(Value {
            electorate: electorate(wire.electorate)?,
            data: wire.data,
            lineage: wire.lineage.into_iter().map(Ballot::from).collect(),
        })
    }
}

impl From<&Accepted> for WireAccepted {
    fn from(accepted: &Accepted) -> WireAccepted {
        wire_accepted(accepted.ballot, Some(&accepted.value))
    }
}

impl TryFrom<WireAccepted> for Accepted {
    type Error = DecodeError;

    fn try_from(wire: WireAccepted) -> Result<Accepted, DecodeError> {
        Ok(Accepted { ballot: ballot(wire.ballot)?, value: required(wire.value, "value")?.try_into()? })
    }
}

fn wire_accepted(ballot: Ballot, value: Option<&Value>) -> WireAccepted {
    WireAccepted { ballot: Some(ballot.into()), value: value.map(WireValue::from) }
}

impl From<&Body> for WireBody {
    fn from(body: &Body) -> WireBody {
        match body {
            Body::Prepare { ballot, held, electorate } => WireBody::Prepare(WirePrepare {
                ballot: Some((*ballot).into()),
                held: Some((*held).into()),
                electorate: Some(electorate.into()),
            }),
            Body::Promise { ballot, accepted, value } => WireBody::Promise(WirePromise {
                ballot: Some((*ballot).into()),
                accepted: Some((*accepted).into()),
                value: value.as_ref().map(WireValue::from),
            }),
            Body::Accept { ballot, value } => WireBody::Accept(wire_accepted(*ballot, Some(value))),
            Body::AcceptDelta { ballot, delta } => WireBody::AcceptDelta(WireAcceptDelta {
                ballot: Some((*ballot).into()),
                base: Some(delta.base.into()),
                electorate: Some((&delta.electorate).into()),
                lineage: delta.lineage.iter().map(|origin| (*origin).into()).collect(),
                difference: delta.difference.clone(),
            }),
            Body::ValueNeeded { ballot } => WireBody::ValueNeeded((*ballot).into()),
            Body::AcceptReply { ballot } => WireBody::AcceptReply((*ballot).into()),
            Body::Reject { ballot, promised } => WireBody::Reject(WireReject {
                ballot: Some((*ballot).into()),
                promised: Some((*promised).into()),
            }),
            Body::Committed { ballot, value } => WireBody::Committed(wire_accepted(*ballot, value.as_ref())),
            Body::Inspect { read, electorate } => {
                WireBody::Inspect(WireInspect { read: *read, electorate: Some(electorate.into()) })
            }
            Body::InspectReply { read, accepted } => {
                WireBody::InspectReply(WireInspectReply { read: *read, accepted: Some((*accepted).into()) })
            }
            Body::Fetch { ballot } => WireBody::Fetch((*ballot).into()),
            Body::FetchReply { accepted } => WireBody::FetchReply(accepted.into()),
        }
    }
}

impl TryFrom<WireBody> for Body {
    type Error = DecodeError;

    fn try_from(wire: WireBody) -> Result<Body, DecodeError> {
        Ok(match wire {
            WireBody::Prepare(prepare) => Body::Prepare {
                ballot: ballot(prepare.ballot)?,
                held: ballot(prepare.held)?,
                electorate: electorate(prepare.electorate)?,
            },
            WireBody::Promise(promise) => Body::Promise {
                ballot: ballot(promise.ballot)?,
                accepted: ballot(promise.accepted)?,
                value: promise.value.map(Value::try_from).transpose()?,
            },
            WireBody::Accept(accept) => {
                let Accepted { ballot, value } = accept.try_into()?;
                Body::Accept { ballot, value }
            }
            WireBody::AcceptDelta(accept) => Body::AcceptDelta {
                ballot: ballot(accept.ballot)?,
                delta: ValueDelta {
                    base: ballot(accept.base)?,
                    electorate: electorate(accept.electorate)?,
                    lineage: accept.lineage.into_iter().map(Ballot::from).collect(),
                    difference: accept.difference,
                },
            },
            WireBody::ValueNeeded(needed) => Body::ValueNeeded { ballot: needed.into() },
            WireBody::AcceptReply(accepted) => Body::AcceptReply { ballot: accepted.into() },
            WireBody::Reject(reject) => {
                Body::Reject { ballot: ballot(reject.ballot)?, promised: ballot(reject.promised)? }
            }
            WireBody::Committed(committed) => Body::Committed {
                ballot: ballot(committed.ballot)?,
                value: committed.value.map(Value::try_from).transpose()?,
            },
            WireBody::Inspect(inspect) => {
                Body::Inspect { read: inspect.read, electorate: electorate(inspect.electorate)? }
            }
            WireBody::InspectReply(reply) => {
                Body::InspectReply { read: reply.read, accepted: ballot(reply.accepted)? }
            }
            WireBody::Fetch(wanted) => Body::Fetch { ballot: wanted.into() },
            WireBody::FetchReply(accepted) => Body::FetchReply { accepted: accepted.try_into()? },
        })
    }
}
