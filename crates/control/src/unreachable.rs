//! Workers that gatekeepers could not reach.
//!
//! A worker that has crashed says nothing, and its missing heartbeats show only after seconds. The gatekeepers know at
//! once: its machine refuses their connections, or does not answer them. Each sees little alone, so they tell the core,
//! and a worker that several machines found unreachable within a short time is suspected until its next heartbeat.

#[cfg(test)]
mod tests;

use crate::node::ControlNode;
use std::collections::{BTreeMap, BTreeSet};
use switchhill_protocol::{PeerBody, Unreachable};

/// Time in milliseconds within which the reports of several gatekeepers count together.
const COUNTED_FOR: u64 = 1_500;
/// Gatekeepers that must have been refused: one alone may hold a wrong address, or be cut off by a reset.
const REFUSED_AT: usize = 2;
/// Gatekeepers that must have been left without an answer: a full queue of new connections also drops some.
const UNANSWERED_AT: usize = 3;
/// At most one of so many workers of a service is suspected for reports at a time: what makes more of them unreachable is
/// likelier a fault of the network or of the gatekeepers.
const WORKERS_PER_SUSPECTED: usize = 3;

/// One gatekeeper's newest report of a worker.
#[derive(Debug, Clone, Copy)]
struct Report {
    at: u64,
    refused: bool,
}

/// Reports that still count.
#[derive(Debug, Default)]
pub(crate) struct UnreachableWorkers {
    /// By worker and gatekeeper.
    reports: BTreeMap<String, BTreeMap<String, Report>>,
    /// When each worker was last suspected for reports.
    suspected_at: BTreeMap<String, u64>,
}

impl UnreachableWorkers {
    /// Takes a report in and tells whether the worker is to be suspected.
    fn note(&mut self, now: u64, report: &Unreachable) -> bool {
        self.forget_old(now);
        let of_worker = self.reports.entry(report.worker.clone()).or_default();
        of_worker.insert(report.node.clone(), Report { at: now, refused: report.refused });
        let refused = of_worker.values().filter(|report| report.refused).count();
        refused >= REFUSED_AT || of_worker.len() >= UNANSWERED_AT
    }

    fn forget_old(&mut self, now: u64) {
        for of_worker in self.reports.values_mut() {
            of_worker.retain(|_, report| now.saturating_sub(report.at) < COUNTED_FOR);
        }
        self.reports.retain(|_, of_worker| !of_worker.is_empty());
        self.suspected_at.retain(|_, at| now.saturating_sub(*at) < COUNTED_FOR);
    }
}

impl ControlNode {
    /// A gatekeeper could not reach a worker; `from_gatekeeper` tells whether it said so itself or by another core node.
    pub(crate) fn unreachable(&mut self, now: u64, report: &Unreachable, from_gatekeeper: bool) {
        if from_gatekeeper {
            self.send_all_peers(now, PeerBody::Unreachable(report.clone()));
        }
        let is_enough = self.unreachable_workers.note(now, report);
        // The nodes count alike; the one that hears the last report acts.
        if !is_enough || !from_gatekeeper || !self.serves(now) || !self.may_suspect_one_more(&report.worker) {
            return;
        }
        if let Some(suspected) = self.state.workers_mut().suspect(now, &report.worker) {
            self.unreachable_workers.reports.remove(&report.worker);
            self.unreachable_workers.suspected_at.insert(report.worker.clone(), now);
            self.tell_of_workers(now, vec![suspected]);
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
