//! Reports of missing models that are served according to the planner's record.
//!
//! Such reports are still in flight right after a load. If they continue, a data plane does not know that the model is
//! served: messages to it can be lost while a machine in between is frozen or partitioned, and what workers hold is not
//! covered by the digests with which machines detect missed updates.

use std::collections::BTreeMap;

use crate::policy::ServableId;

/// Reports that continue for this long show that a data plane missed the announcement, in milliseconds: longer than a
/// message takes to reach all data planes, shorter than most latency targets.
const REANNOUNCE_AFTER_MS: u64 = 1_000;
/// Reports after a pause longer than this count as a new series, in milliseconds.
const EXPIRY_MS: u64 = 3_000;

/// Answer to a report of something that is served already, sent to all data planes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReportAnswer {
    /// No answer: it was announced recently.
    AlreadyAnnounced,
    /// That it is served.
    Served,
    /// That it is served, and again the resident models of each worker that serves it.
    ServedAndHolders,
}

#[derive(Debug)]
struct Reports {
    since: u64,
    last_at: u64,
}

/// Reports of what is served already, by model and adapter.
#[derive(Debug, Default)]
pub(crate) struct ServedReportTable {
    reports: BTreeMap<ServableId, Reports>,
}

impl ServedReportTable {
    /// Records a report and returns its answer.
    pub(crate) fn record(&mut self, now: u64, servable: &ServableId) -> ReportAnswer {
        let Some(reports) = self.reports.get_mut(servable) else {
            self.reports.insert(servable.clone(), Reports { since: now, last_at: now });
            return ReportAnswer::Served;
        };
        let is_new = now.saturating_sub(reports.last_at) > EXPIRY_MS;
        let continues = now.saturating_sub(reports.since) >= REANNOUNCE_AFTER_MS;
        reports.last_at = now;
        if !is_new && !continues {
            return ReportAnswer::AlreadyAnnounced;
        }
        reports.since = now;
        match is_new {
            true => ReportAnswer::Served,
            false => ReportAnswer::ServedAndHolders,
        }
    }

    /// Drops series of reports that have ended.
    pub(crate) fn drop_expired(&mut self, now: u64) {
        self.reports.retain(|_, reports| now.saturating_sub(reports.last_at) <= EXPIRY_MS);
    }
}
