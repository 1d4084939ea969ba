//! Reading of internal messages within the memory for all that are being read.

#[cfg(test)]
mod tests;

use super::memory_budget::{MemoryBudget, Reservation};
use bytes::Bytes;
use prost::Message;
use std::time::Duration;
use switchhill_protocol::{read_frame_body, read_frame_length, FrameError};
use tokio::io::AsyncRead;

/// Share of a process's memory for the messages that are being read.
const MEMORY_SHARE: f64 = 0.125;

/// Longest message in bytes that needs no reservation.
const FREE_BYTES: usize = 4 * 1024;

/// Time for a message to come in once it has begun. One that stands still must not hold its memory.
const WITHIN: Duration = Duration::from_secs(10);

/// Memory for the messages that are being read over all connections of a process, whose limit is in megabytes.
pub(crate) fn incoming_memory(memory_mb: u64) -> MemoryBudget {
    MemoryBudget::new("messages being read", memory_mb, MEMORY_SHARE)
}

/// Waits for the next message and reads it.
///
/// # Errors
/// The connection failed or brought what is no message; the message stood still, or others hold the memory.
pub(crate) async fn read_message<M, R>(memory: &MemoryBudget, reader: &mut R) -> Result<M, FrameError>
where
    M: Message + Default,
    R: AsyncRead + Unpin,
{
    let length = read_frame_length(reader).await?;
    let mut reservation: Option<Reservation> = None;
    let reserve = |bytes: usize| bytes <= FREE_BYTES || memory.reserve_or_extend(&mut reservation, bytes);
    let body = tokio::time::timeout(WITHIN, read_frame_body(reader, length, reserve)).await;
    let body = body.map_err(|_| FrameError::Late(length))??;
    // Parts of the message that are bytes refer to those that were read.
    Ok(M::decode(Bytes::from(body))?)
}
