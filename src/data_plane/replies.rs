//! Answers of the gatekeeper itself. None carries a worker's stamp.

use super::answer_body::AnswerBody;
use super::request_head::REQUEST_ID;
use hyper::header::{HeaderValue, CONTENT_LENGTH, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Why the gatekeeper answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LocalReply {
    /// No route of the configuration matches.
    NoRoute,
    /// The body is larger than the configuration allows.
    BodyTooLarge,
    /// The body could not be read.
    BodyUnreadable,
    /// The request is wrong in a way that every worker would refuse.
    BadRequest,
    /// The request has not run and will not; the client may come back after this many milliseconds.
    NotRun {
        /// When to come back.
        retry_after_ms: u64,
    },
    /// The request may have run, and its response is lost.
    MayHaveRun,
    /// The request may have run or be running, and its time is over.
    TimedOut,
}

impl LocalReply {
    fn status(self) -> StatusCode {
        match self {
            LocalReply::NoRoute => StatusCode::NOT_FOUND,
            LocalReply::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            LocalReply::BodyUnreadable | LocalReply::BadRequest => StatusCode::BAD_REQUEST,
            LocalReply::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            LocalReply::MayHaveRun => StatusCode::BAD_GATEWAY,
            LocalReply::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The answer to the request of this id.
    pub(crate) fn response(self, request_id: Option<&HeaderValue>) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::empty());
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_LENGTH, HeaderValue::from(0));
        if let Some(id) = request_id {
            headers.insert(REQUEST_ID, id.clone());
        }
        if let LocalReply::NotRun { retry_after_ms } = self {
            headers.insert(RETRY_AFTER, retry_after_value(retry_after_ms));
        }
        response
    }
}

/// Seconds with a fraction, as clients read them.
fn retry_after_value(milliseconds: u64) -> HeaderValue {
    let text = format!("{}.{:03}", milliseconds / 1000, milliseconds % 1000);
    HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static("1"))
}
