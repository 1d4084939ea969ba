//! Which requests are logged, and how the number of log lines is limited.

use super::super::replies::LocalReply;
use super::super::request_log::{LogRateLimiter, RequestEnd, Timeline};
use googletest::prelude::*;
use std::time::Duration;
use switchhill_configuration::{Document, Route};
use tokio::time::Instant;

/// A streaming route with a latency target of 500 ms and a target of 200 ms for gaps between pieces.
fn route() -> Route {
    let text = r#"{"revision":1,"routes":[{"name":"chat","host":"h.example","pathPrefix":"/c/","routeKind":"streaming",
        "timeoutMs":5000,"targetLatencyMs":500,"priority":1,"service":"s","retries":1,"gap_aim_ms":200}],
        "services":[{"name":"s","healthCheck":"/health","maxConnections":10,"protocol":"h1","tls":false}],
        "limits":{"maxHeaderBytes":8192,"maxBodyBytes":65536,"headerTimeoutMs":1000,"idleTimeoutMs":15000}}"#;
    let document = Document::parse(text.as_bytes()).expect("a valid configuration");
    Route::clone(&document.routes()[0])
}

/// A timeline whose pieces arrived at these times, in milliseconds after the request.
fn timeline(arrived: Instant, pieces: &[u64], end: RequestEnd) -> Timeline {
    let mut timeline = Timeline::new(&route());
    timeline.record_sent(arrived, "i-1");
    for piece in pieces {
        timeline.record_chunk(arrived + Duration::from_millis(*piece));
    }
    timeline.end = end;
    timeline
}

#[gtest]
fn a_complete_response_in_time_is_not_logged() {
    let arrived = Instant::now();
    expect_false!(timeline(arrived, &[400, 500, 690], RequestEnd::Completed).is_notable(arrived));
}

#[gtest]
fn a_late_first_byte_a_long_gap_an_incomplete_response_and_a_refusal_are_logged() {
    let arrived = Instant::now();
    expect_true!(timeline(arrived, &[501], RequestEnd::Completed).is_notable(arrived));
    expect_true!(timeline(arrived, &[100, 301], RequestEnd::Completed).is_notable(arrived));
    expect_true!(timeline(arrived, &[100, 200], RequestEnd::Incomplete).is_notable(arrived));
    let refused = RequestEnd::Local(LocalReply::NotRun { retry_after_ms: 20 });
    expect_true!(timeline(arrived, &[], refused).is_notable(arrived));
}

#[gtest]
fn log_lines_are_rate_limited_and_suppressed_ones_are_counted() {
    let limiter = LogRateLimiter::default();
    let start = Instant::now();
    let written = (0..100).filter(|_| limiter.take(start).is_some()).count();
    expect_that!(written, eq(20));
    let later = start + Duration::from_millis(1_100);
    expect_that!(limiter.take(later), some(eq(80)));
    expect_that!(limiter.take(later), some(eq(0)));
    let within_a_second = (0..100).filter(|_| limiter.take(later).is_some()).count();
    expect_that!(within_a_second, le(4));
}
