//! A long answer, passed on as it comes.

use super::exchange::Exchange;
use super::request_log::RequestEnd;
use super::response_body::{ChunkSource, IncompleteResponse, Piece};
use super::worker_response::{BodyRead, WorkerResponse};
use bytes::Bytes;
use std::pin::Pin;
use switchhill_routing::AttemptOutcome;
use tokio::time::Sleep;

/// The body of a long answer.
pub(crate) struct StreamedResponse {
    // Held until the answer ends: it counts as a running request.
    exchange: Exchange,
    answer: Option<WorkerResponse>,
    start: Option<Bytes>,
    deadline: Pin<Box<Sleep>>,
}

impl StreamedResponse {
    /// A body that begins with `start`.
    pub(crate) fn new(exchange: Exchange, answer: WorkerResponse, start: Bytes) -> StreamedResponse {
        let deadline = Box::pin(tokio::time::sleep_until(exchange.deadline));
        StreamedResponse { exchange, answer: Some(answer), start: Some(start), deadline }
    }

    fn end(&mut self, outcome: AttemptOutcome) -> Piece {
        if let Some(answer) = self.answer.take() {
            answer.abandon(outcome);
        }
        Some(Err(IncompleteResponse))
    }
}

impl ChunkSource for StreamedResponse {
    async fn next_piece(&mut self) -> Piece {
        if let Some(start) = self.start.take() {
            return Some(Ok(start));
        }
        let answer = self.answer.as_mut()?;
        let step = tokio::select! {
            biased;
            step = answer.next_step() => step,
            () = &mut self.deadline => return self.end(AttemptOutcome::TimedOut),
        };
        match step {
            BodyRead::Data(data) => Some(Ok(data)),
            BodyRead::Broken => self.end(AttemptOutcome::Broken),
            BodyRead::End => {
                let answer = self.answer.take()?;
                let outcome = answer.outcome();
                answer.complete(outcome);
                self.exchange.timeline.end = RequestEnd::Completed;
                None
            }
        }
    }
}
