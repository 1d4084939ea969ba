//! Workers that the publishers no longer know.
//!
//! An entry that ended while a subscriber was cut off is told to it later. Not so if all core nodes have lost their
//! memory meanwhile: none knows the worker then, and the subscriber would hold it for ready for ever.

use std::collections::{BTreeMap, BTreeSet};

/// Time in milliseconds for which a worker must be missing from whole lists. A worker that has just started may be
/// missing from one list; it is in the next.
const ABSENT_FOR: u64 = 600;

/// Workers that were missing from whole lists, with the time of the first one.
#[derive(Debug, Default)]
pub(crate) struct AbsentWorkers {
    since: BTreeMap<String, u64>,
}

impl AbsentWorkers {
    /// Takes in a whole list; gives those of the workers `held` that were missing for some time.
    pub(crate) fn listed<'a>(
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
        let long = self.since.iter().filter(|(_, since)| now >= **since + ABSENT_FOR);
        long.map(|(id, _)| id.clone()).collect()
    }
}
