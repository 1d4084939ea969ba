//! Workers all of whose streams have stopped.
//!
//! A decoding step moves every stream of a worker's batch, so streams that pause together mean that the
//! worker, or the way to it, has stopped. If most workers pause together, this process or its own link is
//! the likelier cause, and none is named.

use std::collections::HashMap;

use slotmap::SlotMap;

use crate::attempt::{Attempt, AttemptKey};
use crate::worker::WorkerKey;

/// A pause between two checks after which this process itself may have been stopped.
const OWN_PAUSE_MS: u64 = 150;

/// Running streams of one worker.
#[derive(Debug, Default, Clone, Copy)]
struct Streams {
    running: usize,
    moved_at: u64,
}

/// Finds silent workers, and remembers when this process itself was paused.
#[derive(Debug, Default)]
pub(crate) struct SilenceWatch {
    checked_at: Option<u64>,
    /// Streams are not expected to have moved before this time.
    resumed_at: u64,
}

impl SilenceWatch {
    /// Workers with at least `least_streams` running streams none of which moved for `silent_ms`.
    pub fn silent(
        &mut self,
        now: u64,
        attempts: &SlotMap<AttemptKey, Attempt>,
        silent_ms: u64,
        least_streams: usize,
    ) -> Vec<WorkerKey> {
        self.note_own_pause(now);
        let streams = running_streams(attempts);
        let is_silent = |streams: &Streams| {
            let moved_at = streams.moved_at.max(self.resumed_at);
            streams.running >= least_streams && now.saturating_sub(moved_at) >= silent_ms
        };
        let silent: Vec<WorkerKey> =
            streams.iter().filter(|(_, streams)| is_silent(streams)).map(|(worker, _)| *worker).collect();
        let watched = streams.values().filter(|streams| streams.running >= least_streams).count();
        let most_are_silent = silent.len() >= 2 && silent.len() * 2 > watched;
        if most_are_silent {
            return Vec::new();
        }
        silent
    }

    fn note_own_pause(&mut self, now: u64) {
        let paused = self.checked_at.is_some_and(|checked_at| now.saturating_sub(checked_at) > OWN_PAUSE_MS);
        if paused {
            self.resumed_at = now;
        }
        self.checked_at = Some(now);
    }
}

fn running_streams(attempts: &SlotMap<AttemptKey, Attempt>) -> HashMap<WorkerKey, Streams> {
    let mut streams: HashMap<WorkerKey, Streams> = HashMap::new();
    for attempt in attempts.values() {
        let Some(moved_at) = attempt.progress_at else { continue };
        let entry = streams.entry(attempt.worker).or_default();
        entry.running += 1;
        entry.moved_at = entry.moved_at.max(moved_at);
    }
    streams
}
