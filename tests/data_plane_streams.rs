//! Streams of events through the data plane: passed on one by one, taken up again, never joined wrongly.

mod data_plane_support;

use data_plane_support::client::{next_bytes, request, rest, Client};
use data_plane_support::worker::{event, Received, StandInWorker};
use data_plane_support::{all_routes, on_one_thread, route, Rig};
use googletest::prelude::*;
use hyper::body::Incoming;
use hyper::Response;
use serde_json::{json, Value};
use tokio::task::JoinHandle;

/// Asks for a stream and returns the head of the answer once it comes.
fn ask(
    rig: &Rig,
    headers: &'static [(&'static str, &'static str)],
) -> JoinHandle<(Client, Response<Incoming>)> {
    let address = rig.address;
    tokio::task::spawn_local(async move {
        let mut client = Client::connect(address).await;
        let answer = client.send(request("streaming", "q1", headers, "prompt")).await.expect("a head");
        (client, answer)
    })
}

/// Two workers, the one that got the request, and the request.
struct Pair {
    workers: [StandInWorker; 2],
    first: usize,
}

impl Pair {
    async fn start() -> Pair {
        Pair { workers: [StandInWorker::start("w1").await, StandInWorker::start("w2").await], first: 0 }
    }

    fn rig(&self, routes: Value) -> Rig {
        Rig::with(routes, &[&self.workers[0], &self.workers[1]])
    }

    async fn first(&mut self) -> Received {
        let [one, two] = &mut self.workers;
        let (first, received) = tokio::select! {
            received = one.next() => (0, received),
            received = two.next() => (1, received),
        };
        self.first = first;
        received
    }

    async fn second(&mut self) -> Received {
        self.workers[1 - self.first].next().await
    }

    fn nothing_more(&mut self) -> bool {
        self.workers.iter_mut().all(StandInWorker::has_nothing_more)
    }
}

#[gtest]
fn each_event_is_passed_on_as_it_comes() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let answer = ask(&rig, &[("Last-Event-Id", "4")]);
        let mut received = worker.next().await;
        expect_that!(received.header("last-event-id"), eq("4"));
        received.begin_stream("Versions: 3\r\n").await;
        let (_client, mut answer) = answer.await?;
        expect_that!(answer.headers()["response-stamp"], eq("stamp-1"));
        expect_that!(answer.headers()["versions"], eq("3"));
        for id in 5..8 {
            received.write_chunk(&event(id)).await;
            expect_that!(next_bytes(answer.body_mut()).await, some(ok(eq(&event(id)))));
        }
        received.end_stream().await;
        verify_that!(rest(answer.body_mut()).await, eq(&(String::new(), true)))
    })
}

#[gtest]
fn half_an_event_waits_for_its_other_half() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let answer = ask(&rig, &[]);
        let mut received = worker.next().await;
        received.begin_stream("").await;
        let (_client, mut answer) = answer.await?;
        let (first, second) = (event(1), event(2));
        received.write_chunk(&format!("{first}{}", &second[..6])).await;
        expect_that!(next_bytes(answer.body_mut()).await, some(ok(eq(&first))));
        received.write_chunk(&second[6..]).await;
        verify_that!(next_bytes(answer.body_mut()).await, some(ok(eq(&second))))
    })
}

#[gtest]
fn a_cut_stream_goes_on_at_another_worker_after_the_last_whole_event() -> Result<()> {
    on_one_thread(async {
        let mut pair = Pair::start().await;
        let rig = pair.rig(all_routes());
        let answer = ask(&rig, &[]);
        let mut received = pair.first().await;
        received.begin_stream("").await;
        received.write_chunk(&format!("{}{}{}", event(1), event(2), &event(3)[..5])).await;
        let (_client, mut answer) = answer.await?;
        expect_that!(next_bytes(answer.body_mut()).await, some(ok(eq(&format!("{}{}", event(1), event(2))))));
        drop(received);
        let mut second = pair.second().await;
        expect_that!(second.header("last-event-id"), eq("2"));
        expect_that!(second.header("request-id"), eq("q1"));
        expect_that!(second.body, eq(&b"prompt".to_vec()));
        second.begin_stream("").await;
        // A worker that repeats what the client has is not believed.
        second.write_chunk(&format!("{}{}{}", event(2), event(3), event(4))).await;
        second.end_stream().await;
        verify_that!(rest(answer.body_mut()).await, eq(&(format!("{}{}", event(3), event(4)), true)))
    })
}

#[gtest]
fn a_stream_that_cannot_be_resumed_ends_visibly_cut() -> Result<()> {
    on_one_thread(async {
        let mut pair = Pair::start().await;
        let rig = pair.rig(json!([route("streaming", json!({}))]));
        let answer = ask(&rig, &[]);
        let mut received = pair.first().await;
        received.begin_stream("").await;
        received.write_chunk(&event(1)).await;
        let (_client, mut answer) = answer.await?;
        drop(received);
        expect_that!(rest(answer.body_mut()).await, eq(&(event(1), false)));
        verify_that!(pair.nothing_more(), eq(true))
    })
}

#[gtest]
fn a_stream_is_resumed_at_no_more_workers_than_its_route_allows() -> Result<()> {
    on_one_thread(async {
        let mut pair = Pair::start().await;
        let rig = pair.rig(json!([route("streaming", json!({"resumable": true, "retries": 1}))]));
        let answer = ask(&rig, &[]);
        let mut received = pair.first().await;
        received.begin_stream("").await;
        received.write_chunk(&event(1)).await;
        let (_client, mut answer) = answer.await?;
        drop(received);
        expect_that!(rest(answer.body_mut()).await, eq(&(event(1), false)));
        verify_that!(pair.nothing_more(), eq(true))
    })
}

#[gtest]
fn a_change_of_version_is_announced_when_no_worker_has_the_old_one() -> Result<()> {
    on_one_thread(async {
        let mut pair = Pair::start().await;
        let rig = pair.rig(all_routes());
        let answer = ask(&rig, &[]);
        let mut received = pair.first().await;
        received.begin_stream("Versions: 3\r\n").await;
        received.write_chunk(&event(1)).await;
        let (_client, mut answer) = answer.await?;
        expect_that!(next_bytes(answer.body_mut()).await, some(ok(eq(&event(1)))));
        drop(received);
        let mut second = pair.second().await;
        expect_that!(second.header("expect-version"), eq("3"));
        second.write_head("421 Misdirected Request", "Content-Length: 0\r\nConnection: close\r\n").await;
        drop(second);
        let mut again = pair.second().await;
        expect_that!(again.header("expect-version"), eq(""));
        again.begin_stream("Versions: 4\r\n").await;
        again.write_chunk(&format!("{}{}", event(2), event(3))).await;
        again.end_stream().await;
        let expected = format!("versions: 4\n{}{}", event(2), event(3));
        verify_that!(rest(answer.body_mut()).await, eq(&(expected, true)))
    })
}

#[gtest]
fn a_client_that_gives_a_stream_up_frees_the_worker() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let answer = ask(&rig, &[]);
        let mut received = worker.next().await;
        received.begin_stream("").await;
        let (client, answer) = answer.await?;
        drop(answer);
        client.close();
        received.closed().await;
        Ok(())
    })
}

#[gtest]
fn a_long_answer_that_is_cut_does_not_look_complete() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(json!([route("streaming", json!({"retries": 1}))]), &[&worker]);
        let answer = ask(&rig, &[]);
        let mut received = worker.next().await;
        let part = "x".repeat(70_000);
        received.write_head("200 OK", "Response-Stamp: s\r\nContent-Length: 100000\r\n").await;
        received.write(&part).await;
        let (_client, mut answer) = answer.await?;
        expect_that!(answer.headers()["content-length"], eq("100000"));
        drop(received);
        verify_that!(rest(answer.body_mut()).await, eq(&(part, false)))
    })
}

#[gtest]
fn streams_of_a_worker_that_falls_silent_go_on_elsewhere() -> Result<()> {
    on_one_thread(async {
        let mut silent = StandInWorker::start("w1").await;
        let mut other = StandInWorker::start("w2").await;
        let rig = Rig::with(all_routes(), &[&silent]);
        let answers = [ask(&rig, &[]), ask(&rig, &[])];
        let mut received = [silent.next().await, silent.next().await];
        for request in &mut received {
            request.begin_stream("").await;
            request.write_chunk(&event(1)).await;
        }
        rig.tell(all_routes(), vec![silent.view(), other.view()]);
        for _ in 0..2 {
            let mut resumed = other.next().await;
            expect_that!(resumed.header("last-event-id"), eq("1"));
            resumed.begin_stream("").await;
            resumed.write_chunk(&event(2)).await;
            resumed.end_stream().await;
        }
        for answer in answers {
            let (_client, mut answer) = answer.await?;
            expect_that!(rest(answer.body_mut()).await, eq(&(format!("{}{}", event(1), event(2)), true)));
        }
        Ok(())
    })
}
