//! A worker connection fails at every byte of a request and of its response, in every way and on every kind of
//! route. The response to the client and the number of attempts are compared with what is allowed.

use super::harness::{
    run_in_paused_time, ClientResponse, InMemoryHarness, RouteUnderTest, ALL_ROUTES, RESPONSE_TOLERANCE,
    ROUTE_TIMEOUT,
};
use super::scripted_worker::{Failure, FailurePoint, Plan, ReceivedRequest, ResponseFn, ALL_FAILURES};
use googletest::prelude::*;
use std::rc::Rc;

const ID: &str = "q1";
const BODY: &str = "a body";

/// Allowed outcome for one failure point.
#[derive(Debug)]
struct Allowed {
    /// How often the request may be sent to a worker.
    max_attempts: usize,
    /// Statuses that the client may receive; 0 stands for no response head.
    statuses: &'static [u16],
    /// Whether the response must be complete.
    complete: bool,
}

/// One failure at one point.
#[derive(Debug, Clone, Copy)]
struct Case {
    route: RouteUnderTest,
    point: FailurePoint,
    failure: Failure,
    /// Length of the response head, and of the whole response, in bytes.
    head_length: usize,
    response_length: usize,
}

impl Case {
    /// The allowed outcome.
    fn allowed(self) -> Allowed {
        let is_response_complete = self.point == FailurePoint::Response(self.response_length);
        let has_head = matches!(self.point, FailurePoint::Response(sent) if sent >= self.head_length);
        let stalls = self.failure == Failure::Stall;
        if is_response_complete {
            return Allowed { max_attempts: 1, statuses: &[200], complete: true };
        }
        match self.route {
            // Another worker responds, unless nothing shows that the first one never will.
            RouteUnderTest::Safe | RouteUnderTest::Resumable if !stalls => {
                Allowed { max_attempts: 2, statuses: &[200], complete: true }
            }
            RouteUnderTest::Safe => Allowed { max_attempts: 2, statuses: &[200, 504], complete: false },
            RouteUnderTest::Resumable if has_head => {
                Allowed { max_attempts: 2, statuses: &[200], complete: false }
            }
            RouteUnderTest::Resumable => Allowed { max_attempts: 2, statuses: &[200, 504], complete: false },
            // A head that is forwarded together with the end of its connection may be lost with it.
            RouteUnderTest::Streaming if has_head => {
                Allowed { max_attempts: 1, statuses: &[200, 0], complete: false }
            }
            // The request may have run: it is neither retried nor reported as not run.
            RouteUnderTest::Unsafe | RouteUnderTest::Streaming => {
                Allowed { max_attempts: 1, statuses: if stalls { &[504] } else { &[502] }, complete: false }
            }
        }
    }

    /// Checks the outcome against what is allowed.
    fn check(
        self,
        response: &ClientResponse,
        arrivals: usize,
        runs: usize,
    ) -> std::result::Result<(), String> {
        let allowed = self.allowed();
        let body = self.route.expected_body(ID);
        let violation = |reason: &str| Err(format!("{self:?}: {reason}: {response:?}, allowed {allowed:?}"));
        if !response.connection_closed || response.elapsed > ROUTE_TIMEOUT + RESPONSE_TOLERANCE {
            return violation("not closed in time");
        }
        if !allowed.statuses.contains(&response.status) {
            return violation("status not allowed");
        }
        if arrivals > allowed.max_attempts {
            return violation(&format!("sent {arrivals} times"));
        }
        if runs > 1 && !self.route.is_idempotent() {
            return violation(&format!("run {runs} times"));
        }
        if response.trailing_bytes > 0 {
            return violation("bytes after the response");
        }
        let is_success = response.status == 200;
        if is_success
            && (response.complete || allowed.complete)
            && (response.body != body || !response.complete)
        {
            return violation("wrong body");
        }
        if is_success && !body.starts_with(&response.body) {
            return violation("wrong beginning of the body");
        }
        if is_success && response.header("response-stamp").is_none() {
            return violation("success without a stamp");
        }
        if !is_success && (response.header("response-stamp").is_some() || !response.body.is_empty()) {
            return violation("error response with parts of a worker's response");
        }
        Ok(())
    }
}

/// Lengths of a request as received by a worker, of the response head, and of the whole response.
async fn lengths(route: RouteUnderTest, respond: &ResponseFn) -> (usize, usize, usize) {
    let mut harness = InMemoryHarness::start();
    harness
        .workers
        .push_plan(Plan { end_after_response: Some(Failure::Close), ..Plan::responding(respond.clone()) });
    harness.exchange(route, ID, "", BODY).await;
    let observed = harness.workers.observed.borrow();
    let request = &observed.runs[0];
    let headers: usize = request.headers.iter().map(|(name, value)| name.len() + value.len() + 4).sum();
    let response = respond(request);
    // Interim responses precede the final head.
    let start =
        response.windows(12).position(|start| start == b"HTTP/1.1 200").expect("a final response head");
    let head_length = start
        + response[start..].windows(4).position(|end| end == b"\r\n\r\n").expect("an end of the head")
        + 4;
    (request.request_line.len() + 2 + headers + 2 + request.body.len(), head_length, response.len())
}

async fn run_case(case: Case, respond: &ResponseFn) -> std::result::Result<(), String> {
    let mut harness = InMemoryHarness::start();
    harness.workers.push_plan(Plan::responding(respond.clone()).with_failure(case.point, case.failure));
    harness.workers.set_default_plan(Plan::responding(case.route.respond_fn()));
    let response = harness.exchange(case.route, ID, "", BODY).await;
    let arrivals = harness.workers.observed.borrow().arrivals.len();
    case.check(&response, arrivals, harness.run_count(ID))?;
    let stalls_after_response =
        case.point == FailurePoint::Response(case.response_length) && case.failure == Failure::Stall;
    if !stalls_after_response {
        harness.check_next_request(case.route, "q2").await.map_err(|error| format!("{case:?}: {error}"))?;
    }
    // A request that was sent must not run again later either.
    case.check(&response, arrivals, harness.run_count(ID))?;
    let malformed = harness.workers.observed.borrow().malformed.clone();
    match malformed.is_empty() {
        true => Ok(()),
        false => Err(format!("{case:?}: a worker received a malformed request: {malformed:?}")),
    }
}

/// Runs every failure at every point and counts the cases.
fn run_all_cases(
    route: RouteUnderTest,
    respond: &ResponseFn,
    failures: &[Failure],
) -> std::result::Result<usize, String> {
    let (request_length, head_length, response_length) = run_in_paused_time(lengths(route, respond));
    let points = (0..request_length)
        .map(FailurePoint::Request)
        .chain((0..=response_length).map(FailurePoint::Response));
    let mut count = 0;
    for point in points {
        for failure in failures {
            let case = Case { route, point, failure: *failure, head_length, response_length };
            run_in_paused_time(run_case(case, respond))?;
            count += 1;
        }
    }
    Ok(count)
}

fn expect_all_allowed(route: RouteUnderTest, respond: &ResponseFn, min_cases: usize) {
    let count = run_all_cases(route, respond, &ALL_FAILURES);
    expect_that!(count, ok(gt(&min_cases)), "{}", route.name());
}

#[gtest]
fn a_failure_at_any_byte_of_a_safe_request_is_retried_at_another_worker() {
    expect_all_allowed(RouteUnderTest::Safe, &RouteUnderTest::Safe.respond_fn(), 1000);
}

#[gtest]
fn a_failure_at_any_byte_of_an_unsafe_request_is_never_retried() {
    expect_all_allowed(RouteUnderTest::Unsafe, &RouteUnderTest::Unsafe.respond_fn(), 1000);
}

#[gtest]
fn a_failure_at_any_byte_of_a_stream_is_visible_and_never_retried() {
    expect_all_allowed(RouteUnderTest::Streaming, &RouteUnderTest::Streaming.respond_fn(), 1000);
}

#[gtest]
fn a_failure_at_any_byte_of_a_resumable_stream_neither_loses_nor_duplicates_events() {
    expect_all_allowed(RouteUnderTest::Resumable, &RouteUnderTest::Resumable.respond_fn(), 1000);
}

/// The route's response after two interim responses.
fn with_interim_responses(route: RouteUnderTest) -> ResponseFn {
    let respond = route.respond_fn();
    Rc::new(move |request: &ReceivedRequest| {
        let interim =
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nRequest-Id: q0\r\nLink: x\r\n\r\n";
        [interim.as_bytes(), &respond(request)].concat()
    })
}

#[gtest]
fn a_failure_at_any_byte_of_interim_responses_has_the_same_outcomes() {
    for route in ALL_ROUTES {
        expect_all_allowed(route, &with_interim_responses(route), 1200);
    }
}
