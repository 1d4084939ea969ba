//! Models that stand by the planner's record and are reported missing all the same.
//!
//! Right after a load such reports are on their way still. Where they go on, a gatekeeper has not heard that the model
//! stands: messages to it may be lost while a machine between is frozen or cut off, and what workers hold is no part of
//! the digests by which machines find out that they lack something.

use std::collections::BTreeMap;

use crate::policy::Want;

/// Reports that go on for this long show that somebody has not heard, in milliseconds: longer than a message takes to
/// reach all gatekeepers, shorter than most objectives.
const UNHEARD_AFTER_MS: u64 = 1_000;
/// Reports that pause for longer than this are taken for new ones, in milliseconds.
const FORGET_MS: u64 = 3_000;

#[derive(Debug)]
struct Reports {
    since: u64,
    last_at: u64,
}

/// Reports of what stands, by model and adapter.
#[derive(Debug, Default)]
pub(crate) struct UnheardTable {
    reports: BTreeMap<Want, Reports>,
}

impl UnheardTable {
    /// Takes note of a report; returns whether it is time to tell again where the model stands.
    pub(crate) fn note(&mut self, now: u64, want: &Want) -> bool {
        let reports = self.reports.entry(want.clone()).or_insert(Reports { since: now, last_at: now });
        if now.saturating_sub(reports.last_at) > FORGET_MS {
            reports.since = now;
        }
        reports.last_at = now;
        let is_unheard = now.saturating_sub(reports.since) >= UNHEARD_AFTER_MS;
        if is_unheard {
            reports.since = now;
        }
        is_unheard
    }

    /// Forgets what nobody reports any more.
    pub(crate) fn forget(&mut self, now: u64) {
        self.reports.retain(|_, reports| now.saturating_sub(reports.last_at) <= FORGET_MS);
    }
}
