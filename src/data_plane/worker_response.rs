//! A worker's response whose body is still being received.

use super::outstanding::OutstandingAttempt;
use super::policy;
use super::pool::Lease;
use super::response_buffer::ResponseBuffer;
use crate::system::memory_budget::MemoryBudget;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::Response;
use std::time::Duration;
use switchhill_routing::AttemptOutcome;

/// A response whose head has been received. Dropping it closes the connection, so that the worker stops.
pub(crate) struct WorkerResponse {
    pub(crate) head: Parts,
    pub(crate) attempt: OutstandingAttempt,
    body: Incoming,
    lease: Lease,
}

/// Result of one read from the body.
pub(crate) enum BodyRead {
    /// The next bytes.
    Data(Bytes),
    /// The regular end of the body.
    End,
    /// The connection failed before the end.
    Broken,
}

/// Result of reading a body up to a limit.
pub(crate) enum BufferedBody {
    /// The whole body.
    Complete(Bytes),
    /// The body is longer than the limit, or other bodies hold the memory; these are its first bytes.
    ExceedsLimit(Bytes),
    /// The connection failed before the end.
    Broken,
}

impl WorkerResponse {
    /// A response that was received on a leased connection.
    pub(crate) fn new(
        response: Response<Incoming>,
        lease: Lease,
        attempt: OutstandingAttempt,
    ) -> WorkerResponse {
        let (head, body) = response.into_parts();
        WorkerResponse { head, body, lease, attempt }
    }

    /// Reads the next bytes of the body.
    pub(crate) async fn read_next(&mut self) -> BodyRead {
        loop {
            match self.body.frame().await {
                None => return BodyRead::End,
                Some(Err(_)) => return BodyRead::Broken,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => return BodyRead::Data(data),
                    // Trailers apply only to this connection and are not forwarded.
                    Err(_) => continue,
                },
            }
        }
    }

    /// Reads the body until it ends, exceeds the limit, or its memory is not free.
    pub(crate) async fn read_up_to(&mut self, limit: usize, memory: &MemoryBudget) -> BufferedBody {
        let mut buffer = ResponseBuffer::new(memory);
        loop {
            match self.read_next().await {
                BodyRead::Broken => return BufferedBody::Broken,
                BodyRead::End => return BufferedBody::Complete(buffer.into_bytes()),
                BodyRead::Data(data) => {
                    if !buffer.push(data) || buffer.len() > limit {
                        return BufferedBody::ExceedsLimit(buffer.into_bytes());
                    }
                }
            }
        }
    }

    /// Ends the attempt after the whole body. The connection is returned to the pool if the worker keeps it
    /// open.
    pub(crate) fn complete(self, outcome: AttemptOutcome) {
        self.attempt.finish(outcome);
        self.lease.return_to_pool(keep_alive_timeout(&self.head.headers));
    }

    /// Ends the attempt and closes the connection.
    pub(crate) fn abandon(self, outcome: AttemptOutcome) {
        self.attempt.finish(outcome);
    }

    /// Outcome that a complete response counts as for its worker.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        match self.head.status.is_success() {
            true => AttemptOutcome::Success,
            false => AttemptOutcome::WorkerError(self.head.status.as_u16()),
        }
    }

    /// Whether the body is delimited by the end of the connection. An orderly close then ends the body; a
    /// reset does not.
    pub(crate) fn ends_with_connection(&self) -> bool {
        let headers = &self.head.headers;
        !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
    }

    /// Whether the response is a successful stream of server-sent events.
    pub(crate) fn is_event_stream(&self) -> bool {
        let content_type = self.head.headers.get(hyper::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
        self.head.status.is_success() && content_type.trim_start().starts_with("text/event-stream")
    }
}

/// Keep-alive timeout that the worker announces, if any, within what the clock can represent.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = value.split(',').map(str::trim);
    let seconds = parameters.filter_map(|parameter| parameter.strip_prefix("timeout=")).next()?;
    let announced = seconds.trim().parse().ok().map(Duration::from_secs)?;
    Some(announced.min(policy::MAX_IDLE_TIMEOUT))
}
