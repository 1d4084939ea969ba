//! What the `h2` crate needs to be polled by a loop of ours: its socket's traits and its wakers.

use crate::memory::pool::Token;
use std::cell::{Cell, RefCell};
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Wake, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// A socket as `h2` reads and writes it; what it could not write is told to the loop.
#[derive(Clone)]
pub(super) struct Io(Rc<Shared>);

struct Shared {
    socket: TcpStream,
    /// Bytes that were read before it was known to be HTTP/2.
    prefix: RefCell<Vec<u8>>,
    /// The poller has said that there is something to read, and not all of it has been read since.
    readable: Cell<bool>,
    write_blocked: Cell<bool>,
    heard: Cell<bool>,
}

impl Io {
    pub(super) fn new(socket: TcpStream, prefix: Vec<u8>) -> Self {
        let flag = || Cell::new(false);
        let (prefix, readable) = (RefCell::new(prefix), Cell::new(true));
        Self(Rc::new(Shared { socket, prefix, readable, write_blocked: flag(), heard: flag() }))
    }

    pub(super) fn socket(&self) -> &TcpStream {
        &self.0.socket
    }

    /// The poller says that there is something to read.
    pub(super) fn mark_readable(&self) {
        self.0.readable.set(true);
    }

    /// The socket takes no more bytes now.
    pub(super) fn write_blocked(&self) -> bool {
        self.0.write_blocked.get()
    }

    /// Whether bytes have come since the last call.
    pub(super) fn take_heard(&self) -> bool {
        self.0.heard.take()
    }
}

fn pending<T>(result: io::Result<T>) -> Poll<io::Result<T>> {
    match result {
        // The loop watches the socket and polls the connection anew; no waker needs to be kept.
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => Poll::Pending,
        other => Poll::Ready(other),
    }
}

impl AsyncRead for Io {
    fn poll_read(self: Pin<&mut Self>, _: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut prefix = self.0.prefix.borrow_mut();
        if !prefix.is_empty() {
            let n = prefix.len().min(buf.remaining());
            buf.put_slice(&prefix[..n]);
            prefix.drain(..n);
            return Poll::Ready(Ok(()));
        }
        // The library reads at every poll, and most polls are for something else than bytes that came: tried
        // each time, seven of nine reads of a stream found nothing.
        if !self.0.readable.get() {
            return Poll::Pending;
        }
        let space = buf.initialize_unfilled();
        let read = (&self.0.socket).read(space);
        // What is left, or comes later, raises the next event: the poller is in level mode.
        self.0.readable.set(matches!(read, Ok(n) if n == space.len()));
        pending(read.map(|n| {
            self.0.heard.set(true);
            buf.advance(n);
        }))
    }
}

impl AsyncWrite for Io {
    fn poll_write(self: Pin<&mut Self>, _: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = pending((&self.0.socket).write(bytes));
        self.0.write_blocked.set(written.is_pending());
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = pending((&self.0.socket).write_vectored(slices));
        self.0.write_blocked.set(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The other side may have closed first.
        let _ = self.0.socket.shutdown(std::net::Shutdown::Write);
        Poll::Ready(Ok(()))
    }
}

/// Connections that are to be polled though nothing came on their sockets.
#[derive(Clone, Default)]
pub(super) struct Woken(Arc<Mutex<Vec<Token>>>);

impl Woken {
    /// Takes all tokens marked so far.
    pub(super) fn take(&self) -> Vec<Token> {
        // A poisoned lock still holds plain tokens.
        std::mem::take(&mut *self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner).is_empty()
    }

    /// A waker for one part of a connection, with the flag that it sets.
    pub(super) fn waker(&self, token: Token) -> (Waker, Arc<Flag>) {
        let flag = Arc::new(Flag { raised: AtomicBool::new(true), token, woken: self.clone() });
        (Waker::from(flag.clone()), flag)
    }
}

/// Raised when its part of a connection is to be polled; new ones are.
pub(super) struct Flag {
    raised: AtomicBool,
    token: Token,
    woken: Woken,
}

impl Flag {
    pub(super) fn lower(&self) -> bool {
        self.raised.swap(false, Ordering::Relaxed)
    }
}

impl Wake for Flag {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        if !self.raised.swap(true, Ordering::Relaxed) {
            let mut tokens = self.woken.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
            tokens.push(self.token);
        }
    }
}
