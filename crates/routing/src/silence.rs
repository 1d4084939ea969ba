//! Detection of workers on which all streams have stalled.
//!
//! A decoding step advances every stream of a worker's batch, so streams that stall together mean that the worker, or
//! the network path to it, has stopped. If most workers stall together, the likelier cause is this process or its own
//! link, and no worker is reported.

use std::collections::HashMap;

use slotmap::SlotMap;

use crate::attempt::{Attempt, AttemptKey};
use crate::worker::WorkerKey;

/// Time between two checks above which this process itself is assumed to have been paused.
const OWN_PAUSE_MS: u64 = 150;

/// Running streams of one worker.
#[derive(Debug, Default, Clone, Copy)]
struct Streams {
    running: usize,
    last_event_at: u64,
}

/// Finds silent workers, and records when this process itself was paused.
#[derive(Debug, Default)]
pub(crate) struct SilenceDetector {
    checked_at: Option<u64>,
    /// End of the last pause of this process; streams count as active until then.
    resumed_at: u64,
}

impl SilenceDetector {
    /// Workers with at least `min_streams` running streams, none of which had an event for `silent_ms`.
    pub fn silent_workers(
        &mut self,
        now: u64,
        attempts: &SlotMap<AttemptKey, Attempt>,
        silent_ms: u64,
        min_streams: usize,
    ) -> Vec<WorkerKey> {
        self.detect_own_pause(now);
        let streams = running_streams(attempts);
        let is_silent = |streams: &Streams| {
            let active_at = streams.last_event_at.max(self.resumed_at);
            streams.running >= min_streams && now.saturating_sub(active_at) >= silent_ms
        };
        let silent: Vec<WorkerKey> =
            streams.iter().filter(|(_, streams)| is_silent(streams)).map(|(worker, _)| *worker).collect();
        let observed = streams.values().filter(|streams| streams.running >= min_streams).count();
        let most_are_silent = silent.len() >= 2 && silent.len() * 2 > observed;
        if most_are_silent {
            return Vec::new();
        }
        silent
    }

    fn detect_own_pause(&mut self, now: u64) {
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
        let Some(last_event_at) = attempt.last_event_at else { continue };
        let entry = streams.entry(attempt.worker).or_default();
        entry.running += 1;
        entry.last_event_at = entry.last_event_at.max(last_event_at);
    }
    streams
}
