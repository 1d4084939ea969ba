//! Bodies of a stand-in worker's answers.

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::body::{Body, Frame};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// Whole, or a stream of events.
pub(super) type WorkerBody = Either<Full<Bytes>, EventBody>;

/// A whole body.
pub(super) fn whole(text: String) -> WorkerBody {
    Either::Left(Full::new(Bytes::from(text)))
}

/// Events as they come; it ends when their sender does.
pub(super) struct EventBody {
    events: mpsc::Receiver<Bytes>,
}

impl EventBody {
    /// A body of the events that come out of a channel.
    pub(super) fn new(events: mpsc::Receiver<Bytes>) -> EventBody {
        EventBody { events }
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.events.poll_recv(context).map(|event| event.map(|event| Ok(Frame::data(event))))
    }
}
