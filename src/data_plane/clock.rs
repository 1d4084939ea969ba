//! Monotonic clock on which the data plane bases its decisions.

use std::sync::OnceLock;
use tokio::time::Instant;

/// Milliseconds since the first call, on a monotonic clock. The times in [`super::View`] and in the router
/// are on the same clock.
pub fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    let start = START.get_or_init(Instant::now);
    u64::try_from(start.elapsed().as_millis()).unwrap_or(u64::MAX)
}
