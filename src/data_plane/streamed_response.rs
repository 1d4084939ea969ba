//! A long response, forwarded as it is received.

use super::exchange::Exchange;
use super::request_log::RequestEnd;
use super::response_body::{Chunk, ChunkSource, IncompleteResponse};
use super::worker_response::{BodyRead, WorkerResponse};
use bytes::Bytes;
use std::pin::Pin;
use switchhill_routing::AttemptOutcome;
use tokio::time::Sleep;

/// Body of a long response.
pub(crate) struct StreamedResponse {
    // Held until the response ends, so that the request counts as running.
    exchange: Exchange,
    response: Option<WorkerResponse>,
    start: Option<Bytes>,
    deadline: Pin<Box<Sleep>>,
}

impl StreamedResponse {
    /// A body that begins with `start`.
    pub(crate) fn new(exchange: Exchange, response: WorkerResponse, start: Bytes) -> StreamedResponse {
        let deadline = Box::pin(tokio::time::sleep_until(exchange.deadline));
        StreamedResponse { exchange, response: Some(response), start: Some(start), deadline }
    }

    fn abort(&mut self, outcome: AttemptOutcome) -> Chunk {
        if let Some(response) = self.response.take() {
            response.abandon(outcome);
        }
        Some(Err(IncompleteResponse))
    }
}

impl ChunkSource for StreamedResponse {
    async fn next_chunk(&mut self) -> Chunk {
        if let Some(start) = self.start.take() {
            return Some(Ok(start));
        }
        let response = self.response.as_mut()?;
        let read = tokio::select! {
            biased;
            read = response.read_next() => read,
            () = &mut self.deadline => return self.abort(AttemptOutcome::TimedOut),
        };
        match read {
            BodyRead::Data(data) => Some(Ok(data)),
            BodyRead::Broken => self.abort(AttemptOutcome::Broken),
            BodyRead::End => {
                let response = self.response.take()?;
                let outcome = response.outcome();
                response.complete(outcome);
                self.exchange.timeline.end = RequestEnd::Completed;
                None
            }
        }
    }
}
