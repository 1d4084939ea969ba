//! The end of the process cuts no request that was taken after the process was told to end: such a request is either
//! answered whole or refused at once, with a promise and the time to come back.

use super::harness::{
    paused, read_to_end, refusal, request_bytes, settings, view, worker_view, Answered, MemoryRig,
    RouteUnderTest, ALL_ROUTES,
};
use super::scripted_worker::{Plan, ReadRequest};
use crate::data_plane::ingress;
use crate::data_plane::shutdown::Phase;
use crate::site_settings::SiteSettings;
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpStream};
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
                    shared.apply_view(view(2, &ALL_ROUTES, vec![worker_view(1)]));
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

#[gtest]
fn the_end_is_fixed_when_sigterm_comes() {
    paused(async {
        let mut rig = MemoryRig::start();
        rig.shared.settings.borrow_mut().bounds.grace_s = LONG_GRACE_S;
        rig.workers.plan(first_half(RouteUnderTest::Unsafe));
        rig.terminate();
        tokio::time::sleep(Duration::from_millis(100)).await;
        let mut client = rig.connect();
        client.write_all(&request_bytes(RouteUnderTest::Unsafe, "late", "", "")).await.expect("window");
        tokio::time::sleep(Duration::from_millis(50)).await;
        // SIGHUP after SIGTERM: what has been taken was promised the time by the former settings.
        rig.shared.apply_settings(settings());
        let workers = rig.workers.clone();
        let rest = async move {
            tokio::time::sleep(Duration::from_millis(1700)).await;
            workers.say(&second_half(RouteUnderTest::Unsafe, "late"));
        };
        let (answered, (), ()) = tokio::join!(read_to_end(client), rest, rig.process_end());
        expect_that!((answered.status, answered.complete), eq((200, true)), "{answered:?}");
    });
}

/// Seen in a soak: a process was stopped for 1.7 s, 2.2 s after SIGTERM. When it went on, it took the time in which it had not
/// looked for a time in which nothing ran, ended a second before its time, and cut two streams that it had taken after the
/// signal. The evidence: both were cut 3.94 s after the signal, at the very moment of SIGCONT; its time was 4.9 s.
#[gtest]
fn a_process_that_stood_still_during_its_end_does_not_cut_what_runs() {
    for route in ALL_ROUTES {
        paused(async {
            let mut rig = MemoryRig::start();
            rig.shared.settings.borrow_mut().bounds.grace_s = LONG_GRACE_S;
            rig.workers.plan(first_half(route));
            rig.terminate();
            // New connections are taken for 1.2 s.
            tokio::time::sleep(Duration::from_millis(1_100)).await;
            let mut client = rig.connect();
            client.write_all(&request_bytes(route, "runs", "", "")).await.expect("window");
            let workers = rig.workers.clone();
            let stands_still = async move {
                tokio::time::sleep(Duration::from_millis(200)).await;
                tokio::time::advance(Duration::from_millis(1_050)).await;
                tokio::time::sleep(Duration::from_millis(30)).await;
                workers.say(&second_half(route, "runs"));
            };
            let (answered, (), ()) = tokio::join!(read_to_end(client), stands_still, rig.process_end());
            expect_that!(
                (answered.status, answered.complete),
                eq((200, true)),
                "{}: {answered:?}",
                route.name()
            );
        });
    }
}

/// A time to SIGKILL in which every request of the routes ends that is read when SIGTERM comes.
const LONG_GRACE_S: f64 = 4.0;

#[gtest]
fn a_request_that_waits_for_a_connection_at_sigterm_is_refused_at_once() {
    for route in ALL_ROUTES {
        paused(async {
            let mut rig = MemoryRig::start();
            rig.workers.connect_hangs(true);
            let mut client = rig.connect();
            client.write_all(&request_bytes(route, "waits", "", "")).await.expect("window");
            tokio::time::sleep(Duration::from_millis(20)).await;
            rig.terminate();
            let (answered, ()) = tokio::join!(read_to_end(client), rig.process_end());
            expect_that!(answered.status, eq(503), "{}: {answered:?}", route.name());
            expect_that!(answered.took, le(AT_ONCE), "{}", route.name());
        });
    }
}

#[gtest]
fn a_request_that_a_worker_refuses_after_sigterm_goes_to_no_other() {
    for route in ALL_ROUTES {
        paused(async {
            let mut rig = MemoryRig::start();
            rig.workers.plan(Plan { runs: false, ..Plan::answering(Rc::new(|_: &ReadRequest| Vec::new())) });
            rig.workers.otherwise(Plan::answering(route.answer()));
            let mut client = rig.connect();
            client.write_all(&request_bytes(route, "refused", "", "")).await.expect("window");
            tokio::time::sleep(Duration::from_millis(5)).await;
            rig.terminate();
            tokio::time::sleep(Duration::from_millis(100)).await;
            let request = ReadRequest {
                headers: [("request-id".into(), "refused".into())].into(),
                ..Default::default()
            };
            rig.workers.say(&refusal(&request));
            let (answered, ()) = tokio::join!(read_to_end(client), rig.process_end());
            expect_that!(answered.status, eq(503), "{}: {answered:?}", route.name());
            expect_that!(answered.header("retry-after").is_some(), eq(true), "{}", route.name());
            expect_that!(rig.workers.seen.borrow().arrivals.len(), eq(1), "{}", route.name());
        });
    }
}

#[gtest]
fn the_silence_of_a_worker_ends_no_stream_of_a_process_about_to_end() {
    paused(async {
        let mut rig = MemoryRig::start();
        let route = RouteUnderTest::Resumable;
        rig.workers.plan(first_half(route));
        rig.workers.otherwise(Plan::answering(route.answer()));
        let mut client = rig.connect();
        client.write_all(&request_bytes(route, "silent", "", "")).await.expect("window");
        tokio::time::sleep(Duration::from_millis(5)).await;
        rig.terminate();
        let workers = rig.workers.clone();
        let rest = async move {
            // Longer than the silence after which a stream goes on elsewhere.
            tokio::time::sleep(Duration::from_millis(1200)).await;
            workers.say(&second_half(route, "silent"));
        };
        let (answered, (), ()) = tokio::join!(read_to_end(client), rest, rig.process_end());
        expect_that!((answered.status, answered.complete), eq((200, true)), "{answered:?}");
        expect_that!(rig.workers.seen.borrow().arrivals.len(), eq(1));
    });
}

/// Sends so many requests and then tells the process to end; the phase in which it is a little later.
async fn phase_after(rig: &mut MemoryRig, long: usize, short: usize) -> Phase {
    rig.workers.otherwise(Plan::answering(RouteUnderTest::Safe.answer()));
    for number in 0..long + short {
        let is_long = number % (long + short).max(1) < long;
        let headers = if is_long { "" } else { "Request-Deadline-Ms: 300\r\n" };
        rig.ask(RouteUnderTest::Safe, &format!("r{number}"), headers, "").await;
    }
    rig.terminate();
    tokio::time::sleep(Duration::from_millis(30)).await;
    rig.shared.shutdown.phase()
}

#[gtest]
fn connections_are_refused_from_sigterm_on_only_where_most_requests_may_outlast_the_process() {
    for (long, short, phase) in
        [(0, 0, Phase::Draining), (1, 60, Phase::Draining), (60, 1, Phase::Closing), (60, 0, Phase::Closing)]
    {
        paused(async {
            let mut rig = MemoryRig::start();
            expect_that!(phase_after(&mut rig, long, short).await, eq(phase), "{long} long, {short} short");
            rig.process_end().await;
        });
    }
}

/// What a client gets on a real socket that connects and writes when the last phase begins, in the same turn of the
/// process.
async fn sent_at_the_closing(accepted_before: bool) -> Vec<u8> {
    let mut rig = MemoryRig::start();
    rig.workers.otherwise(Plan::answering(RouteUnderTest::Safe.answer()));
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::task::spawn_local(ingress::accept(rig.shared.clone(), listener));
    let mut client = TcpStream::connect(address).await.expect("connected");
    while accepted_before && rig.shared.client_connections.get() == 0 {
        tokio::task::yield_now().await;
    }
    let short = "Connection: close\r\nRequest-Deadline-Ms: 300\r\n";
    let request = request_bytes(RouteUnderTest::Safe, "crosses", short, "");
    client.try_write(&request).expect("written");
    rig.shared.shutdown.advance(Phase::Closing);
    rig.terminate();
    let mut answer = Vec::new();
    let reads = async {
        // A reset shows in what was read.
        let _ = client.read_to_end(&mut answer).await;
    };
    tokio::join!(reads, rig.process_end());
    answer
}

#[gtest]
fn a_request_on_a_socket_that_crosses_the_closing_is_read_and_answered() {
    for accepted_before in [true, false] {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        let answer = tokio::task::LocalSet::new().block_on(&runtime, sent_at_the_closing(accepted_before));
        let text = String::from_utf8_lossy(&answer);
        expect_that!(text, starts_with("HTTP/1.1 200"), "accepted before: {accepted_before}");
    }
}
