//! A gateway's return after a restart, alone or with most others, or after the shared store was lost.
//!
//! Four decisions, each a state machine without I/O: when to try again what failed ([`Backoff`]), when to begin what all
//! would begin at once ([`first_at`]), what of a state that outlived its process may be used ([`Ages::judge`]), and how
//! far the return has come ([`Return`]). Times are milliseconds of the caller's clock, passed in.
//!
//! ```
//! use switchhill_recovery::{Ages, Part, Use};
//!
//! let ages = Ages::default();
//! assert_eq!(ages.judge(Part::Prices, 1_000, true), Use::Whole);
//! assert_eq!(ages.judge(Part::Prices, 60_000, true), Use::Not);
//! assert_eq!(ages.judge(Part::Slices, 1_000, false), Use::AsBound, "another version: never as a looser rule");
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
    longest: Duration,
    chance: fastrand::Rng,
}

impl Backoff {
    /// A first ceiling of `first_ms`, doubled up to `longest_ms`; `seed` is the gateway's told one, so that no two draw
    /// the same waits.
    #[must_use]
    pub fn new(first_ms: Ms, longest_ms: Ms, seed: u64) -> Self {
        let longest = Duration::from_millis(longest_ms.max(1));
        let builder = ExponentialBuilder::new()
            .with_min_delay(Duration::from_millis(first_ms.max(1)))
            .with_max_delay(longest)
            .with_factor(2.0)
            .without_max_times();
        Self { builder, ceilings: builder.build(), longest, chance: fastrand::Rng::with_seed(seed) }
    }

    /// It failed: how long to wait before the next try.
    pub fn failed(&mut self) -> Ms {
        let ceiling = self.ceilings.next().unwrap_or(self.longest);
        self.chance.u64(1..=(ceiling.as_millis() as Ms).max(1))
    }

    /// It went well: the next failure waits little again.
    pub fn succeeded(&mut self) {
        self.ceilings = self.builder.build();
    }
}

/// When, after its start, a gateway begins what all that started with it would begin at once: evenly over `spread_ms` by
/// its told number, and moved within its own part by its seed.
#[must_use]
pub fn first_at(spread_ms: Ms, gateways: u32, ordinal: u32, seed: u64) -> Ms {
    let gateways = u64::from(gateways.max(1));
    let part = spread_ms / gateways;
    let within = if part > 0 { fastrand::Rng::with_seed(seed).u64(0..=part) } else { 0 };
    (u64::from(ordinal) % gateways * spread_ms / gateways + within).min(spread_ms)
}

/// A part of the state that outlives a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
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
pub enum Use {
    /// As it was.
    Whole,
    /// Only where it is the stricter: it may hold back, never allow.
    AsBound,
    /// Not at all.
    Not,
}

/// Up to which age each part is used, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ages {
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

impl Default for Ages {
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

impl Ages {
    /// How `part` may be used that is `age` old, and was made under the settings in force now or under others.
    #[must_use]
    pub fn judge(&self, part: Part, age: Ms, same_settings: bool) -> Use {
        let up_to = |most: Ms, how: Use| if age <= most { how } else { Use::Not };
        match part {
            Part::Cordons => up_to(self.cordons, Use::AsBound),
            Part::List => up_to(self.list, Use::AsBound),
            Part::Slices if same_settings && age <= self.slices => Use::Whole,
            Part::Slices => up_to(self.slices_bound, Use::AsBound),
            // Under other settings a price is that of another load; it says nothing.
            Part::Prices if !same_settings => Use::Not,
            Part::Prices => up_to(self.prices, Use::Whole),
            Part::Evidence => up_to(self.evidence, Use::Whole),
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
pub struct Seen {
    /// The store answered, or there is none.
    pub store: bool,
    /// The registers are confirmed, or there is no agreement.
    pub versions: bool,
    /// Hosts are known and none of those in use is cold.
    pub warm: bool,
    /// When something was last turned away for want of a host or by price.
    pub pressed_at: Option<Ms>,
}

/// Nothing turned away for this long is full service.
pub const UNPRESSED_MS: Ms = 1000;

/// The phases of one return.
#[derive(Debug)]
pub struct Return {
    started: Ms,
    phase: Phase,
}

impl Return {
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
    pub fn observe(&mut self, now: Ms, seen: Seen) -> Vec<(Phase, Ms)> {
        let mut reached = Vec::new();
        let unpressed_since = seen.pressed_at.unwrap_or(self.started).max(self.started);
        loop {
            let (next, there) = match self.phase {
                Phase::Started => (Phase::StoreReached, seen.store),
                Phase::StoreReached => (Phase::VersionsAgreed, seen.versions),
                Phase::VersionsAgreed => (Phase::HostsWarm, seen.warm),
                Phase::HostsWarm => (Phase::FullService, now.saturating_sub(unpressed_since) >= UNPRESSED_MS),
                Phase::FullService => break,
            };
            if !there {
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
