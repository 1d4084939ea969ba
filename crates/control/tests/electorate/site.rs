//! Simulated sites, and the defects injected to test the checker.

/// Layout of a core by zone, and the losses that it must tolerate.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Number of core machines in each zone; all of them run the control plane.
    pub zones: &'static [usize],
    pub machines_lost: usize,
    pub zones_lost: usize,
}

/// A defect injected to verify that the checker detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// A machine whose disk was wiped keeps its replica id.
    WipedKeepsId,
    /// The nodes remove members as if no machine loss had to be tolerated.
    DropsBelowQuorum,
    /// The nodes ignore the configured tolerance of zone losses.
    IgnoresZones,
    /// A process exits on SIGTERM without waiting to be removed from the electorate.
    LeavesAtOnce,
}

impl Site {
    pub fn machines(&self) -> usize {
        self.zones.iter().sum()
    }

    /// Zone of each machine, ordered by seat.
    pub fn zone_of_each(&self) -> Vec<usize> {
        let zones = self.zones.iter().enumerate();
        zones.flat_map(|(zone, size)| std::iter::repeat_n(zone, *size)).collect()
    }
}
