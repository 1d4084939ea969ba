//! The answer of a worker as it comes in.

use super::outstanding::OutstandingAttempt;
use super::pool::Lease;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::Response;
use std::time::Duration;
use switchhill_routing::AttemptOutcome;

/// An answer whose head has come. Dropping it closes the connection, so that the worker stops.
pub(crate) struct WorkerResponse {
    pub(crate) head: Parts,
    pub(crate) attempt: OutstandingAttempt,
    body: Incoming,
    lease: Lease,
}

/// The next of a body.
pub(crate) enum BodyRead {
    /// Some bytes.
    Data(Bytes),
    /// The proper end.
    End,
    /// The connection failed first.
    Broken,
}

/// A body read up to a limit.
pub(crate) enum BufferedBody {
    /// All of it.
    Complete(Bytes),
    /// It is longer than the limit; these are its first bytes.
    ExceedsLimit(Bytes),
    /// The connection failed first.
    Broken,
}

impl WorkerResponse {
    /// An answer that begins on a leased connection.
    pub(crate) fn new(
        answer: Response<Incoming>,
        lease: Lease,
        attempt: OutstandingAttempt,
    ) -> WorkerResponse {
        let (head, body) = answer.into_parts();
        WorkerResponse { head, body, lease, attempt }
    }

    /// Waits for the next bytes of the body.
    pub(crate) async fn next_step(&mut self) -> BodyRead {
        loop {
            match self.body.frame().await {
                None => return BodyRead::End,
                Some(Err(_)) => return BodyRead::Broken,
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => return BodyRead::Data(data),
                    // Trailers concern only this connection.
                    Err(_) => continue,
                },
            }
        }
    }

    /// Reads the body until it ends or exceeds the limit.
    pub(crate) async fn read_up_to(&mut self, limit: usize) -> BufferedBody {
        let mut first: Option<Bytes> = None;
        let mut joined = BytesMut::new();
        loop {
            match self.next_step().await {
                BodyRead::Broken => return BufferedBody::Broken,
                BodyRead::End => return BufferedBody::Complete(first.unwrap_or_else(|| joined.freeze())),
                BodyRead::Data(data) if first.is_none() && joined.is_empty() => first = Some(data),
                BodyRead::Data(data) => {
                    joined.extend_from_slice(&first.take().unwrap_or_default());
                    joined.extend_from_slice(&data);
                }
            }
            let length = first.as_ref().map_or(joined.len(), Bytes::len);
            if length > limit {
                return BufferedBody::ExceedsLimit(first.unwrap_or_else(|| joined.freeze()));
            }
        }
    }

    /// Ends the attempt after the whole body; the connection is kept if the worker keeps it.
    pub(crate) fn complete(self, outcome: AttemptOutcome) {
        self.attempt.finish(outcome);
        self.lease.return_to_pool(idle_time(&self.head.headers));
    }

    /// Ends the attempt and closes the connection.
    pub(crate) fn abandon(self, outcome: AttemptOutcome) {
        self.attempt.finish(outcome);
    }

    /// How a whole answer counts for the worker.
    pub(crate) fn outcome(&self) -> AttemptOutcome {
        match self.head.status.is_success() {
            true => AttemptOutcome::Success,
            false => AttemptOutcome::WorkerError(self.head.status.as_u16()),
        }
    }

    /// Whether the body ends with its connection. An end in order then is the end of the body; a reset is not.
    pub(crate) fn ends_with_connection(&self) -> bool {
        let headers = &self.head.headers;
        !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
    }

    /// Whether the body is a series of events.
    pub(crate) fn is_event_stream(&self) -> bool {
        let content_type = self.head.headers.get(hyper::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok()).unwrap_or_default();
        self.head.status.is_success() && content_type.trim_start().starts_with("text/event-stream")
    }
}

/// The time in which the worker keeps an idle connection, if it tells one.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let parameters = value.split(',').map(str::trim);
    let seconds = parameters.filter_map(|parameter| parameter.strip_prefix("timeout=")).next()?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}
