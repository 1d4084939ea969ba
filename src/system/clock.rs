//! The steady clock in milliseconds.

use std::time::Instant;

/// Milliseconds since the process began to count.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

/// Where the count begins, so that times before the start can be named.
const OFFSET_MS: u64 = 1_000_000;

impl Clock {
    /// Begins to count.
    #[allow(clippy::new_without_default)]
    pub fn new() -> Clock {
        Clock { start: Instant::now() }
    }

    /// The time.
    pub fn now(&self) -> u64 {
        OFFSET_MS + self.start.elapsed().as_millis() as u64
    }
}
