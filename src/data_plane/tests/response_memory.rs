//! The memory that responses of workers hold, and what is refused while the memory of the process is short.

use super::harness::{request_bytes, run_in_paused_time, InMemoryHarness, RouteUnderTest};
use super::scripted_worker::{Failure, FailurePoint, Plan, ReceivedRequest, ResponseFn};
use crate::data_plane::event_stream::MAX_BUFFERED_EVENT_BYTES;
use crate::data_plane::policy::MIN_REQUESTS_IN_SHORTAGE;
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

/// Memory limit of the process, in megabytes: two responses of [`RESPONSE_BYTES`] are within the share for responses.
const MEMORY_MB: u64 = 1;

/// Length of a response that is read whole before it is forwarded.
const RESPONSE_BYTES: usize = 40_000;

/// Time in which everything that is possible without a further input has happened.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// A response with this body, as a stream of events or with its length.
fn response_with_body(route: RouteUnderTest, body: String) -> ResponseFn {
    Rc::new(move |request: &ReceivedRequest| {
        let kind = match route.is_stream() {
            true => "Content-Type: text/event-stream\r\nConnection: close".to_owned(),
            false => format!("Content-Length: {}", body.len()),
        };
        let id = request.header("request-id");
        format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n{kind}\r\n\r\n{body}")
            .into_bytes()
    })
}

async fn begin(harness: &mut InMemoryHarness, route: RouteUnderTest, id: &str) -> DuplexStream {
    let mut client = harness.connect();
    client.write_all(&request_bytes(route, id, "", "a body")).await.expect("written");
    tokio::time::sleep(SETTLE_TIME).await;
    client
}

/// What has arrived at a client so far.
async fn received(client: &mut DuplexStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(Ok(count @ 1..)) = tokio::time::timeout(SETTLE_TIME, client.read(&mut buffer)).await {
        bytes.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

#[gtest]
fn responses_beyond_the_memory_are_forwarded_as_they_come() {
    run_in_paused_time(async {
        let route = RouteUnderTest::Unsafe;
        let mut harness = InMemoryHarness::start_with_memory(MEMORY_MB);
        let all = harness.shared.response_memory.free_bytes();
        let respond = response_with_body(route, "r".repeat(RESPONSE_BYTES));
        let stalled =
            Plan::responding(respond).with_failure(FailurePoint::Response(RESPONSE_BYTES), Failure::Stall);
        harness.workers.set_default_plan(stalled);
        let mut forwarded = 0;
        let mut clients = Vec::new();
        for number in 0..8 {
            let mut client = begin(&mut harness, route, &format!("q{number}")).await;
            let response = received(&mut client).await;
            forwarded += usize::from(response.starts_with("HTTP/1.1 200") && response.len() > 8_000);
            clients.push(client);
        }
        let held = all - harness.shared.response_memory.free_bytes();
        expect_that!(forwarded, all!(gt(0), lt(8)));
        expect_that!(held, all!(ge(RESPONSE_BYTES), le(all)));
        drop(clients);
        tokio::time::sleep(SETTLE_TIME).await;
        expect_that!(harness.shared.response_memory.free_bytes(), eq(all), "nothing is held afterwards");
        harness.check_next_request(route, "next").await.expect("served");
    });
}

#[gtest]
fn a_response_that_finds_no_memory_arrives_unchanged() {
    run_in_paused_time(async {
        let route = RouteUnderTest::Unsafe;
        let mut harness = InMemoryHarness::start_with_memory(MEMORY_MB);
        let all = harness.shared.response_memory.free_bytes();
        let body: String = (0..RESPONSE_BYTES).map(|at| char::from(b'a' + (at % 26) as u8)).collect();
        for is_free in [true, false] {
            let taken = harness.shared.response_memory.clone();
            let reserved: Vec<_> = match is_free {
                true => Vec::new(),
                false => std::iter::from_fn(|| taken.reserve(1024)).collect(),
            };
            harness.workers.set_default_plan(Plan::responding(response_with_body(route, body.clone())));
            let response = harness.exchange(route, "q1", "", "a body").await;
            expect_that!((response.status, response.complete), eq((200, true)), "free: {is_free}");
            expect_that!(response.body == body, eq(true), "free: {is_free}");
            drop(reserved);
        }
        expect_that!(harness.shared.response_memory.free_bytes(), eq(all));
    });
}

/// Guards against an event without an end: all of it was held until the process was over its memory.
#[gtest]
fn an_event_without_an_end_is_forwarded_as_it_comes() {
    run_in_paused_time(async {
        let route = RouteUnderTest::Streaming;
        let mut harness = InMemoryHarness::start();
        let endless = format!("id: 1\ndata: {}", "e".repeat(10 * MAX_BUFFERED_EVENT_BYTES));
        let length = endless.len();
        harness.workers.set_default_plan(Plan::responding(response_with_body(route, endless)));
        let mut client = begin(&mut harness, route, "q1").await;
        let response = received(&mut client).await;
        expect_that!(response.matches('e').count(), ge(length - 2 * MAX_BUFFERED_EVENT_BYTES));
    });
}

#[gtest]
fn a_stream_is_resumed_after_a_long_event_and_not_within_it() {
    let long = format!("id: 1\ndata: {}\n\n", "e".repeat(3 * MAX_BUFFERED_EVENT_BYTES));
    let head = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Stamp: s\r\n\
                Content-Type: text/event-stream\r\nConnection: close\r\n\r\n";
    for (lacking, is_resumed) in [(0, true), (MAX_BUFFERED_EVENT_BYTES, false)] {
        run_in_paused_time(async {
            let route = RouteUnderTest::Resumable;
            let mut harness = InMemoryHarness::start();
            let sent = head.len() + long.len() - lacking;
            // More would follow, so that the failure comes after what is sent and before the end.
            let respond = response_with_body(route, format!("{long}id: 2\n"));
            let broken = Plan::responding(respond).with_failure(FailurePoint::Response(sent), Failure::Stall);
            harness.workers.push_plan(broken);
            harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
            let mut client = begin(&mut harness, route, "q1").await;
            let start = received(&mut client).await;
            expect_that!(start.len(), gt(MAX_BUFFERED_EVENT_BYTES), "lacking {lacking}");
            harness.workers.fail_connections(Failure::Reset);
            let rest = received(&mut client).await;
            expect_that!(rest.contains("id: 2"), eq(is_resumed), "lacking {lacking}: {rest}");
            expect_that!(rest.contains("id: 1"), eq(false), "lacking {lacking}: {rest}");
            expect_that!(harness.run_count("q1"), eq(1 + usize::from(is_resumed)), "lacking {lacking}");
        });
    }
}

#[gtest]
fn while_memory_is_short_requests_beyond_a_few_are_refused_and_sent_to_no_worker() {
    run_in_paused_time(async {
        let route = RouteUnderTest::Unsafe;
        let mut harness = InMemoryHarness::start();
        harness.shared.memory_shortage.set(true);
        let respond = response_with_body(route, "r".repeat(RESPONSE_BYTES));
        let silent = Plan::responding(respond).with_failure(FailurePoint::Response(0), Failure::Stall);
        harness.workers.set_default_plan(silent);
        let mut clients = Vec::new();
        for number in 0..MIN_REQUESTS_IN_SHORTAGE {
            clients.push(begin(&mut harness, route, &format!("q{number}")).await);
        }
        let runs = harness.workers.observed.borrow().runs.len();
        expect_that!(runs, eq(MIN_REQUESTS_IN_SHORTAGE as usize), "a few are served");
        let mut refused = begin(&mut harness, route, "refused").await;
        let text = received(&mut refused).await;
        expect_that!(text, starts_with("HTTP/1.1 503"));
        expect_that!(text.to_ascii_lowercase(), contains_substring("retry-after: "));
        expect_that!(harness.run_count("refused"), eq(0));
        expect_that!(harness.shared.statistics.borrow().refusals.memory, eq(1));
        harness.shared.memory_shortage.set(false);
        let _served = begin(&mut harness, route, "served").await;
        expect_that!(harness.run_count("served"), eq(1));
        drop(clients);
    });
}
