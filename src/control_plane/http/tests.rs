//! Tests of the calls' interface over in-memory streams, in paused time.

use super::{serve, Calls, ANSWER_WITHIN};
use crate::site_settings::ProcessLimits;
use bytes::Bytes;
use googletest::prelude::*;
use std::future::Future;
use std::time::Duration;
use switchhill_configuration::OrderKind;
use switchhill_control::{Answer, Call, Input};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::mpsc;

/// Memory limit of the process, in megabytes.
const MEMORY_MB: u64 = 64;

fn calls() -> (Calls, mpsc::UnboundedReceiver<Input>) {
    let (inputs, received) = mpsc::unbounded_channel();
    (Calls::new(inputs, &ProcessLimits { memory_mb: MEMORY_MB, ..ProcessLimits::default() }), received)
}

/// Runs in paused time.
fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build();
    tokio::task::LocalSet::new().block_on(&runtime.expect("a runtime"), test)
}

/// Makes a call as bytes and returns the answer's status and body; the node gives `answer`.
async fn exchange(request: String, answer: Answer) -> (String, String) {
    let (calls, mut inputs) = calls();
    let (mut client, server) = tokio::io::duplex(64 * 1024);
    let mut node = calls.clone();
    tokio::task::spawn_local(async move {
        while let Some(input) = inputs.recv().await {
            if let Input::Call(id, _) = input {
                node.answer(id, answer.clone());
            }
        }
    });
    tokio::task::spawn_local(serve(server, calls.clone()));
    client.write_all(request.as_bytes()).await.expect("written");
    let mut text = Vec::new();
    client.read_to_end(&mut text).await.expect("read");
    let text = String::from_utf8_lossy(&text).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").expect("a head");
    (head.lines().next().unwrap_or_default().to_owned(), body.to_owned())
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nHost: c\r\nConnection: close\r\n{headers}Content-Length: {length}\r\n\r\n{body}")
}

fn ok() -> Answer {
    Answer { status: 200, body: Bytes::from_static(b"{\"code\":2000,\"revision\":9}") }
}

#[gtest]
fn order_without_a_base_is_refused_with_its_code() {
    for header in ["", "Base-Version: seven\r\n", "Base-Version: -1\r\n"] {
        let (status, body) = run(exchange(post("/api/config/update", header, "{}"), ok()));
        expect_that!(status, eq("HTTP/1.1 400 Bad Request"), "{header}");
        expect_that!(body, contains_substring("\"code\":1009"), "{header}");
    }
}

#[gtest]
fn body_over_the_limit_is_refused_with_its_code() {
    let body = " ".repeat(calls().0.longest_body + 1);
    let (status, body) = run(exchange(post("/api/config/replace", "Base-Version: 0\r\n", &body), ok()));
    expect_that!(status, eq("HTTP/1.1 413 Payload Too Large"));
    expect_that!(body, contains_substring("\"code\":1010"));
}

#[gtest]
fn answer_of_the_node_is_passed_on() {
    let (status, body) = run(exchange(post("/api/config/update", "Base-Version: 7\r\n", "{}"), ok()));
    expect_that!((status.as_str(), body.as_str()), eq(("HTTP/1.1 200 OK", "{\"code\":2000,\"revision\":9}")));
}

#[gtest]
fn call_without_an_answer_is_left_open() {
    let (calls, _inputs) = calls();
    let answer = run(calls.make(Call::Read));
    expect_that!(answer.status, eq(504));
    expect_that!(String::from_utf8_lossy(&answer.body), contains_substring("\"code\":3001"));
    expect_true!(calls.waiting.borrow().is_empty());
}

#[gtest]
fn answer_given_before_a_freeze_is_not_passed_on_after_it() {
    let outcome = run(async {
        let mut outcome = Vec::new();
        for frozen_for in [Duration::ZERO, ANSWER_WITHIN + Duration::from_millis(1), Duration::from_secs(20)]
        {
            let (mut calls, mut inputs) = calls();
            let making = calls.clone();
            let order = switchhill_configuration::Order {
                kind: OrderKind::Update,
                base_version: 7,
                body: Bytes::from_static(b"{}"),
            };
            let made = tokio::task::spawn_local(async move { making.make(Call::Change(order)).await });
            let Some(Input::Call(id, _)) = inputs.recv().await else { panic!("a call is made") };
            // The node's answer is there; the process stands still before its caller is given it.
            calls.answer(id, ok());
            tokio::time::advance(frozen_for).await;
            outcome.push(made.await.expect("an answer").status);
        }
        outcome
    });
    expect_that!(outcome, eq(&[200, 504, 504]));
}

#[gtest]
fn calls_that_the_node_has_when_they_are_closed_are_awaited() {
    run(async {
        let (mut calls, mut inputs) = calls();
        let making = calls.clone();
        let made = tokio::task::spawn_local(async move { making.make(Call::Read).await });
        let Some(Input::Call(id, _)) = inputs.recv().await else { panic!("a call is made") };
        expect_false!(calls.are_done(), "they are not closed");
        calls.close();
        expect_false!(calls.are_done(), "one waits");
        let late = calls.make(Call::Read).await;
        expect_that!(late.status, eq(503));
        expect_that!(String::from_utf8_lossy(&late.body), contains_substring("\"code\":3005"));
        expect_true!(inputs.try_recv().is_err(), "the node is not asked any more");
        calls.answer(id, ok());
        expect_that!(made.await.expect("an answer").status, eq(200));
        expect_true!(calls.are_done());
    });
}

#[gtest]
fn calls_that_wait_at_the_end_are_left_open() {
    run(async {
        let (calls, mut inputs) = calls();
        let making = calls.clone();
        let made = tokio::task::spawn_local(async move { making.make(Call::Read).await });
        inputs.recv().await.expect("a call is made");
        calls.leave_open();
        let answer = made.await.expect("an answer");
        expect_that!(answer.status, eq(504));
        expect_that!(String::from_utf8_lossy(&answer.body), contains_substring("\"code\":3001"));
    });
}

#[gtest]
fn a_call_whose_caller_has_gone_is_not_awaited() {
    run(async {
        let (calls, mut inputs) = calls();
        let making = calls.clone();
        let made = tokio::task::spawn_local(async move { making.make(Call::Read).await });
        inputs.recv().await.expect("a call is made");
        made.abort();
        expect_true!(made.await.expect_err("it was dropped").is_cancelled());
        calls.close();
        expect_true!(calls.are_done());
    });
}

/// Guards against callers whose bodies, each within the limit of one, take a core machine over its memory together.
#[gtest]
fn a_call_is_answered_with_503_while_the_bodies_of_others_fill_the_memory() {
    run(async {
        let (calls, _inputs) = calls();
        let share = (MEMORY_MB << 20) as usize / 4;
        let mut open = Vec::new();
        let mut refused = 0;
        for _ in 0..20 {
            let (mut client, server) = tokio::io::duplex(64 * 1024);
            let calls = calls.clone();
            tokio::task::spawn_local(serve(server, calls.clone()));
            let head = "POST /api/config/replace HTTP/1.1\r\nHost: c\r\nBase-Version: 1\r\nContent-Length: 4194304\r\n\r\n";
            client.write_all(head.as_bytes()).await.expect("written");
            let mut answer = vec![0; 1024];
            match tokio::time::timeout(Duration::from_millis(10), client.read(&mut answer)).await {
                Ok(read) => {
                    let text = String::from_utf8_lossy(&answer[..read.expect("an answer")]).into_owned();
                    expect_that!(text, starts_with("HTTP/1.1 503"));
                    refused += 1;
                }
                Err(_) => open.push(client),
            }
        }
        expect_that!(open.len() * 4_194_304, le(share));
        expect_that!((open.len(), refused), eq((3, 17)));
    });
}

#[gtest]
fn a_body_that_does_not_come_is_no_refusal() {
    run(async {
        let head =
            "POST /api/config/replace HTTP/1.1\r\nHost: c\r\nBase-Version: 1\r\nContent-Length: 10\r\n\r\n";
        let (calls, _inputs) = calls();
        let (mut client, server) = tokio::io::duplex(64 * 1024);
        tokio::task::spawn_local(serve(server, calls.clone()));
        client.write_all(head.as_bytes()).await.expect("written");
        let mut answer = vec![0; 1024];
        let read = client.read(&mut answer).await.expect("an answer");
        expect_that!(String::from_utf8_lossy(&answer[..read]), starts_with("HTTP/1.1 408"));
    });
}
