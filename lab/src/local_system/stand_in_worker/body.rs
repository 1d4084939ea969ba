//! Bodies of a stand-in worker's answers.

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame};
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The worker breaks off in the middle of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the worker has broken off")]
pub struct BrokenOff;

/// Whole, or a stream of events.
pub(super) type WorkerBody = Either<Full<Bytes>, EventBody>;

/// A whole body.
pub(super) fn whole(text: String) -> WorkerBody {
    Either::Left(Full::new(Bytes::from(text)))
}

/// Events as they come; it ends when their sender does.
pub(super) struct EventBody {
    events: mpsc::Receiver<Result<Bytes, BrokenOff>>,
}

impl EventBody {
    /// A body of the events that come out of a channel.
    pub(super) fn new(events: mpsc::Receiver<Result<Bytes, BrokenOff>>) -> EventBody {
        EventBody { events }
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        self.events.poll_recv(context).map(|event| event.map(|event| event.map(Frame::data)))
    }
}
