//! Reading a request's body, within the limit of a single body and the memory for all of them.

use super::memory_budget::{reserved_bytes, MemoryBudget, Reservation};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use std::time::Duration;
use tokio::time::timeout;

/// Initial buffer in bytes for a body whose length is not known in advance.
const INITIAL_CAPACITY: usize = 16 * 1024;

/// Why a body was not read completely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ReadBodyError {
    /// The body is longer than the configuration allows.
    #[error("the body is too long")]
    TooLong,
    /// The connection failed, or the body is malformed.
    #[error("the body cannot be read")]
    Unreadable,
    /// Bodies of other requests hold the memory.
    #[error("too little memory is free")]
    OutOfMemory,
}

/// Reads a body of at most `max_bytes`. Its memory is reserved before it is read, and the reservation ends with
/// the last reference to the bytes.
///
/// # Errors
/// The body is too long or cannot be read, or too little memory is free.
pub(crate) async fn read(
    memory: &MemoryBudget,
    body: &mut Incoming,
    max_bytes: usize,
) -> Result<Bytes, ReadBodyError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let mut buffer = BodyBuffer::for_body(memory, body, max_bytes)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadBodyError::Unreadable)?;
        // Trailers apply only to this connection and are not forwarded.
        if let Ok(data) = frame.into_data() {
            buffer.push(&data)?;
        }
    }
    Ok(buffer.into_bytes())
}

/// Reads and drops the rest of a body, so that the client can send all of it, read the response and use the
/// connection again. Gives up after the time limit, which closes the connection. What the request holds of its connection is
/// dropped at the end.
pub(crate) async fn discard<H>(mut body: Incoming, limit: Duration, _in_work: H) {
    let read_all = async { while let Some(Ok(_)) = body.frame().await {} };
    if timeout(limit, read_all).await.is_err() {
        log::debug!("the body of a refused request was not received in time");
    }
}

/// A body that is being read.
struct BodyBuffer<'a> {
    memory: &'a MemoryBudget,
    max_bytes: usize,
    bytes: Vec<u8>,
    reservation: Reservation,
}

impl BodyBuffer<'_> {
    /// A buffer for the whole body if its length is known, or else for the start of it.
    fn for_body<'a>(
        memory: &'a MemoryBudget,
        body: &Incoming,
        max_bytes: usize,
    ) -> Result<BodyBuffer<'a>, ReadBodyError> {
        let length = body.size_hint().exact().map(|length| usize::try_from(length).unwrap_or(usize::MAX));
        if length.is_some_and(|length| length > max_bytes) {
            return Err(ReadBodyError::TooLong);
        }
        let capacity = length.unwrap_or(INITIAL_CAPACITY.min(max_bytes));
        let reservation = memory.reserve(capacity).ok_or(ReadBodyError::OutOfMemory)?;
        Ok(BodyBuffer { memory, max_bytes, bytes: Vec::with_capacity(capacity), reservation })
    }

    fn push(&mut self, data: &[u8]) -> Result<(), ReadBodyError> {
        let length = self.bytes.len() + data.len();
        if length > self.max_bytes {
            return Err(ReadBodyError::TooLong);
        }
        if length > self.bytes.capacity() {
            self.grow(length)?;
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    fn grow(&mut self, length: usize) -> Result<(), ReadBodyError> {
        let capacity = length.max(2 * self.bytes.capacity()).min(self.max_bytes);
        if !self.memory.extend(&mut self.reservation, capacity) {
            return Err(ReadBodyError::OutOfMemory);
        }
        self.bytes.reserve_exact(capacity - self.bytes.len());
        Ok(())
    }

    fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.reservation.shrink(self.bytes.len());
        reserved_bytes(self.bytes, self.reservation)
    }
}
