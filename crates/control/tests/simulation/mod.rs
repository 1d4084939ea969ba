//! Deterministic simulation of core nodes, operators, workers, agents and data planes in virtual time, driven by a
//! seed.
//!
//! Nodes, agents and data planes are the production state machines. The network, disks and processes are modelled:
//! message delay, loss and duplication, one-way partitions, process pauses, and restarts with the disk kept or lost.
#![allow(dead_code)]

pub mod checkers;
pub mod core_machine;
pub mod edge_machine;
pub mod faults;
pub mod flaws;
#[path = "../node_settings/mod.rs"]
pub mod node_settings;
pub mod operator;
pub mod worker;

use bytes::Bytes;
use checkers::{Checkers, MessageKind};
use core_machine::CoreMachine;
use edge_machine::EdgeMachine;
use faults::{Fault, Network};
use flaws::Flaw;
use operator::Operator;
use std::collections::BTreeMap;
use switchhill_control::{Answer, Call, CallId, Input, Output, SubscriberId};
use switchhill_distribution::{LinkId, RelayInput};
use switchhill_protocol::{Downstream, PeerFrame, Upstream};
use worker::Worker;

/// Interval between two ticks of a process.
const TICK_INTERVAL_MS: u64 = 50;

/// Length of the fault-free period at the end of a run.
pub const FAULT_FREE_END_MS: u64 = 7_000;

/// Parameters of a simulation run.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Number of core machines.
    pub cores: usize,
    /// Number of machines with an agent and a data plane.
    pub edges: usize,
    pub operators: usize,
    pub workers: usize,
    /// Faults, with the milliseconds from the start of the run.
    pub faults: Vec<(u64, Fault)>,
    /// Length of the run in milliseconds.
    pub ends_at: u64,
    /// Percentage of calls and worker heartbeats that are directed at isolated core machines.
    pub isolated_target_percent: u32,
    /// Loss rate, and likewise duplication rate, of messages between core machines, in per mille.
    pub disruption_per_mille: u32,
    /// Flaw injected into every core node.
    pub flaw: Option<Flaw>,
}

impl Plan {
    /// A run without scheduled faults, operators or workers: the test drives it.
    pub fn script(cores: usize, edges: usize) -> Plan {
        Plan {
            seed: 1,
            cores,
            edges,
            operators: 0,
            workers: 0,
            faults: Vec::new(),
            ends_at: 60_000,
            isolated_target_percent: 0,
            disruption_per_mille: 0,
            flaw: None,
        }
    }
}

/// A connection of an agent to a core node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Connection {
    pub edge: usize,
    pub edge_incarnation: u64,
    pub link: LinkId,
    pub core: usize,
    pub core_incarnation: u64,
    pub subscriber: SubscriberId,
}

/// Originator of a call, with its index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller {
    Operator(usize),
    Worker(usize),
}

/// A scheduled event.
#[derive(Debug, Clone)]
pub enum Event {
    Tick(usize, u64),
    EdgeTick(usize, u64),
    Step(Caller),
    Fault(Fault),
    Peer { from: usize, to: usize, frame: PeerFrame },
    Persisted { core: usize, incarnation: u64, token: u64, record: Bytes },
    Connected(Connection),
    ConnectFailed { edge: usize, edge_incarnation: u64, link: LinkId },
    Disconnected(Connection),
    ToCore(Connection, Upstream),
    ToEdge(Connection, Downstream),
    Called { caller: Caller, number: u64, core: usize, call: Call },
    Answered { caller: Caller, number: u64, core: usize, answer: Answer },
    WorkerAnswer { core: usize, incarnation: u64, input: Input },
}

/// A call in progress at a core machine.
#[derive(Debug, Clone)]
pub struct OpenCall {
    pub caller: Caller,
    pub number: u64,
    pub kind: MessageKind,
    /// When it reached the node.
    pub arrived: u64,
}

/// State of the simulation: machines, clients and scheduled events.
pub struct World {
    pub now: u64,
    pub plan: Plan,
    pub random: fastrand::Rng,
    pub network: Network,
    pub cores: Vec<CoreMachine>,
    pub edges: Vec<EdgeMachine>,
    pub operators: Vec<Operator>,
    pub workers: Vec<Worker>,
    pub checkers: Checkers,
    pub calls: BTreeMap<CallId, OpenCall>,
    /// All answers of core nodes, including those lost in transit.
    pub answers: BTreeMap<CallId, Answer>,
    /// Core machine to which all register messages are dropped.
    pub register_unreachable: Option<usize>,
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_call: u64,
    /// Connection messages held back by a partition, in order of sending.
    held: Vec<Event>,
    /// Arrival time of the last message per direction of a connection, which keeps delivery in order.
    last_arrival: BTreeMap<(bool, Connection), u64>,
}

impl World {
    pub fn new(plan: Plan) -> World {
        let mut world = World {
            now: 1_000_000,
            random: fastrand::Rng::with_seed(plan.seed),
            network: Network::new(plan.cores + plan.edges),
            cores: Vec::new(),
            edges: Vec::new(),
            operators: (0..plan.operators).map(Operator::new).collect(),
            workers: (0..plan.workers).map(Worker::new).collect(),
            checkers: Checkers::new(plan.cores),
            calls: BTreeMap::new(),
            answers: BTreeMap::new(),
            register_unreachable: None,
            queue: BTreeMap::new(),
            next_event: 0,
            next_call: 0,
            held: Vec::new(),
            last_arrival: BTreeMap::new(),
            plan,
        };
        world.start();
        world
    }

    fn start(&mut self) {
        for core in 0..self.plan.cores {
            self.cores.push(CoreMachine::new(core));
            self.start_core(core, true);
        }
        for edge in 0..self.plan.edges {
            self.edges.push(EdgeMachine::new(edge));
            self.start_edge(edge);
        }
        for operator in 0..self.plan.operators {
            self.after(1_500 + 100 * operator as u64, Event::Step(Caller::Operator(operator)));
        }
        for worker in 0..self.plan.workers {
            self.after(1_000 + 70 * worker as u64, Event::Step(Caller::Worker(worker)));
        }
        for (at, fault) in self.plan.faults.clone() {
            self.after(at, Event::Fault(fault));
        }
    }

    /// Runs to the end of the plan and checks the final state.
    pub fn run(&mut self) {
        let ends_at = self.now + self.plan.ends_at;
        self.run_until(ends_at);
        self.checkers.end();
    }

    /// Runs for a number of milliseconds.
    pub fn run_for(&mut self, time: u64) {
        self.run_until(self.now + time);
    }

    /// Runs until a point in virtual time.
    pub fn run_until(&mut self, until: u64) {
        while let Some(((at, number), event)) = self.queue.pop_first() {
            if at > until {
                self.queue.insert((at, number), event);
                break;
            }
            self.now = at;
            self.event(event);
            if self.checkers.has_violations() {
                return;
            }
        }
        self.now = until;
    }

    pub fn after(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        self.queue.insert((self.now + delay, self.next_event), event);
    }

    /// Random delay of a message, in milliseconds.
    pub fn delay(&mut self) -> u64 {
        match self.random.u32(0..40) {
            0 => self.random.u64(20..=60),
            _ => self.random.u64(1..=8),
        }
    }

    fn edge_host(&self, edge: usize) -> usize {
        self.plan.cores + edge
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Tick(core, incarnation) => self.tick_core(core, incarnation),
            Event::EdgeTick(edge, incarnation) => self.tick_edge(edge, incarnation),
            Event::Step(Caller::Operator(operator)) => self.step_operator(operator),
            Event::Step(Caller::Worker(worker)) => self.step_worker(worker),
            Event::Fault(fault) => self.fault(&fault),
            Event::Peer { from, to, frame } => {
                // Messages already in flight when a partition begins are still delivered.
                let _ = from;
                self.core_input(to, Input::Peer(frame));
            }
            Event::Persisted { core, incarnation, token, record } => {
                self.persisted(core, incarnation, token, record)
            }
            Event::Connected(connection) => self.connected(connection),
            Event::ConnectFailed { edge, edge_incarnation, link } => {
                self.edge_input(edge, edge_incarnation, RelayInput::LinkLost(link));
            }
            Event::Disconnected(connection) => self.disconnected(connection),
            Event::ToCore(connection, message) => {
                let input = Input::Subscriber(connection.subscriber, message);
                self.incarnation_input(connection.core, connection.core_incarnation, input);
            }
            Event::ToEdge(connection, message) => {
                let input = RelayInput::Link(connection.link, message);
                self.edge_input(connection.edge, connection.edge_incarnation, input);
            }
            Event::Called { caller, number, core, call } => self.called(caller, number, core, call),
            Event::Answered { caller: Caller::Operator(operator), number, core, answer } => {
                self.operator_answered(operator, number, core, &answer);
            }
            Event::Answered { caller: Caller::Worker(worker), number, answer, .. } => {
                self.worker_answered(worker, number, &answer);
            }
            Event::WorkerAnswer { core, incarnation, input } => {
                self.incarnation_input(core, incarnation, input)
            }
        }
    }

    /// Sends on a connection in order; messages are held back while their direction is partitioned.
    pub fn stream(&mut self, to_core: bool, connection: Connection, event: Event) {
        let (edge, core) = (self.edge_host(connection.edge), connection.core);
        let passes = if to_core { self.network.passes(edge, core) } else { self.network.passes(core, edge) };
        if !passes {
            self.held.push(event);
            return;
        }
        let arrival = self.now + self.delay();
        let last = self.last_arrival.entry((to_core, connection)).or_default();
        *last = arrival.max(*last);
        let wait = *last - self.now;
        self.after(wait, event);
    }

    /// Sends the messages held back by partitions that have healed.
    pub fn release_held(&mut self) {
        for event in std::mem::take(&mut self.held) {
            match &event {
                Event::ToCore(connection, _) | Event::Disconnected(connection) => {
                    let connection = *connection;
                    self.stream(true, connection, event);
                }
                Event::ToEdge(connection, _) => {
                    let connection = *connection;
                    self.stream(false, connection, event);
                }
                _ => {}
            }
        }
    }

    /// Schedules a call to a core machine.
    pub fn call(&mut self, caller: Caller, number: u64, core: usize, call: Call) {
        let delay = self.delay();
        self.after(delay, Event::Called { caller, number, core, call });
    }

    fn called(&mut self, caller: Caller, number: u64, core: usize, call: Call) {
        if self.cores[core].process.is_none() {
            // 599 is no status of a core node; it stands for a failed connection.
            let answer = Answer { status: 599, body: bytes::Bytes::new() };
            self.after(1, Event::Answered { caller, number, core, answer });
            return;
        }
        let id = CallId(self.next_call);
        self.next_call += 1;
        let kind = match &call {
            Call::Read => MessageKind::Read,
            Call::Change(_) => MessageKind::Change,
            Call::Deregister { .. } => MessageKind::End,
            Call::Heartbeat { body, .. } if body.windows(8).any(|part| part == b"draining") => {
                MessageKind::End
            }
            Call::Heartbeat { .. } => MessageKind::Heartbeat,
        };
        let arrived = self.now;
        self.calls.insert(id, OpenCall { caller, number, kind, arrived });
        self.core_input(core, Input::Call(id, call));
    }

    /// Delivers a call to a core node at once and returns its id; the answer appears in [`World::answers`].
    pub fn script_call(&mut self, core: usize, call: Call) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.core_input(core, Input::Call(id, call));
        id
    }

    /// Checks an answer that a core node sends and delivers it unless it is lost.
    pub fn answered(&mut self, core: usize, id: CallId, answer: Answer) {
        self.answers.insert(id, answer.clone());
        let Some(call) = self.calls.remove(&id) else { return };
        if answer.status == 200 && call.kind == MessageKind::Change {
            self.checkers.change_answered(self.now, call.arrived);
        }
        if answer.status < 500 {
            let kind = if answer.status >= 400 { MessageKind::Refusal } else { call.kind };
            self.checkers.check_message(self.now, core, kind);
        }
        let is_lost = self.random.u32(0..8) == 0;
        if !is_lost {
            let (delay, caller, number) = (self.delay(), call.caller, call.number);
            self.after(delay, Event::Answered { caller, number, core, answer });
        }
    }

    /// Executes the outputs of a core node.
    pub fn execute_outputs(&mut self, core: usize, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Peers(addresses, frame) => {
                    addresses.iter().for_each(|address| self.send_peer(core, address, frame.clone()));
                }
                Output::Subscribers(ids, message) => {
                    ids.into_iter().for_each(|id| self.send_subscriber(core, id, message.clone()));
                }
                Output::CloseSubscriber(id) => self.close_subscriber(core, id),
                Output::Answer(id, answer) => self.answered(core, id, answer),
                Output::Persist(token, record) => self.persist(core, token, record),
                Output::RewriteLog(records) => self.cores[core].disk = records,
                Output::Order(call) => self.execute_order(core, call),
                Output::RequestReport(call) => self.send_report(core, call),
            }
        }
    }
}
