//! Stream wrapper that tracks whether all written data has been flushed, and reads little at a time.
//!
//! The HTTP library considers a worker connection ready as soon as the response has been read, even if the
//! rest of the request is still in its write buffer: a worker may respond before it has read a long body.
//! Another request on such a connection would wait behind that body. On a client connection the library may
//! still buffer the end of a complete response until a slow client has read the data before it.

use crate::system::short_read::poll_short_read;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Whether the stream has data that is not flushed yet.
#[derive(Debug, Default)]
pub(crate) struct FlushState {
    pending: Cell<bool>,
    flush_completed: Notify,
    /// Counter of streams with unflushed data, if they are counted.
    count: Option<Rc<Cell<u32>>>,
}

impl FlushState {
    /// A state that includes its stream in `count` while the stream has unflushed data.
    pub(crate) fn counted(count: Rc<Cell<u32>>) -> FlushState {
        FlushState { pending: Cell::default(), flush_completed: Notify::default(), count: Some(count) }
    }

    fn set_pending(&self, pending: bool) {
        let was_pending = self.pending.replace(pending);
        if let Some(count) = &self.count {
            count.set(count.get() + u32::from(pending) - u32::from(was_pending));
        }
    }

    /// Whether all written data has been flushed.
    pub(crate) fn is_flushed(&self) -> bool {
        !self.pending.get()
    }

    /// Waits until all written data has been flushed.
    pub(crate) async fn flushed(&self) {
        while self.pending.get() {
            self.flush_completed.notified().await;
        }
    }
}

impl Drop for FlushState {
    fn drop(&mut self) {
        self.set_pending(false);
    }
}

/// A stream that keeps a [`FlushState`] up to date.
pub(crate) struct FlushTrackingStream<S> {
    stream: S,
    state: Rc<FlushState>,
}

impl<S> FlushTrackingStream<S> {
    /// Wraps a stream; `state` reports whether it is flushed.
    pub(crate) fn new(stream: S, state: Rc<FlushState>) -> FlushTrackingStream<S> {
        FlushTrackingStream { stream, state }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FlushTrackingStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        poll_short_read(Pin::new(&mut self.stream), context, buffer).map_ok(|_| ())
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FlushTrackingStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.state.set_pending(true);
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.state.set_pending(true);
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The HTTP library flushes only after it has written its whole buffer, so a completed flush means that
    /// nothing is pending.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.state.set_pending(false);
        self.state.flush_completed.notify_waiters();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
