//! A minority of the core misses changes, and then those that took them go: one loses its disk, the others are dark for a while.

use super::core_machine::Power;
use super::trouble::Outcome;
use super::{Event, World};
use crate::emulator::calm::Subject;
use crate::emulator::faults::{Ending, Partition, Pick};

/// Time in milliseconds for which the minority is cut off, at least and at most.
const BEHIND_FOR: std::ops::RangeInclusive<u64> = 1_000..=4_000;

impl World {
    /// A minority is cut off while changes are made; what follows comes at the end of the cut.
    pub(super) fn leave_behind(&mut self, pick: Pick, dark_ms: u64) -> Outcome {
        let cut_for = self.random.u64(BEHIND_FOR);
        let outcome = self.partition(Partition { count: usize::MAX, ..Partition::of_one(pick, cut_for) });
        if let Outcome::Struck { .. } = outcome {
            let present = self.present_cores();
            let behind: Vec<usize> =
                present.iter().copied().filter(|core| self.cut_off.contains_key(core)).collect();
            self.visit_others(&behind, cut_for);
            let at = self.now + cut_for;
            self.events.add(at, Event::FaultEnds(Ending::Behind { behind, dark_ms }));
        }
        outcome
    }

    /// Changes are sent to machines on the other side of a cut.
    pub(super) fn visit_others(&mut self, cut_off: &[usize], for_ms: u64) {
        let others = self.present_cores().into_iter().filter(|core| !cut_off.contains(core));
        for core in others.take(2).collect::<Vec<_>>() {
            let at = self.now + self.random.u64(0..=for_ms);
            self.events.add(at, Event::Visit { core, race: false, hard: false });
        }
    }

    /// One of those that were not cut off loses its disk, all others of them lose power for a time. Nothing happens where one
    /// of them counts as lost already, where one that was cut off has a new disk, since one disk too many would be lost, or
    /// where another cut keeps it away: the core would be without a majority for as long.
    pub(super) fn lose_those_ahead(&mut self, behind: &[usize], dark_ms: u64) {
        let present = self.present_cores();
        let ahead: Vec<usize> = present.into_iter().filter(|core| !behind.contains(core)).collect();
        let is_lost = |core: &usize| self.lost.is_lost(self.now, *core);
        let is_new = |core: &usize| {
            let since = self.cores[*core].disk_since;
            since > 0 && self.now < since + BEHIND_FOR.end() + self.bounds.catch_up_ms
        };
        if behind.iter().any(|core| is_new(core) || self.is_behind_a_cut(*core)) {
            return;
        }
        if ahead.is_empty() || ahead.iter().any(is_lost) || self.lost.replaced(self.now).next().is_some() {
            return;
        }
        let wiped = ahead[self.random.usize(0..ahead.len())];
        if self.all_down_since.replace(self.now).is_none() {
            self.calm.begin(Subject::Core);
            self.calm.begin(Subject::Majority);
        }
        self.count_played("behind: one ahead loses its disk, the others are dark");
        for core in ahead {
            if core == wiped {
                self.stop_and_start_core(core, Power::Idle);
                self.wipe_disk(core);
            } else {
                self.power_off_core_for(core, dark_ms);
            }
        }
    }
}
