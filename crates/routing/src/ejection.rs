//! Bound on how many workers of a service are ejected at once, and the comparison with the rest of the service.

use crate::indexes::ServiceIndex;
use crate::table::{WorkerState, WorkerTable};
use crate::worker::{Availability, WorkerKey};

/// Ready workers of a service per worker that may be ejected.
const READY_PER_EJECTED: usize = 3;

/// Ejects the worker, unless its service has reached the bound on ejected workers.
pub(crate) fn eject_within_bound(table: &mut WorkerTable, now: u64, key: WorkerKey) {
    if !may_eject(table, key) {
        return;
    }
    if let Some(worker) = table.get_mut(key) {
        worker.health.eject(now);
    }
}

/// Ends ejections, those that expire soonest first, in services that have shrunk below their bound.
pub(crate) fn release_beyond_bound(table: &mut WorkerTable, now: u64) {
    let mut released = Vec::new();
    for service in table.services() {
        let mut ejected = ejected(table, service);
        let excess = ejected.len().saturating_sub(max_ejected(table, service));
        ejected.sort_by_key(|key| table.get(*key).and_then(|worker| worker.health.ejected_until()));
        released.extend(ejected.into_iter().take(excess));
    }
    for key in released {
        if let Some(worker) = table.get_mut(key) {
            worker.health.end_ejection(now);
        }
    }
}

/// Failures and total outcomes of the other workers of the same service.
pub(crate) fn outcomes_of_others(table: &WorkerTable, now: u64, key: WorkerKey) -> (f64, f64) {
    let service = table.get(key).and_then(|worker| table.service(&worker.view.service));
    let members = service.map_or(&[][..], |service| &service.members);
    let others = members.iter().filter(|other| **other != key).filter_map(|other| table.get(*other));
    others.fold((0.0, 0.0), |sum, other| {
        let (failures, total) = other.health.failures_and_total(now);
        (sum.0 + failures, sum.1 + total)
    })
}

fn may_eject(table: &WorkerTable, key: WorkerKey) -> bool {
    let Some(worker) = table.get(key) else { return false };
    if worker.health.is_ejected() {
        return true;
    }
    let service = table.service(&worker.view.service);
    service.is_some_and(|service| ejected(table, service).len() < max_ejected(table, service))
}

/// How many workers of a service may be ejected at once: a third of the ready ones, but one of two.
fn max_ejected(table: &WorkerTable, service: &ServiceIndex) -> usize {
    let members = service.members.iter().filter_map(|key| table.get(*key));
    let ready = members.filter(|worker| is_ready(worker)).count();
    match ready {
        0 | 1 => 0,
        _ => (ready / READY_PER_EJECTED).max(1),
    }
}

/// Ready workers of the service that are ejected.
fn ejected(table: &WorkerTable, service: &ServiceIndex) -> Vec<WorkerKey> {
    let is_ejected = |key: &WorkerKey| {
        let worker = table.get(*key);
        worker.is_some_and(|worker| is_ready(worker) && worker.health.is_ejected())
    };
    service.members.iter().copied().filter(is_ejected).collect()
}

fn is_ready(worker: &WorkerState) -> bool {
    worker.view.state == Availability::Ready
}
