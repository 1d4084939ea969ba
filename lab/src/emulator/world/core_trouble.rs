//! Faults of core machines: processes, power, disks, replacements, whole zones.

use super::core_machine::{CoreMachine, Power};
use super::trouble::Outcome;
use super::{Event, Flaw, World};
use crate::emulator::calm::Subject;
use crate::emulator::disk::{DiskCondition, DiskFlaw};
use crate::emulator::faults::{Ending, Fault, Pick};
use crate::emulator::host::Host;

/// Time in milliseconds after which a killed process starts again, at least and at most.
const RESTARTS_AFTER: std::ops::RangeInclusive<u64> = 200..=1_000;

/// Time in milliseconds for which a machine is without power, at least and at most.
const POWER_BACK_AFTER: std::ops::RangeInclusive<u64> = 500..=3_000;

/// Time in milliseconds that the old machine runs beside the new one in a planned replacement, at least and at most.
const OVERLAP: std::ops::RangeInclusive<u64> = 1_000..=2_500;

/// A slow machine stands still for so many milliseconds of each `SLOW_PERIOD`.
const SLOW_PAUSE: u64 = 80;

/// Time in milliseconds between two pauses of a slow machine.
const SLOW_PERIOD: u64 = 100;

impl World {
    /// Begins a fault of the core; none if it is not one.
    pub(super) fn apply_to_core(&mut self, fault: &Fault) -> Option<Outcome> {
        Some(match *fault {
            Fault::KillCore { core } => self.stop_one(core, Power::Idle),
            Fault::TerminateCore { core, busy } => self.terminate_one(core, busy),
            Fault::PowerOffCore { core } => self.stop_one(core, Power::Off),
            Fault::FreezeCore { core, for_ms } => self.freeze_core(core, for_ms),
            Fault::SlowCore { core, for_ms } => self.slow_core(core, for_ms),
            Fault::WipeCore { core, others_lose_power } => self.wipe_core(core, others_lose_power),
            Fault::ReplaceCore { core, planned } => self.replace_core(core, planned),
            Fault::KillAllCores => self.stop_all_cores(Power::Idle, None),
            Fault::PowerOffAllCores => self.stop_all_cores(Power::Off, None),
            Fault::PowerOffAll => {
                (0..self.edges.len()).for_each(|edge| self.power_off_edge(edge));
                self.stop_all_cores(Power::Off, None)
            }
            Fault::RollCores { gap_ms, busy } => self.roll_cores(gap_ms, busy),
            Fault::LoseZone { zone, cut, for_ms } => self.lose_zone(zone, cut, for_ms),
            Fault::ResetCore { core } => self.reset_core(core),
            Fault::TroubleDisk { core, condition, for_ms } => self.trouble_disk(core, condition, for_ms),
            Fault::SplitCore { for_ms } => self.split_core(for_ms),
            Fault::LeaveBehind { core, dark_ms } => self.leave_behind(core, dark_ms),
            Fault::CutCore { side, direction, for_ms } => self.cut_core(side, direction, for_ms),
            Fault::Partition(partition) => self.partition(partition),
            Fault::LosePacketsInCore { for_ms } => self.lose_packets_in_core(for_ms),
            _ => return None,
        })
    }

    /// Starts a core machine's process after a pause; when.
    fn start_core_after(&mut self, core: usize, power: Power) -> u64 {
        let pause = match power {
            Power::Off => self.random.u64(POWER_BACK_AFTER),
            _ => self.random.u64(RESTARTS_AFTER),
        };
        self.start_core_at(core, self.now + pause)
    }

    fn start_core_at(&mut self, core: usize, back_at: u64) -> u64 {
        let until = self.caught_up_after(back_at);
        self.lost.until(core, until);
        self.events.add(back_at, Event::CoreStart(core));
        back_at
    }

    pub(super) fn stop_and_start_core(&mut self, core: usize, power: Power) -> u64 {
        self.thaw_at_once(Host::Core(core));
        self.stop_core(core, power);
        self.start_core_after(core, power)
    }

    fn stop_one(&mut self, pick: Pick, power: Power) -> Outcome {
        let core = self.picked(pick);
        if !self.may_lose(&[core]) {
            return Outcome::NotNow;
        }
        let until = self.stop_and_start_core(core, power);
        Outcome::Struck { core, until }
    }

    fn freeze_core(&mut self, pick: Pick, for_ms: u64) -> Outcome {
        let core = self.picked(pick);
        if !self.may_lose(&[core]) || !self.cores[core].is_running() {
            return Outcome::NotNow;
        }
        self.lost.begin(core);
        self.calm.touch(self.now, Subject::Core);
        self.freeze(Host::Core(core), for_ms);
        Outcome::Struck { core, until: self.now + for_ms }
    }

    /// A slow machine stands still most of the time.
    fn slow_core(&mut self, pick: Pick, for_ms: u64) -> Outcome {
        let core = self.picked(pick);
        if !self.may_lose(&[core]) || !self.cores[core].is_running() {
            return Outcome::NotNow;
        }
        self.lost.begin(core);
        self.calm.begin(Subject::Core);
        self.calm.begin(Subject::Machine(Host::Core(core)));
        for pause in 0..for_ms / SLOW_PERIOD {
            let at = self.now + pause * SLOW_PERIOD;
            self.events.add(at, Event::Pause { core, for_ms: SLOW_PAUSE });
        }
        self.events.add(self.now + for_ms, Event::FaultEnds(Ending::FullSpeed(core)));
        Outcome::Struck { core, until: self.now + for_ms }
    }

    /// A slow machine stands still for a moment.
    pub(super) fn pause_core(&mut self, core: usize, for_ms: u64) {
        if self.cores[core].is_running() && !self.frozen.contains_key(&Host::Core(core)) {
            self.lost.begin(core);
            self.freeze(Host::Core(core), for_ms);
        }
    }

    fn wipe_core(&mut self, pick: Pick, others_lose_power: bool) -> Outcome {
        let core = self.picked(pick);
        if !self.may_lose(&[core]) {
            return Outcome::NotNow;
        }
        if others_lose_power {
            return self.stop_all_cores(Power::Off, Some(core));
        }
        self.thaw_at_once(Host::Core(core));
        self.stop_core(core, Power::Idle);
        self.wipe_disk(core);
        let until = self.start_core_after(core, Power::Idle);
        Outcome::Struck { core, until }
    }

    pub(super) fn wipe_disk(&mut self, core: usize) {
        self.cores[core].disk.wipe();
        self.cores[core].disk_since = self.now;
    }

    fn replace_core(&mut self, pick: Pick, planned: bool) -> Outcome {
        let core = self.picked(pick);
        if !self.may_lose(&[core]) {
            return Outcome::NotNow;
        }
        let zone = self.cores[core].zone;
        let successor = CoreMachine::joining(self.now, zone, self.plan.sizes.sync_ms, self.disk_flaw());
        self.cores.push(successor);
        let successor = self.cores.len() - 1;
        self.extend_cuts_to(successor);
        if planned {
            self.core_changed();
            let until = self.start_core_at(successor, self.now);
            // The machine that goes counts as lost until its successor has caught up, and the successor then does not.
            self.lost.stand_in(core, successor, self.caught_up_after(until));
            let taken_away = self.now + self.random.u64(OVERLAP);
            self.events.add(taken_away, Event::FaultEnds(Ending::Replaced(core)));
            return Outcome::Struck { core: successor, until };
        }
        self.take_away(core);
        let until = self.start_core_after(successor, Power::Off);
        Outcome::Struck { core: successor, until }
    }

    /// A core machine goes for good.
    pub(super) fn take_away(&mut self, core: usize) {
        self.thaw_at_once(Host::Core(core));
        self.stop_core(core, Power::Gone);
        if !self.cores[core].is_removed {
            self.figures.core_lost(self.now, core);
        }
        self.core_changed();
        self.note_all_back();
    }

    fn disk_flaw(&self) -> Option<DiskFlaw> {
        match self.plan.flaw {
            Some(Flaw::Disk(flaw)) => Some(flaw),
            _ => None,
        }
    }

    fn stop_all_cores(&mut self, power: Power, wiped: Option<usize>) -> Outcome {
        if self.all_down_since.replace(self.now).is_none() {
            self.calm.begin(Subject::Core);
            self.calm.begin(Subject::Majority);
        }
        for core in self.present_cores() {
            self.stop_and_start_core(core, power);
            if wiped == Some(core) {
                self.wipe_disk(core);
            }
        }
        Outcome::Begun
    }

    /// Some core nodes are killed at once and started again, however many.
    pub(super) fn restart_cores(&mut self, cores: &[usize]) {
        for core in cores.iter().copied().filter(|core| !self.cores[*core].is_gone()).collect::<Vec<_>>() {
            let back_at = self.stop_and_start_core(core, Power::Idle);
            self.calm.touch(back_at, Subject::Core);
            self.calm.touch(back_at, Subject::Majority);
        }
    }

    fn roll_cores(&mut self, gap_ms: u64, busy: bool) -> Outcome {
        for (turn, core) in self.present_cores().into_iter().enumerate() {
            let at = self.now + gap_ms * turn as u64;
            self.add_fault(at, Fault::TerminateCore { core: Pick::Number(core), busy });
        }
        Outcome::Begun
    }

    fn lose_zone(&mut self, zone: usize, cut: bool, for_ms: u64) -> Outcome {
        let zone = zone % self.plan.sizes.zones.len();
        let cores: Vec<usize> =
            self.present_cores().into_iter().filter(|core| self.cores[*core].zone == zone).collect();
        if cores.is_empty() || !self.may_lose(&cores) {
            return Outcome::NotNow;
        }
        if cut {
            self.cut_zone(zone, cores, for_ms);
            return Outcome::Begun;
        }
        for core in cores {
            self.power_off_core_for(core, for_ms);
        }
        let zones = self.plan.sizes.zones.len();
        (0..self.edges.len()).filter(|edge| edge % zones == zone).for_each(|edge| self.power_off_edge(edge));
        (0..self.workers.len())
            .filter(|place| place % zones == zone)
            .for_each(|place| self.stop_worker(place));
        Outcome::Begun
    }

    /// A core machine loses power for a time.
    pub(super) fn power_off_core_for(&mut self, core: usize, for_ms: u64) {
        self.thaw_at_once(Host::Core(core));
        self.stop_core(core, Power::Off);
        self.start_core_at(core, self.now + for_ms);
    }

    fn reset_core(&mut self, pick: Pick) -> Outcome {
        let core = self.picked(pick);
        self.calm.touch(self.now, Subject::Core);
        self.network.reset(Host::Core(core));
        self.reset_core_connections(core);
        Outcome::Struck { core, until: self.now }
    }

    fn trouble_disk(&mut self, pick: Pick, condition: DiskCondition, for_ms: u64) -> Outcome {
        let core = self.picked(pick);
        if !self.may_lose(&[core]) {
            return Outcome::NotNow;
        }
        self.lost.begin(core);
        self.calm.begin(Subject::Machine(Host::Core(core)));
        self.cores[core].disk.set_condition(condition);
        self.events.add(self.now + for_ms, Event::FaultEnds(Ending::DiskIsWell(core)));
        Outcome::Struck { core, until: self.now + for_ms }
    }

    /// A machine stands still.
    pub(super) fn freeze(&mut self, host: Host, for_ms: u64) {
        let number = self.random.u64(..);
        self.frozen.insert(host, number);
        self.calm.begin(Subject::Machine(host));
        self.events.add(self.now + for_ms, Event::FaultEnds(Ending::Thaw(host, number)));
    }

    /// A machine goes on.
    pub(super) fn thaw(&mut self, host: Host, number: u64) {
        if let Host::Core(core) = host {
            self.calm.touch(self.now, Subject::Core);
            self.ended(&[], &[core]);
        }
        self.ended(&[Subject::Machine(host)], &[]);
        if self.frozen.get(&host) == Some(&number) {
            self.frozen.remove(&host);
            self.calm.eased(self.now, host);
            self.release_deferred(host);
        }
    }

    /// A frozen process is killed: what waits for it is lost with it.
    pub(super) fn thaw_at_once(&mut self, host: Host) {
        if self.frozen.remove(&host).is_some() {
            self.release_deferred(host);
        }
    }

    /// Everything that waited happens now; the tick anywhere among it.
    fn release_deferred(&mut self, host: Host) {
        let mut events = self.deferred.remove(&host).unwrap_or_default();
        if let Some(tick) =
            events.iter().position(|event| matches!(event, Event::CoreTick(..) | Event::AgentTick(..)))
        {
            let event = events.remove(tick);
            let place = self.random.usize(0..=events.len());
            events.insert(place, event);
        }
        events.into_iter().for_each(|event| self.events.add(self.now, event));
    }
}
