//! A client's request as it is forwarded to workers: method, target and body are unchanged.

use super::connection_headers::remove_request_connection_headers;
use super::request_head::{LAST_EVENT_ID, REQUEST_DEADLINE};
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_LENGTH};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use std::time::Duration;

/// Highest value of the `Priority` header, which is the lowest priority; 0 is the most urgent.
const LOWEST_PRIORITY: u8 = 9;

/// A request whose body has been read completely. The body is held until it can no longer be sent again.
#[derive(Debug, Clone)]
pub(crate) struct ForwardedRequest {
    method: Method,
    target: Uri,
    headers: HeaderMap,
    body: Option<Bytes>,
}

/// Header values that differ between the attempts of a request.
#[derive(Debug, Clone, Default)]
pub(crate) struct AttemptHeaders {
    pub(crate) worker_id: String,
    pub(crate) time_left: Duration,
    pub(crate) priority: u8,
    /// Replaces the client's `Last-Event-Id` when a stream is resumed.
    pub(crate) last_event_id: Option<u64>,
    pub(crate) expect_version: Option<u64>,
}

impl ForwardedRequest {
    /// Builds the forwarded request from the client's head and its complete body.
    pub(crate) fn new(parts: Parts, body: Bytes) -> ForwardedRequest {
        let mut headers = parts.headers;
        let had_body = headers.contains_key(CONTENT_LENGTH) || !body.is_empty();
        remove_request_connection_headers(&mut headers);
        headers.remove(CONTENT_LENGTH);
        if had_body {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
        }
        ForwardedRequest { method: parts.method, target: origin_form(parts.uri), headers, body: Some(body) }
    }

    pub(crate) fn method(&self) -> &Method {
        &self.method
    }

    /// Drops the body, which ends its use of memory. The request cannot be sent any more.
    pub(crate) fn release_body(&mut self) {
        self.body = None;
    }

    /// Whether the body is still held.
    pub(crate) fn has_body(&self) -> bool {
        self.body.is_some()
    }

    /// The request for one attempt on a worker, or `None` if its body has been released.
    pub(crate) fn for_worker(&self, attempt: &AttemptHeaders) -> Option<Request<Full<Bytes>>> {
        let mut request = Request::new(Full::new(self.body.clone()?));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.target.clone();
        *request.headers_mut() = self.headers.clone();
        set_attempt_headers(request.headers_mut(), attempt);
        Some(request)
    }
}

fn set_attempt_headers(headers: &mut HeaderMap, attempt: &AttemptHeaders) {
    let time_left_ms = u64::try_from(attempt.time_left.as_millis()).unwrap_or(u64::MAX).max(1);
    headers.insert(REQUEST_DEADLINE, HeaderValue::from(time_left_ms));
    headers.insert("priority", HeaderValue::from(u16::from(attempt.priority.min(LOWEST_PRIORITY))));
    headers.remove("expect-instance");
    if let Ok(worker_id) = HeaderValue::from_str(&attempt.worker_id) {
        headers.insert("expect-instance", worker_id);
    }
    if let Some(id) = attempt.last_event_id {
        headers.insert(LAST_EVENT_ID, HeaderValue::from(id));
    }
    if let Some(version) = attempt.expect_version {
        headers.insert("expect-version", HeaderValue::from(version));
    }
}

fn origin_form(uri: Uri) -> Uri {
    match uri.into_parts().path_and_query {
        Some(target) => Uri::from(target),
        None => Uri::from_static("/"),
    }
}
