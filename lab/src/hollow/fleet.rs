//! The processes of a hollow fleet, what is on its way between them, and the loop over events.

use super::data_plane::{DataPlane, Traffic};
use super::ledger::{Direction, Ledger, ProcessorTime, Role};
use super::report::{DrainTimes, Report};
use super::site;
use super::worker::Worker;
use super::Sizes;
use prost::Message;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use switchhill_control::{Answer, Call, CallId, ControlNode, Input, NodeSettings, Output, SubscriberId};
use switchhill_distribution::{FeedId, LinkId, LinkSettings, LoadTable, Relay, RelayInput, RelayOutput};
use switchhill_protocol::{Downstream, DownstreamBody, PeerBody, PeerFrame, Upstream, UpstreamBody};
use switchhill_register::{Member, ReplicaId};

/// Time in milliseconds of a message between machines.
const NETWORK_MS: u64 = 1;
/// Time in milliseconds of a sync of a core node's disk.
const SYNC_MS: u64 = 2;
/// Time in milliseconds of a worker's answer.
const ANSWER_MS: u64 = 3;
/// Time in milliseconds between ticks of a core node, of an agent, and between summaries of a data plane: the real ones.
const CORE_TICK_MS: u64 = 25;
const AGENT_TICK_MS: u64 = 50;
const SUMMARY_MS: u64 = 300;
/// Time in milliseconds between heartbeats of a worker.
const BEAT_MS: u64 = 1_200;
/// Time in milliseconds between changes of the configuration: 3,100 a day.
const CHANGE_MS: u64 = 27_870;
/// When the first configuration is sent, in milliseconds, and the pause before a refused change is sent once more.
const FIRST_CHANGE_MS: u64 = 2_000;
const CHANGE_RETRY_MS: u64 = 300;
/// Time in milliseconds of the start, which is not measured.
const START_MS: u64 = 10_000;
/// When a worker begins to leave, in milliseconds.
const DRAIN_MS: u64 = START_MS + 1_300;
/// Data planes that run; the others would only repeat them.
const DATA_PLANES: usize = 10;
/// Bytes of a frame before its message: length and version.
const FRAME_HEADER: usize = 5;
/// First voters.
const FIRST_VOTERS: usize = 3;
/// Links of an agent: machines lost at once and two.
const LINKS: usize = 3;
/// The data plane's connection to its agent.
const FEED: FeedId = FeedId(1);
/// The call of the worker that leaves.
const DRAIN_CALL: u64 = 1 << 59;
/// Calls from this number on are the operator's.
const OPERATOR_CALL: u64 = 1 << 60;

/// What happens.
enum Event {
    CoreTick(usize),
    CoreInput(usize, Box<Input>, &'static str),
    Peer(usize, Vec<u8>),
    Up(usize, SubscriberId, Vec<u8>),
    Down(usize, LinkId, Vec<u8>),
    LinkUp(usize, LinkId),
    AgentTick(usize),
    Summary(usize),
    Beat(usize),
    Change,
    Drain,
}

struct Edge {
    relay: Relay,
    /// Core node of each link.
    links: BTreeMap<LinkId, usize>,
    traffic: Traffic,
    data_plane: Option<DataPlane>,
}

/// A hollow fleet.
pub(super) struct Fleet {
    sizes: Sizes,
    now: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    next_event: u64,
    cores: Vec<ControlNode>,
    edges: Vec<Edge>,
    workers: Vec<Worker>,
    worker_numbers: HashMap<String, usize>,
    /// Revision that the operator knows.
    revision: u64,
    calls: u64,
    ledger: Ledger,
    drain: DrainTimes,
}

fn core_address(core: usize) -> String {
    format!("10.0.0.{}:7000", core + 1)
}

fn replica(core: usize) -> u64 {
    0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(core as u64 + 1) | 1
}

fn subscriber(edge: usize, link: LinkId) -> SubscriberId {
    SubscriberId(((edge as u64) << 32) | link.0)
}

impl Fleet {
    /// A fleet whose processes all start at once.
    pub(super) fn new(sizes: Sizes, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            sizes,
            now: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            next_event: 0,
            cores: (0..sizes.cores).map(|core| new_core(core, sizes, seed)).collect(),
            edges: (0..sizes.gatekeepers).map(|edge| new_edge(edge, sizes, seed)).collect(),
            workers: (0..sizes.workers).map(|number| Worker::new(number, sizes.models)).collect(),
            worker_numbers: HashMap::new(),
            revision: 0,
            calls: 0,
            ledger: Ledger::default(),
            drain: DrainTimes::default(),
        };
        let numbers = fleet.workers.iter().enumerate().map(|(number, worker)| (worker.id.clone(), number));
        fleet.worker_numbers = numbers.collect();
        fleet.schedule_start();
        fleet
    }

    /// Spreads what repeats over its period.
    fn schedule_start(&mut self) {
        for core in 0..self.sizes.cores {
            self.add(core as u64, Event::CoreTick(core));
        }
        for edge in 0..self.sizes.gatekeepers {
            self.add(1_000 + edge as u64 % AGENT_TICK_MS, Event::AgentTick(edge));
            self.add(2_500 + (edge as u64 * 7) % SUMMARY_MS, Event::Summary(edge));
        }
        for worker in 0..self.sizes.workers {
            self.add(500 + worker as u64 * BEAT_MS / self.sizes.workers as u64, Event::Beat(worker));
        }
        self.add(FIRST_CHANGE_MS, Event::Change);
        self.add(DRAIN_MS, Event::Drain);
    }

    fn add(&mut self, at: u64, event: Event) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    /// Runs the start and then so many seconds, which are measured.
    pub(super) fn run(mut self, seconds: u64) -> Report {
        self.run_until(START_MS);
        let start = std::mem::take(&mut self.ledger);
        self.run_until(START_MS + seconds * 1_000);
        let agents = start.counts.iter().filter(|((role, ..), _)| *role == Role::Agent);
        let start_bytes: u64 = agents.map(|(_, count)| count.bytes).sum();
        let revisions =
            self.edges.iter().filter_map(|edge| edge.data_plane.as_ref().map(DataPlane::revision));
        Report {
            sizes: self.sizes,
            seconds,
            lowest_revision: revisions.min().unwrap_or(0),
            load_error: self.load_error(),
            drain: self.drain,
            data_planes: self.sizes.gatekeepers.min(DATA_PLANES),
            start_bytes: start_bytes / self.sizes.gatekeepers.max(1) as u64,
            resident_kb: resident_kb(),
            ledger: self.ledger,
        }
    }

    /// Mean over the data planes of the difference between the loads that they hold and those of all traffic, as a
    /// part of the latter.
    fn load_error(&self) -> f64 {
        let mut present = LoadTable::default();
        self.edges.iter().for_each(|edge| present.add(edge.traffic.present()));
        let held = self.edges.iter().filter_map(|edge| edge.data_plane.as_ref());
        let errors: Vec<f64> = held.map(|data_plane| relative_error(data_plane.loads(), &present)).collect();
        errors.iter().sum::<f64>() / errors.len().max(1) as f64
    }

    fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, number))) = self.queue.peek().copied() {
            if at > end {
                return;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.happen(event);
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::CoreTick(core) => {
                self.add(self.now + CORE_TICK_MS, Event::CoreTick(core));
                self.core_input(core, Direction::Local, "tick", 0, || Some(Input::Tick));
            }
            Event::CoreInput(core, input, kind) => {
                let bytes = call_bytes(&input);
                let direction = if bytes > 0 { Direction::Received } else { Direction::Local };
                self.core_input(core, direction, kind, bytes, || Some(*input));
            }
            Event::Peer(core, frame) => self.peer(core, &frame),
            Event::Up(core, id, frame) => self.up(core, id, &frame),
            Event::Down(edge, link, frame) => self.down(edge, link, &frame),
            Event::LinkUp(edge, link) => {
                self.agent_input(edge, Direction::Local, "link up", 0, || Some(RelayInput::LinkUp(link)))
            }
            Event::AgentTick(edge) => {
                self.add(self.now + AGENT_TICK_MS, Event::AgentTick(edge));
                self.agent_input(edge, Direction::Local, "tick", 0, || Some(RelayInput::Tick));
            }
            Event::Summary(edge) => self.summary(edge),
            Event::Beat(worker) => self.beat(worker),
            Event::Change => self.change(),
            Event::Drain => self.drain(),
        }
    }

    fn role(&self, core: usize) -> Role {
        match self.cores[core].placer_epoch() {
            Some(_) => Role::Placer,
            None => Role::Core,
        }
    }

    /// Decodes an input, hands it to a core node and carries out what it returns.
    fn core_input(
        &mut self,
        core: usize,
        direction: Direction,
        kind: &'static str,
        bytes: usize,
        input: impl FnOnce() -> Option<Input>,
    ) {
        let role = self.role(core);
        let since = ProcessorTime::now();
        let Some(input) = input() else { return };
        let outputs = self.cores[core].handle(self.now, input);
        self.ledger.add((role, direction, kind), bytes, since);
        for output in outputs {
            self.core_output(core, role, output);
        }
    }

    fn core_output(&mut self, core: usize, role: Role, output: Output) {
        let arrives = self.now + NETWORK_MS;
        match output {
            Output::Peer(address, frame) => {
                let kind = peer_kind(&frame);
                let encoded = self.encode(role, kind, &frame);
                if let Some(to) = (0..self.sizes.cores).find(|to| core_address(*to) == address) {
                    self.add(arrives, Event::Peer(to, encoded));
                }
            }
            Output::Subscriber(id, message) => {
                let encoded = self.encode(role, downstream_kind(&message), &message);
                let (edge, link) = ((id.0 >> 32) as usize, LinkId(id.0 & u64::from(u32::MAX)));
                self.add(arrives, Event::Down(edge, link, encoded));
            }
            Output::Persist(token, _) => {
                let input = Box::new(Input::Persisted(token));
                self.add(self.now + SYNC_MS, Event::CoreInput(core, input, "persisted"));
            }
            Output::Order(call) => {
                let Some(worker) = self.worker_numbers.get(&call.worker) else { return };
                let answer = self.workers[*worker].order(self.now, &call);
                let input = Box::new(Input::OrderAnswered(call.ticket, answer));
                self.add(self.now + ANSWER_MS, Event::CoreInput(core, input, "order answered"));
            }
            Output::AskReport(call) => {
                let Some(worker) = self.worker_numbers.get(&call.worker) else { return };
                let report = self.workers[*worker].report(self.now, call);
                let input = Box::new(Input::Reported(report));
                self.add(self.now + ANSWER_MS, Event::CoreInput(core, input, "report"));
            }
            Output::Answer(id, answer) if id.0 == DRAIN_CALL && answer.status == 200 => {
                self.drain.acknowledged_ms.get_or_insert(arrives - DRAIN_MS);
            }
            Output::Answer(id, answer) if id.0 >= OPERATOR_CALL => self.change_answered(&answer),
            Output::Answer(..) | Output::Rewrite(_) | Output::CloseSubscriber(_) => {}
        }
    }

    fn encode(&mut self, role: Role, kind: &'static str, message: &impl Message) -> Vec<u8> {
        let since = ProcessorTime::now();
        let encoded = message.encode_to_vec();
        self.ledger.add((role, Direction::Sent, kind), encoded.len() + FRAME_HEADER, since);
        encoded
    }

    fn peer(&mut self, core: usize, encoded: &[u8]) {
        let kind = PeerFrame::decode(encoded).map_or("unreadable", |frame| peer_kind(&frame));
        let input = || PeerFrame::decode(encoded).ok().map(Input::Peer);
        self.core_input(core, Direction::Received, kind, encoded.len() + FRAME_HEADER, input);
    }

    fn up(&mut self, core: usize, id: SubscriberId, encoded: &[u8]) {
        let kind = Upstream::decode(encoded).map_or("unreadable", |message| upstream_kind(&message));
        let input = || Some(Input::Subscriber(id, Upstream::decode(encoded).ok()?));
        self.core_input(core, Direction::Received, kind, encoded.len() + FRAME_HEADER, input);
    }

    fn down(&mut self, edge: usize, link: LinkId, encoded: &[u8]) {
        let kind = Downstream::decode(encoded).map_or("unreadable", |message| downstream_kind(&message));
        let input = || Some(RelayInput::Link(link, Downstream::decode(encoded).ok()?));
        self.agent_input(edge, Direction::Received, kind, encoded.len() + FRAME_HEADER, input);
    }

    /// Decodes an input, hands it to an agent and carries out what it returns.
    fn agent_input(
        &mut self,
        edge: usize,
        direction: Direction,
        kind: &'static str,
        bytes: usize,
        input: impl FnOnce() -> Option<RelayInput>,
    ) {
        let since = ProcessorTime::now();
        let Some(input) = input() else { return };
        let outputs = self.edges[edge].relay.handle(self.now, input);
        self.ledger.add((Role::Agent, direction, kind), bytes, since);
        for output in outputs {
            self.agent_output(edge, output);
        }
    }

    fn agent_output(&mut self, edge: usize, output: RelayOutput) {
        let arrives = self.now + NETWORK_MS;
        match output {
            RelayOutput::Connect(link, address) => {
                let Some(core) = (0..self.sizes.cores).find(|core| core_address(*core) == address) else {
                    return;
                };
                self.edges[edge].links.insert(link, core);
                self.add(arrives, Event::LinkUp(edge, link));
            }
            RelayOutput::Close(link) => {
                if let Some(core) = self.edges[edge].links.remove(&link) {
                    let input = Box::new(Input::SubscriberGone(subscriber(edge, link)));
                    self.add(arrives, Event::CoreInput(core, input, "subscriber gone"));
                }
            }
            RelayOutput::ToLink(link, message) => {
                let encoded = self.encode(Role::Agent, upstream_kind(&message), &message);
                if let Some(core) = self.edges[edge].links.get(&link) {
                    self.add(arrives, Event::Up(*core, subscriber(edge, link), encoded));
                }
            }
            RelayOutput::ToFeed(_, message) => self.feed(edge, &message),
        }
    }

    /// A message of an agent reaches the data plane beside it.
    fn feed(&mut self, edge: usize, message: &Downstream) {
        let kind = downstream_kind(message);
        let since = ProcessorTime::now();
        let encoded = message.encode_to_vec();
        self.ledger.add((Role::Agent, Direction::Local, "to the data plane"), 0, since);
        let now = self.now;
        let Some(data_plane) = self.edges[edge].data_plane.as_mut() else { return };
        let since = ProcessorTime::now();
        let Ok(message) = Downstream::decode(encoded.as_slice()) else { return };
        let answers = data_plane.receive(now, message);
        self.ledger.add((Role::DataPlane, Direction::Received, kind), encoded.len() + FRAME_HEADER, since);
        let since = ProcessorTime::now();
        data_plane.take_view(now);
        self.ledger.add((Role::DataPlane, Direction::Local, "view taken"), 0, since);
        self.note_drain();
        for answer in answers {
            self.data_plane_message(edge, answer);
        }
    }

    fn data_plane_message(&mut self, edge: usize, message: Upstream) {
        self.agent_input(edge, Direction::Local, "from the data plane", 0, || {
            Some(RelayInput::Feed(FEED, message))
        });
    }

    /// A data plane introduces itself and tells its load.
    fn summary(&mut self, edge: usize) {
        self.add(self.now + SUMMARY_MS, Event::Summary(edge));
        let workers = &self.workers;
        let summary = self.edges[edge].traffic.summary(|worker| workers[worker].id.clone());
        let hello = switchhill_protocol::Hello { node: format!("edge-{edge}"), ..Default::default() };
        self.data_plane_message(edge, Upstream { body: Some(UpstreamBody::Hello(hello)) });
        self.data_plane_message(edge, Upstream { body: Some(UpstreamBody::Summary(summary)) });
    }

    fn beat(&mut self, number: usize) {
        self.add(self.now + BEAT_MS, Event::Beat(number));
        let body = self.workers[number].beat(self.now);
        let call = Call::Heartbeat { id: self.workers[number].id.clone(), body };
        self.call(number % self.sizes.cores, 0, call, "worker heartbeat");
    }

    /// The first worker says that it is leaving.
    fn drain(&mut self) {
        let Some(worker) = self.workers.first_mut() else { return };
        worker.is_draining = true;
        let body = worker.beat(self.now);
        let call = Call::Heartbeat { id: worker.id.clone(), body };
        let input = Box::new(Input::Call(CallId(DRAIN_CALL), call));
        self.add(self.now + NETWORK_MS, Event::CoreInput(0, input, "drain"));
    }

    /// Notes when all data planes have stopped to send to the worker that leaves.
    fn note_drain(&mut self) {
        if self.drain.in_force_ms.is_some() || self.now < DRAIN_MS {
            return;
        }
        let Some(worker) = self.workers.first() else { return };
        let mut data_planes = self.edges.iter().filter_map(|edge| edge.data_plane.as_ref());
        if data_planes.all(|data_plane| data_plane.has_left(self.now, &worker.id)) {
            self.drain.in_force_ms = Some(self.now - DRAIN_MS);
        }
    }

    fn call(&mut self, core: usize, base: u64, call: Call, kind: &'static str) {
        self.calls += 1;
        let input = Box::new(Input::Call(CallId(base + self.calls), call));
        self.add(self.now + NETWORK_MS, Event::CoreInput(core, input, kind));
    }

    fn change(&mut self) {
        let order = site::order(self.sizes.models, self.revision);
        self.call(0, OPERATOR_CALL, Call::Change(order), "change");
    }

    fn change_answered(&mut self, answer: &Answer) {
        let taken = answer.status == 200;
        if !taken {
            log_refusal(answer);
        }
        self.revision += u64::from(taken);
        let pause = if taken { CHANGE_MS } else { CHANGE_RETRY_MS };
        self.add(self.now + pause, Event::Change);
    }
}

fn new_core(core: usize, sizes: Sizes, seed: u64) -> ControlNode {
    let seeds: Vec<String> = (0..sizes.cores.min(FIRST_VOTERS)).map(core_address).collect();
    let members = seeds.iter().enumerate();
    let members =
        members.map(|(core, address)| Member { id: ReplicaId(replica(core)), address: address.clone() });
    let settings = NodeSettings {
        replica: replica(core),
        life: replica(core),
        node_name: format!("core-{core}"),
        address: core_address(core),
        seeds: seeds.clone(),
        machines_lost: sizes.cores.saturating_sub(1) / 2,
        zone: String::new(),
        zones_lost: 0,
        worker_heartbeat_ms: BEAT_MS,
        lease_ms: 3_000,
        ceiling_window_ms: 5_000,
        fencing: true,
        seed: seed.wrapping_add(core as u64),
    };
    let genesis = (core < FIRST_VOTERS).then(|| members.collect());
    ControlNode::new(0, settings, Vec::new(), genesis)
}

fn new_edge(edge: usize, sizes: Sizes, seed: u64) -> Edge {
    let seeds = (0..sizes.cores).map(core_address).collect();
    let settings = LinkSettings { wanted: LINKS.min(sizes.cores), ..LinkSettings::default() };
    let (name, zone) = (format!("edge-{edge}"), format!("zone-{}", edge % 7));
    Edge {
        relay: Relay::new(&name, &zone, seeds, settings),
        links: BTreeMap::new(),
        traffic: Traffic::new(sizes, seed.wrapping_add(edge as u64)),
        data_plane: (edge < DATA_PLANES).then(|| DataPlane::new(seed)),
    }
}

/// Sum of the differences of loads, as a part of all that are present.
fn relative_error(held: &LoadTable, present: &LoadTable) -> f64 {
    let load = |table: &LoadTable, worker: &String| f64::from(table.loads.get(worker).copied().unwrap_or(0));
    let workers: BTreeSet<&String> = held.loads.keys().chain(present.loads.keys()).collect();
    let differences = workers.into_iter().map(|worker| (load(held, worker) - load(present, worker)).abs());
    differences.sum::<f64>() / f64::from(present.loads.values().sum::<u32>().max(1))
}

/// Tells why a change was not taken.
fn log_refusal(answer: &Answer) {
    eprintln!("change not taken, {}: {}", answer.status, String::from_utf8_lossy(&answer.body));
}

/// Bytes of the body of a call.
fn call_bytes(input: &Input) -> usize {
    match input {
        Input::Call(_, Call::Heartbeat { body, .. }) => body.len(),
        Input::Call(_, Call::Change(order)) => order.body.len(),
        _ => 0,
    }
}

fn peer_kind(frame: &PeerFrame) -> &'static str {
    match &frame.body {
        Some(PeerBody::Heartbeat(_)) => "core heartbeat",
        Some(PeerBody::Register(_)) => "register",
        Some(PeerBody::WorkerUpdate(update)) if update.entries.len() > 1 => "worker table",
        Some(PeerBody::WorkerUpdate(_)) => "worker update",
        Some(PeerBody::WorkerUpdateAck(_)) => "worker update acknowledged",
        Some(PeerBody::WorkersHeard(_)) => "workers heard",
        Some(PeerBody::Load(_)) => "load of a core node",
        Some(PeerBody::Missing(_)) => "missing",
        Some(PeerBody::Residency(_)) => "residency",
        Some(PeerBody::Expectation(_)) => "expectation",
        None => "nothing",
    }
}

fn upstream_kind(message: &Upstream) -> &'static str {
    match &message.body {
        Some(UpstreamBody::Hello(_)) => "hello",
        Some(UpstreamBody::Fetch(_)) => "fetch",
        Some(UpstreamBody::Missing(_)) => "missing",
        Some(UpstreamBody::Summary(_)) => "summary",
        None => "nothing",
    }
}

fn downstream_kind(message: &Downstream) -> &'static str {
    match &message.body {
        Some(DownstreamBody::Status(_)) => "status",
        Some(DownstreamBody::Configuration(_)) => "configuration",
        Some(DownstreamBody::Workers(workers)) if workers.whole => "whole worker table",
        Some(DownstreamBody::Workers(_)) => "workers",
        Some(DownstreamBody::Loads(_)) => "loads",
        Some(DownstreamBody::Residency(_)) => "residency",
        Some(DownstreamBody::Expectation(_)) => "expectation",
        None => "nothing",
    }
}

/// Resident memory of this process in kilobytes, 0 where it can't be read.
fn resident_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}
