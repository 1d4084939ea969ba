//! A stream to a worker that knows whether all that was written has gone out.
//!
//! The HTTP library takes a connection for ready once an answer has been read, also while the rest of the request
//! before it is still in its buffer: a worker may answer before it has read a long body. Another request on such a
//! connection would wait behind that body.

use super::connector::WorkerStream;
use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;

/// Whether all that was to be written has been.
#[derive(Debug, Default)]
pub(crate) struct Written {
    pending: Cell<bool>,
    flushed: Notify,
}

impl Written {
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

/// A stream with its [`Written`].
pub(crate) struct WatchedStream {
    stream: Box<dyn WorkerStream>,
    written: Rc<Written>,
}

impl WatchedStream {
    /// Watches a stream.
    pub(crate) fn new(stream: Box<dyn WorkerStream>, written: Rc<Written>) -> WatchedStream {
        WatchedStream { stream, written }
    }
}

impl AsyncRead for WatchedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WatchedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.written.pending.set(true);
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.written.pending.set(true);
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// The library flushes only after it has written all of its buffer.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.written.pending.set(false);
        self.written.flushed.notify_waiters();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
