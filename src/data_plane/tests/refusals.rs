//! Refusals that prove that the request has not run.

use super::harness::{run_in_paused_time, InMemoryHarness, ALL_ROUTES};
use super::scripted_worker::{Plan, ReceivedRequest, ResponseFn};
use googletest::prelude::*;
use std::rc::Rc;

fn refusal_with(status: u16) -> ResponseFn {
    Rc::new(move |request: &ReceivedRequest| {
        let id = request.header("request-id");
        let head = format!("HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nNot-Executed: no\r\n");
        format!("{head}Content-Length: 0\r\n\r\n").into_bytes()
    })
}

#[gtest]
fn a_request_that_a_worker_refuses_is_sent_to_another_whatever_the_status() {
    for route in ALL_ROUTES {
        for status in [400, 421, 429, 503] {
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                harness.workers.push_plan(Plan { runs: false, ..Plan::responding(refusal_with(status)) });
                harness.workers.set_default_plan(Plan::responding(route.respond_fn()));
                let response = harness.exchange(route, "q1", "", "a body").await;
                expect_that!(
                    (response.status, harness.run_count("q1")),
                    eq((200, 1)),
                    "{}, {status}",
                    route.name()
                );
            });
        }
    }
}

#[gtest]
fn a_request_that_all_workers_refuse_gets_503_with_retry_after() {
    for route in ALL_ROUTES {
        for status in [400, 421, 429, 503] {
            run_in_paused_time(async {
                let mut harness = InMemoryHarness::start();
                harness
                    .workers
                    .set_default_plan(Plan { runs: false, ..Plan::responding(refusal_with(status)) });
                let response = harness.exchange(route, "q1", "", "a body").await;
                expect_that!(response.status, eq(503), "{}, {status}", route.name());
                expect_that!(response.header("retry-after"), some(anything()), "{}, {status}", route.name());
            });
        }
    }
}
