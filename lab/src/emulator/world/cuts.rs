//! Cuts and losses on the links between machines.

use super::trouble::Outcome;
use super::{Delivery, Event, Message, World};
use crate::emulator::calm::Subject;
use crate::emulator::faults::{Direction, Ending, Partition, Reach};
use crate::emulator::host::Host;
use crate::emulator::network::{Path, Stream};

/// Edge machines that are restarted while the machines cut off come first among the seeds.
const RESTARTED_EDGES: usize = 2;

/// Time in milliseconds after the end of a cut at which the processes of the other core machines are killed.
const RELIEVED_AFTER: std::ops::RangeInclusive<u64> = 0..=60;

/// A cut that lasts: what it separates, and what is in trouble until it heals.
pub(super) struct OpenCut {
    inside: Vec<Host>,
    outside: Vec<Host>,
    /// The zone that is cut off as a whole; a machine that joins in it is behind the cut.
    zone: Option<usize>,
    direction: Direction,
    /// Whether it also separates core machines that join meanwhile.
    takes_in_joining: bool,
    /// Whether new connections are refused rather than left without an answer.
    refuses: bool,
    paths: Vec<Path>,
    subjects: Vec<Subject>,
    /// Core machines that count as lost.
    cores: Vec<usize>,
    /// Core machines that are without a majority by this cut alone.
    cut_off: Vec<usize>,
}

impl OpenCut {
    fn new(pairs: Vec<(Host, Host)>, direction: Direction) -> OpenCut {
        let paths = pairs.iter().flat_map(|(one, other)| paths(*one, *other, direction)).collect();
        let (mut inside, mut outside): (Vec<Host>, Vec<Host>) = pairs.into_iter().unzip();
        for side in [&mut inside, &mut outside] {
            side.sort_unstable();
            side.dedup();
        }
        OpenCut {
            inside,
            outside,
            zone: None,
            direction,
            takes_in_joining: true,
            refuses: false,
            paths,
            subjects: Vec::new(),
            cores: Vec::new(),
            cut_off: Vec::new(),
        }
    }
}

impl World {
    /// Core machines are cut off from the others, and from other machines as far as the cut reaches.
    pub(super) fn partition(&mut self, partition: Partition) -> Outcome {
        let core = self.picked(partition.core);
        let cut_off = self.machines_to_cut(core, partition.count);
        if !self.may_lose(&cut_off) {
            return Outcome::NotNow;
        }
        let Partition { direction, for_ms, .. } = partition;
        let beyond = self.machines_beyond(&cut_off, partition.reach);
        let pairs = cut_off.iter().flat_map(|core| beyond.iter().map(move |host| (*core, *host)));
        let pairs = pairs.filter(|(core, host)| self.reaches(partition, *core, *host));
        let pairs = pairs.map(|(core, host)| (Host::Core(core), host)).collect();
        cut_off.iter().for_each(|core| self.lost.begin(*core));
        self.calm.touch(self.now, Subject::Core);
        let refuses = partition.refuse;
        let (cores, alone) = (cut_off.clone(), cut_off.clone());
        self.cut(OpenCut { cores, cut_off: alone, refuses, ..OpenCut::new(pairs, direction) }, for_ms);
        if partition.reset || partition.refuse {
            for core in &cut_off {
                self.network.reset(Host::Core(*core));
                self.reset_core_connections(*core);
            }
        }
        if partition.seeds {
            self.cut_off_come_first(&cut_off, for_ms);
        }
        if partition.relieve {
            self.visit_others(&cut_off, for_ms);
            let others = self.present_cores().into_iter().filter(|core| !cut_off.contains(core)).collect();
            let killed_at = self.now + for_ms + self.random.u64(RELIEVED_AFTER);
            self.events.add(killed_at, Event::RestartCores(others));
        }
        if partition.both {
            let others = self.present_cores().into_iter().filter(|core| !cut_off.contains(core)).collect();
            self.events.add(self.now + for_ms / 3, Event::RestartCores(cut_off));
            self.events.add(self.now + for_ms * 2 / 3, Event::RestartCores(others));
        }
        Outcome::Struck { core, until: self.now + for_ms }
    }

    /// The machine and the next ones, as many as are asked for and may be lost.
    fn machines_to_cut(&self, core: usize, count: usize) -> Vec<usize> {
        let present = self.present_cores();
        let at = present.iter().position(|present| *present == core).unwrap_or(0);
        let count = count.clamp(1, self.plan.sizes.machines_lost.max(1));
        let all: Vec<usize> = (0..count).map(|next| present[(at + next) % present.len()]).collect();
        if self.may_lose(&all) {
            all
        } else {
            vec![core]
        }
    }

    /// Machines from which a cut may separate: core machines that are not cut off, and others.
    fn machines_beyond(&self, cut_off: &[usize], reach: Reach) -> Vec<Host> {
        let others = self.present_cores().into_iter().filter(|core| !cut_off.contains(core));
        let mut hosts: Vec<Host> = others.map(Host::Core).collect();
        if reach != Reach::Core {
            hosts.extend((0..self.edges.len()).map(Host::Edge));
            hosts.extend((0..self.workers.len()).map(Host::Worker));
        }
        if reach == Reach::All {
            hosts.push(Host::Operator);
        }
        hosts
    }

    fn reaches(&self, partition: Partition, core: usize, host: Host) -> bool {
        host.is_core() || partition.reach == Reach::All || self.zone_of(host) != Some(self.cores[core].zone)
    }

    /// The zone in which a machine stands.
    fn zone_of(&self, host: Host) -> Option<usize> {
        let zones = self.plan.sizes.zones.len();
        match host {
            Host::Core(core) => Some(self.cores[core].zone),
            Host::Edge(number) | Host::Worker(number) => Some(number % zones),
            Host::Operator => None,
        }
    }

    /// Processes that start have the machines cut off for their first seeds; some do.
    fn cut_off_come_first(&mut self, cut_off: &[usize], for_ms: u64) {
        self.seeds_first = (self.seeds_first.0 + 1, cut_off.to_vec());
        self.events.add(self.now + for_ms, Event::FaultEnds(Ending::UsualSeeds));
        self.restart_some_edges();
    }

    /// Processes that start meanwhile have other seeds; some do.
    pub(super) fn turn_over_seeds(&mut self, for_ms: u64) {
        let last: Vec<usize> = self.present_cores().into_iter().rev().take(3).collect();
        self.cut_off_come_first(&last, for_ms);
    }

    fn restart_some_edges(&mut self) {
        for _ in 0..RESTARTED_EDGES {
            let edge = self.random.usize(0..self.edges.len());
            self.kill_agent(edge);
            self.kill_data_plane(edge);
        }
    }

    /// Core machines by bits are cut from the others, however many.
    pub(super) fn cut_core(&mut self, side: u32, direction: Direction, for_ms: u64) -> Outcome {
        let present = self.present_cores();
        let mut cut_off: Vec<usize> =
            present.iter().copied().filter(|core| side >> (core % 32) & 1 == 1).collect();
        // Every other cut is one that the deployment has to bear.
        if side >> 31 == 1 {
            cut_off.truncate(self.plan.sizes.machines_lost);
        }
        self.separate(cut_off, direction, for_ms)
    }

    /// Half of the core machines are cut from the other half, whatever the deployment has to bear; all others reach both.
    pub(super) fn split_core(&mut self, for_ms: u64) -> Outcome {
        let mut half = self.present_cores();
        self.random.shuffle(&mut half);
        half.truncate(half.len() / 2);
        self.separate(half, Direction::Both, for_ms)
    }

    fn separate(&mut self, cut_off: Vec<usize>, direction: Direction, for_ms: u64) -> Outcome {
        let present = self.present_cores();
        let others: Vec<usize> = present.iter().copied().filter(|core| !cut_off.contains(core)).collect();
        if cut_off.is_empty() || others.is_empty() {
            return Outcome::Begun;
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
        let pairs = pairs.map(|(one, other)| (Host::Core(one), Host::Core(other))).collect();
        let cut_off = if bearable { cut_off } else { Vec::new() };
        self.cut(OpenCut { subjects, cores: lost, cut_off, ..OpenCut::new(pairs, direction) }, for_ms);
        Outcome::Begun
    }

    /// A zone is cut from all other machines.
    pub(super) fn cut_zone(&mut self, zone: usize, cores: Vec<usize>, for_ms: u64) {
        let inside = |world: &World, host: &Host| world.zone_of(*host) == Some(zone);
        let all = self.present_cores().into_iter().map(Host::Core);
        let all = all.chain((0..self.edges.len()).map(Host::Edge));
        let all = all.chain((0..self.workers.len()).map(Host::Worker)).chain([Host::Operator]);
        let (zone_hosts, others): (Vec<Host>, Vec<Host>) = all.partition(|host| inside(self, host));
        let pairs = zone_hosts.iter().flat_map(|one| others.iter().map(move |other| (*one, *other)));
        let pairs = pairs.collect();
        cores.iter().for_each(|core| self.lost.begin(*core));
        let subjects: Vec<Subject> =
            zone_hosts.iter().filter(|host| !host.is_core()).map(|host| Subject::Machine(*host)).collect();
        subjects.iter().for_each(|subject| self.calm.begin(*subject));
        self.calm.touch(self.now, Subject::Core);
        let cut = OpenCut { zone: Some(zone), subjects, cores, ..OpenCut::new(pairs, Direction::Both) };
        self.cut(cut, for_ms);
    }

    fn cut(&mut self, cut: OpenCut, for_ms: u64) {
        self.calm.begin(Subject::Links);
        for core in &cut.cut_off {
            self.cut_off.entry(*core).or_insert(self.now);
        }
        cut.paths.iter().for_each(|path| self.network.cut(*path));
        cut.paths.iter().filter(|_| cut.refuses).for_each(|path| self.network.begin_refusal(*path));
        let number = self.next_cut;
        self.next_cut += 1;
        self.open_cuts.insert(number, cut);
        self.events.add(self.now + for_ms, Event::FaultEnds(Ending::Heal(number)));
    }

    /// A core machine joins: it is behind each cut that separates core machines from all others, or its zone from them.
    pub(super) fn extend_cuts_to(&mut self, core: usize) {
        let (host, zone) = (Host::Core(core), self.cores[core].zone);
        for cut in self.open_cuts.values_mut().filter(|cut| cut.takes_in_joining) {
            let joins_inside = cut.zone == Some(zone);
            let others = if joins_inside { &cut.outside } else { &cut.inside };
            let pair = |other: &Host| if joins_inside { (host, *other) } else { (*other, host) };
            let pairs = others.iter().map(pair);
            let more: Vec<Path> = pairs.flat_map(|(one, other)| paths(one, other, cut.direction)).collect();
            more.iter().for_each(|path| self.network.cut(*path));
            more.iter().filter(|_| cut.refuses).for_each(|path| self.network.begin_refusal(*path));
            cut.paths.extend(more);
            if joins_inside {
                self.lost.begin(core);
                cut.cores.push(core);
            }
            let side = if joins_inside { &mut cut.inside } else { &mut cut.outside };
            side.push(host);
        }
    }

    /// A machine is cut from core machines by bits.
    pub(super) fn cut_from_cores(&mut self, host: Host, cores: u32, direction: Direction, for_ms: u64) {
        let cut_from = self.present_cores().into_iter().filter(|core| cores >> (core % 32) & 1 == 1);
        let pairs = cut_from.map(|core| (host, Host::Core(core))).collect();
        self.calm.begin(Subject::Machine(host));
        let subjects = vec![Subject::Machine(host)];
        let takes_in_joining = cores == u32::MAX;
        self.cut(OpenCut { subjects, takes_in_joining, ..OpenCut::new(pairs, direction) }, for_ms);
    }

    /// A cut ends.
    pub(super) fn heal(&mut self, number: u64) {
        let Some(cut) = self.open_cuts.remove(&number) else { return };
        let OpenCut { paths, subjects, cores, cut_off, refuses, .. } = cut;
        paths.iter().filter(|_| refuses).for_each(|path| self.network.end_refusal(*path));
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
        for core in cut_off {
            if !self.open_cuts.values().any(|cut| cut.cut_off.contains(&core)) {
                self.cut_off.remove(&core);
            }
        }
        self.calm.end(self.now, Subject::Links);
        self.ended(&subjects, &cores);
    }

    /// Whether a core machine is in trouble by a cut that lasts.
    pub(super) fn is_behind_a_cut(&self, core: usize) -> bool {
        self.open_cuts.values().any(|cut| cut.cores.contains(&core))
    }

    /// A cut refuses what would open a connection, and says nothing to the rest.
    pub(super) fn refuse_at_cut(&mut self, stream: Stream, delivery: Delivery) {
        let refusal = match &delivery.message {
            Message::LinkOpen(link) => Message::LinkReset(*link),
            Message::Call(number, _) => Message::CallAnswered(*number, None),
            _ => return self.network.hold(self.now, delivery.path, stream, delivery),
        };
        let path = delivery.path.back();
        let back = Delivery { path, from_life: 0, to_life: Some(delivery.from_life), message: refusal };
        self.events.add(self.now + 1, Event::Deliver(back));
    }

    /// Packets between all core machines are lost.
    pub(super) fn lose_packets_in_core(&mut self, for_ms: u64) -> Outcome {
        let present = self.present_cores();
        let pairs = present.iter().flat_map(|one| present.iter().map(move |other| (*one, *other)));
        let paths = pairs.filter(|(one, other)| one != other);
        let paths = paths.map(|(one, other)| Path { from: Host::Core(one), to: Host::Core(other) }).collect();
        // Slow links on all sides may make every core machine seem lost.
        present.iter().for_each(|core| self.lost.begin(*core));
        self.calm.begin(Subject::Majority);
        self.calm.begin(Subject::Core);
        self.lose_packets(paths, vec![Subject::Core, Subject::Majority], present, for_ms);
        Outcome::Begun
    }

    /// Packets between an edge machine and the core are lost.
    pub(super) fn lose_packets_of_edge(&mut self, number: usize, for_ms: u64) {
        let host = Host::Edge(number % self.edges.len());
        let cores = self.present_cores().into_iter();
        let paths = cores.flat_map(|core| paths(host, Host::Core(core), Direction::Both)).collect();
        self.calm.begin(Subject::Machine(host));
        self.lose_packets(paths, vec![Subject::Machine(host)], Vec::new(), for_ms);
    }

    fn lose_packets(&mut self, paths: Vec<Path>, subjects: Vec<Subject>, cores: Vec<usize>, for_ms: u64) {
        self.calm.begin(Subject::Links);
        paths.iter().for_each(|path| self.network.begin_loss(*path));
        let ending = Ending::PacketsPass { paths, subjects, cores };
        self.events.add(self.now + for_ms, Event::FaultEnds(ending));
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
