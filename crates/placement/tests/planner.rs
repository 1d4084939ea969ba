//! The planner input by input.

use googletest::prelude::*;
use switchhill_placement::{
    Engine, Input, ModelSpec, Operation, OrderAnswer, OrderId, Output, Planner, PlannerSettings, Resident,
    WorkerId, WorkerState, WorkerView,
};

const SEED: u64 = 7;

fn spec(name: &str, adapters: u32) -> ModelSpec {
    ModelSpec { name: name.to_owned(), weights_mb: 70_000.0, load_ms: 4_000, adapters, adapter_mb: 60.0 }
}

fn engine() -> Engine {
    Engine {
        models: vec![spec("a", 12), spec("b", 0), spec("c", 0), spec("d", 0)],
        weights_mb: 150_000.0,
        adapter_slots: 2,
        loads_per_s: 4.0,
        slots: 32,
    }
}

fn resident(name: &str, adapters: &[&str]) -> Resident {
    Resident { name: name.to_owned(), adapters: adapters.iter().map(|name| (*name).to_owned()).collect() }
}

fn view(id: &str, models: Vec<Resident>) -> WorkerView {
    WorkerView {
        id: WorkerId(id.to_owned()),
        address: format!("{id}:80"),
        zone: "z".to_owned(),
        state: WorkerState::Ready,
        models,
        as_of_sequence: 1,
    }
}

fn report(id: &str, busy: bool, sequence: u64, models: Vec<Resident>) -> Input {
    Input::Report { worker: WorkerId(id.to_owned()), busy, sequence, models }
}

fn missing(model: &str, adapter: Option<&str>) -> Input {
    let adapter = adapter.map(str::to_owned);
    Input::Missing { model: model.to_owned(), adapter, waiting: 1, latency_target_ms: 6_000 }
}

/// A planner whose workers hold the given models and have reported so, at 10 s.
fn planner(workers: &[(&str, Vec<Resident>)]) -> Planner {
    let mut planner = Planner::new(0, PlannerSettings::default(), engine(), SEED);
    let views = workers.iter().map(|(id, models)| view(id, models.clone())).collect();
    planner.handle(10_000, Input::Workers(views));
    for (id, models) in workers {
        planner.handle(10_000, report(id, false, 5, models.clone()));
    }
    planner
}

#[derive(Debug, PartialEq)]
struct Sent {
    id: OrderId,
    worker: String,
    operation: Operation,
    what: String,
    if_revision: Option<u64>,
}

fn sent(outputs: &[Output]) -> Vec<Sent> {
    let order = |output: &Output| match output {
        Output::Order { order, worker, operation, model, adapter, if_revision, .. } => Some(Sent {
            id: *order,
            worker: worker.0.clone(),
            operation: *operation,
            what: adapter.as_ref().map_or(model.clone(), |adapter| format!("{model}/{adapter}")),
            if_revision: *if_revision,
        }),
        _ => None,
    };
    outputs.iter().filter_map(order).collect()
}

fn asks(outputs: &[Output]) -> usize {
    outputs.iter().filter(|output| matches!(output, Output::RequestReport { .. })).count()
}

fn answer(planner: &mut Planner, now: u64, order: &Sent, answer: OrderAnswer) -> Vec<Output> {
    planner.handle(now, Input::OrderResult { order: order.id, answer })
}

fn residents_told(outputs: &[Output]) -> Vec<Vec<Resident>> {
    let told = |output: &Output| match output {
        Output::Resident { models, .. } => Some(models.clone()),
        _ => None,
    };
    outputs.iter().filter_map(told).collect()
}

#[gtest]
fn no_order_goes_to_a_worker_that_has_not_reported() {
    let mut planner = Planner::new(0, PlannerSettings::default(), engine(), SEED);
    let outputs = planner.handle(10_000, Input::Workers(vec![view("w", vec![])]));
    expect_that!(asks(&outputs), eq(1));
    expect_that!(sent(&planner.handle(10_000, missing("a", None))), is_empty());
    expect_that!(sent(&planner.handle(10_100, report("w", true, 3, vec![]))), is_empty());
    expect_that!(sent(&planner.handle(10_200, Input::Tick)), is_empty());
    planner.handle(10_400, report("w", false, 3, vec![]));
    let orders = sent(&planner.handle(10_500, Input::Tick));
    expect_that!(orders.len(), eq(1));
    expect_that!(orders[0].if_revision, some(eq(3)));
}

#[gtest]
fn a_planner_only_watches_during_the_lease_of_its_predecessor() {
    let settings = PlannerSettings { watch_ms: 3_000, ..PlannerSettings::default() };
    let mut planner = Planner::new(1_000, settings, engine(), SEED);
    let outputs = planner.handle(1_000, Input::Workers(vec![view("w", vec![])]));
    expect_that!(outputs, is_empty());
    planner.handle(1_100, report("w", false, 0, vec![]));
    planner.handle(1_100, missing("a", None));
    for now in (1_150..4_000).step_by(50) {
        expect_that!(planner.handle(now, Input::Tick), each(matches_pattern!(Output::ReadyEstimate { .. })));
    }
}

#[gtest]
fn a_missing_model_is_loaded_and_announced_once_the_report_confirms_it() {
    let mut planner = planner(&[("w", vec![])]);
    let outputs = planner.handle(10_000, missing("a", None));
    let orders = sent(&outputs);
    expect_that!(orders.len(), eq(1));
    let expected = outputs.iter().any(|output| {
        matches!(output, Output::ReadyEstimate { ready_in_ms: Some(wait), .. } if (4_000..5_000).contains(wait))
    });
    expect_that!(expected, eq(true));
    answer(&mut planner, 10_010, &orders[0], OrderAnswer::Accepted);
    expect_that!(asks(&planner.handle(13_900, Input::Tick)), eq(0));
    expect_that!(asks(&planner.handle(14_300, Input::Tick)), eq(1));
    let outputs = planner.handle(14_310, report("w", true, 6, vec![]));
    expect_that!(residents_told(&outputs), is_empty());
    expect_that!(asks(&planner.handle(14_600, Input::Tick)), eq(1));
    let outputs = planner.handle(14_610, report("w", false, 6, vec![resident("a", &[])]));
    expect_that!(residents_told(&outputs), elements_are![elements_are![eq(&resident("a", &[]))]]);
}

#[gtest]
fn a_report_older_than_the_last_order_is_asked_for_again() {
    let mut planner = planner(&[("w", vec![])]);
    let orders = sent(&planner.handle(10_000, missing("a", None)));
    answer(&mut planner, 10_010, &orders[0], OrderAnswer::Accepted);
    planner.handle(14_300, Input::Tick);
    let outputs = planner.handle(14_310, report("w", false, 5, vec![]));
    expect_that!(residents_told(&outputs), is_empty());
    expect_that!(asks(&planner.handle(14_500, Input::Tick)), eq(1));
}

#[gtest]
fn what_gives_way_is_withdrawn_from_routers_before_its_unload_and_confirmed_before_the_load() {
    let held = vec![resident("a", &[]), resident("b", &[])];
    let mut planner = planner(&[("w", held)]);
    let outputs = planner.handle(20_000, missing("c", None));
    let unload = sent(&outputs);
    expect_that!(unload.len(), eq(1));
    expect_that!(unload[0].operation, eq(Operation::Unload));
    expect_that!(residents_told(&outputs).len(), eq(1));
    expect_that!(residents_told(&outputs)[0].len(), eq(1));
    let outputs = answer(&mut planner, 20_010, &unload[0], OrderAnswer::Accepted);
    expect_that!(sent(&outputs), is_empty());
    planner.handle(20_300, Input::Tick);
    let kept = if unload[0].what == "a" { "b" } else { "a" };
    let outputs = planner.handle(20_310, report("w", false, 6, vec![resident(kept, &[])]));
    let load = sent(&outputs);
    expect_that!(load.len(), eq(1));
    expect_that!(load[0].what, eq("c"));
    expect_that!(load[0].if_revision, some(eq(6)));
}

#[gtest]
fn an_unanswered_load_counts_as_there_even_when_a_report_does_not_show_it() {
    let mut planner = planner(&[("w", vec![resident("a", &[])])]);
    let orders = sent(&planner.handle(20_000, missing("b", None)));
    expect_that!(orders[0].what, eq("b"));
    answer(&mut planner, 20_010, &orders[0], OrderAnswer::NoAnswer);
    expect_that!(asks(&planner.handle(20_400, Input::Tick)), eq(1));
    planner.handle(20_410, report("w", false, 5, vec![resident("a", &[])]));
    let mut outputs = planner.handle(20_420, missing("c", None));
    outputs.extend(planner.handle(20_500, Input::Tick));
    let loads: Vec<Sent> =
        sent(&outputs).into_iter().filter(|order| order.operation == Operation::Load).collect();
    expect_that!(loads.iter().all(|order| order.what == "b"), eq(true), "{loads:?}");
}

#[gtest]
fn an_adapter_is_ordered_where_its_model_stands_and_announced_after_its_load() {
    let mut planner = planner(&[("v", vec![resident("b", &[])]), ("w", vec![resident("a", &[])])]);
    let orders = sent(&planner.handle(20_000, missing("a", Some("a3"))));
    expect_that!(orders.len(), eq(1));
    expect_that!((orders[0].worker.as_str(), orders[0].what.as_str()), eq(("w", "a/a3")));
    answer(&mut planner, 20_010, &orders[0], OrderAnswer::Accepted);
    let outputs = planner.handle(20_050, Input::Tick);
    expect_that!(residents_told(&outputs), elements_are![elements_are![eq(&resident("a", &["a3"]))]]);
}

#[gtest]
fn the_adapter_unused_for_longest_gives_way_when_all_slots_are_taken() {
    let mut planner = planner(&[("w", vec![resident("a", &["a1", "a2"])])]);
    planner.handle(20_000, missing("a", Some("a1")));
    let orders = sent(&planner.handle(20_100, missing("a", Some("a3"))));
    expect_that!(orders.len(), eq(1));
    expect_that!(orders[0].operation, eq(Operation::Unload));
    expect_that!(orders[0].what, eq("a/a2"));
}

#[gtest]
fn the_bucket_of_a_new_planner_is_empty() {
    let mut planner = Planner::new(0, PlannerSettings::default(), engine(), SEED);
    planner.handle(0, Input::Workers(vec![view("w", vec![])]));
    planner.handle(0, report("w", false, 0, vec![]));
    expect_that!(sent(&planner.handle(0, missing("a", None))), is_empty());
    expect_that!(sent(&planner.handle(100, Input::Tick)), is_empty());
    expect_that!(sent(&planner.handle(300, Input::Tick)).len(), eq(1));
}

#[gtest]
fn a_reload_from_the_workers_own_disk_needs_no_token() {
    let mut engine = engine();
    engine.loads_per_s = 0.0;
    let mut planner = Planner::new(0, PlannerSettings::default(), engine, SEED);
    let held = vec![resident("a", &[]), resident("b", &[])];
    planner.handle(0, Input::Workers(vec![view("w", held.clone())]));
    planner.handle(0, report("w", false, 0, held));
    planner.handle(0, Input::Workers(vec![WorkerView { as_of_sequence: 9, ..view("w", vec![]) }]));
    planner.handle(9_000, Input::Workers(vec![WorkerView { as_of_sequence: 10, ..view("w", vec![]) }]));
    planner.handle(9_010, report("w", false, 2, vec![]));
    expect_that!(sent(&planner.handle(9_020, missing("c", None))), is_empty());
    expect_that!(sent(&planner.handle(9_030, missing("a", None))).len(), eq(1));
}

#[gtest]
fn a_refused_fence_ends_the_planner() {
    let mut planner = planner(&[("w", vec![])]);
    let orders = sent(&planner.handle(20_000, missing("a", None)));
    let outputs = answer(&mut planner, 20_010, &orders[0], OrderAnswer::StaleFence);
    expect_that!(outputs, contains(eq(&Output::Superseded)));
    expect_that!(planner.is_superseded(), eq(true));
    expect_that!(planner.handle(20_100, missing("b", None)), is_empty());
}

#[gtest]
fn an_order_met_by_another_is_repeated_after_a_report() {
    let mut planner = planner(&[("w", vec![])]);
    let orders = sent(&planner.handle(20_000, missing("a", None)));
    let outputs = answer(&mut planner, 20_010, &orders[0], OrderAnswer::Busy);
    expect_that!(sent(&outputs), is_empty());
    expect_that!(asks(&planner.handle(20_200, Input::Tick)), eq(1));
    let again = sent(&planner.handle(20_210, report("w", false, 9, vec![])));
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].if_revision, some(eq(9)));
}

#[gtest]
fn a_rejected_model_is_not_ordered_there_again_at_once() {
    let mut planner = planner(&[("w", vec![])]);
    let orders = sent(&planner.handle(20_000, missing("a", None)));
    answer(&mut planner, 20_010, &orders[0], OrderAnswer::Rejected);
    planner.handle(20_200, Input::Tick);
    planner.handle(20_210, report("w", false, 5, vec![]));
    for now in (20_250..22_000).step_by(50) {
        expect_that!(sent(&planner.handle(now, Input::Tick)), is_empty());
    }
}

fn expectations(outputs: &[Output]) -> Vec<Option<u64>> {
    let told = |output: &Output| match output {
        Output::ReadyEstimate { ready_in_ms, .. } => Some(*ready_in_ms),
        _ => None,
    };
    outputs.iter().filter_map(told).collect()
}

/// All gatekeepers are told what the planner answers to one of them. Each of them reports a model that its requests wait
/// for ten times a second, and with a message to all for each report a large fleet spent its time on hearing the same.
#[gtest]
fn reports_of_a_model_are_answered_once_while_nothing_changes() {
    for state in [WorkerState::Ready, WorkerState::Draining] {
        let mut planner = planner(&[("w", vec![])]);
        planner.handle(20_000, Input::Workers(vec![WorkerView { state, ..view("w", vec![]) }]));
        let first = expectations(&planner.handle(20_000, missing("a", None)));
        let is_planned = state == WorkerState::Ready;
        expect_that!(first.len(), eq(1), "{state:?}");
        expect_that!(first[0].is_some(), eq(is_planned), "{state:?}");
        for now in (20_005..21_000).step_by(5) {
            let again = expectations(&planner.handle(now, missing("a", None)));
            expect_that!(again, is_empty(), "{state:?} at {now}");
        }
        // A gatekeeper that started since, or lost the message, hears it then.
        let repeated = expectations(&planner.handle(21_000, missing("a", None)));
        expect_that!(repeated.len(), eq(1), "{state:?}");
    }
}

#[gtest]
fn a_report_of_a_model_that_comes_later_than_told_is_answered_at_once() {
    let mut planner = planner(&[("w", vec![])]);
    let outputs = planner.handle(20_000, missing("a", None));
    expect_that!(expectations(&outputs).len(), eq(1));
    let order = sent(&outputs).remove(0);
    // The load begins 200 ms later than the planner reckoned.
    answer(&mut planner, 20_200, &order, OrderAnswer::Accepted);
    expect_that!(expectations(&planner.handle(20_210, missing("a", None))).len(), eq(1));
    expect_that!(expectations(&planner.handle(20_220, missing("a", None))), is_empty());
}

#[gtest]
fn a_model_not_configured_is_not_expected() {
    let mut planner = planner(&[("w", vec![])]);
    let outputs = planner.handle(20_000, missing("z", None));
    expect_that!(outputs, elements_are![matches_pattern!(Output::ReadyEstimate { ready_in_ms: none(), .. })]);
}

#[gtest]
fn a_model_dropped_from_the_configuration_gives_way_first() {
    let mut planner = planner(&[("w", vec![resident("a", &[]), resident("d", &[])])]);
    let mut engine = engine();
    engine.models.remove(0);
    planner.set_engine(20_000, engine);
    let orders = sent(&planner.handle(20_000, missing("b", None)));
    expect_that!(orders[0].operation, eq(Operation::Unload));
    expect_that!(orders[0].what, eq("a"));
}

#[gtest]
fn nothing_is_ordered_to_a_draining_or_suspected_worker() {
    for state in [WorkerState::Draining, WorkerState::Suspected] {
        let mut planner = planner(&[("w", vec![])]);
        planner.handle(20_000, Input::Workers(vec![WorkerView { state, ..view("w", vec![]) }]));
        expect_that!(sent(&planner.handle(20_000, missing("a", None))), is_empty(), "{state:?}");
    }
}

#[gtest]
fn the_same_inputs_give_the_same_outputs() {
    let run = || {
        let mut planner = planner(&[("u", vec![]), ("v", vec![]), ("w", vec![])]);
        let mut outputs = planner.handle(20_000, missing("a", None));
        outputs.extend(planner.handle(20_000, missing("b", None)));
        outputs.extend(planner.handle(20_500, Input::Tick));
        outputs
    };
    expect_that!(run(), eq(&run()));
}

#[gtest]
fn an_adapter_the_model_does_not_have_is_not_ordered() {
    let mut planner = planner(&[("w", vec![resident("a", &[])])]);
    for adapter in ["a0", "a13", "b1", ""] {
        let outputs = planner.handle(20_000, missing("a", Some(adapter)));
        expect_that!(
            outputs,
            elements_are![matches_pattern!(Output::ReadyEstimate { ready_in_ms: none(), .. })],
            "{adapter}"
        );
    }
}

#[gtest]
fn what_was_ordered_to_a_worker_that_no_longer_answers_is_ordered_elsewhere() {
    let mut planner = planner(&[("v", vec![]), ("w", vec![])]);
    let orders = sent(&planner.handle(20_000, missing("a", None)));
    answer(&mut planner, 20_010, &orders[0], OrderAnswer::NoAnswer);
    let mut elsewhere = Vec::new();
    for now in (20_050..24_000).step_by(50) {
        elsewhere.extend(sent(&planner.handle(now, Input::Tick)));
        if now % 1_000 == 0 {
            planner.handle(now, missing("a", None));
        }
    }
    expect_that!(elsewhere.len(), eq(1));
    expect_that!(elsewhere[0].worker, not(eq(&orders[0].worker)));
}

#[gtest]
fn a_worker_with_far_more_to_do_than_the_others_is_relieved() {
    let mut planner = planner(&[("u", vec![]), ("v", vec![]), ("w", vec![resident("b", &[])])]);
    let mut orders = Vec::new();
    for now in (20_000..23_000).step_by(100) {
        if now % 500 == 0 {
            planner.handle(
                now,
                Input::Demand {
                    model: "b".to_owned(),
                    adapter: None,
                    requests_per_s: 1.0,
                    latency_target_ms: 6_000,
                    outstanding: 4,
                    waiting: 0,
                },
            );
            let worker = WorkerId("w".to_owned());
            planner.handle(now, Input::Load { worker, running: 4, queued: 0, kv_used: 90, kv_total: 100 });
        }
        orders.extend(sent(&planner.handle(now, Input::Tick)));
    }
    expect_that!(orders.len(), eq(1));
    expect_that!(orders[0].what, eq("b"));
}

/// Guarded against: each of many gatekeepers that report a model which stands was answered to all of them.
#[gtest]
fn reports_of_what_stands_are_answered_once_a_second_to_the_fleet() {
    let mut planner = planner(&[("w", vec![resident("a", &[])])]);
    let expected = |outputs: &[Output]| {
        outputs
            .iter()
            .filter(|output| matches!(output, Output::ReadyEstimate { ready_in_ms: Some(0), .. }))
            .count()
    };
    let first = planner.handle(20_000, missing("a", None));
    expect_that!((expected(&first), residents_told(&first).len()), eq((1, 0)));
    for now in (20_010..21_000).step_by(90) {
        expect_that!(planner.handle(now, missing("a", None)), is_empty(), "at {now} ms");
    }
    let later = planner.handle(21_000, missing("a", None));
    expect_that!((expected(&later), residents_told(&later).len()), eq((1, 1)));
    let long_after = planner.handle(30_000, missing("a", None));
    expect_that!((expected(&long_after), residents_told(&long_after).len()), eq((1, 0)));
}
