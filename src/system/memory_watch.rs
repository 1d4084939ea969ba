//! Watches the resident memory of the process against its limit: returns what is free to the system, tells other parts
//! when memory is short, and names in the log what holds it. A process that is killed for its memory writes nothing itself.
//!
//! The shares of single kinds of data hold for the kinds that have one. This holds for all.

#[cfg(test)]
mod tests;

use super::allocator::return_free_memory;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, MissedTickBehavior};

/// Time between two looks at the resident memory.
const LOOK_EVERY: Duration = Duration::from_millis(250);

/// Share of the limit above which free memory is returned to the system.
const TRIM_ABOVE_SHARE: f64 = 0.6;

/// Shortest time between two such returns, which walk the whole heap.
const TRIM_INTERVAL: Duration = Duration::from_secs(2);

/// Share of the limit above which memory is short.
const SHORT_ABOVE_SHARE: f64 = 0.8;

/// Share of the limit below which it is no longer short.
const SHORT_UNTIL_SHARE: f64 = 0.72;

/// Share of the limit above which a warning is logged.
const WARN_ABOVE_SHARE: f64 = 0.75;

/// Further share of the limit after which it is logged again.
const WARN_AGAIN_AFTER_SHARE: f64 = 0.0625;

/// The file in which the system tells the memory of a process.
const STATUS_FILE: &str = "/proc/self/status";

/// Whether the memory of the process is short. Clones share it.
#[derive(Debug, Clone, Default)]
pub(crate) struct MemoryShortage(Rc<Cell<bool>>);

impl MemoryShortage {
    /// Whether the process is close to its limit, so that it should take nothing large that can be refused.
    pub(crate) fn is_on(&self) -> bool {
        self.0.get()
    }

    pub(crate) fn set(&self, is_on: bool) {
        self.0.set(is_on);
    }
}

/// Decides from the resident size what to do about it.
#[derive(Debug)]
struct MemoryWatch {
    limit_bytes: f64,
    /// Resident bytes above which the next warning is due.
    warn_above_bytes: f64,
    trimmed_at: Option<Instant>,
}

impl MemoryWatch {
    fn new(limit_mb: u64) -> MemoryWatch {
        let limit_bytes = limit_mb.saturating_mul(1 << 20) as f64;
        MemoryWatch { limit_bytes, warn_above_bytes: limit_bytes * WARN_ABOVE_SHARE, trimmed_at: None }
    }

    fn share(&self, resident_bytes: u64) -> f64 {
        resident_bytes as f64 / self.limit_bytes
    }

    /// Whether free memory should be returned to the system now.
    fn is_trim_due(&mut self, now: Instant, resident_bytes: u64) -> bool {
        let waited = self.trimmed_at.is_none_or(|trimmed_at| now >= trimmed_at + TRIM_INTERVAL);
        let is_due = waited && self.share(resident_bytes) > TRIM_ABOVE_SHARE;
        if is_due {
            self.trimmed_at = Some(now);
        }
        is_due
    }

    /// Whether memory is short, given whether it was.
    fn is_short(&self, was_short: bool, resident_bytes: u64) -> bool {
        let bound = if was_short { SHORT_UNTIL_SHARE } else { SHORT_ABOVE_SHARE };
        self.share(resident_bytes) > bound
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
pub(crate) async fn watch_memory(limit_mb: u64, shortage: MemoryShortage, uses: impl Fn() -> Vec<String>) {
    let mut watch = MemoryWatch::new(limit_mb);
    let mut looks = tokio::time::interval(LOOK_EVERY);
    looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let now = looks.tick().await;
        let Some(mut resident) = resident_bytes() else { return };
        if watch.is_trim_due(now, resident) {
            return_free_memory();
            resident = resident_bytes().unwrap_or(resident);
        }
        shortage.set(watch.is_short(shortage.is_on(), resident));
        if watch.is_warning_due(resident) {
            log::warn!("memory: {} of {limit_mb} MB resident; {}", resident >> 20, uses().join(", "));
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
