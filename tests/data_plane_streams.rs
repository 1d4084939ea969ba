//! Event streams through the data plane: events are forwarded one by one, and interrupted streams are resumed without
//! lost, repeated or wrongly joined events.

mod data_plane_support;

use data_plane_support::client::{next_bytes, read_rest, request, Client};
use data_plane_support::worker::{event, MockWorker, ReceivedRequest};
use data_plane_support::{all_routes, route, run_on_one_thread, Harness};
use googletest::prelude::*;
use hyper::body::Incoming;
use hyper::Response;
use serde_json::{json, Value};
use tokio::task::JoinHandle;

/// Requests a stream and returns the response as soon as its head has arrived.
fn send_request(
    harness: &Harness,
    headers: &'static [(&'static str, &'static str)],
) -> JoinHandle<(Client, Response<Incoming>)> {
    let address = harness.address;
    tokio::task::spawn_local(async move {
        let mut client = Client::connect(address).await;
        let response =
            client.send(request("streaming", "q1", headers, "prompt")).await.expect("a response head");
        (client, response)
    })
}

/// Two workers and the index of the one that got the first request.
struct WorkerPair {
    workers: [MockWorker; 2],
    first: usize,
}

impl WorkerPair {
    async fn start() -> WorkerPair {
        WorkerPair { workers: [MockWorker::start("w1").await, MockWorker::start("w2").await], first: 0 }
    }

    fn start_harness(&self, routes: Value) -> Harness {
        Harness::with(routes, &[&self.workers[0], &self.workers[1]])
    }

    async fn first_request(&mut self) -> ReceivedRequest {
        let [one, two] = &mut self.workers;
        let (first, received) = tokio::select! {
            received = one.next_request() => (0, received),
            received = two.next_request() => (1, received),
        };
        self.first = first;
        received
    }

    async fn second_request(&mut self) -> ReceivedRequest {
        self.workers[1 - self.first].next_request().await
    }

    fn has_no_more_requests(&mut self) -> bool {
        self.workers.iter_mut().all(MockWorker::has_no_more_requests)
    }
}

#[gtest]
fn each_event_is_forwarded_as_it_arrives() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let response = send_request(&harness, &[("Last-Event-Id", "4")]);
        let mut received = worker.next_request().await;
        expect_that!(received.header("last-event-id"), eq("4"));
        received.begin_stream("Versions: 3\r\n").await;
        let (_client, mut response) = response.await?;
        expect_that!(response.headers()["response-stamp"], eq("stamp-1"));
        expect_that!(response.headers()["versions"], eq("3"));
        for id in 5..8 {
            received.write_chunk(&event(id)).await;
            expect_that!(next_bytes(response.body_mut()).await, some(ok(eq(&event(id)))));
        }
        received.end_stream().await;
        verify_that!(read_rest(response.body_mut()).await, eq(&(String::new(), true)))
    })
}

#[gtest]
fn an_incomplete_event_is_held_until_it_is_complete() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let response = send_request(&harness, &[]);
        let mut received = worker.next_request().await;
        received.begin_stream("").await;
        let (_client, mut response) = response.await?;
        let (first, second) = (event(1), event(2));
        received.write_chunk(&format!("{first}{}", &second[..6])).await;
        expect_that!(next_bytes(response.body_mut()).await, some(ok(eq(&first))));
        received.write_chunk(&second[6..]).await;
        verify_that!(next_bytes(response.body_mut()).await, some(ok(eq(&second))))
    })
}

#[gtest]
fn an_interrupted_stream_is_resumed_at_another_worker_after_the_last_complete_event() -> Result<()> {
    run_on_one_thread(async {
        let mut pair = WorkerPair::start().await;
        let harness = pair.start_harness(all_routes());
        let response = send_request(&harness, &[]);
        let mut received = pair.first_request().await;
        received.begin_stream("").await;
        received.write_chunk(&format!("{}{}{}", event(1), event(2), &event(3)[..5])).await;
        let (_client, mut response) = response.await?;
        expect_that!(
            next_bytes(response.body_mut()).await,
            some(ok(eq(&format!("{}{}", event(1), event(2)))))
        );
        drop(received);
        let mut second = pair.second_request().await;
        expect_that!(second.header("last-event-id"), eq("2"));
        expect_that!(second.header("request-id"), eq("q1"));
        expect_that!(second.body, eq(&b"prompt".to_vec()));
        second.begin_stream("").await;
        // Events that the client already has are dropped.
        second.write_chunk(&format!("{}{}{}", event(2), event(3), event(4))).await;
        second.end_stream().await;
        verify_that!(read_rest(response.body_mut()).await, eq(&(format!("{}{}", event(3), event(4)), true)))
    })
}

#[gtest]
fn a_stream_that_cannot_be_resumed_ends_incomplete() -> Result<()> {
    run_on_one_thread(async {
        let mut pair = WorkerPair::start().await;
        let harness = pair.start_harness(json!([route("streaming", json!({}))]));
        let response = send_request(&harness, &[]);
        let mut received = pair.first_request().await;
        received.begin_stream("").await;
        received.write_chunk(&event(1)).await;
        let (_client, mut response) = response.await?;
        drop(received);
        expect_that!(read_rest(response.body_mut()).await, eq(&(event(1), false)));
        verify_that!(pair.has_no_more_requests(), eq(true))
    })
}

#[gtest]
fn a_stream_is_resumed_at_no_more_workers_than_its_route_allows() -> Result<()> {
    run_on_one_thread(async {
        let mut pair = WorkerPair::start().await;
        let harness =
            pair.start_harness(json!([route("streaming", json!({"resumable": true, "retries": 1}))]));
        let response = send_request(&harness, &[]);
        let mut received = pair.first_request().await;
        received.begin_stream("").await;
        received.write_chunk(&event(1)).await;
        let (_client, mut response) = response.await?;
        drop(received);
        expect_that!(read_rest(response.body_mut()).await, eq(&(event(1), false)));
        verify_that!(pair.has_no_more_requests(), eq(true))
    })
}

#[gtest]
fn a_version_change_is_announced_if_no_worker_has_the_old_version() -> Result<()> {
    run_on_one_thread(async {
        let mut pair = WorkerPair::start().await;
        let harness = pair.start_harness(all_routes());
        let response = send_request(&harness, &[]);
        let mut received = pair.first_request().await;
        received.begin_stream("Versions: 3\r\n").await;
        received.write_chunk(&event(1)).await;
        let (_client, mut response) = response.await?;
        expect_that!(next_bytes(response.body_mut()).await, some(ok(eq(&event(1)))));
        drop(received);
        let mut second = pair.second_request().await;
        expect_that!(second.header("expect-version"), eq("3"));
        second.write_head("421 Misdirected Request", "Content-Length: 0\r\nConnection: close\r\n").await;
        drop(second);
        let mut again = pair.second_request().await;
        expect_that!(again.header("expect-version"), eq(""));
        again.begin_stream("Versions: 4\r\n").await;
        again.write_chunk(&format!("{}{}", event(2), event(3))).await;
        again.end_stream().await;
        let expected = format!("versions: 4\n{}{}", event(2), event(3));
        verify_that!(read_rest(response.body_mut()).await, eq(&(expected, true)))
    })
}

#[gtest]
fn a_client_that_abandons_a_stream_frees_the_worker() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let response = send_request(&harness, &[]);
        let mut received = worker.next_request().await;
        received.begin_stream("").await;
        let (client, response) = response.await?;
        drop(response);
        client.close();
        received.wait_closed().await;
        Ok(())
    })
}

#[gtest]
fn a_long_response_that_is_cut_off_does_not_look_complete() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(json!([route("streaming", json!({"retries": 1}))]), &[&worker]);
        let response = send_request(&harness, &[]);
        let mut received = worker.next_request().await;
        let part = "x".repeat(70_000);
        received.write_head("200 OK", "Response-Stamp: s\r\nContent-Length: 100000\r\n").await;
        received.write(&part).await;
        let (_client, mut response) = response.await?;
        expect_that!(response.headers()["content-length"], eq("100000"));
        drop(received);
        verify_that!(read_rest(response.body_mut()).await, eq(&(part, false)))
    })
}

#[gtest]
fn streams_of_a_stalled_worker_are_resumed_elsewhere() -> Result<()> {
    run_on_one_thread(async {
        let mut stalled = MockWorker::start("w1").await;
        let mut other = MockWorker::start("w2").await;
        let harness = Harness::with(all_routes(), &[&stalled]);
        let responses = [send_request(&harness, &[]), send_request(&harness, &[])];
        let mut received = [stalled.next_request().await, stalled.next_request().await];
        for request in &mut received {
            request.begin_stream("").await;
            request.write_chunk(&event(1)).await;
        }
        harness.publish(all_routes(), vec![stalled.view(), other.view()]);
        for _ in 0..2 {
            let mut resumed = other.next_request().await;
            expect_that!(resumed.header("last-event-id"), eq("1"));
            resumed.begin_stream("").await;
            resumed.write_chunk(&event(2)).await;
            resumed.end_stream().await;
        }
        for response in responses {
            let (_client, mut response) = response.await?;
            expect_that!(
                read_rest(response.body_mut()).await,
                eq(&(format!("{}{}", event(1), event(2)), true))
            );
        }
        Ok(())
    })
}
