//! Models that stand by the planner's record and are reported missing all the same.
//!
//! Right after a load such reports are on their way still. Where they go on, a gatekeeper has not heard that the model
//! stands: messages to it may be lost while a machine between is frozen or cut off, and what workers hold is no part of
//! the digests by which machines find out that they lack something.

use std::collections::BTreeMap;

use crate::policy::ServableId;

/// Reports that go on for this long show that somebody has not heard, in milliseconds: longer than a message takes to
/// reach all gatekeepers, shorter than most objectives.
const REANNOUNCE_AFTER_MS: u64 = 1_000;
/// Reports that pause for longer than this are taken for new ones, in milliseconds.
const EXPIRY_MS: u64 = 3_000;

/// What a report of something that stands is answered with, to all gatekeepers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportAnswer {
    /// Nothing: they were told a moment ago.
    AlreadyAnnounced,
    /// That it stands.
    Served,
    /// That it stands, and once more what the workers hold on which it does.
    ServedAndHolders,
}

#[derive(Debug)]
struct Reports {
    since: u64,
    last_at: u64,
}

/// Reports of what stands, by model and adapter.
#[derive(Debug, Default)]
pub(crate) struct ServedReportTable {
    reports: BTreeMap<ServableId, Reports>,
}

impl ServedReportTable {
    /// Takes note of a report and returns its answer.
    pub(crate) fn note(&mut self, now: u64, servable: &ServableId) -> ReportAnswer {
        let Some(reports) = self.reports.get_mut(servable) else {
            self.reports.insert(servable.clone(), Reports { since: now, last_at: now });
            return ReportAnswer::Served;
        };
        let is_new = now.saturating_sub(reports.last_at) > EXPIRY_MS;
        let is_unheard = now.saturating_sub(reports.since) >= REANNOUNCE_AFTER_MS;
        reports.last_at = now;
        if !is_new && !is_unheard {
            return ReportAnswer::AlreadyAnnounced;
        }
        reports.since = now;
        match is_new {
            true => ReportAnswer::Served,
            false => ReportAnswer::ServedAndHolders,
        }
    }

    /// Forgets what nobody reports any more.
    pub(crate) fn forget(&mut self, now: u64) {
        self.reports.retain(|_, reports| now.saturating_sub(reports.last_at) <= EXPIRY_MS);
    }
}
