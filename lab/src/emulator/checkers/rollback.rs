//! Data planes never go back to an older configuration within a life.

use super::{Rule, Violations};
use crate::emulator::host::Host;
use crate::emulator::operator::Seen;
use std::collections::BTreeMap;

/// What each data plane held last.
#[derive(Debug, Default)]
pub struct Rollback {
    held: BTreeMap<(Host, u32), Seen>,
}

impl Rollback {
    /// A data plane holds a configuration in a life of its process.
    pub fn holds(&mut self, now: u64, host: Host, life: u32, seen: Seen, violations: &mut Violations) {
        let before = self.held.entry((host, life)).or_default();
        if seen.revision < before.revision || !seen.orders.is_superset(&before.orders) {
            let detail = format!("{host} goes from revision {} to {}", before.revision, seen.revision);
            violations.add(now, Rule::NothingGoesBack, detail);
        }
        *before = seen;
    }
}
