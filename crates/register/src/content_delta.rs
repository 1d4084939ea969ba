//! The difference between two contents of the register, for replicas that hold the older one.
//!
//! What both begin and end with is left out, and what lies between is told by the algorithm of rsync (Tridgell and Mackerras,
//! 1996). Successive contents of the register are mostly the same.

use bytes::Bytes;
use fast_rsync::{apply_limited, diff, Signature, SignatureOptions};
use prost::Message;
use xxhash_rust::xxh3::xxh3_64;

use crate::DecodeError;

/// Shortest content in bytes for which a difference is looked for.
const SHORTEST_BYTES: usize = 512;

/// Longest content in bytes that a difference leads to: above any register value.
const LONGEST_BYTES: usize = 1 << 28;

/// Bytes of the blocks in which the middle of the older content is looked for.
const BLOCK_BYTES: u32 = 256;

/// Bytes of a block's digest. A wrong match would show in the checksum of the whole.
const DIGEST_BYTES: u32 = 8;

/// The difference between two contents, encoded.
#[derive(Clone, PartialEq, Message)]
struct Difference {
    /// Bytes that both begin with.
    #[prost(uint64, tag = "1")]
    prefix: u64,
    /// Bytes that both end with.
    #[prost(uint64, tag = "2")]
    suffix: u64,
    /// What leads from the middle of the older content to that of the newer one.
    #[prost(bytes = "bytes", tag = "3")]
    middle: Bytes,
    /// Length of the newer content.
    #[prost(uint64, tag = "4")]
    length: u64,
    /// Checksum of the newer content.
    #[prost(fixed64, tag = "5")]
    checksum: u64,
}

/// Why a difference does not lead to a content.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DifferenceError {
    /// The bytes are no difference.
    #[error("the difference does not decode: {0}")]
    Malformed(#[from] DecodeError),
    /// It leads from another content.
    #[error("the difference leads from another content")]
    OtherBase,
}

/// What leads from `old` to `new`, unless it is not much shorter than `new` itself.
pub(crate) fn difference(old: &[u8], new: &[u8]) -> Option<Bytes> {
    if new.len() < SHORTEST_BYTES {
        return None;
    }
    let prefix = common_prefix(old, new);
    let suffix = common_suffix(&old[prefix..], &new[prefix..]);
    let (old_middle, new_middle) = (middle(old, prefix, suffix), middle(new, prefix, suffix));
    let options = SignatureOptions { block_size: BLOCK_BYTES, crypto_hash_size: DIGEST_BYTES };
    let signature = Signature::calculate(old_middle, options);
    let mut told = Vec::new();
    diff(&signature.index(), new_middle, &mut told).ok()?;
    if told.len() > new.len() / 2 {
        return None;
    }
    let difference = Difference {
        prefix: prefix as u64,
        suffix: suffix as u64,
        middle: told.into(),
        length: new.len() as u64,
        checksum: xxh3_64(new),
    };
    Some(difference.encode_to_vec().into())
}

/// The content that a difference leads to from `old`.
///
/// # Errors
/// The bytes are no difference, or lead from another content than `old`.
pub(crate) fn apply(old: &[u8], difference: &Bytes) -> Result<Bytes, DifferenceError> {
    let difference = Difference::decode(difference.clone()).map_err(DecodeError::from)?;
    let [prefix, suffix, length] = [difference.prefix, difference.suffix, difference.length]
        .map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    let fits = prefix.checked_add(suffix).is_some_and(|ends| ends <= old.len().min(length));
    if !fits || length > LONGEST_BYTES {
        return Err(DifferenceError::OtherBase);
    }
    let mut new = Vec::with_capacity(length);
    new.extend_from_slice(&old[..prefix]);
    let rest = length - prefix - suffix;
    apply_limited(middle(old, prefix, suffix), &difference.middle, &mut new, rest)
        .map_err(|_| DifferenceError::OtherBase)?;
    new.extend_from_slice(&old[old.len() - suffix..]);
    match new.len() == length && xxh3_64(&new) == difference.checksum {
        true => Ok(new.into()),
        false => Err(DifferenceError::OtherBase),
    }
}

fn middle(content: &[u8], prefix: usize, suffix: usize) -> &[u8] {
    &content[prefix..content.len() - suffix]
}

/// Bytes that are compared at once.
const COMPARED_BYTES: usize = 4096;

fn common_prefix(one: &[u8], other: &[u8]) -> usize {
    let chunks = one.chunks(COMPARED_BYTES).zip(other.chunks(COMPARED_BYTES));
    let same = chunks.take_while(|(one, other)| one == other).map(|(one, _)| one.len()).sum::<usize>();
    same + one[same..].iter().zip(&other[same..]).take_while(|(one, other)| one == other).count()
}

fn common_suffix(one: &[u8], other: &[u8]) -> usize {
    let chunks = one.rchunks(COMPARED_BYTES).zip(other.rchunks(COMPARED_BYTES));
    let same = chunks.take_while(|(one, other)| one == other).map(|(one, _)| one.len()).sum::<usize>();
    let rest = one[..one.len() - same].iter().rev().zip(other[..other.len() - same].iter().rev());
    same + rest.take_while(|(one, other)| one == other).count()
}

#[cfg(test)]
mod tests;
