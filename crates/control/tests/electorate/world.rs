//! Simulates core nodes in virtual time with their network, disks and restarts.

use crate::checker::{is_tolerated, lost_now, Checker, Figures};
use crate::faults::{Fault, Faults};
use crate::machine::{Disk, Machine, ProcessState};
use crate::node_settings::node_settings;
use crate::operator::{AnswerOutcome, Operator};
use crate::site::{Flaw, Site};
use std::collections::{BTreeMap, VecDeque};
use switchhill_control::{ControlNode, Input, NodeSettings, Output};
use switchhill_protocol::{PeerBody, PeerFrame};
use switchhill_register::{Body, Electorate, Member, Message, ReplicaId};

/// Number of machines in the first electorate.
const FIRST_VOTERS: usize = 3;

/// Time of the first event; it is above zero so that earlier times can be represented.
pub const START_MS: u64 = 1_000_000;

/// Time without faults at the end of a run, longer than any fault.
const RECOVERY_MS: u64 = 25_000;

/// Time for the final reads.
const READ_BACK_MS: u64 = 3_000;

const TICK_MS: u64 = 25;
const CHECK_MS: u64 = 10;
const OPERATOR_MS: u64 = 150;

/// Duration of a disk sync.
const SYNC_MS: u64 = 5;

/// Longest time that a terminating process waits before it exits, as in the program: `graceS` minus one second.
const MAX_LEAVE_MS: u64 = 7_000;

/// An event of the simulation.
pub enum Event {
    Tick(usize, u64),
    Deliver(String, Box<PeerFrame>),
    Synced(usize, u64),
    Start(usize),
    Thaw(usize),
    Operate,
    Check,
    Fault,
    /// Injects a fault into the machine that sent the first message of an electorate change, or into a majority.
    FaultDuringChange(Fault, usize),
    /// Starts a replacement in this seat.
    StartReplacement(usize),
    /// Asks a machine to terminate; the flag tells whether it restarts.
    Terminate(usize, bool),
}

pub struct World {
    pub now: u64,
    pub site: Site,
    pub flaw: Option<Flaw>,
    pub seed: u64,
    pub random: fastrand::Rng,
    pub machines: Vec<Machine>,
    pub faults: Faults,
    pub checker: Checker,
    pub operator: Operator,
    pub seeds: Vec<String>,
    last_acknowledged: u64,
    started: u64,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_address: u64,
    /// Whether reads must return the newest acknowledged order, because all faults have ended.
    checks_reads: bool,
}

impl World {
    pub fn new(seed: u64, site: Site, flaw: Option<Flaw>) -> World {
        let mut world = World {
            now: START_MS,
            site,
            flaw,
            seed,
            random: fastrand::Rng::with_seed(seed),
            machines: Vec::new(),
            faults: Faults::default(),
            checker: Checker::default(),
            operator: Operator::default(),
            seeds: Vec::new(),
            last_acknowledged: START_MS,
            started: START_MS,
            events: BTreeMap::new(),
            next_event: 0,
            next_address: 0,
            checks_reads: false,
        };
        for (seat, zone) in site.zone_of_each().into_iter().enumerate() {
            world.add_machine(seat, zone);
        }
        world.seeds =
            world.machines.iter().take(FIRST_VOTERS).map(|machine| machine.address.clone()).collect();
        for index in 0..world.machines.len() {
            world.machines[index].genesis = index < FIRST_VOTERS;
            let at = world.now + world.random.u64(0..300);
            world.add(at, Event::Start(index));
        }
        world.add(world.now, Event::Check);
        world.add(world.now + 1_500, Event::Operate);
        world
    }

    /// Adds a machine whose process is not running yet.
    pub fn add_machine(&mut self, seat: usize, zone: usize) -> usize {
        self.next_address += 1;
        let address = format!("10.0.0.{}:7000", self.next_address);
        // Random replica ids place replacements before and after the other machines in the agreed order.
        let replica = self.random.u64(1..1 << 40);
        self.machines.push(Machine {
            seat,
            zone,
            address,
            replica,
            genesis: false,
            process: ProcessState::Down,
            disk: Disk::default(),
            incarnation: 0,
            partitioned_until: 0,
            inbound_blocked_until: 0,
            outbound_blocked_until: 0,
            healthy_since: None,
            terminating_since: None,
            will_restart: false,
        });
        self.machines.len() - 1
    }

    pub fn add(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((at.max(self.now), self.next_event), event);
    }

    /// Runs the simulation until `end`.
    pub fn run_until(&mut self, end: u64) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > end {
                break;
            }
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = end;
    }

    /// Runs fault injection, then recovery, then reads that must return all acknowledged orders.
    pub fn run(mut self, faults_ms: u64) -> (Figures, Vec<String>) {
        let start = self.now;
        self.run_until(start + 6_000);
        self.add(self.now, Event::Fault);
        self.run_until(start + 6_000 + faults_ms);
        self.finish(RECOVERY_MS)
    }

    /// Stops the fault injection, waits for recovery and checks the final state.
    pub fn finish(mut self, recovery_ms: u64) -> (Figures, Vec<String>) {
        self.faults.is_over = true;
        self.run_until(self.now + recovery_ms);
        self.checks_reads = true;
        let acknowledged = self.checker.figures.acknowledged;
        for index in 0..self.machines.len() {
            let (id, call) = self.operator.read(self.now);
            self.input(index, Input::Call(id, call));
        }
        self.run_until(self.now + READ_BACK_MS);
        if self.checker.figures.acknowledged == acknowledged {
            self.checker.violations.push("no order is acknowledged after all faults have ended".into());
        }
        self.check_last_electorate();
        let seed = self.seed;
        let violations = self.checker.violations.iter().map(|violation| format!("seed {seed}: {violation}"));
        (self.checker.figures, violations.collect())
    }

    /// Checks that all members of the final electorate are running, and that there are enough of them.
    fn check_last_electorate(&mut self) {
        let Some(electorate) = self.checker.electorate().cloned() else { return };
        let up = |member: &&Member| {
            let mut of_member = self.machines.iter().filter(|machine| machine.replica == member.id.0);
            of_member.any(|machine| !machine.is_faulty(self.now))
        };
        let members_up = electorate.members.iter().filter(up).count();
        let least = (2 * self.site.machines_lost + 1).min(self.site.machines());
        if electorate.is_joint() || members_up < electorate.members.len() || members_up < least {
            self.checker
                .violations
                .push(format!("the final electorate has {members_up} running members: {electorate:?}"));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index, incarnation) => self.tick(index, incarnation),
            Event::Deliver(address, frame) => self.deliver(&address, *frame),
            Event::Synced(index, incarnation) => self.synced(index, incarnation),
            Event::Start(index) => self.start(index),
            Event::Thaw(index) => self.thaw(index),
            Event::Operate => self.operate(),
            Event::Check => self.check(),
            Event::Fault => crate::faults::inject_next(self),
            Event::FaultDuringChange(fault, index) => crate::faults::inject_during_change(self, fault, index),
            Event::StartReplacement(seat) => self.start_replacement(seat),
            Event::Terminate(index, restarts) => self.terminate(index, restarts),
        }
    }

    fn check(&mut self) {
        self.add(self.now + CHECK_MS, Event::Check);
        let now = self.now;
        for machine in &mut self.machines {
            machine.update_health(now);
        }
        self.checker.check(now, &self.site, &self.machines);
        let lost = lost_now(&self.site, &self.machines, now);
        if !is_tolerated(&self.site, &lost) {
            self.last_acknowledged = now;
            self.checker.discard_losses();
        }
        if now > self.started + 10_000 {
            let waited = now - self.last_acknowledged;
            let figures = &mut self.checker.figures;
            figures.longest_unacknowledged = figures.longest_unacknowledged.max(waited);
        }
    }

    fn operate(&mut self) {
        self.add(self.now + OPERATOR_MS, Event::Operate);
        let up = (0..self.machines.len()).filter(|index| !self.machines[*index].is_faulty(self.now));
        let up: Vec<usize> = up.collect();
        if let Some(index) = self.random.choice(up) {
            let (id, call) = self.operator.next(self.now);
            self.input(index, Input::Call(id, call));
        }
    }

    /// Starts a machine's process from the records on its disk.
    fn start(&mut self, index: usize) {
        if !matches!(self.machines[index].process, ProcessState::Down) {
            return;
        }
        let incarnation = self.random.u64(..);
        let settings = self.settings(index, incarnation);
        let machine = &mut self.machines[index];
        let records = machine.disk.synced.clone();
        let first = machine.genesis && records.is_empty();
        let genesis = first.then(|| {
            let members = self.machines.iter().take(FIRST_VOTERS);
            let member = |m: &Machine| Member { id: ReplicaId(m.replica), address: m.address.clone() };
            members.map(member).collect()
        });
        let machine = &mut self.machines[index];
        machine.process =
            ProcessState::Running(Box::new(ControlNode::new(self.now, settings, records, genesis)));
        machine.incarnation += 1;
        machine.terminating_since = None;
        machine.will_restart = false;
        let (seat, incarnation) = (machine.seat, machine.incarnation);
        self.checker.record_return(seat, self.now);
        self.add(self.now, Event::Tick(index, incarnation));
    }

    fn settings(&self, index: usize, incarnation: u64) -> NodeSettings {
        let machine = &self.machines[index];
        let removes_below_quorum = self.flaw == Some(Flaw::DropsBelowQuorum);
        let ignores_zones = self.flaw == Some(Flaw::IgnoresZones);
        NodeSettings {
            node_name: format!("core-{index}"),
            machines_lost: if removes_below_quorum { 0 } else { self.site.machines_lost },
            zone: format!("zone-{}", machine.zone),
            zones_lost: if ignores_zones { 0 } else { self.site.zones_lost },
            worker_heartbeat_ms: 1_200,
            lease_ms: 3_000,
            ..node_settings(machine.replica, incarnation, machine.address.clone(), self.seeds.clone())
        }
    }

    fn tick(&mut self, index: usize, incarnation: u64) {
        if self.machines[index].incarnation != incarnation
            || matches!(self.machines[index].process, ProcessState::Down | ProcessState::Removed)
        {
            return;
        }
        self.add(self.now + TICK_MS, Event::Tick(index, incarnation));
        if matches!(self.machines[index].process, ProcessState::Running(_)) {
            self.input(index, Input::Tick);
        }
        self.exit_if_allowed(index);
    }

    fn exit_if_allowed(&mut self, index: usize) {
        let machine = &self.machines[index];
        let (Some(since), Some(node)) = (machine.terminating_since, machine.node()) else { return };
        let at_once = self.flaw == Some(Flaw::LeavesAtOnce);
        if at_once || self.now >= since + MAX_LEAVE_MS || node.may_leave(self.now) {
            let restart_delay = self.faults.returning.remove(&index);
            self.stop(index, restart_delay.is_none());
            if let Some(pause) = restart_delay {
                self.add(self.now + pause, Event::Start(index));
            }
        }
    }

    fn terminate(&mut self, index: usize, restarts: bool) {
        let machine = &self.machines[index];
        let others = self.machines.iter().filter(|other| other.seat == machine.seat);
        let is_replaced = others.filter(|other| other.is_available(self.now)).count() > 1;
        if !matches!(machine.process, ProcessState::Running(_)) || !(restarts || is_replaced) {
            if !restarts && !self.machines[index].is_removed() {
                self.add(self.now + 500, Event::Terminate(index, false));
            }
            return;
        }
        if restarts {
            let pause = self.random.u64(200..1_500);
            self.faults.returning.insert(index, pause);
            self.machines[index].will_restart = true;
        }
        self.machines[index].terminating_since.get_or_insert(self.now);
        self.input(index, Input::Leave);
    }

    /// Stops a machine's process, permanently if the machine is removed.
    pub fn stop(&mut self, index: usize, permanently: bool) {
        self.checker.record_committed(&self.machines[index]);
        let random = &mut self.random;
        let machine = &mut self.machines[index];
        if matches!(machine.process, ProcessState::Removed) {
            return;
        }
        machine.disk.crash(random);
        machine.process = if permanently { ProcessState::Removed } else { ProcessState::Down };
        machine.healthy_since = None;
        let (seat, now) = (machine.seat, self.now);
        let seat_is_held = self.machines.iter().any(|other| other.seat == seat && other.is_available(now));
        if !seat_is_held {
            self.checker.record_loss(seat, now);
            self.checker.discard_return(seat);
        }
    }

    /// Erases the disk of a stopped machine, which then restarts as another replica at the same address.
    pub fn wipe(&mut self, index: usize) {
        let id = self.random.u64(1..1 << 40);
        let machine = &mut self.machines[index];
        machine.disk = Disk::default();
        machine.genesis = false;
        if self.flaw != Some(Flaw::WipedKeepsId) {
            machine.replica = id;
        }
    }

    fn start_replacement(&mut self, seat: usize) {
        let zone = self.site.zone_of_each()[seat];
        let index = self.add_machine(seat, zone);
        let up = self.machines.iter().filter(|machine| machine.node().is_some());
        let mut seeds: Vec<String> = up.map(|machine| machine.address.clone()).collect();
        seeds.truncate(FIRST_VOTERS);
        if !seeds.is_empty() {
            self.seeds = seeds;
        }
        self.start(index);
    }

    pub fn freeze(&mut self, index: usize, until: u64) {
        let machine = &mut self.machines[index];
        if let ProcessState::Running(node) = std::mem::replace(&mut machine.process, ProcessState::Down) {
            machine.process = ProcessState::Frozen(node, Vec::new());
            machine.healthy_since = None;
            self.add(until, Event::Thaw(index));
        }
    }

    fn thaw(&mut self, index: usize) {
        let machine = &mut self.machines[index];
        match std::mem::replace(&mut machine.process, ProcessState::Down) {
            ProcessState::Frozen(node, inputs) => {
                machine.process = ProcessState::Running(node);
                for input in inputs {
                    self.input(index, input);
                }
            }
            other => machine.process = other,
        }
    }

    fn synced(&mut self, index: usize, incarnation: u64) {
        if self.machines[index].incarnation != incarnation {
            return;
        }
        let stalled_until = self.machines[index].disk.stalled_until;
        if self.now < stalled_until {
            self.add(stalled_until, Event::Synced(index, incarnation));
        } else if let Some(token) = self.machines[index].disk.advance(self.now) {
            self.input(index, Input::Persisted(token));
        }
    }

    fn deliver(&mut self, address: &str, frame: PeerFrame) {
        let receiver = self.machines.iter().position(|machine| machine.address == address);
        let Some(index) = receiver.filter(|index| self.machines[*index].can_receive(self.now)) else {
            return;
        };
        self.input(index, Input::Peer(frame));
    }

    /// Passes an input to a machine's node and executes the outputs.
    pub fn input(&mut self, index: usize, input: Input) {
        let outputs = match &mut self.machines[index].process {
            ProcessState::Running(node) => node.handle(self.now, input),
            ProcessState::Frozen(_, waiting) => {
                waiting.push(input);
                return;
            }
            ProcessState::Down | ProcessState::Removed => return,
        };
        let mut outputs = VecDeque::from(outputs);
        let incarnation = self.machines[index].incarnation;
        while let Some(output) = outputs.pop_front() {
            let machine = &self.machines[index];
            if machine.incarnation != incarnation || !matches!(machine.process, ProcessState::Running(_)) {
                return;
            }
            self.execute(index, output);
        }
    }

    fn execute(&mut self, index: usize, output: Output) {
        match output {
            Output::Peers(addresses, frame) => {
                for address in addresses {
                    self.send(index, address, frame.clone());
                }
            }
            Output::Persist(token, record) => {
                let due = self.now + SYNC_MS + self.random.u64(0..4);
                let machine = &mut self.machines[index];
                machine.disk.pending.push_back((due, token, record));
                let incarnation = machine.incarnation;
                self.add(due + 4, Event::Synced(index, incarnation));
            }
            Output::Answer(id, answer) => {
                if !self.machines[index].can_send(self.now) {
                    return;
                }
                match self.operator.answered(id, &answer) {
                    AnswerOutcome::Acknowledged(sent) => {
                        self.last_acknowledged = self.now;
                        self.checker.acknowledged(sent.base, sent.revision, sent.marker);
                        crate::faults::inject_after_acknowledgement(self);
                    }
                    AnswerOutcome::Read { revision, marker } if self.checks_reads => {
                        self.checker.read_back(revision, marker)
                    }
                    _ => {}
                }
            }
            _ => {}
        }
    }

    fn send(&mut self, index: usize, address: String, frame: PeerFrame) {
        if let Some(electorate) = proposed_electorate(&frame) {
            crate::faults::schedule_at_change(self, index, &electorate);
        }
        if !self.machines[index].can_send(self.now) || self.random.u32(0..100) < self.faults.loss_percent() {
            return;
        }
        let copies = if self.random.u32(0..50) == 0 { 2 } else { 1 };
        for _ in 0..copies {
            let jitter_ms = if self.random.u32(0..40) == 0 { 120 } else { 4 };
            let at = self.now + 1 + self.random.u64(0..jitter_ms);
            self.add(at, Event::Deliver(address.clone(), Box::new(frame.clone())));
        }
    }
}

/// The electorate proposed by an accept message.
fn proposed_electorate(frame: &PeerFrame) -> Option<Electorate> {
    let Some(PeerBody::Register(envelope)) = &frame.body else { return None };
    match Message::decode(&envelope.message).ok()?.body {
        Body::Accept { value, .. } => Some(value.electorate),
        Body::AcceptDelta { delta, .. } => Some(delta.electorate),
        _ => None,
    }
}
