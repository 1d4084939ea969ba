//! What the head of a worker's answer proves about the request.

use hyper::header::{HeaderMap, HeaderValue, CONTENT_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;

/// Marks a success or failure as a worker's own.
pub(crate) const RESPONSE_STAMP: &str = "response-stamp";
/// Marks an answer to a request that the worker did not run.
pub(crate) const NOT_EXECUTED: &str = "not-executed";

/// Meaning of an answer's head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The worker's own answer to this request: passed on unchanged.
    Deliver,
    /// Proof that the worker did not run the request.
    NotRun(StatusCode),
    /// No answer that may be passed on, and no proof: the request may have run.
    MayHaveRun,
}

/// Judges an answer to a request of this id.
pub(crate) fn judge(answer: &Parts, request_id: Option<&HeaderValue>) -> Verdict {
    if !belongs_to(&answer.headers, request_id) {
        return Verdict::MayHaveRun;
    }
    let status = answer.status;
    if answer.headers.contains_key(NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST {
        return Verdict::NotRun(status);
    }
    let deliverable = !promises_not_run(status)
        && !status.is_informational()
        && !answer.headers.contains_key(CONTENT_ENCODING)
        && (!status.is_success() || answer.headers.contains_key(RESPONSE_STAMP));
    match deliverable {
        true => Verdict::Deliver,
        false => Verdict::MayHaveRun,
    }
}

/// Whether a client takes the status for the promise that its request never runs.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT
    )
}

fn belongs_to(headers: &HeaderMap, request_id: Option<&HeaderValue>) -> bool {
    let mut ids = headers.get_all(super::request_head::REQUEST_ID).iter();
    ids.next() == request_id && ids.next().is_none()
}
