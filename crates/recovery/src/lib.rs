//! Recovery of a gateway after a restart, alone or together with most others, or after the loss of the shared
//! store.
//!
//! The crate makes four decisions, each without I/O: when to retry a failed operation ([`Backoff`]), when to
//! start an operation that all gateways would otherwise start at once ([`staggered_start`]), which parts of a
//! state that outlived its process may be used ([`MaxAges::reuse`]), and how far the recovery has progressed
//! ([`RecoveryProgress`]). Times are milliseconds of the caller's clock, passed in.
//!
//! ```
//! use switchhill_recovery::{MaxAges, Reuse, StatePart};
//!
//! let ages = MaxAges::default();
//! assert_eq!(ages.reuse(StatePart::Prices, 1_000, true), Reuse::Whole);
//! assert_eq!(ages.reuse(StatePart::Prices, 60_000, true), Reuse::Not);
//! assert_eq!(ages.reuse(StatePart::Slices, 1_000, false), Reuse::AsBound, "other settings: only as a bound");
//! ```

use backon::{BackoffBuilder, ExponentialBackoff, ExponentialBuilder};
use std::time::Duration;

/// A time or a duration on the caller's clock, in milliseconds.
pub type Ms = u64;

/// Exponential backoff with full jitter.
///
/// Each delay is drawn uniformly from 1 ms to a ceiling that doubles with each failure. Clients that failed
/// together therefore retry at different times: after a store outage, the retries of all gateways within any
/// interval shorter than the ceiling are nearly Poisson distributed instead of a burst.
#[derive(Debug)]
pub struct Backoff {
    builder: ExponentialBuilder,
    ceilings: ExponentialBackoff,
    max_delay: Duration,
    rng: fastrand::Rng,
}

impl Backoff {
    /// The first ceiling is `first_ms`, doubled up to `max_ms`. `seed` must differ between gateways, so that
    /// no two draw the same delays.
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

    /// Returns the delay before the next attempt after a failure.
    pub fn next_delay(&mut self) -> Ms {
        let ceiling = self.ceilings.next().unwrap_or(self.max_delay);
        self.rng.u64(1..=(ceiling.as_millis() as Ms).max(1))
    }

    /// Resets the ceiling to its first value after a success.
    pub fn reset(&mut self) {
        self.ceilings = self.builder.build();
    }
}

/// The delay after its start at which a gateway begins an operation that all gateways started with it would
/// begin at once. Gateways are spread evenly over `spread_ms` by their ordinal, with a random offset from
/// `seed` within each gateway's share.
#[must_use]
pub fn staggered_start(spread_ms: Ms, gateways: u32, ordinal: u32, seed: u64) -> Ms {
    let gateways = u64::from(gateways.max(1));
    let slot = spread_ms / gateways;
    let jitter = if slot > 0 { fastrand::Rng::with_seed(seed).u64(0..=slot) } else { 0 };
    (u64::from(ordinal) % gateways * spread_ms / gateways + jitter).min(spread_ms)
}

/// A part of the state that outlives a process. A log line prints the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatePart {
    /// Hosts that operators have cordoned.
    Cordons,
    /// The list of hosts from discovery.
    List,
    /// Customers' usage and their slices of the quotas.
    Slices,
    /// Congestion prices by class.
    Prices,
    /// Measured speed and faults of hosts.
    Evidence,
}

/// How a part of the state may be reused. A log line prints the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    /// Unchanged.
    Whole,
    /// Only where it is stricter than the current state: it may restrict, never permit.
    AsBound,
    /// Not at all.
    Not,
}

/// Maximum age at which each part is reused, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MaxAges {
    /// Cordons only restrict, so they stay valid for long.
    pub cordons: Ms,
    /// The list is used until discovery responds.
    pub list: Ms,
    /// Slices unchanged: within this time no more than one or two meter periods have been missed.
    pub slices: Ms,
    /// Slices as an upper bound.
    pub slices_bound: Ms,
    /// Prices follow the load within seconds.
    pub prices: Ms,
    /// The speed of hosts changes over minutes, and the start of a ramp is valid until the host restarts.
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
    /// How `part` of the given age may be reused. `same_settings` tells whether it was saved under the
    /// current settings.
    #[must_use]
    pub fn reuse(&self, part: StatePart, age: Ms, same_settings: bool) -> Reuse {
        let up_to = |most: Ms, how: Reuse| if age <= most { how } else { Reuse::Not };
        match part {
            StatePart::Cordons => up_to(self.cordons, Reuse::AsBound),
            StatePart::List => up_to(self.list, Reuse::AsBound),
            StatePart::Slices if same_settings && age <= self.slices => Reuse::Whole,
            StatePart::Slices => up_to(self.slices_bound, Reuse::AsBound),
            // Under other settings a price reflects a different load and is meaningless.
            StatePart::Prices if !same_settings => Reuse::Not,
            StatePart::Prices => up_to(self.prices, Reuse::Whole),
            StatePart::Evidence => up_to(self.evidence, Reuse::Whole),
        }
    }
}

/// Phases of a recovery. Each is reached once, in this order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The process is running.
    #[default]
    Started,
    /// The shared store has responded, or there is none.
    StoreReached,
    /// Both registers are confirmed, or there is no agreement.
    VersionsAgreed,
    /// Hosts are known, and those that take requests are warm.
    HostsWarm,
    /// For one second no request was refused for lack of a host or because of its price.
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

/// What a gateway observes of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// The store has responded, or there is none.
    pub store_reached: bool,
    /// The registers are confirmed, or there is no agreement.
    pub versions_agreed: bool,
    /// Hosts are known, and none of those in use is cold.
    pub hosts_warm: bool,
    /// When a request was last refused for lack of a host or because of its price.
    pub last_refused_at: Option<Ms>,
}

/// Time without refusals after which full service is reached.
pub const FULL_SERVICE_QUIET_MS: Ms = 1000;

/// Tracks the phases of one recovery.
#[derive(Debug)]
pub struct RecoveryProgress {
    started: Ms,
    phase: Phase,
}

impl RecoveryProgress {
    /// Starts tracking for a process that started at `now`.
    #[must_use]
    pub fn new(now: Ms) -> Self {
        Self { started: now, phase: Phase::Started }
    }

    /// The last phase reached.
    #[must_use]
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Advances with the observation at `now`. Returns each phase newly reached and the time since the start.
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
