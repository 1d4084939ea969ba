//! A worker's connection fails at every byte of a request and of its answer, in every way, on every kind of
//! route. What the client sees and how often the request is sent is compared with what the rules allow.

use super::harness::{paused, Answered, MemoryRig, RouteUnderTest, ALL_ROUTES, LATE, TIMEOUT};
use super::scripted_worker::{Answer, Failure, Plan, Position, ReadRequest, ALL_FAILURES};
use googletest::prelude::*;
use std::rc::Rc;

const ID: &str = "q1";
const BODY: &str = "a body";

/// What the rules allow for one position.
#[derive(Debug)]
struct Allowed {
    /// Times that the request may be sent to a worker.
    sent: usize,
    /// Statuses that the client may see.
    statuses: &'static [u16],
    /// Whether the answer has to be whole.
    whole: bool,
}

/// One failure.
#[derive(Debug, Clone, Copy)]
struct Case {
    route: RouteUnderTest,
    position: Position,
    failure: Failure,
    /// Bytes of the head of the answer, and of all of it.
    head: usize,
    all: usize,
}

impl Case {
    /// The table of the rules.
    fn allowed(self) -> Allowed {
        let answered = self.position == Position::Answer(self.all);
        let has_head = matches!(self.position, Position::Answer(sent) if sent >= self.head);
        let silent = self.failure == Failure::Silence;
        if answered {
            return Allowed { sent: 1, statuses: &[200], whole: true };
        }
        match self.route {
            // Another worker answers, unless nothing tells that the first one never will.
            RouteUnderTest::Safe | RouteUnderTest::Resumable if !silent => {
                Allowed { sent: 2, statuses: &[200], whole: true }
            }
            RouteUnderTest::Safe => Allowed { sent: 2, statuses: &[200, 504], whole: false },
            RouteUnderTest::Resumable if has_head => Allowed { sent: 2, statuses: &[200], whole: false },
            RouteUnderTest::Resumable => Allowed { sent: 2, statuses: &[200, 504], whole: false },
            // A head that is passed on together with the end of its connection may be lost with it.
            RouteUnderTest::Streaming if has_head => Allowed { sent: 1, statuses: &[200, 0], whole: false },
            // It may have run: neither repeated nor said not to have run.
            RouteUnderTest::Unsafe | RouteUnderTest::Streaming => {
                Allowed { sent: 1, statuses: if silent { &[504] } else { &[502] }, whole: false }
            }
        }
    }

    /// Why what happened breaks the rules, if it does.
    fn judge(self, answered: &Answered, arrivals: usize, runs: usize) -> std::result::Result<(), String> {
        let allowed = self.allowed();
        let body = self.route.whole_body(ID);
        let told = |reason: &str| Err(format!("{self:?}: {reason}: {answered:?}, allowed {allowed:?}"));
        if !answered.ended || answered.took > TIMEOUT + LATE {
            return told("no end in time");
        }
        if !allowed.statuses.contains(&answered.status) {
            return told("a status that is not allowed");
        }
        if arrivals > allowed.sent {
            return told(&format!("sent {arrivals} times"));
        }
        if runs > 1 && !self.route.is_idempotent() {
            return told(&format!("run {runs} times"));
        }
        if answered.surplus > 0 {
            return told("bytes after the answer");
        }
        let is_success = answered.status == 200;
        if is_success && (answered.complete || allowed.whole) && (answered.body != body || !answered.complete)
        {
            return told("a wrong body");
        }
        if is_success && !body.starts_with(&answered.body) {
            return told("a wrong beginning");
        }
        if is_success && answered.header("response-stamp").is_none() {
            return told("a success without a stamp");
        }
        if !is_success && (answered.header("response-stamp").is_some() || !answered.body.is_empty()) {
            return told("a failure with parts of a worker's answer");
        }
        Ok(())
    }
}

/// Lengths of a request as a worker gets it, of the head of its answer, and of the whole answer.
async fn lengths(route: RouteUnderTest, answer: &Answer) -> (usize, usize, usize) {
    let mut rig = MemoryRig::start();
    rig.workers.plan(Plan { ends: Some(Failure::Close), ..Plan::answering(answer.clone()) });
    rig.ask(route, ID, "", BODY).await;
    let seen = rig.workers.seen.borrow();
    let request = &seen.runs[0];
    let headers: usize = request.headers.iter().map(|(name, value)| name.len() + value.len() + 4).sum();
    let answer = answer(request);
    // Interim heads come before it.
    let begin = answer.windows(12).position(|begin| begin == b"HTTP/1.1 200").expect("a final head");
    let head = begin + answer[begin..].windows(4).position(|end| end == b"\r\n\r\n").expect("an end") + 4;
    (request.line.len() + 2 + headers + 2 + request.body.len(), head, answer.len())
}

async fn try_case(case: Case, answer: &Answer) -> std::result::Result<(), String> {
    let mut rig = MemoryRig::start();
    rig.workers.plan(Plan::answering(answer.clone()).failing(case.position, case.failure));
    rig.workers.otherwise(Plan::answering(case.route.answer()));
    let answered = rig.ask(case.route, ID, "", BODY).await;
    let arrivals = rig.workers.seen.borrow().arrivals.len();
    case.judge(&answered, arrivals, rig.runs(ID))?;
    let is_kept_and_silent = case.position == Position::Answer(case.all) && case.failure == Failure::Silence;
    if !is_kept_and_silent {
        rig.serves_another(case.route, "q2").await.map_err(|error| format!("{case:?}: {error}"))?;
    }
    // What was sent once must not run later either.
    case.judge(&answered, arrivals, rig.runs(ID))?;
    let faults = rig.workers.seen.borrow().faults.clone();
    match faults.is_empty() {
        true => Ok(()),
        false => Err(format!("{case:?}: a worker read what is no request: {faults:?}")),
    }
}

/// Tries every position with every failure and counts the cases.
fn try_all(
    route: RouteUnderTest,
    answer: &Answer,
    failures: &[Failure],
) -> std::result::Result<usize, String> {
    let (request, head, all) = paused(lengths(route, answer));
    let positions = (0..request).map(Position::Request).chain((0..=all).map(Position::Answer));
    let mut tried = 0;
    for position in positions {
        for failure in failures {
            let case = Case { route, position, failure: *failure, head, all };
            paused(try_case(case, answer))?;
            tried += 1;
        }
    }
    Ok(tried)
}

fn expect_all(route: RouteUnderTest, answer: &Answer, least: usize) {
    let tried = try_all(route, answer, &ALL_FAILURES);
    expect_that!(tried, ok(gt(&least)), "{}", route.name());
}

#[gtest]
fn a_failure_at_any_byte_of_a_safe_request_is_made_good_at_another_worker() {
    expect_all(RouteUnderTest::Safe, &RouteUnderTest::Safe.answer(), 1000);
}

#[gtest]
fn a_failure_at_any_byte_of_an_unsafe_request_is_never_repeated() {
    expect_all(RouteUnderTest::Unsafe, &RouteUnderTest::Unsafe.answer(), 1000);
}

#[gtest]
fn a_failure_at_any_byte_of_a_stream_is_never_repeated_and_shows() {
    expect_all(RouteUnderTest::Streaming, &RouteUnderTest::Streaming.answer(), 1000);
}

#[gtest]
fn a_failure_at_any_byte_of_a_resumable_stream_loses_and_doubles_no_event() {
    expect_all(RouteUnderTest::Resumable, &RouteUnderTest::Resumable.answer(), 1000);
}

/// The route's answer after two interim ones.
fn with_interim_answers(route: RouteUnderTest) -> Answer {
    let answer = route.answer();
    Rc::new(move |request: &ReadRequest| {
        let interim =
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nRequest-Id: q0\r\nLink: x\r\n\r\n";
        [interim.as_bytes(), &answer(request)].concat()
    })
}

#[gtest]
fn a_failure_at_any_byte_of_interim_answers_changes_none_of_this() {
    for route in ALL_ROUTES {
        expect_all(route, &with_interim_answers(route), 1200);
    }
}
