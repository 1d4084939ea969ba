//! Heartbeat parsing and the wire encoding of workers.

use googletest::prelude::*;
use switchhill_registration::{Heartbeat, HeartbeatError, ResidentModel, Worker, WorkerState};

const HEARTBEAT: &str = r#"{"service":"chat","address":"10.0.0.9:8080","zone":"hall-a","revision":"v1","slots":64,
    "state":"ready","coldRemainingMs":1200,"phase":"both","models":[{"name":"m1","revision":3,"adapters":["a1"]},
    {"name":"m2"}],"sequence":4,"temperature":{"celsius":41}}"#;

fn parse(body: &str) -> std::result::Result<Worker, HeartbeatError> {
    Heartbeat::parse("i-1", body.as_bytes())
}

#[gtest]
fn all_heartbeat_fields_are_parsed() {
    let expected = Worker {
        id: "i-1".to_owned(),
        sequence: 4,
        service: "chat".to_owned(),
        address: "10.0.0.9:8080".to_owned(),
        zone: "hall-a".to_owned(),
        revision: "v1".to_owned(),
        slots: 64,
        state: WorkerState::Ready,
        cold_remaining_ms: 1_200,
        phase: "both".to_owned(),
        models: vec![
            ResidentModel { name: "m1".to_owned(), revision: 3, adapters: vec!["a1".to_owned()] },
            ResidentModel { name: "m2".to_owned(), revision: 0, adapters: vec![] },
        ],
        suspected: false,
    };
    expect_that!(parse(HEARTBEAT), ok(eq(&expected)));
}

#[gtest]
fn draining_heartbeat_may_include_the_remaining_time() {
    let parse_draining =
        |rest: &str| parse(&HEARTBEAT.replace(r#""state":"ready""#, &format!(r#""state":"draining"{rest}"#)));
    let state = |rest| parse_draining(rest).unwrap().state;
    expect_that!(state(""), eq(WorkerState::Draining { remaining_ms: None }));
    expect_that!(state(r#","remainingMs":1999.5"#), eq(WorkerState::Draining { remaining_ms: Some(2_000) }));
}

#[gtest]
fn minimal_heartbeat_gets_defaults() {
    let worker = parse(r#"{"service":"s","address":"a:1","sequence":1,"zone":null}"#).unwrap();
    expect_that!(worker.slots, eq(1));
    expect_that!(worker.state, eq(WorkerState::Ready));
    expect_that!(worker.phase.as_str(), eq("both"));
}

#[gtest]
fn field_errors_name_the_field() {
    let cases = [
        (r#""sequence":4"#, r#""sequence":"four""#, "sequence"),
        (r#""sequence":4"#, r#""sequence":null"#, "sequence"),
        (r#""state":"ready""#, r#""state":"asleep""#, "state"),
        (r#""slots":64"#, r#""slots":-1"#, "slots"),
        (r#"{"name":"m2"}"#, r#"{"name":2}"#, "models[1].name"),
    ];
    for (old, new, field) in cases {
        let error = parse(&HEARTBEAT.replace(old, new)).unwrap_err();
        expect_that!(
            error,
            matches_pattern!(HeartbeatError::Field { field: eq(field), .. }),
            "{new}: {error}"
        );
    }
    let error = parse(&HEARTBEAT.replace(r#""service":"chat","#, "")).unwrap_err();
    expect_that!(error.to_string(), contains_substring("service"));
}

#[gtest]
fn truncated_body_is_invalid_json() {
    for length in 0..HEARTBEAT.len() {
        let error = parse(&HEARTBEAT[..length]).unwrap_err();
        assert_that!(error, matches_pattern!(HeartbeatError::InvalidJson(_)), "truncated to {length} bytes");
    }
    expect_that!(parse(&format!("{HEARTBEAT}}}")), err(matches_pattern!(HeartbeatError::InvalidJson(_))));
}

#[gtest]
fn workers_round_trip_through_the_encoding() {
    let worker = parse(HEARTBEAT).unwrap();
    let draining = Worker { state: WorkerState::Draining { remaining_ms: Some(0) }, ..worker.clone() };
    let suspected = Worker { suspected: true, ..worker.clone() };
    for worker in [worker.to_gone(), worker, draining, suspected, Worker::gone("i-2")] {
        expect_that!(Worker::from_bytes(&worker.to_bytes()), ok(eq(&worker)));
    }
    expect_that!(Worker::from_bytes(b"\xff\xff"), err(anything()));
    // Field 8, the state, with a value that no version has used.
    expect_that!(Worker::from_bytes(&[8 << 3, 9]), err(anything()));
}
