//! The end of the process cuts no request that was taken after the process was told to end: such a request is either
//! answered whole or refused at once, with a promise and the time to come back.

use super::rig::{
    paused, read_to_end, request_bytes, settings, stamped_failure, view, worker_view, Answered, MemoryRig,
    RouteUnderTest, ALL_ROUTES,
};
use super::scripted_worker::{Plan, ReadRequest};
use crate::data_plane::policy;
use crate::site_settings::SiteSettings;
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::Instant;

/// Longest time in which a request that is given up is answered.
const AT_ONCE: Duration = Duration::from_millis(20);

/// Moments after SIGTERM at which a request is sent, in milliseconds.
const MOMENTS: [u64; 8] = [0, 1, 50, 200, 400, 449, 451, 1000];

/// Time from SIGTERM until the worker says the rest of its answer, shortly before SIGKILL.
fn rest_after() -> Duration {
    settings().grace() - Duration::from_millis(20)
}

/// The first half of an answer; the worker says the rest later.
fn first_half(route: RouteUnderTest) -> Plan {
    Plan::answering(Rc::new(move |request: &ReadRequest| {
        let whole = route.answer()(request);
        whole[..whole.len() / 2].to_vec()
    }))
}

fn second_half(route: RouteUnderTest, id: &str) -> Vec<u8> {
    let request = ReadRequest { headers: [("request-id".into(), id.into())].into(), ..Default::default() };
    let whole = route.answer()(&request);
    whole[whole.len() / 2..].to_vec()
}

/// What a request may come to that was sent after SIGTERM.
fn expect_whole_or_refused(
    rig: &MemoryRig,
    route: RouteUnderTest,
    id: &str,
    answered: &Answered,
    case: &str,
) {
    let is_whole = answered.status == 200 && answered.complete && answered.body == route.whole_body(id);
    let is_refused = answered.status == 503
        && answered.complete
        && answered.took <= AT_ONCE
        && answered.header("retry-after").is_some()
        && answered.header("connection") == Some("close")
        && rig.runs(id) == 0;
    let is_unread = answered.status == 0 && answered.took <= AT_ONCE && rig.runs(id) == 0;
    expect_that!(
        is_whole || is_refused || is_unread,
        eq(true),
        "{case}: {answered:?}, {} runs",
        rig.runs(id)
    );
}

/// Sends a request some time after SIGTERM, whose worker is at work until shortly before SIGKILL.
async fn send_after_sigterm(
    rig: &mut MemoryRig,
    mut client: DuplexStream,
    route: RouteUnderTest,
    after: Duration,
) -> Answered {
    rig.workers.plan(first_half(route));
    rig.terminate();
    tokio::time::sleep(after).await;
    // It may have been closed.
    let _ = client.write_all(&request_bytes(route, "late", "", "a body")).await;
    let workers = rig.workers.clone();
    let rest = async move {
        tokio::time::sleep(rest_after().saturating_sub(after)).await;
        workers.say(&second_half(route, "late"));
    };
    let (answered, (), ()) = tokio::join!(read_to_end(client), rest, rig.process_end());
    answered
}

#[gtest]
fn a_request_on_a_new_connection_after_sigterm_is_answered_whole_or_refused_at_once() {
    for route in ALL_ROUTES {
        for after in MOMENTS {
            let case = format!("{}, {after} ms after SIGTERM", route.name());
            paused(async {
                let mut rig = MemoryRig::start();
                let client = rig.connect();
                let answered =
                    send_after_sigterm(&mut rig, client, route, Duration::from_millis(after)).await;
                expect_whole_or_refused(&rig, route, "late", &answered, &case);
            });
        }
    }
}

#[gtest]
fn a_request_held_when_sigterm_comes_is_refused_at_once_and_sent_to_no_worker() {
    for route in ALL_ROUTES {
        for before in [0, 20, 100] {
            let case = format!("{}, held for {before} ms before SIGTERM", route.name());
            paused(async {
                let mut rig = MemoryRig::start();
                rig.tell(Vec::new());
                let mut client = rig.connect();
                client.write_all(&request_bytes(route, "held", "", "a body")).await.expect("window");
                tokio::time::sleep(Duration::from_millis(before)).await;
                rig.terminate();
                rig.workers.otherwise(first_half(route));
                let shared = rig.shared.clone();
                let worker_comes = async move {
                    tokio::time::sleep(Duration::from_millis(700)).await;
                    shared.take_view(view(2, &ALL_ROUTES, vec![worker_view(1)]));
                };
                let (answered, (), ()) = tokio::join!(read_to_end(client), worker_comes, rig.process_end());
                expect_whole_or_refused(&rig, route, "held", &answered, &case);
                expect_that!(rig.runs("held"), eq(0), "{case}");
            });
        }
    }
}

#[gtest]
fn a_request_whose_time_limit_ends_before_the_process_is_taken_after_sigterm() {
    for route in ALL_ROUTES {
        paused(async {
            let mut rig = MemoryRig::start();
            rig.workers.otherwise(Plan::answering(route.answer()));
            rig.terminate();
            tokio::time::sleep(Duration::from_millis(100)).await;
            let answered = rig.ask(route, "short", "Request-Deadline-Ms: 300\r\n", "").await;
            expect_that!((answered.status, answered.complete), eq((200, true)), "{}", route.name());
            rig.process_end().await;
        });
    }
}

#[gtest]
fn a_request_taken_before_sigterm_is_answered_as_long_as_the_process_lives() {
    for route in ALL_ROUTES {
        paused(async {
            let mut rig = MemoryRig::start();
            rig.workers.plan(first_half(route));
            let mut client = rig.connect();
            client.write_all(&request_bytes(route, "early", "", "a body")).await.expect("window");
            tokio::time::sleep(Duration::from_millis(5)).await;
            rig.terminate();
            let workers = rig.workers.clone();
            let rest = async move {
                tokio::time::sleep(settings().grace().mul_f64(0.6)).await;
                workers.say(&second_half(route, "early"));
            };
            let (answered, (), ()) = tokio::join!(read_to_end(client), rest, rig.process_end());
            expect_that!((answered.status, answered.complete), eq((200, true)), "{}", route.name());
        });
    }
}

#[gtest]
fn a_request_of_a_kind_that_is_known_to_be_short_is_taken_after_sigterm() {
    for route in [RouteUnderTest::Safe, RouteUnderTest::Unsafe] {
        paused(async {
            let mut rig = MemoryRig::start();
            rig.workers.otherwise(Plan::answering(route.answer()));
            for number in 0..policy::LEAST_RUN_SAMPLES {
                let answered = rig.ask(route, &format!("known-{number}"), "", "").await;
                expect_that!(answered.status, eq(200));
            }
            rig.terminate();
            tokio::time::sleep(Duration::from_millis(100)).await;
            let answered = rig.ask(route, "short", "", "").await;
            expect_that!((answered.status, answered.complete), eq((200, true)), "{}", route.name());
            rig.process_end().await;
        });
    }
}

#[gtest]
fn failures_tell_nothing_of_how_long_a_success_runs() {
    paused(async {
        let mut rig = MemoryRig::start();
        rig.workers.otherwise(Plan::answering(Rc::new(stamped_failure)));
        for number in 0..2 * policy::LEAST_RUN_SAMPLES {
            let answered = rig.ask(RouteUnderTest::Unsafe, &format!("failed-{number}"), "", "").await;
            expect_that!(answered.status, eq(500));
        }
        rig.terminate();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let answered = rig.ask(RouteUnderTest::Unsafe, "late", "", "").await;
        expect_that!((answered.status, rig.runs("late")), eq((503, 0)));
        rig.process_end().await;
    });
}

/// Bytes of the answer to a client that reads slowly: more than the connection takes at once.
const LONG_ANSWER: usize = 60_000;

/// Bytes that the connection of a slow client takes before the client reads.
const SMALL_WINDOW: usize = 1_000;

#[gtest]
fn a_client_that_reads_slowly_gets_its_whole_answer_while_there_is_time() {
    paused(async {
        let mut rig = MemoryRig::start();
        rig.shared.settings.borrow_mut().bounds.grace_s = 8.0;
        let body = "x".repeat(LONG_ANSWER);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: slow\r\nResponse-Stamp: s\r\nContent-Length: {LONG_ANSWER}\r\n\r\n{body}"
        );
        rig.workers.plan(Plan::answering(Rc::new(move |_: &ReadRequest| answer.clone().into_bytes())));
        let mut client = rig.connect_with(SMALL_WINDOW);
        client.write_all(&request_bytes(RouteUnderTest::Safe, "slow", "", "")).await.expect("window");
        tokio::time::sleep(Duration::from_millis(5)).await;
        rig.terminate();
        // 60,000 bytes in steps of 1,000 bytes each 100 ms take 6 s, within the 8 s to SIGKILL.
        let reader = async move {
            let mut read = 0;
            let mut step = vec![0; SMALL_WINDOW];
            while let Ok(count) = client.read(&mut step).await {
                if count == 0 {
                    break;
                }
                read += count;
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
            read
        };
        let (read, ()) = tokio::join!(reader, rig.process_end());
        expect_that!(read, gt(LONG_ANSWER), "the answer was cut");
    });
}

#[gtest]
fn a_shorter_time_to_sigkill_in_the_file_counts_from_sigterm_on() {
    let path = std::env::temp_dir().join(format!("switchhill-grace-{}.yaml", std::process::id()));
    let write = |grace_s: f64| {
        let text = format!(
            "nodeName: edge-1\nip: 127.0.0.1\nzone: here\nportRange: [7660, 7675]\nbounds:\n  graceS: {grace_s}\n"
        );
        std::fs::write(&path, text).expect("written");
    };
    paused(async {
        let mut rig = MemoryRig::start();
        write(30.0);
        rig.shared.settings.replace(SiteSettings::read(&path).expect("settings"));
        write(1.5);
        rig.workers.plan(first_half(RouteUnderTest::Unsafe));
        let mut client = rig.connect();
        client.write_all(&request_bytes(RouteUnderTest::Unsafe, "q1", "", "")).await.expect("window");
        tokio::time::sleep(Duration::from_millis(5)).await;
        let told = Instant::now();
        rig.terminate();
        rig.process_end().await;
        expect_that!(told.elapsed(), lt(Duration::from_millis(1500)));
        expect_that!(told.elapsed(), gt(Duration::from_millis(1000)));
    });
    std::fs::remove_file(&path).expect("removed");
}
