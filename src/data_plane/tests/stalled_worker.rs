//! Streams of a worker that falls silent, or that leaves: they go on elsewhere only once another worker speaks, and
//! stay where they are until then.

use super::harness::{
    paused, read_to_end, refusal, request_bytes, stamped_failure, worker_view, Answered, MemoryRig,
    RouteUnderTest, ALL_ROUTES,
};
use super::scripted_worker::{Answer, Failure, Plan, Position, ReadRequest};
use googletest::prelude::*;
use std::rc::Rc;
use std::time::Duration;
use switchhill_routing::{Availability, WorkerView};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};

const SILENT: &str = "10.0.0.1:80";
/// Later than the silence at which another worker is asked, and before the time limit of the route.
const SPEAKS_AGAIN_AFTER: Duration = Duration::from_millis(1600);

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A stream that stops after its first event.
fn begun_stream(request: &ReadRequest) -> Vec<u8> {
    let id = request.header("request-id");
    let head = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    format!("{head}{}", chunk("id: 1\ndata: x/1\n\n")).into_bytes()
}

/// The rest of it.
fn rest() -> String {
    format!("{}{}0\r\n\r\n", chunk("id: 2\ndata: x/2\n\n"), chunk("id: 3\ndata: x/3\n\n"))
}

const WHOLE: &str = "id: 1\ndata: x/1\n\nid: 2\ndata: x/2\n\nid: 3\ndata: x/3\n\n";

/// Begins two streams at the first worker; its silence is seen by streams that stop together.
async fn begin(rig: &mut MemoryRig, route: RouteUnderTest) -> [DuplexStream; 2] {
    rig.tell(vec![worker_view(1)]);
    for _ in 0..2 {
        rig.workers.plan(Plan::answering(Rc::new(begun_stream)));
    }
    let mut clients = [rig.connect(), rig.connect()];
    for (client, id) in clients.iter_mut().zip(["q1", "q2"]) {
        let bytes = request_bytes(route, id, "Connection: close\r\n", "");
        client.write_all(&bytes).await.expect("window");
    }
    tokio::time::sleep(Duration::from_millis(10)).await;
    clients
}

/// What two clients get whose worker speaks again after another one has been asked.
async fn speaks_again(route: RouteUnderTest, other: Plan) -> (MemoryRig, [Answered; 2]) {
    let mut rig = MemoryRig::start();
    let [one, two] = begin(&mut rig, route).await;
    rig.workers.otherwise(other);
    rig.tell(vec![worker_view(1), worker_view(2)]);
    let workers = rig.workers.clone();
    let again = async {
        tokio::time::sleep(SPEAKS_AGAIN_AFTER).await;
        workers.say_from(Some(SILENT), rest().as_bytes());
    };
    let (one, two, ()) = tokio::join!(read_to_end(one), read_to_end(two), again);
    (rig, [one, two])
}

fn expect_whole(answers: &[Answered], case: &str) {
    for answered in answers {
        expect_that!((answered.body.as_str(), answered.complete), eq((WHOLE, true)), "{case}: {answered:?}");
    }
}

#[gtest]
fn silence_does_not_end_a_stream_that_no_other_worker_goes_on_with() {
    let others: [(&str, Plan); 5] = [
        ("refuses", Plan { runs: false, ..Plan::answering(Rc::new(refusal)) }),
        (
            "resets",
            Plan::answering(RouteUnderTest::Resumable.answer()).failing(Position::Answer(0), Failure::Reset),
        ),
        (
            "is silent",
            Plan::answering(RouteUnderTest::Resumable.answer())
                .failing(Position::Answer(0), Failure::Silence),
        ),
        ("answers with an error", Plan::answering(Rc::new(stamped_failure))),
        ("answers with no events", Plan::answering(RouteUnderTest::Safe.answer())),
    ];
    for (name, other) in others {
        let (rig, answers) = paused(speaks_again(RouteUnderTest::Resumable, other));
        expect_that!(rig.workers.seen.borrow().arrivals.len(), gt(2), "the other was not asked");
        expect_whole(&answers, name);
    }
}

#[gtest]
fn a_stream_that_cannot_be_resumed_stays_with_its_silent_worker() {
    let (rig, answers) =
        paused(speaks_again(RouteUnderTest::Streaming, Plan::answering(RouteUnderTest::Streaming.answer())));
    expect_that!(rig.workers.seen.borrow().arrivals.len(), eq(2));
    expect_whole(&answers, "not resumable");
}

#[gtest]
fn a_stream_goes_on_at_another_worker_which_then_has_it_alone() {
    let goes_on: Answer = Rc::new(|request: &ReadRequest| {
        let id = request.header("request-id");
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: other\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        format!("{head}{}", rest()).into_bytes()
    });
    let (rig, answers) = paused(speaks_again(RouteUnderTest::Resumable, Plan::answering(goes_on)));
    expect_whole(&answers, "resumed");
    for answered in &answers {
        // The head and the stamp stay those of the first worker.
        expect_that!(answered.header("response-stamp"), some(eq("s")));
        expect_that!(answered.took, lt(SPEAKS_AGAIN_AFTER));
    }
    let seen = rig.workers.seen.borrow();
    let resumed = seen.whole.iter().skip(2).map(|request| request.header("last-event-id"));
    expect_that!(resumed.collect::<Vec<_>>(), eq(&vec!["1", "1"]));
}

fn draining_worker() -> WorkerView {
    WorkerView { state: Availability::Draining, ..worker_view(1) }
}

#[gtest]
fn streams_of_a_worker_that_leaves_go_on_and_new_requests_go_elsewhere() {
    // One worker says that it drains; another deregisters at once and serves on.
    for (name, known) in
        [("draining", vec![draining_worker(), worker_view(2)]), ("deregistered", vec![worker_view(2)])]
    {
        for route in [RouteUnderTest::Streaming, RouteUnderTest::Resumable] {
            paused(async {
                let mut rig = MemoryRig::start();
                let [one, two] = begin(&mut rig, route).await;
                rig.tell(known.clone());
                let case = format!("{name}, {}", route.name());
                expect_that!(rig.serves_another(route, "q3").await, ok(eq(&())), "{case}");
                rig.workers.say_from(Some(SILENT), rest().as_bytes());
                let (one, two) = tokio::join!(read_to_end(one), read_to_end(two));
                expect_whole(&[one, two], &case);
                expect_that!(rig.serves_another(route, "q4").await, ok(eq(&())), "{case}");
                let seen = rig.workers.seen.borrow();
                let later = seen.arrivals[2..].iter().map(|(worker, _)| worker.to_string());
                expect_that!(later.collect::<Vec<_>>(), each(eq("10.0.0.2:80")), "{case}");
            });
        }
    }
}

#[gtest]
fn a_worker_that_leaves_while_a_connection_comes_up_gets_no_request() {
    for route in ALL_ROUTES {
        for known in [vec![worker_view(2)], vec![draining_worker(), worker_view(2)]] {
            paused(async {
                let mut rig = MemoryRig::start();
                rig.tell(vec![worker_view(1)]);
                rig.workers.otherwise(Plan::answering(route.answer()));
                rig.workers.connect_hangs(true);
                let mut client = rig.connect();
                let bytes = request_bytes(route, "q1", "Connection: close\r\n", "");
                client.write_all(&bytes).await.expect("window");
                tokio::time::sleep(Duration::from_millis(10)).await;
                rig.tell(known);
                rig.workers.connect_hangs(false);
                let answered = read_to_end(client).await;
                expect_that!((answered.status, answered.complete), eq((200, true)), "{}", route.name());
                let seen = rig.workers.seen.borrow();
                let workers = seen.arrivals.iter().map(|(worker, _)| worker.to_string());
                expect_that!(
                    workers.collect::<Vec<_>>(),
                    eq(&vec!["10.0.0.2:80".to_owned()]),
                    "{}",
                    route.name()
                );
            });
        }
    }
}

#[gtest]
fn a_request_leaves_no_silent_worker_once_the_process_is_about_to_end() {
    paused(async {
        let mut rig = MemoryRig::start();
        let route = RouteUnderTest::Resumable;
        let _streams = begin(&mut rig, route).await;
        rig.workers.plan(Plan::answering(Rc::new(|_: &ReadRequest| Vec::new())));
        let mut waits = rig.connect();
        waits.write_all(&request_bytes(route, "waits", "", "")).await.expect("window");
        tokio::time::sleep(Duration::from_millis(10)).await;
        rig.workers.otherwise(Plan::answering(route.answer()));
        rig.tell(vec![worker_view(1), worker_view(2)]);
        rig.terminate();
        // The worker has been silent for long enough to be left, and the process has not ended yet.
        tokio::time::sleep(Duration::from_millis(1300)).await;
        let given_up = tokio::time::timeout(Duration::from_millis(1), waits.read_u8()).await;
        expect_that!(given_up.is_err(), eq(true), "{given_up:?}");
        expect_that!(rig.workers.seen.borrow().arrivals.len(), eq(3));
        rig.process_end().await;
    });
}
