//! A worker whose end was acknowledged is not ready at any data plane in touch a short time after.

use super::{Rule, Violations};
use crate::emulator::calm::Calm;
use crate::emulator::host::Host;
use crate::emulator::site::Bounds;
use std::collections::BTreeMap;
use switchhill_registration::WorkerTable;

/// Ends that were acknowledged, by the worker's id.
#[derive(Debug)]
pub struct Draining {
    bounds: Bounds,
    acknowledged: BTreeMap<String, u64>,
}

impl Draining {
    /// No worker has ended.
    pub fn new(bounds: Bounds) -> Draining {
        Draining { bounds, acknowledged: BTreeMap::new() }
    }

    /// A core node acknowledged that a worker drains or has ended.
    pub fn acknowledged(&mut self, now: u64, worker: &str) {
        self.acknowledged.entry(worker.to_owned()).or_insert(now);
    }

    /// Number of ends that were acknowledged.
    pub fn count(&self) -> usize {
        self.acknowledged.len()
    }

    /// Looks at the worker table of a data plane.
    pub fn check(&self, now: u64, host: Host, table: &WorkerTable, calm: &Calm, violations: &mut Violations) {
        for (worker, at) in &self.acknowledged {
            let ready =
                now > at + self.bounds.drain_ms && table.get(worker).is_some_and(|entry| entry.is_ready());
            if ready && calm.in_touch(now, host) {
                let detail = format!("{host} takes {worker} for ready {} ms after its end", now - at);
                violations.add(now, Rule::EndedIsNotReady, detail);
            }
        }
    }
}
