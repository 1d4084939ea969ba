//! What a run tells.

use super::ledger::{Count, Direction, Key, Ledger, Role};
use super::Sizes;
use std::fmt;

/// How a worker's drain went, in milliseconds after it was sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct DrainTimes {
    /// When it was acknowledged.
    pub acknowledged_ms: Option<u64>,
    /// When the last data plane had stopped to send to the worker.
    pub in_force_ms: Option<u64>,
}

/// Figures of a hollow run.
#[derive(Debug)]
pub struct Report {
    /// The fleet.
    pub sizes: Sizes,
    /// Virtual seconds that were measured.
    pub seconds: u64,
    /// Lowest revision that a data plane held at the end.
    pub lowest_revision: u64,
    /// Part of the requests out by which the loads that data planes hold at the end differ from those told last.
    pub load_error: f64,
    /// The drain that was played.
    pub drain: DrainTimes,
    /// Data planes that ran; the other gatekeepers have an agent alone.
    pub data_planes: usize,
    /// Bytes from and to the core of the average gatekeeper during the start.
    pub start_bytes: u64,
    /// Resident memory of the process in kilobytes at the end.
    pub resident_kb: u64,
    pub(super) ledger: Ledger,
}

impl Report {
    /// Count of one kind of message, over all processes of the role.
    pub fn count(&self, role: Role, direction: Direction, kind: &'static str) -> Count {
        self.ledger.counts.get(&(role, direction, kind)).copied().unwrap_or_default()
    }

    /// Bytes a second between a gatekeeper and the core, both ways.
    pub fn bytes_per_gatekeeper(&self) -> f64 {
        let rows = self.ledger.counts.iter().filter(|((role, ..), _)| *role == Role::Agent);
        let bytes: u64 = rows.map(|(_, count)| count.bytes).sum();
        bytes as f64 / (self.seconds as f64 * self.sizes.gatekeepers as f64)
    }

    fn processes(&self, role: Role) -> usize {
        match role {
            Role::Core => self.sizes.cores.saturating_sub(1).max(1),
            Role::Placer => 1,
            Role::Agent => self.sizes.gatekeepers,
            Role::DataPlane => self.data_planes.max(1),
        }
    }

    fn row(&self, key: &Key, count: &Count, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (role, direction, kind) = key;
        let spans = self.seconds as f64 * self.processes(*role) as f64;
        let messages = count.messages as f64;
        writeln!(
            f,
            "| {role:?} | {direction:?} | {kind} | {:.2} | {:.0} | {:.0} | {:.1} | {:.3} |",
            messages / spans,
            count.bytes as f64 / messages,
            count.bytes as f64 / spans,
            count.nanoseconds as f64 / messages / 1e3,
            count.nanoseconds as f64 / spans / 1e7,
        )
    }

    fn total(&self, role: Role, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let spans = self.seconds as f64 * self.processes(role) as f64;
        let rows = || self.ledger.counts.iter().filter(|((of, ..), _)| *of == role);
        let bytes = |wanted: Direction| -> u64 {
            rows().filter(|((_, direction, _), _)| *direction == wanted).map(|(_, count)| count.bytes).sum()
        };
        let nanoseconds: u64 = rows().map(|(_, count)| count.nanoseconds).sum();
        writeln!(
            f,
            "{role:?}: {:.0} B/s received, {:.0} B/s sent, {:.3} % of a core",
            bytes(Direction::Received) as f64 / spans,
            bytes(Direction::Sent) as f64 / spans,
            nanoseconds as f64 / spans / 1e7,
        )
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "| role | direction | kind | messages/s | bytes each | bytes/s | us each | % of a core |"
        )?;
        writeln!(f, "| --- | --- | --- | --- | --- | --- | --- | --- |")?;
        for (key, count) in &self.ledger.counts {
            self.row(key, count, f)?;
        }
        writeln!(f, "a process of each role:")?;
        for role in [Role::Core, Role::Placer, Role::Agent, Role::DataPlane] {
            self.total(role, f)?;
        }
        writeln!(f, "control at a gatekeeper, both ways: {:.0} B/s", self.bytes_per_gatekeeper())?;
        writeln!(f, "start of a gatekeeper: {} B", self.start_bytes)?;
        writeln!(f, "loads held differ from those out by: {:.3}", self.load_error)?;
        writeln!(f, "drain: {:?}", self.drain)?;
        writeln!(f, "lowest revision in force at the end: {}", self.lowest_revision)?;
        writeln!(f, "resident memory of the whole run: {} KB", self.resident_kb)
    }
}
