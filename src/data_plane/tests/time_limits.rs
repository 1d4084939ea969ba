//! Every request has its final answer within half a second of its route's time limit, whatever is silent; and the
//! time handed to workers is what is left of the client's, on each attempt.

use super::harness::{
    paused, read_to_end, refusal, request_bytes, worker_view, Answered, MemoryRig, RouteUnderTest,
    ALL_ROUTES, LATE, TIMEOUT,
};
use super::scripted_worker::{Answer, Failure, Plan, Position, ReadRequest};
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use switchhill_routing::WorkerView;
use tokio::io::AsyncWriteExt;
use tokio::time::Instant;

/// A client that would wait far longer than the route lets it.
const PATIENT: &str = "Request-Deadline-Ms: 60000\r\n";

fn expect_in_time(route: RouteUnderTest, answered: &Answered, case: &str) {
    expect_that!(answered.ended, eq(true), "{}, {case}: no end", route.name());
    expect_that!(answered.took, le(TIMEOUT + LATE), "{}, {case}: {answered:?}", route.name());
}

/// Something that stays silent, and the statuses that may answer it.
struct Silent {
    name: &'static str,
    prepare: fn(&MemoryRig, RouteUnderTest),
    headers: &'static str,
    statuses: &'static [u16],
}

fn silent_parts() -> Vec<Silent> {
    vec![
        Silent {
            name: "the worker, before its answer",
            prepare: |rig, route| {
                rig.workers
                    .otherwise(Plan::answering(route.answer()).failing(Position::Answer(0), Failure::Silence))
            },
            headers: "",
            statuses: &[504],
        },
        Silent {
            name: "the worker, in the head of its answer",
            prepare: |rig, route| {
                rig.workers.otherwise(
                    Plan::answering(route.answer()).failing(Position::Answer(20), Failure::Silence),
                )
            },
            headers: "",
            statuses: &[504],
        },
        Silent {
            name: "connections",
            prepare: |rig, _| rig.workers.connect_hangs(true),
            headers: "",
            statuses: &[503],
        },
        Silent {
            name: "the placement of a model",
            prepare: |rig, _| {
                rig.tell(vec![WorkerView { models: Vec::new(), ..worker_view(1) }]);
            },
            headers: "Model: small\r\n",
            statuses: &[503],
        },
        Silent { name: "all workers", prepare: |rig, _| rig.tell(Vec::new()), headers: "", statuses: &[503] },
        Silent {
            name: "workers that refuse",
            prepare: |rig, _| {
                rig.workers.otherwise(Plan { runs: false, ..Plan::answering(Rc::new(refusal)) });
            },
            headers: "",
            statuses: &[503],
        },
    ]
}

#[gtest]
fn whatever_is_silent_the_answer_comes_at_the_time_limit_of_the_route() {
    for route in ALL_ROUTES {
        for part in silent_parts() {
            paused(async {
                let mut rig = MemoryRig::start();
                (part.prepare)(&rig, route);
                let answered = rig.ask(route, "q1", &format!("{PATIENT}{}", part.headers), "").await;
                expect_in_time(route, &answered, part.name);
                let status = answered.status;
                expect_that!(
                    part.statuses.contains(&status),
                    eq(true),
                    "{}, {}: {status}",
                    route.name(),
                    part.name
                );
                // What has been sent must not be said not to have run.
                let runs = rig.runs("q1");
                expect_that!(
                    status == 503 && runs > 0,
                    eq(false),
                    "{}, {}: {runs} runs",
                    route.name(),
                    part.name
                );
            });
        }
    }
}

#[gtest]
fn without_a_configuration_the_answer_is_503_in_time() {
    for route in ALL_ROUTES {
        paused(async {
            let mut rig = MemoryRig::without_configuration();
            let answered = rig.ask(route, "q1", PATIENT, "").await;
            expect_in_time(route, &answered, "the configuration");
            expect_that!(answered.status, eq(503), "{}", route.name());
        });
    }
}

#[gtest]
fn a_body_that_does_not_come_is_awaited_no_longer_than_the_route_allows() {
    for route in ALL_ROUTES {
        let bytes = request_bytes(route, "q1", &format!("Connection: close\r\n{PATIENT}"), "a body");
        for missing in 1..=6 {
            paused(async {
                let mut rig = MemoryRig::start();
                let mut client = rig.connect();
                client.write_all(&bytes[..bytes.len() - missing]).await.expect("window");
                let answered = read_to_end(client).await;
                expect_in_time(route, &answered, "the body");
                expect_that!(answered.status, eq(503), "{}", route.name());
                expect_that!(rig.workers.seen.borrow().arrivals, is_empty(), "{}", route.name());
            });
        }
    }
}

#[gtest]
fn a_stream_that_lasts_longer_than_its_route_allows_ends_visibly_cut() {
    for route in [RouteUnderTest::Streaming, RouteUnderTest::Resumable] {
        for silent in [false, true] {
            paused(async {
                let mut rig = MemoryRig::start();
                let head = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Stamp: s\r\n\
                            Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
                rig.workers.otherwise(Plan::answering(Rc::new(|_: &ReadRequest| head.as_bytes().to_vec())));
                let mut client = rig.connect();
                let headers = format!("Connection: close\r\n{PATIENT}");
                client.write_all(&request_bytes(route, "q1", &headers, "")).await.expect("window");
                let workers = rig.workers.clone();
                let speaks = async {
                    for event in 1.. {
                        let text = format!("id: {event}\ndata: x\n\n");
                        workers.say(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes());
                        tokio::time::sleep(if silent { 10 * TIMEOUT } else { Duration::from_millis(100) })
                            .await;
                    }
                };
                tokio::task::yield_now().await;
                let answered = tokio::select! {
                    answered = read_to_end(client) => answered,
                    () = async { tokio::time::sleep(Duration::from_millis(10)).await; speaks.await } => unreachable!(),
                };
                expect_in_time(route, &answered, "a long stream");
                expect_that!((answered.status, answered.complete), eq((200, false)), "{}", route.name());
                expect_that!(answered.took, ge(TIMEOUT), "{}: {answered:?}", route.name());
            });
        }
    }
}

fn deadline_of(request: &ReadRequest) -> Duration {
    Duration::from_millis(request.header("request-deadline-ms").parse().expect("a deadline"))
}

/// Fails the first attempt after `pause` and returns what the workers were handed.
async fn handed_on(route: RouteUnderTest, headers: &str, pause: Duration) -> Vec<(Duration, ReadRequest)> {
    let mut rig = MemoryRig::start();
    let refused: Answer = Rc::new(|_: &ReadRequest| Vec::new());
    rig.workers.plan(Plan { runs: false, ..Plan::answering(refused) });
    rig.workers.otherwise(Plan::answering(route.answer()));
    let begin = Instant::now();
    let mut client = rig.connect();
    client.write_all(&request_bytes(route, "q1", headers, "")).await.expect("window");
    tokio::time::sleep(pause).await;
    // The first worker refuses late: any kind of request may be sent once more.
    let late =
        refusal(&ReadRequest { headers: [("request-id".into(), "q1".into())].into(), ..Default::default() });
    rig.workers.say(&late);
    tokio::time::sleep(Duration::from_millis(50)).await;
    let seen = rig.workers.seen.borrow();
    let times = seen.arrivals.iter().map(|(_, at)| at.duration_since(begin));
    times.zip(seen.whole.iter().cloned()).collect()
}

#[gtest]
fn each_attempt_is_handed_the_time_that_is_left_of_the_clients() {
    for route in ALL_ROUTES {
        for (headers, client) in [("Request-Deadline-Ms: 1500\r\n", 1500), ("", 2000), (PATIENT, 2000)] {
            for pause in [1, 100, 700, 1400] {
                let case = format!("{}, {client} ms, first refused after {pause} ms", route.name());
                let handed = paused(handed_on(route, headers, Duration::from_millis(pause)));
                expect_that!(handed.len(), eq(2), "{case}");
                for (at, request) in handed {
                    let left = Duration::from_millis(client).saturating_sub(at);
                    expect_that!(deadline_of(&request), le(left), "{case}");
                    expect_that!(deadline_of(&request) + Duration::from_millis(5), ge(left), "{case}");
                }
            }
        }
    }
}

#[gtest]
fn each_attempt_carries_the_clients_own_headers() {
    let own = [
        ("model", "small/a1"),
        ("token-usage", "1460, 80"),
        ("prompt-prefix", "5c1e07a2:800 ,91bd3f06:410"),
        ("x-own", "Kept as it is"),
        ("last-event-id", "0"),
    ];
    let headers: String = own.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    for route in ALL_ROUTES {
        paused(async {
            let mut rig = MemoryRig::start();
            let holds = |number| WorkerView {
                models: vec![switchhill_routing::ResidentModel {
                    name: "small".into(),
                    adapters: vec!["a1".into()],
                }],
                ..worker_view(number)
            };
            rig.tell(vec![holds(1), holds(2)]);
            rig.workers.plan(Plan { runs: false, ..Plan::answering(Rc::new(refusal)) });
            rig.workers.otherwise(Plan::answering(route.answer()));
            expect_that!(rig.ask(route, "q1", &headers, "a body").await.status, eq(200), "{}", route.name());
            let seen = rig.workers.seen.borrow();
            expect_that!(seen.whole.len(), eq(2), "{}", route.name());
            for request in &seen.whole {
                for (name, value) in own {
                    expect_that!(request.header(name), eq(value), "{}", route.name());
                }
                expect_that!(request.line, eq(&format!("POST /{}/x?y=1 HTTP/1.1", route.name())));
                expect_that!(request.body, eq(&b"a body".to_vec()), "{}", route.name());
                expect_that!(request.header("expect-instance"), starts_with("w"), "{}", route.name());
                expect_that!(request.header("priority"), eq("1"), "{}", route.name());
            }
        });
    }
}
