//! Reuse of worker connections: surplus bytes, late and early responses, and connections lost while idle.

use super::harness::{
    not_executed_response, request_bytes, run_in_paused_time, stamped_error_response, worker_view,
    ClientResponse, InMemoryHarness, RouteUnderTest, ALL_ROUTES,
};
use super::scripted_worker::{Failure, Plan, ReceivedRequest, ResponseFn};
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// A complete response to another request.
fn stale_response(id: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\nstale")
        .into_bytes()
}

/// A client may receive its own response, or a 502 that does not claim that the request has not run, but nothing
/// of another response.
fn expect_own_response_or_502(route: RouteUnderTest, id: &str, response: &ClientResponse, case: &str) {
    let is_own = response.status == 200 && response.body == route.expected_body(id) && response.complete;
    let is_bad_gateway = response.status == 502 && response.body.is_empty();
    expect_that!(is_own || is_bad_gateway, eq(true), "{case}: {response:?}");
    if route.is_idempotent() {
        expect_that!(is_own, eq(true), "{case}: {response:?}");
    }
}

fn pauses() -> [Duration; 5] {
    [0, 5, 29, 31, 500].map(Duration::from_millis)
}

#[gtest]
fn surplus_bytes_after_a_response_reach_no_request() {
    for route in ALL_ROUTES {
        for surplus in [stale_response("q0"), stale_response("q2"), b"no answer at all\r\n\r\n".to_vec()] {
            for length in 1..=surplus.len() {
                for pause in pauses() {
                    let case = format!("{}, {length} surplus bytes, {pause:?}", route.name());
                    run_in_paused_time(async {
                        let mut harness = InMemoryHarness::start();
                        let surplus = surplus[..length].to_vec();
                        harness.workers.push_plan(Plan { surplus, ..Plan::responding(route.respond_fn()) });
                        let first = harness.exchange(route, "q1", "", "").await;
                        expect_that!((first.status, first.trailing_bytes), eq((200, 0)), "{case}");
                        tokio::time::sleep(pause).await;
                        harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
                        let second = harness.exchange(route, "q2", "", "").await;
                        expect_own_response_or_502(route, "q2", &second, &case);
                        expect_that!(
                            harness.run_count("q2"),
                            le(if route.is_idempotent() { 2 } else { 1 }),
                            "{case}"
                        );
                    });
                }
            }
        }
    }
}

#[gtest]
fn a_late_response_on_an_idle_connection_reaches_no_request() {
    for route in ALL_ROUTES {
        for id in ["q0", "q1"] {
            for pause in pauses() {
                let case = format!("{}, late response to {id} after {pause:?}", route.name());
                run_in_paused_time(async {
                    let mut harness = InMemoryHarness::start();
                    harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
                    expect_that!(harness.exchange(route, "q1", "", "").await.status, eq(200), "{case}");
                    tokio::time::sleep(pause).await;
                    harness.workers.send(&stale_response(id));
                    let second = harness.exchange(route, "q2", "", "").await;
                    expect_own_response_or_502(route, "q2", &second, &case);
                    expect_that!(
                        harness.run_count("q2"),
                        le(if route.is_idempotent() { 2 } else { 1 }),
                        "{case}"
                    );
                });
            }
        }
    }
}

/// A response to an earlier request where this request's is expected, followed by the right one.
fn after_stale_response(route: RouteUnderTest, stale: Vec<u8>) -> ResponseFn {
    let respond = route.respond_fn();
    Rc::new(move |request: &ReceivedRequest| [stale.clone(), respond(request)].concat())
}

#[gtest]
fn a_response_to_another_request_is_detected_by_its_id() {
    let without_id = b"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\nstale".to_vec();
    let refusal =
        b"HTTP/1.1 503 X\r\nRequest-Id: q0\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n".to_vec();
    for route in ALL_ROUTES {
        for stale in [stale_response("q0"), stale_response("q1x"), without_id.clone(), refusal.clone()] {
            let case = format!("{}, {}", route.name(), String::from_utf8_lossy(&stale));
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                harness.workers.push_plan(Plan::responding(after_stale_response(route, stale)));
                harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
                let response = harness.exchange(route, "q1", "", "").await;
                expect_own_response_or_502(route, "q1", &response, &case);
                expect_that!(
                    harness.run_count("q1"),
                    le(if route.is_idempotent() { 2 } else { 1 }),
                    "{case}"
                );
                expect_that!(harness.check_next_request(route, "q2").await, ok(eq(&())), "{case}");
            });
        }
    }
}

/// A request body longer than what the worker reads before it responds.
fn long_body() -> String {
    (0..20_000).map(|number| format!("{number:09}\n")).collect()
}

/// Sends a request whose worker responds before it has read the body, and another one after `pause`. The worker
/// resumes reading before or after the second request.
async fn early_response(
    early: Plan,
    workers: &[u8],
    pause: Duration,
    resumes_first: bool,
) -> (InMemoryHarness, u16, ClientResponse) {
    let mut harness = InMemoryHarness::start();
    harness.publish_workers(workers.iter().map(|number| worker_view(*number)).collect());
    harness.workers.push_plan(early);
    harness.workers.set_default_plan(Plan::responding(RouteUnderTest::Unsafe.respond_fn()));
    let first = harness.exchange(RouteUnderTest::Unsafe, "q1", "", &long_body()).await;
    tokio::time::sleep(pause).await;
    if resumes_first {
        harness.workers.resume_reading();
        tokio::task::yield_now().await;
    }
    let second = harness.exchange(RouteUnderTest::Unsafe, "q2", "", "another body").await;
    harness.workers.resume_reading();
    tokio::time::sleep(Duration::from_secs(1)).await;
    (harness, first.status, second)
}

#[gtest]
fn a_connection_with_an_early_response_is_not_reused_before_the_body_is_written() {
    let responses: [(ResponseFn, bool, &[u8], u16); 3] = [
        (RouteUnderTest::Unsafe.respond_fn(), true, &[1], 200),
        (Rc::new(stamped_error_response), true, &[1], 500),
        // Another worker responds to the refused request.
        (Rc::new(not_executed_response), false, &[1, 2], 200),
    ];
    let long = long_body();
    for (respond, runs, workers, status) in responses {
        for pause in pauses() {
            for resumes_first in [false, true] {
                let case = format!("{status} after {pause:?}, resumes reading first: {resumes_first}");
                let early = Plan { responds_early: true, runs, ..Plan::responding(respond.clone()) };
                let (harness, first, second) =
                    run_in_paused_time(early_response(early, workers, pause, resumes_first));
                expect_that!(first, eq(status), "{case}");
                expect_that!((second.status, second.body.as_str()), eq((200, "answer to q2")), "{case}");
                let observed = harness.workers.observed.borrow();
                for request in &observed.complete_requests {
                    let is_first = request.header("request-id") == "q1";
                    let body = if is_first { long.as_str() } else { "another body" };
                    expect_that!(request.body == body.as_bytes(), eq(true), "{case}: other bytes in a body");
                }
            }
        }
    }
}

#[gtest]
fn a_connection_that_resets_on_reuse_retries_only_idempotent_requests() {
    for route in ALL_ROUTES {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start();
            harness.workers.push_plan(Plan { resets_on_reuse: true, ..Plan::responding(route.respond_fn()) });
            expect_that!(harness.exchange(route, "q1", "", "").await.status, eq(200));
            tokio::time::sleep(Duration::from_secs(1)).await;
            harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
            let before = harness.workers.observed.borrow().arrivals.len();
            let response = harness.exchange(route, "q2", "", "").await;
            let sent = harness.workers.observed.borrow().arrivals.len() - before;
            let expected = if route.is_idempotent() { (200, 2) } else { (502, 1) };
            expect_that!((response.status, sent), eq(expected), "{}", route.name());
            expect_that!(harness.check_next_request(route, "q3").await, ok(eq(&())), "{}", route.name());
        });
    }
}

#[gtest]
fn an_idle_connection_that_is_closed_before_reuse_fails_no_request() {
    for route in ALL_ROUTES {
        for failure in [Failure::Reset, Failure::Close] {
            for pause in pauses() {
                for written_first in [false, true] {
                    let case = format!("{}, {failure:?} after {pause:?}", route.name());
                    run_in_paused_time(async {
                        let mut harness = InMemoryHarness::start();
                        harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
                        expect_that!(harness.exchange(route, "q1", "", "").await.status, eq(200), "{case}");
                        tokio::time::sleep(pause).await;
                        let mut client = harness.connect();
                        let bytes = request_bytes(route, "q2", "Connection: close\r\n", "");
                        if written_first {
                            client.write_all(&bytes).await.expect("written");
                            harness.workers.fail_connections(failure);
                        } else {
                            harness.workers.fail_connections(failure);
                            client.write_all(&bytes).await.expect("written");
                        }
                        let response = super::harness::read_to_end(client).await;
                        expect_that!(
                            (response.status, harness.run_count("q2")),
                            eq((200, 1)),
                            "{case}: {response:?}"
                        );
                    });
                }
            }
        }
    }
}

/// Guards against a request's task that ends in a panic, since the time that its worker announces lies beyond the clock.
#[gtest]
fn a_connection_whose_worker_announces_any_keep_alive_time_is_reused() {
    for seconds in [1, 1 << 40, 1 << 63, u64::MAX] {
        for route in ALL_ROUTES {
            let case = format!("{}, {seconds} s", route.name());
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                harness.workers.set_default_plan(Plan::responding(announcing_keep_alive(route, seconds)));
                for id in ["q1", "q2"] {
                    let response = harness.exchange(route, id, "", "").await;
                    expect_that!(response.status, eq(200), "{case}");
                    expect_that!(response.body, eq(&route.expected_body(id)), "{case}");
                }
            });
        }
    }
}

fn announcing_keep_alive(route: RouteUnderTest, seconds: u64) -> ResponseFn {
    let respond = route.respond_fn();
    Rc::new(move |request: &ReceivedRequest| {
        let response = String::from_utf8(respond(request)).expect("text");
        let (status_line, rest) = response.split_once("\r\n").expect("a status line");
        format!("{status_line}\r\nKeep-Alive: timeout={seconds}\r\n{rest}").into_bytes()
    })
}
