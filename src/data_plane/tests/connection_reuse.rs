//! Connections that are kept: surplus bytes, late answers, early answers and connections that were lost.

use super::harness::{
    paused, refusal, request_bytes, stamped_failure, worker_view, Answered, MemoryRig, RouteUnderTest,
    ALL_ROUTES,
};
use super::scripted_worker::{Answer, Failure, Plan, ReadRequest};
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// A whole answer to another request.
fn stale_answer(id: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\nstale")
        .into_bytes()
}

/// A client may get its own answer or a failure without a promise, and nothing of another's.
fn expect_own_or_none(route: RouteUnderTest, id: &str, answered: &Answered, case: &str) {
    let is_own = answered.status == 200 && answered.body == route.whole_body(id) && answered.complete;
    let is_none = answered.status == 502 && answered.body.is_empty();
    expect_that!(is_own || is_none, eq(true), "{case}: {answered:?}");
    if route.is_idempotent() {
        expect_that!(is_own, eq(true), "{case}: {answered:?}");
    }
}

fn pauses() -> [Duration; 5] {
    [0, 5, 29, 31, 500].map(Duration::from_millis)
}

#[gtest]
fn surplus_bytes_behind_an_answer_reach_no_request() {
    for route in ALL_ROUTES {
        for surplus in [stale_answer("q0"), stale_answer("q2"), b"no answer at all\r\n\r\n".to_vec()] {
            for length in 1..=surplus.len() {
                for pause in pauses() {
                    let case = format!("{}, {length} surplus bytes, {pause:?}", route.name());
                    paused(async {
                        let mut rig = MemoryRig::start();
                        let surplus = surplus[..length].to_vec();
                        rig.workers.plan(Plan { surplus, ..Plan::answering(route.answer()) });
                        let first = rig.ask(route, "q1", "", "").await;
                        expect_that!((first.status, first.surplus), eq((200, 0)), "{case}");
                        tokio::time::sleep(pause).await;
                        rig.workers.otherwise(Plan::answering(route.answer()));
                        let second = rig.ask(route, "q2", "", "").await;
                        expect_own_or_none(route, "q2", &second, &case);
                        expect_that!(rig.runs("q2"), le(if route.is_idempotent() { 2 } else { 1 }), "{case}");
                    });
                }
            }
        }
    }
}

#[gtest]
fn a_late_answer_on_a_kept_connection_reaches_no_request() {
    for route in ALL_ROUTES {
        for id in ["q0", "q1"] {
            for pause in pauses() {
                let case = format!("{}, late answer to {id} after {pause:?}", route.name());
                paused(async {
                    let mut rig = MemoryRig::start();
                    rig.workers.otherwise(Plan::answering(route.answer()));
                    expect_that!(rig.ask(route, "q1", "", "").await.status, eq(200), "{case}");
                    tokio::time::sleep(pause).await;
                    rig.workers.say(&stale_answer(id));
                    let second = rig.ask(route, "q2", "", "").await;
                    expect_own_or_none(route, "q2", &second, &case);
                    expect_that!(rig.runs("q2"), le(if route.is_idempotent() { 2 } else { 1 }), "{case}");
                });
            }
        }
    }
}

/// An answer to an earlier request in the place where this one's is due, the right one behind it.
fn behind_a_stale_one(route: RouteUnderTest, stale: Vec<u8>) -> Answer {
    let answer = route.answer();
    Rc::new(move |request: &ReadRequest| [stale.clone(), answer(request)].concat())
}

#[gtest]
fn an_answer_in_the_place_of_another_is_known_by_its_id() {
    let without_id = b"HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\nContent-Length: 5\r\n\r\nstale".to_vec();
    let refusal =
        b"HTTP/1.1 503 X\r\nRequest-Id: q0\r\nNot-Executed: full\r\nContent-Length: 0\r\n\r\n".to_vec();
    for route in ALL_ROUTES {
        for stale in [stale_answer("q0"), stale_answer("q1x"), without_id.clone(), refusal.clone()] {
            let case = format!("{}, {}", route.name(), String::from_utf8_lossy(&stale));
            paused(async {
                let mut rig = MemoryRig::start();
                rig.workers.plan(Plan::answering(behind_a_stale_one(route, stale)));
                rig.workers.otherwise(Plan::answering(route.answer()));
                let answered = rig.ask(route, "q1", "", "").await;
                expect_own_or_none(route, "q1", &answered, &case);
                expect_that!(rig.runs("q1"), le(if route.is_idempotent() { 2 } else { 1 }), "{case}");
                expect_that!(rig.serves_another(route, "q2").await, ok(eq(&())), "{case}");
            });
        }
    }
}

/// A request body longer than what the worker takes before it answers.
fn long_body() -> String {
    (0..20_000).map(|number| format!("{number:09}\n")).collect()
}

/// Sends a request whose worker answers before it has read the body, and another one after `pause`; the worker
/// reads on before or after that.
async fn early_answer(
    early: Plan,
    workers: &[u8],
    pause: Duration,
    reads_on_first: bool,
) -> (MemoryRig, u16, Answered) {
    let mut rig = MemoryRig::start();
    rig.tell(workers.iter().map(|number| worker_view(*number)).collect());
    rig.workers.plan(early);
    rig.workers.otherwise(Plan::answering(RouteUnderTest::Unsafe.answer()));
    let first = rig.ask(RouteUnderTest::Unsafe, "q1", "", &long_body()).await;
    tokio::time::sleep(pause).await;
    if reads_on_first {
        rig.workers.read_on();
        tokio::task::yield_now().await;
    }
    let second = rig.ask(RouteUnderTest::Unsafe, "q2", "", "another body").await;
    rig.workers.read_on();
    tokio::time::sleep(Duration::from_secs(1)).await;
    (rig, first.status, second)
}

#[gtest]
fn a_connection_with_an_early_answer_carries_no_other_request_before_the_body_is_written() {
    let answers: [(Answer, bool, &[u8], u16); 3] = [
        (RouteUnderTest::Unsafe.answer(), true, &[1], 200),
        (Rc::new(stamped_failure), true, &[1], 500),
        // Another worker answers a request that was refused.
        (Rc::new(refusal), false, &[1, 2], 200),
    ];
    let long = long_body();
    for (answer, runs, workers, status) in answers {
        for pause in pauses() {
            for reads_on_first in [false, true] {
                let case = format!("{status} after {pause:?}, reads on first: {reads_on_first}");
                let early = Plan { early: true, runs, ..Plan::answering(answer.clone()) };
                let (rig, first, second) = paused(early_answer(early, workers, pause, reads_on_first));
                expect_that!(first, eq(status), "{case}");
                expect_that!((second.status, second.body.as_str()), eq((200, "answer to q2")), "{case}");
                let seen = rig.workers.seen.borrow();
                for request in &seen.whole {
                    let is_first = request.header("request-id") == "q1";
                    let body = if is_first { long.as_str() } else { "another body" };
                    expect_that!(request.body == body.as_bytes(), eq(true), "{case}: other bytes in a body");
                }
            }
        }
    }
}

#[gtest]
fn a_forgotten_connection_that_resets_at_its_next_use_repeats_only_what_may_be_repeated() {
    for route in ALL_ROUTES {
        paused(async {
            let mut rig = MemoryRig::start();
            rig.workers.plan(Plan { forgotten: true, ..Plan::answering(route.answer()) });
            expect_that!(rig.ask(route, "q1", "", "").await.status, eq(200));
            tokio::time::sleep(Duration::from_secs(1)).await;
            rig.workers.otherwise(Plan::answering(route.answer()));
            let before = rig.workers.seen.borrow().arrivals.len();
            let answered = rig.ask(route, "q2", "", "").await;
            let sent = rig.workers.seen.borrow().arrivals.len() - before;
            let expected = if route.is_idempotent() { (200, 2) } else { (502, 1) };
            expect_that!((answered.status, sent), eq(expected), "{}", route.name());
            expect_that!(rig.serves_another(route, "q3").await, ok(eq(&())), "{}", route.name());
        });
    }
}

#[gtest]
fn a_kept_connection_that_ends_before_its_next_use_costs_no_request() {
    for route in ALL_ROUTES {
        for failure in [Failure::Reset, Failure::Close] {
            for pause in pauses() {
                for written_first in [false, true] {
                    let case = format!("{}, {failure:?} after {pause:?}", route.name());
                    paused(async {
                        let mut rig = MemoryRig::start();
                        rig.workers.otherwise(Plan::answering(route.answer()));
                        expect_that!(rig.ask(route, "q1", "", "").await.status, eq(200), "{case}");
                        tokio::time::sleep(pause).await;
                        let mut client = rig.connect();
                        let bytes = request_bytes(route, "q2", "Connection: close\r\n", "");
                        if written_first {
                            client.write_all(&bytes).await.expect("window");
                            rig.workers.fail(failure);
                        } else {
                            rig.workers.fail(failure);
                            client.write_all(&bytes).await.expect("window");
                        }
                        let answered = super::harness::read_to_end(client).await;
                        expect_that!((answered.status, rig.runs("q2")), eq((200, 1)), "{case}: {answered:?}");
                    });
                }
            }
        }
    }
}
