//! When the other side of a connection has last taken something.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::AsyncWrite;
use tokio::time::Instant;

/// A writer that notes when bytes are taken from it.
pub(super) struct ProgressWriter<W> {
    writer: W,
    progress: Progress,
}

/// When bytes were last taken.
#[derive(Clone)]
pub(super) struct Progress(Rc<Cell<Instant>>);

impl<W> ProgressWriter<W> {
    pub(super) fn new(writer: W) -> Self {
        ProgressWriter { writer, progress: Progress(Rc::new(Cell::new(Instant::now()))) }
    }

    pub(super) fn progress(&self) -> Progress {
        self.progress.clone()
    }
}

impl Progress {
    /// Counts from now on: before there was nothing to take.
    pub(super) fn now(&self) {
        self.0.set(Instant::now());
    }

    /// Completes once nothing has been taken for so long.
    pub(super) async fn stalled_for(&self, longest: Duration) {
        loop {
            let due = self.0.get() + longest;
            if Instant::now() >= due {
                return;
            }
            tokio::time::sleep_until(due).await;
        }
    }
}

impl<W: AsyncWrite + Unpin> AsyncWrite for ProgressWriter<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let taken = ready!(Pin::new(&mut self.writer).poll_write(context, bytes))?;
        if taken > 0 {
            self.progress.now();
        }
        Poll::Ready(Ok(taken))
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(context)
    }
}
