//! A simulated core machine: its process, disk and active faults.

use bytes::Bytes;
use std::collections::VecDeque;
use switchhill_control::{ControlNode, Input};

/// Time in milliseconds for which a recovered machine still counts as lost.
pub const CATCH_UP_MS: u64 = 4_000;

/// A disk with its synced records and its pending writes (due time, token, record).
#[derive(Default)]
pub struct Disk {
    pub synced: Vec<Bytes>,
    pub pending: VecDeque<(u64, u64, Bytes)>,
    pub stalled_until: u64,
}

impl Disk {
    /// Completes the writes due by `now`; returns the token of the last one.
    pub fn advance(&mut self, now: u64) -> Option<u64> {
        if now < self.stalled_until {
            return None;
        }
        let mut last = None;
        while let Some((due, _, _)) = self.pending.front() {
            if *due > now {
                break;
            }
            if let Some((_, token, record)) = self.pending.pop_front() {
                self.synced.push(record);
                last = Some(token);
            }
        }
        last
    }

    /// Simulates a crash of the process: a random prefix of the pending writes reaches the disk.
    pub fn crash(&mut self, random: &mut fastrand::Rng) {
        let reached = random.usize(0..=self.pending.len());
        let pending = std::mem::take(&mut self.pending);
        self.synced.extend(pending.into_iter().take(reached).map(|(_, _, record)| record));
    }
}

/// State of a machine's process.
pub enum ProcessState {
    Running(Box<ControlNode>),
    /// The process is suspended; its inputs are queued.
    Frozen(Box<ControlNode>, Vec<Input>),
    Down,
    /// The machine is permanently removed.
    Removed,
}

/// A simulated core machine.
pub struct Machine {
    /// Position in the site; a replacement takes the seat of the machine it replaces.
    pub seat: usize,
    pub zone: usize,
    pub address: String,
    pub replica: u64,
    /// Whether the replica belongs to the first electorate.
    pub genesis: bool,
    pub process: ProcessState,
    pub disk: Disk,
    /// Incarnation number of the process; events of earlier incarnations are ignored.
    pub incarnation: u64,
    /// Time until which no messages are sent or received.
    pub partitioned_until: u64,
    /// Time until which received messages are lost.
    pub inbound_blocked_until: u64,
    /// Time until which sent messages are lost.
    pub outbound_blocked_until: u64,
    /// Time since which the machine has run without a fault.
    pub healthy_since: Option<u64>,
    /// Time at which the process was asked to terminate.
    pub terminating_since: Option<u64>,
    /// Whether the process was asked to terminate and will restart; it is treated as down.
    pub will_restart: bool,
}

impl Machine {
    pub fn node(&self) -> Option<&ControlNode> {
        match &self.process {
            ProcessState::Running(node) => Some(node),
            _ => None,
        }
    }

    pub fn is_faulty(&self, now: u64) -> bool {
        let links = [
            self.partitioned_until,
            self.inbound_blocked_until,
            self.outbound_blocked_until,
            self.disk.stalled_until,
        ];
        !matches!(self.process, ProcessState::Running(_))
            || self.will_restart
            || links.iter().any(|until| now < *until)
    }

    /// Updates the time since which the machine has run without a fault.
    pub fn update_health(&mut self, now: u64) {
        if self.is_faulty(now) {
            self.healthy_since = None;
        } else {
            self.healthy_since.get_or_insert(now);
        }
    }

    /// Whether the machine has run without a fault for long enough to count as available. A machine asked to terminate
    /// still counts, because it exits only once the electorate can do without it.
    pub fn is_available(&self, now: u64) -> bool {
        self.healthy_since.is_some_and(|since| now >= since + CATCH_UP_MS)
    }

    pub fn is_removed(&self) -> bool {
        matches!(self.process, ProcessState::Removed)
    }

    pub fn can_send(&self, now: u64) -> bool {
        now >= self.partitioned_until && now >= self.outbound_blocked_until
    }

    pub fn can_receive(&self, now: u64) -> bool {
        now >= self.partitioned_until && now >= self.inbound_blocked_until
    }
}
