//! Placers: one holder an epoch, rising epochs, the lease between two holders.

use super::{Rule, Violations};
use crate::emulator::calm::Calm;
use crate::emulator::host::Host;
use crate::emulator::site::Bounds;
use std::collections::BTreeMap;

/// An order as a worker received it.
#[derive(Debug, Clone)]
pub struct OrderSeen {
    /// The core machine that sent it: one holder, whatever name it gives.
    pub sender: Host,
    /// The worker that received it.
    pub receiver: Host,
    /// Its epoch.
    pub epoch: u64,
}

/// Orders so far.
#[derive(Debug)]
pub struct Placers {
    bounds: Bounds,
    fencing: bool,
    holders: BTreeMap<u64, Host>,
    highest_epoch: u64,
    last_order: BTreeMap<Host, u64>,
    orders: u64,
}

impl Placers {
    /// No orders yet.
    pub fn new(bounds: Bounds, fencing: bool) -> Placers {
        Placers {
            bounds,
            fencing,
            holders: BTreeMap::new(),
            highest_epoch: 0,
            last_order: BTreeMap::new(),
            orders: 0,
        }
    }

    /// Orders that workers received.
    pub fn orders(&self) -> u64 {
        self.orders
    }

    /// A worker received an order.
    pub fn order(&mut self, now: u64, order: &OrderSeen, calm: &Calm, violations: &mut Violations) {
        self.orders += 1;
        let holder = self.holders.entry(order.epoch).or_insert(order.sender);
        if *holder != order.sender {
            let detail = format!("epoch {} is held by {holder} and {}", order.epoch, order.sender);
            violations.add(now, Rule::OneHolderPerEpoch, detail);
        }
        if calm.was_eased_lately(now, order.sender) || calm.was_eased_lately(now, order.receiver) {
            return;
        }
        if order.epoch < self.highest_epoch && !self.fencing {
            let detail =
                format!("{} orders under epoch {} after {}", order.sender, order.epoch, self.highest_epoch);
            violations.add(now, Rule::EpochsRise, detail);
        }
        self.highest_epoch = self.highest_epoch.max(order.epoch);
        if !self.fencing || calm.in_touch(now, order.sender) {
            self.check_lease(now, order, violations);
        }
    }

    fn check_lease(&mut self, now: u64, order: &OrderSeen, violations: &mut Violations) {
        let others = self.last_order.iter().filter(|(holder, _)| **holder != order.sender);
        if let Some((other, at)) = others.max_by_key(|(_, at)| **at) {
            if now < at + self.bounds.lease_ms {
                let detail = format!("{} orders {} ms after {other}", order.sender, now - at);
                violations.add(now, Rule::LeaseBetweenHolders, detail);
            }
        }
        self.last_order.insert(order.sender, now);
    }
}
