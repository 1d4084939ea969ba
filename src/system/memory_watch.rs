//! Warns in the log while the process's memory comes close to its limit, and names what holds it. A process that is killed for
//! its memory writes nothing itself.

#[cfg(test)]
mod tests;

use std::time::Duration;
use tokio::time::MissedTickBehavior;

/// Time between two looks at the resident memory.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// Share of the limit above which a warning is logged.
const WARN_ABOVE_SHARE: f64 = 0.75;

/// Further share of the limit after which it is logged again.
const WARN_AGAIN_AFTER_SHARE: f64 = 0.0625;

/// The file in which the system tells the memory of a process.
const STATUS_FILE: &str = "/proc/self/status";

/// Decides when to warn.
#[derive(Debug)]
struct MemoryWatch {
    limit_bytes: f64,
    /// Resident bytes above which the next warning is due.
    warn_above_bytes: f64,
}

impl MemoryWatch {
    fn new(limit_mb: u64) -> MemoryWatch {
        let limit_bytes = limit_mb.saturating_mul(1 << 20) as f64;
        MemoryWatch { limit_bytes, warn_above_bytes: limit_bytes * WARN_ABOVE_SHARE }
    }

    /// Whether this resident size calls for a warning: it has passed the first threshold, or risen since the last warning.
    fn is_warning_due(&mut self, resident_bytes: u64) -> bool {
        let resident_bytes = resident_bytes as f64;
        if resident_bytes <= self.limit_bytes * WARN_ABOVE_SHARE {
            self.warn_above_bytes = self.limit_bytes * WARN_ABOVE_SHARE;
            return false;
        }
        let is_due = resident_bytes > self.warn_above_bytes;
        if is_due {
            self.warn_above_bytes = resident_bytes + self.limit_bytes * WARN_AGAIN_AFTER_SHARE;
        }
        is_due
    }
}

/// Watches the memory of this process for its lifetime. `limit_mb` is its limit in megabytes; `uses` tells what takes it, each
/// with its figure.
pub(crate) async fn watch_memory(limit_mb: u64, uses: impl Fn() -> Vec<String>) {
    let mut watch = MemoryWatch::new(limit_mb);
    let mut looks = tokio::time::interval(LOOK_EVERY);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        looks.tick().await;
        let Some(resident_bytes) = resident_bytes() else { return };
        if watch.is_warning_due(resident_bytes) {
            log::warn!("memory: {} of {limit_mb} MB resident; {}", resident_bytes >> 20, uses().join(", "));
        }
    }
}

/// Resident memory of this process in bytes, where the system tells it.
fn resident_bytes() -> Option<u64> {
    resident_in(&std::fs::read_to_string(STATUS_FILE).ok()?)
}

fn resident_in(status: &str) -> Option<u64> {
    let kilobytes =
        status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"))?;
    Some(kilobytes.trim().parse::<u64>().ok()?.saturating_mul(1024))
}
