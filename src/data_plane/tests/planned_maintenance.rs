//! Planned maintenance: a new configuration, new settings and the shutdown interrupt no response.

use super::harness::{
    read_to_end, request_bytes, run_in_paused_time, settings, worker_view, ClientResponse, InMemoryHarness,
    RouteUnderTest, ALL_ROUTES,
};
use super::scripted_worker::{Plan, ReceivedRequest};
use crate::data_plane::policy;
use crate::data_plane::shutdown::Phase;
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Name of an operation that is performed while a request runs, and the operation.
type Operation = (&'static str, fn(&InMemoryHarness));

fn all_operations() -> Vec<Operation> {
    vec![
        ("a configuration without the route", |harness| {
            harness.publish_view(2, &[RouteUnderTest::Safe], vec![worker_view(1)])
        }),
        ("a configuration without workers", |harness| harness.publish_view(2, &ALL_ROUTES, Vec::new())),
        ("settings reloaded", |harness| {
            let mut settings = settings();
            settings.bounds.retry_budget_ratio = 0.0;
            settings.bounds.grace_s = 30.0;
            harness.shared.apply_settings(settings);
        }),
        ("SIGTERM", |harness| harness.shared.shutdown.begin()),
        ("the closing phase", |harness| harness.shared.shutdown.advance(Phase::Closing)),
    ]
}

#[gtest]
fn maintenance_at_any_byte_of_the_response_interrupts_nothing() {
    for route in ALL_ROUTES {
        let respond = route.respond_fn();
        let request =
            ReceivedRequest { headers: [("request-id".into(), "q1".into())].into(), ..Default::default() };
        let bytes = respond(&request);
        for (name, operation) in all_operations() {
            for sent in 0..bytes.len() {
                let case = format!("{}, {name}, {sent} bytes of the response", route.name());
                run_in_paused_time(async {
                    let mut harness = InMemoryHarness::start();
                    let beginning = bytes[..sent].to_vec();
                    harness
                        .workers
                        .push_plan(Plan::responding(Rc::new(move |_: &ReceivedRequest| beginning.clone())));
                    let mut client = harness.connect();
                    client.write_all(&request_bytes(route, "q1", "", "a body")).await.expect("written");
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    operation(&harness);
                    // Longer than the time for which connections are still served normally in the closing phase.
                    tokio::time::sleep(policy::CLOSING_GRACE + Duration::from_millis(5)).await;
                    harness.workers.send(&bytes[sent..]);
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    // Idle connections are closed in the closing phase.
                    harness.shared.shutdown.advance(Phase::Closing);
                    let response = read_to_end(client).await;
                    expect_that!(
                        (response.status, response.complete),
                        eq((200, true)),
                        "{case}: {response:?}"
                    );
                    expect_that!(response.body, eq(&route.expected_body("q1")), "{case}");
                    expect_that!(harness.run_count("q1"), eq(1), "{case}");
                });
            }
        }
    }
}

/// A grace period that is long enough for every request that is read when SIGTERM arrives.
const LONG_GRACE_S: f64 = 4.0;

/// A grace period that is shorter than the time limit of the routes, so that requests may outlast it.
const SHORT_GRACE_S: f64 = 1.5;

/// Sends a request of which only `sent` bytes have arrived when a phase of the shutdown begins.
async fn exchange_across_phase(
    harness: &mut InMemoryHarness,
    phase: Phase,
    bytes: &[u8],
    sent: usize,
) -> ClientResponse {
    let mut client = harness.connect();
    client.write_all(&bytes[..sent]).await.expect("written");
    tokio::time::sleep(Duration::from_millis(5)).await;
    harness.shared.shutdown.advance(phase);
    tokio::time::sleep(Duration::from_millis(5)).await;
    // The connection may have been closed.
    let _ = client.write_all(&bytes[sent..]).await;
    read_to_end(client).await
}

#[gtest]
fn a_shutdown_at_any_byte_refuses_a_request_that_may_outlast_it() {
    for route in ALL_ROUTES {
        let bytes = request_bytes(route, "q1", "", "a body");
        for phase in [Phase::Draining, Phase::Closing] {
            for sent in 0..bytes.len() {
                let case = format!("{}, {phase:?} after {sent} bytes", route.name());
                run_in_paused_time(async {
                    let mut harness = InMemoryHarness::start();
                    harness.shared.settings.borrow_mut().bounds.grace_s = SHORT_GRACE_S;
                    harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
                    let response = exchange_across_phase(&mut harness, phase, &bytes, sent).await;
                    let is_refused = response.status == 503
                        && response.complete
                        && response.header("retry-after").is_some()
                        && response.header("connection") == Some("close");
                    let is_unread = response.status == 0 && phase == Phase::Closing;
                    expect_that!(is_refused || is_unread, eq(true), "{case}: {response:?}");
                    expect_that!(harness.workers.observed.borrow().arrivals.len(), eq(0), "{case}");
                });
            }
        }
    }
}

#[gtest]
fn a_shutdown_at_any_byte_of_a_request_completes_it_or_does_not_run_it() {
    for route in ALL_ROUTES {
        let bytes = request_bytes(route, "q1", "", "a body");
        for phase in [Phase::Draining, Phase::Closing] {
            for sent in 0..=bytes.len() {
                let case = format!("{}, {phase:?} after {sent} bytes", route.name());
                run_in_paused_time(async {
                    let mut harness = InMemoryHarness::start();
                    harness.shared.settings.borrow_mut().bounds.grace_s = LONG_GRACE_S;
                    harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
                    let response = exchange_across_phase(&mut harness, phase, &bytes, sent).await;
                    let is_complete =
                        response.status == 200 && response.complete && harness.run_count("q1") == 1;
                    let is_unread =
                        response.status == 0 && harness.workers.observed.borrow().arrivals.is_empty();
                    expect_that!(is_complete || is_unread, eq(true), "{case}: {response:?}");
                    let must_complete = phase == Phase::Draining || sent == bytes.len();
                    expect_that!(is_complete || !must_complete, eq(true), "{case}: {response:?}");
                    if is_complete && sent < bytes.len() {
                        expect_that!(response.header("connection"), some(eq("close")), "{case}");
                    }
                });
            }
        }
    }
}

#[gtest]
fn a_new_configuration_applies_to_the_next_request() {
    run_in_paused_time(async {
        let mut harness = InMemoryHarness::start();
        harness.workers.set_default_plan(Plan::responding(RouteUnderTest::Unsafe.respond_fn()));
        expect_that!(harness.exchange(RouteUnderTest::Unsafe, "q1", "", "").await.status, eq(200));
        harness.publish_view(2, &[RouteUnderTest::Safe], vec![worker_view(1)]);
        expect_that!(harness.exchange(RouteUnderTest::Unsafe, "q2", "", "").await.status, eq(404));
        expect_that!(harness.run_count("q2"), eq(0));
    });
}
