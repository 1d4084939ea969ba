//! Replicas in virtual time on a network that loses, repeats and reorders, with disks and processes that fail by seed.

pub mod disk;
pub mod faults;
pub mod history;

use std::collections::BTreeMap;

use bytes::Bytes;
use disk::{Disk, Finished};
use faults::{Faults, Plan};
use history::{content_of, data_of, Content, History, Violation};
use switchhill_register::{
    Accepted, Body, Input, Member, Message, Output, RegisterError, Replica, ReplicaId,
};

/// Time between two ticks of a replica, in milliseconds.
const TICK_MS: u64 = 20;

/// Time between two rounds of telling each other the newest chosen value, in milliseconds.
const GOSSIP_MS: u64 = 300;

/// How long faults go on, in milliseconds.
const TROUBLE_MS: u64 = 4_000;

/// How long the replicas have to agree afterwards, in milliseconds.
const CALM_MS: u64 = 3_000;

/// How long the last reads may take, in milliseconds: a little over the longest operation.
const READ_BACK_MS: u64 = 2_600;

/// A machine: an address that keeps its place while disks and processes come and go.
pub struct Machine {
    pub address: String,
    pub id: ReplicaId,
    /// `None` while the process is down.
    pub replica: Option<Replica>,
    pub disk: Disk,
    pub restart_at: Option<u64>,
    /// Cut off from all others until then.
    pub cut_until: u64,
    /// What its clients wait for, by operation.
    waiting: BTreeMap<u64, Waiting>,
}

/// An operation under way.
#[derive(Clone, Copy, Debug)]
enum Waiting {
    Read { started: u64 },
    Prepare,
    Write { content: Content },
}

struct Packet {
    from: ReplicaId,
    address: String,
    bytes: Bytes,
}

pub struct World {
    pub seed: u64,
    pub now: u64,
    pub random: fastrand::Rng,
    pub machines: Vec<Machine>,
    pub history: History,
    pub faults: Faults,
    /// By the time they are due and the order of sending.
    packets: BTreeMap<(u64, u64), Packet>,
    packets_sent: u64,
    deltas_sent: usize,
    values_needed: usize,
    next_id: u64,
    next_operation: u64,
}

impl World {
    pub fn new(seed: u64, plan: Plan) -> World {
        let mut world = World {
            seed,
            now: 0,
            random: fastrand::Rng::with_seed(seed),
            machines: Vec::new(),
            history: History::default(),
            faults: Faults::new(plan),
            packets: BTreeMap::new(),
            packets_sent: 0,
            deltas_sent: 0,
            values_needed: 0,
            next_id: 1,
            next_operation: 1,
        };
        world.found(plan.seeds);
        for _ in 0..plan.spares {
            world.add_joining_machine();
        }
        world
    }

    fn found(&mut self, count: usize) {
        let seeds: Vec<Member> = (0..count).map(|_| self.new_member()).collect();
        for member in &seeds {
            let replica = Replica::genesis(member.id, seeds.clone(), self.random.u64(..));
            self.add_machine(member.clone(), replica);
        }
    }

    fn new_member(&mut self) -> Member {
        let id = self.new_id();
        Member { id, address: format!("machine-{}", id.0) }
    }

    pub fn new_id(&mut self) -> ReplicaId {
        self.next_id += 1;
        ReplicaId(self.next_id - 1)
    }

    fn add_joining_machine(&mut self) {
        let member = self.new_member();
        let replica = Replica::joining(member.id, self.random.u64(..));
        self.add_machine(member, replica);
    }

    fn add_machine(&mut self, member: Member, replica: Replica) {
        let disk = Disk::new(replica.records());
        self.machines.push(Machine {
            address: member.address,
            id: member.id,
            replica: Some(replica),
            disk,
            restart_at: None,
            cut_until: 0,
            waiting: BTreeMap::new(),
        });
    }

    /// Plays a day: trouble, then calm, then a read that must see all that was written.
    pub fn run(mut self) -> Result<Day, Violation> {
        while self.now < TROUBLE_MS {
            self.step();
            faults::strike(&mut self);
            self.start_client_operations();
        }
        self.run_calm();
        let written = self.history.written();
        let last_read = self.read_back();
        self.history.check()?;
        let World { deltas_sent, values_needed, .. } = self;
        Ok(Day { written, last_read, deltas_sent, values_needed })
    }

    fn run_calm(&mut self) {
        faults::heal(self);
        let end = self.now + CALM_MS;
        while self.now < end {
            self.step();
        }
    }

    /// Reads on every machine; returns whether the last of the reads succeeded.
    fn read_back(&mut self) -> bool {
        for machine in 0..self.machines.len() {
            self.start_read(machine);
        }
        let end = self.now + READ_BACK_MS;
        while self.now < end && self.machines.iter().any(|machine| !machine.waiting.is_empty()) {
            self.step();
        }
        self.faults.last_read_succeeded
    }

    pub fn step(&mut self) {
        self.now += 1;
        self.deliver_due();
        for machine in 0..self.machines.len() {
            self.restart_if_due(machine);
            self.advance_disk(machine);
            if (self.now + machine as u64 * 7).is_multiple_of(TICK_MS) {
                self.handle(machine, Input::Tick);
            }
        }
        if self.now.is_multiple_of(GOSSIP_MS) {
            self.gossip();
        }
    }

    fn deliver_due(&mut self) {
        let now = self.now;
        while let Some(packet) = self.take_due_packet() {
            let receiver = self.machines.iter().position(|machine| machine.address == packet.address);
            if let Some(machine) = receiver.filter(|machine| self.machines[*machine].cut_until <= now) {
                let message = Message::decode(&packet.bytes).expect("messages decode");
                self.handle(machine, Input::Message { from: packet.from, message });
            }
        }
    }

    fn take_due_packet(&mut self) -> Option<Packet> {
        let first = self.packets.first_entry()?;
        (first.key().0 <= self.now).then(|| first.remove())
    }

    fn restart_if_due(&mut self, machine: usize) {
        if self.machines[machine].restart_at.is_some_and(|at| at <= self.now) {
            let seed = self.random.u64(..);
            let machine = &mut self.machines[machine];
            let records = machine.disk.records().to_vec();
            machine.replica = Some(Replica::recover(machine.id, records.into_iter(), seed));
            machine.restart_at = None;
        }
    }

    fn advance_disk(&mut self, machine: usize) {
        for finished in self.machines[machine].disk.advance(self.now) {
            let input = match finished {
                Finished::Persisted(token) => Input::Persisted { token },
                Finished::Failed(token) => Input::PersistFailed { token },
            };
            self.handle(machine, input);
        }
    }

    /// Machines tell each other the newest value they know to be chosen, as heartbeats lead them to.
    fn gossip(&mut self) {
        let reachable: Vec<usize> = (0..self.machines.len())
            .filter(|machine| self.machines[*machine].cut_until <= self.now)
            .collect();
        let told: Vec<Accepted> = reachable
            .iter()
            .filter_map(|machine| self.machines[*machine].replica.as_ref()?.committed().cloned())
            .collect();
        let Some(newest) = told.into_iter().max_by_key(|accepted| accepted.ballot) else {
            return;
        };
        for machine in reachable {
            if self.random.u32(0..3) > 0 {
                self.handle(machine, Input::Learn { accepted: newest.clone() });
            }
        }
    }

    pub fn handle(&mut self, machine: usize, input: Input) {
        let now = self.now;
        let Some(replica) = &mut self.machines[machine].replica else {
            return;
        };
        for output in replica.handle(now, input) {
            self.carry_out(machine, output);
        }
    }

    fn carry_out(&mut self, machine: usize, output: Output) {
        match output {
            Output::Send { to, address, message } => self.send(machine, to, address, message),
            Output::Persist { token, record } => {
                let due = self.now + self.random.u64(0..4);
                self.machines[machine].disk.write(token, record, due);
            }
            Output::Prepared { operation, current } => self.write(machine, operation, current),
            Output::Done { operation, result } => self.done(machine, operation, &result),
            Output::Committed(accepted) => self.history.see_chosen(&accepted),
        }
    }

    fn send(&mut self, machine: usize, to: ReplicaId, address: String, message: Message) {
        assert_eq!(to, message.to, "seed {}", self.seed);
        match &message.body {
            Body::Accept { ballot, value } => self.faults.note_proposed(*ballot, &value.electorate),
            Body::AcceptDelta { ballot, delta } => {
                self.deltas_sent += 1;
                self.faults.note_proposed(*ballot, &delta.electorate);
            }
            Body::ValueNeeded { .. } => self.values_needed += 1,
            _ => {}
        }
        let sender = &self.machines[machine];
        if sender.cut_until > self.now || self.random.f64() < self.faults.loss {
            return;
        }
        let address = if address.is_empty() { self.address_of(to) } else { address };
        if self.faults.parts(self.now, &sender.address, &address) {
            return;
        }
        let from = sender.id;
        let copies = if self.random.f64() < self.faults.duplication { 2 } else { 1 };
        for _ in 0..copies {
            let due = self.now + 1 + self.faults.delay(&mut self.random);
            let packet = Packet { from, address: address.clone(), bytes: message.encode() };
            self.packets_sent += 1;
            self.packets.insert((due, self.packets_sent), packet);
        }
    }

    fn address_of(&self, id: ReplicaId) -> String {
        let machine = self.machines.iter().find(|machine| machine.id == id);
        machine.map(|machine| machine.address.clone()).unwrap_or_default()
    }

    fn start_client_operations(&mut self) {
        for machine in 0..self.machines.len() {
            let idle = self.machines[machine].waiting.len() < 2;
            match self.random.u32(0..1_000) {
                0..=4 if idle => self.start_change(machine),
                5..=7 if idle => self.start_read(machine),
                _ => {}
            }
        }
    }

    fn start_change(&mut self, machine: usize) {
        let operation = self.wait_for(machine, Waiting::Prepare);
        self.handle(machine, Input::Begin { operation });
    }

    fn start_read(&mut self, machine: usize) {
        let operation = self.wait_for(machine, Waiting::Read { started: self.now });
        self.handle(machine, Input::Read { operation });
    }

    fn wait_for(&mut self, machine: usize, waiting: Waiting) -> u64 {
        let operation = self.next_operation;
        self.next_operation += 1;
        if self.machines[machine].replica.is_some() {
            self.machines[machine].waiting.insert(operation, waiting);
        }
        operation
    }

    fn write(&mut self, machine: usize, operation: u64, current: Option<Accepted>) {
        if self.random.u32(0..20) == 0 {
            self.machines[machine].waiting.remove(&operation);
            self.handle(machine, Input::Abandon { operation });
            return;
        }
        // The number of an operation is unique, and so is the content it writes.
        let content = operation;
        let predecessor = current.as_ref().map(|current| content_of(&current.value));
        self.machines[machine].waiting.insert(operation, Waiting::Write { content });
        self.history.write_started(self.now, content, predecessor);
        let members = faults::new_members(self, current.as_ref());
        let data = data_of(content);
        self.handle(machine, Input::Write { operation, data, members });
    }

    fn done(&mut self, machine: usize, operation: u64, result: &Result<Accepted, RegisterError>) {
        let now = self.now;
        match self.machines[machine].waiting.remove(&operation) {
            Some(Waiting::Read { started }) => {
                self.faults.last_read_succeeded = result.is_ok();
                self.history.read_ended(started, now, result);
            }
            Some(Waiting::Write { content }) => {
                self.history.write_ended(now, content, result);
                faults::strike_after_write(self, result);
            }
            Some(Waiting::Prepare) | None => {}
        }
    }

    /// The process of a machine is gone; its clients never hear of it again.
    pub fn crash(&mut self, machine: usize, restart_at: u64) {
        let machine = &mut self.machines[machine];
        if machine.replica.take().is_some() {
            machine.disk.crash(&mut self.random);
            machine.waiting.clear();
        }
        machine.restart_at = Some(restart_at);
    }

    /// The disk of a machine is gone with its process. It comes back as a new replica at the same address.
    pub fn wipe(&mut self, machine: usize, restart_at: u64) {
        let keeps_id = self.faults.plan.wiped_keeps_id;
        let id = if keeps_id { self.machines[machine].id } else { self.new_id() };
        self.crash(machine, restart_at);
        let machine = &mut self.machines[machine];
        machine.id = id;
        machine.disk = Disk::new(Vec::new());
    }
}

/// What a day came to.
#[derive(Debug)]
pub struct Day {
    pub written: usize,
    /// Proposals that were told by their difference from the value before.
    pub deltas_sent: usize,
    /// Answers that ask for a whole value instead.
    pub values_needed: usize,
    /// Whether the register could be read in the end.
    pub last_read: bool,
}
