//! Announcement of loaded models by a new planner.
//!
//! Guards against a loaded model that is requested and rejected as missing after the planner's node was isolated. The
//! previous planner ordered the load and was cut off before it could announce the model. Data planes trust the last
//! announcement of a planner over the heartbeats of the worker. The next planner learned of the model from a heartbeat,
//! found the same in the worker's report, and announced nothing because nothing differed from the heartbeat. Requests
//! were rejected until the new planner changed something on that worker. Found by review while another fault was
//! investigated. In the run that was examined, the planner received two reports of missing models that were loaded
//! according to its record within 5 s of the change, and none later.

use googletest::prelude::*;
use switchhill_placement::{
    Engine, Input, ModelSpec, Output, Planner, PlannerSettings, Resident, WorkerId, WorkerState, WorkerView,
};

fn engine() -> Engine {
    let spec = |name: &str| ModelSpec {
        name: name.to_owned(),
        weights_mb: 70_000.0,
        load_ms: 600,
        adapters: 0,
        adapter_mb: 60.0,
    };
    Engine {
        models: vec![spec("first"), spec("second")],
        weights_mb: 150_000.0,
        adapter_slots: 4,
        loads_per_s: 20.0,
        slots: 8,
    }
}

fn residents(names: &[&str]) -> Vec<Resident> {
    names.iter().map(|name| Resident { name: (*name).to_owned(), adapters: Vec::new() }).collect()
}

fn worker() -> WorkerId {
    WorkerId("w".to_owned())
}

fn view(sequence: u64, models: &[&str]) -> Input {
    Input::Workers(vec![WorkerView {
        id: worker(),
        address: "10.0.0.1:80".to_owned(),
        zone: "z".to_owned(),
        state: WorkerState::Ready,
        models: residents(models),
        as_of_sequence: sequence,
    }])
}

fn report(sequence: u64, models: &[&str]) -> Input {
    Input::Report { worker: worker(), busy: false, sequence, models: residents(models) }
}

fn announcements(outputs: &[Output]) -> Vec<Vec<Resident>> {
    let residents = outputs.iter().filter_map(|output| match output {
        Output::Resident { models, .. } => Some(models.clone()),
        _ => None,
    });
    residents.collect()
}

#[gtest]
fn a_new_planner_announces_loaded_models_even_if_the_heartbeat_lists_the_same() {
    let mut planner = Planner::new(1_000, PlannerSettings::default(), engine(), 1);
    let mut outputs = planner.handle(1_000, view(3, &["first", "second"]));
    outputs.extend(planner.handle(1_010, report(5, &["first", "second"])));
    expect_that!(announcements(&outputs), eq(&vec![residents(&["first", "second"])]));
}

#[gtest]
fn a_planner_announces_loaded_models_once() {
    let mut planner = Planner::new(1_000, PlannerSettings::default(), engine(), 1);
    planner.handle(1_000, view(3, &["first"]));
    planner.handle(1_010, report(5, &["first"]));
    let mut outputs = planner.handle(2_200, view(4, &["first"]));
    outputs.extend(planner.handle(2_210, report(5, &["first"])));
    expect_that!(announcements(&outputs), is_empty());
}

fn missing(model: &str) -> Input {
    Input::Missing { model: model.to_owned(), adapter: None, waiting: 1, latency_target_ms: 1_000 }
}

fn planner_after_first_announcement() -> Planner {
    let mut planner = Planner::new(1_000, PlannerSettings::default(), engine(), 1);
    planner.handle(1_000, view(3, &["first"]));
    planner.handle(1_010, report(5, &["first"]));
    planner
}

/// A data plane that missed an announcement because a node on the path was frozen rejected requests for the model until
/// something else changed on that worker: worker tables are compared by digest, which does not cover loaded models.
#[gtest]
fn loaded_models_are_announced_again_while_they_are_reported_missing() {
    let mut planner = planner_after_first_announcement();
    let mut announced_at = Vec::new();
    for now in (5_000..8_000).step_by(100) {
        let outputs = planner.handle(now, missing("first"));
        for models in announcements(&outputs) {
            expect_that!(models, eq(&residents(&["first"])));
            announced_at.push(now);
        }
    }
    expect_that!(announced_at, elements_are![eq(&6_000), eq(&7_000)]);
}

#[gtest]
fn reports_sent_before_a_model_was_loaded_cause_no_further_announcement() {
    let mut planner = planner_after_first_announcement();
    let mut outputs = Vec::new();
    // Two separate bursts, each shorter than the interval of repeated announcements.
    for now in (5_000..5_900).step_by(100).chain((9_000..9_900).step_by(100)) {
        outputs.extend(planner.handle(now, missing("first")));
        outputs.extend(planner.handle(now + 50, Input::Tick));
    }
    expect_that!(announcements(&outputs), is_empty());
}
