//! The sites that are simulated, and the faults planted into them.

/// A core: its machines by zone, and the losses that it is to bear.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    /// Core machines in each zone; all of them run the control plane.
    pub zones: &'static [usize],
    pub machines_lost: usize,
    pub zones_lost: usize,
}

/// A planted fault, to show that the checkers notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Flaw {
    /// A machine with an empty disk answers under the id it had.
    WipedKeepsId,
    /// The nodes drop members as if no loss were to be borne.
    DropsBelowQuorum,
    /// The nodes don't know that a zone may be lost.
    IgnoresZones,
    /// A process ends at SIGTERM without waiting for the electorate to go on without it.
    LeavesAtOnce,
}

impl Site {
    pub fn machines(&self) -> usize {
        self.zones.iter().sum()
    }

    /// Zone of each machine, in the operator's order.
    pub fn zone_of_each(&self) -> Vec<usize> {
        let zones = self.zones.iter().enumerate();
        zones.flat_map(|(zone, size)| std::iter::repeat_n(zone, *size)).collect()
    }
}
