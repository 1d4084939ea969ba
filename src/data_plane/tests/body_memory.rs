//! The memory that the bodies of all requests hold together.

use super::harness::{read_to_end, request_bytes, run_in_paused_time, InMemoryHarness, RouteUnderTest};
use super::scripted_worker::{Failure, FailurePoint, Plan};
use crate::data_plane::policy::BODY_MEMORY_SHARE;
use crate::system::memory_budget::MemoryBudget;
use googletest::prelude::*;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

/// Memory limit of the process, in megabytes: a few bodies of [`LONG_BODY_BYTES`] fit into its share for bodies.
const MEMORY_MB: u64 = 1;

/// Share of the process's memory that bodies may use at the most.
const MAX_BODY_SHARE: f64 = 0.5;

const LONG_BODY_BYTES: usize = 100_000;

/// Bytes of a streamed response that end within its events.
const PAUSE_AFTER_BYTES: usize = 150;

/// Time in which everything that is possible without a further input has happened.
const SETTLE_TIME: Duration = Duration::from_millis(50);

fn long_body() -> String {
    (0..LONG_BODY_BYTES).map(|at| char::from(b'a' + (at % 26) as u8)).collect()
}

/// A body in chunks of this many bytes.
fn chunked_request(route: RouteUnderTest, id: &str, body: &str, chunk_bytes: usize) -> Vec<u8> {
    let mut request = format!(
        "POST /{}/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nTransfer-Encoding: chunked\r\n\
         Connection: close\r\n\r\n",
        route.name()
    );
    for chunk in body.as_bytes().chunks(chunk_bytes) {
        request.push_str(&format!("{:x}\r\n{}\r\n", chunk.len(), String::from_utf8_lossy(chunk)));
    }
    request.push_str("0\r\n\r\n");
    request.into_bytes()
}

/// Workers that read and run requests, and send nothing.
fn silent_worker(route: RouteUnderTest) -> Plan {
    Plan::responding(route.respond_fn()).with_failure(FailurePoint::Response(0), Failure::Stall)
}

/// Workers that send the beginning of their response and nothing more.
fn worker_that_pauses(route: RouteUnderTest) -> Plan {
    let point = FailurePoint::Response(PAUSE_AFTER_BYTES);
    Plan::responding(route.respond_fn()).with_failure(point, Failure::Stall)
}

async fn send(harness: &mut InMemoryHarness, request: &[u8]) -> DuplexStream {
    let mut client = harness.connect();
    client.write_all(request).await.expect("written");
    tokio::time::sleep(SETTLE_TIME).await;
    client
}

async fn read_some(client: &mut DuplexStream) -> String {
    let mut buffer = vec![0; 4096];
    let count = client.read(&mut buffer).await.expect("a response");
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}

/// Guards against bodies within `maxBodyBytes` that together take a data plane over its memory: a burst of them
/// ended the process, and all its requests were cut.
#[gtest]
fn long_bodies_beyond_the_memory_are_refused_at_once_and_short_ones_are_served() {
    for chunk_bytes in [None, Some(1000)] {
        run_in_paused_time(async {
            let route = RouteUnderTest::Unsafe;
            let mut harness = InMemoryHarness::start_with_memory(MEMORY_MB);
            harness.workers.set_default_plan(silent_worker(route));
            let mut refused = 0;
            let mut clients = Vec::new();
            for number in 0..20 {
                let id = format!("q{number}");
                let request = match chunk_bytes {
                    None => request_bytes(route, &id, "Connection: close\r\n", &long_body()),
                    Some(chunk_bytes) => chunked_request(route, &id, &long_body(), chunk_bytes),
                };
                let taken_before = harness.workers.observed.borrow().runs.len();
                let client = send(&mut harness, &request).await;
                if harness.workers.observed.borrow().runs.len() > taken_before {
                    clients.push(client);
                    continue;
                }
                let response = read_to_end(client).await;
                expect_that!(response.status, eq(503), "{id}, chunks of {chunk_bytes:?}");
                expect_that!(response.header("retry-after"), some(anything()));
                expect_that!(response.elapsed, le(SETTLE_TIME), "refused at once");
                refused += 1;
            }
            let held = clients.len() * LONG_BODY_BYTES;
            let most = ((MEMORY_MB << 20) as f64 * MAX_BODY_SHARE) as usize;
            expect_that!(held, all!(gt(0), le(most)), "chunks of {chunk_bytes:?}");
            expect_that!(harness.shared.statistics.borrow().refusals.memory, eq(refused));
            harness.check_next_request(route, "short").await.expect("a short body is served");
        });
    }
}

#[gtest]
fn a_body_that_cannot_be_sent_again_is_dropped_once_the_worker_responds() {
    for route in [RouteUnderTest::Streaming, RouteUnderTest::Resumable] {
        run_in_paused_time(async {
            let mut harness = InMemoryHarness::start_with_memory(MEMORY_MB);
            let all = harness.shared.body_memory.free_bytes();
            harness.workers.set_default_plan(worker_that_pauses(route));
            let request = request_bytes(route, "q1", "", &long_body());
            let _client = send(&mut harness, &request).await;
            expect_that!(harness.run_count("q1"), eq(1), "{}", route.name());
            let held = all - harness.shared.body_memory.free_bytes();
            let is_needed = route == RouteUnderTest::Resumable;
            expect_that!(held >= LONG_BODY_BYTES, eq(is_needed), "{}: {held} bytes", route.name());
            expect_that!(held > 0, eq(is_needed), "{}: {held} bytes", route.name());
        });
    }
}

#[gtest]
fn a_stream_is_resumed_with_its_whole_body() {
    run_in_paused_time(async {
        let route = RouteUnderTest::Resumable;
        let mut harness = InMemoryHarness::start_with_memory(MEMORY_MB);
        let all = harness.shared.body_memory.free_bytes();
        let broken = Plan::responding(route.respond_fn())
            .with_failure(FailurePoint::Response(PAUSE_AFTER_BYTES), Failure::Reset);
        harness.workers.push_plan(broken);
        harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
        let response = harness.exchange(route, "q1", "", &long_body()).await;
        expect_that!((response.status, response.complete), eq((200, true)));
        expect_that!(response.body, eq(&route.expected_body("q1")));
        let observed = harness.workers.observed.borrow();
        let whole = observed.complete_requests.iter().map(|request| request.body == long_body().as_bytes());
        expect_that!(whole.collect::<Vec<_>>(), eq(&vec![true, true]));
        expect_that!(harness.shared.body_memory.free_bytes(), eq(all), "nothing is held after the response");
    });
}

#[gtest]
fn a_connection_goes_on_after_a_body_was_refused_for_its_memory() {
    run_in_paused_time(async {
        let route = RouteUnderTest::Unsafe;
        let mut harness = InMemoryHarness::start_with_memory(MEMORY_MB);
        let memory = harness.shared.body_memory.free_bytes();
        let reserved = harness.shared.body_memory.reserve(memory / 2);
        let mut client = harness.connect_with_buffer(1024);
        let long = "b".repeat(memory / 2);
        let request = request_bytes(route, "q1", "", &long);
        let (start, rest) = request.split_at(2000);
        client.write_all(start).await.expect("written");
        let refusal = read_some(&mut client).await;
        expect_that!(refusal, starts_with("HTTP/1.1 503"), "the response does not wait for the body");
        client.write_all(rest).await.expect("the rest is read");
        drop(reserved);
        harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
        client.write_all(&request_bytes(route, "q2", "", "short")).await.expect("written");
        expect_that!(read_some(&mut client).await, starts_with("HTTP/1.1 200"));
        expect_that!((harness.run_count("q1"), harness.run_count("q2")), eq((0, 1)));
    });
}

#[gtest]
fn bodies_in_chunks_arrive_unchanged_and_hold_no_more_than_their_length() {
    for chunk_bytes in [1, 7, 1000, LONG_BODY_BYTES] {
        run_in_paused_time(async {
            let route = RouteUnderTest::Unsafe;
            let mut harness = InMemoryHarness::start_with_memory(MEMORY_MB);
            let all = harness.shared.body_memory.free_bytes();
            harness.workers.set_default_plan(silent_worker(route));
            let _client = send(&mut harness, &chunked_request(route, "q1", &long_body(), chunk_bytes)).await;
            let is_unchanged = harness.workers.observed.borrow().runs[0].body == long_body().as_bytes();
            expect_that!(is_unchanged, eq(true), "chunks of {chunk_bytes}");
            let held = all - harness.shared.body_memory.free_bytes();
            expect_that!(held, le(LONG_BODY_BYTES + 1024), "chunks of {chunk_bytes}");
        });
    }
}

#[gtest]
fn reservations_are_returned() {
    let memory = MemoryBudget::new("bodies", MEMORY_MB, BODY_MEMORY_SHARE);
    let all = memory.free_bytes();
    let mut reservation = memory.reserve(10_000).expect("free memory");
    expect_that!(memory.extend(&mut reservation, all / 2), eq(true));
    expect_that!(memory.free_bytes(), le(all / 2));
    expect_that!(memory.extend(&mut reservation, 2 * all), eq(false), "more than there is");
    reservation.shrink(20_000);
    expect_that!(memory.free_bytes(), ge(all - 21_000));
    drop(reservation);
    expect_that!(memory.free_bytes(), eq(all));
    expect_that!(memory.reserve(all).is_none(), eq(true), "a share is kept for small bodies");
    let small: Vec<_> = std::iter::from_fn(|| memory.reserve(4096)).collect();
    expect_that!(small.len() * 4096, all!(gt(all - 4096), le(all)));
}
