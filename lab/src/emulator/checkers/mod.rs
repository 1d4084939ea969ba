//! Checkers of what must hold, each of one rule; they see only what callers and workers see.

mod changes;
mod draining;
mod electorate;
mod ends;
mod in_force;
mod liveness;
mod loads;
mod placer;
mod rollback;
mod silence;

pub use changes::Changes;
pub use draining::Draining;
pub use electorate::Electorates;
pub use ends::Ends;
pub use in_force::InForce;
pub use liveness::{Liveness, ONLY_READS_FOR};
pub use loads::Loads;
pub use placer::{OrderSeen, Placers};
pub use rollback::Rollback;
pub use silence::Silence;

use super::site::{Bounds, Sizes};
use std::fmt;

/// What must hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rule {
    /// An acknowledged change is never lost.
    AcknowledgedIsKept,
    /// No two changes on one version are acknowledged.
    OneChangePerVersion,
    /// A change that was taken is never refused when it is sent again.
    TakenIsNotRefused,
    /// A change is refused only for what it says itself, or for another change.
    RefusalHasCause,
    /// An invalid change is never acknowledged.
    InvalidIsRefused,
    /// A refused or invalid change is never in force.
    RefusedIsNotInForce,
    /// A data plane never goes back.
    NothingGoesBack,
    /// A change is in force in time everywhere.
    InForceInTime,
    /// No data plane calls itself ready on a configuration that was superseded some time ago.
    ReadyOnNewest,
    /// An epoch has one holder.
    OneHolderPerEpoch,
    /// Epochs rise.
    EpochsRise,
    /// The lease lies between orders of two holders.
    LeaseBetweenHolders,
    /// Loads stay under the ceiling.
    CeilingOfLoads,
    /// No worker is ordered more than it holds.
    LimitOfWorkers,
    /// A worker whose end was acknowledged gets no more requests.
    EndedIsNotReady,
    /// A change is acknowledged in time.
    AcknowledgedInTime,
    /// The end of a worker is acknowledged in time.
    EndAcknowledgedInTime,
    /// The configuration can be read at the end.
    ReadableAtEnd,
    /// A core machine that is cut off falls silent.
    CutOffIsSilent,
    /// A core node that was told to end goes only when the electorate does without it, or nobody is there in its place.
    LeavesAfterSuccession,
    /// While nothing is lost, the electorate bears the loss that is to be borne.
    ElectorateBearsLoss,
    /// After all core machines were down the system works again in time.
    RecoversInTime,
}

/// A rule that was broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// When, in milliseconds of virtual time.
    pub at: u64,
    /// Which.
    pub rule: Rule,
    /// How.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "at {} ms {:?}: {}", self.at, self.rule, self.detail)
    }
}

/// Broken rules, the first of each kind.
#[derive(Debug, Clone, Default)]
pub struct Violations {
    found: Vec<Violation>,
}

impl Violations {
    /// Notes a broken rule, unless one of its kind was noted.
    pub fn add(&mut self, at: u64, rule: Rule, detail: String) {
        if !self.has(rule) {
            self.found.push(Violation { at, rule, detail });
        }
    }

    /// Whether a rule was broken.
    pub fn has(&self, rule: Rule) -> bool {
        self.found.iter().any(|violation| violation.rule == rule)
    }

    /// All that were noted.
    pub fn into_vec(self) -> Vec<Violation> {
        self.found
    }
}

/// All checkers.
#[derive(Debug)]
pub struct Checkers {
    /// Broken rules.
    pub violations: Violations,
    /// Changes: kept, one a version, never refused once taken.
    pub changes: Changes,
    /// Data planes never go back.
    pub rollback: Rollback,
    /// Changes are in force in time.
    pub in_force: InForce,
    /// Placers: epochs and the lease.
    pub placers: Placers,
    /// Loads from the weight store.
    pub loads: Loads,
    /// Ended workers are not ready.
    pub draining: Draining,
    /// Changes are acknowledged in time.
    pub liveness: Liveness,
    /// Ends of workers are acknowledged in time.
    pub ends: Ends,
    /// Machines that are cut off say nothing.
    pub silence: Silence,
    /// The electorate bears what may be lost.
    pub electorate: Electorates,
}

impl Checkers {
    /// Checkers that have seen nothing.
    pub fn new(bounds: Bounds, sizes: &Sizes) -> Checkers {
        Checkers {
            violations: Violations::default(),
            changes: Changes::default(),
            rollback: Rollback::default(),
            in_force: InForce::new(bounds),
            placers: Placers::new(bounds, sizes.fencing),
            loads: Loads::new(bounds),
            draining: Draining::new(bounds),
            liveness: Liveness::new(bounds),
            ends: Ends::new(bounds),
            silence: Silence::default(),
            electorate: Electorates::new(sizes),
        }
    }
}
