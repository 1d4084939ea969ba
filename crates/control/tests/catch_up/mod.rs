//! Simulates core nodes, an agent and a data plane in virtual time, with modelled disks, links and processors.
//!
//! The state machines are those of the program; the constants describe the model. Times are in microseconds.
#![allow(dead_code, reason = "each user of this module needs only a part of it")]

mod documents;
mod files;
#[path = "../node_settings/mod.rs"]
mod node_settings;

use bytes::Bytes;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use prost::Message as _;
use switchhill_control::{Answer, Call, CallId, ControlNode, Input, NodeSettings, Output, SubscriberId};
use switchhill_distribution::{FeedId, FeedState, LinkId, LinkSettings, Relay, RelayInput, RelayOutput};
use switchhill_protocol::{
    Downstream, DownstreamBody, Hello, PeerBody, PeerFrame, Status, Upstream, UpstreamBody,
};
use switchhill_register::{Body, Member, Message, ReplicaId};
use switchhill_replica_file::{Identity, WriteRequest};

use files::Disk;
pub use files::DiskFault;
use node_settings::node_settings;

/// Time in microseconds between two ticks of a core node, as in the program.
const CORE_TICK_US: u64 = 25_000;

/// Time in microseconds between two ticks of an agent.
const AGENT_TICK_US: u64 = 50_000;

/// Latency of a link in microseconds.
const DELAY_US: u64 = 2_000;

/// Bandwidth of a machine's link in bits per microsecond: 100 Mbps.
const LINK_BITS_PER_US: u64 = 100;

/// Percentage of one processor core available to a core machine.
const PROCESSOR_PERCENT: u64 = 15;

/// Processor time in nanoseconds per input, and per kilobyte in or out, on a full processor core.
const INPUT_NS: u64 = 30_000;
const KILOBYTE_NS: u64 = 500;

/// Processor time in nanoseconds per route of a newly committed configuration, on a full processor core. Covers parsing it
/// twice and deriving a change from it (`cargo run --release -p switchhill-control --example state_cost`).
const COMMITTED_ROUTE_NS: u64 = 7_500;

/// Number of core machines. The first three are the seeds, the fourth joins, and the last starts late with an empty disk.
const CORES: usize = 5;
const AWAY: usize = 3;
const EMPTY: usize = 4;

const CORE_MACHINES_LOST: usize = 1;

/// Routes of the configuration in the runs that observe only one member.
const ABSENCE_ROUTES: u64 = 10;

/// Time in microseconds for which a connection keeps messages that a partition delays, as in the program.
const RETAINED_US: u64 = 1_500_000;

/// Time in milliseconds before the end of an absence at which the member's status is first requested.
const WATCHED_BEFORE_MS: u64 = 100;

/// Time in microseconds after which the operator sends an order to another machine.
const ORDER_TIMEOUT_US: u64 = 1_000_000;

/// First id of the subscribers that only receive one status.
const WATCHERS: u64 = 1 << 40;
/// Time in microseconds between two such subscribers.
const WATCH_US: u64 = 5_000;

/// Direction of a network partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Both.
    Both,
    /// Messages to the machine don't arrive.
    Deaf,
    /// Messages from the machine don't arrive.
    Mute,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Trial {
    /// Routes of the configuration.
    pub routes: u64,
    /// Number of changes while the member is away.
    pub changes: u64,
    /// Time in milliseconds between an answer and the next order during catch-up.
    pub change_every_ms: u64,
    /// Disk fault of the returning member and of the new one.
    pub disk: DiskFault,
}

/// Results of a run. Times are in milliseconds from the start of the late processes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Size in bytes of the configuration as sent to an agent.
    pub configuration_bytes: usize,
    /// Time until the returning member answers a read with the newest configuration.
    pub away_ms: u64,
    /// The same for the member with an empty disk.
    pub empty_ms: u64,
    /// Time until each of the two is a voter in a non-joint electorate.
    pub away_voter_ms: u64,
    pub empty_voter_ms: u64,
    /// Time until the agent, and then the data plane, holds the newest configuration and it is confirmed.
    pub agent_ms: u64,
    pub data_plane_ms: u64,
    /// Bytes sent to the returning member and to the empty one until they answered.
    pub away_bytes: usize,
    pub empty_bytes: usize,
    /// Maximum total file size and maximum bytes queued for a disk, over all core machines.
    pub longest_file: usize,
    pub most_waiting: usize,
    /// Average time in milliseconds of an order before the late start, with orders sent 5 ms after the previous answer.
    pub order_ms: u64,
    /// Changes acknowledged during catch-up.
    pub changes_meanwhile: u64,
}

enum Event {
    CoreTick(usize, u32),
    Core(usize, u32, Box<Input>, usize),
    WriteCompleted(usize, u32, Vec<Input>),
    AgentTick,
    Agent(Box<RelayInput>),
    DataPlane(Downstream),
    OrderTimeout(u64),
    SendOrder,
    Poll,
    Watch(usize),
}

struct Core {
    node: Option<ControlNode>,
    replica: ReplicaId,
    incarnation: u32,
    disk: Disk,
    link_free_at: u64,
    processor_free_at: u64,
    revision: u64,
    /// Revision that was acknowledged when this incarnation started or when the last partition ended.
    required_revision: u64,
    /// Time at which this incarnation first answered a read with the newest configuration, and first was a voter.
    answered_at: Option<u64>,
    voter_at: Option<u64>,
    received_bytes: usize,
}

impl Core {
    /// Whether the node lacks a revision that was acknowledged, and so stored by a majority, before it started or returned.
    fn is_behind(&self) -> bool {
        self.revision < self.required_revision
    }
}

/// The simulated system.
pub struct World {
    routes: u64,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, Event>,
    next_event: u64,
    cores: Vec<Core>,
    agent: Option<Relay>,
    data_plane: FeedState,
    agent_links: BTreeMap<LinkId, usize>,
    agent_at: Option<u64>,
    data_plane_at: Option<u64>,
    started_late_at: u64,
    /// Core machines that are partitioned from the others, with the directions.
    cuts: Vec<(usize, Cut)>,
    /// Messages delayed by a partition, with the send time and the receiver.
    delayed: Vec<(u64, usize, PeerFrame)>,
    /// Revision of the last acknowledged order.
    pub acknowledged: u64,
    change_every: u64,
    asked: u64,
    asked_core: usize,
    next_call: u64,
    watchers: u64,
    reads: BTreeMap<u64, (usize, u64)>,
    /// Forbidden statements and actions of nodes.
    pub violations: Vec<String>,
}

fn address(core: usize) -> String {
    format!("10.0.0.{}:7000", core + 1)
}

fn genesis_id(core: usize) -> u64 {
    2 * core as u64 + 1_001
}

impl World {
    /// Starts the seeds and the fourth machine on empty disks.
    pub fn new(routes: u64) -> World {
        let core = |_| Core {
            node: None,
            replica: ReplicaId(0),
            incarnation: 0,
            disk: Disk::new(),
            link_free_at: 0,
            processor_free_at: 0,
            revision: 0,
            required_revision: 0,
            answered_at: None,
            voter_at: None,
            received_bytes: 0,
        };
        let mut world = World {
            routes,
            now: 0,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next_event: 0,
            cores: (0..CORES).map(core).collect(),
            agent: None,
            data_plane: FeedState::new("edge-0", "zone"),
            agent_links: BTreeMap::new(),
            agent_at: None,
            data_plane_at: None,
            started_late_at: u64::MAX,
            cuts: Vec::new(),
            delayed: Vec::new(),
            acknowledged: 0,
            change_every: 0,
            asked: 0,
            asked_core: 0,
            next_call: 1,
            watchers: 0,
            reads: BTreeMap::new(),
            violations: Vec::new(),
        };
        (0..=AWAY).for_each(|core| world.start(core, DiskFault::None));
        world
    }

    fn add(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at.max(self.now), self.next_event)));
        self.events.insert(self.next_event, event);
    }

    /// Starts a core machine's process.
    pub fn start(&mut self, core: usize, fault: DiskFault) {
        let is_seed = core < 3;
        let fresh = match is_seed {
            true => Identity { replica: genesis_id(core), genesis: true },
            false => Identity { replica: 2 * core as u64 + 2_000, genesis: false },
        };
        let machine = &mut self.cores[core];
        machine.incarnation += 1;
        let (identity, records) = machine.disk.start(self.now, fault, fresh);
        let seeds: Vec<String> = (0..3).map(address).collect();
        let genesis = identity.genesis && records.is_empty();
        let member = |core: usize| Member { id: ReplicaId(genesis_id(core)), address: address(core) };
        let incarnation = (core as u64 + 1) << 32 | u64::from(machine.incarnation);
        let settings = NodeSettings {
            node_name: format!("core-{core}"),
            machines_lost: CORE_MACHINES_LOST,
            worker_heartbeat_ms: 1_200,
            ceiling_window_ms: 10_000,
            ..node_settings(identity.replica, incarnation, address(core), seeds)
        };
        let genesis = genesis.then(|| (0..3).map(member).collect());
        machine.node = Some(ControlNode::new(self.now / 1_000, settings, records, genesis));
        machine.replica = ReplicaId(identity.replica);
        machine.required_revision = self.acknowledged;
        machine.revision = 0;
        machine.answered_at = None;
        machine.voter_at = None;
        machine.received_bytes = 0;
        let incarnation = machine.incarnation;
        self.add(self.now, Event::CoreTick(core, incarnation));
    }

    /// Stops a core machine's process; its disk is kept.
    pub fn stop(&mut self, core: usize) {
        let machine = &mut self.cores[core];
        machine.node = None;
        machine.incarnation += 1;
    }

    /// Stops the machine `AWAY`, restarts it after a second and runs for `after_ms`.
    fn restart_away(&mut self, after_ms: u64) {
        self.stop(AWAY);
        self.run_until(self.now_ms() + 1_000, |_| false);
        self.start(AWAY, DiskFault::None);
        self.run_until(self.now_ms() + after_ms, |_| false);
    }

    /// Partitions a core machine from all others.
    pub fn cut(&mut self, core: usize, cut: Cut) {
        self.cuts.push((core, cut));
    }

    /// Ends all partitions of a machine and delivers the delayed messages that its connections still keep.
    pub fn heal(&mut self, core: usize) {
        self.cuts.retain(|(other, _)| *other != core);
        self.cores[core].required_revision = self.acknowledged;
        for (sent_at, to, frame) in std::mem::take(&mut self.delayed) {
            if self.now < sent_at + RETAINED_US && self.cores[to].node.is_some() {
                let (incarnation, bytes) = (self.cores[to].incarnation, frame.encoded_len());
                self.add(
                    self.now + DELAY_US,
                    Event::Core(to, incarnation, Box::new(Input::Peer(frame)), bytes),
                );
            }
        }
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        let stopped = |(core, cut): &(usize, Cut)| {
            (*core == from && *cut != Cut::Deaf) || (*core == to && *cut != Cut::Mute)
        };
        !self.cuts.iter().any(stopped)
    }

    /// Runs until `until_ms` or until the condition holds. Returns whether it holds.
    pub fn run_until(&mut self, until_ms: u64, done: impl Fn(&World) -> bool) -> bool {
        while !done(self) {
            let Some(Reverse((at, number))) = self.queue.pop() else { return done(self) };
            if at > until_ms * 1_000 {
                self.queue.push(Reverse((at, number)));
                self.now = until_ms * 1_000;
                return done(self);
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.handle(event);
            }
        }
        true
    }

    /// Current virtual time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.now / 1_000
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::CoreTick(core, incarnation) if self.is_current(core, incarnation) => {
                self.add(self.now + CORE_TICK_US, Event::CoreTick(core, incarnation));
                self.core_input(core, incarnation, Input::Tick, 0);
            }
            Event::Core(core, incarnation, input, bytes) if self.is_current(core, incarnation) => {
                self.core_input(core, incarnation, *input, bytes);
            }
            Event::WriteCompleted(core, incarnation, inputs) if self.is_current(core, incarnation) => {
                self.cores[core].disk.ended();
                inputs.into_iter().for_each(|input| self.core_input(core, incarnation, input, 0));
                self.write(core);
            }
            Event::AgentTick => {
                self.add(self.now + AGENT_TICK_US, Event::AgentTick);
                self.agent_input(RelayInput::Tick);
            }
            Event::Agent(input) => self.agent_input(*input),
            Event::DataPlane(message) => self.data_plane_message(message),
            Event::OrderTimeout(asked) if asked == self.asked => self.send_order(),
            Event::SendOrder => self.send_order(),
            Event::Poll => self.poll(),
            Event::Watch(core) => self.watch(core),
            _ => {}
        }
    }

    fn is_current(&self, core: usize, incarnation: u32) -> bool {
        self.cores[core].incarnation == incarnation && self.cores[core].node.is_some()
    }

    /// Passes an input to a core node once its processor is free; ticks are skipped while it is busy.
    fn core_input(&mut self, core: usize, incarnation: u32, input: Input, bytes: usize) {
        let machine = &mut self.cores[core];
        if machine.processor_free_at > self.now {
            let at = machine.processor_free_at;
            if !matches!(input, Input::Tick) {
                self.add(at, Event::Core(core, incarnation, Box::new(input), bytes));
            }
            return;
        }
        let Some(node) = machine.node.as_mut() else { return };
        let outputs = node.handle(self.now / 1_000, input);
        let committed = node.revision() != machine.revision;
        machine.revision = node.revision();
        let placer = node.placer_epoch().is_some();
        let sent: usize = outputs.iter().map(output_bytes).sum();
        let kilobytes = ((bytes + sent) / 1_000) as u64;
        let mut ns = INPUT_NS + kilobytes * KILOBYTE_NS;
        if committed {
            ns += COMMITTED_ROUTE_NS * self.routes;
        }
        machine.processor_free_at = self.now + ns * 100 / PROCESSOR_PERCENT / 1_000;
        if placer && machine.is_behind() {
            let error = format!("{} ms: core {core} is placer before it has caught up", self.now / 1_000);
            self.violations.push(error);
        }
        for output in outputs {
            self.core_output(core, output);
        }
        self.write(core);
    }

    fn core_output(&mut self, core: usize, output: Output) {
        match output {
            Output::Peers(addresses, frame) => {
                addresses.iter().for_each(|to| self.send_peer(core, to, frame.clone()));
            }
            Output::Subscribers(ids, message) => {
                ids.into_iter().for_each(|id| self.send_agent(core, id, message.clone()));
            }
            Output::CloseSubscriber(id) if id.0 >= WATCHERS => {}
            Output::CloseSubscriber(id) => {
                let lost = RelayInput::LinkLost(LinkId(id.0));
                self.add(self.now + DELAY_US, Event::Agent(Box::new(lost)));
            }
            Output::Answer(id, answer) => self.answered(core, id, &answer),
            Output::Persist(token, record) => self.cores[core].disk.add(WriteRequest::Append(token, record)),
            Output::RewriteLog(records) => self.cores[core].disk.add(WriteRequest::Rewrite(records)),
            Output::Order(_) | Output::RequestReport(_) => {}
        }
    }

    fn write(&mut self, core: usize) {
        let machine = &mut self.cores[core];
        let incarnation = machine.incarnation;
        if let Some((ends_at, inputs)) = machine.disk.begin(self.now) {
            self.add(ends_at, Event::WriteCompleted(core, incarnation, inputs));
        }
    }

    /// Arrival time of the last of `bytes` bytes sent now.
    fn arrival(&mut self, core: usize, bytes: usize) -> u64 {
        let machine = &mut self.cores[core];
        machine.link_free_at = machine.link_free_at.max(self.now) + bytes as u64 * 8 / LINK_BITS_PER_US;
        machine.link_free_at + DELAY_US
    }

    fn send_peer(&mut self, from: usize, to: &str, frame: PeerFrame) {
        self.check_register_message(from, &frame);
        let bytes = frame.encoded_len();
        let Some(to) = (0..CORES).find(|core| address(*core) == *to) else { return };
        if !self.passes(from, to) {
            self.delayed.push((self.now, to, frame));
            return;
        }
        if self.cores[to].node.is_none() {
            return;
        }
        let at = self.arrival(from, bytes);
        let incarnation = self.cores[to].incarnation;
        if self.cores[to].answered_at.is_none() {
            self.cores[to].received_bytes += bytes;
        }
        self.add(at, Event::Core(to, incarnation, Box::new(Input::Peer(frame)), bytes));
    }

    fn check_register_message(&mut self, from: usize, frame: &PeerFrame) {
        let Some(PeerBody::Register(envelope)) = &frame.body else { return };
        let electorate = match Message::decode(&envelope.message).map(|message| message.body) {
            Ok(Body::Accept { value, .. }) => value.electorate,
            Ok(Body::AcceptDelta { delta, .. }) => delta.electorate,
            _ => return,
        };
        if electorate.is_joint() && self.cores[from].is_behind() {
            let error = format!(
                "{} ms: core {from} changes the electorate before it has caught up",
                self.now / 1_000
            );
            self.violations.push(error);
        }
        for machine in self.cores.iter_mut().filter(|machine| machine.node.is_some()) {
            if !electorate.is_joint() && electorate.contains(machine.replica) {
                machine.voter_at.get_or_insert(self.now);
            }
        }
    }

    fn send_agent(&mut self, core: usize, id: SubscriberId, message: Downstream) {
        if let Some(DownstreamBody::Status(status)) = &message.body {
            self.check_status(core, status);
        }
        if id.0 >= WATCHERS {
            return;
        }
        let at = self.arrival(core, message.encoded_len());
        let input = RelayInput::Link(LinkId(id.0), message);
        self.add(at, Event::Agent(Box::new(input)));
    }

    fn check_status(&mut self, core: usize, status: &Status) {
        let known = self.cores[core].required_revision;
        if status.quorum && status.revision < known {
            let (at, reported) = (self.now / 1_000, status.revision);
            self.violations.push(format!(
                "{at} ms: core {core} reports {reported} as the newest revision, {known} was acknowledged"
            ));
        }
    }

    /// Subscribes to a core machine repeatedly to receive its status.
    pub fn watch(&mut self, core: usize) {
        let hello = Hello { node: "watcher".into(), zone: "zone".into(), revision: u64::MAX, home: false };
        let message = Upstream { body: Some(UpstreamBody::Hello(hello)) };
        self.watchers += 1;
        let input = Input::Subscriber(SubscriberId(WATCHERS + self.watchers), message);
        let incarnation = self.cores[core].incarnation;
        self.add(self.now, Event::Core(core, incarnation, Box::new(input), 0));
        self.add(self.now + WATCH_US, Event::Watch(core));
    }

    fn agent_input(&mut self, input: RelayInput) {
        let Some(agent) = self.agent.as_mut() else { return };
        let outputs = agent.handle(self.now / 1_000, input);
        let revision = agent.state().revision();
        let confirmed = agent.state().confirmed();
        if confirmed && revision >= self.acknowledged && self.agent_at.is_none() {
            self.agent_at = Some(self.now);
        }
        for output in outputs {
            match output {
                RelayOutput::Connect(id, to) => self.connect(id, &to),
                RelayOutput::Close(id) => {
                    self.agent_links.remove(&id);
                }
                RelayOutput::ToLink(id, message) => self.send_core(id, message),
                RelayOutput::ToFeed(_, message) => self.add(self.now + 100, Event::DataPlane(message)),
            }
        }
    }

    fn connect(&mut self, id: LinkId, to: &str) {
        let core = (0..CORES).find(|core| address(*core) == *to);
        let Some(core) = core.filter(|core| self.cores[*core].node.is_some()) else { return };
        self.agent_links.insert(id, core);
        self.add(self.now + 2 * DELAY_US, Event::Agent(Box::new(RelayInput::LinkUp(id))));
    }

    fn send_core(&mut self, id: LinkId, message: Upstream) {
        let Some(core) = self.agent_links.get(&id).copied() else { return };
        let incarnation = self.cores[core].incarnation;
        let bytes = message.encoded_len();
        let input = Input::Subscriber(SubscriberId(id.0), message);
        self.add(self.now + DELAY_US, Event::Core(core, incarnation, Box::new(input), bytes));
    }

    fn data_plane_message(&mut self, message: Downstream) {
        let received = self.data_plane.receive(self.now / 1_000, message);
        let state = self.data_plane.state();
        if state.confirmed() && state.revision() >= self.acknowledged && self.data_plane_at.is_none() {
            self.data_plane_at = Some(self.now);
        }
        for answer in received.answers {
            self.agent_input(RelayInput::Feed(FeedId(1), answer));
        }
    }

    /// Sends the operator's next order, or resends the pending one to another machine.
    fn send_order(&mut self) {
        self.asked_core = (self.asked_core + 1) % 3;
        self.next_call += 1;
        self.asked = self.next_call;
        let order = match self.acknowledged {
            0 => documents::first(self.routes),
            base => documents::change(self.routes, base),
        };
        let (core, asked) = (self.asked_core, self.asked);
        let (incarnation, bytes) = (self.cores[core].incarnation, order.body.len());
        let input = Input::Call(CallId(asked), Call::Change(order));
        self.add(self.now + DELAY_US, Event::Core(core, incarnation, Box::new(input), bytes));
        self.add(self.now + ORDER_TIMEOUT_US, Event::OrderTimeout(asked));
    }

    fn answered(&mut self, core: usize, id: CallId, answer: &Answer) {
        if id.0 == self.asked {
            self.asked = 0;
            if answer.status == 200 {
                self.acknowledged += 1;
            }
            let pause = if answer.status == 200 { self.change_every } else { 20_000 };
            self.add(self.now + pause, Event::SendOrder);
            return;
        }
        let Some((asked, acknowledged)) = self.reads.remove(&id.0) else { return };
        if answer.status != 200 {
            return;
        }
        let revision = revision_of(&answer.body);
        if asked != core || revision < acknowledged {
            let at = self.now / 1_000;
            self.violations.push(format!(
                "{at} ms: core {core} answers with revision {revision}, {acknowledged} was acknowledged"
            ));
        }
        self.cores[core].answered_at.get_or_insert(self.now);
    }

    /// Sends a read to each late core machine that has not answered yet.
    fn poll(&mut self) {
        self.add(self.now + 20_000, Event::Poll);
        for core in [AWAY, EMPTY] {
            let machine = &self.cores[core];
            if machine.node.is_none() || machine.answered_at.is_some() {
                continue;
            }
            let incarnation = machine.incarnation;
            self.next_call += 1;
            self.reads.insert(self.next_call, (core, self.acknowledged));
            let input = Input::Call(CallId(self.next_call), Call::Read);
            self.add(self.now, Event::Core(core, incarnation, Box::new(input), 0));
        }
    }

    /// Sets the time in milliseconds between an answer and the next order, and starts the operator if needed.
    pub fn change_every(&mut self, ms: u64) {
        self.change_every = ms * 1_000;
        if self.acknowledged == 0 {
            self.add(self.now, Event::SendOrder);
        }
    }

    /// Starts the late processes: the returning member, an empty one, an agent and its data plane.
    pub fn start_late(&mut self, disk: DiskFault) {
        self.started_late_at = self.now;
        self.start(AWAY, disk);
        self.start(EMPTY, disk);
        let seeds: Vec<String> = (0..3).map(address).collect();
        self.agent = Some(Relay::new("edge-0", "zone", seeds, LinkSettings::default()));
        self.add(self.now, Event::AgentTick);
        let hello = RelayInput::Feed(FeedId(1), self.data_plane.hello());
        self.add(self.now, Event::Agent(Box::new(hello)));
        self.add(self.now, Event::Poll);
    }

    /// Whether all late processes have caught up.
    pub fn all_caught_up(&self) -> bool {
        let core =
            |core: usize| self.cores[core].answered_at.is_some() && self.cores[core].voter_at.is_some();
        core(AWAY) && core(EMPTY) && self.agent_at.is_some() && self.data_plane_at.is_some()
    }

    fn since_late(&self, at: Option<u64>) -> u64 {
        at.map_or(u64::MAX, |at| at.saturating_sub(self.started_late_at) / 1_000)
    }
}

/// Runs a trial; returns `Err` for a violation or for a process that did not catch up.
pub fn run(trial: Trial) -> Result<Outcome, String> {
    let mut world = World::new(trial.routes);
    // The fourth machine joins, receives the first configuration and is stopped.
    world.run_until(3_000, |_| false);
    world.change_every(5);
    if !world.run_until(20_000, |world| world.acknowledged >= 1 && world.cores[AWAY].revision >= 1) {
        return Err("the first order is not acknowledged".into());
    }
    world.stop(AWAY);
    let target = trial.changes + 1;
    let begun = world.now_ms();
    if !world.run_until(600_000, |world| world.acknowledged >= target) {
        return Err(format!("{} of {target} orders are acknowledged", world.acknowledged));
    }
    let order_ms = (world.now_ms() - begun) / trial.changes;
    world.change_every(trial.change_every_ms);
    // Meanwhile the stopped member is removed from the electorate.
    let settled_at = world.now_ms() + 4_000;
    world.run_until(settled_at, |_| false);
    let acknowledged = world.acknowledged;
    world.start_late(trial.disk);
    let until = world.now_ms() + 30_000;
    let caught_up = world.run_until(until, World::all_caught_up);
    if let Some(first) = world.violations.first() {
        return Err(format!("{} violations, first: {first}", world.violations.len()));
    }
    if !caught_up {
        let state = |core: usize| (world.cores[core].answered_at, world.cores[core].voter_at);
        return Err(format!("not caught up: {:?} {:?}", state(AWAY), state(EMPTY)));
    }
    Ok(Outcome { order_ms, ..outcome(&world, acknowledged) })
}

/// How a member becomes unavailable while changes continue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Absence {
    /// It is partitioned.
    Cut(Cut),
    /// Its process is frozen.
    Frozen,
    /// Its process restarts after a second and receives no peer messages until the absence ends.
    Restarted,
    /// Its process restarts after a second and is frozen or partitioned the given number of milliseconds later.
    FrozenAfterStart(u64),
    CutAfterStart(Cut, u64),
}

/// Makes a member unavailable for `for_ms` and lets it return. Returns the violations before it knew every revision
/// acknowledged by its return, and the time in milliseconds until it knew them.
pub fn run_absence(absence: Absence, for_ms: u64, change_every_ms: u64) -> (Vec<String>, u64) {
    let mut world = World::new(ABSENCE_ROUTES);
    world.run_until(3_000, |_| false);
    world.change_every(change_every_ms);
    world.run_until(4_000, |_| false);
    match absence {
        Absence::Cut(cut) => world.cut(AWAY, cut),
        Absence::Frozen => world.cores[AWAY].processor_free_at = world.now + for_ms * 1_000,
        Absence::Restarted => {
            world.restart_away(0);
            world.cut(AWAY, Cut::Deaf);
        }
        Absence::FrozenAfterStart(after_ms) => {
            world.restart_away(after_ms);
            world.cores[AWAY].processor_free_at = 4_000_000 + for_ms * 1_000;
        }
        Absence::CutAfterStart(cut, after_ms) => {
            world.restart_away(after_ms);
            world.cut(AWAY, cut);
        }
    }
    world.run_until(4_000 + for_ms - WATCHED_BEFORE_MS, |_| false);
    world.watch(AWAY);
    world.run_until(4_000 + for_ms, |_| false);
    world.heal(AWAY);
    let back = world.now_ms();
    world.run_until(back + 10_000, |world| !world.cores[AWAY].is_behind());
    let caught_up_ms = world.now_ms() - back;
    world.run_until(back + 800, |_| false);
    (world.violations, caught_up_ms)
}

fn outcome(world: &World, acknowledged: u64) -> Outcome {
    let core = |core: usize| &world.cores[core];
    Outcome {
        configuration_bytes: world.data_plane.state().encoded().len(),
        away_ms: world.since_late(core(AWAY).answered_at),
        empty_ms: world.since_late(core(EMPTY).answered_at),
        away_voter_ms: world.since_late(core(AWAY).voter_at),
        empty_voter_ms: world.since_late(core(EMPTY).voter_at),
        agent_ms: world.since_late(world.agent_at),
        data_plane_ms: world.since_late(world.data_plane_at),
        away_bytes: core(AWAY).received_bytes,
        empty_bytes: core(EMPTY).received_bytes,
        longest_file: world.cores.iter().map(|core| core.disk.most_used).max().unwrap_or(0),
        most_waiting: world.cores.iter().map(|core| core.disk.most_waiting).max().unwrap_or(0),
        changes_meanwhile: world.acknowledged - acknowledged,
        order_ms: 0,
    }
}

fn output_bytes(output: &Output) -> usize {
    match output {
        Output::Peers(addresses, frame) => addresses.len() * frame.encoded_len(),
        Output::Subscribers(ids, message) => ids.len() * message.encoded_len(),
        Output::Persist(_, record) => record.len(),
        Output::RewriteLog(records) => records.iter().map(Bytes::len).sum(),
        _ => 0,
    }
}

fn revision_of(body: &[u8]) -> u64 {
    let text = String::from_utf8_lossy(body);
    let digits = text.split("\"revision\":").nth(1).unwrap_or("");
    let digits: String = digits.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or(0)
}
