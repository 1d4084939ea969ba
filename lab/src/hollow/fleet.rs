//! A hollow fleet: its processes, and the loop over events.

use super::core_nodes::new_core;
use super::data_plane::DataPlane;
use super::events::Event;
use super::gatekeepers::{new_edge, Edge};
use super::kinds::Label;
use super::ledger::{Ledger, Role};
use super::report::{DrainTimes, Report};
use super::worker::Worker;
use super::Sizes;
use crate::emulator::queue::EventQueue;
use crate::stand_in::resident_kb;
use std::collections::{BTreeSet, HashMap};
use switchhill_control::{ControlNode, Input};
use switchhill_distribution::{LoadTable, RelayInput};

/// Time in milliseconds of a message between machines.
pub(super) const NETWORK_MS: u64 = 1;
/// Time in milliseconds between ticks of a core node, of an agent, and between summaries of a data plane: the real ones.
const CORE_TICK_MS: u64 = 25;
const AGENT_TICK_MS: u64 = 50;
pub(super) const SUMMARY_MS: u64 = 300;
/// Time in milliseconds between heartbeats of a worker.
pub(super) const BEAT_MS: u64 = 1_200;
/// When the first configuration is sent, in milliseconds.
const FIRST_CHANGE_MS: u64 = 2_000;
/// Time in milliseconds of the start, which is not measured.
const START_MS: u64 = 10_000;
/// When a worker begins to leave, in milliseconds.
pub(super) const DRAIN_MS: u64 = START_MS + 1_300;
/// Data planes that run; the others would only repeat them.
pub(super) const DATA_PLANES: usize = 10;
/// The call of the worker that leaves.
pub(super) const DRAIN_CALL: u64 = 1 << 59;
/// Calls from this number on are the operator's.
pub(super) const OPERATOR_CALL: u64 = 1 << 60;

/// A hollow fleet.
pub(super) struct Fleet {
    pub(super) sizes: Sizes,
    pub(super) now: u64,
    queue: EventQueue<Event>,
    pub(super) cores: Vec<ControlNode>,
    pub(super) edges: Vec<Edge>,
    pub(super) workers: Vec<Worker>,
    pub(super) worker_numbers: HashMap<String, usize>,
    /// Revision that the operator knows.
    pub(super) revision: u64,
    pub(super) calls: u64,
    pub(super) ledger: Ledger,
    pub(super) drain: DrainTimes,
}

impl Fleet {
    /// A fleet whose processes all start at once.
    pub(super) fn new(sizes: Sizes, seed: u64) -> Fleet {
        let mut fleet = Fleet {
            sizes,
            now: 0,
            queue: EventQueue::default(),
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

    /// Adds an event at a time in milliseconds.
    pub(super) fn add(&mut self, at: u64, event: Event) {
        self.queue.add(at, event);
    }

    /// Runs the start and then so many seconds, which are measured.
    pub(super) fn run(mut self, seconds: u64) -> Report {
        self.add(START_MS + 1, Event::PartOver);
        self.add(START_MS + seconds * 1_000 + 1, Event::PartOver);
        self.run_part();
        let start = std::mem::take(&mut self.ledger);
        self.run_part();
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
            resident_kb: resident_kb(std::process::id()).unwrap_or(0),
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

    /// Runs until the part of the run that is on is over.
    fn run_part(&mut self) {
        while let Some((at, event)) = self.queue.take_next() {
            if matches!(event, Event::PartOver) {
                return;
            }
            self.now = at;
            self.happen(event);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::CoreTick(core) => {
                self.add(self.now + CORE_TICK_MS, Event::CoreTick(core));
                self.core_input(core, Label::local("tick"), || Some(Input::Tick));
            }
            Event::CoreInput { core, input, kind } => {
                self.core_input(core, Label::of_input(kind, &input), || Some(*input));
            }
            Event::Peer { core, frame } => self.peer(core, &frame),
            Event::Up { core, id, frame } => self.up(core, id, &frame),
            Event::Down { edge, link, frame } => self.down(edge, link, &frame),
            Event::LinkUp { edge, link } => {
                self.agent_input(edge, Label::local("link up"), || Some(RelayInput::LinkUp(link)));
            }
            Event::AgentTick(edge) => {
                self.add(self.now + AGENT_TICK_MS, Event::AgentTick(edge));
                self.agent_input(edge, Label::local("tick"), || Some(RelayInput::Tick));
            }
            Event::Summary(edge) => self.summary(edge),
            Event::Beat(worker) => self.beat(worker),
            Event::Change => self.change(),
            Event::Drain => self.drain(),
            Event::PartOver => {}
        }
    }
}

/// Sum of the differences of loads, as a part of all that are present.
fn relative_error(held: &LoadTable, present: &LoadTable) -> f64 {
    let load = |table: &LoadTable, worker: &String| f64::from(table.loads.get(worker).copied().unwrap_or(0));
    let workers: BTreeSet<&String> = held.loads.keys().chain(present.loads.keys()).collect();
    let differences = workers.into_iter().map(|worker| (load(held, worker) - load(present, worker)).abs());
    differences.sum::<f64>() / f64::from(present.loads.values().sum::<u32>().max(1))
}
