//! Identities, ballots, electorates and values.

use std::collections::BTreeSet;
use std::fmt;

use bytes::Bytes;

/// Ancestors a value names. A proposer interrupted for longer than this many changes is told that it does not know.
const LINEAGE_LENGTH: usize = 16;

/// A replica, which is one disk: an empty disk takes a new identity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// Number of a proposal. Each is used by one proposer for one value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ballot {
    /// Compared first.
    pub counter: u64,
    /// Whose ballot it is.
    pub proposer: ReplicaId,
}

impl Ballot {
    /// Below all ballots in use.
    pub const NONE: Ballot = Ballot { counter: 0, proposer: ReplicaId(0) };
}

/// A replica that votes, and where it is reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// Its identity.
    pub id: ReplicaId,
    /// Its address, meaningful to the shell only.
    pub address: String,
}

/// The replicas that vote.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Electorate {
    /// Rises by one with every change of the electorate.
    pub epoch: u64,
    /// The voters.
    pub members: Vec<Member>,
    /// While a change is under way, the voters before it; otherwise empty.
    pub joint_with: Vec<Member>,
}

impl Electorate {
    /// Whether the replicas heard are a majority of the members, and of those before them during a change.
    pub fn is_quorum(&self, heard: &BTreeSet<ReplicaId>) -> bool {
        let joint = self.joint_with.is_empty() || is_majority(&self.joint_with, heard);
        joint && is_majority(&self.members, heard)
    }

    /// All voters, each once, those of the new electorate first.
    pub fn all_members(&self) -> Vec<&Member> {
        let before = self.joint_with.iter().filter(|member| !has(&self.members, member.id));
        self.members.iter().chain(before).collect()
    }

    /// Whether the replica votes.
    pub fn contains(&self, id: ReplicaId) -> bool {
        has(&self.members, id) || has(&self.joint_with, id)
    }

    /// Whether a change of the electorate is under way.
    pub fn is_joint(&self) -> bool {
        !self.joint_with.is_empty()
    }

    /// The first step of a change to `members`.
    pub(crate) fn joint(&self, members: Vec<Member>) -> Electorate {
        Electorate { epoch: self.epoch + 1, members, joint_with: self.members.clone() }
    }

    /// The second step of a change.
    pub(crate) fn settled(&self) -> Electorate {
        Electorate { epoch: self.epoch + 1, members: self.members.clone(), joint_with: Vec::new() }
    }
}

fn has(members: &[Member], id: ReplicaId) -> bool {
    members.iter().any(|member| member.id == id)
}

fn is_majority(members: &[Member], heard: &BTreeSet<ReplicaId>) -> bool {
    let votes = members.iter().filter(|member| heard.contains(&member.id)).count();
    votes * 2 > members.len()
}

/// What the register holds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Value {
    /// Who votes on it and on what replaces it.
    pub electorate: Electorate,
    /// The caller's content.
    pub data: Bytes,
    /// Origins of the latest values up to and including this one, oldest first.
    pub lineage: Vec<Ballot>,
}

impl Value {
    /// The ballot under which this value was first proposed: its identity.
    pub fn origin(&self) -> Ballot {
        self.lineage.last().copied().unwrap_or(Ballot::NONE)
    }

    /// The origin of the value this one replaced; [`Ballot::NONE`] for the first one.
    pub fn predecessor(&self) -> Ballot {
        self.lineage.iter().rev().nth(1).copied().unwrap_or(Ballot::NONE)
    }

    /// A value first proposed under `origin` that replaces `previous`.
    pub(crate) fn successor(
        previous: Option<&Value>,
        origin: Ballot,
        electorate: Electorate,
        data: Bytes,
    ) -> Value {
        let before = previous.map_or(&[][..], |value| &value.lineage);
        let kept = before.len().min(LINEAGE_LENGTH - 1);
        let mut lineage = before[before.len() - kept..].to_vec();
        lineage.push(origin);
        Value { electorate, data, lineage }
    }

    /// Whether the value of this origin is this value or one it was built on, as far as the lineage goes back.
    pub(crate) fn descends_from(&self, origin: Ballot) -> bool {
        self.lineage.contains(&origin)
    }

    /// Whether the lineage goes back to the time of this origin, or to the empty register. Origins rise along it.
    pub(crate) fn knows_history_since(&self, origin: Ballot) -> bool {
        let oldest = self.lineage.first().copied().unwrap_or(Ballot::NONE);
        self.lineage.len() < LINEAGE_LENGTH || oldest <= origin
    }
}

/// A value under the ballot at which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Accepted {
    /// The ballot.
    pub ballot: Ballot,
    /// The value.
    pub value: Value,
}
