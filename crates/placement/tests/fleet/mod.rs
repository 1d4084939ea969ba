//! Simulation of a planner, workers with the timing of the real protocol, and a router, with checks of the invariants.
#![allow(dead_code)]

pub mod checks;
pub mod load;
pub mod scenarios;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use switchhill_placement::{
    Engine, Input, ModelSpec, OrderAnswer, OrderId, Output, Planner, PlannerSettings, Resident, WorkerId,
    WorkerState, WorkerView,
};

use checks::OrderChecks;
use load::Load;
use worker::{ReceivedOrder, SimWorker};

/// Message loss and delay between planner and workers.
#[derive(Debug, Clone)]
pub struct Faults {
    /// Share of orders that do not reach the worker.
    pub order_loss: f64,
    /// Share of answers that do not reach the planner.
    pub answer_loss: f64,
    /// Share of reports that do not reach the planner.
    pub report_loss: f64,
    /// Maximum delay of an order in milliseconds.
    pub max_order_delay_ms: u64,
}

impl Faults {
    pub fn none() -> Self {
        Self { order_loss: 0.0, answer_loss: 0.0, report_loss: 0.0, max_order_delay_ms: 2 }
    }

    pub fn lossy() -> Self {
        Self { order_loss: 0.05, answer_loss: 0.08, report_loss: 0.1, max_order_delay_ms: 60 }
    }
}

enum Event {
    OrderArrives { planner: u64, worker: WorkerId, order: ReceivedOrder },
    OrderAnswered { planner: u64, order: OrderId, answer: OrderAnswer },
    ReportRequested { planner: u64, worker: WorkerId },
    ReportArrives { planner: u64, input: Input },
}

/// A simulated fleet with one active planner.
pub struct Fleet {
    pub now: u64,
    pub seed: u64,
    pub engine: Engine,
    pub workers: BTreeMap<WorkerId, SimWorker>,
    pub planner: Planner,
    pub checks: OrderChecks,
    pub load: Load,
    pub faults: Faults,
    /// Models that the router considers loaded, by worker.
    pub routes: BTreeMap<WorkerId, Vec<Resident>>,
    pub ready_estimates: BTreeMap<(String, Option<String>), Option<u64>>,
    pub reports_requested: u64,
    pub superseded: bool,
    /// Fault injected between planner and workers, to show that a check detects it.
    pub injected: Option<InjectedFault>,
    epoch: u64,
    random: Rng,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    next_worker_number: u64,
    views_changed: bool,
}

/// Kind of injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InjectedFault {
    /// Reports list no models, so that the planner assumes memory that the worker does not have.
    EmptyReports,
    /// Each order is also sent to up to nine other workers, without the expected revision.
    OrdersBroadcast,
    /// Each order is sent twice.
    OrdersDuplicated,
}

pub const HEARTBEAT_INTERVAL_MS: u64 = 1_200;
const LEASE_MS: u64 = 3_000;
const STEP_MS: u64 = 10;
const TICK_MS: u64 = 50;
const REPORT_LAG_MS: u64 = 200;

pub fn engine(models: usize, adapters: u32) -> Engine {
    let spec = |rank: usize| ModelSpec {
        name: format!("m{rank}"),
        weights_mb: if rank.is_multiple_of(3) { 65_100.0 } else { 72_700.0 },
        load_ms: if rank.is_multiple_of(3) { 3_800 } else { 4_300 },
        adapters: if rank < 6 { adapters } else { 0 },
        adapter_mb: 66.0,
    };
    Engine {
        models: (0..models).map(spec).collect(),
        weights_mb: 230_000.0,
        adapter_slots: 8,
        loads_per_s: 4.0,
        slots: 32,
    }
}

impl Fleet {
    /// Creates a fleet in which each worker holds one of the six busiest models and up to two others.
    pub fn new(seed: u64, engine: Engine, workers: usize, load: Load, faults: Faults) -> Self {
        let planner = Planner::new(0, PlannerSettings::default(), engine.clone(), seed);
        let mut fleet = Self {
            now: 0,
            seed,
            checks: OrderChecks::new(&engine),
            engine,
            workers: BTreeMap::new(),
            planner,
            load,
            faults,
            routes: BTreeMap::new(),
            ready_estimates: BTreeMap::new(),
            reports_requested: 0,
            superseded: false,
            injected: None,
            epoch: 1,
            random: Rng::with_seed(seed ^ 0x5eed),
            events: BTreeMap::new(),
            next_event: 0,
            next_worker_number: 0,
            views_changed: true,
        };
        for index in 0..workers {
            let address = format!("10.0.0.{index}:8080");
            let zone = format!("z{}", index % 4);
            fleet.start_worker(address, zone, BTreeSet::new());
        }
        fleet.place_initial_models();
        fleet
    }

    fn place_initial_models(&mut self) {
        let ids: Vec<WorkerId> = self.workers.keys().cloned().collect();
        let models = self.engine.models.len();
        for (index, id) in ids.iter().enumerate() {
            let busy = index % 6.min(models);
            let rare = [6 + index, 6 + ids.len() + index];
            let chosen = std::iter::once(busy).chain(rare).filter(|model| *model < models);
            let names: Vec<String> = chosen.map(|model| format!("m{model}")).collect();
            let worker = self.workers.get_mut(id).unwrap();
            worker.preload(&names);
        }
    }

    /// Starts an empty worker.
    pub fn start_worker(&mut self, address: String, zone: String, disk: BTreeSet<String>) -> WorkerId {
        self.next_worker_number += 1;
        let id = WorkerId(format!("i-{:05}", self.next_worker_number));
        let worker = SimWorker::new(id.clone(), address, zone, disk, self.now);
        self.workers.insert(id.clone(), worker);
        self.views_changed = true;
        id
    }

    /// Kills a worker and starts an empty one with the same address and disk.
    pub fn restart_worker(&mut self, id: &WorkerId) -> WorkerId {
        let old = self.workers.remove(id).unwrap();
        self.routes.remove(id);
        self.load.drop_running(id);
        self.start_worker(old.address, old.zone, old.disk)
    }

    /// Removes a worker permanently.
    pub fn remove_worker(&mut self, id: &WorkerId) {
        self.workers.remove(id);
        self.routes.remove(id);
        self.load.drop_running(id);
        self.views_changed = true;
    }

    /// Replaces the planner by a new one without state that observes for the lease of the previous one.
    pub fn replace_planner(&mut self) {
        self.replace_planner_watching(LEASE_MS);
    }

    /// Replaces the planner by a new one that sends orders after `watch_ms`. It may be shorter than the lease where
    /// workers reject orders with an outdated fencing token.
    pub fn replace_planner_watching(&mut self, watch_ms: u64) {
        self.epoch += 1;
        let settings = PlannerSettings { watch_ms, ..PlannerSettings::default() };
        self.planner = Planner::new(self.now, settings, self.engine.clone(), self.epoch);
        self.views_changed = true;
    }

    /// Workers that actually serve a model.
    pub fn holders(&self, model: &str) -> Vec<WorkerId> {
        let holds = |worker: &&SimWorker| worker.serves(model, None);
        self.workers.values().filter(holds).map(|worker| worker.id.clone()).collect()
    }

    /// Advances the simulation by a number of milliseconds.
    pub fn run(&mut self, for_ms: u64) {
        let end = self.now + for_ms;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for worker in self.workers.values_mut() {
            worker.advance(self.now, &self.load);
        }
        self.send_views();
        self.deliver();
        self.route_requests();
        if self.now.is_multiple_of(TICK_MS) {
            self.handle_input(Input::Tick);
        }
    }

    fn send_views(&mut self) {
        let mut heartbeat_sent = false;
        for worker in self.workers.values_mut() {
            heartbeat_sent |= worker.heartbeat(self.now);
        }
        if !heartbeat_sent && !self.views_changed {
            return;
        }
        self.views_changed = false;
        let views: Vec<WorkerView> = self.workers.values().map(SimWorker::view).collect();
        for view in &views {
            self.routes.entry(view.id.clone()).or_insert_with(|| view.models.clone());
        }
        self.handle_input(Input::Workers(views));
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            match entry.remove() {
                Event::OrderArrives { planner, worker, order } => self.order_arrives(planner, &worker, order),
                Event::OrderAnswered { planner, order, answer } if planner == self.epoch => {
                    self.handle_input(Input::OrderResult { order, answer });
                }
                Event::ReportRequested { planner, worker } => self.report_requested(planner, &worker),
                Event::ReportArrives { planner, input } if planner == self.epoch => self.handle_input(input),
                Event::OrderAnswered { .. } | Event::ReportArrives { .. } => {}
            }
        }
    }

    fn order_arrives(&mut self, planner: u64, id: &WorkerId, order: ReceivedOrder) {
        let order_id = order.id;
        let Some(worker) = self.workers.get_mut(id) else {
            self.schedule(
                500,
                Event::OrderAnswered { planner, order: order_id, answer: OrderAnswer::NoAnswer },
            );
            return;
        };
        self.checks.order_received(self.now, worker, &order, &self.engine);
        let answer = worker.handle_order(self.now, &order, &self.engine, &self.load);
        self.checks.order_answered(self.now, worker, &order, answer);
        let lost = self.random.f64() < self.faults.answer_loss;
        let (delay, answer) = if lost { (1_000, OrderAnswer::NoAnswer) } else { (1, answer) };
        self.schedule(delay, Event::OrderAnswered { planner, order: order_id, answer });
    }

    fn report_requested(&mut self, planner: u64, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        if self.random.f64() < self.faults.report_loss {
            return;
        }
        let mut report = worker.report(self.now.saturating_sub(REPORT_LAG_MS));
        if self.injected == Some(InjectedFault::EmptyReports) {
            if let Input::Report { models, .. } = &mut report {
                models.clear();
            }
        }
        self.schedule(2, Event::ReportArrives { planner, input: report });
    }

    fn route_requests(&mut self) {
        let inputs = self.load.advance(self.now, &self.routes, &mut self.workers);
        for input in inputs {
            self.handle_input(input);
        }
    }

    /// Passes an input to the planner and processes its outputs.
    pub fn handle_input(&mut self, input: Input) {
        for output in self.planner.handle(self.now, input) {
            self.handle_output(output);
        }
    }

    fn handle_output(&mut self, output: Output) {
        let planner = self.epoch;
        match output {
            Output::Order { order, worker, operation, model, adapter, if_revision, .. } => {
                let received =
                    ReceivedOrder { id: order, operation, model, adapter, if_revision, fence: planner };
                self.send_order(worker, received);
            }
            Output::RequestReport { worker, .. } => {
                self.reports_requested += 1;
                self.schedule(2, Event::ReportRequested { planner, worker });
            }
            Output::Resident { worker, models } => {
                self.routes.insert(worker, models);
            }
            Output::ReadyEstimate { model, adapter, ready_in_ms } => {
                self.load.record_ready_estimate(self.now, (model.clone(), adapter.clone()), ready_in_ms);
                self.ready_estimates.insert((model, adapter), ready_in_ms);
            }
            Output::Superseded => self.superseded = true,
        }
    }

    fn send_order(&mut self, worker: WorkerId, order: ReceivedOrder) {
        let planner = self.epoch;
        let delay = 1 + self.random.u64(0..=self.faults.max_order_delay_ms);
        if self.random.f64() < self.faults.order_loss {
            let answer = OrderAnswer::NoAnswer;
            self.schedule(1_000, Event::OrderAnswered { planner, order: order.id, answer });
            return;
        }
        self.inject_fault(&worker, &order);
        self.schedule(delay, Event::OrderArrives { planner, worker, order });
    }

    fn inject_fault(&mut self, worker: &WorkerId, order: &ReceivedOrder) {
        let planner = self.epoch;
        match self.injected {
            Some(InjectedFault::OrdersBroadcast) => {
                let others: Vec<WorkerId> = self.workers.keys().filter(|id| *id != worker).cloned().collect();
                for other in others.into_iter().take(9) {
                    let order = ReceivedOrder { if_revision: None, ..order.clone() };
                    self.schedule(1, Event::OrderArrives { planner, worker: other, order });
                }
            }
            Some(InjectedFault::OrdersDuplicated) => {
                let event = Event::OrderArrives { planner, worker: worker.clone(), order: order.clone() };
                self.schedule(1, event);
            }
            Some(InjectedFault::EmptyReports) | None => {}
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        self.events.insert((self.now + delay, self.next_event), event);
    }

    /// Marks a worker as draining.
    pub fn drain_worker(&mut self, id: &WorkerId) {
        self.workers.get_mut(id).unwrap().state = WorkerState::Draining;
        self.views_changed = true;
    }
}
