//! A stream that knows whether all that was written has gone out.
//!
//! The HTTP library takes a connection to a worker for ready once an answer has been read, also while the rest of the
//! request before it is still in its buffer: a worker may answer before it has read a long body. Another request on such
//! a connection would wait behind that body. On a client's connection the library may hold the end of an answer that
//! has been handed to it whole, until a slow client has read what came before.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Whether all that was to be written has been.
#[derive(Debug, Default)]
pub(crate) struct FlushState {
    pending: Cell<bool>,
    flushed: Notify,
    /// Streams that have something to write, where they are counted.
    count: Option<Rc<Cell<u32>>>,
}

impl FlushState {
    /// One that counts its stream for as long as something waits to be written.
    pub(crate) fn counted(count: Rc<Cell<u32>>) -> FlushState {
        FlushState { pending: Cell::default(), flushed: Notify::default(), count: Some(count) }
    }

    fn set_pending(&self, pending: bool) {
        let was_pending = self.pending.replace(pending);
        if let Some(count) = &self.count {
            count.set(count.get() + u32::from(pending) - u32::from(was_pending));
        }
    }

    /// Whether nothing waits to be written.
    pub(crate) fn is_all(&self) -> bool {
        !self.pending.get()
    }

    /// Waits until nothing waits to be written.
    pub(crate) async fn all(&self) {
        while self.pending.get() {
            self.flushed.notified().await;
        }
    }
}

impl Drop for FlushState {
    fn drop(&mut self) {
        self.set_pending(false);
    }
}

/// A stream with its [`FlushState`].
pub(crate) struct FlushTrackingStream<S> {
    stream: S,
    written: Rc<FlushState>,
}

impl<S> FlushTrackingStream<S> {
    /// Watches a stream.
    pub(crate) fn new(stream: S, written: Rc<FlushState>) -> FlushTrackingStream<S> {
        FlushTrackingStream { stream, written }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FlushTrackingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FlushTrackingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.written.set_pending(true);
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.written.set_pending(true);
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The library flushes only after it has written all of its buffer.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.written.set_pending(false);
        self.written.flushed.notify_waiters();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
