//! More missing models at once than the planner attempts to place in one round, on many workers.
//!
//! Guards against two faults. High-ranked models that cannot be placed kept all others from being attempted. A round
//! evaluated every worker for every model whose requests had waited for a second, so that its cost grew with the
//! product of both numbers.

use googletest::prelude::*;
use switchhill_placement::{
    Engine, Input, ModelSpec, Operation, OrderAnswer, Output, PlacementCounters, Planner, PlannerSettings,
    Resident, WorkerId, WorkerState, WorkerView,
};

const TICK_MS: u64 = 25;
/// Memory of a worker in megabytes.
const WORKER_MB: f64 = 200_000.0;
/// Size of a model that leaves memory for a small model but not for a large one.
const BUSY_MB: f64 = 100_000.0;
const LARGE_MB: f64 = 150_000.0;
const SMALL_MB: f64 = 50_000.0;

fn spec(name: String, weights_mb: f64, load_ms: u64) -> ModelSpec {
    ModelSpec { name, weights_mb, load_ms, adapters: 0, adapter_mb: 0.0 }
}

struct Scenario {
    workers: usize,
    large: usize,
    small: usize,
    load_ms: u64,
    loads_per_s: f64,
}

impl Scenario {
    /// Models of the scenario: a busy one per worker, and the large and small ones that are missing.
    fn engine(&self) -> Engine {
        let busy = (0..self.workers).map(|n| spec(format!("busy{n}"), BUSY_MB, self.load_ms));
        let large = (0..self.large).map(|n| spec(format!("large{n}"), LARGE_MB, self.load_ms));
        let small = (0..self.small).map(|n| spec(format!("small{n}"), SMALL_MB, self.load_ms));
        Engine {
            models: busy.chain(large).chain(small).collect(),
            weights_mb: WORKER_MB,
            adapter_slots: 0,
            loads_per_s: self.loads_per_s,
            slots: 100,
        }
    }

    fn planner(&self) -> Planner {
        // Only missing models are loaded.
        let settings = PlannerSettings {
            growth: false,
            crowded_first: false,
            relief: false,
            anticipation: false,
            ..PlannerSettings::default()
        };
        let mut planner = Planner::new(0, settings, self.engine(), 1);
        let held = |n: usize| vec![Resident { name: format!("busy{n}"), adapters: Vec::new() }];
        let view = |n: usize| WorkerView {
            id: WorkerId(format!("w{n}")),
            address: format!("w{n}:80"),
            zone: "z".to_owned(),
            state: WorkerState::Ready,
            models: held(n),
            as_of_sequence: 1,
        };
        planner.handle(0, Input::Workers((0..self.workers).map(view).collect()));
        for n in 0..self.workers {
            let worker = WorkerId(format!("w{n}"));
            planner.handle(0, Input::Report { worker, busy: false, sequence: 0, models: held(n) });
        }
        planner
    }

    /// Reports so much demand for the busy models that none of them may be evicted.
    fn report_demand(&self, planner: &mut Planner, now: u64) {
        for n in 0..self.workers {
            let input = Input::Demand {
                model: format!("busy{n}"),
                adapter: None,
                requests_per_s: 50.0,
                latency_target_ms: 400,
                outstanding: 1,
                waiting: 0,
            };
            planner.handle(now, input);
        }
    }

    /// Reports all missing models every 250 ms, the large ones with more waiting requests. Returns the number of small
    /// models whose load was ordered, and the counters after the first two seconds.
    fn run(&self, seconds: u64) -> (usize, PlacementCounters) {
        let mut planner = self.planner();
        let mut ordered = std::collections::BTreeSet::new();
        for now in (TICK_MS..=seconds * 1_000).step_by(TICK_MS as usize) {
            let mut outputs = Vec::new();
            if now % 500 == 0 {
                self.report_demand(&mut planner, now);
            }
            if now > 1_000 && now % 250 == 0 {
                let large = (0..self.large).map(|n| (format!("large{n}"), 9));
                let small = (0..self.small).map(|n| (format!("small{n}"), 1));
                for (model, waiting) in large.chain(small) {
                    let missing = Input::Missing { model, adapter: None, waiting, latency_target_ms: 1_000 };
                    outputs.extend(planner.handle(now, missing));
                }
            }
            outputs.extend(planner.handle(now, Input::Tick));
            for output in outputs {
                if let Output::Order { order, operation, model, .. } = output {
                    let is_small_load = operation == Operation::Load && model.starts_with("small");
                    ordered.extend(is_small_load.then_some(model));
                    planner.handle(now, Input::OrderResult { order, answer: OrderAnswer::Accepted });
                }
            }
            if now == 2_000 {
                planner.take_counters();
            }
        }
        (ordered.len(), planner.take_counters())
    }
}

#[gtest]
fn models_that_cannot_be_placed_do_not_starve_others() {
    for (load_ms, loads_per_s) in [(600, 50.0), (4_000, 4.0)] {
        let scenario = Scenario { workers: 10, large: 60, small: 8, load_ms, loads_per_s };
        let (ordered, _) = scenario.run(10);
        expect_that!(ordered, eq(8), "loads of {load_ms} ms");
    }
}

#[gtest]
fn work_per_second_is_bounded_for_any_number_of_missing_models_and_workers() {
    // Ten rounds a second, each with two passes of 32 attempts, each of which evaluates 64 workers.
    let max_per_s = 10 * 2 * 32 * 64;
    for (workers, missing) in [(10, 300), (100, 300), (300, 600)] {
        let scenario = Scenario { workers, large: missing, small: 0, load_ms: 600, loads_per_s: 50.0 };
        let (_, counters) = scenario.run(4);
        expect_that!(counters.no_memory, gt(0), "{workers} workers, {missing} missing");
        let considered = counters.workers_considered;
        expect_that!(considered, le(2 * max_per_s), "{workers} workers, {missing} missing");
        println!("{workers} workers, {missing} missing: {considered} workers considered in 2 s");
    }
}
