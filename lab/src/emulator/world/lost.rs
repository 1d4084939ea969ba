//! Core machines that count as lost, so that no more are lost at once than the deployment has to bear.

use std::collections::BTreeMap;

/// Core machines that count as lost: while a trouble is active, and for some time after.
#[derive(Debug, Default)]
pub(super) struct Lost {
    machines: BTreeMap<usize, (u32, u64)>,
    /// Machines that are being replaced as planned, with the times until which they count as lost.
    replaced: BTreeMap<usize, u64>,
}

impl Lost {
    /// A trouble of a machine begins.
    pub(super) fn begin(&mut self, core: usize) {
        self.machines.entry(core).or_default().0 += 1;
    }

    /// A trouble of a machine ends; it counts as lost until a time.
    pub(super) fn end(&mut self, core: usize, until: u64) {
        let entry = self.machines.entry(core).or_default();
        entry.0 = entry.0.saturating_sub(1);
        entry.1 = entry.1.max(until);
    }

    /// A machine counts as lost until a time at least.
    pub(super) fn until(&mut self, core: usize, until: u64) {
        let entry = self.machines.entry(core).or_default();
        entry.1 = entry.1.max(until);
    }

    /// A machine is replaced as planned: it counts as lost until a time, and its successor does not, unless it is struck.
    pub(super) fn stand_in(&mut self, core: usize, successor: usize, until: u64) {
        self.machines.remove(&successor);
        self.replaced.insert(core, until);
    }

    /// How many machines that are being replaced count as lost.
    pub(super) fn replaced(&self, now: u64) -> impl Iterator<Item = usize> + '_ {
        self.replaced.iter().filter(move |(_, until)| now < **until).map(|(core, _)| *core)
    }

    /// Whether a machine counts as lost.
    pub(super) fn is_lost(&self, now: u64, core: usize) -> bool {
        self.machines.get(&core).is_some_and(|(active, until)| *active > 0 || now < *until)
    }
}
