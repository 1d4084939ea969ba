//! Reads that leave the buffers of the HTTP library small: it doubles a connection's buffer after a read that fills it, up to
//! some 400 KB, and keeps it.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, ReadBuf};

/// Longest single read in bytes, below the first buffer of the HTTP library.
pub(crate) const READ_BYTES: usize = 8 * 1024 - 1;

/// Reads at most [`READ_BYTES`] and returns how many bytes were read.
pub(crate) fn poll_short_read(
    stream: Pin<&mut impl AsyncRead>,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
) -> Poll<io::Result<usize>> {
    let count = {
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(buffer.remaining().min(READ_BYTES)));
        ready!(stream.poll_read(context, &mut part))?;
        part.filled().len()
    };
    buffer.advance(count);
    Poll::Ready(Ok(count))
}
