//! Plain requests through the data plane, with workers that behave and workers that don't.

mod data_plane_support;

use bytes::Bytes;
use data_plane_support::client::{request, Client};
use data_plane_support::worker::StandInWorker;
use data_plane_support::{all_routes, on_one_thread, route, Rig};
use googletest::prelude::*;
use http_body_util::Full;
use hyper::Request;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Starts the exchange of one request while the test plays the workers.
fn ask(
    rig: &Rig,
    request: Request<Full<Bytes>>,
) -> tokio::task::JoinHandle<data_plane_support::client::Whole> {
    let address = rig.address;
    tokio::task::spawn_local(async move { Client::connect(address).await.whole(request).await })
}

#[gtest]
fn a_request_is_passed_on_and_its_answer_comes_back_unchanged() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let headers =
            [("Request-Deadline-Ms", "3000"), ("X-Own", "kept"), ("Connection", "x-hop"), ("X-Hop", "gone")];
        let answer = ask(&rig, request("unsafe", "q1", &headers, "ping"));
        let received = worker.next().await;
        expect_that!(received.line, eq("POST /unsafe/x?y=1 HTTP/1.1"));
        expect_that!(received.body, eq(&b"ping".to_vec()));
        expect_that!(received.header("request-id"), eq("q1"));
        expect_that!(received.header("expect-instance"), eq("w1"));
        expect_that!(received.header("priority"), eq("1"));
        expect_that!(received.header("x-own"), eq("kept"));
        expect_that!(received.header("x-hop"), eq(""));
        let left: u64 = received.header("request-deadline-ms").parse()?;
        expect_that!(left, all!(gt(0), le(3000)));
        received.answer("200 OK", "X-Worker: yes\r\n", "pong").await;
        let answer = answer.await?;
        expect_that!(answer.status, eq(200));
        expect_that!(answer.body, eq("pong"));
        expect_that!(answer.header("response-stamp"), eq("stamp-1"));
        expect_that!(answer.header("request-id"), eq("q1"));
        verify_that!(answer.header("x-worker"), eq("yes"))
    })
}

#[gtest]
fn connections_to_workers_are_kept() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        for id in ["q1", "q2", "q3"] {
            let answer = ask(&rig, request("unsafe", id, &[], ""));
            worker.next().await.answer("200 OK", "Keep-Alive: timeout=5\r\n", "pong").await;
            expect_that!(answer.await?.status, eq(200));
        }
        verify_that!(worker.connections(), eq(1))
    })
}

#[gtest]
fn a_failure_of_the_worker_is_passed_on_with_its_stamp() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let answer = ask(&rig, request("safe", "q1", &[], ""));
        worker.next().await.answer("500 Internal Server Error", "", "oh").await;
        let answer = answer.await?;
        expect_that!((answer.status, answer.body.as_str()), eq((500, "oh")));
        verify_that!(answer.header("response-stamp"), eq("stamp-1"))
    })
}

#[gtest]
fn without_a_route_it_is_404_and_without_a_configuration_503() -> Result<()> {
    on_one_thread(async {
        let rig = Rig::start();
        let early = ask(&rig, request("unsafe", "q1", &[], "")).await?;
        expect_that!(early.status, eq(503));
        expect_that!(early.header("retry-after"), not(eq("")));
        rig.tell(all_routes(), Vec::new());
        let unknown = ask(&rig, request("nowhere", "q2", &[], "")).await?;
        expect_that!(unknown.status, eq(404));
        verify_that!(unknown.header("response-stamp"), eq(""))
    })
}

#[gtest]
fn a_configuration_without_confirmation_denies_nothing() -> Result<()> {
    on_one_thread(async {
        let rig = Rig::start();
        rig.tell_view(switchhill::data_plane::View {
            document: Some(std::sync::Arc::new(data_plane_support::document(all_routes()))),
            ..Default::default()
        });
        let unknown = ask(&rig, request("nowhere", "q1", &[], "")).await?;
        verify_that!(unknown.status, eq(503))
    })
}

#[gtest]
fn a_body_above_the_limit_is_413() -> Result<()> {
    on_one_thread(async {
        let rig = Rig::with(all_routes(), &[]);
        let answer = ask(&rig, request("unsafe", "q1", &[], &"x".repeat(1001))).await?;
        verify_that!(answer.status, eq(413))
    })
}

#[gtest]
fn readiness_follows_the_configuration() -> Result<()> {
    on_one_thread(async {
        let rig = Rig::start();
        let check = || Request::get("/api/ready").header("Host", "x").body(Full::default());
        let mut client = Client::connect(rig.readiness).await;
        expect_that!(client.whole(check()?).await.status, eq(503));
        rig.tell(all_routes(), Vec::new());
        // The view is taken by another task: a request on its route shows that it has been.
        ask(&rig, request("nowhere", "q1", &[], "")).await?;
        verify_that!(client.whole(check()?).await.status, eq(200))
    })
}

#[gtest]
fn a_request_that_did_not_run_goes_to_another_worker() -> Result<()> {
    on_one_thread(async {
        let mut first = StandInWorker::start("w1").await;
        let mut second = StandInWorker::start("w2").await;
        let rig = Rig::with(all_routes(), &[&first, &second]);
        let answer = ask(&rig, request("unsafe", "q1", &[], "ping"));
        let (refusing, taking) = tokio::select! {
            refusing = first.next() => (refusing, &mut second),
            refusing = second.next() => (refusing, &mut first),
        };
        refusing.refuse().await;
        let received = taking.next().await;
        expect_that!(received.body, eq(&b"ping".to_vec()));
        received.answer("200 OK", "", "pong").await;
        verify_that!(answer.await?.status, eq(200))
    })
}

#[gtest]
fn a_request_is_sent_to_no_more_workers_than_its_route_allows() -> Result<()> {
    on_one_thread(async {
        let mut first = StandInWorker::start("w1").await;
        let mut second = StandInWorker::start("w2").await;
        let rig = Rig::with(json!([route("safe", json!({"retries": 1}))]), &[&first, &second]);
        let answer = ask(&rig, request("safe", "q1", &[], ""));
        tokio::select! {
            refusing = first.next() => refusing.refuse().await,
            refusing = second.next() => refusing.refuse().await,
        }
        let answer = answer.await?;
        expect_that!(answer.status, eq(503));
        expect_that!(answer.header("response-stamp"), eq(""));
        expect_that!(answer.header("retry-after"), not(eq("")));
        verify_that!(first.has_nothing_more() && second.has_nothing_more(), eq(true))
    })
}

#[gtest]
fn a_worker_that_cannot_be_reached_is_passed_over() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let dead = std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?;
        let rig = Rig::start();
        rig.tell(all_routes(), vec![worker.view(), data_plane_support::worker_view("w2", dead, &["small"])]);
        for id in ["q1", "q2", "q3", "q4"] {
            let answer = ask(&rig, request("unsafe", id, &[], ""));
            worker.next().await.answer("200 OK", "", "pong").await;
            expect_that!(answer.await?.status, eq(200));
        }
        Ok(())
    })
}

#[gtest]
fn an_unsafe_request_that_may_have_run_is_not_repeated() -> Result<()> {
    on_one_thread(async {
        let mut first = StandInWorker::start("w1").await;
        let mut second = StandInWorker::start("w2").await;
        let rig = Rig::with(all_routes(), &[&first, &second]);
        let answer = ask(&rig, request("unsafe", "q1", &[], ""));
        tokio::select! {
            received = first.next() => received.reset(),
            received = second.next() => received.reset(),
        }
        expect_that!(answer.await?.status, eq(502));
        verify_that!(first.has_nothing_more() && second.has_nothing_more(), eq(true))
    })
}

#[gtest]
fn a_safe_request_whose_answer_is_cut_is_repeated() -> Result<()> {
    on_one_thread(async {
        let mut first = StandInWorker::start("w1").await;
        let mut second = StandInWorker::start("w2").await;
        let rig = Rig::with(all_routes(), &[&first, &second]);
        let answer = ask(&rig, request("safe", "q1", &[], ""));
        let (mut cut, taking) = tokio::select! {
            cut = first.next() => (cut, &mut second),
            cut = second.next() => (cut, &mut first),
        };
        cut.write_head("200 OK", "Response-Stamp: s\r\nContent-Length: 10\r\n").await;
        cut.write("half").await;
        drop(cut);
        taking.next().await.answer("200 OK", "", "whole").await;
        let answer = answer.await?;
        verify_that!((answer.status, answer.body.as_str()), eq((200, "whole")))
    })
}

#[gtest]
fn a_refusal_without_proof_becomes_502_for_an_unsafe_request() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let answer = ask(&rig, request("unsafe", "q1", &[], ""));
        worker.next().await.answer("503 Service Unavailable", "", "busy").await;
        let answer = answer.await?;
        expect_that!(answer.status, eq(502));
        verify_that!(answer.header("response-stamp"), eq(""))
    })
}

#[gtest]
fn an_answer_to_another_request_is_not_passed_on() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let answer = ask(&rig, request("unsafe", "q1", &[], ""));
        let mut received = worker.next().await;
        received
            .write("HTTP/1.1 200 OK\r\nRequest-Id: q0\r\nResponse-Stamp: s\r\nContent-Length: 4\r\n\r\nlate")
            .await;
        let answer = answer.await?;
        expect_that!(answer.status, eq(502));
        expect_that!(answer.body, eq(""));
        received.closed().await;
        Ok(())
    })
}

#[gtest]
fn a_request_whose_time_is_over_is_answered() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let answer = ask(&rig, request("unsafe", "q1", &[("Request-Deadline-Ms", "100")], ""));
        let received = worker.next().await;
        expect_that!(answer.await?.status, eq(504));
        received.closed().await;
        Ok(())
    })
}

#[gtest]
fn a_client_that_goes_away_frees_the_worker() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let mut client = Client::connect(rig.address).await;
        let received = tokio::select! {
            _ = client.send(request("unsafe", "q1", &[], "")) => return fail!("nothing was answered"),
            received = worker.next() => received,
        };
        client.close();
        received.closed().await;
        Ok(())
    })
}

#[gtest]
fn bytes_after_a_whole_answer_belong_to_no_request() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let surplus =
            "HTTP/1.1 200 OK\r\nRequest-Id: q2\r\nResponse-Stamp: s\r\nContent-Length: 3\r\n\r\nold";
        let first = ask(&rig, request("unsafe", "q1", &[], ""));
        let mut received = worker.next().await;
        let whole = "HTTP/1.1 200 OK\r\nRequest-Id: q1\r\nResponse-Stamp: s\r\nContent-Length: 4\r\n\r\npong";
        received.write(&format!("{whole}{surplus}")).await;
        expect_that!(first.await?.body, eq("pong"));
        received.closed().await;
        let second = ask(&rig, request("unsafe", "q2", &[], ""));
        worker.next().await.answer("200 OK", "", "new").await;
        verify_that!(second.await?.body, eq("new"))
    })
}

#[gtest]
fn a_connection_that_the_worker_closes_is_not_used_again() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        for id in ["q1", "q2"] {
            let answer = ask(&rig, request("unsafe", id, &[], ""));
            let mut received = worker.next().await;
            let head = "Response-Stamp: s\r\nContent-Length: 2\r\nConnection: close\r\n";
            received.write_head("200 OK", head).await;
            received.write("ok").await;
            expect_that!(answer.await?.status, eq(200));
        }
        verify_that!(worker.connections(), eq(2))
    })
}

#[gtest]
fn a_chunked_body_is_sent_on_whole() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let headers = [("Transfer-Encoding", "chunked")];
        let answer = ask(&rig, request("unsafe", "q1", &headers, "some body"));
        let received = worker.next().await;
        expect_that!(received.body, eq(&b"some body".to_vec()));
        expect_that!(received.header("transfer-encoding"), eq(""));
        received.answer("200 OK", "", "").await;
        let answer = answer.await?;
        verify_that!((answer.status, answer.body.as_str()), eq((200, "")))
    })
}

#[gtest]
fn an_encoded_answer_is_not_passed_on() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let answer = ask(&rig, request("unsafe", "q1", &[], ""));
        worker.next().await.answer("200 OK", "Content-Encoding: gzip\r\n", "????").await;
        let answer = answer.await?;
        verify_that!((answer.status, answer.body.as_str()), eq((502, "")))
    })
}

#[gtest]
fn a_worker_without_room_makes_a_refusal_with_advice() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let answer = ask(&rig, request("unsafe", "q1", &[], ""));
        worker.next().await.refuse().await;
        let answer = answer.await?;
        expect_that!(answer.status, eq(503));
        expect_that!(answer.header("retry-after"), not(eq("")));
        expect_that!(answer.header("not-executed"), eq(""));
        verify_that!(answer.header("response-stamp"), eq(""))
    })
}

#[gtest]
fn a_body_that_does_not_come_in_time_is_refused() -> Result<()> {
    on_one_thread(async {
        let mut worker = StandInWorker::start("w1").await;
        let rig = Rig::with(all_routes(), &[&worker]);
        let mut client = TcpStream::connect(rig.address).await?;
        let head = "POST /unsafe/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: q1\r\n";
        let rest = "Request-Deadline-Ms: 100\r\nContent-Length: 10\r\n\r\nhalf";
        client.write_all(format!("{head}{rest}").as_bytes()).await?;
        let mut answer = [0; 64];
        let count = client.read(&mut answer).await?;
        expect_that!(String::from_utf8_lossy(&answer[..count]), starts_with("HTTP/1.1 503"));
        verify_that!(worker.has_nothing_more(), eq(true))
    })
}
