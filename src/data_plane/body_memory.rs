//! Limit on the memory that the bodies of all requests hold together.
//!
//! `maxBodyBytes` limits a single body and the descriptor limit the number of connections; their product is
//! far more than the memory of an edge machine. Every body therefore reserves its memory before it is read,
//! and the reservation ends with the last reference to the body's bytes.

use bytes::Bytes;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Unit of a reservation in bytes.
const BLOCK_BYTES: usize = 1024;

/// Share of the process's memory for request bodies. The rest is for the buffers of the connections, responses
/// that are read before they are forwarded, and the state of the system.
const BODY_MEMORY_SHARE: f64 = 0.4;

/// Share of the body memory that only small bodies may use, so that a few long ones do not keep them out.
const SMALL_BODY_SHARE: f64 = 0.1;

/// Longest body in bytes that counts as small.
const SMALL_BODY_BYTES: usize = 64 * 1024;

/// Memory for request bodies, in use and free.
#[derive(Debug)]
pub(crate) struct BodyMemory {
    free_blocks: Arc<Semaphore>,
    /// Number of free blocks that bodies other than small ones leave untouched.
    small_body_blocks: usize,
}

/// Memory reserved for one body. Dropping it returns the memory.
#[derive(Debug)]
pub(crate) struct Reservation {
    blocks: Option<OwnedSemaphorePermit>,
}

impl BodyMemory {
    /// The share of a process's memory limit, which is in megabytes, that bodies may use.
    pub(crate) fn from_memory_limit(memory_mb: u64) -> BodyMemory {
        let bytes = memory_mb.saturating_mul(1 << 20) as f64 * BODY_MEMORY_SHARE;
        let blocks = ((bytes / BLOCK_BYTES as f64) as usize).clamp(1, Semaphore::MAX_PERMITS);
        BodyMemory {
            free_blocks: Arc::new(Semaphore::new(blocks)),
            small_body_blocks: (blocks as f64 * SMALL_BODY_SHARE) as usize,
        }
    }

    /// Reserves memory for a body of this length, or returns `None` if too little is free.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<Reservation> {
        let mut reservation = Reservation { blocks: None };
        self.extend(&mut reservation, bytes).then_some(reservation)
    }

    /// Extends a reservation to this length. Returns whether enough memory was free; if not, the reservation
    /// is unchanged.
    pub(crate) fn extend(&self, reservation: &mut Reservation, bytes: usize) -> bool {
        let additional = bytes.div_ceil(BLOCK_BYTES).saturating_sub(reservation.block_count());
        let kept_free = if bytes <= SMALL_BODY_BYTES { 0 } else { self.small_body_blocks };
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

/// Bytes of a body together with their reservation.
struct ReservedBytes {
    bytes: Vec<u8>,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Couples the bytes to their reservation, which ends with the last reference to them.
pub(crate) fn reserved_bytes(bytes: Vec<u8>, reservation: Reservation) -> Bytes {
    Bytes::from_owner(ReservedBytes { bytes, _reservation: reservation })
}
