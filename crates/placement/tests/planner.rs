//! Outputs of the planner for single inputs.

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

/// A planner whose workers hold the given models and have reported them at 10 s.
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
struct SentOrder {
    id: OrderId,
    worker: String,
    operation: Operation,
    servable: String,
    if_revision: Option<u64>,
}

fn sent_orders(outputs: &[Output]) -> Vec<SentOrder> {
    let order = |output: &Output| match output {
        Output::Order { order, worker, operation, model, adapter, if_revision, .. } => Some(SentOrder {
            id: *order,
            worker: worker.0.clone(),
            operation: *operation,
            servable: adapter.as_ref().map_or(model.clone(), |adapter| format!("{model}/{adapter}")),
            if_revision: *if_revision,
        }),
        _ => None,
    };
    outputs.iter().filter_map(order).collect()
}

fn report_requests(outputs: &[Output]) -> usize {
    outputs.iter().filter(|output| matches!(output, Output::RequestReport { .. })).count()
}

fn answer(planner: &mut Planner, now: u64, order: &SentOrder, answer: OrderAnswer) -> Vec<Output> {
    planner.handle(now, Input::OrderResult { order: order.id, answer })
}

fn resident_updates(outputs: &[Output]) -> Vec<Vec<Resident>> {
    let update = |output: &Output| match output {
        Output::Resident { models, .. } => Some(models.clone()),
        _ => None,
    };
    outputs.iter().filter_map(update).collect()
}

#[gtest]
fn no_order_goes_to_a_worker_that_has_not_reported() {
    let mut planner = Planner::new(0, PlannerSettings::default(), engine(), SEED);
    let outputs = planner.handle(10_000, Input::Workers(vec![view("w", vec![])]));
    expect_that!(report_requests(&outputs), eq(1));
    expect_that!(sent_orders(&planner.handle(10_000, missing("a", None))), is_empty());
    expect_that!(sent_orders(&planner.handle(10_100, report("w", true, 3, vec![]))), is_empty());
    expect_that!(sent_orders(&planner.handle(10_200, Input::Tick)), is_empty());
    planner.handle(10_400, report("w", false, 3, vec![]));
    let orders = sent_orders(&planner.handle(10_500, Input::Tick));
    expect_that!(orders.len(), eq(1));
    expect_that!(orders[0].if_revision, some(eq(3)));
}

#[gtest]
fn a_planner_sends_no_orders_during_the_lease_of_the_previous_planner() {
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
    let orders = sent_orders(&outputs);
    expect_that!(orders.len(), eq(1));
    let has_estimate = outputs.iter().any(|output| {
        matches!(output, Output::ReadyEstimate { ready_in_ms: Some(wait), .. } if (4_000..5_000).contains(wait))
    });
    expect_that!(has_estimate, eq(true));
    answer(&mut planner, 10_010, &orders[0], OrderAnswer::Accepted);
    expect_that!(report_requests(&planner.handle(13_900, Input::Tick)), eq(0));
    expect_that!(report_requests(&planner.handle(14_300, Input::Tick)), eq(1));
    let outputs = planner.handle(14_310, report("w", true, 6, vec![]));
    expect_that!(resident_updates(&outputs), is_empty());
    expect_that!(report_requests(&planner.handle(14_600, Input::Tick)), eq(1));
    let outputs = planner.handle(14_610, report("w", false, 6, vec![resident("a", &[])]));
    expect_that!(resident_updates(&outputs), elements_are![elements_are![eq(&resident("a", &[]))]]);
}

#[gtest]
fn a_report_older_than_the_last_order_is_requested_again() {
    let mut planner = planner(&[("w", vec![])]);
    let orders = sent_orders(&planner.handle(10_000, missing("a", None)));
    answer(&mut planner, 10_010, &orders[0], OrderAnswer::Accepted);
    planner.handle(14_300, Input::Tick);
    let outputs = planner.handle(14_310, report("w", false, 5, vec![]));
    expect_that!(resident_updates(&outputs), is_empty());
    expect_that!(report_requests(&planner.handle(14_500, Input::Tick)), eq(1));
}

#[gtest]
fn an_evicted_model_is_withdrawn_from_routers_before_its_unload_and_the_load_waits_for_confirmation() {
    let held = vec![resident("a", &[]), resident("b", &[])];
    let mut planner = planner(&[("w", held)]);
    let outputs = planner.handle(20_000, missing("c", None));
    let unload = sent_orders(&outputs);
    expect_that!(unload.len(), eq(1));
    expect_that!(unload[0].operation, eq(Operation::Unload));
    expect_that!(resident_updates(&outputs).len(), eq(1));
    expect_that!(resident_updates(&outputs)[0].len(), eq(1));
    let outputs = answer(&mut planner, 20_010, &unload[0], OrderAnswer::Accepted);
    expect_that!(sent_orders(&outputs), is_empty());
    planner.handle(20_300, Input::Tick);
    let kept = if unload[0].servable == "a" { "b" } else { "a" };
    let outputs = planner.handle(20_310, report("w", false, 6, vec![resident(kept, &[])]));
    let load = sent_orders(&outputs);
    expect_that!(load.len(), eq(1));
    expect_that!(load[0].servable, eq("c"));
    expect_that!(load[0].if_revision, some(eq(6)));
}

#[gtest]
fn an_unanswered_load_counts_as_loaded_even_if_a_report_does_not_show_it() {
    let mut planner = planner(&[("w", vec![resident("a", &[])])]);
    let orders = sent_orders(&planner.handle(20_000, missing("b", None)));
    expect_that!(orders[0].servable, eq("b"));
    answer(&mut planner, 20_010, &orders[0], OrderAnswer::NoAnswer);
    expect_that!(report_requests(&planner.handle(20_400, Input::Tick)), eq(1));
    planner.handle(20_410, report("w", false, 5, vec![resident("a", &[])]));
    let mut outputs = planner.handle(20_420, missing("c", None));
    outputs.extend(planner.handle(20_500, Input::Tick));
    let loads: Vec<SentOrder> =
        sent_orders(&outputs).into_iter().filter(|order| order.operation == Operation::Load).collect();
    expect_that!(loads.iter().all(|order| order.servable == "b"), eq(true), "{loads:?}");
}

#[gtest]
fn an_adapter_is_loaded_where_its_model_is_loaded_and_announced_after_its_load() {
    let mut planner = planner(&[("v", vec![resident("b", &[])]), ("w", vec![resident("a", &[])])]);
    let orders = sent_orders(&planner.handle(20_000, missing("a", Some("a3"))));
    expect_that!(orders.len(), eq(1));
    expect_that!((orders[0].worker.as_str(), orders[0].servable.as_str()), eq(("w", "a/a3")));
    answer(&mut planner, 20_010, &orders[0], OrderAnswer::Accepted);
    let outputs = planner.handle(20_050, Input::Tick);
    expect_that!(resident_updates(&outputs), elements_are![elements_are![eq(&resident("a", &["a3"]))]]);
}

#[gtest]
fn the_least_recently_used_adapter_is_evicted_when_all_slots_are_taken() {
    let mut planner = planner(&[("w", vec![resident("a", &["a1", "a2"])])]);
    planner.handle(20_000, missing("a", Some("a1")));
    let orders = sent_orders(&planner.handle(20_100, missing("a", Some("a3"))));
    expect_that!(orders.len(), eq(1));
    expect_that!(orders[0].operation, eq(Operation::Unload));
    expect_that!(orders[0].servable, eq("a/a2"));
}

#[gtest]
fn the_token_bucket_of_a_new_planner_is_empty() {
    let mut planner = Planner::new(0, PlannerSettings::default(), engine(), SEED);
    planner.handle(0, Input::Workers(vec![view("w", vec![])]));
    planner.handle(0, report("w", false, 0, vec![]));
    expect_that!(sent_orders(&planner.handle(0, missing("a", None))), is_empty());
    expect_that!(sent_orders(&planner.handle(100, Input::Tick)), is_empty());
    expect_that!(sent_orders(&planner.handle(300, Input::Tick)).len(), eq(1));
}

#[gtest]
fn a_reload_from_the_disk_of_the_worker_needs_no_store_token() {
    let mut engine = engine();
    engine.loads_per_s = 0.0;
    let mut planner = Planner::new(0, PlannerSettings::default(), engine, SEED);
    let held = vec![resident("a", &[]), resident("b", &[])];
    planner.handle(0, Input::Workers(vec![view("w", held.clone())]));
    planner.handle(0, report("w", false, 0, held));
    planner.handle(0, Input::Workers(vec![WorkerView { as_of_sequence: 9, ..view("w", vec![]) }]));
    planner.handle(9_000, Input::Workers(vec![WorkerView { as_of_sequence: 10, ..view("w", vec![]) }]));
    planner.handle(9_010, report("w", false, 2, vec![]));
    expect_that!(sent_orders(&planner.handle(9_020, missing("c", None))), is_empty());
    expect_that!(sent_orders(&planner.handle(9_030, missing("a", None))).len(), eq(1));
}

#[gtest]
fn a_stale_fencing_token_stops_the_planner() {
    let mut planner = planner(&[("w", vec![])]);
    let orders = sent_orders(&planner.handle(20_000, missing("a", None)));
    let outputs = answer(&mut planner, 20_010, &orders[0], OrderAnswer::StaleFence);
    expect_that!(outputs, contains(eq(&Output::Superseded)));
    expect_that!(planner.is_superseded(), eq(true));
    expect_that!(planner.handle(20_100, missing("b", None)), is_empty());
}

#[gtest]
fn an_order_rejected_as_busy_is_repeated_after_a_report() {
    let mut planner = planner(&[("w", vec![])]);
    let orders = sent_orders(&planner.handle(20_000, missing("a", None)));
    let outputs = answer(&mut planner, 20_010, &orders[0], OrderAnswer::Busy);
    expect_that!(sent_orders(&outputs), is_empty());
    expect_that!(report_requests(&planner.handle(20_200, Input::Tick)), eq(1));
    let again = sent_orders(&planner.handle(20_210, report("w", false, 9, vec![])));
    expect_that!(again.len(), eq(1));
    expect_that!(again[0].if_revision, some(eq(9)));
}

#[gtest]
fn a_rejected_load_is_not_repeated_on_the_same_worker_at_once() {
    let mut planner = planner(&[("w", vec![])]);
    let orders = sent_orders(&planner.handle(20_000, missing("a", None)));
    answer(&mut planner, 20_010, &orders[0], OrderAnswer::Rejected);
    planner.handle(20_200, Input::Tick);
    planner.handle(20_210, report("w", false, 5, vec![]));
    for now in (20_250..22_000).step_by(50) {
        expect_that!(sent_orders(&planner.handle(now, Input::Tick)), is_empty());
    }
}

fn ready_estimates(outputs: &[Output]) -> Vec<Option<u64>> {
    let update = |output: &Output| match output {
        Output::ReadyEstimate { ready_in_ms, .. } => Some(*ready_in_ms),
        _ => None,
    };
    outputs.iter().filter_map(update).collect()
}

/// Every answer of the planner goes to all data planes, and each of them reports a missing model ten times a second.
/// When each report caused an answer, a large fleet spent its time on processing identical messages.
#[gtest]
fn reports_of_a_missing_model_are_answered_once_while_the_estimate_is_unchanged() {
    for state in [WorkerState::Ready, WorkerState::Draining] {
        let mut planner = planner(&[("w", vec![])]);
        planner.handle(20_000, Input::Workers(vec![WorkerView { state, ..view("w", vec![]) }]));
        let first = ready_estimates(&planner.handle(20_000, missing("a", None)));
        let has_estimate = state == WorkerState::Ready;
        expect_that!(first.len(), eq(1), "{state:?}");
        expect_that!(first[0].is_some(), eq(has_estimate), "{state:?}");
        for now in (20_005..21_000).step_by(5) {
            let again = ready_estimates(&planner.handle(now, missing("a", None)));
            expect_that!(again, is_empty(), "{state:?} at {now}");
        }
        // Repeated for data planes that started since or lost the message.
        let repeated = ready_estimates(&planner.handle(21_000, missing("a", None)));
        expect_that!(repeated.len(), eq(1), "{state:?}");
    }
}

#[gtest]
fn a_report_of_a_missing_model_is_answered_at_once_if_its_load_is_delayed() {
    let mut planner = planner(&[("w", vec![])]);
    let outputs = planner.handle(20_000, missing("a", None));
    expect_that!(ready_estimates(&outputs).len(), eq(1));
    let order = sent_orders(&outputs).remove(0);
    // The load starts 200 ms later than the planner estimated.
    answer(&mut planner, 20_200, &order, OrderAnswer::Accepted);
    expect_that!(ready_estimates(&planner.handle(20_210, missing("a", None))).len(), eq(1));
    expect_that!(ready_estimates(&planner.handle(20_220, missing("a", None))), is_empty());
}

#[gtest]
fn a_model_that_is_not_configured_has_no_ready_estimate() {
    let mut planner = planner(&[("w", vec![])]);
    let outputs = planner.handle(20_000, missing("z", None));
    expect_that!(outputs, elements_are![matches_pattern!(Output::ReadyEstimate { ready_in_ms: none(), .. })]);
}

#[gtest]
fn a_model_removed_from_the_configuration_is_evicted_first() {
    let mut planner = planner(&[("w", vec![resident("a", &[]), resident("d", &[])])]);
    let mut engine = engine();
    engine.models.remove(0);
    planner.set_engine(20_000, engine);
    let orders = sent_orders(&planner.handle(20_000, missing("b", None)));
    expect_that!(orders[0].operation, eq(Operation::Unload));
    expect_that!(orders[0].servable, eq("a"));
}

#[gtest]
fn nothing_is_ordered_to_a_draining_or_suspected_worker() {
    for state in [WorkerState::Draining, WorkerState::Suspected] {
        let mut planner = planner(&[("w", vec![])]);
        planner.handle(20_000, Input::Workers(vec![WorkerView { state, ..view("w", vec![]) }]));
        expect_that!(sent_orders(&planner.handle(20_000, missing("a", None))), is_empty(), "{state:?}");
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
fn an_adapter_that_the_model_does_not_have_is_not_ordered() {
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
fn a_load_ordered_from_an_unresponsive_worker_is_ordered_elsewhere() {
    let mut planner = planner(&[("v", vec![]), ("w", vec![])]);
    let orders = sent_orders(&planner.handle(20_000, missing("a", None)));
    answer(&mut planner, 20_010, &orders[0], OrderAnswer::NoAnswer);
    let mut elsewhere = Vec::new();
    for now in (20_050..24_000).step_by(50) {
        elsewhere.extend(sent_orders(&planner.handle(now, Input::Tick)));
        if now % 1_000 == 0 {
            planner.handle(now, missing("a", None));
        }
    }
    expect_that!(elsewhere.len(), eq(1));
    expect_that!(elsewhere[0].worker, not(eq(&orders[0].worker)));
}

#[gtest]
fn a_worker_with_far_more_load_than_the_others_is_relieved() {
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
        orders.extend(sent_orders(&planner.handle(now, Input::Tick)));
    }
    expect_that!(orders.len(), eq(1));
    expect_that!(orders[0].servable, eq("b"));
}

/// Guards against an answer to all data planes for each report of a model that is served.
#[gtest]
fn reports_of_a_served_model_are_answered_once_a_second() {
    let mut planner = planner(&[("w", vec![resident("a", &[])])]);
    let served_estimates = |outputs: &[Output]| {
        outputs
            .iter()
            .filter(|output| matches!(output, Output::ReadyEstimate { ready_in_ms: Some(0), .. }))
            .count()
    };
    let first = planner.handle(20_000, missing("a", None));
    expect_that!((served_estimates(&first), resident_updates(&first).len()), eq((1, 0)));
    for now in (20_010..21_000).step_by(90) {
        expect_that!(planner.handle(now, missing("a", None)), is_empty(), "at {now} ms");
    }
    let later = planner.handle(21_000, missing("a", None));
    expect_that!((served_estimates(&later), resident_updates(&later).len()), eq((1, 1)));
    let long_after = planner.handle(30_000, missing("a", None));
    expect_that!((served_estimates(&long_after), resident_updates(&long_after).len()), eq((1, 0)));
}
