//! Workers that leave in calm times are acknowledged in time.

use super::{Rule, Violations};
use crate::emulator::calm::{Calm, Subject};
use crate::emulator::host::Host;
use crate::emulator::site::Bounds;

/// Looks at workers that leave.
#[derive(Debug)]
pub struct Ends {
    bounds: Bounds,
}

impl Ends {
    /// A checker that has seen nothing.
    pub fn new(bounds: Bounds) -> Ends {
        Ends { bounds }
    }

    /// Looks at workers that have been saying since a time that they leave, and were not acknowledged.
    pub fn check(
        &self,
        now: u64,
        leaving: impl Iterator<Item = (Host, u64)>,
        calm: &Calm,
        violations: &mut Violations,
    ) {
        for (worker, since) in leaving {
            let age = now - since;
            let was_calm = calm.calm_for(now, Subject::Core) >= age + self.bounds.liveness_ms
                && calm.calm_for(now, Subject::Machine(worker)) >= age;
            if age > self.bounds.ack_ms && was_calm {
                let detail = format!("{worker} has been leaving for {age} ms and nobody acknowledged it");
                violations.add(now, Rule::EndAcknowledgedInTime, detail);
            }
        }
    }
}
