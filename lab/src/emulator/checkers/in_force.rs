//! A change is in force at every data plane in touch in time.

use super::{Rule, Violations};
use crate::emulator::calm::{Calm, Subject};
use crate::emulator::host::Host;
use crate::emulator::site::Bounds;
use std::collections::BTreeMap;

/// Acknowledged revisions and who holds them.
#[derive(Debug)]
pub struct InForce {
    bounds: Bounds,
    /// Acknowledged revisions with their times.
    acknowledged: BTreeMap<u64, u64>,
    worst_ms: u64,
}

impl InForce {
    /// Nothing acknowledged yet.
    pub fn new(bounds: Bounds) -> InForce {
        InForce { bounds, acknowledged: BTreeMap::new(), worst_ms: 0 }
    }

    /// A revision is acknowledged.
    pub fn acknowledged(&mut self, now: u64, revision: u64) {
        self.acknowledged.entry(revision).or_insert(now);
    }

    /// The longest time in milliseconds from an acknowledgement to its being in force at a machine in touch.
    pub fn worst_ms(&self) -> u64 {
        self.worst_ms
    }

    /// A data plane went from one revision to another.
    pub fn changed(&mut self, now: u64, host: Host, from: u64, to: u64, calm: &Calm) {
        if from == 0 || !calm.in_touch(now, host) {
            return;
        }
        let newly = self.acknowledged.range(from + 1..=to).map(|(_, at)| now.saturating_sub(*at));
        self.worst_ms = self.worst_ms.max(newly.max().unwrap_or(0));
    }

    /// Looks at what a data plane holds.
    pub fn check(&mut self, now: u64, host: Host, held: u64, calm: &Calm, violations: &mut Violations) {
        let Some((revision, since)) = self.oldest_missing(held) else { return };
        let in_time = since + self.bounds.config_ms;
        if now <= in_time || !calm.is_undisturbed(now, host) {
            return;
        }
        let stable = calm.core_is_stable(now);
        let majority = calm.calm_for(now, Subject::Majority) >= self.bounds.liveness_ms;
        if stable || majority && now > in_time + self.bounds.skew_ms {
            let detail =
                format!("{host} holds revision {held} {} ms after {revision} was acknowledged", now - since);
            violations.add(now, Rule::InForceInTime, detail);
        }
    }

    fn oldest_missing(&self, held: u64) -> Option<(u64, u64)> {
        let missing = self.acknowledged.range(held + 1..);
        missing.min_by_key(|(_, at)| **at).map(|(revision, at)| (*revision, *at))
    }
}
