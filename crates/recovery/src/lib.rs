//! A gateway's return after a restart, alone or with most others, or after the shared store was lost.
//!
//! Four decisions, each a state machine without I/O: when to try again what failed ([`Backoff`]), when to begin what all
//! would begin at once ([`staggered_start`]), what of a state that outlived its process may be used ([`MaxAges::reuse`]), and how
//! far the return has come ([`RecoveryProgress`]). Times are milliseconds of the caller's clock, passed in.
//!
//! ```
//! use switchhill_recovery::{MaxAges, StatePart, Reuse};
//!
//! let ages = MaxAges::default();
//! assert_eq!(ages.reuse(StatePart::Prices, 1_000, true), Reuse::Whole);
//! assert_eq!(ages.reuse(StatePart::Prices, 60_000, true), Reuse::Not);
//! assert_eq!(ages.reuse(StatePart::Slices, 1_000, false), Reuse::AsBound, "another version: never as a looser rule");
//! ```

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::time::Duration;

/// A moment or a span on the caller's clock, in milliseconds.
pub type Ms = u64;

/// Waits between tries: full jitter under a ceiling that doubles with each failure.
///
/// Each wait is drawn evenly from 1 ms to the ceiling, so that many who failed together come back apart: after a store
/// was away, the tries of all gateways in any span shorter than the ceiling are a Poisson-like trickle, not a burst.
#[derive(Debug)]
pub struct Backoff {
    builder: ExponentialBuilder,
    ceilings: ExponentialBackoff,
    max_delay: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// A first ceiling of `first_ms`, doubled up to `max_ms`; `seed` is the gateway's told one, so that no two draw
    /// the same waits.
    #[must_use]
    pub fn new(first_ms: Ms, max_ms: Ms, seed: u64) -> Self {
        let max_delay = Duration::from_millis(max_ms.max(1));
        let builder = ExponentialBuilder::new()
            .with_min_delay(Duration::from_millis(first_ms.max(1)))
            .with_max_delay(max_delay)
            .with_factor(2.0)
            .without_max_times();
        Self { builder, ceilings: builder.build(), max_delay, rng: fastrand::Rng::with_seed(seed) }
    }

    /// It failed: how long to wait before the next try.
    pub fn next_delay(&mut self) -> Ms {
        let ceiling = self.ceilings.next().unwrap_or(self.max_delay);
        self.rng.u64(1..=(ceiling.as_millis() as Ms).max(1))
    }

    /// It went well: the next failure waits little again.
    pub fn reset(&mut self) {
        self.ceilings = self.builder.build();
    }
}

/// When, after its start, a gateway begins what all that started with it would begin at once: evenly over `spread_ms` by
/// its told number, and moved within its own part by its seed.
#[must_use]
pub fn staggered_start(spread_ms: Ms, gateways: u32, ordinal: u32, seed: u64) -> Ms {
    let gateways = u64::from(gateways.max(1));
    let slot = spread_ms / gateways;
    let jitter = if slot > 0 { fastrand::Rng::with_seed(seed).u64(0..=slot) } else { 0 };
    (u64::from(ordinal) % gateways * spread_ms / gateways + jitter).min(spread_ms)
}

/// A part of the state that outlives a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatePart {
    /// Hosts that operators called out.
    Cordons,
    /// Discovery's list.
    List,
    /// Customers' use and their slices of the quotas.
    Slices,
    /// What requests cost others, by class.
    Prices,
    /// What is known of hosts' speed and faults.
    Evidence,
}

/// How a part may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// As it was.
    Whole,
    /// Only where it is the stricter: it may hold back, never allow.
    AsBound,
    /// Not at all.
    Not,
}

/// Up to which age each part is used, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxAges {
    /// Cordons hold back only, so they are good for long.
    pub cordons: Ms,
    /// A list stands in until discovery answers.
    pub list: Ms,
    /// Slices as they were: within these many milliseconds no more than a meter period or two has been missed.
    pub slices: Ms,
    /// Slices as a bound.
    pub slices_bound: Ms,
    /// Prices follow the load of seconds.
    pub prices: Ms,
    /// Hosts' speed changes over minutes; a ramp's begin is good as long as the host has not started anew.
    pub evidence: Ms,
}

impl Default for MaxAges {
    fn default() -> Self {
        Self {
            cordons: 24 * 3_600_000,
            list: 600_000,
            slices: 4_000,
            slices_bound: 60_000,
            prices: 5_000,
            evidence: 60_000,
        }
    }
}

impl MaxAges {
    /// How `part` may be used that is `age` old, and was made under the settings in force now or under others.
    #[must_use]
    pub fn reuse(&self, part: StatePart, age: Ms, same_settings: bool) -> Reuse {
        let up_to = |most: Ms, how: Reuse| if age <= most { how } else { Reuse::Not };
        match part {
            StatePart::Cordons => up_to(self.cordons, Reuse::AsBound),
            StatePart::List => up_to(self.list, Reuse::AsBound),
            StatePart::Slices if same_settings && age <= self.slices => Reuse::Whole,
            StatePart::Slices => up_to(self.slices_bound, Reuse::AsBound),
            // Under other settings a price is that of another load; it says nothing.
            StatePart::Prices if !same_settings => Reuse::Not,
            StatePart::Prices => up_to(self.prices, Reuse::Whole),
            StatePart::Evidence => up_to(self.evidence, Reuse::Whole),
        }
    }
}

/// How far a return has come. Each phase is reached once, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process runs.
    #[default]
    Started,
    /// The shared store has answered, where there is one.
    StoreReached,
    /// Both registers are confirmed, where there is agreement.
    VersionsAgreed,
    /// Hosts are known, and those that take requests are warm.
    HostsWarm,
    /// For a second nothing was turned away for want of a host, or by price.
    FullService,
}

impl std::fmt::Display for Phase {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Phase::Started => "started",
            Phase::StoreReached => "store reached",
            Phase::VersionsAgreed => "versions agreed",
            Phase::HostsWarm => "hosts warm",
            Phase::FullService => "full service",
        })
    }
}

/// What a gateway sees of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// The store answered, or there is none.
    pub store_reached: bool,
    /// The registers are confirmed, or there is no agreement.
    pub versions_agreed: bool,
    /// Hosts are known and none of those in use is cold.
    pub hosts_warm: bool,
    /// When something was last turned away for want of a host or by price.
    pub last_refused_at: Option<Ms>,
}

/// Nothing turned away for this long is full service.
pub const FULL_SERVICE_QUIET_MS: Ms = 1000;

/// The phases of one return.
#[derive(Debug)]
pub struct RecoveryProgress {
    started: Ms,
    phase: Phase,
}

impl RecoveryProgress {
    /// A process that started at `now`.
    #[must_use]
    pub fn new(now: Ms) -> Self {
        Self { started: now, phase: Phase::Started }
    }

    /// The phase reached.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Looks at what there is at `now`; gives each phase that is reached by it, with how long after the start.
    pub fn observe(&mut self, now: Ms, observation: Observation) -> Vec<(Phase, Ms)> {
        let mut reached = Vec::new();
        let quiet_since = observation.last_refused_at.unwrap_or(self.started).max(self.started);
        loop {
            let (next, reached_next) = match self.phase {
                Phase::Started => (Phase::StoreReached, observation.store_reached),
                Phase::StoreReached => (Phase::VersionsAgreed, observation.versions_agreed),
                Phase::VersionsAgreed => (Phase::HostsWarm, observation.hosts_warm),
                Phase::HostsWarm => {
                    (Phase::FullService, now.saturating_sub(quiet_since) >= FULL_SERVICE_QUIET_MS)
                }
                Phase::FullService => break,
            };
            if !reached_next {
                break;
            }
            self.phase = next;
            reached.push((next, now.saturating_sub(self.started)));
        }
        reached
    }
}

#[cfg(test)]
mod tests;
