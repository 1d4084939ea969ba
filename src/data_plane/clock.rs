//! The clock of the data plane's decisions.

use std::sync::OnceLock;
use tokio::time::Instant;

/// Milliseconds of a steady clock that starts with the process. [`super::View`] and router use the same.
pub fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    let start = START.get_or_init(Instant::now);
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}
