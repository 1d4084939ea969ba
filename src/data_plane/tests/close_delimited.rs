//! Answers without a length: whole where their connection ends in order, broken where it is reset.

use super::harness::{paused, unframed_answer, Answered, MemoryRig, RouteUnderTest};
use super::scripted_worker::{Answer, Failure, Plan, Position, ReadRequest};
use googletest::prelude::*;
use std::rc::Rc;

const ID: &str = "q1";
const HEAD: &str = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Stamp: s\r\n\r\n";

/// What a client gets if its first worker's unframed answer ends after so many bytes.
fn ended_after(route: RouteUnderTest, answer: &Answer, sent: usize, failure: Failure) -> (Answered, usize) {
    paused(async {
        let mut rig = MemoryRig::start();
        rig.workers.plan(Plan::answering(answer.clone()).failing(Position::Answer(sent), failure));
        rig.workers.otherwise(Plan::answering(route.answer()));
        let answered = rig.ask(route, ID, "", "a body").await;
        let runs = rig.runs(ID);
        expect_that!(rig.serves_another(route, "q2").await, ok(eq(&())), "{sent} bytes, {failure:?}");
        (answered, runs)
    })
}

fn plain() -> (Answer, usize) {
    (Rc::new(unframed_answer), HEAD.len() + RouteUnderTest::Safe.whole_body(ID).len())
}

#[gtest]
fn an_answer_without_length_that_ends_in_order_is_whole() {
    let (answer, all) = plain();
    let (answered, runs) = ended_after(RouteUnderTest::Unsafe, &answer, all, Failure::Close);
    expect_that!((answered.status, answered.body.as_str()), eq((200, "answer to q1")));
    expect_that!(answered.header("response-stamp"), some(eq("s")));
    expect_that!(answered.header("content-length"), some(eq("12")));
    expect_that!((answered.complete, runs), eq((true, 1)));
}

#[gtest]
fn an_answer_without_length_that_is_reset_at_any_byte_is_not_complete() {
    let (answer, all) = plain();
    for sent in 0..=all {
        let (answered, runs) = ended_after(RouteUnderTest::Unsafe, &answer, sent, Failure::Reset);
        expect_that!((answered.status, answered.body.as_str()), eq((502, "")), "{sent} bytes");
        expect_that!(runs, eq(1), "{sent} bytes");
        let (answered, _) = ended_after(RouteUnderTest::Safe, &answer, sent, Failure::Reset);
        expect_that!((answered.status, answered.body.as_str()), eq((200, "answer to q1")), "{sent} bytes");
    }
}

#[gtest]
fn an_answer_without_length_whose_worker_falls_silent_is_not_complete() {
    let (answer, all) = plain();
    for sent in 0..=all {
        let (answered, runs) = ended_after(RouteUnderTest::Unsafe, &answer, sent, Failure::Silence);
        expect_that!((answered.status, answered.body.as_str(), runs), eq((504, "", 1)), "{sent} bytes");
    }
}

/// A long answer, which is passed on as it comes.
fn long_answer(_: &ReadRequest) -> Vec<u8> {
    [HEAD.as_bytes(), &[b'x'; 200_000]].concat()
}

#[gtest]
fn a_long_answer_without_length_shows_whether_it_is_whole() {
    let answer: Answer = Rc::new(long_answer);
    for (failure, whole) in [(Failure::Close, true), (Failure::Reset, false), (Failure::Silence, false)] {
        let (answered, _) = ended_after(RouteUnderTest::Unsafe, &answer, HEAD.len() + 200_000, failure);
        expect_that!((answered.status, answered.complete), eq((200, whole)), "{failure:?}");
        expect_that!(answered.body.len(), eq(200_000), "{failure:?}");
    }
}

const STREAM_HEAD: &str =
    "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n";

fn unframed_stream(request: &ReadRequest) -> Vec<u8> {
    let body = RouteUnderTest::Streaming.whole_body(request.header("request-id"));
    format!("{STREAM_HEAD}{body}").into_bytes()
}

#[gtest]
fn a_stream_without_length_is_complete_only_after_a_whole_event_and_an_end_in_order() {
    let answer: Answer = Rc::new(unframed_stream);
    let body = RouteUnderTest::Streaming.whole_body(ID);
    for sent in 0..=body.len() {
        let (closed, _) =
            ended_after(RouteUnderTest::Streaming, &answer, STREAM_HEAD.len() + sent, Failure::Close);
        let events = body[..sent].rfind("\n\n").map_or(0, |at| at + 2);
        expect_that!(closed.body, eq(&body[..events]), "{sent} bytes");
        expect_that!(closed.complete, eq(events == sent), "{sent} bytes");
        let (reset, _) =
            ended_after(RouteUnderTest::Streaming, &answer, STREAM_HEAD.len() + sent, Failure::Reset);
        // Before the first event the head may be lost with the connection.
        let is_incomplete = reset.status == 0 || (reset.status == 200 && !reset.complete);
        expect_that!((reset.body.as_str(), is_incomplete), eq((&body[..events], true)), "{sent} bytes");
    }
}

#[gtest]
fn a_resumable_stream_without_length_goes_on_after_a_reset_at_any_byte() {
    let answer: Answer = Rc::new(unframed_stream);
    let body = RouteUnderTest::Resumable.whole_body(ID);
    for sent in 0..=body.len() {
        let (answered, _) =
            ended_after(RouteUnderTest::Resumable, &answer, STREAM_HEAD.len() + sent, Failure::Reset);
        expect_that!((answered.body.as_str(), answered.complete), eq((body.as_str(), true)), "{sent} bytes");
    }
}
