//! Addresses of publishers: which are known, which have failed, and in which order they are tried.
//!
//! Publishers come and go, and connections to one that is gone hang. So the order depends on the failures: an address that
//! has not failed comes first, then the one whose last failure is longest ago. However many addresses are gone, each known
//! one is tried in its turn.

use std::collections::{BTreeMap, BTreeSet};
use switchhill_protocol::Status;

/// Time in milliseconds for which an address is kept that no publisher names any more. Publishers learn of a new one at
/// slightly different times, so an address may be missing in the next status.
const FORGET_AFTER_MS: u64 = 3_000;

/// Delays in milliseconds between attempts to connect to the same address. The delay doubles with each failure.
#[derive(Debug, Clone, Copy)]
pub(crate) struct RetryDelays {
    /// Delay after the first failure.
    pub(crate) first: u64,
    /// Upper limit.
    pub(crate) longest: u64,
}

impl RetryDelays {
    fn after(&self, failures: u32) -> u64 {
        let doublings = failures.saturating_sub(1).min(u64::BITS - 1);
        self.first.saturating_mul(1 << doublings).min(self.longest)
    }
}

/// What is known of one address.
#[derive(Debug, Default)]
struct Publisher {
    /// Zone of the machine, as far as reported.
    zone: Option<String>,
    /// Time at which a publisher last named it.
    named_at: u64,
    /// Attempts and links that failed since the address last answered.
    failures: u32,
    /// Time of the last of them.
    failed_at: Option<u64>,
}

/// The publishers that one subscriber knows.
#[derive(Debug)]
pub(crate) struct KnownPublishers {
    /// Makes the order of addresses that have not failed a different one for each subscriber.
    order_seed: u64,
    seeds: BTreeSet<String>,
    by_address: BTreeMap<String, Publisher>,
}

impl KnownPublishers {
    /// Creates the table of the subscriber `name`, which knows `seeds`.
    pub(crate) fn new(name: &str, seeds: impl IntoIterator<Item = String>) -> KnownPublishers {
        let mut publishers = KnownPublishers {
            order_seed: hash(name.as_bytes(), 0),
            seeds: BTreeSet::new(),
            by_address: BTreeMap::new(),
        };
        publishers.set_seeds(seeds);
        publishers
    }

    /// Replaces the seeds. Former ones stay known until they are forgotten like any other.
    pub(crate) fn set_seeds(&mut self, seeds: impl IntoIterator<Item = String>) {
        self.seeds = seeds.into_iter().collect();
        for seed in &self.seeds {
            self.by_address.entry(seed.clone()).or_default();
        }
    }

    /// Notes the addresses that a publisher names, and their zones.
    pub(crate) fn named(&mut self, now: u64, status: &Status) {
        for (index, address) in status.core.iter().enumerate() {
            let publisher = self.by_address.entry(address.clone()).or_default();
            publisher.named_at = now;
            let zone = status.core_zones.get(index).filter(|zone| !zone.is_empty());
            publisher.zone = zone.cloned().or(publisher.zone.take());
        }
    }

    /// Notes that a connection to an address failed or was lost.
    pub(crate) fn failed(&mut self, now: u64, address: String) {
        let publisher = self.by_address.entry(address).or_default();
        publisher.failures = publisher.failures.saturating_add(1);
        publisher.failed_at = Some(now);
    }

    /// Notes that the publisher at an address has answered.
    pub(crate) fn answered(&mut self, address: &str) {
        if let Some(publisher) = self.by_address.get_mut(address) {
            publisher.failures = 0;
            publisher.failed_at = None;
        }
    }

    /// Forgets the addresses that no publisher has named lately, except the seeds. To be called only while a publisher with
    /// quorum contact is connected: a subscriber without one needs all that it has known.
    pub(crate) fn forget_unnamed(&mut self, now: u64) {
        let seeds = &self.seeds;
        let is_recent = |publisher: &Publisher| now < publisher.named_at + FORGET_AFTER_MS;
        self.by_address.retain(|address, publisher| seeds.contains(address) || is_recent(publisher));
    }

    /// Zone of the machine at an address, as far as reported.
    pub(crate) fn zone(&self, address: &str) -> Option<&str> {
        self.by_address.get(address)?.zone.as_deref()
    }

    /// Iterates over the addresses that may be tried now.
    pub(crate) fn due(&self, now: u64, delays: RetryDelays) -> impl Iterator<Item = &String> {
        let is_due = move |publisher: &Publisher| {
            publisher.failed_at.is_none_or(|at| now >= at + delays.after(publisher.failures))
        };
        self.by_address.iter().filter(move |(_, publisher)| is_due(publisher)).map(|(address, _)| address)
    }

    /// Time of the last failure of an address; `None`, which comes first, if there was none since it last answered.
    pub(crate) fn failed_at(&self, address: &str) -> Option<u64> {
        self.by_address.get(address)?.failed_at
    }

    /// Place of an address in the subscriber's own order.
    pub(crate) fn rank(&self, address: &str) -> u64 {
        hash(address.as_bytes(), self.order_seed)
    }
}

/// Seeded FNV-1a with a finalizer, so that similar addresses get unrelated hashes.
fn hash(bytes: &[u8], seed: u64) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let initial = OFFSET ^ seed.rotate_left(17);
    let hashed = bytes.iter().fold(initial, |state, byte| (state ^ u64::from(*byte)).wrapping_mul(PRIME));
    let mixed = (hashed ^ (hashed >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
