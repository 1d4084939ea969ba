//! Detection of workers that are no longer known to the publishers.
//!
//! A subscriber that was disconnected while an instance terminated receives the gone entry later. If all core nodes
//! lost their in-memory state in the meantime, no such entry exists, and the subscriber would treat the worker as
//! ready indefinitely.

use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds for which a worker must be missing from full lists before it is reported. A worker that has just
/// started may be missing from one list, but is in the next.
const ABSENCE_TIMEOUT: u64 = 600;

/// Workers missing from the latest full list, each with the time at which it was first missing.
#[derive(Debug, Default)]
pub(crate) struct AbsentWorkers {
    since: BTreeMap<String, u64>,
}

impl AbsentWorkers {
    /// Processes a full list; returns those of the `held` workers that have been missing for [`ABSENCE_TIMEOUT`].
    pub(crate) fn update<'a>(
        &mut self,
        now: u64,
        listed: &BTreeSet<String>,
        held: impl Iterator<Item = &'a str>,
    ) -> BTreeSet<String> {
        let missing: BTreeSet<String> = held.filter(|id| !listed.contains(*id)).map(str::to_owned).collect();
        self.since.retain(|id, _| missing.contains(id));
        for id in missing {
            self.since.entry(id).or_insert(now);
        }
        let expired = self.since.iter().filter(|(_, since)| now >= **since + ABSENCE_TIMEOUT);
        expired.map(|(id, _)| id.clone()).collect()
    }
}
