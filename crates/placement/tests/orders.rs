//! Matching of answers to orders: late answers, worker restarts and consecutive planners.

use googletest::prelude::*;
use switchhill_placement::{
    Engine, Input, ModelSpec, OrderAnswer, OrderId, Output, Planner, PlannerSettings, Resident, WorkerId,
    WorkerState, WorkerView,
};

const SEED: u64 = 7;
const ADDRESS: &str = "10.0.0.1:80";

fn engine() -> Engine {
    let spec = |name: &str| ModelSpec {
        name: name.to_owned(),
        weights_mb: 70_000.0,
        load_ms: 4_000,
        adapters: 0,
        adapter_mb: 0.0,
    };
    Engine {
        models: vec![spec("a"), spec("b"), spec("c"), spec("d")],
        weights_mb: 150_000.0,
        adapter_slots: 2,
        loads_per_s: 4.0,
        slots: 32,
    }
}

fn planner(now: u64) -> Planner {
    Planner::new(now, PlannerSettings::default(), engine(), SEED)
}

fn worker_id(id: &str) -> WorkerId {
    WorkerId(id.to_owned())
}

/// A worker list with a single worker.
fn worker_list(id: &str, models: &[&str]) -> Input {
    Input::Workers(vec![WorkerView {
        id: worker_id(id),
        address: ADDRESS.to_owned(),
        zone: "z".to_owned(),
        state: WorkerState::Ready,
        models: residents(models),
        as_of_sequence: 1,
    }])
}

fn residents(models: &[&str]) -> Vec<Resident> {
    models.iter().map(|name| Resident { name: (*name).to_owned(), adapters: Vec::new() }).collect()
}

fn report(id: &str, sequence: u64, models: &[&str]) -> Input {
    Input::Report { worker: worker_id(id), busy: false, sequence, models: residents(models) }
}

fn missing(model: &str) -> Input {
    Input::Missing { model: model.to_owned(), adapter: None, waiting: 1, latency_target_ms: 6_000 }
}

fn orders(outputs: &[Output]) -> Vec<(OrderId, WorkerId, Option<u64>)> {
    let order = |output: &Output| match output {
        Output::Order { order, worker, if_revision, .. } => Some((*order, worker.clone(), *if_revision)),
        _ => None,
    };
    outputs.iter().filter_map(order).collect()
}

fn report_requests(outputs: &[Output]) -> Vec<WorkerId> {
    let request = |output: &Output| match output {
        Output::RequestReport { worker, .. } => Some(worker.clone()),
        _ => None,
    };
    outputs.iter().filter_map(request).collect()
}

#[gtest]
fn a_restarted_worker_must_report_before_it_gets_an_order_under_its_new_id() {
    let mut planner = planner(0);
    planner.handle(10_000, worker_list("first", &[]));
    planner.handle(10_000, report("first", 5, &[]));
    let before = orders(&planner.handle(10_100, missing("a")));
    expect_that!(before.len(), eq(1));
    let outputs = planner.handle(10_200, worker_list("second", &[]));
    expect_that!(orders(&outputs), is_empty());
    expect_that!(report_requests(&outputs), elements_are![eq(&worker_id("second"))]);
    for now in (10_250..10_600).step_by(50) {
        expect_that!(orders(&planner.handle(now, Input::Tick)), is_empty());
        expect_that!(orders(&planner.handle(now, missing("a"))), is_empty());
    }
    planner.handle(10_600, report("second", 0, &[]));
    let after = orders(&planner.handle(10_700, Input::Tick));
    expect_that!(after.len(), eq(1));
    expect_that!(after[0].1, eq(&worker_id("second")));
    expect_that!(after[0].2, some(eq(0)));
}

#[gtest]
fn an_answer_from_an_earlier_incarnation_of_a_worker_is_ignored() {
    for answer in [OrderAnswer::Accepted, OrderAnswer::NoAnswer, OrderAnswer::WrongInstance] {
        let mut planner = planner(0);
        planner.handle(10_000, worker_list("first", &[]));
        planner.handle(10_000, report("first", 5, &[]));
        let before = orders(&planner.handle(10_100, missing("a")));
        planner.handle(10_200, worker_list("second", &[]));
        planner.handle(10_300, report("second", 0, &[]));
        let after = orders(&planner.handle(10_400, Input::Tick));
        expect_that!(after.len(), eq(1), "{answer:?}");
        let outputs = planner.handle(10_500, Input::OrderResult { order: before[0].0, answer });
        expect_that!(outputs, is_empty(), "{answer:?}");
        planner.handle(10_600, Input::OrderResult { order: after[0].0, answer: OrderAnswer::Accepted });
        for now in (10_700..14_800).step_by(50) {
            expect_that!(
                report_requests(&planner.handle(now, Input::Tick)),
                is_empty(),
                "{answer:?} at {now}"
            );
        }
        let outputs = planner.handle(14_800, Input::Tick);
        expect_that!(report_requests(&outputs), elements_are![eq(&worker_id("second"))], "{answer:?}");
    }
}

#[gtest]
fn an_answer_to_an_order_of_the_previous_planner_is_not_matched_to_an_order_of_the_current_one() {
    let mut earlier = planner(0);
    earlier.handle(10_000, worker_list("w", &[]));
    earlier.handle(10_000, report("w", 5, &[]));
    let first = orders(&earlier.handle(10_100, missing("a")));
    let mut later = planner(10_200);
    later.handle(10_200, worker_list("w", &[]));
    later.handle(10_200, report("w", 5, &[]));
    let second = orders(&later.handle(20_000, missing("b")));
    expect_that!(second.len(), eq(1));
    later.handle(20_010, Input::OrderResult { order: first[0].0, answer: OrderAnswer::Busy });
    let outputs =
        later.handle(20_020, Input::OrderResult { order: second[0].0, answer: OrderAnswer::StaleFence });
    expect_that!(outputs, contains(eq(&Output::Superseded)));
}
