//! A core machine that is cut off from a majority falls silent: it neither confirms nor refuses, and gives no orders.

use super::{Rule, Violations};

/// Time in milliseconds after a cut began in which a machine may not have noticed: contact with a majority that was certain
/// holds for 900 ms, and what was heard before the cut may be some milliseconds old. A node that is frozen in between has
/// no word at all.
const UNNOTICED_FOR: u64 = 1_000;

/// What machines that are cut off say.
#[derive(Debug, Default)]
pub struct Silence {
    late: Option<(u64, usize, u64)>,
}

impl Silence {
    /// A machine that is cut off gave its word, so many milliseconds after the cut began.
    pub fn word(&mut self, now: u64, core: usize, after: u64) {
        if after > UNNOTICED_FOR {
            self.late.get_or_insert((now, core, after));
        }
    }

    /// Notes what was said too late.
    pub fn check(&self, violations: &mut Violations) {
        if let Some((at, core, after)) = self.late {
            let detail = format!("core-{core} gives its word {after} ms after it was cut off");
            violations.add(at, Rule::CutOffIsSilent, detail);
        }
    }
}
