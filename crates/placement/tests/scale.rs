//! Planning for the largest fleets: the work of a round is bounded by the number of active models.

use googletest::prelude::*;
use switchhill_placement::{
    Engine, Input, ModelSpec, OrderAnswer, Output, Planner, PlannerSettings, Resident, WorkerId, WorkerState,
    WorkerView,
};

const MODELS: usize = 1_400;
const ADAPTERS_PER_MODEL: u32 = 44;
const WORKERS: usize = 940;
const ACTIVE_MODELS: usize = 300;

fn engine() -> Engine {
    let spec = |rank: usize| ModelSpec {
        name: format!("m{rank}"),
        weights_mb: 70_000.0,
        load_ms: 4_000,
        adapters: ADAPTERS_PER_MODEL,
        adapter_mb: 60.0,
    };
    Engine {
        models: (0..MODELS).map(spec).collect(),
        weights_mb: 230_000.0,
        adapter_slots: 8,
        loads_per_s: 100.0,
        slots: 32,
    }
}

fn views() -> Vec<WorkerView> {
    let view = |index: usize| WorkerView {
        id: WorkerId(format!("w{index}")),
        address: format!("w{index}:80"),
        zone: format!("z{}", index % 4),
        state: WorkerState::Ready,
        models: vec![Resident { name: format!("m{index}"), adapters: vec![] }],
        as_of_sequence: 1,
    };
    (0..WORKERS).map(view).collect()
}

/// Reports demand for adapters of many models and the same adapters as missing; some of the models are on no worker.
fn report_demand(planner: &mut Planner, now: u64) -> Vec<Output> {
    let mut outputs = Vec::new();
    for rank in 0..ACTIVE_MODELS {
        let model = format!("m{}", rank * MODELS / ACTIVE_MODELS);
        let adapter = Some(format!("a{}", 1 + rank as u32 % ADAPTERS_PER_MODEL));
        outputs.extend(planner.handle(
            now,
            Input::Demand {
                model: model.clone(),
                adapter: adapter.clone(),
                requests_per_s: 1.0,
                latency_target_ms: 500,
                outstanding: 1,
                waiting: 0,
            },
        ));
        outputs.extend(
            planner.handle(now, Input::Missing { model, adapter, waiting: 1, latency_target_ms: 500 }),
        );
    }
    outputs
}

#[gtest]
fn loads_are_planned_for_a_large_fleet() {
    let mut planner = Planner::new(0, PlannerSettings::default(), engine(), 1);
    planner.handle(0, Input::Workers(views()));
    for view in views() {
        let (worker, models) = (view.id, view.models);
        planner.handle(10, Input::Report { worker, busy: false, sequence: 0, models });
    }
    let mut orders = 0;
    for now in (500..5_000).step_by(50) {
        let mut outputs = planner.handle(now, Input::Tick);
        if now % 500 == 0 {
            outputs.extend(report_demand(&mut planner, now));
        }
        for output in outputs {
            if let Output::Order { order, .. } = output {
                orders += 1;
                planner.handle(now, Input::OrderResult { order, answer: OrderAnswer::Accepted });
            }
        }
    }
    expect_that!(orders, ge(ACTIVE_MODELS));
}
