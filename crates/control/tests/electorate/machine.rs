//! A core machine: its process, its disk, and the trouble it is in.

use std::collections::VecDeque;
use switchhill_control::{ControlNode, Input};

/// Time in milliseconds for which a machine counts as lost after it is back.
pub const CATCH_UP_MS: u64 = 4_000;

/// The disk: synced records and those on their way.
#[derive(Default)]
pub struct Disk {
    pub synced: Vec<Vec<u8>>,
    pub pending: VecDeque<(u64, u64, Vec<u8>)>,
    pub stalled_until: u64,
}

impl Disk {
    /// Takes out what is durable at `now`; returns the last token.
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

    /// The process is gone: a prefix of what was under way has reached the disk.
    pub fn crash(&mut self, random: &mut fastrand::Rng) {
        let reached = random.usize(0..=self.pending.len());
        let pending = std::mem::take(&mut self.pending);
        self.synced.extend(pending.into_iter().take(reached).map(|(_, _, record)| record));
    }
}

/// Whether a process runs.
pub enum Power {
    Running(Box<ControlNode>),
    /// Runs and takes part in nothing; its inputs wait.
    Frozen(Box<ControlNode>, Vec<Input>),
    Down,
    /// Taken away for good.
    Gone,
}

/// A machine.
pub struct Machine {
    /// Which machine of the site it is: a successor takes the seat of the one that it replaces.
    pub seat: usize,
    pub zone: usize,
    pub address: String,
    pub replica: u64,
    /// Whether the replica is of the first electorate.
    pub genesis: bool,
    pub power: Power,
    pub disk: Disk,
    /// Number of the present life of the process.
    pub life: u64,
    /// Cut off in full until then.
    pub cut_until: u64,
    /// What it sends, or what is sent to it, is lost until then.
    pub deaf_until: u64,
    pub mute_until: u64,
    /// Since when it has run without trouble.
    pub well_since: Option<u64>,
    /// When the process was told to end.
    pub leaving_since: Option<u64>,
    /// Whether it was told to end and is to come back: it is as good as down.
    pub is_to_return: bool,
}

impl Machine {
    pub fn node(&self) -> Option<&ControlNode> {
        match &self.power {
            Power::Running(node) => Some(node),
            _ => None,
        }
    }

    pub fn is_in_trouble(&self, now: u64) -> bool {
        let links = [self.cut_until, self.deaf_until, self.mute_until, self.disk.stalled_until];
        !matches!(self.power, Power::Running(_))
            || self.is_to_return
            || links.iter().any(|until| now < *until)
    }

    /// Notes since when the machine is well.
    pub fn note_state(&mut self, now: u64) {
        if self.is_in_trouble(now) {
            self.well_since = None;
        } else {
            self.well_since.get_or_insert(now);
        }
    }

    /// Whether it has run without trouble for long enough to count. One that is told to end still counts: it goes only
    /// once it may.
    pub fn counts(&self, now: u64) -> bool {
        self.well_since.is_some_and(|since| now >= since + CATCH_UP_MS)
    }

    pub fn is_gone(&self) -> bool {
        matches!(self.power, Power::Gone)
    }

    pub fn can_send(&self, now: u64) -> bool {
        now >= self.cut_until && now >= self.mute_until
    }

    pub fn can_receive(&self, now: u64) -> bool {
        now >= self.cut_until && now >= self.deaf_until
    }
}
