//! A client leaves at each moment: nothing reaches a worker afterwards, and a worker at work is left at once.

use super::harness::{
    paused, request_bytes, worker_view, MemoryRig, RouteUnderTest, ALL_ROUTES, LATE, TIMEOUT,
};
use super::scripted_worker::{Failure, Plan, Position, ReadRequest};
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, DuplexStream};
use tokio::time::Instant;

/// Time in which a worker has to be left; the rules allow half a second.
const AT_ONCE: Duration = Duration::from_millis(1);

/// Time that a request is let run before its client leaves.
const A_MOMENT: Duration = Duration::from_millis(20);

async fn send(rig: &mut MemoryRig, route: RouteUnderTest, headers: &str, body: &str) -> DuplexStream {
    let mut client = rig.connect();
    client.write_all(&request_bytes(route, "q1", headers, body)).await.expect("window");
    tokio::time::sleep(A_MOMENT).await;
    client
}

/// Lets the client go and expects that nothing more is sent and that no worker is still at work in time.
async fn leave(rig: &MemoryRig, client: DuplexStream, at_work: usize, case: &str) {
    let sent = rig.workers.seen.borrow().arrivals.len();
    let left_at = Instant::now();
    drop(client);
    tokio::time::sleep(2 * TIMEOUT).await;
    let seen = rig.workers.seen.borrow();
    expect_that!(seen.arrivals.len(), eq(sent), "{case}: sent after the client had left");
    expect_that!(seen.left.len(), eq(at_work), "{case}: workers that were left");
    for left in &seen.left {
        expect_that!(left.duration_since(left_at), le(AT_ONCE), "{case}: the worker was left late");
    }
    expect_that!(rig.shared.running.get(), eq(0), "{case}: still counted as running");
}

#[gtest]
fn a_client_that_leaves_within_its_request_has_nothing_sent() {
    for route in ALL_ROUTES {
        let bytes = request_bytes(route, "q1", "", "a body");
        for sent in 0..bytes.len() {
            paused(async {
                let mut rig = MemoryRig::start();
                rig.workers.otherwise(Plan::answering(route.answer()));
                let mut client = rig.connect();
                client.write_all(&bytes[..sent]).await.expect("window");
                tokio::time::sleep(A_MOMENT).await;
                leave(&rig, client, 0, &format!("{} after {sent} bytes", route.name())).await;
                expect_that!(rig.workers.seen.borrow().arrivals, is_empty(), "{sent} bytes");
            });
        }
    }
}

#[gtest]
fn a_client_that_leaves_while_its_request_is_held_has_nothing_sent() {
    for route in ALL_ROUTES {
        for (name, headers) in [("a model", "Model: small\r\n"), ("a worker", "")] {
            paused(async {
                let mut rig = MemoryRig::start();
                rig.workers.otherwise(Plan::answering(route.answer()));
                let without_model = switchhill_routing::WorkerView { models: Vec::new(), ..worker_view(1) };
                rig.tell(if headers.is_empty() { Vec::new() } else { vec![without_model] });
                let client = send(&mut rig, route, headers, "").await;
                expect_that!(rig.shared.running.get(), eq(1), "{}: held for {name}", route.name());
                drop(client);
                tokio::task::yield_now().await;
                rig.tell(vec![worker_view(1), worker_view(2)]);
                tokio::time::sleep(TIMEOUT).await;
                expect_that!(rig.workers.seen.borrow().arrivals, is_empty(), "{}, {name}", route.name());
            });
        }
    }
}

#[gtest]
fn a_client_that_leaves_before_the_first_configuration_has_nothing_sent() {
    for route in ALL_ROUTES {
        paused(async {
            let mut rig = MemoryRig::without_configuration();
            rig.workers.otherwise(Plan::answering(route.answer()));
            let client = send(&mut rig, route, "", "").await;
            expect_that!(rig.shared.running.get(), eq(1));
            drop(client);
            tokio::task::yield_now().await;
            rig.tell(vec![worker_view(1)]);
            tokio::time::sleep(TIMEOUT).await;
            expect_that!(rig.workers.seen.borrow().arrivals, is_empty(), "{}", route.name());
        });
    }
}

#[gtest]
fn a_client_that_leaves_while_a_connection_comes_up_has_nothing_sent() {
    for route in ALL_ROUTES {
        paused(async {
            let mut rig = MemoryRig::start();
            rig.workers.otherwise(Plan::answering(route.answer()));
            rig.workers.connect_hangs(true);
            let client = send(&mut rig, route, "", "").await;
            rig.workers.connect_hangs(false);
            leave(&rig, client, 0, route.name()).await;
            expect_that!(rig.workers.seen.borrow().arrivals, is_empty(), "{}", route.name());
        });
    }
}

#[gtest]
fn a_client_that_leaves_while_its_body_is_passed_on_stops_that() {
    let body = "x".repeat(300_000);
    for route in ALL_ROUTES {
        paused(async {
            let mut rig = MemoryRig::start();
            let says_nothing = Rc::new(|_: &ReadRequest| Vec::new());
            rig.workers.plan(Plan { early: true, ..Plan::answering(says_nothing) });
            rig.workers.otherwise(Plan::answering(route.answer()));
            let client = send(&mut rig, route, "", &body).await;
            leave(&rig, client, 1, route.name()).await;
            expect_that!(rig.workers.seen.borrow().whole, is_empty(), "{}", route.name());
        });
    }
}

#[gtest]
fn a_client_that_leaves_at_any_byte_of_the_answer_frees_the_worker_at_once() {
    for route in ALL_ROUTES {
        let whole = (route.answer())(&ReadRequest::default()).len();
        for sent in 0..whole {
            paused(async {
                let mut rig = MemoryRig::start();
                rig.workers
                    .plan(Plan::answering(route.answer()).failing(Position::Answer(sent), Failure::Silence));
                rig.workers.otherwise(Plan::answering(route.answer()));
                let client = send(&mut rig, route, "", "a body").await;
                leave(&rig, client, 1, &format!("{}, {sent} bytes of the answer", route.name())).await;
            });
        }
    }
}

#[gtest]
fn a_client_that_leaves_between_two_attempts_has_no_second_one() {
    for route in [RouteUnderTest::Safe, RouteUnderTest::Resumable] {
        paused(async {
            let mut rig = MemoryRig::start();
            let plan = Plan::answering(route.answer());
            rig.workers.plan(plan.clone().failing(Position::Answer(0), Failure::Silence));
            rig.workers.otherwise(plan);
            let client = send(&mut rig, route, "", "").await;
            drop(client);
            rig.workers.fail(Failure::Reset);
            tokio::time::sleep(2 * TIMEOUT).await;
            expect_that!(rig.workers.seen.borrow().arrivals.len(), le(2), "{}", route.name());
            let seen = rig.workers.seen.borrow();
            let late = seen.arrivals.iter().filter(|(_, at)| at.elapsed() < 2 * TIMEOUT - LATE);
            expect_that!(late.count(), eq(0), "{}", route.name());
        });
    }
}
