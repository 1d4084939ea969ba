//! Tests of the parts without sockets.

mod client_leaves;
mod every_byte;
mod kept_connections;
mod planned_work;
mod process_end;
mod reachability;
mod refusals;
mod request_log;
pub(crate) mod rig;
pub(crate) mod scripted_worker;
mod silent_worker;
mod statistics;
mod time_limits;
mod unframed;

use super::connection_limits::ConnectionLimits;
use super::event_stream::EventSplitter;
use super::outcome::{classify, ResponseClass};
use super::request_head::{ModelName, RequestHead};
use super::shutdown::ShutdownTimes;
use googletest::prelude::*;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use std::time::Duration;

fn head(headers: &[(&str, &str)]) -> RequestHead {
    let mut request = Request::builder().uri("/a/b?c=d");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    RequestHead::parse(&request.body(()).unwrap().into_parts().0)
}

#[gtest]
fn a_head_is_read() -> Result<()> {
    let head = head(&[
        ("Host", "Some.Example:8080"),
        ("Model", "m1/a2"),
        ("Token-Usage", "1460,80"),
        ("Prompt-Prefix", "5c1e07a2:800,ff:410"),
        ("Last-Event-Id", "12"),
        ("Request-Deadline-Ms", "12000"),
    ]);
    expect_that!(head.host, eq("some.example"));
    expect_that!(head.path, eq("/a/b"));
    let name = ModelName { model: "m1".into(), adapter: Some("a2".into()) };
    expect_that!(head.model, some(eq(&name)));
    expect_that!((head.prompt_tokens, head.output_tokens), eq((1460, 80)));
    expect_that!(
        head.prompt_parts.iter().map(|part| part.id).collect::<Vec<_>>(),
        eq(&vec![0x5c1e07a2, 0xff])
    );
    expect_that!(head.last_event_id, some(eq(12)));
    verify_that!(head.deadline.map(|deadline| deadline.as_millis()), some(eq(12_000)))
}

#[gtest]
fn a_head_that_cannot_be_read_counts_as_absent() -> Result<()> {
    let head = head(&[("Token-Usage", "x"), ("Prompt-Prefix", "zz"), ("Request-Deadline-Ms", "-1")]);
    expect_that!(head.prompt_tokens, eq(0));
    expect_that!(head.prompt_parts.len(), eq(0));
    verify_that!(head.deadline, none())
}

fn verdict(status: u16, headers: &[(&str, &str)]) -> ResponseClass {
    let mut answer = Response::builder().status(status);
    for (name, value) in headers {
        answer = answer.header(*name, *value);
    }
    let parts = answer.body(()).unwrap().into_parts().0;
    classify(&parts, Some(&HeaderValue::from_static("r1")))
}

const ID: (&str, &str) = ("Request-Id", "r1");
const STAMP: (&str, &str) = ("Response-Stamp", "s");
const LENGTH: (&str, &str) = ("Content-Length", "3");
const NOT_EXECUTED: (&str, &str) = ("Not-Executed", "1");

#[gtest]
fn a_stamped_answer_with_the_requests_id_is_delivered() {
    expect_that!(verdict(200, &[ID, STAMP, LENGTH]), eq(ResponseClass::Forward));
    expect_that!(verdict(500, &[ID, STAMP, LENGTH]), eq(ResponseClass::Forward));
    expect_that!(verdict(504, &[ID, STAMP, LENGTH]), eq(ResponseClass::Forward));
    expect_that!(verdict(404, &[ID, LENGTH]), eq(ResponseClass::Forward));
    // Whether an answer without a length is whole is seen at its end.
    expect_that!(verdict(200, &[ID, STAMP]), eq(ResponseClass::Forward));
}

#[gtest]
fn an_answer_that_proves_nothing_may_have_run() {
    expect_that!(verdict(200, &[STAMP, LENGTH]), eq(ResponseClass::MayHaveRun));
    expect_that!(verdict(200, &[("Request-Id", "r2"), STAMP, LENGTH]), eq(ResponseClass::MayHaveRun));
    expect_that!(verdict(200, &[ID, ID, STAMP, LENGTH]), eq(ResponseClass::MayHaveRun));
    expect_that!(verdict(200, &[ID, LENGTH]), eq(ResponseClass::MayHaveRun));
    expect_that!(verdict(101, &[ID, STAMP]), eq(ResponseClass::MayHaveRun));
    expect_that!(
        verdict(200, &[ID, STAMP, LENGTH, ("Content-Encoding", "gzip")]),
        eq(ResponseClass::MayHaveRun)
    );
    expect_that!(verdict(503, &[ID, STAMP, LENGTH]), eq(ResponseClass::MayHaveRun));
    expect_that!(verdict(429, &[ID, STAMP, LENGTH]), eq(ResponseClass::MayHaveRun));
    expect_that!(verdict(503, &[("Request-Id", "r2"), NOT_EXECUTED]), eq(ResponseClass::MayHaveRun));
}

#[gtest]
fn only_a_marked_answer_or_a_misdirected_one_proves_that_nothing_ran() {
    expect_that!(
        verdict(503, &[ID, NOT_EXECUTED]),
        eq(ResponseClass::NotRun(StatusCode::SERVICE_UNAVAILABLE))
    );
    expect_that!(verdict(421, &[ID]), eq(ResponseClass::NotRun(StatusCode::MISDIRECTED_REQUEST)));
}

#[gtest]
fn events_come_out_whole_wherever_the_bytes_are_split() {
    let body = b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nversions: 7\nid: 3\n\nid: 4\ndata: cut";
    for split in 0..body.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for part in [&body[..split], &body[split..]] {
            splitter.push(part);
            events.extend(std::iter::from_fn(|| splitter.next_event()));
        }
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        expect_that!(ids, eq(&vec![Some(1), Some(2), Some(3)]), "split at {split}");
        expect_that!(events.last().and_then(|event| event.versions), some(eq(7)), "split at {split}");
        let mut whole: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        whole.extend(splitter.take_rest());
        expect_that!(whole, eq(&body.to_vec()), "split at {split}");
    }
}

#[gtest]
fn descriptors_are_shared_out_below_their_bound() {
    let shares = ConnectionLimits::from_fd_limit(4100);
    expect_that!(shares.clients as u64 + u64::from(shares.workers), le(4100 - 200));
    expect_that!(ConnectionLimits::from_fd_limit(0), eq(ConnectionLimits { clients: 1, workers: 1 }));
}

#[gtest]
fn the_end_fits_before_sigkill() {
    for grace_ms in [500, 1000, 4000, 8000, 30_000] {
        let grace = Duration::from_millis(grace_ms);
        let times = ShutdownTimes::within(grace);
        expect_that!(times.drain, le(times.end), "grace {grace_ms} ms");
        expect_that!(times.end, lt(grace), "grace {grace_ms} ms");
    }
}
