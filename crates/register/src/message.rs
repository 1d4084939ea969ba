//! Messages between replicas.

use bytes::Bytes;

use crate::{Accepted, Ballot, Electorate, ReplicaId, Value};

/// A message and the replica it is meant for; any other one ignores it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Message {
    /// The replica it is meant for. Whoever has taken its address meanwhile is another one.
    pub to: ReplicaId,
    /// What it says.
    pub body: Body,
}

/// A value, told by what leads to it from another one that the receiver has accepted or knows to be chosen.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ValueDelta {
    /// Ballot under which the receiver holds the other value.
    pub base: Ballot,
    /// Electorate of the value.
    pub electorate: Electorate,
    /// Lineage of the value.
    pub lineage: Vec<Ballot>,
    /// What leads from the content of the other value to that of this one.
    pub difference: Bytes,
}

/// What a message says.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Body {
    /// Asks for a promise to accept nothing below `ballot`.
    Prepare {
        /// The proposer's new ballot.
        ballot: Ballot,
        /// Ballot of the value the proposer holds; the answer needs to carry a value only if it is above.
        held: Ballot,
        /// The electorate in which the proposer counts the answer.
        electorate: Electorate,
    },
    /// Answers [`Body::Prepare`].
    Promise {
        /// The ballot promised.
        ballot: Ballot,
        /// Ballot of the value accepted; [`Ballot::NONE`] if there is none.
        accepted: Ballot,
        /// That value, if the proposer does not hold it.
        value: Option<Value>,
    },
    /// Asks to accept a value.
    Accept {
        /// The ballot prepared.
        ballot: Ballot,
        /// The value proposed under it.
        value: Value,
    },
    /// As [`Body::Accept`], for a receiver that is expected to hold the value that this one is built on.
    AcceptDelta {
        /// The ballot prepared.
        ballot: Ballot,
        /// The value proposed under it.
        delta: ValueDelta,
    },
    /// Answers [`Body::AcceptDelta`]: the receiver does not hold the other value, and needs this one whole.
    ValueNeeded {
        /// The ballot proposed.
        ballot: Ballot,
    },
    /// Answers [`Body::Accept`] and [`Body::AcceptDelta`].
    AcceptReply {
        /// The ballot accepted.
        ballot: Ballot,
    },
    /// Refuses [`Body::Prepare`] or [`Body::Accept`].
    Reject {
        /// The ballot refused.
        ballot: Ballot,
        /// The higher ballot promised before.
        promised: Ballot,
    },
    /// Tells that a value has been chosen.
    Committed {
        /// Ballot under which it was chosen.
        ballot: Ballot,
        /// The value, unless the receiver has accepted it under this ballot.
        value: Option<Value>,
    },
    /// Asks for the ballot of the value accepted.
    Inspect {
        /// Number of the read round, random.
        read: u64,
        /// The electorate in which the reader counts the answer.
        electorate: Electorate,
    },
    /// Answers [`Body::Inspect`].
    InspectReply {
        /// Number of the read round.
        read: u64,
        /// Ballot of the value accepted; [`Ballot::NONE`] if there is none.
        accepted: Ballot,
    },
    /// Asks for the value accepted, if its ballot is at least `ballot`.
    Fetch {
        /// The lowest ballot of interest.
        ballot: Ballot,
    },
    /// Answers [`Body::Fetch`].
    FetchReply {
        /// The value accepted.
        accepted: Accepted,
    },
}

impl Body {
    /// The value that it carries whole.
    pub fn value(&self) -> Option<&Value> {
        match self {
            Body::Accept { value, .. } => Some(value),
            Body::Promise { value, .. } | Body::Committed { value, .. } => value.as_ref(),
            Body::FetchReply { accepted } => Some(&accepted.value),
            _ => None,
        }
    }
}
