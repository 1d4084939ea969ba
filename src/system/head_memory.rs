//! Memory of request heads: a connection reserves it while a head comes in and holds it as long as the request is in work,
//! whose headers refer to the bytes that were read.
//!
//! The HTTP library bounds each head. Over all connections of a listener that is far more than the memory of a process.

#[cfg(test)]
mod tests;

use super::memory_budget::{MemoryBudget, Reservation};
use super::short_read::poll_short_read;
use std::cell::RefCell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of a head that need no reservation: they fit into the buffer that each connection has.
const FREE_BYTES: usize = 8 * 1024;

/// Buffer bytes for each byte of a head: a buffer that grows doubles.
const BUFFER_FACTOR: usize = 2;

/// Memory of the head that one connection reads or has read.
#[derive(Debug)]
pub(crate) struct HeadMemory {
    budget: MemoryBudget,
    head: RefCell<Head>,
}

#[derive(Debug)]
enum Head {
    /// So many bytes have come in since the last request.
    Reading { received: usize, reservation: Option<Reservation> },
    /// The request is in work.
    Complete,
}

impl Head {
    const EMPTY: Head = Head::Reading { received: 0, reservation: None };
}

/// Holds the memory of a request's head. Dropping it returns the memory; the connection then reads the next head.
#[derive(Debug)]
pub(crate) struct RequestHeadMemory {
    connection: Rc<HeadMemory>,
    _reservation: Option<Reservation>,
}

impl HeadMemory {
    /// Memory of one connection, from the budget of all of them.
    pub(crate) fn new(budget: MemoryBudget) -> Rc<HeadMemory> {
        Rc::new(HeadMemory { budget, head: RefCell::new(Head::EMPTY) })
    }

    /// The head has been read.
    pub(crate) fn head_complete(self: &Rc<Self>) -> RequestHeadMemory {
        let reservation = match self.head.replace(Head::Complete) {
            Head::Reading { reservation, .. } => reservation,
            Head::Complete => None,
        };
        RequestHeadMemory { connection: self.clone(), _reservation: reservation }
    }

    /// Counts bytes that were read.
    ///
    /// # Errors
    /// The head is long, and those of other requests hold the memory.
    fn received(&self, count: usize) -> io::Result<()> {
        let mut head = self.head.borrow_mut();
        let Head::Reading { received, reservation } = &mut *head else { return Ok(()) };
        *received += count;
        if *received <= FREE_BYTES {
            return Ok(());
        }
        let needed = *received * BUFFER_FACTOR;
        match self.budget.reserve_or_extend(reservation, needed) {
            true => Ok(()),
            false => {
                Err(io::Error::new(io::ErrorKind::OutOfMemory, "the heads of other requests hold the memory"))
            }
        }
    }
}

impl Drop for RequestHeadMemory {
    fn drop(&mut self) {
        self.connection.head.replace(Head::EMPTY);
    }
}

/// A server connection's stream whose reads are counted.
#[derive(Debug)]
pub(crate) struct HeadMemoryStream<S> {
    stream: S,
    memory: Rc<HeadMemory>,
}

impl<S> HeadMemoryStream<S> {
    /// Wraps a stream. A read fails once its head finds no memory.
    pub(crate) fn new(stream: S, memory: Rc<HeadMemory>) -> HeadMemoryStream<S> {
        HeadMemoryStream { stream, memory }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadMemoryStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let count = ready!(poll_short_read(Pin::new(&mut self.stream), context, buffer))?;
        Poll::Ready(self.memory.received(count))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadMemoryStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
