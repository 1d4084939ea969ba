//! Messages between core nodes.

use crate::subscription::{Expectation, Missing, Residency, Summary, Unreachable};

/// What a core node sends to another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerFrame {
    /// Replica id of the sender.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Internal address of the sender.
    #[prost(string, tag = "2")]
    pub address: String,
    /// The message.
    #[prost(oneof = "peer_frame::Body", tags = "3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<peer_frame::Body>,
}

/// The kinds of [`PeerFrame`].
pub mod peer_frame {
    /// The message.
    #[derive(Clone, PartialEq, prost::Oneof)]
    pub enum Body {
        /// Membership.
        #[prost(message, tag = "3")]
        Heartbeat(super::PeerHeartbeat),
        /// A message of the register.
        #[prost(message, tag = "4")]
        Register(super::RegisterEnvelope),
        /// Workers that changed.
        #[prost(message, tag = "5")]
        WorkerUpdate(super::WorkerUpdate),
        /// Workers' changes are known here.
        #[prost(message, tag = "6")]
        WorkerUpdateAck(super::WorkerUpdateAck),
        /// Workers that were heard.
        #[prost(message, tag = "7")]
        WorkersHeard(super::WorkersHeard),
        /// Load and demand of the sender's home subscribers.
        #[prost(message, tag = "8")]
        Load(super::LoadSummary),
        /// A missing model, for the placer.
        #[prost(message, tag = "9")]
        Missing(super::Missing),
        /// What a worker holds.
        #[prost(message, tag = "10")]
        Residency(super::Residency),
        /// When a missing model will stand.
        #[prost(message, tag = "11")]
        Expectation(super::Expectation),
        /// A worker to which no connection came up at a gatekeeper.
        #[prost(message, tag = "12")]
        Unreachable(super::Unreachable),
    }
}

/// Heartbeat of a core node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PeerHeartbeat {
    /// Rises with each heartbeat of this life.
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    /// Name of the sender's machine.
    #[prost(string, tag = "2")]
    pub node: String,
    /// The last heartbeats that the sender received.
    #[prost(message, repeated, tag = "3")]
    pub echoes: Vec<Echo>,
    /// Counter of the committed ballot that the sender knows.
    #[prost(uint64, tag = "4")]
    pub committed_counter: u64,
    /// Proposer of that ballot.
    #[prost(fixed64, tag = "5")]
    pub committed_proposer: u64,
    /// Digest of the sender's worker table.
    #[prost(fixed64, tag = "6")]
    pub workers_digest: u64,
    /// Whether the sender's worker table is whole.
    #[prost(bool, tag = "7")]
    pub warm: bool,
    /// Gatekeepers whose home the sender is.
    #[prost(uint32, tag = "8")]
    pub home_gatekeepers: u32,
    /// Internal addresses of core nodes that the sender knows.
    #[prost(string, repeated, tag = "9")]
    pub known: Vec<String>,
    /// Random number of the sender's life: tells a restart.
    #[prost(fixed64, tag = "10")]
    pub life: u64,
    /// Counter of the ballot that the sender has accepted, chosen or not.
    #[prost(uint64, tag = "11")]
    pub accepted_counter: u64,
    /// Proposer of that ballot.
    #[prost(fixed64, tag = "12")]
    pub accepted_proposer: u64,
    /// Zone of the sender's machine.
    #[prost(string, tag = "13")]
    pub zone: String,
    /// Whether the sender is in contact with a quorum, has read the register in this life and has a ballot to propose with.
    #[prost(bool, tag = "14")]
    pub in_quorum: bool,
    /// Whether the sender was told to end and waits to be dropped from the electorate.
    #[prost(bool, tag = "15")]
    pub leaving: bool,
}

/// The last heartbeat that was received from a node.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Echo {
    /// Replica id of the node.
    #[prost(fixed64, tag = "1")]
    pub from: u64,
    /// Life of the node.
    #[prost(fixed64, tag = "2")]
    pub life: u64,
    /// Its sequence.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
}

/// A message of the register, encoded by its crate.
#[derive(Clone, PartialEq, prost::Message)]
pub struct RegisterEnvelope {
    /// Replica for which it is meant.
    #[prost(fixed64, tag = "1")]
    pub to: u64,
    /// The message.
    #[prost(bytes = "bytes", tag = "2")]
    pub message: bytes::Bytes,
}

/// Entries of the worker table that changed.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WorkerUpdate {
    /// Number by which it is acknowledged; 0 where no acknowledgement is wanted.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Encoded entries.
    #[prost(bytes = "vec", repeated, tag = "2")]
    pub entries: Vec<Vec<u8>>,
    /// What workers hold, as the placer knows.
    #[prost(message, repeated, tag = "3")]
    pub residency: Vec<Residency>,
    /// Whether these are all entries.
    #[prost(bool, tag = "4")]
    pub whole: bool,
}

/// Acknowledges a [`WorkerUpdate`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct WorkerUpdateAck {
    /// Its number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// Workers that the sender heard since its last message of this kind.
#[derive(Clone, PartialEq, prost::Message)]
pub struct WorkersHeard {
    /// The workers.
    #[prost(message, repeated, tag = "1")]
    pub workers: Vec<HeardWorker>,
}

/// One worker that was heard.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeardWorker {
    /// Its id.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Sequence of its last heartbeat.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Digest of what that heartbeat said.
    #[prost(fixed64, tag = "3")]
    pub material: u64,
}

/// Load and demand summed over the sender's home subscribers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LoadSummary {
    /// The sums.
    #[prost(message, optional, tag = "1")]
    pub summary: Option<Summary>,
    /// Rises by one with each message of the sender's life; a change fits the message before it alone.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
}
