//! Body of a response to a client: complete, or produced chunk by chunk on demand.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// The response cannot be completed. The client's connection is closed so that the response does not look
/// complete.
#[derive(Debug, thiserror::Error)]
#[error("the worker's response ended prematurely")]
pub(crate) struct IncompleteResponse;

/// The next chunk of a body, or `None` at its regular end.
pub(crate) type Chunk = Option<Result<Bytes, IncompleteResponse>>;

/// Produces the chunks of a body. Dropping it abandons the rest of the body.
pub(crate) trait ChunkSource: Sized + 'static {
    /// Waits for the next chunk.
    fn next_chunk(&mut self) -> impl Future<Output = Chunk>;
}

type NextChunk = Pin<Box<dyn Future<Output = (Chunk, Box<dyn BoxedChunkSource>)>>>;

trait BoxedChunkSource {
    fn into_next_chunk(self: Box<Self>) -> NextChunk;
}

impl<S: ChunkSource> BoxedChunkSource for S {
    fn into_next_chunk(mut self: Box<Self>) -> NextChunk {
        Box::pin(async move {
            let chunk = self.next_chunk().await;
            (chunk, self as Box<dyn BoxedChunkSource>)
        })
    }
}

/// Body of a response to a client.
pub(crate) enum ResponseBody {
    /// A complete body; `None` if it is empty or has been taken.
    Full(Option<Bytes>),
    /// A body that is produced chunk by chunk.
    Streamed(StreamedBody),
}

/// A body that is produced chunk by chunk.
pub(crate) struct StreamedBody {
    next_chunk: Option<NextChunk>,
    length: Option<u64>,
}

impl ResponseBody {
    /// An empty body.
    pub(crate) fn empty() -> ResponseBody {
        ResponseBody::Full(None)
    }

    /// A body that is already complete.
    pub(crate) fn full(bytes: Bytes) -> ResponseBody {
        ResponseBody::Full(Some(bytes).filter(|bytes| !bytes.is_empty()))
    }

    /// A body that is read from a source; `length` if it is known.
    pub(crate) fn streamed(source: impl ChunkSource, length: Option<u64>) -> ResponseBody {
        let source: Box<dyn BoxedChunkSource> = Box::new(source);
        ResponseBody::Streamed(StreamedBody { next_chunk: Some(source.into_next_chunk()), length })
    }
}

impl StreamedBody {
    fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Chunk> {
        let Some(next_chunk) = &mut self.next_chunk else {
            return Poll::Ready(None);
        };
        let (chunk, source) = ready!(next_chunk.as_mut().poll(context));
        self.next_chunk = match &chunk {
            Some(Ok(_)) => Some(source.into_next_chunk()),
            _ => None,
        };
        Poll::Ready(chunk)
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = IncompleteResponse;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteResponse>>> {
        let chunk = match self.get_mut() {
            ResponseBody::Full(bytes) => bytes.take().map(Ok),
            ResponseBody::Streamed(body) => ready!(body.poll_chunk(context)),
        };
        Poll::Ready(chunk.map(|result| result.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Full(bytes) => bytes.is_none(),
            ResponseBody::Streamed(body) => body.next_chunk.is_none(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Streamed(body) => body.length.map(SizeHint::with_exact).unwrap_or_default(),
        }
    }
}
