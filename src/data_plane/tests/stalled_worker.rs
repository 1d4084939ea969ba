//! Streams of a worker that stalls, drains or deregisters. A stream moves to another worker only once that worker sends
//! events, and stays on its worker until then.

use super::harness::{
    not_executed_response, read_to_end, request_bytes, run_in_paused_time, stamped_error_response,
    worker_view, ClientResponse, InMemoryHarness, RouteUnderTest, ALL_ROUTES,
};
use super::scripted_worker::{Failure, FailurePoint, Plan, ReceivedRequest, ResponseFn};
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use switchhill_routing::{Availability, WorkerView};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

const FIRST_WORKER: &str = "10.0.0.1:80";
/// Longer than the stall after which another worker is tried, and shorter than the time limit of the route.
const STALL_DURATION: Duration = Duration::from_millis(1600);

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Beginning of a stream: the head and the first event.
fn first_event(request: &ReceivedRequest) -> Vec<u8> {
    let id = request.header("request-id");
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    format!("{head}{}", chunk("id: 1\ndata: x/1\n\n")).into_bytes()
}

/// The other events and the end of that stream.
fn remaining_events() -> String {
    format!("{}{}0\r\n\r\n", chunk("id: 2\ndata: x/2\n\n"), chunk("id: 3\ndata: x/3\n\n"))
}

const COMPLETE_BODY: &str = "id: 1\ndata: x/1\n\nid: 2\ndata: x/2\n\nid: 3\ndata: x/3\n\n";

/// Starts two streams at the first worker; a stall is detected from streams that stop together.
async fn start_streams(harness: &mut InMemoryHarness, route: RouteUnderTest) -> [DuplexStream; 2] {
    harness.publish_workers(vec![worker_view(1)]);
    for _ in 0..2 {
        harness.workers.push_plan(Plan::responding(Rc::new(first_event)));
    }
    let mut clients = [harness.connect(), harness.connect()];
    for (client, id) in clients.iter_mut().zip(["q1", "q2"]) {
        let bytes = request_bytes(route, id, "Connection: close\r\n", "");
        client.write_all(&bytes).await.expect("written");
    }
    tokio::time::sleep(Duration::from_millis(10)).await;
    clients
}

/// Responses to two clients whose worker stalls and continues after another worker has been tried.
async fn exchange_with_stall(
    route: RouteUnderTest,
    other_worker: Plan,
) -> (InMemoryHarness, [ClientResponse; 2]) {
    let mut harness = InMemoryHarness::start();
    let [one, two] = start_streams(&mut harness, route).await;
    harness.workers.set_default_plan(other_worker);
    harness.publish_workers(vec![worker_view(1), worker_view(2)]);
    let scripted_workers = harness.workers.clone();
    let resume_stream = async {
        tokio::time::sleep(STALL_DURATION).await;
        scripted_workers.send_from(Some(FIRST_WORKER), remaining_events().as_bytes());
    };
    let (one, two, ()) = tokio::join!(read_to_end(one), read_to_end(two), resume_stream);
    (harness, [one, two])
}

fn expect_complete(responses: &[ClientResponse], case: &str) {
    for response in responses {
        expect_that!(
            (response.body.as_str(), response.complete),
            eq((COMPLETE_BODY, true)),
            "{case}: {response:?}"
        );
    }
}

#[gtest]
fn a_stalled_stream_stays_open_if_no_other_worker_can_resume_it() {
    let others: [(&str, Plan); 5] = [
        ("refuses", Plan { runs: false, ..Plan::responding(Rc::new(not_executed_response)) }),
        (
            "resets",
            Plan::responding(RouteUnderTest::Resumable.respond_fn())
                .with_failure(FailurePoint::Response(0), Failure::Reset),
        ),
        (
            "stalls",
            Plan::responding(RouteUnderTest::Resumable.respond_fn())
                .with_failure(FailurePoint::Response(0), Failure::Stall),
        ),
        ("responds with an error", Plan::responding(Rc::new(stamped_error_response))),
        ("responds without events", Plan::responding(RouteUnderTest::Safe.respond_fn())),
    ];
    for (name, other) in others {
        let (harness, responses) = run_in_paused_time(exchange_with_stall(RouteUnderTest::Resumable, other));
        expect_that!(
            harness.workers.observed.borrow().arrivals.len(),
            gt(2),
            "the other worker was not tried"
        );
        expect_complete(&responses, name);
    }
}

#[gtest]
fn a_stream_that_cannot_be_resumed_stays_on_its_stalled_worker() {
    let (harness, responses) = run_in_paused_time(exchange_with_stall(
        RouteUnderTest::Streaming,
        Plan::responding(RouteUnderTest::Streaming.respond_fn()),
    ));
    expect_that!(harness.workers.observed.borrow().arrivals.len(), eq(2));
    expect_complete(&responses, "not resumable");
}

#[gtest]
fn a_stalled_stream_is_resumed_at_another_worker_exclusively() {
    let resume: ResponseFn = Rc::new(|request: &ReceivedRequest| {
        let id = request.header("request-id");
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: other\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        format!("{head}{}", remaining_events()).into_bytes()
    });
    let (harness, responses) =
        run_in_paused_time(exchange_with_stall(RouteUnderTest::Resumable, Plan::responding(resume)));
    expect_complete(&responses, "resumed");
    for response in &responses {
        // The head, and with it the stamp, is the first worker's.
        expect_that!(response.header("response-stamp"), some(eq("s")));
        expect_that!(response.elapsed, lt(STALL_DURATION));
    }
    let observed = harness.workers.observed.borrow();
    let resumed = observed.complete_requests.iter().skip(2).map(|request| request.header("last-event-id"));
    expect_that!(resumed.collect::<Vec<_>>(), eq(&vec!["1", "1"]));
}

fn draining_worker() -> WorkerView {
    WorkerView { state: Availability::Draining, ..worker_view(1) }
}

#[gtest]
fn streams_of_a_draining_or_deregistered_worker_continue_and_new_requests_go_elsewhere() {
    // A worker may announce that it drains, or deregister at once and continue to serve.
    for (name, workers) in
        [("draining", vec![draining_worker(), worker_view(2)]), ("deregistered", vec![worker_view(2)])]
    {
        for route in [RouteUnderTest::Streaming, RouteUnderTest::Resumable] {
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                let [one, two] = start_streams(&mut harness, route).await;
                harness.publish_workers(workers.clone());
                let case = format!("{name}, {}", route.name());
                expect_that!(harness.check_next_request(route, "q3").await, ok(eq(&())), "{case}");
                harness.workers.send_from(Some(FIRST_WORKER), remaining_events().as_bytes());
                let (one, two) = tokio::join!(read_to_end(one), read_to_end(two));
                expect_complete(&[one, two], &case);
                expect_that!(harness.check_next_request(route, "q4").await, ok(eq(&())), "{case}");
                let observed = harness.workers.observed.borrow();
                let later = observed.arrivals[2..].iter().map(|(worker, _)| worker.to_string());
                expect_that!(later.collect::<Vec<_>>(), each(eq("10.0.0.2:80")), "{case}");
            });
        }
    }
}

#[gtest]
fn a_worker_that_drains_or_deregisters_during_connection_setup_gets_no_request() {
    for route in ALL_ROUTES {
        for workers in [vec![worker_view(2)], vec![draining_worker(), worker_view(2)]] {
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                harness.publish_workers(vec![worker_view(1)]);
                harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
                harness.workers.set_connect_hangs(true);
                let mut client = harness.connect();
                let bytes = request_bytes(route, "q1", "Connection: close\r\n", "");
                client.write_all(&bytes).await.expect("written");
                tokio::time::sleep(Duration::from_millis(10)).await;
                harness.publish_workers(workers);
                harness.workers.set_connect_hangs(false);
                let response = read_to_end(client).await;
                expect_that!((response.status, response.complete), eq((200, true)), "{}", route.name());
                let observed = harness.workers.observed.borrow();
                let workers = observed.arrivals.iter().map(|(worker, _)| worker.to_string());
                expect_that!(
                    workers.collect::<Vec<_>>(),
                    eq(&vec!["10.0.0.2:80".to_owned()]),
                    "{}",
                    route.name()
                );
            });
        }
    }
}

#[gtest]
fn a_request_stays_on_its_stalled_worker_during_shutdown() {
    run_in_paused_time(async {
        let mut harness = InMemoryHarness::start();
        let route = RouteUnderTest::Resumable;
        let _streams = start_streams(&mut harness, route).await;
        harness.workers.push_plan(Plan::responding(Rc::new(|_: &ReceivedRequest| Vec::new())));
        let mut waiting = harness.connect();
        waiting.write_all(&request_bytes(route, "waits", "", "")).await.expect("written");
        tokio::time::sleep(Duration::from_millis(10)).await;
        harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
        harness.publish_workers(vec![worker_view(1), worker_view(2)]);
        harness.begin_shutdown();
        // Long enough for the worker to count as stalled, and before the end of the process.
        tokio::time::sleep(Duration::from_millis(1300)).await;
        let early_response = tokio::time::timeout(Duration::from_millis(1), waiting.read_u8()).await;
        expect_that!(early_response.is_err(), eq(true), "{early_response:?}");
        expect_that!(harness.workers.observed.borrow().arrivals.len(), eq(3));
        harness.wait_for_shutdown().await;
    });
}
