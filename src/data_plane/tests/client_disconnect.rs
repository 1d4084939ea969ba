//! Clients that disconnect at any moment: nothing is sent to a worker afterwards, and the connection of a busy worker
//! is closed at once.

use super::harness::{
    request_bytes, run_in_paused_time, worker_view, InMemoryHarness, RouteUnderTest, ALL_ROUTES,
    RESPONSE_TOLERANCE, ROUTE_TIMEOUT,
};
use super::scripted_worker::{Failure, FailurePoint, Plan, ReceivedRequest};
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::time::Instant;

/// Time within which the connection to the worker must be closed. The requirement is 500 ms.
const MAX_ABORT_DELAY: Duration = Duration::from_millis(1);

/// Time for which a request runs before its client disconnects.
const DELAY_BEFORE_DISCONNECT: Duration = Duration::from_millis(20);

async fn send(
    harness: &mut InMemoryHarness,
    route: RouteUnderTest,
    headers: &str,
    body: &str,
) -> DuplexStream {
    let mut client = harness.connect();
    client.write_all(&request_bytes(route, "q1", headers, body)).await.expect("written");
    tokio::time::sleep(DELAY_BEFORE_DISCONNECT).await;
    client
}

/// Disconnects the client and expects that nothing more is sent and that the connections of `busy_workers`
/// workers are closed in time.
async fn disconnect(harness: &InMemoryHarness, client: DuplexStream, busy_workers: usize, case: &str) {
    let sent = harness.workers.observed.borrow().arrivals.len();
    let disconnected_at = Instant::now();
    drop(client);
    tokio::time::sleep(2 * ROUTE_TIMEOUT).await;
    let observed = harness.workers.observed.borrow();
    expect_that!(observed.arrivals.len(), eq(sent), "{case}: sent after the client disconnected");
    expect_that!(observed.abandoned.len(), eq(busy_workers), "{case}: closed worker connections");
    for abandoned_at in &observed.abandoned {
        expect_that!(
            abandoned_at.duration_since(disconnected_at),
            le(MAX_ABORT_DELAY),
            "{case}: the worker connection was closed late"
        );
    }
    expect_that!(harness.shared.running.get(), eq(0), "{case}: still counted as running");
}

#[gtest]
fn a_disconnect_within_the_request_sends_nothing() {
    for route in ALL_ROUTES {
        let bytes = request_bytes(route, "q1", "", "a body");
        for sent in 0..bytes.len() {
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
                let mut client = harness.connect();
                client.write_all(&bytes[..sent]).await.expect("written");
                tokio::time::sleep(DELAY_BEFORE_DISCONNECT).await;
                disconnect(&harness, client, 0, &format!("{} after {sent} bytes", route.name())).await;
                expect_that!(harness.workers.observed.borrow().arrivals, is_empty(), "{sent} bytes");
            });
        }
    }
}

#[gtest]
fn a_disconnect_while_the_request_waits_sends_nothing() {
    for route in ALL_ROUTES {
        for (name, headers) in [("a model", "Model: small\r\n"), ("a worker", "")] {
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
                let without_model = switchhill_routing::WorkerView { models: Vec::new(), ..worker_view(1) };
                harness.publish_workers(if headers.is_empty() { Vec::new() } else { vec![without_model] });
                let client = send(&mut harness, route, headers, "").await;
                expect_that!(harness.shared.running.get(), eq(1), "{}: waits for {name}", route.name());
                drop(client);
                tokio::task::yield_now().await;
                harness.publish_workers(vec![worker_view(1), worker_view(2)]);
                tokio::time::sleep(ROUTE_TIMEOUT).await;
                expect_that!(
                    harness.workers.observed.borrow().arrivals,
                    is_empty(),
                    "{}, {name}",
                    route.name()
                );
            });
        }
    }
}

#[gtest]
fn a_disconnect_before_the_first_configuration_sends_nothing() {
    for route in ALL_ROUTES {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start_unconfigured();
            harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
            let client = send(&mut harness, route, "", "").await;
            expect_that!(harness.shared.running.get(), eq(1));
            drop(client);
            tokio::task::yield_now().await;
            harness.publish_workers(vec![worker_view(1)]);
            tokio::time::sleep(ROUTE_TIMEOUT).await;
            expect_that!(harness.workers.observed.borrow().arrivals, is_empty(), "{}", route.name());
        });
    }
}

#[gtest]
fn a_disconnect_while_connecting_to_a_worker_sends_nothing() {
    for route in ALL_ROUTES {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start();
            harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
            harness.workers.set_connect_hangs(true);
            let client = send(&mut harness, route, "", "").await;
            harness.workers.set_connect_hangs(false);
            disconnect(&harness, client, 0, route.name()).await;
            expect_that!(harness.workers.observed.borrow().arrivals, is_empty(), "{}", route.name());
        });
    }
}

#[gtest]
fn a_disconnect_while_the_body_is_forwarded_aborts_the_request() {
    let body = "x".repeat(300_000);
    for route in ALL_ROUTES {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start();
            let no_response = Rc::new(|_: &ReceivedRequest| Vec::new());
            harness.workers.push_plan(Plan { responds_early: true, ..Plan::responding(no_response) });
            harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
            let client = send(&mut harness, route, "", &body).await;
            disconnect(&harness, client, 1, route.name()).await;
            expect_that!(harness.workers.observed.borrow().complete_requests, is_empty(), "{}", route.name());
        });
    }
}

#[gtest]
fn a_disconnect_at_any_byte_of_the_response_frees_the_worker_at_once() {
    for route in ALL_ROUTES {
        let length = (route.respond_fn())(&ReceivedRequest::default()).len();
        for sent in 0..length {
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                harness.workers.push_plan(
                    Plan::responding(route.respond_fn())
                        .with_failure(FailurePoint::Response(sent), Failure::Stall),
                );
                harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
                let client = send(&mut harness, route, "", "a body").await;
                disconnect(&harness, client, 1, &format!("{}, {sent} bytes of the response", route.name()))
                    .await;
            });
        }
    }
}

#[gtest]
fn a_disconnect_between_two_attempts_prevents_the_second() {
    for route in [RouteUnderTest::Safe, RouteUnderTest::Resumable] {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start();
            let plan = Plan::responding(route.respond_fn());
            harness.workers.push_plan(plan.clone().with_failure(FailurePoint::Response(0), Failure::Stall));
            harness.workers.set_default_plan(plan);
            let client = send(&mut harness, route, "", "").await;
            drop(client);
            harness.workers.fail_connections(Failure::Reset);
            tokio::time::sleep(2 * ROUTE_TIMEOUT).await;
            expect_that!(harness.workers.observed.borrow().arrivals.len(), le(2), "{}", route.name());
            let observed = harness.workers.observed.borrow();
            let late = observed
                .arrivals
                .iter()
                .filter(|(_, at)| at.elapsed() < 2 * ROUTE_TIMEOUT - RESPONSE_TOLERANCE);
            expect_that!(late.count(), eq(0), "{}", route.name());
        });
    }
}
