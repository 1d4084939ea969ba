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
    times_ms: Vec<u64>,
}

/// Time in milliseconds since a revision was superseded in which a data plane may still call itself ready on it: contact with
/// a majority holds for 900 ms at a core node, its status is 250 ms old, and what a cut held up arrives within 1,500 ms.
const READY_ON_OLDER_FOR: u64 = 3_500;

impl InForce {
    /// Nothing acknowledged yet.
    pub fn new(bounds: Bounds) -> InForce {
        InForce { bounds, acknowledged: BTreeMap::new(), times_ms: Vec::new() }
    }

    /// A revision is acknowledged.
    pub fn acknowledged(&mut self, now: u64, revision: u64) {
        self.acknowledged.entry(revision).or_insert(now);
    }

    /// The longest time in milliseconds from an acknowledgement to its being in force at a machine in touch.
    pub fn worst_ms(&self) -> u64 {
        self.times_ms.iter().copied().max().unwrap_or(0)
    }

    /// All times in milliseconds from an acknowledgement to its being in force at a machine in touch.
    pub fn times_ms(&self) -> &[u64] {
        &self.times_ms
    }

    /// A data plane calls itself ready for the first time in its life.
    pub fn ready(&self, now: u64, host: Host, held: u64, calm: &Calm, violations: &mut Violations) {
        if calm.was_eased_lately(now, host) {
            return;
        }
        if let Some((revision, since)) = self.oldest_missing(held) {
            if now > since + READY_ON_OLDER_FOR {
                let detail = format!(
                    "{host} is ready on revision {held} {} ms after {revision} was acknowledged",
                    now - since
                );
                violations.add(now, Rule::ReadyOnNewest, detail);
            }
        }
    }

    /// A data plane went from one revision to another.
    pub fn changed(&mut self, now: u64, host: Host, from: u64, to: u64, calm: &Calm) {
        if from == 0 || !calm.in_touch(now, host) {
            return;
        }
        let newly = self.acknowledged.range(from + 1..=to).map(|(_, at)| now.saturating_sub(*at));
        self.times_ms.extend(newly);
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
