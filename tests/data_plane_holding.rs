//! Requests for models that no worker holds, draining workers, and the shutdown.
//!
//! The tests with an expected load guard against repeated refusals of latency-tolerant requests for rarely used
//! models. They were refused, retried after the advised time and refused again shortly before their model was
//! ready, so that some models were never served. Two faults caused it: a latency target below 2 s was taken to
//! leave no time for a load, and the retry advice was the bare load time, without the order, the unload that makes
//! room and the worker's report. The placer had announced the ready time of each model, but nothing used it. Of 933
//! such refusals nearly all came after a fifth of the latency target. In a simulated fleet the share of served
//! requests rose from 0.67 to 0.92 when clients retried 0.3 s later.

mod data_plane_support;

use data_plane_support::client::{request, Client, FullResponse};
use data_plane_support::worker::MockWorker;
use data_plane_support::{all_routes, route, run_on_one_thread, with_timeout, worker_view, Harness};
use googletest::prelude::*;
use hyper::Request;
use serde_json::{json, Value};
use std::sync::Arc;
use std::time::Duration;
use switchhill::data_plane::{now_ms, ExpectedLoads, Feedback, ModelKey, Phase};
use switchhill_routing::Availability;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

const MODEL_HEADERS: &[(&str, &str)] = &[("Model", "small"), ("Token-Usage", "100,10")];

fn send_request(
    harness: &Harness,
    kind: &'static str,
    headers: &'static [(&'static str, &'static str)],
) -> JoinHandle<FullResponse> {
    let address = harness.address;
    tokio::task::spawn_local(async move {
        Client::connect(address).await.exchange(request(kind, "q1", headers, "")).await
    })
}

fn long_target_routes() -> Value {
    json!([route("unsafe", json!({"targetLatencyMs": 4000, "timeoutMs": 8000}))])
}

#[gtest]
fn a_request_for_a_missing_model_waits_until_the_model_is_ready() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let mut harness = Harness::start();
        harness.publish(long_target_routes(), vec![worker_view("w1", worker.address, &[])]);
        let response = send_request(&harness, "unsafe", MODEL_HEADERS);
        let missing = harness.next_missing().await;
        let expected = Feedback::Missing {
            service: "llm".into(),
            model: "small".into(),
            adapter: None,
            waiting: 1,
            target_latency_ms: 4000,
        };
        expect_that!(missing, eq(&expected));
        expect_that!(worker.has_no_more_requests(), eq(true));
        harness.publish(long_target_routes(), vec![worker.view()]);
        worker.next_request().await.respond("200 OK", "", "pong").await;
        verify_that!(response.await?.status, eq(200))
    })
}

#[gtest]
fn a_request_for_a_missing_model_is_refused_if_the_load_takes_too_long() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let mut harness = Harness::start();
        harness.publish(all_routes(), vec![worker_view("w1", worker.address, &[])]);
        let response = send_request(&harness, "unsafe", MODEL_HEADERS);
        harness.next_missing().await;
        let response = response.await?;
        expect_that!(response.status, eq(503));
        // A load of 1.5 s, and 0.5 s for the order, the unload that makes room and the reports.
        expect_that!(response.header("retry-after"), eq("2.000"));
        verify_that!(worker.has_no_more_requests(), eq(true))
    })
}

/// Routes with a latency target that is shorter than the load time of the model, 1.5 s.
fn short_target_routes() -> Value {
    json!([route("unsafe", json!({"targetLatencyMs": 1200, "timeoutMs": 15000}))])
}

/// The model `small` is expected to be ready after this time.
fn ready_in(delay_ms: u64) -> ExpectedLoads {
    let key = Arc::new(ModelKey { service: "llm".into(), model: "small".into(), adapter: None });
    let mut expected = ExpectedLoads::default();
    expected.set(key, Some(now_ms() + delay_ms));
    expected
}

#[gtest]
fn a_request_waits_for_a_model_that_is_expected_in_time() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let mut harness = Harness::start();
        let without_model = || vec![worker_view("w1", worker.address, &[])];
        harness.publish(short_target_routes(), without_model());
        let response = send_request(&harness, "unsafe", MODEL_HEADERS);
        harness.next_missing().await;
        harness.publish_with_expected_loads(short_target_routes(), without_model(), ready_in(500));
        tokio::time::sleep(Duration::from_millis(400)).await;
        harness.publish(short_target_routes(), vec![worker.view()]);
        worker.next_request().await.respond("200 OK", "", "pong").await;
        verify_that!(response.await?.status, eq(200))
    })
}

#[gtest]
fn a_waiting_request_follows_an_update_of_the_expected_loads_alone() -> Result<()> {
    run_on_one_thread(async {
        let worker = MockWorker::start("w1").await;
        let mut harness = Harness::start();
        harness.publish(short_target_routes(), vec![worker_view("w1", worker.address, &[])]);
        let response = send_request(&harness, "unsafe", MODEL_HEADERS);
        harness.next_missing().await;
        harness.publish_expected_loads(ready_in(500));
        // The expected load of another model does not affect this request.
        let mut both = ready_in(500);
        let other = ModelKey { service: "llm".into(), model: "other".into(), adapter: None };
        both.set(Arc::new(other), Some(now_ms() + 9_000));
        harness.publish_expected_loads(both);
        tokio::time::sleep(Duration::from_millis(300)).await;
        expect_that!(response.is_finished(), eq(false));
        harness.publish_expected_loads(ready_in(3_000));
        verify_that!(response.await?.status, eq(503))
    })
}

#[gtest]
fn a_request_is_refused_until_its_model_is_expected_if_that_is_too_late() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let mut harness = Harness::start();
        let without_model = || vec![worker_view("w1", worker.address, &[])];
        harness.publish(short_target_routes(), without_model());
        let response = send_request(&harness, "unsafe", MODEL_HEADERS);
        harness.next_missing().await;
        harness.publish_with_expected_loads(short_target_routes(), without_model(), ready_in(3_000));
        let response = response.await?;
        expect_that!(response.status, eq(503));
        let seconds: f64 = response.header("retry-after").parse()?;
        expect_that!(seconds, all![ge(2.5), le(3.2)]);
        verify_that!(worker.has_no_more_requests(), eq(true))
    })
}

#[gtest]
fn demand_and_load_are_reported_repeatedly() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let mut harness = Harness::with(long_target_routes(), &[&worker]);
        let response = send_request(&harness, "unsafe", MODEL_HEADERS);
        let received = worker.next_request().await;
        let summary = loop {
            match with_timeout(harness.feedback.recv()).await {
                Some(Feedback::Summary(summary)) if !summary.demand.is_empty() => break summary,
                Some(_) => continue,
                None => return fail!("the data plane has ended"),
            }
        };
        expect_that!(summary.demand[0].model.as_deref(), some(eq("small")));
        let demand = &summary.demand[0];
        expect_that!(demand.requests_per_s, gt(0.0));
        expect_that!(demand.tokens_per_s / demand.requests_per_s, near(110.0, 1e-6));
        expect_that!((demand.outstanding, demand.target_latency_ms), eq((1, 4000)));
        expect_that!((summary.routes[0].arrived, summary.routes[0].admitted), eq((1, 1)));
        expect_that!(
            (summary.outstanding[0].worker.as_str(), summary.outstanding[0].requests),
            eq(("w1", 1))
        );
        received.respond("200 OK", "", "pong").await;
        verify_that!(response.await?.status, eq(200))
    })
}

#[gtest]
fn a_draining_worker_gets_no_new_requests_and_completes_running_ones() -> Result<()> {
    run_on_one_thread(async {
        let mut draining = MockWorker::start("w1").await;
        let mut available = MockWorker::start("w2").await;
        let harness = Harness::with(all_routes(), &[&draining]);
        let first = send_request(&harness, "unsafe", &[]);
        let received = draining.next_request().await;
        let mut view = draining.view();
        view.state = Availability::Draining;
        harness.publish(all_routes(), vec![view, available.view()]);
        let second = send_request(&harness, "unsafe", &[]);
        available.next_request().await.respond("200 OK", "", "new").await;
        expect_that!(second.await?.body, eq("new"));
        received.respond("200 OK", "", "old").await;
        expect_that!(first.await?.body, eq("old"));
        verify_that!(draining.has_no_more_requests(), eq(true))
    })
}

/// A deadline within the grace period of a process that has just begun its shutdown.
const SHORT_DEADLINE: &[(&str, &str)] = &[("Request-Deadline-Ms", "800")];

#[gtest]
fn a_process_that_shuts_down_completes_the_requests_it_has_read() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let mut idle = Client::connect(harness.address).await;
        let first = send_request(&harness, "unsafe", SHORT_DEADLINE);
        let running = worker.next_request().await;
        harness.shutdown.begin();
        let check = Request::get("/api/ready").header("Host", "x").body(Default::default())?;
        expect_that!(Client::connect(harness.readiness).await.exchange(check).await.status, eq(503));
        let late = tokio::task::spawn_local(async move {
            let response = idle.exchange(request("unsafe", "q2", SHORT_DEADLINE, "")).await;
            (idle, response)
        });
        worker.next_request().await.respond("200 OK", "", "late").await;
        let (mut idle, late) = late.await?;
        expect_that!(late.status, eq(200));
        expect_that!(late.header("connection"), eq("close"));
        expect_that!(idle.is_closed_by_server().await, eq(true));
        with_timeout(harness.shutdown.reached(Phase::Closing)).await;
        running.respond("200 OK", "", "begun").await;
        expect_that!(first.await?.body, eq("begun"));
        verify_that!(with_timeout(harness.ended).await?.is_ok(), eq(true))
    })
}

#[gtest]
fn a_process_that_shuts_down_accepts_no_connection_if_requests_may_outlast_it() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let mut idle = TcpStream::connect(harness.address).await?;
        idle.write_all(
            b"POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: q0\r\nContent-Length: 0\r\n\r\n",
        )
        .await?;
        worker.next_request().await.respond("200 OK", "", "first").await;
        let mut received = Vec::new();
        while !received.ends_with(b"first") {
            expect_that!(with_timeout(idle.read_buf(&mut received)).await?, gt(0));
        }
        let first = send_request(&harness, "unsafe", &[]);
        let running = worker.next_request().await;
        harness.shutdown.begin();
        // The running request may take 5 s, and the process ends after 1.4 s.
        with_timeout(harness.shutdown.reached(Phase::Closing)).await;
        expect_that!(
            with_timeout(idle.read_buf(&mut received)).await?,
            eq(0),
            "an idle connection is closed"
        );
        with_timeout(async { while TcpStream::connect(harness.address).await.is_ok() {} }).await;
        running.respond("200 OK", "", "begun").await;
        expect_that!(first.await?.body, eq("begun"));
        verify_that!(with_timeout(harness.ended).await?.is_ok(), eq(true))
    })
}
