//! Every request gets its final response within 500 ms of its route's time limit, whatever does not respond. Each
//! attempt passes the remaining time of the client's deadline to the worker.

use super::harness::{
    not_executed_response, read_to_end, request_bytes, run_in_paused_time, worker_view, ClientResponse,
    InMemoryHarness, RouteUnderTest, ALL_ROUTES, RESPONSE_TOLERANCE, ROUTE_TIMEOUT,
};
use super::scripted_worker::{Failure, FailurePoint, Plan, ReceivedRequest, ResponseFn};
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use switchhill_routing::WorkerView;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

/// A client deadline far longer than the time limit of the route.
const LONG_CLIENT_DEADLINE: &str = "Request-Deadline-Ms: 60000\r\n";

fn expect_in_time(route: RouteUnderTest, response: &ClientResponse, case: &str) {
    expect_that!(response.connection_closed, eq(true), "{}, {case}: connection not closed", route.name());
    expect_that!(
        response.elapsed,
        le(ROUTE_TIMEOUT + RESPONSE_TOLERANCE),
        "{}, {case}: {response:?}",
        route.name()
    );
}

/// Something that does not respond, and the allowed response statuses.
struct UnresponsiveCase {
    name: &'static str,
    prepare: fn(&InMemoryHarness, RouteUnderTest),
    headers: &'static str,
    statuses: &'static [u16],
}

fn unresponsive_cases() -> Vec<UnresponsiveCase> {
    vec![
        UnresponsiveCase {
            name: "the worker, before its response",
            prepare: |harness, route| {
                harness.workers.set_default_plan(
                    Plan::responding(route.respond_fn())
                        .with_failure(FailurePoint::Response(0), Failure::Stall),
                )
            },
            headers: "",
            statuses: &[504],
        },
        UnresponsiveCase {
            name: "the worker, within its response head",
            prepare: |harness, route| {
                harness.workers.set_default_plan(
                    Plan::responding(route.respond_fn())
                        .with_failure(FailurePoint::Response(20), Failure::Stall),
                )
            },
            headers: "",
            statuses: &[504],
        },
        UnresponsiveCase {
            name: "connection attempts",
            prepare: |harness, _| harness.workers.set_connect_hangs(true),
            headers: "",
            statuses: &[503],
        },
        UnresponsiveCase {
            name: "the placement of a model",
            prepare: |harness, _| {
                harness.publish_workers(vec![WorkerView { models: Vec::new(), ..worker_view(1) }]);
            },
            headers: "Model: small\r\n",
            statuses: &[503],
        },
        UnresponsiveCase {
            name: "all workers",
            prepare: |harness, _| harness.publish_workers(Vec::new()),
            headers: "",
            statuses: &[503],
        },
        UnresponsiveCase {
            name: "workers that refuse",
            prepare: |harness, _| {
                harness.workers.set_default_plan(Plan {
                    runs: false,
                    ..Plan::responding(Rc::new(not_executed_response))
                });
            },
            headers: "",
            statuses: &[503],
        },
    ]
}

#[gtest]
fn a_response_arrives_by_the_time_limit_whatever_is_unresponsive() {
    for route in ALL_ROUTES {
        for case in unresponsive_cases() {
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                (case.prepare)(&harness, route);
                let response = harness
                    .exchange(route, "q1", &format!("{LONG_CLIENT_DEADLINE}{}", case.headers), "")
                    .await;
                expect_in_time(route, &response, case.name);
                let status = response.status;
                expect_that!(
                    case.statuses.contains(&status),
                    eq(true),
                    "{}, {}: {status}",
                    route.name(),
                    case.name
                );
                // A 503 says that the request has not run, so it is wrong after a run.
                let runs = harness.run_count("q1");
                expect_that!(
                    status == 503 && runs > 0,
                    eq(false),
                    "{}, {}: {runs} runs",
                    route.name(),
                    case.name
                );
            });
        }
    }
}

#[gtest]
fn without_a_configuration_the_response_is_503_in_time() {
    for route in ALL_ROUTES {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start_unconfigured();
            let response = harness.exchange(route, "q1", LONG_CLIENT_DEADLINE, "").await;
            expect_in_time(route, &response, "the configuration");
            expect_that!(response.status, eq(503), "{}", route.name());
        });
    }
}

#[gtest]
fn a_missing_body_is_awaited_no_longer_than_the_time_limit_of_the_route() {
    for route in ALL_ROUTES {
        let bytes =
            request_bytes(route, "q1", &format!("Connection: close\r\n{LONG_CLIENT_DEADLINE}"), "a body");
        for missing in 1..=6 {
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                let mut client = harness.connect();
                client.write_all(&bytes[..bytes.len() - missing]).await.expect("written");
                let response = read_to_end(client).await;
                expect_in_time(route, &response, "the body");
                expect_that!(response.status, eq(503), "{}", route.name());
                expect_that!(harness.workers.observed.borrow().arrivals, is_empty(), "{}", route.name());
            });
        }
    }
}

#[gtest]
fn a_stream_that_exceeds_its_time_limit_ends_incomplete() {
    for route in [RouteUnderTest::Streaming, RouteUnderTest::Resumable] {
        for stalls in [false, true] {
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                let head = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Stamp: s\r\n\
                            Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                harness.workers.set_default_plan(Plan::responding(Rc::new(|_: &ReceivedRequest| {
                    head.as_bytes().to_vec()
                })));
                let mut client = harness.connect();
                let headers = format!("Connection: close\r\n{LONG_CLIENT_DEADLINE}");
                client.write_all(&request_bytes(route, "q1", &headers, "")).await.expect("written");
                let workers = harness.workers.clone();
                let send_events = async {
                    for event in 1.. {
                        let text = format!("id: {event}\ndata: x\n\n");
                        workers.send(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
                        tokio::time::sleep(if stalls {
                            10 * ROUTE_TIMEOUT
                        } else {
                            Duration::from_millis(100)
                        })
                        .await;
                    }
                };
                tokio::task::yield_now().await;
                let response = tokio::select! {
                    response = read_to_end(client) => response,
                    () = async { tokio::time::sleep(Duration::from_millis(10)).await; send_events.await } => unreachable!(),
                };
                expect_in_time(route, &response, "a long stream");
                expect_that!((response.status, response.complete), eq((200, false)), "{}", route.name());
                expect_that!(response.elapsed, ge(ROUTE_TIMEOUT), "{}: {response:?}", route.name());
            });
        }
    }
}

fn deadline_of(request: &ReceivedRequest) -> Duration {
    Duration::from_millis(request.header("request-deadline-ms").parse().expect("a deadline"))
}

/// Lets the first worker refuse the request after `pause`. Returns the time and the request of each attempt.
async fn attempts_after_refusal(
    route: RouteUnderTest,
    headers: &str,
    pause: Duration,
) -> Vec<(Duration, ReceivedRequest)> {
    let mut harness = InMemoryHarness::start();
    let no_response: ResponseFn = Rc::new(|_: &ReceivedRequest| Vec::new());
    harness.workers.push_plan(Plan { runs: false, ..Plan::responding(no_response) });
    harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
    let sent_at = Instant::now();
    let mut client = harness.connect();
    client.write_all(&request_bytes(route, "q1", headers, "")).await.expect("written");
    tokio::time::sleep(pause).await;
    // The first worker refuses late, so a request of any kind may be retried.
    let late_refusal = not_executed_response(&ReceivedRequest {
        headers: [("request-id".into(), "q1".into())].into(),
        ..Default::default()
    });
    harness.workers.send(&late_refusal);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let observed = harness.workers.observed.borrow();
    let times = observed.arrivals.iter().map(|(_, at)| at.duration_since(sent_at));
    times.zip(observed.complete_requests.iter().cloned()).collect()
}

#[gtest]
fn each_attempt_passes_on_the_remaining_time_of_the_client() {
    for route in ALL_ROUTES {
        for (headers, client) in
            [("Request-Deadline-Ms: 1500\r\n", 1500), ("", 2000), (LONG_CLIENT_DEADLINE, 2000)]
        {
            for pause in [1, 100, 700, 1400] {
                let case = format!("{}, {client} ms, first refused after {pause} ms", route.name());
                let attempts =
                    run_in_paused_time(attempts_after_refusal(route, headers, Duration::from_millis(pause)));
                expect_that!(attempts.len(), eq(2), "{case}");
                for (at, request) in attempts {
                    let left = Duration::from_millis(client).saturating_sub(at);
                    expect_that!(deadline_of(&request), le(left), "{case}");
                    expect_that!(deadline_of(&request) + Duration::from_millis(5), ge(left), "{case}");
                }
            }
        }
    }
}

#[gtest]
fn each_attempt_carries_the_headers_of_the_client() {
    let own = [
        ("model", "small/a1"),
        ("token-usage", "1460, 80"),
        ("prompt-prefix", "5c1e07a2:800 ,91bd3f06:410"),
        ("x-own", "Kept as it is"),
        ("last-event-id", "0"),
    ];
    let headers: String = own.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    for route in ALL_ROUTES {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start();
            let with_adapter = |number| WorkerView {
                models: vec![switchhill_routing::ResidentModel {
                    name: "small".into(),
                    adapters: vec!["a1".into()],
                }],
                ..worker_view(number)
            };
            harness.publish_workers(vec![with_adapter(1), with_adapter(2)]);
            harness
                .workers
                .push_plan(Plan { runs: false, ..Plan::responding(Rc::new(not_executed_response)) });
            harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
            expect_that!(
                harness.exchange(route, "q1", &headers, "a body").await.status,
                eq(200),
                "{}",
                route.name()
            );
            let observed = harness.workers.observed.borrow();
            expect_that!(observed.complete_requests.len(), eq(2), "{}", route.name());
            for request in &observed.complete_requests {
                for (name, value) in own {
                    expect_that!(request.header(name), eq(value), "{}", route.name());
                }
                expect_that!(request.request_line, eq(&format!("POST /{}/x?y=1 HTTP/1.1", route.name())));
                expect_that!(request.body, eq(&b"a body".to_vec()), "{}", route.name());
                expect_that!(request.header("expect-instance"), starts_with("w"), "{}", route.name());
                expect_that!(request.header("priority"), eq("1"), "{}", route.name());
            }
        });
    }
}
