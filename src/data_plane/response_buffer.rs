//! The beginning of a worker's response, read before it is forwarded.

use crate::system::memory_budget::{reserved_bytes, MemoryBudget, Reservation};
use bytes::{Bytes, BytesMut};

/// Bytes read so far. What exceeds the first piece is reserved from the memory for all responses.
pub(super) struct ResponseBuffer<'a> {
    memory: &'a MemoryBudget,
    /// The first piece as it was read. Most responses have no other one.
    first: Bytes,
    /// All pieces, once there is a second one.
    joined: BytesMut,
    reservation: Option<Reservation>,
}

impl<'a> ResponseBuffer<'a> {
    /// An empty buffer.
    pub(super) fn new(memory: &'a MemoryBudget) -> ResponseBuffer<'a> {
        ResponseBuffer { memory, first: Bytes::new(), joined: BytesMut::new(), reservation: None }
    }

    pub(super) fn len(&self) -> usize {
        self.first.len().max(self.joined.len())
    }

    /// Appends a piece. Returns whether there is memory for more after it.
    pub(super) fn push(&mut self, piece: Bytes) -> bool {
        if self.len() == 0 {
            self.first = piece;
            return true;
        }
        let length = self.len() + piece.len();
        let capacity = length.next_power_of_two();
        let is_reserved = self.memory.reserve_or_extend(&mut self.reservation, capacity);
        let capacity = if is_reserved { capacity } else { length };
        let first = std::mem::take(&mut self.first);
        self.joined.reserve(capacity - self.joined.len());
        self.joined.extend_from_slice(&first);
        self.joined.extend_from_slice(&piece);
        is_reserved
    }

    /// The bytes, with their reservation.
    pub(super) fn into_bytes(self) -> Bytes {
        match self.reservation {
            Some(reservation) => reserved_bytes(self.joined, reservation),
            None if self.joined.is_empty() => self.first,
            None => self.joined.freeze(),
        }
    }
}
