//! What a node knows of one other node.

use std::collections::VecDeque;

/// Heartbeats whose sending time is remembered, to read echoes by.
const REMEMBERED_HEARTBEATS: usize = 32;

/// What a heartbeat tells of its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// Identity of the sender.
    pub id: u64,
    /// Internal address of the sender.
    pub address: String,
    /// Name of the sender's machine.
    pub node: String,
    /// Random number of the sender's life.
    pub incarnation: u64,
    /// Sequence of the heartbeat within that life.
    pub sequence: u64,
    /// Sequence of ours that it echoes, if it echoes one of this life.
    pub echo: Option<u64>,
    /// What the sender says of itself.
    pub status: PeerStatus,
}

/// What a node says of itself in its heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerStatus {
    /// Zone of its machine, empty if not told.
    pub zone: String,
    /// Whether it is in contact with a quorum, has read the register in this life and has a ballot to propose with.
    pub in_quorum: bool,
    /// Whether it was told to end and waits to be dropped from the electorate.
    pub leaving: bool,
}

/// One other node.
#[derive(Debug, Clone)]
pub struct Contact {
    /// Internal address.
    pub address: String,
    /// Name of its machine.
    pub node: String,
    /// Random number of its present life.
    pub incarnation: u64,
    /// When its present life was first heard, in milliseconds.
    pub first_heard_at: u64,
    /// Its newest sequence.
    pub sequence: u64,
    /// When it was last heard, in milliseconds.
    pub last_heard_at: u64,
    /// Latest time at which it is certain to have heard this node, in milliseconds; `None` if never.
    pub confirmed_at: Option<u64>,
    /// What it said of itself in its newest heartbeat.
    pub status: PeerStatus,
}

/// Times at which this node's heartbeats were sent.
#[derive(Debug, Default)]
pub(crate) struct SentHeartbeats {
    sent: VecDeque<(u64, u64)>,
}

impl SentHeartbeats {
    /// Remembers a heartbeat.
    pub(crate) fn record(&mut self, sequence: u64, now: u64) {
        self.sent.push_back((sequence, now));
        if self.sent.len() > REMEMBERED_HEARTBEATS {
            self.sent.pop_front();
        }
    }

    /// When a heartbeat was sent, if that is remembered.
    pub(crate) fn sent_at(&self, sequence: u64) -> Option<u64> {
        self.sent.iter().find(|(number, _)| *number == sequence).map(|(_, at)| *at)
    }
}
