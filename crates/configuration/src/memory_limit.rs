//! How much memory a configuration may take in a process that holds it.

use crate::document::{Document, DocumentSize};
use crate::error::{ConfigurationError, ResultCode};

/// Copies of the text that a core machine holds at the most: in the value accepted, in the one proposed to replace it, in the
/// items, and in the answer to callers and subscribers.
const COPIES_OF_TEXT: u64 = 4;

/// Bytes that an item takes beside its text: its name, the route read from it, and its places in tables.
const ITEM_BYTES: u64 = 640;

/// Share of a process's memory that the configuration may take.
const MEMORY_SHARE: f64 = 0.375;

/// Bytes of a megabyte.
const MEGABYTE: u64 = 1 << 20;

/// The most memory that a configuration may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimit {
    bytes: u64,
}

impl MemoryLimit {
    /// Any configuration is small enough.
    pub const NONE: MemoryLimit = MemoryLimit { bytes: u64::MAX };

    /// The limit for a process with so much memory, in megabytes.
    pub fn of_process(memory_mb: u64) -> MemoryLimit {
        MemoryLimit { bytes: (memory_mb.saturating_mul(MEGABYTE) as f64 * MEMORY_SHARE) as u64 }
    }

    /// The longest text, in bytes, that a configuration of few items may have.
    pub fn longest_text(self) -> u64 {
        self.bytes / COPIES_OF_TEXT
    }

    /// Refuses a configuration that takes more than the limit, unless it takes no more than the one that it replaces.
    pub(crate) fn check(self, old: Option<&Document>, new: &Document) -> Result<(), ConfigurationError> {
        let taken = new.size().memory_bytes();
        let held = old.map_or(0, |old| old.size().memory_bytes());
        if taken <= self.bytes.max(held) {
            return Ok(());
        }
        let detail = format!(
            "{} would take {} MB of a core machine, at most {} MB are free for it",
            new.size(),
            taken.div_ceil(MEGABYTE),
            self.bytes / MEGABYTE
        );
        Err(ConfigurationError::new(ResultCode::TooLarge, detail))
    }
}

impl DocumentSize {
    /// Memory in bytes that a core machine needs for a configuration of this size.
    pub fn memory_bytes(self) -> u64 {
        self.bytes as u64 * COPIES_OF_TEXT + self.items as u64 * ITEM_BYTES
    }
}
