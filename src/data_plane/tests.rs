//! Unit tests of the data plane's modules that do not use sockets.

mod body_memory;
mod client_disconnect;
mod close_delimited;
mod connection_reuse;
mod every_byte;
mod graceful_shutdown;
pub(crate) mod harness;
mod planned_maintenance;
mod reachability;
mod refusals;
mod request_log;
mod response_memory;
pub(crate) mod scripted_worker;
mod stalled_worker;
mod statistics;
mod time_limits;

use super::connection_limits::ConnectionLimits;
use super::event_stream::{Event, EventSplitter, Piece, MAX_BUFFERED_EVENT_BYTES};
use super::outcome::{classify, ResponseClass};
use super::request_head::{ModelName, RequestHead};
use super::shutdown::ShutdownTimes;
use crate::site_settings::ProcessLimits;
use googletest::prelude::*;
use hyper::header::HeaderValue;
use hyper::{Request, Response, StatusCode};
use std::time::Duration;

fn parse_head(headers: &[(&str, &str)]) -> RequestHead {
    let mut request = Request::builder().uri("/a/b?c=d");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    RequestHead::parse(&request.body(()).unwrap().into_parts().0)
}

#[gtest]
fn request_head_is_parsed() -> Result<()> {
    let head = parse_head(&[
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
fn invalid_request_headers_are_treated_as_absent() -> Result<()> {
    let head = parse_head(&[("Token-Usage", "x"), ("Prompt-Prefix", "zz"), ("Request-Deadline-Ms", "-1")]);
    expect_that!(head.prompt_tokens, eq(0));
    expect_that!(head.prompt_parts.len(), eq(0));
    verify_that!(head.deadline, none())
}

fn classify_response(status: u16, headers: &[(&str, &str)]) -> ResponseClass {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    let parts = response.body(()).unwrap().into_parts().0;
    classify(&parts, Some(&HeaderValue::from_static("r1")))
}

const ID: (&str, &str) = ("Request-Id", "r1");
const STAMP: (&str, &str) = ("Response-Stamp", "s");
const LENGTH: (&str, &str) = ("Content-Length", "3");
const NOT_EXECUTED: (&str, &str) = ("Not-Executed", "1");

#[gtest]
fn stamped_response_with_the_request_id_is_forwarded() {
    expect_that!(classify_response(200, &[ID, STAMP, LENGTH]), eq(ResponseClass::Forward));
    expect_that!(classify_response(500, &[ID, STAMP, LENGTH]), eq(ResponseClass::Forward));
    expect_that!(classify_response(504, &[ID, STAMP, LENGTH]), eq(ResponseClass::Forward));
    expect_that!(classify_response(404, &[ID, LENGTH]), eq(ResponseClass::Forward));
    // Whether a response without a length is complete is known only at its end.
    expect_that!(classify_response(200, &[ID, STAMP]), eq(ResponseClass::Forward));
}

#[gtest]
fn response_without_proof_means_the_request_may_have_run() {
    expect_that!(classify_response(200, &[STAMP, LENGTH]), eq(ResponseClass::MayHaveRun));
    expect_that!(
        classify_response(200, &[("Request-Id", "r2"), STAMP, LENGTH]),
        eq(ResponseClass::MayHaveRun)
    );
    expect_that!(classify_response(200, &[ID, ID, STAMP, LENGTH]), eq(ResponseClass::MayHaveRun));
    expect_that!(classify_response(200, &[ID, LENGTH]), eq(ResponseClass::MayHaveRun));
    expect_that!(classify_response(101, &[ID, STAMP]), eq(ResponseClass::MayHaveRun));
    expect_that!(
        classify_response(200, &[ID, STAMP, LENGTH, ("Content-Encoding", "gzip")]),
        eq(ResponseClass::MayHaveRun)
    );
    expect_that!(classify_response(503, &[ID, STAMP, LENGTH]), eq(ResponseClass::MayHaveRun));
    expect_that!(classify_response(429, &[ID, STAMP, LENGTH]), eq(ResponseClass::MayHaveRun));
    expect_that!(
        classify_response(503, &[("Request-Id", "r2"), NOT_EXECUTED]),
        eq(ResponseClass::MayHaveRun)
    );
}

#[gtest]
fn only_not_executed_or_421_proves_that_the_request_did_not_run() {
    expect_that!(
        classify_response(503, &[ID, NOT_EXECUTED]),
        eq(ResponseClass::NotRun(StatusCode::SERVICE_UNAVAILABLE))
    );
    expect_that!(classify_response(421, &[ID]), eq(ResponseClass::NotRun(StatusCode::MISDIRECTED_REQUEST)));
}

fn complete_event(piece: Piece) -> Event {
    match piece {
        Piece::Event(event) if event.is_complete => event,
        other => panic!("no complete event: {other:?}"),
    }
}

#[gtest]
fn events_are_complete_wherever_the_bytes_are_split() {
    let body = b"id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nversions: 7\nid: 3\n\nid: 4\ndata: cut";
    for split in 0..body.len() {
        let mut splitter = EventSplitter::default();
        let mut events = Vec::new();
        for chunk in [&body[..split], &body[split..]] {
            splitter.push(chunk);
            events.extend(std::iter::from_fn(|| splitter.next_piece()).map(complete_event));
        }
        let ids: Vec<_> = events.iter().map(|event| event.id).collect();
        expect_that!(ids, eq(&vec![Some(1), Some(2), Some(3)]), "split at {split}");
        expect_that!(events.last().and_then(|event| event.versions), some(eq(7)), "split at {split}");
        let mut output: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        output.extend(splitter.take_rest());
        expect_that!(output, eq(&body.to_vec()), "split at {split}");
    }
}

#[gtest]
fn a_long_event_is_handed_out_in_parts_wherever_its_end_is_split() {
    for terminator in ["\n\n", "\r\n\r\n", "\r\r"] {
        let long = format!("id: 7\nversions: 2\ndata: {}", "x".repeat(2 * MAX_BUFFERED_EVENT_BYTES));
        let body = format!("{long}{terminator}id: 8{terminator}");
        for split in long.len() - 2..body.len() {
            let mut splitter = EventSplitter::default();
            let mut pieces = Vec::new();
            for chunk in [&body[..split], &body[split..]] {
                for part in chunk.as_bytes().chunks(1000) {
                    splitter.push(part);
                    pieces.extend(std::iter::from_fn(|| splitter.next_piece()));
                }
            }
            let what = format!("{terminator:?}, split at {split}");
            let Some(Piece::Event(first)) = pieces.first() else { panic!("{what}: {:?}", pieces.first()) };
            expect_that!(
                (first.id, first.versions, first.is_complete),
                eq((Some(7), Some(2), false)),
                "{what}"
            );
            let ends =
                pieces.iter().filter(|piece| matches!(piece, Piece::Continuation { ends_event: true, .. }));
            expect_that!(ends.count(), eq(1), "{what}");
            let Some(Piece::Event(last)) = pieces.last() else { panic!("{what}: {:?}", pieces.last()) };
            expect_that!((last.id, last.is_complete), eq((Some(8), true)), "{what}");
            let output: Vec<u8> = pieces.iter().flat_map(|piece| bytes_of(piece).to_vec()).collect();
            expect_that!(output == body.as_bytes(), eq(true), "{what}");
            expect_that!(splitter.is_between_events(), eq(true), "{what}");
        }
    }
}

#[gtest]
fn the_cut_line_of_a_long_event_gives_no_value() {
    let mut splitter = EventSplitter::default();
    splitter.push(format!(":{}\nid: 12", "c".repeat(MAX_BUFFERED_EVENT_BYTES)).as_bytes());
    let Some(Piece::Event(event)) = splitter.next_piece() else { panic!("a long event has a beginning") };
    expect_that!((event.id, event.is_complete), eq((None, false)));
    expect_that!(splitter.is_between_events(), eq(false));
}

fn bytes_of(piece: &Piece) -> &[u8] {
    match piece {
        Piece::Event(event) => &event.bytes,
        Piece::Continuation { bytes, .. } => bytes,
    }
}

fn limits_of(max_fds: u64, memory_mb: u64) -> ProcessLimits {
    ProcessLimits { max_fds, memory_mb, ..ProcessLimits::default() }
}

#[gtest]
fn client_connections_are_as_many_as_the_memory_suffices_for() {
    let few_descriptors = ConnectionLimits::of(&limits_of(4200, 260)).clients;
    let many_descriptors = ConnectionLimits::of(&limits_of(100_000, 260)).clients;
    expect_that!(few_descriptors, eq(2361));
    expect_that!(many_descriptors, eq(2662));
}

#[gtest]
fn connection_limits_stay_below_the_descriptor_limit() {
    let limits = ConnectionLimits::of(&limits_of(4100, 260));
    expect_that!(limits.clients as u64 + u64::from(limits.workers), le(4100 - 200));
    expect_that!(ConnectionLimits::of(&limits_of(0, 260)), eq(ConnectionLimits { clients: 1, workers: 1 }));
}

#[gtest]
fn shutdown_times_end_before_sigkill() {
    for grace_ms in [500, 1000, 4000, 8000, 30_000] {
        let grace = Duration::from_millis(grace_ms);
        let times = ShutdownTimes::within(grace);
        expect_that!(times.drain, le(times.end), "grace {grace_ms} ms");
        expect_that!(times.end, lt(grace), "grace {grace_ms} ms");
    }
}
