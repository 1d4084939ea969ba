//! Refusals with proof that the request did not run.

use super::harness::{paused, MemoryRig, ALL_ROUTES};
use super::scripted_worker::{Answer, Plan, ReadRequest};
use googletest::prelude::*;
use std::rc::Rc;

fn refusal_with(status: u16) -> Answer {
    Rc::new(move |request: &ReadRequest| {
        let id = request.header("request-id");
        let head = format!("HTTP/1.1 {status} X\r\nRequest-Id: {id}\r\nNot-Executed: no\r\n");
        format!("{head}Content-Length: 0\r\n\r\n").into_bytes()
    })
}

#[gtest]
fn a_request_with_an_id_that_a_worker_refuses_goes_to_another_whatever_the_status() {
    for route in ALL_ROUTES {
        for status in [400, 421, 429, 503] {
            paused(async {
                let mut rig = MemoryRig::start();
                rig.workers.plan(Plan { runs: false, ..Plan::answering(refusal_with(status)) });
                rig.workers.otherwise(Plan::answering(route.answer()));
                let answered = rig.ask(route, "q1", "", "a body").await;
                expect_that!((answered.status, rig.runs("q1")), eq((200, 1)), "{}, {status}", route.name());
            });
        }
    }
}

#[gtest]
fn a_request_that_all_workers_refuse_is_refused_with_advice_and_not_denied() {
    for route in ALL_ROUTES {
        for status in [400, 421, 429, 503] {
            paused(async {
                let mut rig = MemoryRig::start();
                rig.workers.otherwise(Plan { runs: false, ..Plan::answering(refusal_with(status)) });
                let answered = rig.ask(route, "q1", "", "a body").await;
                expect_that!(answered.status, eq(503), "{}, {status}", route.name());
                expect_that!(answered.header("retry-after"), some(anything()), "{}, {status}", route.name());
            });
        }
    }
}
