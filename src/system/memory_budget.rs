//! Limit on the memory that data of many sources holds together, such as the bodies of all requests.
//!
//! A limit on each single piece and one on their number multiply to far more than the memory of a machine. Every piece
//! therefore reserves its memory before it is read or queued, and the reservation ends with the last reference to its bytes.

use bytes::Bytes;
use std::fmt;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Unit of a reservation in bytes.
const BLOCK_BYTES: usize = 1024;

/// Share of a budget that only small pieces may use, so that a few large ones do not keep them out.
const SMALL_PIECE_SHARE: f64 = 0.1;

/// Largest piece in bytes that counts as small.
const SMALL_PIECE_BYTES: usize = 64 * 1024;

/// Memory for the pieces of one kind, in use and free. Clones share it.
#[derive(Debug, Clone)]
pub(crate) struct MemoryBudget {
    /// What the pieces are, for the log.
    name: &'static str,
    blocks: usize,
    free_blocks: Arc<Semaphore>,
    /// Number of free blocks that pieces other than small ones leave untouched.
    small_piece_blocks: usize,
}

/// Memory reserved for one piece. Dropping it returns the memory.
#[derive(Debug)]
pub(crate) struct Reservation {
    blocks: Option<OwnedSemaphorePermit>,
}

impl MemoryBudget {
    /// Memory for pieces that the log calls `name`: a share of a process's memory limit, which is in megabytes.
    pub(crate) fn new(name: &'static str, memory_mb: u64, share: f64) -> MemoryBudget {
        let bytes = memory_mb.saturating_mul(1 << 20) as f64 * share;
        let blocks = ((bytes / BLOCK_BYTES as f64) as usize).clamp(1, Semaphore::MAX_PERMITS);
        MemoryBudget {
            name,
            blocks,
            free_blocks: Arc::new(Semaphore::new(blocks)),
            small_piece_blocks: (blocks as f64 * SMALL_PIECE_SHARE) as usize,
        }
    }

    /// Reserves memory for a piece of this length, or returns `None` if too little is free.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation { blocks: None };
        self.extend(&mut reservation, bytes).then_some(reservation)
    }

    /// Reserves memory of this length, or extends a reservation to it. Returns whether enough was free.
    pub(crate) fn reserve_or_extend(&self, reservation: &mut Option<Reservation>, bytes: usize) -> bool {
        let mut extended = reservation.take().unwrap_or(Reservation { blocks: None });
        let is_reserved = self.extend(&mut extended, bytes);
        *reservation = Some(extended);
        is_reserved
    }

    /// Extends a reservation to this length. Returns whether enough memory was free; if not, the reservation
    /// is unchanged.
    pub(crate) fn extend(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let additional = bytes.div_ceil(BLOCK_BYTES).saturating_sub(reservation.block_count());
        let kept_free = if bytes <= SMALL_PIECE_BYTES { 0 } else { self.small_piece_blocks };
        if additional.saturating_add(kept_free) > self.free_blocks.available_permits() {
            return false;
        }
        let additional = u32::try_from(additional).unwrap_or(u32::MAX);
        match self.free_blocks.clone().try_acquire_many_owned(additional) {
            Ok(blocks) => reservation.add(blocks),
            Err(_) => return false,
        }
        true
    }

    /// Number of bytes that are not reserved.
    #[cfg(test)]
    pub(crate) fn free_bytes(&self) -> usize {
        self.free_blocks.available_permits() * BLOCK_BYTES
    }
}

/// What is reserved of how much, such as `bodies 3.0 of 104.0 MB`.
impl fmt::Display for MemoryBudget {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let megabytes = |blocks: usize| (blocks * BLOCK_BYTES) as f64 / f64::from(1 << 20);
        let reserved = self.blocks - self.free_blocks.available_permits();
        write!(formatter, "{} {:.1} of {:.1} MB", self.name, megabytes(reserved), megabytes(self.blocks))
    }
}

impl Reservation {
    fn block_count(&self) -> usize {
        self.blocks.as_ref().map_or(0, OwnedSemaphorePermit::num_permits)
    }

    fn add(&mut self, blocks: OwnedSemaphorePermit) {
        match &mut self.blocks {
            Some(held) => held.merge(blocks),
            None => self.blocks = Some(blocks),
        }
    }

    /// Returns what exceeds this length.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let excess = self.block_count().saturating_sub(bytes.div_ceil(BLOCK_BYTES));
        if let Some(blocks) = &mut self.blocks {
            drop(blocks.split(excess));
        }
    }
}

/// Bytes together with their reservation.
struct ReservedBytes<B> {
    bytes: B,
    _reservation: Reservation,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for ReservedBytes<B> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Couples the bytes to their reservation, which ends with the last reference to them.
pub(crate) fn reserved_bytes(bytes: impl AsRef<[u8]> + Send + 'static, reservation: Reservation) -> Bytes {
    Bytes::from_owner(ReservedBytes { bytes, _reservation: reservation })
}
