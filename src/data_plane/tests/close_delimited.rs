//! Responses without `Content-Length`: complete if their connection is closed, incomplete if it is reset.

use super::harness::{
    close_delimited_response, run_in_paused_time, ClientResponse, InMemoryHarness, RouteUnderTest,
};
use super::scripted_worker::{Failure, FailurePoint, Plan, ReceivedRequest, ResponseFn};
use googletest::prelude::*;
use std::rc::Rc;

const ID: &str = "q1";
const HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Stamp: s\r\n\r\n";

/// Response to a client whose first worker's connection fails after `sent` bytes of the response, and how often
/// the request was run.
fn exchange_ending_after(
    route: RouteUnderTest,
    respond: &ResponseFn,
    sent: usize,
    failure: Failure,
) -> (ClientResponse, usize) {
    run_in_paused_time(async {
        let mut harness = InMemoryHarness::start();
        harness
            .workers
            .push_plan(Plan::responding(respond.clone()).with_failure(FailurePoint::Response(sent), failure));
        harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
        let response = harness.exchange(route, ID, "", "a body").await;
        let runs = harness.run_count(ID);
        expect_that!(harness.check_next_request(route, "q2").await, ok(eq(&())), "{sent} bytes, {failure:?}");
        (response, runs)
    })
}

fn short_response() -> (ResponseFn, usize) {
    (Rc::new(close_delimited_response), HEAD.len() + RouteUnderTest::Safe.expected_body(ID).len())
}

#[gtest]
fn a_response_without_length_that_ends_with_a_close_is_complete() {
    let (respond, total) = short_response();
    let (response, runs) = exchange_ending_after(RouteUnderTest::Unsafe, &respond, total, Failure::Close);
    expect_that!((response.status, response.body.as_str()), eq((200, "answer to q1")));
    expect_that!(response.header("response-stamp"), some(eq("s")));
    expect_that!(response.header("content-length"), some(eq("12")));
    expect_that!((response.complete, runs), eq((true, 1)));
}

#[gtest]
fn a_response_without_length_that_is_reset_at_any_byte_is_not_complete() {
    let (respond, total) = short_response();
    for sent in 0..=total {
        let (response, runs) = exchange_ending_after(RouteUnderTest::Unsafe, &respond, sent, Failure::Reset);
        expect_that!((response.status, response.body.as_str()), eq((502, "")), "{sent} bytes");
        expect_that!(runs, eq(1), "{sent} bytes");
        let (response, _) = exchange_ending_after(RouteUnderTest::Safe, &respond, sent, Failure::Reset);
        expect_that!((response.status, response.body.as_str()), eq((200, "answer to q1")), "{sent} bytes");
    }
}

#[gtest]
fn a_response_without_length_whose_worker_stalls_is_not_complete() {
    let (respond, total) = short_response();
    for sent in 0..=total {
        let (response, runs) = exchange_ending_after(RouteUnderTest::Unsafe, &respond, sent, Failure::Stall);
        expect_that!((response.status, response.body.as_str(), runs), eq((504, "", 1)), "{sent} bytes");
    }
}

/// A response that is too long to be buffered and is forwarded as it arrives.
fn long_response(_: &ReceivedRequest) -> Vec<u8> {
    [HEAD.as_bytes(), &[b'x'; 200_000]].concat()
}

#[gtest]
fn a_long_response_without_length_shows_whether_it_is_complete() {
    let respond: ResponseFn = Rc::new(long_response);
    for (failure, complete) in [(Failure::Close, true), (Failure::Reset, false), (Failure::Stall, false)] {
        let (response, _) =
            exchange_ending_after(RouteUnderTest::Unsafe, &respond, HEAD.len() + 200_000, failure);
        expect_that!((response.status, response.complete), eq((200, complete)), "{failure:?}");
        expect_that!(response.body.len(), eq(200_000), "{failure:?}");
    }
}

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n";

fn close_delimited_stream(request: &ReceivedRequest) -> Vec<u8> {
    let body = RouteUnderTest::Streaming.expected_body(request.header("request-id"));
    format!("{STREAM_HEAD}{body}").into_bytes()
}

#[gtest]
fn a_stream_without_length_is_complete_only_if_closed_after_a_complete_event() {
    let respond: ResponseFn = Rc::new(close_delimited_stream);
    let body = RouteUnderTest::Streaming.expected_body(ID);
    for sent in 0..=body.len() {
        let (closed, _) = exchange_ending_after(
            RouteUnderTest::Streaming,
            &respond,
            STREAM_HEAD.len() + sent,
            Failure::Close,
        );
        let events = body[..sent].rfind("\n\n").map_or(0, |at| at + 2);
        expect_that!(closed.body, eq(&body[..events]), "{sent} bytes");
        expect_that!(closed.complete, eq(events == sent), "{sent} bytes");
        let (reset, _) = exchange_ending_after(
            RouteUnderTest::Streaming,
            &respond,
            STREAM_HEAD.len() + sent,
            Failure::Reset,
        );
        // Before the first event the head may be lost together with the connection.
        let is_incomplete = reset.status == 0 || (reset.status == 200 && !reset.complete);
        expect_that!((reset.body.as_str(), is_incomplete), eq((&body[..events], true)), "{sent} bytes");
    }
}

#[gtest]
fn a_resumable_stream_without_length_is_resumed_after_a_reset_at_any_byte() {
    let respond: ResponseFn = Rc::new(close_delimited_stream);
    let body = RouteUnderTest::Resumable.expected_body(ID);
    for sent in 0..=body.len() {
        let (response, _) = exchange_ending_after(
            RouteUnderTest::Resumable,
            &respond,
            STREAM_HEAD.len() + sent,
            Failure::Reset,
        );
        expect_that!((response.body.as_str(), response.complete), eq((body.as_str(), true)), "{sent} bytes");
    }
}
