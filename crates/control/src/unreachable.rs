//! Suspicion of workers that several gatekeepers report as unreachable.
//!
//! The missing heartbeats of a crashed worker become apparent only after seconds. The gatekeepers notice the crash
//! sooner: the worker's machine refuses their connections or does not answer them. A single gatekeeper is not reliable
//! evidence, so each reports to the core, and a worker that several machines found unreachable within a short time is
//! suspected until its next heartbeat.

#[cfg(test)]
mod tests;

use crate::node::ControlNode;
use std::collections::{BTreeMap, BTreeSet};
use switchhill_protocol::{PeerBody, Unreachable};

/// Window in milliseconds in which reports of different gatekeepers are counted together.
const REPORT_WINDOW_MS: u64 = 1_500;
/// Number of gatekeepers with refused connections that makes a worker suspected. A single one may have a wrong address
/// or may have been cut off by a reset.
const REFUSED_THRESHOLD: usize = 2;
/// Number of gatekeepers with refused or unanswered connections that makes a worker suspected. It is higher because a
/// full accept queue also drops connection attempts.
const UNANSWERED_THRESHOLD: usize = 3;
/// At most one in this number of workers of a service is suspected because of reports at a time. If more are
/// unreachable, a fault of the network or of the gatekeepers is more likely.
const WORKERS_PER_SUSPECTED: usize = 3;

/// Newest report of one gatekeeper about a worker.
#[derive(Debug, Clone, Copy)]
struct Report {
    at: u64,
    refused: bool,
}

/// Reports within the window, and recent suspicions.
#[derive(Debug, Default)]
pub(crate) struct UnreachableWorkers {
    /// Reports by worker, then by gatekeeper.
    reports: BTreeMap<String, BTreeMap<String, Report>>,
    /// Time at which each worker was last suspected because of reports.
    suspected_at: BTreeMap<String, u64>,
}

impl UnreachableWorkers {
    /// Records a report and returns whether the number of reports suffices to suspect the worker.
    fn record(&mut self, now: u64, report: &Unreachable) -> bool {
        self.remove_expired(now);
        let worker_reports = self.reports.entry(report.worker.clone()).or_default();
        worker_reports.insert(report.node.clone(), Report { at: now, refused: report.refused });
        let refused = worker_reports.values().filter(|report| report.refused).count();
        refused >= REFUSED_THRESHOLD || worker_reports.len() >= UNANSWERED_THRESHOLD
    }

    fn remove_expired(&mut self, now: u64) {
        for worker_reports in self.reports.values_mut() {
            worker_reports.retain(|_, report| now.saturating_sub(report.at) < REPORT_WINDOW_MS);
        }
        self.reports.retain(|_, worker_reports| !worker_reports.is_empty());
        self.suspected_at.retain(|_, at| now.saturating_sub(*at) < REPORT_WINDOW_MS);
    }
}

impl ControlNode {
    /// Handles the report of a gatekeeper that could not reach a worker. `from_gatekeeper` tells whether the gatekeeper
    /// sent it directly or another core node forwarded it.
    pub(crate) fn unreachable(&mut self, now: u64, report: &Unreachable, from_gatekeeper: bool) {
        if from_gatekeeper {
            self.send_all_peers(now, PeerBody::Unreachable(report.clone()));
        }
        let is_enough = self.unreachable_workers.record(now, report);
        // All nodes count the same reports; the one that receives the deciding report from its gatekeeper acts.
        if !is_enough || !from_gatekeeper || !self.serves(now) || !self.may_suspect_one_more(&report.worker) {
            return;
        }
        if let Some(suspected) = self.state.workers_mut().suspect(now, &report.worker) {
            self.unreachable_workers.reports.remove(&report.worker);
            self.unreachable_workers.suspected_at.insert(report.worker.clone(), now);
            self.publish_workers(now, vec![suspected]);
        }
    }

    fn may_suspect_one_more(&self, worker: &str) -> bool {
        let workers = self.state.workers();
        let Some(service) = workers.get(worker).map(|worker| worker.service.as_str()) else { return false };
        let of_service = |id: &&String| workers.get(id).is_some_and(|other| other.service == service);
        let suspected = self.unreachable_workers.suspected_at.keys().filter(of_service);
        let suspected: BTreeSet<&String> = suspected.collect();
        let ready = workers.ready_of_service(service).count();
        (suspected.len() + 1) * WORKERS_PER_SUSPECTED <= ready + suspected.len()
    }
}
