//! A long answer, passed on as it comes.

use super::exchange::Exchange;
use super::request_log::RequestEnd;
use super::response_body::{AnswerBroken, Piece, PieceSource};
use super::worker_response::{BodyStep, WorkerAnswer};
use bytes::Bytes;
use std::pin::Pin;
use switchhill_routing::AttemptOutcome;
use tokio::time::Sleep;

/// The body of a long answer.
pub(crate) struct PipedAnswer {
    // Held until the answer ends: it counts as a running request.
    exchange: Exchange,
    answer: Option<WorkerAnswer>,
    start: Option<Bytes>,
    deadline: Pin<Box<Sleep>>,
}

impl PipedAnswer {
    /// A body that begins with `start`.
    pub(crate) fn new(exchange: Exchange, answer: WorkerAnswer, start: Bytes) -> PipedAnswer {
        let deadline = Box::pin(tokio::time::sleep_until(exchange.deadline));
        PipedAnswer { exchange, answer: Some(answer), start: Some(start), deadline }
    }

    fn end(&mut self, outcome: AttemptOutcome) -> Piece {
        if let Some(answer) = self.answer.take() {
            answer.abandon(outcome);
        }
        Some(Err(AnswerBroken))
    }
}

impl PieceSource for PipedAnswer {
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
            BodyStep::Data(data) => Some(Ok(data)),
            BodyStep::Broken => self.end(AttemptOutcome::Broken),
            BodyStep::End => {
                let answer = self.answer.take()?;
                let outcome = answer.outcome();
                answer.complete(outcome);
                self.exchange.timeline.end = RequestEnd::Answered;
                None
            }
        }
    }
}
