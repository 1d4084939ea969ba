//! Faults begin and end: what they do to machines, how many core machines may be lost at once, who is disturbed.

use super::core_machine::{CoreMachine, Power};
use super::{Event, Flaw, World};
use crate::emulator::calm::Subject;
use crate::emulator::disk::DiskCondition;
use crate::emulator::faults::{Direction, Ending, Fault};
use crate::emulator::host::Host;
use crate::emulator::network::Path;

/// Time in milliseconds after which a killed process starts again, at least and at most.
const RESTARTS_AFTER: std::ops::RangeInclusive<u64> = 200..=1_000;

/// Time in milliseconds for which a machine is without power, at least and at most.
const POWER_BACK_AFTER: std::ops::RangeInclusive<u64> = 500..=3_000;

impl World {
    /// A planned fault begins.
    pub(super) fn begin_fault(&mut self, number: usize) {
        let fault = self.plan.faults[number].fault.clone();
        self.tell(|| format!("fault: {fault:?}"));
        self.apply(fault);
    }

    /// Adds a fault at a time.
    pub(super) fn add_fault(&mut self, at: u64, fault: Fault) {
        let planned = crate::emulator::faults::PlannedFault { at, fault };
        self.plan.faults.push(planned);
        self.events.add(at, Event::Fault(self.plan.faults.len() - 1));
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::KillCore { core } => self.kill_core(core),
            Fault::PowerOffCore { core } => self.power_off_core(core),
            Fault::FreezeCore { core, for_ms } => self.freeze_core(core, for_ms),
            Fault::WipeCore { core, others_lose_power } => self.wipe_core(core, others_lose_power),
            Fault::ReplaceCore { core } => self.replace_core(core),
            Fault::KillAllCores => self.stop_all_cores(Power::Idle, None),
            Fault::PowerOffAllCores => self.stop_all_cores(Power::Off, None),
            Fault::ResetCore { core } => self.reset_core(core),
            Fault::TroubleDisk { core, condition, for_ms } => self.trouble_disk(core, condition, for_ms),
            Fault::CutCore { side, direction, for_ms } => self.cut_core(side, direction, for_ms),
            Fault::LosePacketsInCore { for_ms } => self.lose_packets_in_core(for_ms),
            Fault::CutEdge { edge, cores, direction, for_ms } => {
                let host = Host::Edge(edge % self.edges.len());
                self.cut_from_cores(host, cores, direction, for_ms);
            }
            Fault::CutWorker { place, cores, direction, for_ms } => {
                let host = Host::Worker(place % self.workers.len());
                self.cut_from_cores(host, cores, direction, for_ms);
            }
            Fault::LosePacketsOfEdge { edge, for_ms } => self.lose_packets_of_edge(edge, for_ms),
            Fault::FreezeEdge { edge, for_ms } => self.freeze(Host::Edge(edge % self.edges.len()), for_ms),
            Fault::FreezeWorker { place, for_ms } => {
                self.freeze(Host::Worker(place % self.workers.len()), for_ms)
            }
            Fault::ResetEdge { edge } => self.reset_edge(edge % self.edges.len()),
            Fault::KillAgent { edge } => self.kill_agent(edge % self.edges.len()),
            Fault::KillDataPlane { edge } => self.kill_data_plane(edge % self.edges.len()),
            Fault::PowerOffEdge { edge } => self.power_off_edge(edge % self.edges.len()),
            Fault::CrashWorker { place } => self.stop_worker(place % self.workers.len()),
            Fault::DrainWorker { place } => self.drain_worker(place % self.workers.len()),
            Fault::LoseAnswers { for_ms } => self.lose_answers(for_ms),
            Fault::AfterAcknowledgement(fault) => self.after_acknowledgement.push(*fault),
        }
    }

    /// A core machine by its number among those that are not gone.
    fn present_core(&self, number: usize) -> usize {
        let present = self.present_cores();
        present[number % present.len()]
    }

    fn present_cores(&self) -> Vec<usize> {
        (0..self.cores.len()).filter(|core| !self.cores[*core].is_gone()).collect()
    }

    /// Whether these core machines may be lost besides those that are.
    fn may_lose(&self, cores: &[usize]) -> bool {
        let lost = |core: &usize| cores.contains(core) || self.lost.is_lost(self.now, *core);
        let count = self.present_cores().iter().filter(|core| lost(core)).count();
        count <= self.plan.sizes.machines_lost
    }

    fn caught_up_after(&self, back_at: u64) -> u64 {
        back_at + self.bounds.catch_up_ms
    }

    fn start_core_after(&mut self, core: usize, power: Power) {
        let pause = match power {
            Power::Off => self.random.u64(POWER_BACK_AFTER),
            _ => self.random.u64(RESTARTS_AFTER),
        };
        let back_at = self.now + pause;
        let until = self.caught_up_after(back_at);
        self.lost.until(core, until);
        self.events.add(back_at, Event::CoreStart(core));
    }

    fn stop_and_start_core(&mut self, core: usize, power: Power) {
        self.thaw_at_once(Host::Core(core));
        self.stop_core(core, power);
        self.start_core_after(core, power);
    }

    fn kill_core(&mut self, number: usize) {
        let core = self.present_core(number);
        if self.may_lose(&[core]) {
            self.stop_and_start_core(core, Power::Idle);
        }
    }

    fn power_off_core(&mut self, number: usize) {
        let core = self.present_core(number);
        if self.may_lose(&[core]) {
            self.stop_and_start_core(core, Power::Off);
        }
    }

    fn freeze_core(&mut self, number: usize, for_ms: u64) {
        let core = self.present_core(number);
        if self.may_lose(&[core]) && self.cores[core].is_running() {
            self.lost.begin(core);
            self.calm.touch(self.now, Subject::Core);
            self.freeze(Host::Core(core), for_ms);
        }
    }

    fn wipe_core(&mut self, number: usize, others_lose_power: bool) {
        let core = self.present_core(number);
        if !self.may_lose(&[core]) {
            return;
        }
        if others_lose_power {
            self.stop_all_cores(Power::Off, Some(core));
            return;
        }
        self.thaw_at_once(Host::Core(core));
        self.stop_core(core, Power::Idle);
        self.cores[core].disk.wipe();
        self.start_core_after(core, Power::Idle);
    }

    fn replace_core(&mut self, number: usize) {
        let core = self.present_core(number);
        if !self.may_lose(&[core]) {
            return;
        }
        self.thaw_at_once(Host::Core(core));
        self.stop_core(core, Power::Gone);
        let disk_flaw = match self.plan.flaw {
            Some(Flaw::Disk(flaw)) => Some(flaw),
            _ => None,
        };
        self.cores.push(CoreMachine::joining(self.plan.sizes.sync_ms, disk_flaw));
        self.core_changed();
        self.start_core_after(self.cores.len() - 1, Power::Off);
    }

    fn stop_all_cores(&mut self, power: Power, wiped: Option<usize>) {
        if self.all_down_since.replace(self.now).is_none() {
            self.calm.begin(Subject::Core);
            self.calm.begin(Subject::Majority);
        }
        for core in self.present_cores() {
            self.stop_and_start_core(core, power);
            if wiped == Some(core) {
                self.cores[core].disk.wipe();
            }
        }
    }

    fn reset_core(&mut self, number: usize) {
        let core = self.present_core(number);
        self.calm.touch(self.now, Subject::Core);
        self.network.reset(Host::Core(core));
        self.reset_core_connections(core);
    }

    fn trouble_disk(&mut self, number: usize, condition: DiskCondition, for_ms: u64) {
        let core = self.present_core(number);
        if !self.may_lose(&[core]) {
            return;
        }
        self.lost.begin(core);
        self.calm.begin(Subject::Machine(Host::Core(core)));
        self.cores[core].disk.set_condition(condition);
        self.events.add(self.now + for_ms, Event::FaultEnds(Ending::DiskIsWell(core)));
    }

    fn cut_core(&mut self, side: u32, direction: Direction, for_ms: u64) {
        let present = self.present_cores();
        let mut cut_off: Vec<usize> =
            present.iter().copied().filter(|core| side >> (core % 32) & 1 == 1).collect();
        // Every other cut is one that the deployment has to bear.
        if side >> 31 == 1 {
            cut_off.truncate(self.plan.sizes.machines_lost);
        }
        let others: Vec<usize> = present.iter().copied().filter(|core| !cut_off.contains(core)).collect();
        if cut_off.is_empty() || others.is_empty() {
            return;
        }
        let bearable = self.may_lose(&cut_off);
        let lost = if bearable { cut_off.clone() } else { present };
        lost.iter().for_each(|core| self.lost.begin(*core));
        let mut subjects = Vec::new();
        if !bearable {
            subjects = vec![Subject::Core, Subject::Majority];
        }
        self.calm.touch(self.now, Subject::Core);
        subjects.iter().for_each(|subject| self.calm.begin(*subject));
        let pairs = cut_off.iter().flat_map(|one| others.iter().map(move |other| (*one, *other)));
        let paths =
            pairs.flat_map(|(one, other)| paths(Host::Core(one), Host::Core(other), direction)).collect();
        self.cut(paths, subjects, lost, for_ms);
    }

    fn cut(&mut self, paths: Vec<Path>, subjects: Vec<Subject>, cores: Vec<usize>, for_ms: u64) {
        paths.iter().for_each(|path| self.network.cut(*path));
        let ending = Ending::Heal { paths, subjects, cores };
        self.events.add(self.now + for_ms, Event::FaultEnds(ending));
    }

    fn cut_from_cores(&mut self, host: Host, cores: u32, direction: Direction, for_ms: u64) {
        let cut_from = self.present_cores().into_iter().filter(|core| cores >> (core % 32) & 1 == 1);
        let paths = cut_from.flat_map(|core| paths(host, Host::Core(core), direction)).collect();
        self.calm.begin(Subject::Machine(host));
        self.cut(paths, vec![Subject::Machine(host)], Vec::new(), for_ms);
    }

    fn lose_packets_in_core(&mut self, for_ms: u64) {
        let present = self.present_cores();
        let pairs = present.iter().flat_map(|one| present.iter().map(move |other| (*one, *other)));
        let paths = pairs.filter(|(one, other)| one != other);
        let paths = paths.map(|(one, other)| Path { from: Host::Core(one), to: Host::Core(other) }).collect();
        // Slow links on all sides may make every core machine seem lost.
        present.iter().for_each(|core| self.lost.begin(*core));
        self.calm.begin(Subject::Majority);
        self.calm.begin(Subject::Core);
        self.lose_packets(paths, vec![Subject::Core, Subject::Majority], present, for_ms);
    }

    fn lose_packets_of_edge(&mut self, number: usize, for_ms: u64) {
        let host = Host::Edge(number % self.edges.len());
        let cores = self.present_cores().into_iter();
        let paths = cores.flat_map(|core| paths(host, Host::Core(core), Direction::Both)).collect();
        self.calm.begin(Subject::Machine(host));
        self.lose_packets(paths, vec![Subject::Machine(host)], Vec::new(), for_ms);
    }

    fn lose_packets(&mut self, paths: Vec<Path>, subjects: Vec<Subject>, cores: Vec<usize>, for_ms: u64) {
        paths.iter().for_each(|path| self.network.begin_loss(*path));
        let ending = Ending::PacketsPass { paths, subjects, cores };
        self.events.add(self.now + for_ms, Event::FaultEnds(ending));
    }

    fn freeze(&mut self, host: Host, for_ms: u64) {
        let number = self.random.u64(..);
        self.frozen.insert(host, number);
        self.calm.begin(Subject::Machine(host));
        self.events.add(self.now + for_ms, Event::FaultEnds(Ending::Thaw(host, number)));
    }

    /// A frozen process is killed: what waits for it is lost with it.
    fn thaw_at_once(&mut self, host: Host) {
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

    fn reset_edge(&mut self, edge: usize) {
        self.calm.touch(self.now, Subject::Machine(Host::Edge(edge)));
        self.reset_links(edge);
    }

    fn kill_agent(&mut self, edge: usize) {
        self.calm.touch(self.now, Subject::Machine(Host::Edge(edge)));
        self.stop_agent(edge, false);
        let back_at = self.now + self.random.u64(RESTARTS_AFTER);
        self.calm.touch(back_at, Subject::Machine(Host::Edge(edge)));
        self.events.add(back_at, Event::AgentStart(edge));
    }

    fn kill_data_plane(&mut self, edge: usize) {
        self.stop_data_plane(edge);
        let back_at = self.now + self.random.u64(RESTARTS_AFTER);
        self.calm.touch(back_at, Subject::Machine(Host::Edge(edge)));
        self.events.add(back_at, Event::DataPlaneStart(edge));
    }

    fn power_off_edge(&mut self, edge: usize) {
        self.thaw_at_once(Host::Edge(edge));
        self.stop_agent(edge, true);
        self.stop_data_plane(edge);
        let back_at = self.now + self.random.u64(POWER_BACK_AFTER);
        self.calm.touch(back_at, Subject::Machine(Host::Edge(edge)));
        self.events.add(back_at, Event::AgentStart(edge));
        self.events.add(back_at, Event::DataPlaneStart(edge));
    }

    fn lose_answers(&mut self, for_ms: u64) {
        self.answers_lost += 1;
        self.calm.begin(Subject::Machine(Host::Operator));
        self.events.add(self.now + for_ms, Event::FaultEnds(Ending::AnswersArrive));
    }

    /// A fault ends.
    pub(super) fn end_fault(&mut self, ending: Ending) {
        self.tell(|| format!("ends: {ending:?}"));
        match ending {
            Ending::Thaw(host, number) => self.thaw(host, number),
            Ending::Heal { paths, subjects, cores } => self.heal(paths, &subjects, &cores),
            Ending::PacketsPass { paths, subjects, cores } => {
                paths.iter().for_each(|path| self.network.end_loss(*path));
                self.ended(&subjects, &cores);
            }
            Ending::DiskIsWell(core) => {
                let usual = self.cores[core].usual;
                self.cores[core].disk.set_condition(usual);
                self.ended(&[Subject::Machine(Host::Core(core))], &[core]);
            }
            Ending::AnswersArrive => {
                self.answers_lost -= 1;
                self.ended(&[Subject::Machine(Host::Operator)], &[]);
            }
        }
    }

    fn ended(&mut self, subjects: &[Subject], cores: &[usize]) {
        subjects.iter().for_each(|subject| self.calm.end(self.now, *subject));
        let until = self.caught_up_after(self.now);
        cores.iter().for_each(|core| self.lost.end(*core, until));
    }

    fn thaw(&mut self, host: Host, number: u64) {
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

    fn heal(&mut self, paths: Vec<Path>, subjects: &[Subject], cores: &[usize]) {
        if !cores.is_empty() {
            self.calm.touch(self.now, Subject::Core);
        }
        for path in paths {
            self.calm.eased(self.now, path.from);
            self.calm.eased(self.now, path.to);
            for (at, delivery) in self.network.heal(self.now, path) {
                self.events.add(at, Event::Deliver(delivery));
            }
        }
        self.ended(subjects, cores);
    }
}

fn paths(host: Host, other: Host, direction: Direction) -> Vec<Path> {
    let outward = Path { from: host, to: other };
    match direction {
        Direction::Both => vec![outward, outward.back()],
        Direction::Inward => vec![outward.back()],
        Direction::Outward => vec![outward],
    }
}
