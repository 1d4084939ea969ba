//! The emulated deployment: its machines, what is on its way between them, and the loop over events.

mod behind;
mod core_machine;
mod core_process;
mod core_trouble;
mod cuts;
mod edge_machine;
mod edge_trouble;
mod flaw;
mod leaving;
mod lost;
mod message;
mod operator_calls;
mod trouble;
mod worker_place;

pub use flaw::Flaw;

pub use message::{CallNumber, Delivery, Event, Message};

use super::calm::Calm;
use super::checkers::{Checkers, ONLY_READS_FOR};
use super::faults::{Fault, PlannedFault};
use super::figures::Figures;
use super::host::Host;
use super::network::{Fate, Network, Path, Stream};
use super::operator::Operator;
use super::queue::EventQueue;
use super::site::{Bounds, Sizes};
use core_machine::CoreMachine;
use cuts::OpenCut;
use edge_machine::EdgeMachine;
use lost::Lost;
use operator_calls::OpenCall;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use worker_place::WorkerPlace;

/// Time in milliseconds between two looks of the checkers.
const CHECK_EVERY: u64 = 50;

/// Most replicas of an electorate.
const MOST_VOTERS: usize = 9;

/// Time in milliseconds within which all machines start.
const START_WITHIN: u64 = 300;

/// When the operator's first configuration is sent, in milliseconds.
const FIRST_CONFIGURATION: u64 = 800;

/// What a run is made of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The seed of all chance.
    pub seed: u64,
    /// Sizes of the deployment.
    pub sizes: Sizes,
    /// Faults in the order of time.
    pub faults: Vec<PlannedFault>,
    /// When the operator turns to plain changes, in milliseconds.
    pub plain_from: u64,
    /// When the run ends, in milliseconds.
    pub ends_at: u64,
    /// A planted fault.
    pub flaw: Option<Flaw>,
    /// Whether the run is told on standard output.
    pub narrated: bool,
}

/// The deployment.
pub struct World {
    now: u64,
    plan: Plan,
    bounds: Bounds,
    random: fastrand::Rng,
    events: EventQueue<Event>,
    network: Network<Delivery>,
    calm: Calm,
    /// Broken rules and figures.
    pub checkers: Checkers,
    cores: Vec<CoreMachine>,
    edges: Vec<EdgeMachine>,
    workers: Vec<WorkerPlace>,
    operator: Operator,
    operator_calls: BTreeMap<CallNumber, OpenCall>,
    /// Core machines as callers' lists show them, with the time from which they do.
    core_lists: VecDeque<(u64, Vec<usize>)>,
    /// Events of frozen machines.
    deferred: BTreeMap<Host, Vec<Event>>,
    /// Machines that stand still, each with the number of its freeze.
    frozen: BTreeMap<Host, u64>,
    lost: Lost,
    /// Faults that wait for the next acknowledgement.
    after_acknowledgement: Vec<Fault>,
    /// Faults that wait for the next change that is sent.
    after_sending: Vec<Fault>,
    /// Faults that wait for the next end of a worker that is acknowledged.
    after_end: Vec<Fault>,
    /// Faults that wait for the next order that a worker takes.
    after_order: Vec<Fault>,
    /// Spans in which answers to the operator are lost, with the share in a hundred of the newest.
    answers_lost: (u32, u32),
    /// Core machine that acknowledged a change or gave an order last.
    last_actor: usize,
    /// Core machine that gave an order to a worker last.
    last_giver: usize,
    /// Core machine that answered a reading last.
    last_reader: usize,
    /// How often each core machine was struck.
    struck: BTreeMap<usize, u32>,
    /// Core machines that come first among the seeds of processes that start now, with how many faults ask for it.
    seeds_first: (u32, Vec<usize>),
    /// Workers that heartbeat late, with how many faults ask for it.
    late_heartbeats: BTreeMap<usize, u32>,
    /// Core machines that are cut off from a majority, since when.
    cut_off: BTreeMap<usize, u64>,
    /// Cuts that last, by number.
    open_cuts: BTreeMap<u64, OpenCut>,
    next_cut: u64,
    /// What was played, by name.
    pub played: BTreeMap<String, u64>,
    /// What was measured.
    pub figures: Figures,
    flaw_state: flaw::FlawState,
    all_down_since: Option<u64>,
    /// Core machines that get SIGTERM while they answer the next call.
    terminate_when_busy: BTreeSet<usize>,
    /// Configurations that the operator's readings were answered with.
    pub reads: u64,
    /// Events handled so far.
    pub handled: u64,
    /// Digest of everything that was answered, to compare two runs.
    pub trace: u64,
}

impl World {
    /// The deployment at its first start.
    pub fn new(plan: Plan) -> World {
        let bounds = Bounds::default();
        let mut random = fastrand::Rng::with_seed(plan.seed);
        let sizes = plan.sizes;
        let operator = Operator::new(
            random.u64(..),
            FIRST_CONFIGURATION,
            plan.plain_from,
            plan.ends_at.saturating_sub(ONLY_READS_FOR),
        );
        let network = Network::new(random.u64(..));
        let disk_flaw = match plan.flaw {
            Some(Flaw::Disk(flaw)) => Some(flaw),
            _ => None,
        };
        let first_list: Vec<usize> = (0..sizes.cores()).collect();
        let zones = sizes.zones_of_cores();
        let mut world = World {
            now: 0,
            bounds,
            network,
            events: EventQueue::default(),
            calm: Calm::new(bounds),
            checkers: Checkers::new(bounds, &sizes),
            cores: zones.iter().map(|zone| CoreMachine::new(*zone, sizes.sync_ms, disk_flaw)).collect(),
            edges: (0..sizes.edges).map(|_| EdgeMachine::default()).collect(),
            workers: (0..sizes.workers).map(|_| WorkerPlace::default()).collect(),
            operator,
            operator_calls: BTreeMap::new(),
            core_lists: VecDeque::from([(0, first_list)]),
            deferred: BTreeMap::new(),
            frozen: BTreeMap::new(),
            lost: Lost::default(),
            after_acknowledgement: Vec::new(),
            after_sending: Vec::new(),
            after_end: Vec::new(),
            after_order: Vec::new(),
            answers_lost: (0, 0),
            last_actor: 0,
            last_giver: 0,
            last_reader: 0,
            struck: BTreeMap::new(),
            seeds_first: (0, Vec::new()),
            late_heartbeats: BTreeMap::new(),
            cut_off: BTreeMap::new(),
            open_cuts: BTreeMap::new(),
            next_cut: 0,
            played: BTreeMap::new(),
            figures: Figures::default(),
            flaw_state: flaw::FlawState::default(),
            reads: 0,
            all_down_since: None,
            terminate_when_busy: BTreeSet::new(),
            handled: 0,
            trace: 0,
            random,
            plan,
        };
        world.schedule_start();
        world
    }

    fn schedule_start(&mut self) {
        for core in 0..self.cores.len() {
            let at = self.random.u64(0..START_WITHIN);
            self.events.add(at, Event::CoreStart(core));
        }
        for edge in 0..self.edges.len() {
            let at = self.random.u64(0..START_WITHIN);
            self.events.add(at, Event::AgentStart(edge));
            self.events.add(at + self.random.u64(0..30), Event::DataPlaneStart(edge));
        }
        for place in 0..self.workers.len() {
            let at = self.random.u64(0..START_WITHIN);
            self.events.add(at, Event::WorkerStart(place));
        }
        for (number, fault) in self.plan.faults.iter().enumerate() {
            self.events.add(fault.at, Event::Fault(number));
        }
        self.events.add(FIRST_CONFIGURATION, Event::OperatorTick);
        self.events.add(CHECK_EVERY, Event::Check);
    }

    /// Plays to the end of the plan.
    pub fn run(&mut self) {
        while let Some((at, event)) = self.events.take_next() {
            if at > self.plan.ends_at {
                break;
            }
            self.now = at;
            self.happen(event);
        }
        let checkers = &mut self.checkers;
        checkers.liveness.ended(self.plan.ends_at, &self.calm, &mut checkers.violations);
        checkers.silence.check(&mut checkers.violations);
        self.figures.changes_missed = self.figures.count_acknowledged();
        self.figures.longest_file = self.cores.iter().map(|core| core.disk.length()).max().unwrap_or(0);
        self.figures.in_force_ms = checkers.in_force.times_ms().to_vec();
    }

    fn happen(&mut self, event: Event) {
        if let Some(host) = event.host().filter(|host| self.frozen.contains_key(host)) {
            self.deferred.entry(host).or_default().push(event);
            return;
        }
        self.handled += 1;
        match event {
            Event::CoreTick(core, life) => self.core_tick(core, life),
            Event::DiskDone(core, life) => self.disk_done(core, life),
            Event::ExchangeOver(core, life, number) => self.exchange_over(core, life, number),
            Event::Terminated(core, life) => self.handle_termination(core, life),
            Event::CoreStart(core) => self.start_core(core),
            Event::AgentTick(edge, life) => self.agent_tick(edge, life),
            Event::DataPlaneTick(edge, life) => self.data_plane_tick(edge, life),
            Event::Feed(edge, agent, data_plane, message) => self.fed(edge, agent, data_plane, message),
            Event::FeedBack(edge, agent, data_plane, message) => {
                self.feed_back(edge, agent, data_plane, message)
            }
            Event::AgentStart(edge) => self.start_agent(edge),
            Event::DataPlaneStart(edge) => self.start_data_plane(edge),
            Event::WorkerTick(place, life) => self.worker_tick(place, life),
            Event::WorkerStart(place) => self.start_worker(place),
            Event::OperatorTick => self.operator_tick(),
            Event::Deliver(delivery) => self.deliver(delivery),
            Event::Fault(number) => self.begin_fault(number),
            Event::Visit { core, race, hard } => self.operator.visit(self.now, core, race, hard),
            Event::Pause { core, for_ms } => self.pause_core(core, for_ms),
            Event::RestartCores(cores) => self.restart_cores(&cores),
            Event::LeaveZone { zone, core } => self.workers_of_zone_leave(zone, core),
            Event::FaultEnds(ending) => self.end_fault(ending),
            Event::Check => self.check(),
        }
    }

    /// Sends a message; a life of 0 for the receiver means whichever lives.
    fn send(&mut self, path: Path, stream: Stream, lives: (u32, Option<u32>), message: Message) {
        let delivery = Delivery { path, from_life: lives.0, to_life: lives.1, message };
        match self.network.route(self.now, path, stream) {
            Fate::Arrives(at) => self.events.add(at, Event::Deliver(delivery)),
            Fate::Refused => self.refuse_at_cut(stream, delivery),
            Fate::Held => self.network.hold(self.now, path, stream, delivery),
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        match delivery.path.to {
            Host::Core(core) => self.deliver_to_core(core, delivery),
            Host::Edge(edge) => self.deliver_to_agent(edge, delivery),
            Host::Worker(place) => self.deliver_to_worker(place, delivery),
            Host::Operator => self.deliver_to_operator(delivery),
        }
    }

    /// Core machines as the list of callers shows them now.
    fn listed_cores(&mut self) -> Vec<usize> {
        let shown = self.now.saturating_sub(self.bounds.seed_lag_ms);
        while self.core_lists.get(1).is_some_and(|(since, _)| *since <= shown) {
            self.core_lists.pop_front();
        }
        self.core_lists[0].1.clone()
    }

    /// Notes a change of the core machines.
    fn core_changed(&mut self) {
        let present = (0..self.cores.len()).filter(|core| !self.cores[*core].is_gone()).collect();
        self.core_lists.push_back((self.now, present));
    }

    /// Addresses that a process is started with.
    fn seeds(&mut self) -> Vec<String> {
        let mut listed = self.listed_cores();
        if self.now > START_WITHIN {
            self.random.shuffle(&mut listed);
        }
        if self.seeds_first.0 > 0 {
            let first = &self.seeds_first.1;
            listed.sort_by_key(|core| !first.contains(core));
        }
        listed.into_iter().take(3).map(|core| Host::Core(core).address()).collect()
    }

    /// Whether all core machines that are not gone run.
    fn all_cores_run(&self) -> bool {
        self.cores.iter().filter(|core| !core.is_gone()).all(CoreMachine::is_running)
    }

    /// Replicas that run, with their zones.
    fn living_voters(&self) -> BTreeMap<u64, usize> {
        self.cores.iter().filter_map(CoreMachine::voter).collect()
    }

    /// Tells of something in a narrated run.
    fn tell(&self, what: impl FnOnce() -> String) {
        if self.plan.narrated {
            println!("{:>6} {}", self.now, what());
        }
    }

    fn count_played(&mut self, kind: &str) {
        *self.played.entry(kind.to_owned()).or_default() += 1;
    }

    fn note(&mut self, value: u64) {
        self.trace = (self.trace.rotate_left(5) ^ value ^ self.now).wrapping_mul(0x0100_0000_01b3);
    }

    fn check(&mut self) {
        self.events.add(self.now + CHECK_EVERY, Event::Check);
        for edge in 0..self.edges.len() {
            self.check_edge(edge);
        }
        self.check_electorate();
        let checkers = &mut self.checkers;
        checkers.liveness.check(self.now, self.operator.waiting(), &self.calm, &mut checkers.violations);
        let leaving = self.workers.iter().enumerate().filter_map(|(place, worker)| {
            worker.leaves_unheard_since().map(|since| (Host::Worker(place), since))
        });
        checkers.ends.check(self.now, leaving, &self.calm, &mut checkers.violations);
    }

    /// The electorate is looked at when no core machine counts as lost.
    fn check_electorate(&mut self) {
        if self.figures.waits_for_electorate() {
            let living = self.living_voters();
            if self.checkers.electorate.is_full(&living, MOST_VOTERS) {
                self.figures.electorate_full(self.now);
            }
        }
        let all_well = self.present_cores().iter().all(|core| !self.lost.is_lost(self.now, *core))
            && self.lost.replaced(self.now).next().is_none();
        let since_start = self.now >= START_WITHIN + self.bounds.catch_up_ms;
        if all_well && since_start && self.all_cores_run() && self.calm.core_is_stable(self.now) {
            let living = self.living_voters();
            let checkers = &mut self.checkers;
            checkers.electorate.check(self.now, &living, &mut checkers.violations);
        }
    }
}
