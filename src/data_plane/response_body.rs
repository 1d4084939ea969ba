//! Body of an answer to a client: whole, or pulled piece by piece from what produces it.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// The answer cannot be completed; the client's connection is closed so that it does not look complete.
#[derive(Debug, thiserror::Error)]
#[error("the worker's answer broke off")]
pub(crate) struct IncompleteResponse;

/// The next piece of a body, or `None` at its proper end.
pub(crate) type Piece = Option<Result<Bytes, IncompleteResponse>>;

/// What produces a body. Dropping it gives up the rest.
pub(crate) trait ChunkSource: Sized + 'static {
    /// Waits for the next piece.
    fn next_piece(&mut self) -> impl Future<Output = Piece>;
}

type Pull = Pin<Box<dyn Future<Output = (Piece, Box<dyn Pullable>)>>>;

trait Pullable {
    fn pull(self: Box<Self>) -> Pull;
}

impl<S: ChunkSource> Pullable for S {
    fn pull(mut self: Box<Self>) -> Pull {
        Box::pin(async move {
            let piece = self.next_piece().await;
            (piece, self as Box<dyn Pullable>)
        })
    }
}

/// Body of an answer.
pub(crate) enum ResponseBody {
    /// Bytes that are all there, until they are taken.
    Whole(Option<Bytes>),
    /// A body that comes piece by piece.
    Pulled(PulledBody),
}

/// A body under way.
pub(crate) struct PulledBody {
    pull: Option<Pull>,
    length: Option<u64>,
}

impl ResponseBody {
    /// A body without bytes.
    pub(crate) fn empty() -> ResponseBody {
        ResponseBody::Whole(None)
    }

    /// A body that is all there.
    pub(crate) fn full(bytes: Bytes) -> ResponseBody {
        ResponseBody::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// A body pulled from its source; `length` where it is known.
    pub(crate) fn streamed(source: impl ChunkSource, length: Option<u64>) -> ResponseBody {
        let source: Box<dyn Pullable> = Box::new(source);
        ResponseBody::Pulled(PulledBody { pull: Some(source.pull()), length })
    }
}

impl PulledBody {
    fn poll_piece(&mut self, context: &mut Context<'_>) -> Poll<Piece> {
        let Some(pull) = &mut self.pull else {
            return Poll::Ready(None);
        };
        let (piece, source) = ready!(pull.as_mut().poll(context));
        self.pull = match &piece {
            Some(Ok(_)) => Some(source.pull()),
            _ => None,
        };
        Poll::Ready(piece)
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        let piece = match self.get_mut() {
            ResponseBody::Whole(bytes) => bytes.take().map(Ok),
            ResponseBody::Pulled(body) => ready!(body.poll_piece(context)),
        };
        Poll::Ready(piece.map(|result| result.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Whole(bytes) => bytes.is_none(),
            ResponseBody::Pulled(body) => body.pull.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Pulled(body) => body.length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}
