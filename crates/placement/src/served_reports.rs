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

/// What a report of something that stands is answered with, to all gatekeepers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answer {
    /// Nothing: they were told a moment ago.
    Nothing,
    /// That it stands.
    ThatItStands,
    /// That it stands, and once more what the workers hold on which it does.
    WhereItStands,
}

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
    /// Takes note of a report and returns its answer.
    pub(crate) fn note(&mut self, now: u64, want: &Want) -> Answer {
        let Some(reports) = self.reports.get_mut(want) else {
            self.reports.insert(want.clone(), Reports { since: now, last_at: now });
            return Answer::ThatItStands;
        };
        let is_new = now.saturating_sub(reports.last_at) > FORGET_MS;
        let is_unheard = now.saturating_sub(reports.since) >= UNHEARD_AFTER_MS;
        reports.last_at = now;
        if !is_new && !is_unheard {
            return Answer::Nothing;
        }
        reports.since = now;
        match is_new {
            true => Answer::ThatItStands,
            false => Answer::WhereItStands,
        }
    }

    /// Forgets what nobody reports any more.
    pub(crate) fn forget(&mut self, now: u64) {
        self.reports.retain(|_, reports| now.saturating_sub(reports.last_at) <= FORGET_MS);
    }
}
