//! State kept about one other node.

use std::collections::VecDeque;

/// Number of sent heartbeats whose send time is kept to resolve echoes.
const REMEMBERED_HEARTBEATS: usize = 32;

/// A heartbeat received from another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedHeartbeat {
    /// Identity of the sender.
    pub id: u64,
    /// Internal address of the sender.
    pub address: String,
    /// Name of the sender's host.
    pub node: String,
    /// Random number that identifies the sender's process run.
    pub incarnation: u64,
    /// Sequence number of the heartbeat within that incarnation.
    pub sequence: u64,
    /// Sequence number echoed from this node's current incarnation, if any.
    pub echo: Option<u64>,
    /// Status that the sender reports.
    pub status: PeerStatus,
}

/// Status that a node reports in its heartbeats.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerStatus {
    /// Zone of the host; empty if unknown.
    pub zone: String,
    /// Whether the node is in contact with a quorum, has read the register since regaining that contact and has a
    /// ballot to propose with.
    pub in_quorum: bool,
    /// Whether the node is shutting down and waits for its removal from the electorate.
    pub leaving: bool,
}

/// One other node.
#[derive(Debug, Clone)]
pub struct Contact {
    /// Internal address.
    pub address: String,
    /// Name of the node's host.
    pub node: String,
    /// Random number that identifies the node's current process run.
    pub incarnation: u64,
    /// Time of the first heartbeat from the current incarnation, in milliseconds.
    pub first_heard_at: u64,
    /// Highest sequence number received from the current incarnation.
    pub sequence: u64,
    /// Time at which the newest heartbeat was received, in milliseconds.
    pub last_heard_at: u64,
    /// Send time of this node's latest heartbeat that the other node echoed, in milliseconds; `None` if there is none.
    pub confirmed_at: Option<u64>,
    /// Status reported in the newest heartbeat.
    pub status: PeerStatus,
}

/// Send times of this node's recent heartbeats.
#[derive(Debug, Default)]
pub(crate) struct SentHeartbeats {
    sent: VecDeque<(u64, u64)>,
}

impl SentHeartbeats {
    /// Records a sent heartbeat and drops the oldest beyond the limit.
    pub(crate) fn record(&mut self, sequence: u64, now: u64) {
        self.sent.push_back((sequence, now));
        if self.sent.len() > REMEMBERED_HEARTBEATS {
            self.sent.pop_front();
        }
    }

    /// Returns the send time of a heartbeat, if it is still kept.
    pub(crate) fn sent_at(&self, sequence: u64) -> Option<u64> {
        self.sent.iter().find(|(number, _)| *number == sequence).map(|(_, at)| *at)
    }
}
