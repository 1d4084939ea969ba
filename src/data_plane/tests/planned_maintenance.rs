//! Planned work: a new configuration, new settings and the end of the process break no answer off.

use super::harness::{
    paused, read_to_end, request_bytes, settings, worker_view, Answered, MemoryRig, RouteUnderTest,
    ALL_ROUTES,
};
use super::scripted_worker::{Plan, ReadRequest};
use crate::data_plane::policy;
use crate::data_plane::shutdown::Phase;
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// What is done beside a request.
type Work = (&'static str, fn(&MemoryRig));

fn all_work() -> Vec<Work> {
    vec![
        ("a configuration without the route", |rig| {
            rig.tell_routes(2, &[RouteUnderTest::Safe], vec![worker_view(1)])
        }),
        ("a configuration and no worker", |rig| rig.tell_routes(2, &ALL_ROUTES, Vec::new())),
        ("settings read again", |rig| {
            let mut settings = settings();
            settings.bounds.retry_budget_ratio = 0.0;
            settings.bounds.grace_s = 30.0;
            rig.shared.apply_settings(settings);
        }),
        ("SIGTERM", |rig| rig.shared.shutdown.begin()),
        ("the last phase of the end", |rig| rig.shared.shutdown.advance(Phase::Closing)),
    ]
}

#[gtest]
fn planned_work_at_any_byte_of_the_answer_breaks_nothing_off() {
    for route in ALL_ROUTES {
        let answer = route.answer();
        let request =
            ReadRequest { headers: [("request-id".into(), "q1".into())].into(), ..Default::default() };
        let whole = answer(&request);
        for (name, work) in all_work() {
            for sent in 0..whole.len() {
                let case = format!("{}, {name}, {sent} bytes of the answer", route.name());
                paused(async {
                    let mut rig = MemoryRig::start();
                    let begun = whole[..sent].to_vec();
                    rig.workers.plan(Plan::answering(Rc::new(move |_: &ReadRequest| begun.clone())));
                    let mut client = rig.connect();
                    client.write_all(&request_bytes(route, "q1", "", "a body")).await.expect("window");
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    work(&rig);
                    // Longer than connections are served as before once the last phase has begun.
                    tokio::time::sleep(policy::CLOSING_GRACE + Duration::from_millis(5)).await;
                    rig.workers.say(&whole[sent..]);
                    tokio::time::sleep(Duration::from_millis(5)).await;
                    // Connections at rest end with the process.
                    rig.shared.shutdown.advance(Phase::Closing);
                    let answered = read_to_end(client).await;
                    expect_that!(
                        (answered.status, answered.complete),
                        eq((200, true)),
                        "{case}: {answered:?}"
                    );
                    expect_that!(answered.body, eq(&route.whole_body("q1")), "{case}");
                    expect_that!(rig.runs("q1"), eq(1), "{case}");
                });
            }
        }
    }
}

/// A time to SIGKILL in which every request of the routes can be answered that is read when SIGTERM comes.
const LONG_GRACE_S: f64 = 4.0;

/// A time to SIGKILL that is shorter than the time limit of the routes, whose requests may therefore outlast it.
const SHORT_GRACE_S: f64 = 1.5;

/// Sends a request of which only so many bytes have come when a phase of the end begins.
async fn ask_across(rig: &mut MemoryRig, phase: Phase, bytes: &[u8], sent: usize) -> Answered {
    let mut client = rig.connect();
    client.write_all(&bytes[..sent]).await.expect("window");
    tokio::time::sleep(Duration::from_millis(5)).await;
    rig.shared.shutdown.advance(phase);
    tokio::time::sleep(Duration::from_millis(5)).await;
    // It may have been closed.
    let _ = client.write_all(&bytes[sent..]).await;
    read_to_end(client).await
}

#[gtest]
fn a_process_about_to_end_refuses_a_request_that_may_outlast_it_at_any_byte() {
    for route in ALL_ROUTES {
        let bytes = request_bytes(route, "q1", "", "a body");
        for phase in [Phase::Draining, Phase::Closing] {
            for sent in 0..bytes.len() {
                let case = format!("{}, {phase:?} after {sent} bytes", route.name());
                paused(async {
                    let mut rig = MemoryRig::start();
                    rig.shared.settings.borrow_mut().bounds.grace_s = SHORT_GRACE_S;
                    rig.workers.otherwise(Plan::answering(route.answer()));
                    let answered = ask_across(&mut rig, phase, &bytes, sent).await;
                    let is_refused = answered.status == 503
                        && answered.complete
                        && answered.header("retry-after").is_some()
                        && answered.header("connection") == Some("close");
                    let is_unread = answered.status == 0 && phase == Phase::Closing;
                    expect_that!(is_refused || is_unread, eq(true), "{case}: {answered:?}");
                    expect_that!(rig.workers.seen.borrow().arrivals.len(), eq(0), "{case}");
                });
            }
        }
    }
}

#[gtest]
fn the_end_of_the_process_at_any_byte_of_a_request_answers_it_or_has_not_run_it() {
    for route in ALL_ROUTES {
        let bytes = request_bytes(route, "q1", "", "a body");
        for phase in [Phase::Draining, Phase::Closing] {
            for sent in 0..=bytes.len() {
                let case = format!("{}, {phase:?} after {sent} bytes", route.name());
                paused(async {
                    let mut rig = MemoryRig::start();
                    rig.shared.settings.borrow_mut().bounds.grace_s = LONG_GRACE_S;
                    rig.workers.otherwise(Plan::answering(route.answer()));
                    let answered = ask_across(&mut rig, phase, &bytes, sent).await;
                    let is_answered = answered.status == 200 && answered.complete && rig.runs("q1") == 1;
                    let is_unread = answered.status == 0 && rig.workers.seen.borrow().arrivals.is_empty();
                    expect_that!(is_answered || is_unread, eq(true), "{case}: {answered:?}");
                    let must_answer = phase == Phase::Draining || sent == bytes.len();
                    expect_that!(is_answered || !must_answer, eq(true), "{case}: {answered:?}");
                    if is_answered && sent < bytes.len() {
                        expect_that!(answered.header("connection"), some(eq("close")), "{case}");
                    }
                });
            }
        }
    }
}

#[gtest]
fn a_new_configuration_is_in_force_for_the_next_request() {
    paused(async {
        let mut rig = MemoryRig::start();
        rig.workers.otherwise(Plan::answering(RouteUnderTest::Unsafe.answer()));
        expect_that!(rig.ask(RouteUnderTest::Unsafe, "q1", "", "").await.status, eq(200));
        rig.tell_routes(2, &[RouteUnderTest::Safe], vec![worker_view(1)]);
        expect_that!(rig.ask(RouteUnderTest::Unsafe, "q2", "", "").await.status, eq(404));
        expect_that!(rig.runs("q2"), eq(0));
    });
}
