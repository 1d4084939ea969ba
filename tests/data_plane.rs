//! Plain requests through the data plane, with correct and with faulty workers.

mod data_plane_support;

use bytes::Bytes;
use data_plane_support::client::{request, Client};
use data_plane_support::worker::MockWorker;
use data_plane_support::{all_routes, route, run_on_one_thread, Harness};
use googletest::prelude::*;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends a request in the background while the test acts as the workers.
fn send_request(
    harness: &Harness,
    request: Request<Full<Bytes>>,
) -> tokio::task::JoinHandle<data_plane_support::client::FullResponse> {
    let address = harness.address;
    tokio::task::spawn_local(async move { Client::connect(address).await.exchange(request).await })
}

#[gtest]
fn a_request_is_forwarded_and_its_response_returned_unchanged() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let headers =
            [("Request-Deadline-Ms", "3000"), ("X-Own", "kept"), ("Connection", "x-hop"), ("X-Hop", "gone")];
        let response = send_request(&harness, request("unsafe", "q1", &headers, "ping"));
        let received = worker.next_request().await;
        expect_that!(received.request_line, eq("POST /unsafe/x?y=1 HTTP/1.1"));
        expect_that!(received.body, eq(&b"ping".to_vec()));
        expect_that!(received.header("request-id"), eq("q1"));
        expect_that!(received.header("expect-instance"), eq("w1"));
        expect_that!(received.header("priority"), eq("1"));
        expect_that!(received.header("x-own"), eq("kept"));
        expect_that!(received.header("x-hop"), eq(""));
        let left: u64 = received.header("request-deadline-ms").parse()?;
        expect_that!(left, all!(gt(0), le(3000)));
        received.respond("200 OK", "X-Worker: yes\r\n", "pong").await;
        let response = response.await?;
        expect_that!(response.status, eq(200));
        expect_that!(response.body, eq("pong"));
        expect_that!(response.header("response-stamp"), eq("stamp-1"));
        expect_that!(response.header("request-id"), eq("q1"));
        verify_that!(response.header("x-worker"), eq("yes"))
    })
}

#[gtest]
fn connections_to_workers_are_reused() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        for id in ["q1", "q2", "q3"] {
            let response = send_request(&harness, request("unsafe", id, &[], ""));
            worker.next_request().await.respond("200 OK", "Keep-Alive: timeout=5\r\n", "pong").await;
            expect_that!(response.await?.status, eq(200));
        }
        verify_that!(worker.connections(), eq(1))
    })
}

#[gtest]
fn an_error_of_the_worker_is_forwarded_with_its_stamp() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let response = send_request(&harness, request("safe", "q1", &[], ""));
        worker.next_request().await.respond("500 Internal Server Error", "", "oh").await;
        let response = response.await?;
        expect_that!((response.status, response.body.as_str()), eq((500, "oh")));
        verify_that!(response.header("response-stamp"), eq("stamp-1"))
    })
}

#[gtest]
fn an_unknown_route_gets_404_and_a_missing_configuration_503() -> Result<()> {
    run_on_one_thread(async {
        let harness = Harness::start();
        let early = send_request(&harness, request("unsafe", "q1", &[], "")).await?;
        expect_that!(early.status, eq(503));
        expect_that!(early.header("retry-after"), not(eq("")));
        harness.publish(all_routes(), Vec::new());
        let unknown = send_request(&harness, request("nowhere", "q2", &[], "")).await?;
        expect_that!(unknown.status, eq(404));
        verify_that!(unknown.header("response-stamp"), eq(""))
    })
}

#[gtest]
fn an_unconfirmed_configuration_causes_no_404() -> Result<()> {
    run_on_one_thread(async {
        let harness = Harness::start();
        harness.publish_view(switchhill::data_plane::View {
            document: Some(std::sync::Arc::new(data_plane_support::document(all_routes()))),
            ..Default::default()
        });
        let unknown = send_request(&harness, request("nowhere", "q1", &[], "")).await?;
        verify_that!(unknown.status, eq(503))
    })
}

#[gtest]
fn a_body_above_the_limit_gets_413() -> Result<()> {
    run_on_one_thread(async {
        let harness = Harness::with(all_routes(), &[]);
        let response = send_request(&harness, request("unsafe", "q1", &[], &"x".repeat(1001))).await?;
        verify_that!(response.status, eq(413))
    })
}

#[gtest]
fn the_process_is_ready_once_it_has_a_configuration() -> Result<()> {
    run_on_one_thread(async {
        let harness = Harness::start();
        let check = || Request::get("/api/ready").header("Host", "x").body(Full::default());
        let mut client = Client::connect(harness.readiness).await;
        expect_that!(client.exchange(check()?).await.status, eq(503));
        harness.publish(all_routes(), Vec::new());
        // Another task applies the view; the response to this request shows that it has done so.
        send_request(&harness, request("nowhere", "q1", &[], "")).await?;
        verify_that!(client.exchange(check()?).await.status, eq(200))
    })
}

#[gtest]
fn a_request_that_did_not_run_goes_to_another_worker() -> Result<()> {
    run_on_one_thread(async {
        let mut first = MockWorker::start("w1").await;
        let mut second = MockWorker::start("w2").await;
        let harness = Harness::with(all_routes(), &[&first, &second]);
        let response = send_request(&harness, request("unsafe", "q1", &[], "ping"));
        let (refusing, accepting) = tokio::select! {
            refusing = first.next_request() => (refusing, &mut second),
            refusing = second.next_request() => (refusing, &mut first),
        };
        refusing.refuse().await;
        let received = accepting.next_request().await;
        expect_that!(received.body, eq(&b"ping".to_vec()));
        received.respond("200 OK", "", "pong").await;
        verify_that!(response.await?.status, eq(200))
    })
}

#[gtest]
fn a_request_is_sent_to_no_more_workers_than_its_route_allows() -> Result<()> {
    run_on_one_thread(async {
        let mut first = MockWorker::start("w1").await;
        let mut second = MockWorker::start("w2").await;
        let harness = Harness::with(json!([route("safe", json!({"retries": 1}))]), &[&first, &second]);
        let response = send_request(&harness, request("safe", "q1", &[], ""));
        tokio::select! {
            refusing = first.next_request() => refusing.refuse().await,
            refusing = second.next_request() => refusing.refuse().await,
        }
        let response = response.await?;
        expect_that!(response.status, eq(503));
        expect_that!(response.header("response-stamp"), eq(""));
        expect_that!(response.header("retry-after"), not(eq("")));
        verify_that!(first.has_no_more_requests() && second.has_no_more_requests(), eq(true))
    })
}

#[gtest]
fn an_unreachable_worker_is_skipped() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let unreachable = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let harness = Harness::start();
        harness.publish(
            all_routes(),
            vec![worker.view(), data_plane_support::worker_view("w2", unreachable, &["small"])],
        );
        for id in ["q1", "q2", "q3", "q4"] {
            let response = send_request(&harness, request("unsafe", id, &[], ""));
            worker.next_request().await.respond("200 OK", "", "pong").await;
            expect_that!(response.await?.status, eq(200));
        }
        Ok(())
    })
}

#[gtest]
fn an_unsafe_request_that_may_have_run_is_not_retried() -> Result<()> {
    run_on_one_thread(async {
        let mut first = MockWorker::start("w1").await;
        let mut second = MockWorker::start("w2").await;
        let harness = Harness::with(all_routes(), &[&first, &second]);
        let response = send_request(&harness, request("unsafe", "q1", &[], ""));
        tokio::select! {
            received = first.next_request() => received.reset(),
            received = second.next_request() => received.reset(),
        }
        expect_that!(response.await?.status, eq(502));
        verify_that!(first.has_no_more_requests() && second.has_no_more_requests(), eq(true))
    })
}

#[gtest]
fn a_safe_request_whose_response_is_cut_off_is_retried() -> Result<()> {
    run_on_one_thread(async {
        let mut first = MockWorker::start("w1").await;
        let mut second = MockWorker::start("w2").await;
        let harness = Harness::with(all_routes(), &[&first, &second]);
        let response = send_request(&harness, request("safe", "q1", &[], ""));
        let (mut cut, accepting) = tokio::select! {
            cut = first.next_request() => (cut, &mut second),
            cut = second.next_request() => (cut, &mut first),
        };
        cut.write_head("200 OK", "Response-Stamp: s\r\nContent-Length: 10\r\n").await;
        cut.write("half").await;
        drop(cut);
        accepting.next_request().await.respond("200 OK", "", "whole").await;
        let response = response.await?;
        verify_that!((response.status, response.body.as_str()), eq((200, "whole")))
    })
}

#[gtest]
fn a_refusal_without_proof_becomes_502_for_an_unsafe_request() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let response = send_request(&harness, request("unsafe", "q1", &[], ""));
        worker.next_request().await.respond("503 Service Unavailable", "", "busy").await;
        let response = response.await?;
        expect_that!(response.status, eq(502));
        verify_that!(response.header("response-stamp"), eq(""))
    })
}

#[gtest]
fn a_response_to_another_request_is_not_forwarded() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let response = send_request(&harness, request("unsafe", "q1", &[], ""));
        let mut received = worker.next_request().await;
        received
            .write("HTTP/1.1 200 OK\r\nRequest-Id: q0\r\nResponse-Stamp: s\r\nContent-Length: 4\r\n\r\nlate")
            .await;
        let response = response.await?;
        expect_that!(response.status, eq(502));
        expect_that!(response.body, eq(""));
        received.wait_closed().await;
        Ok(())
    })
}

#[gtest]
fn an_expired_request_gets_504() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let response = send_request(&harness, request("unsafe", "q1", &[("Request-Deadline-Ms", "100")], ""));
        let received = worker.next_request().await;
        expect_that!(response.await?.status, eq(504));
        received.wait_closed().await;
        Ok(())
    })
}

#[gtest]
fn a_client_that_disconnects_frees_the_worker() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let mut client = Client::connect(harness.address).await;
        let received = tokio::select! {
            _ = client.send(request("unsafe", "q1", &[], "")) => return fail!("nothing was answered"),
            received = worker.next_request() => received,
        };
        client.close();
        received.wait_closed().await;
        Ok(())
    })
}

#[gtest]
fn bytes_after_a_complete_response_belong_to_no_request() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let surplus =
            "HTTP/1.1 200 OK\r\nRequest-Id: q2\r\nResponse-Stamp: s\r\nContent-Length: 3\r\n\r\nold";
        let first = send_request(&harness, request("unsafe", "q1", &[], ""));
        let mut received = worker.next_request().await;
        let whole = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Stamp: s\r\nContent-Length: 4\r\n\r\npong";
        received.write(&format!("{whole}{surplus}")).await;
        expect_that!(first.await?.body, eq("pong"));
        received.wait_closed().await;
        let second = send_request(&harness, request("unsafe", "q2", &[], ""));
        worker.next_request().await.respond("200 OK", "", "new").await;
        verify_that!(second.await?.body, eq("new"))
    })
}

#[gtest]
fn a_connection_that_the_worker_closes_is_not_reused() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        for id in ["q1", "q2"] {
            let response = send_request(&harness, request("unsafe", id, &[], ""));
            let mut received = worker.next_request().await;
            let head = "Response-Stamp: s\r\nContent-Length: 2\r\nConnection: close\r\n";
            received.write_head("200 OK", head).await;
            received.write("ok").await;
            expect_that!(response.await?.status, eq(200));
        }
        verify_that!(worker.connections(), eq(2))
    })
}

#[gtest]
fn a_chunked_body_is_forwarded_completely() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let headers = [("Transfer-Encoding", "chunked")];
        let response = send_request(&harness, request("unsafe", "q1", &headers, "some body"));
        let received = worker.next_request().await;
        expect_that!(received.body, eq(&b"some body".to_vec()));
        expect_that!(received.header("transfer-encoding"), eq(""));
        received.respond("200 OK", "", "").await;
        let response = response.await?;
        verify_that!((response.status, response.body.as_str()), eq((200, "")))
    })
}

#[gtest]
fn an_encoded_response_is_not_forwarded() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let response = send_request(&harness, request("unsafe", "q1", &[], ""));
        worker.next_request().await.respond("200 OK", "Content-Encoding: gzip\r\n", "????").await;
        let response = response.await?;
        verify_that!((response.status, response.body.as_str()), eq((502, "")))
    })
}

#[gtest]
fn a_refusal_by_the_only_worker_becomes_503_with_retry_after() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let response = send_request(&harness, request("unsafe", "q1", &[], ""));
        worker.next_request().await.refuse().await;
        let response = response.await?;
        expect_that!(response.status, eq(503));
        expect_that!(response.header("retry-after"), not(eq("")));
        expect_that!(response.header("not-executed"), eq(""));
        verify_that!(response.header("response-stamp"), eq(""))
    })
}

#[gtest]
fn a_request_whose_body_does_not_arrive_in_time_gets_503() -> Result<()> {
    run_on_one_thread(async {
        let mut worker = MockWorker::start("w1").await;
        let harness = Harness::with(all_routes(), &[&worker]);
        let mut client = TcpStream::connect(harness.address).await?;
        let head = "POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: q1\r\n";
        let rest = "Request-Deadline-Ms: 100\r\nContent-Length: 10\r\n\r\nhalf";
        client.write_all(format!("{head}{rest}").as_bytes()).await?;
        let mut response = [0; 64];
        let count = client.read(&mut response).await?;
        expect_that!(String::from_utf8_lossy(&response[..count]), starts_with("HTTP/1.1 503"));
        verify_that!(worker.has_no_more_requests(), eq(true))
    })
}
