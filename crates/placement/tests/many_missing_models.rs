//! More models asked for at once than one round of the planner tries, on many workers.
//!
//! Guarded against: wants that rank first and can't be placed kept all others from being tried; and a round looked for room
//! on every worker for every want whose requests had waited for a second, which grows with the product of both.

use googletest::prelude::*;
use switchhill_placement::{
    Engine, Input, ModelSpec, Operation, OrderAnswer, Output, PlacementCounters, Planner, PlannerSettings,
    Resident, WorkerId, WorkerState, WorkerView,
};

const TICK_MS: u64 = 25;
/// Megabytes of a worker.
const WORKER_MB: f64 = 200_000.0;
/// A model that leaves room for a small one beside it, and not for a large one.
const BUSY_MB: f64 = 100_000.0;
const LARGE_MB: f64 = 150_000.0;
const SMALL_MB: f64 = 50_000.0;

fn spec(name: String, weights_mb: f64, load_ms: u64) -> ModelSpec {
    ModelSpec { name, weights_mb, load_ms, adapters: 0, adapter_mb: 0.0 }
}

struct Setting {
    workers: usize,
    large: usize,
    small: usize,
    load_ms: u64,
    loads_per_s: f64,
}

impl Setting {
    /// Each worker holds a busy model of its own.
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
        // Nothing but what is missing is loaded.
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

    /// Demand that lets no busy model give way.
    fn tell_demand(&self, planner: &mut Planner, now: u64) {
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

    /// Asks for all models that stand nowhere each 250 ms, the large ones with more requests; returns which small ones
    /// were ordered, and what was counted from the second second on.
    fn run(&self, seconds: u64) -> (usize, PlacementCounters) {
        let mut planner = self.planner();
        let mut ordered = std::collections::BTreeSet::new();
        for now in (TICK_MS..=seconds * 1_000).step_by(TICK_MS as usize) {
            let mut outputs = Vec::new();
            if now % 500 == 0 {
                self.tell_demand(&mut planner, now);
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
                    let counts = operation == Operation::Load && model.starts_with("small");
                    ordered.extend(counts.then_some(model));
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
fn wants_that_can_not_be_placed_keep_no_other_from_its_turn() {
    for (load_ms, loads_per_s) in [(600, 50.0), (4_000, 4.0)] {
        let setting = Setting { workers: 10, large: 60, small: 8, load_ms, loads_per_s };
        let (ordered, _) = setting.run(10);
        expect_that!(ordered, eq(8), "loads of {load_ms} ms");
    }
}

#[gtest]
fn the_work_of_a_second_is_bounded_whatever_the_number_of_wants_and_workers() {
    // Ten rounds a second, each with two passes of 32 tries, each of 64 workers.
    let most = 10 * 2 * 32 * 64;
    for (workers, wants) in [(10, 300), (100, 300), (300, 600)] {
        let setting = Setting { workers, large: wants, small: 0, load_ms: 600, loads_per_s: 50.0 };
        let (_, account) = setting.run(4);
        expect_that!(account.no_memory, gt(0), "{workers} workers, {wants} wants");
        let considered = account.workers_considered;
        expect_that!(considered, le(2 * most), "{workers} workers, {wants} wants");
        println!("{workers} workers, {wants} wants: {considered} workers considered in 2 s");
    }
}
