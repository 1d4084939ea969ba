//! A few core nodes with operators, workers, agents and data planes in virtual time, all drawn from a seed.
//!
//! The nodes, agents and data planes are the real state machines; network, disks and processes are modelled: delay, loss,
//! duplication, cuts in one direction, freezes, restarts with the disk kept or lost.
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

use checkers::{Checkers, Word};
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

/// Time in milliseconds between two ticks of a process.
const TICK_EVERY: u64 = 50;

/// Time in milliseconds at the end of a run in which there are no faults.
pub const CALM_END: u64 = 7_000;

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Seed of all random choices.
    pub seed: u64,
    /// Core machines.
    pub cores: usize,
    /// Machines with an agent and a data plane.
    pub edges: usize,
    /// Operators.
    pub operators: usize,
    /// Workers.
    pub workers: usize,
    /// Faults with their times.
    pub faults: Vec<(u64, Fault)>,
    /// When the run ends.
    pub ends_at: u64,
    /// Share of calls and workers' heartbeats that go to cut-off machines, in per cent.
    pub lured: u32,
    /// Messages between core machines that are lost, and that are doubled, in per mille each.
    pub spoilt: u32,
    /// A flaw that is put into all nodes.
    pub flaw: Option<Flaw>,
}

impl Plan {
    /// Nobody acts and nothing goes wrong but what a script does.
    pub fn script(cores: usize, edges: usize) -> Plan {
        Plan {
            seed: 1,
            cores,
            edges,
            operators: 0,
            workers: 0,
            faults: Vec::new(),
            ends_at: 60_000,
            lured: 0,
            spoilt: 0,
            flaw: None,
        }
    }
}

/// A connection of an agent to a core node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Connection {
    pub edge: usize,
    pub edge_life: u64,
    pub link: LinkId,
    pub core: usize,
    pub core_life: u64,
    pub subscriber: SubscriberId,
}

/// Who made a call, by an index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Caller {
    Operator(usize),
    Worker(usize),
}

/// What happens at a time.
#[derive(Debug, Clone)]
pub enum Event {
    Tick(usize, u64),
    EdgeTick(usize, u64),
    Act(Caller),
    Fault(Fault),
    Peer { from: usize, to: usize, frame: PeerFrame },
    Persisted { core: usize, life: u64, token: u64, record: Vec<u8> },
    Connected(Connection),
    ConnectFailed { edge: usize, edge_life: u64, link: LinkId },
    Hangup(Connection),
    ToCore(Connection, Upstream),
    ToEdge(Connection, Downstream),
    Called { caller: Caller, number: u64, core: usize, call: Call },
    Answered { caller: Caller, number: u64, core: usize, answer: Answer },
    Given { core: usize, life: u64, input: Input },
}

/// A call that a core machine works on.
#[derive(Debug, Clone)]
pub struct OpenCall {
    pub caller: Caller,
    pub number: u64,
    pub word: Word,
    /// When it reached the node.
    pub arrived: u64,
}

/// The machines and what is on its way between them.
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
    /// All answers of core nodes, lost ones included.
    pub answers: BTreeMap<CallId, Answer>,
    /// A core machine that the register's messages do not reach.
    pub deaf_to_register: Option<usize>,
    queue: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_call: u64,
    /// Messages of connections whose direction is cut, in order.
    held: Vec<Event>,
    /// When the last message of a connection arrives, by direction: connections keep the order.
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
            deaf_to_register: None,
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
            self.after(1_500 + 100 * operator as u64, Event::Act(Caller::Operator(operator)));
        }
        for worker in 0..self.plan.workers {
            self.after(1_000 + 70 * worker as u64, Event::Act(Caller::Worker(worker)));
        }
        for (at, fault) in self.plan.faults.clone() {
            self.after(at, Event::Fault(fault));
        }
    }

    /// Plays to the end and looks at what is left.
    pub fn run(&mut self) {
        let ends_at = self.now + self.plan.ends_at;
        self.run_until(ends_at);
        self.checkers.end();
    }

    /// Plays for a time in milliseconds.
    pub fn run_for(&mut self, time: u64) {
        self.run_until(self.now + time);
    }

    /// Plays until a time.
    pub fn run_until(&mut self, until: u64) {
        while let Some(((at, number), event)) = self.queue.pop_first() {
            if at > until {
                self.queue.insert((at, number), event);
                break;
            }
            self.now = at;
            self.event(event);
            if self.checkers.broken() {
                return;
            }
        }
        self.now = until;
    }

    pub fn after(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        self.queue.insert((self.now + delay, self.next_event), event);
    }

    /// Delay of a message, in milliseconds.
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
            Event::Tick(core, life) => self.tick_core(core, life),
            Event::EdgeTick(edge, life) => self.tick_edge(edge, life),
            Event::Act(Caller::Operator(operator)) => self.operator_acts(operator),
            Event::Act(Caller::Worker(worker)) => self.worker_acts(worker),
            Event::Fault(fault) => self.fault(&fault),
            Event::Peer { from, to, frame } => {
                // What was on its way when a cut begins arrives.
                let _ = from;
                self.core_input(to, Input::Peer(frame));
            }
            Event::Persisted { core, life, token, record } => self.persisted(core, life, token, record),
            Event::Connected(connection) => self.connected(connection),
            Event::ConnectFailed { edge, edge_life, link } => {
                self.edge_input(edge, edge_life, RelayInput::LinkLost(link));
            }
            Event::Hangup(connection) => self.hung_up(connection),
            Event::ToCore(connection, message) => {
                let input = Input::Subscriber(connection.subscriber, message);
                self.life_input(connection.core, connection.core_life, input);
            }
            Event::ToEdge(connection, message) => {
                let input = RelayInput::Link(connection.link, message);
                self.edge_input(connection.edge, connection.edge_life, input);
            }
            Event::Called { caller, number, core, call } => self.called(caller, number, core, call),
            Event::Answered { caller: Caller::Operator(operator), number, core, answer } => {
                self.operator_answered(operator, number, core, &answer);
            }
            Event::Answered { caller: Caller::Worker(worker), number, answer, .. } => {
                self.worker_answered(worker, number, &answer);
            }
            Event::Given { core, life, input } => self.life_input(core, life, input),
        }
    }

    /// Sends on a connection: in order, and held as long as its direction is cut.
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

    /// Sends what was held on connections, after cuts have ended.
    pub fn release_held(&mut self) {
        for event in std::mem::take(&mut self.held) {
            match &event {
                Event::ToCore(connection, _) | Event::Hangup(connection) => {
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

    /// Makes a call to a core machine; it may be lost.
    pub fn call(&mut self, caller: Caller, number: u64, core: usize, call: Call) {
        let delay = self.delay();
        self.after(delay, Event::Called { caller, number, core, call });
    }

    fn called(&mut self, caller: Caller, number: u64, core: usize, call: Call) {
        if self.cores[core].process.is_none() {
            // No number of a core node: the call counts as failed.
            let answer = Answer { status: 599, body: bytes::Bytes::new() };
            self.after(1, Event::Answered { caller, number, core, answer });
            return;
        }
        let id = CallId(self.next_call);
        self.next_call += 1;
        let word = match &call {
            Call::Read => Word::Read,
            Call::Change(_) => Word::Change,
            Call::Deregister { .. } => Word::End,
            Call::Heartbeat { body, .. } if body.windows(8).any(|part| part == b"draining") => Word::End,
            Call::Heartbeat { .. } => Word::Heartbeat,
        };
        let arrived = self.now;
        self.calls.insert(id, OpenCall { caller, number, word, arrived });
        self.core_input(core, Input::Call(id, call));
    }

    /// Gives a call of a script to a core node at once and returns its number; see [`World::answers`].
    pub fn script_call(&mut self, core: usize, call: Call) -> CallId {
        let id = CallId(self.next_call);
        self.next_call += 1;
        self.core_input(core, Input::Call(id, call));
        id
    }

    /// An answer of a core node leaves it.
    pub fn answered(&mut self, core: usize, id: CallId, answer: Answer) {
        self.answers.insert(id, answer.clone());
        let Some(call) = self.calls.remove(&id) else { return };
        if answer.status == 200 && call.word == Word::Change {
            self.checkers.change_answered(self.now, call.arrived);
        }
        if answer.status < 500 {
            let word = if answer.status >= 400 { Word::Refusal } else { call.word };
            self.checkers.word(self.now, core, word);
        }
        let is_lost = self.random.u32(0..8) == 0;
        if !is_lost {
            let (delay, caller, number) = (self.delay(), call.caller, call.number);
            self.after(delay, Event::Answered { caller, number, core, answer });
        }
    }

    /// Does what a core node wants done.
    pub fn carry_out(&mut self, core: usize, outputs: Vec<Output>) {
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
                Output::Order(call) => self.worker_ordered(core, call),
                Output::RequestReport(call) => self.report_asked(core, call),
            }
        }
    }
}
