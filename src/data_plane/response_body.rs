//! Body of an answer to a client: whole, or pulled piece by piece from what produces it.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// The answer cannot be completed; the client's connection is closed so that it does not look complete.
#[derive(Debug, thiserror::Error)]
#[error("the worker's answer broke off")]
pub(crate) struct AnswerBroken;

/// The next piece of a body, or `None` at its proper end.
pub(crate) type Piece = Option<Result<Bytes, AnswerBroken>>;

/// What produces a body. Dropping it gives up the rest.
pub(crate) trait PieceSource: Sized + 'static {
    /// Waits for the next piece.
    fn next_piece(&mut self) -> impl Future<Output = Piece>;
}

type Pull = Pin<Box<dyn Future<Output = (Piece, Box<dyn Pullable>)>>>;

trait Pullable {
    fn pull(self: Box<Self>) -> Pull;
}

impl<S: PieceSource> Pullable for S {
    fn pull(mut self: Box<Self>) -> Pull {
        Box::pin(async move {
            let piece = self.next_piece().await;
            (piece, self as Box<dyn Pullable>)
        })
    }
}

/// Body of an answer.
pub(crate) enum AnswerBody {
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

impl AnswerBody {
    /// A body without bytes.
    pub(crate) fn empty() -> AnswerBody {
        AnswerBody::Whole(None)
    }

    /// A body that is all there.
    pub(crate) fn whole(bytes: Bytes) -> AnswerBody {
        AnswerBody::Whole(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// A body pulled from its source; `length` where it is known.
    pub(crate) fn pulled(source: impl PieceSource, length: Option<u64>) -> AnswerBody {
        let source: Box<dyn Pullable> = Box::new(source);
        AnswerBody::Pulled(PulledBody { pull: Some(source.pull()), length })
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

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerBroken>>> {
        let piece = match self.get_mut() {
            AnswerBody::Whole(bytes) => bytes.take().map(Ok),
            AnswerBody::Pulled(body) => ready!(body.poll_piece(context)),
        };
        Poll::Ready(piece.map(|result| result.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(bytes) => bytes.is_none(),
            AnswerBody::Pulled(body) => body.pull.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            AnswerBody::Pulled(body) => body.length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}
