//! What upstream hosts have seen, by their own records.

use std::collections::HashMap;
use std::time::Duration;
use tokio::time::Instant;

/// The meter's period.
pub(super) const METER: Duration = Duration::from_secs(2);

/// What the boxes have seen, by their own records.
#[derive(Debug, Default)]
pub struct Records {
    /// When each id came first, and how often it ran.
    seen: HashMap<u64, (Instant, u32)>,
    pub(super) double_charges: u64,
    pub(super) after_drain: u64,
    pub(super) falls: u64,
    pub(super) turned_away: u64,
    pub(super) served: u64,
    /// Units by customer in this period and the last one.
    meter: [HashMap<u64, f64>; 2],
    turned: Option<Instant>,
    /// The greatest share of what a box can do that it was sent over [`super::host::FALL_SPAN`], at its speed then.
    pub(super) peak_load: f64,
    /// By customer, what its quota still holds: a bucket of its burst, filled at its rate, over all boxes.
    quotas: HashMap<u64, (f64, Instant)>,
    /// Units served beyond that, by customer.
    beyond: HashMap<u64, f64>,
}

impl Records {
    /// The greatest load that a box was sent, as a share of what it can do.
    #[must_use]
    pub fn peak_load(&self) -> f64 {
        self.peak_load
    }

    /// Units served beyond the quotas: of all customers, and of the one with the most.
    #[must_use]
    pub fn beyond(&self) -> (f64, f64) {
        (self.beyond.values().sum(), self.beyond.values().copied().fold(0.0, f64::max))
    }

    /// From now on counts what is served beyond the quotas anew: the first fault begins.
    pub fn mark(&mut self) {
        self.beyond.clear();
        self.peak_load = 0.0;
    }

    /// One unit served to a customer of a plan with this rate and burst.
    pub(super) fn take_from_quota(&mut self, now: Instant, customer: u64, (rate, burst): (f64, f64)) {
        let (left, at) = self.quotas.entry(customer).or_insert((burst, now));
        *left = (*left + rate * (now - *at).as_secs_f64()).min(burst);
        *at = now;
        if *left >= 1.0 {
            *left -= 1.0;
        } else {
            *self.beyond.entry(customer).or_default() += 1.0;
        }
    }

    /// When the request with this id first came to a box.
    #[must_use]
    pub fn came(&self, id: u64) -> Option<Instant> {
        self.seen.get(&id).map(|(at, _)| *at)
    }

    /// Payments that ran twice.
    #[must_use]
    pub fn double_charges(&self) -> u64 {
        self.double_charges
    }

    /// Requests that reached a box over 250 ms after it was told to drain.
    #[must_use]
    pub fn after_drain(&self) -> u64 {
        self.after_drain
    }

    /// Boxes pushed over.
    #[must_use]
    pub fn falls(&self) -> u64 {
        self.falls
    }

    /// Requests turned away, and served.
    #[must_use]
    pub fn turned_away_and_served(&self) -> (u64, u64) {
        (self.turned_away, self.served)
    }

    /// Counts a request that a host works on; true where it had run before.
    pub(super) fn begin(&mut self, now: Instant, id: u64) -> bool {
        let (_, runs) = self.seen.entry(id).or_insert((now, 0));
        *runs += 1;
        *runs > 1
    }

    /// Counts a customer's units; gives its use in the last finished period.
    pub(super) fn meter(&mut self, now: Instant, customer: u64) -> Option<f64> {
        let turned = *self.turned.get_or_insert(now);
        if now - turned >= METER {
            self.turned = Some(turned + METER * ((now - turned).as_nanos() / METER.as_nanos()) as u32);
            self.meter.swap(0, 1);
            self.meter[0].clear();
        }
        *self.meter[0].entry(customer).or_default() += 1.0;
        self.meter[1].get(&customer).copied()
    }
}
