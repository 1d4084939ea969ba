//! The shutdown interrupts no request that was accepted after it began. Such a request is either completed, or refused
//! at once with a 503 that states that it has not run and carries `Retry-After`.

use super::harness::{
    not_executed_response, read_to_end, request_bytes, run_in_paused_time, settings, view, worker_view,
    ClientResponse, InMemoryHarness, RouteUnderTest, ALL_ROUTES,
};
use super::scripted_worker::{Plan, ReceivedRequest};
use crate::data_plane::ingress;
use crate::data_plane::shutdown::Phase;
use crate::site_settings::SiteSettings;
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// Time within which a request must be refused.
const MAX_REFUSAL_DELAY: Duration = Duration::from_millis(20);

/// Times after SIGTERM at which a request is sent, in milliseconds.
const SEND_DELAYS_MS: [u64; 8] = [0, 1, 50, 200, 400, 449, 451, 1000];

/// Time from SIGTERM until the worker sends the rest of its response, shortly before SIGKILL.
fn remainder_delay() -> Duration {
    settings().grace() - Duration::from_millis(20)
}

/// The worker sends the first half of its response; the test sends the rest later.
fn first_half(route: RouteUnderTest) -> Plan {
    Plan::responding(Rc::new(move |request: &ReceivedRequest| {
        let bytes = route.respond_fn()(request);
        bytes[..bytes.len() / 2].to_vec()
    }))
}

fn second_half(route: RouteUnderTest, id: &str) -> Vec<u8> {
    let request =
        ReceivedRequest { headers: [("request-id".into(), id.into())].into(), ..Default::default() };
    let bytes = route.respond_fn()(&request);
    bytes[bytes.len() / 2..].to_vec()
}

/// Expects that a request sent after SIGTERM is completed, refused, or not read at all.
fn expect_complete_or_refused(
    harness: &InMemoryHarness,
    route: RouteUnderTest,
    id: &str,
    response: &ClientResponse,
    case: &str,
) {
    let is_complete = response.status == 200 && response.complete && response.body == route.expected_body(id);
    let is_refused = response.status == 503
        && response.complete
        && response.elapsed <= MAX_REFUSAL_DELAY
        && response.header("retry-after").is_some()
        && response.header("connection") == Some("close")
        && harness.run_count(id) == 0;
    let is_unread =
        response.status == 0 && response.elapsed <= MAX_REFUSAL_DELAY && harness.run_count(id) == 0;
    expect_that!(
        is_complete || is_refused || is_unread,
        eq(true),
        "{case}: {response:?}, {} runs",
        harness.run_count(id)
    );
}

/// Sends a request at a time after SIGTERM; its worker completes the response only shortly before SIGKILL.
async fn send_after_sigterm(
    harness: &mut InMemoryHarness,
    mut client: DuplexStream,
    route: RouteUnderTest,
    after: Duration,
) -> ClientResponse {
    harness.workers.push_plan(first_half(route));
    harness.begin_shutdown();
    tokio::time::sleep(after).await;
    // The connection may have been closed.
    let _ = client.write_all(&request_bytes(route, "late", "", "a body")).await;
    let workers = harness.workers.clone();
    let send_remainder = async move {
        tokio::time::sleep(remainder_delay().saturating_sub(after)).await;
        workers.send(&second_half(route, "late"));
    };
    let (response, (), ()) = tokio::join!(read_to_end(client), send_remainder, harness.wait_for_shutdown());
    response
}

#[gtest]
fn a_request_on_a_new_connection_after_sigterm_is_completed_or_refused_at_once() {
    for route in ALL_ROUTES {
        for after in SEND_DELAYS_MS {
            let case = format!("{}, {after} ms after SIGTERM", route.name());
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                let client = harness.connect();
                let response =
                    send_after_sigterm(&mut harness, client, route, Duration::from_millis(after)).await;
                expect_complete_or_refused(&harness, route, "late", &response, &case);
            });
        }
    }
}

#[gtest]
fn a_request_waiting_at_sigterm_is_refused_at_once_and_sent_to_no_worker() {
    for route in ALL_ROUTES {
        for before in [0, 20, 100] {
            let case = format!("{}, held for {before} ms before SIGTERM", route.name());
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                harness.publish_workers(Vec::new());
                let mut client = harness.connect();
                client.write_all(&request_bytes(route, "held", "", "a body")).await.expect("written");
                tokio::time::sleep(Duration::from_millis(before)).await;
                harness.begin_shutdown();
                harness.workers.set_default_plan(first_half(route));
                let shared = harness.shared.clone();
                let add_worker = async move {
                    tokio::time::sleep(Duration::from_millis(700)).await;
                    shared.apply_view(view(2, &ALL_ROUTES, vec![worker_view(1)]));
                };
                let (response, (), ()) =
                    tokio::join!(read_to_end(client), add_worker, harness.wait_for_shutdown());
                expect_complete_or_refused(&harness, route, "held", &response, &case);
                expect_that!(harness.run_count("held"), eq(0), "{case}");
            });
        }
    }
}

#[gtest]
fn a_request_with_a_time_limit_within_the_grace_period_is_accepted_after_sigterm() {
    for route in ALL_ROUTES {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start();
            harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
            harness.begin_shutdown();
            tokio::time::sleep(Duration::from_millis(100)).await;
            let response = harness.exchange(route, "short", "Request-Deadline-Ms: 300\r\n", "").await;
            expect_that!((response.status, response.complete), eq((200, true)), "{}", route.name());
            harness.wait_for_shutdown().await;
        });
    }
}

#[gtest]
fn a_request_accepted_before_sigterm_is_completed_within_the_grace_period() {
    for route in ALL_ROUTES {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start();
            harness.workers.push_plan(first_half(route));
            let mut client = harness.connect();
            client.write_all(&request_bytes(route, "early", "", "a body")).await.expect("written");
            tokio::time::sleep(Duration::from_millis(5)).await;
            harness.begin_shutdown();
            let workers = harness.workers.clone();
            let send_remainder = async move {
                tokio::time::sleep(settings().grace().mul_f64(0.6)).await;
                workers.send(&second_half(route, "early"));
            };
            let (response, (), ()) =
                tokio::join!(read_to_end(client), send_remainder, harness.wait_for_shutdown());
            expect_that!((response.status, response.complete), eq((200, true)), "{}", route.name());
        });
    }
}

/// Length of a response body that is larger than the buffer of the connection.
const LONG_BODY_BYTES: usize = 60_000;

/// Bytes that the connection of a slow client buffers.
const SMALL_BUFFER_BYTES: usize = 1_000;

#[gtest]
fn a_slow_client_gets_its_complete_response_within_the_grace_period() {
    run_in_paused_time(async {
        let mut harness = InMemoryHarness::start();
        harness.shared.settings.borrow_mut().bounds.grace_s = 8.0;
        let body = "x".repeat(LONG_BODY_BYTES);
        let response = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: slow\r\nResponse-Stamp: s\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n{body}"
        );
        harness
            .workers
            .push_plan(Plan::responding(Rc::new(move |_: &ReceivedRequest| response.clone().into_bytes())));
        let mut client = harness.connect_with_buffer(SMALL_BUFFER_BYTES);
        client.write_all(&request_bytes(RouteUnderTest::Safe, "slow", "", "")).await.expect("written");
        tokio::time::sleep(Duration::from_millis(5)).await;
        harness.begin_shutdown();
        // 60,000 bytes read 1,000 at a time every 100 ms take 6 s, which is within the grace period of 8 s.
        let reader = async move {
            let mut read = 0;
            let mut step = vec![0; SMALL_BUFFER_BYTES];
            while let Ok(count) = client.read(&mut step).await {
                if count == 0 {
                    break;
                }
                read += count;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            read
        };
        let (read, ()) = tokio::join!(reader, harness.wait_for_shutdown());
        expect_that!(read, gt(LONG_BODY_BYTES), "the response is incomplete");
    });
}

#[gtest]
fn a_shorter_grace_period_in_the_settings_file_applies_at_sigterm() {
    let path = std::env::temp_dir().join(format!("switchhill-grace-{}.yaml", std::process::id()));
    let write = |grace_s: f64| {
        let text = format!(
            "nodeName: edge-1\nip: 127.0.0.1\nzone: here\nportRange: [7660, 7675]\nbounds:\n  graceS: {grace_s}\n"
        );
        std::fs::write(&path, text).expect("written");
    };
    run_in_paused_time(async {
        let mut harness = InMemoryHarness::start();
        write(30.0);
        harness.shared.settings.replace(SiteSettings::read(&path).expect("settings"));
        write(1.5);
        harness.workers.push_plan(first_half(RouteUnderTest::Unsafe));
        let mut client = harness.connect();
        client.write_all(&request_bytes(RouteUnderTest::Unsafe, "q1", "", "")).await.expect("written");
        tokio::time::sleep(Duration::from_millis(5)).await;
        let signalled_at = Instant::now();
        harness.begin_shutdown();
        harness.wait_for_shutdown().await;
        expect_that!(signalled_at.elapsed(), lt(Duration::from_millis(1500)));
        expect_that!(signalled_at.elapsed(), gt(Duration::from_millis(1000)));
    });
    std::fs::remove_file(&path).expect("removed");
}

#[gtest]
fn the_end_of_the_process_is_fixed_at_sigterm() {
    run_in_paused_time(async {
        let mut harness = InMemoryHarness::start();
        harness.shared.settings.borrow_mut().bounds.grace_s = LONG_GRACE_S;
        harness.workers.push_plan(first_half(RouteUnderTest::Unsafe));
        harness.begin_shutdown();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut client = harness.connect();
        client.write_all(&request_bytes(RouteUnderTest::Unsafe, "late", "", "")).await.expect("written");
        tokio::time::sleep(Duration::from_millis(50)).await;
        // SIGHUP after SIGTERM: the accepted request relies on the grace period of the earlier settings.
        harness.shared.apply_settings(settings());
        let workers = harness.workers.clone();
        let send_remainder = async move {
            tokio::time::sleep(Duration::from_millis(1700)).await;
            workers.send(&second_half(RouteUnderTest::Unsafe, "late"));
        };
        let (response, (), ()) =
            tokio::join!(read_to_end(client), send_remainder, harness.wait_for_shutdown());
        expect_that!((response.status, response.complete), eq((200, true)), "{response:?}");
    });
}

/// Guards against an early end after the process has been suspended during its shutdown. In a soak test a process was
/// stopped for 1.7 s, 2.2 s after SIGTERM. After SIGCONT it counted the suspended time as time without running requests
/// and ended one second early: it cut two streams that it had accepted after the signal, both at the moment of SIGCONT,
/// 3.94 s after the signal instead of 4.9 s.
#[gtest]
fn a_process_suspended_during_its_shutdown_does_not_cut_running_requests() {
    for route in ALL_ROUTES {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start();
            harness.shared.settings.borrow_mut().bounds.grace_s = LONG_GRACE_S;
            harness.workers.push_plan(first_half(route));
            harness.begin_shutdown();
            // New connections are accepted for 1.2 s.
            tokio::time::sleep(Duration::from_millis(1_100)).await;
            let mut client = harness.connect();
            client.write_all(&request_bytes(route, "runs", "", "")).await.expect("written");
            let workers = harness.workers.clone();
            let suspend_process = async move {
                tokio::time::sleep(Duration::from_millis(200)).await;
                tokio::time::advance(Duration::from_millis(1_050)).await;
                tokio::time::sleep(Duration::from_millis(30)).await;
                workers.send(&second_half(route, "runs"));
            };
            let (response, (), ()) =
                tokio::join!(read_to_end(client), suspend_process, harness.wait_for_shutdown());
            expect_that!(
                (response.status, response.complete),
                eq((200, true)),
                "{}: {response:?}",
                route.name()
            );
        });
    }
}

/// A grace period that is long enough for every request that is read when SIGTERM arrives.
const LONG_GRACE_S: f64 = 4.0;

#[gtest]
fn a_request_that_waits_for_a_connection_at_sigterm_is_refused_at_once() {
    for route in ALL_ROUTES {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start();
            harness.workers.set_connect_hangs(true);
            let mut client = harness.connect();
            client.write_all(&request_bytes(route, "waits", "", "")).await.expect("written");
            tokio::time::sleep(Duration::from_millis(20)).await;
            harness.begin_shutdown();
            let (response, ()) = tokio::join!(read_to_end(client), harness.wait_for_shutdown());
            expect_that!(response.status, eq(503), "{}: {response:?}", route.name());
            expect_that!(response.elapsed, le(MAX_REFUSAL_DELAY), "{}", route.name());
        });
    }
}

#[gtest]
fn a_request_that_a_worker_refuses_after_sigterm_is_not_retried() {
    for route in ALL_ROUTES {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start();
            harness.workers.push_plan(Plan {
                runs: false,
                ..Plan::responding(Rc::new(|_: &ReceivedRequest| Vec::new()))
            });
            harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
            let mut client = harness.connect();
            client.write_all(&request_bytes(route, "refused", "", "")).await.expect("written");
            tokio::time::sleep(Duration::from_millis(5)).await;
            harness.begin_shutdown();
            tokio::time::sleep(Duration::from_millis(100)).await;
            let request = ReceivedRequest {
                headers: [("request-id".into(), "refused".into())].into(),
                ..Default::default()
            };
            harness.workers.send(&not_executed_response(&request));
            let (response, ()) = tokio::join!(read_to_end(client), harness.wait_for_shutdown());
            expect_that!(response.status, eq(503), "{}: {response:?}", route.name());
            expect_that!(response.header("retry-after").is_some(), eq(true), "{}", route.name());
            expect_that!(harness.workers.observed.borrow().arrivals.len(), eq(1), "{}", route.name());
        });
    }
}

#[gtest]
fn a_stalled_worker_keeps_its_stream_during_shutdown() {
    run_in_paused_time(async {
        let mut harness = InMemoryHarness::start();
        let route = RouteUnderTest::Resumable;
        harness.workers.push_plan(first_half(route));
        harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
        let mut client = harness.connect();
        client.write_all(&request_bytes(route, "silent", "", "")).await.expect("written");
        tokio::time::sleep(Duration::from_millis(5)).await;
        harness.begin_shutdown();
        let workers = harness.workers.clone();
        let send_remainder = async move {
            // Longer than the stall after which a stream is otherwise resumed at another worker.
            tokio::time::sleep(Duration::from_millis(1200)).await;
            workers.send(&second_half(route, "silent"));
        };
        let (response, (), ()) =
            tokio::join!(read_to_end(client), send_remainder, harness.wait_for_shutdown());
        expect_that!((response.status, response.complete), eq((200, true)), "{response:?}");
        expect_that!(harness.workers.observed.borrow().arrivals.len(), eq(1));
    });
}

/// Sends `long` requests that may outlast the process and `short` ones that do not, then begins the shutdown. Returns
/// the phase 30 ms later.
async fn phase_after_requests(harness: &mut InMemoryHarness, long: usize, short: usize) -> Phase {
    harness.workers.set_default_plan(Plan::responding(RouteUnderTest::Safe.respond_fn()));
    for number in 0..long + short {
        let is_long = number % (long + short).max(1) < long;
        let headers = if is_long { "" } else { "Request-Deadline-Ms: 300\r\n" };
        harness.exchange(RouteUnderTest::Safe, &format!("r{number}"), headers, "").await;
    }
    harness.begin_shutdown();
    tokio::time::sleep(Duration::from_millis(30)).await;
    harness.shared.shutdown.phase()
}

#[gtest]
fn connections_are_refused_at_sigterm_only_if_most_requests_may_outlast_the_process() {
    for (long, short, phase) in
        [(0, 0, Phase::Draining), (1, 60, Phase::Draining), (60, 1, Phase::Closing), (60, 0, Phase::Closing)]
    {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start();
            expect_that!(
                phase_after_requests(&mut harness, long, short).await,
                eq(phase),
                "{long} long, {short} short"
            );
            harness.wait_for_shutdown().await;
        });
    }
}

/// Response to a client on a real socket that writes its request just before the closing phase begins, in the same
/// turn of the event loop, so that the request has not been read yet.
async fn response_to_request_at_closing(accepted_before: bool) -> Vec<u8> {
    let mut harness = InMemoryHarness::start();
    harness.workers.set_default_plan(Plan::responding(RouteUnderTest::Safe.respond_fn()));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(ingress::accept(harness.shared.clone(), listener));
    let mut client = TcpStream::connect(address).await.expect("connected");
    while accepted_before && harness.shared.client_connections.get() == 0 {
        tokio::task::yield_now().await;
    }
    let short = "Connection: close\r\nRequest-Deadline-Ms: 300\r\n";
    let request = request_bytes(RouteUnderTest::Safe, "crosses", short, "");
    client.try_write(&request).expect("written");
    harness.shared.shutdown.advance(Phase::Closing);
    harness.begin_shutdown();
    let mut response = Vec::new();
    let read_response = async {
        // After a reset, the response read so far is incomplete.
        let _ = client.read_to_end(&mut response).await;
    };
    tokio::join!(read_response, harness.wait_for_shutdown());
    response
}

#[gtest]
fn a_request_on_a_socket_at_the_closing_phase_is_read_and_completed() {
    for accepted_before in [true, false] {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let response =
            tokio::task::LocalSet::new().block_on(&runtime, response_to_request_at_closing(accepted_before));
        let text = String::from_utf8_lossy(&response);
        expect_that!(text, starts_with("HTTP/1.1 200"), "accepted before: {accepted_before}");
    }
}
