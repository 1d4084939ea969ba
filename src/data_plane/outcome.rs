//! Classification of a worker's response head: what it proves about the request.

use hyper::header::{HeaderMap, HeaderValue, CONTENT_ENCODING};
use hyper::http::response::Parts;
use hyper::StatusCode;

/// Header that marks a success or a failure as produced by a worker.
pub(crate) const RESPONSE_STAMP: &str = "response-stamp";
/// Header that marks a response to a request that the worker did not run.
pub(crate) const NOT_EXECUTED: &str = "not-executed";

/// Meaning of a response head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ResponseClass {
    /// The worker's own response to this request; forwarded unchanged.
    Forward,
    /// Proof that the worker did not run the request.
    NotRun(StatusCode),
    /// Neither a response that may be forwarded nor proof that the request did not run.
    MayHaveRun,
}

/// Classifies the response to the request with this id.
pub(crate) fn classify(response: &Parts, request_id: Option<&HeaderValue>) -> ResponseClass {
    if !request_id_matches(&response.headers, request_id) {
        return ResponseClass::MayHaveRun;
    }
    let status = response.status;
    if response.headers.contains_key(NOT_EXECUTED) || status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::NotRun(status);
    }
    let can_forward = !implies_not_run(status)
        && !status.is_informational()
        && !response.headers.contains_key(CONTENT_ENCODING)
        && (!status.is_success() || response.headers.contains_key(RESPONSE_STAMP));
    match can_forward {
        true => ResponseClass::Forward,
        false => ResponseClass::MayHaveRun,
    }
}

/// Whether a client takes the status as a promise that its request never runs.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE | StatusCode::REQUEST_TIMEOUT
    )
}

fn request_id_matches(headers: &HeaderMap, request_id: Option<&HeaderValue>) -> bool {
    let mut ids = headers.get_all(super::request_head::REQUEST_ID).iter();
    ids.next() == request_id && ids.next().is_none()
}
