//! A connection to a worker that is reset when the call on it is given up.

use anyhow::Context as _;
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Whether the answer was read whole.
#[derive(Debug, Clone, Default)]
pub(super) struct Answered(Rc<Cell<bool>>);

impl Answered {
    /// Notes that it was.
    pub(super) fn set(&self) {
        self.0.set(true);
    }
}

/// A connection to a worker. It is reset when it is dropped before the answer is whole: what the network still holds of
/// the request is lost then, where an orderly close would have it delivered whenever a cut ends.
#[derive(Debug)]
pub(super) struct WorkerStream {
    stream: TcpStream,
    answered: Answered,
}

impl WorkerStream {
    /// Connects. The system itself gives the connection up when bytes stay unacknowledged for the time told, also while
    /// this process does not run.
    pub(super) async fn connect(
        address: &str,
        unacknowledged_for: Duration,
        answered: Answered,
    ) -> anyhow::Result<WorkerStream> {
        let stream = TcpStream::connect(address).await.context("connect")?;
        stream.set_nodelay(true)?;
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(unacknowledged_for));
        Ok(WorkerStream { stream, answered })
    }
}

impl Drop for WorkerStream {
    fn drop(&mut self) {
        if !self.answered.0.get() {
            let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for WorkerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        to: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, to)
    }
}

impl AsyncWrite for WorkerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        from: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, from)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
