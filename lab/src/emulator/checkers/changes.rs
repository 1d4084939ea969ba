//! Changes: kept once acknowledged, one a version, never refused once taken, never in force once refused.

use super::{Rule, Violations};
use crate::emulator::operator::{Seen, SentOrder};
use std::collections::BTreeMap;

/// Statuses that say that another change came before.
const CONFLICTS: [u16; 2] = [409, 412];

#[derive(Debug)]
struct Change {
    sent: SentOrder,
    acknowledged_at: Option<u64>,
    refused: Option<u16>,
}

/// All changes of the operator.
#[derive(Debug, Default)]
pub struct Changes {
    changes: BTreeMap<u64, Change>,
}

impl Changes {
    /// The operator sends a change, for the first time or again.
    pub fn sent(&mut self, sent: &SentOrder) {
        let new = || Change { sent: sent.clone(), acknowledged_at: None, refused: None };
        self.changes.entry(sent.number).or_insert_with(new);
    }

    /// A core node answers a change. True for a first acknowledgement.
    pub fn answered(&mut self, now: u64, number: u64, status: u16, violations: &mut Violations) -> bool {
        match status {
            200 => self.acknowledged(now, number, violations),
            400..=499 => {
                self.refused(now, number, status, violations);
                false
            }
            _ => false,
        }
    }

    fn acknowledged(&mut self, now: u64, number: u64, violations: &mut Violations) -> bool {
        let Some(change) = self.changes.get_mut(&number) else { return false };
        if change.acknowledged_at.is_some() {
            return false;
        }
        change.acknowledged_at = Some(now);
        let SentOrder { base, valid, .. } = change.sent;
        if !valid {
            violations.add(
                now,
                Rule::InvalidIsRefused,
                format!("order {number} is invalid and was acknowledged"),
            );
        }
        let on_same = |other: &&Change| other.sent.base == base && other.sent.number != number;
        let others = self.changes.values().filter(on_same);
        if let Some(other) = others.into_iter().find(|other| other.acknowledged_at.is_some()) {
            let detail =
                format!("orders {number} and {} on version {base} are acknowledged", other.sent.number);
            violations.add(now, Rule::OneChangePerVersion, detail);
        }
        true
    }

    fn refused(&mut self, now: u64, number: u64, status: u16, violations: &mut Violations) {
        self.check_cause(now, number, status, violations);
        let Some(change) = self.changes.get_mut(&number) else { return };
        change.refused = Some(status);
        if let Some(at) = change.acknowledged_at {
            let detail = format!("order {number}, acknowledged at {at}, is refused with {status}");
            violations.add(now, Rule::TakenIsNotRefused, detail);
        }
    }

    /// A valid change may be refused for another one on its version or a later one, and for nothing else.
    fn check_cause(&self, now: u64, number: u64, status: u16, violations: &mut Violations) {
        let Some(change) = self.changes.get(&number).filter(|change| change.sent.valid) else { return };
        let later = |other: &&Change| {
            other.sent.number != number && other.sent.valid && other.sent.base >= change.sent.base
        };
        let is_conflict = CONFLICTS.contains(&status);
        if !is_conflict || self.changes.values().find(later).is_none() {
            let detail = format!("order {number} on version {} is refused with {status}", change.sent.base);
            violations.add(now, Rule::RefusalHasCause, detail);
        }
    }

    /// A configuration is in force or was read.
    pub fn in_force(&self, now: u64, place: &str, seen: &Seen, violations: &mut Violations) {
        for number in &seen.orders {
            let Some(change) = self.changes.get(number) else { continue };
            if !change.sent.valid || change.refused.is_some() {
                let why =
                    change.refused.map_or("invalid".to_owned(), |status| format!("refused with {status}"));
                let detail = format!("{place}: revision {} contains order {number}, {why}", seen.revision);
                violations.add(now, Rule::RefusedIsNotInForce, detail);
            }
        }
    }

    /// The operator read a configuration; the reading began at `began`.
    pub fn read(&self, now: u64, began: u64, seen: &Seen, violations: &mut Violations) {
        self.in_force(now, "read", seen, violations);
        for change in self.changes.values() {
            let known = change.acknowledged_at.is_some_and(|at| at <= began);
            if known && !seen.orders.contains(&change.sent.number) {
                let detail = format!(
                    "order {} to revision {} is not in revision {} that was read",
                    change.sent.number, change.sent.revision, seen.revision
                );
                violations.add(now, Rule::AcknowledgedIsKept, detail);
            }
        }
    }

    /// Number of acknowledged changes.
    pub fn acknowledged_count(&self) -> usize {
        self.changes.values().filter(|change| change.acknowledged_at.is_some()).count()
    }
}
