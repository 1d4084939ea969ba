//! Waits on conditions.

use anyhow::bail;
use std::future::Future;
use std::time::{Duration, Instant};

/// Longest wait for any one condition: far above what it takes, so that a busy machine fails nothing.
pub const LONGEST_WAIT: Duration = Duration::from_secs(12);

/// Pause between two looks at a condition.
const LOOK_EVERY: Duration = Duration::from_millis(15);

/// Looks until there is something, and returns it with the time it took.
///
/// # Errors
/// It took longer than [`LONGEST_WAIT`].
pub async fn until<T, F>(what: &str, mut look: impl FnMut() -> F) -> anyhow::Result<(T, Duration)>
where
    F: Future<Output = Option<T>>,
{
    let began = Instant::now();
    while began.elapsed() < LONGEST_WAIT {
        if let Some(found) = look().await {
            return Ok((found, began.elapsed()));
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    bail!("waited {} s in vain: {what}", LONGEST_WAIT.as_secs())
}
