//! Alternation between replica loads of overloaded models and loads of missing models, which share the weight store and
//! the workers.

use std::collections::BTreeMap;

use googletest::prelude::*;
use switchhill_placement::{
    Engine, Input, ModelSpec, Operation, OrderAnswer, Output, Planner, PlannerSettings, Resident, WorkerId,
    WorkerState, WorkerView,
};

const SEED: u64 = 7;
const LOAD_MS: u64 = 4_000;
const TICK_MS: u64 = 50;
const DEMAND_INTERVAL_MS: u64 = 500;
const WORKERS: usize = 40;
const ADAPTERS: u32 = 80;
const RARE: [&str; 6] = ["r0", "r1", "r2", "r3", "r4", "r5"];

fn spec(name: &str, adapters: u32) -> ModelSpec {
    ModelSpec { name: name.to_owned(), weights_mb: 70_000.0, load_ms: LOAD_MS, adapters, adapter_mb: 60.0 }
}

fn engine(loads_per_s: f64) -> Engine {
    let names = ["busy", "spare", "left", "right"].into_iter().chain(RARE);
    let models = names.map(|name| spec(name, if name == "busy" { ADAPTERS } else { 0 })).collect();
    Engine { models, weights_mb: 150_000.0, adapter_slots: ADAPTERS, loads_per_s, slots: 32 }
}

fn resident(name: &str) -> Resident {
    Resident { name: name.to_owned(), adapters: Vec::new() }
}

#[derive(Debug, Default)]
struct SimulatedWorker {
    models: Vec<Resident>,
    sequence: u64,
    in_progress: Option<(u64, Operation, String)>,
}

/// A planner with workers that accept every order and execute it in the expected time.
struct Fleet {
    now: u64,
    planner: Planner,
    workers: BTreeMap<WorkerId, SimulatedWorker>,
    /// Model loads in the order in which they were sent, with the time of each.
    loads: Vec<(u64, String)>,
}

impl Fleet {
    fn new(loads_per_s: f64, workers: Vec<(String, Vec<Resident>)>) -> Self {
        let planner = Planner::new(0, PlannerSettings::default(), engine(loads_per_s), SEED);
        let workers = workers
            .into_iter()
            .map(|(id, models)| (WorkerId(id), SimulatedWorker { models, ..SimulatedWorker::default() }))
            .collect();
        let mut fleet = Self { now: 10_000, planner, workers, loads: Vec::new() };
        let views = fleet.workers.iter().map(|(id, worker)| view(id, worker)).collect();
        fleet.handle_input(Input::Workers(views));
        fleet
    }

    fn handle_input(&mut self, input: Input) {
        let mut outputs = self.planner.handle(self.now, input);
        while !outputs.is_empty() {
            let answers: Vec<Input> =
                outputs.drain(..).filter_map(|output| self.handle_output(output)).collect();
            outputs = answers.into_iter().flat_map(|input| self.planner.handle(self.now, input)).collect();
        }
    }

    fn handle_output(&mut self, output: Output) -> Option<Input> {
        match output {
            Output::Order { order, worker, operation, model, adapter, .. } => {
                let receiver = self.workers.get_mut(&worker).unwrap();
                receiver.sequence += 1;
                if adapter.is_none() {
                    let duration_ms = if operation == Operation::Load { LOAD_MS } else { 0 };
                    receiver.in_progress = Some((self.now + duration_ms, operation, model.clone()));
                    if operation == Operation::Load {
                        self.loads.push((self.now, model));
                    }
                }
                Some(Input::OrderResult { order, answer: OrderAnswer::Accepted })
            }
            Output::RequestReport { worker, .. } => Some(self.report(worker)),
            _ => None,
        }
    }

    fn report(&mut self, id: WorkerId) -> Input {
        let worker = self.workers.get_mut(&id).unwrap();
        if let Some((_, operation, model)) =
            worker.in_progress.take_if(|(done_at, _, _)| *done_at <= self.now)
        {
            match operation {
                Operation::Load => worker.models.push(resident(&model)),
                Operation::Unload => worker.models.retain(|held| held.name != model),
            }
        }
        let (busy, sequence) = (worker.in_progress.is_some(), worker.sequence);
        Input::Report { worker: id, busy, sequence, models: worker.models.clone() }
    }

    fn run(&mut self, for_ms: u64, mut each_tick: impl FnMut(&mut Fleet)) {
        let end = self.now + for_ms;
        while self.now < end {
            self.now += TICK_MS;
            each_tick(self);
            self.handle_input(Input::Tick);
        }
    }

    fn demand(&mut self, model: &str, requests_per_s: f64, outstanding: u32) {
        if self.now.is_multiple_of(DEMAND_INTERVAL_MS) {
            self.handle_input(Input::Demand {
                model: model.to_owned(),
                adapter: None,
                requests_per_s,
                latency_target_ms: 400,
                outstanding,
                waiting: 0,
            });
        }
    }

    fn missing(&mut self, model: &str, adapter: Option<&str>) {
        let adapter = adapter.map(str::to_owned);
        self.handle_input(Input::Missing {
            model: model.to_owned(),
            adapter,
            waiting: 1,
            latency_target_ms: 6_000,
        });
    }

    fn loads_of(&self, model: &str) -> usize {
        self.loads.iter().filter(|(_, loaded)| loaded == model).count()
    }
}

fn view(id: &WorkerId, worker: &SimulatedWorker) -> WorkerView {
    WorkerView {
        id: id.clone(),
        address: format!("{id}:80"),
        zone: "z".to_owned(),
        state: WorkerState::Ready,
        models: worker.models.clone(),
        as_of_sequence: 1,
    }
}

/// Forty workers, one of which holds the busy model; the store allows one load a second.
fn overloaded_fleet() -> Fleet {
    let held = |index: usize| if index == 0 { vec![resident("busy")] } else { Vec::new() };
    Fleet::new(1.0, (0..WORKERS).map(|index| (format!("w{index:02}"), held(index))).collect())
}

/// Keeps the busy model overloaded while the given other models are reported missing.
fn run_with_overload(fleet: &mut Fleet, for_ms: u64, rare: &[&str]) {
    fleet.run(for_ms, |fleet| {
        fleet.demand("busy", 1_000.0, 1_000);
        for model in rare {
            fleet.missing(model, None);
        }
    });
}

#[gtest]
fn a_missing_model_is_loaded_after_at_most_two_replica_loads() {
    let mut fleet = overloaded_fleet();
    run_with_overload(&mut fleet, 5_000, &[]);
    expect_that!(fleet.loads_of("busy"), ge(3), "{:?}", fleet.loads);
    let reported_at = fleet.now;
    run_with_overload(&mut fleet, 30_000, &RARE);
    let overdue =
        fleet.loads.iter().filter(|(at, _)| *at > reported_at + 1_000).map(|(_, model)| model.as_str());
    let mut replica_loads = 0;
    let mut remaining =
        RARE.len() - fleet.loads.iter().filter(|(at, m)| *at <= reported_at + 1_000 && m != "busy").count();
    for model in overdue {
        replica_loads = if model == "busy" { replica_loads + 1 } else { 0 };
        remaining -= usize::from(model != "busy");
        expect_that!(replica_loads <= 2 || remaining == 0, eq(true), "{:?}", fleet.loads);
    }
    expect_that!(remaining, eq(0), "{:?}", fleet.loads);
    for model in RARE {
        expect_that!(fleet.loads_of(model), eq(1), "{model}: {:?}", fleet.loads);
    }
}

#[gtest]
fn replicas_of_overloaded_models_get_most_of_the_store_rate_while_models_are_missing() {
    let mut fleet = overloaded_fleet();
    run_with_overload(&mut fleet, 5_000, &[]);
    let before = fleet.loads.len();
    run_with_overload(&mut fleet, 12_000, &RARE);
    let (mut replica_loads, mut missing) = (0, 0);
    for (_, model) in &fleet.loads[before..] {
        if model == "busy" {
            replica_loads += 1;
        } else {
            missing += 1;
        }
    }
    expect_that!(missing, ge(3), "{:?}", fleet.loads);
    expect_that!(replica_loads, ge(2 * missing - 2), "{:?}", fleet.loads);
}

#[gtest]
fn a_recently_busy_model_is_evicted_only_for_a_request_that_has_waited_long() {
    let mut fleet = Fleet::new(4.0, vec![("w".to_owned(), vec![resident("left"), resident("right")])]);
    fleet.run(10_000, |fleet| {
        fleet.demand("left", 8.0, 4);
        fleet.demand("right", 8.0, 4);
    });
    fleet.run(4_000, |_| ());
    expect_that!(fleet.loads, is_empty());
    fleet.run(2_000, |fleet| fleet.missing("r0", None));
    expect_that!(fleet.loads, is_empty(), "the eviction costs more than one request justifies");
    fleet.run(25_000, |fleet| fleet.missing("r0", None));
    expect_that!(fleet.loads_of("r0"), eq(1), "{:?}", fleet.loads);
}

/// When a missing model evicted such a replica, the planner loaded the replica again at once, and the two models
/// evicted each other in turn.
#[gtest]
fn a_single_request_evicts_no_replica_whose_loss_raises_the_others_above_target_occupancy() {
    let holder = |id: &str, other: &str| (id.to_owned(), vec![resident("r5"), resident(other)]);
    let mut fleet = Fleet::new(4.0, vec![holder("w1", "left"), holder("w2", "right")]);
    let in_use = |fleet: &mut Fleet, running: u32| {
        fleet.demand("r5", f64::from(running), running);
        fleet.demand("left", 8.0, 3);
        fleet.demand("right", 8.0, 3);
    };
    fleet.run(5_000, |fleet| in_use(fleet, 12));
    fleet.run(4_000, |fleet| {
        in_use(fleet, 12);
        fleet.missing("r0", None);
    });
    expect_that!(
        fleet.loads,
        is_empty(),
        "12 of 32 slots on one replica exceed the target occupancy of a quarter"
    );
    fleet.run(8_000, |fleet| {
        in_use(fleet, 6);
        fleet.missing("r0", None);
    });
    expect_that!(fleet.loads_of("r0"), eq(1), "{:?}", fleet.loads);
}

#[gtest]
fn a_model_requested_later_does_not_overtake_one_that_waits_for_a_worker() {
    let mut fleet = Fleet::new(4.0, vec![("w".to_owned(), vec![resident("busy"), resident("spare")])]);
    fleet.missing("r0", None);
    fleet.run(1_000, |fleet| fleet.missing("r1", None));
    expect_that!(fleet.loads.len(), eq(1), "{:?}", fleet.loads);
    while fleet.loads.len() == 1 && fleet.now < 30_000 {
        fleet.now += TICK_MS / 2;
        fleet.missing("r2", None);
        fleet.now += TICK_MS / 2;
        fleet.missing("r1", None);
        fleet.handle_input(Input::Tick);
    }
    expect_that!(fleet.loads[1].1, eq("r1"), "{:?}", fleet.loads);
}

#[gtest]
fn a_worker_with_constant_adapter_changes_also_gets_model_loads() {
    let mut fleet = Fleet::new(4.0, vec![("w".to_owned(), vec![resident("busy")])]);
    let mut next = 0;
    fleet.run(2_000, |fleet| {
        for _ in 0..2 {
            next += 1;
            fleet.missing("busy", Some(&format!("a{next}")));
        }
        fleet.missing("r0", None);
    });
    expect_that!(next, le(ADAPTERS));
    expect_that!(fleet.loads_of("r0"), eq(1), "{:?}", fleet.loads);
    expect_that!(fleet.loads[0].0, le(10_500), "{:?}", fleet.loads);
}
