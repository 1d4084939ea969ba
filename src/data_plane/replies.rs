//! Responses that the gatekeeper generates itself. None carries a worker's `Response-Stamp`.

use super::request_head::REQUEST_ID;
use super::response_body::ResponseBody;
use hyper::header::{HeaderValue, CONTENT_LENGTH, RETRY_AFTER};
use hyper::{Response, StatusCode};

/// Why the gatekeeper responds to a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LocalReply {
    /// No route of the configuration matches.
    NoRoute,
    /// The body exceeds the configured size.
    BodyTooLarge,
    /// The body could not be read.
    BodyUnreadable,
    /// The request is malformed in a way that every worker would refuse.
    BadRequest,
    /// The request has not run and will not run; the client may retry.
    NotRun {
        /// Delay in milliseconds after which the client may retry.
        retry_after_ms: u64,
    },
    /// The request may have run, and its response is lost.
    MayHaveRun,
    /// The request may have run or may still be running, and its deadline has passed.
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

    /// Builds the response to the request with this id.
    pub(crate) fn response(self, request_id: Option<&HeaderValue>) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::empty());
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

/// `Retry-After` in seconds with a fraction, as the clients expect it.
fn retry_after_value(milliseconds: u64) -> HeaderValue {
    let text = format!("{}.{:03}", milliseconds / 1000, milliseconds % 1000);
    HeaderValue::try_from(text).unwrap_or(HeaderValue::from_static("1"))
}
