//! What this gateway sent on, by period and customer, and how much of it the store was told.

use crate::{Ms, ABSENT_FOR, FLUSH, REBUILT_WITHIN};
use std::collections::{BTreeMap, VecDeque};

/// How long after a period's end its totals are read: by then every gateway has written its last batch.
const READ_AFTER: Ms = 300.0;
/// What all gateways together tell again a second to a store that was lost; each its part, by the told number.
const AGAIN_PER_SECOND: f64 = 400.0;
/// Adds in one batch; what is over waits for the next.
const MOST_ADDS: usize = 512;
/// Less than this is what is left of sums of fractions.
const LEAST: f64 = 1e-9;
/// Periods whose parts are kept.
const KEPT: i64 = 3;

/// What a gateway sent on for each customer since the last call: units, and the quota's rate a second.
pub type Sent = BTreeMap<u64, (f64, f64)>;

/// Units to be added for a customer in a period.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Add {
    /// The meter period: the clock divided by its length.
    pub period: i64,
    /// The customer.
    pub customer: u64,
    /// How many.
    pub units: f64,
    /// The key is new to this gateway in this life of the store: it has to be told how long to live.
    pub first: bool,
}

/// One transaction: executed whole or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Batch {
    /// Its number among this process' own; they are executed in order, each once.
    pub number: u64,
    pub adds: Vec<Add>,
    /// A period whose part is whole with this batch.
    pub closes: Option<i64>,
    /// The store that it was written to is gone: what it adds is among what is told again, unless it is found executed.
    pub lost: bool,
}

/// This gateway's part of a customer's use in one period.
#[derive(Debug, Clone, Copy, Default)]
struct Part {
    units: f64,
    rate: f64,
    /// Written out in the store's present life.
    told: f64,
    /// To be told in its turn, since all gateways have as much to tell at this moment.
    held: f64,
    /// The key has been told how long to live.
    lives: bool,
}

impl Part {
    fn news(&self) -> f64 {
        self.units - self.told - self.held
    }
}

#[derive(Debug)]
pub(crate) struct Account {
    period: Ms,
    gateways: f64,
    current: i64,
    parts: BTreeMap<i64, BTreeMap<u64, Part>>,
    unread: Option<i64>,
    read_at: Ms,
    /// The period that is read a second time, since not every gateway had closed it at the first.
    reread: Option<i64>,
    unclosed: Option<i64>,
    number: u64,
    /// The batch that is written and not known to be executed.
    pub out: Option<Batch>,
    again: VecDeque<(i64, u64)>,
    allowance: f64,
    /// Totals read before then may lack somebody's part.
    pub trusted_from: Ms,
    /// Marks that were there at a period's end, and when: only those that no later one reached.
    marks: VecDeque<(Ms, u64)>,
}

impl Account {
    pub fn new(period: Ms, gateways: u32, now: Ms) -> Self {
        Self {
            period,
            gateways: f64::from(gateways.max(1)),
            current: (now / period).floor() as i64,
            parts: BTreeMap::new(),
            unread: None,
            read_at: 0.0,
            reread: None,
            unclosed: None,
            number: 0,
            out: None,
            again: VecDeque::new(),
            allowance: 0.0,
            trusted_from: now + REBUILT_WITHIN,
            marks: VecDeque::new(),
        }
    }

    /// Another number of gateways or length of the period from now on; a period that is open is told as it was begun.
    pub fn retune(&mut self, period: Ms, gateways: u32, now: Ms) {
        self.gateways = f64::from(gateways.max(1));
        if period > 0.0 && (period - self.period).abs() > f64::EPSILON {
            self.parts.clear();
            self.again.clear();
            // Danger: said again, it would be added under a number that another period has now.
            self.out.iter_mut().for_each(|batch| batch.lost = true);
            (self.unread, self.unclosed) = (None, None);
            (self.period, self.current) = (period, (now / period).floor() as i64);
        }
    }

    /// The oldest period of which totals are still asked; of the ones before nothing is told any more.
    fn oldest(&self) -> i64 {
        self.unread.unwrap_or(self.current)
    }

    fn read_after(&self) -> Ms {
        READ_AFTER.min(0.4 * self.period)
    }

    /// Not all have closed the period: it is read once more a little later. False where that has been done.
    pub fn read_again(&mut self, now: Ms, period: i64) -> bool {
        // Clocks are apart, and batches late: who has not closed it yet may be about to.
        let again = self.reread != Some(period) && period == self.current - 1;
        if again {
            self.reread = Some(period);
            (self.unread, self.read_at) = (Some(period), now + self.read_after());
        }
        again || self.unread == Some(period)
    }

    /// The next time to write or read.
    pub fn next(&self, now: Ms) -> Ms {
        // Danger: a period's totals that are not read before the next one ends are never read.
        let read = if self.unread.is_some() { self.read_at } else { f64::INFINITY };
        let end = (self.current + 1) as f64 * self.period;
        (now + FLUSH).min(end).min(read).max(now + 1.0)
    }

    /// Takes what was sent on since the last call, and moves on to the period of `now`. Tells the period whose totals
    /// are to be read, with the customers that are asked for.
    pub fn turn(&mut self, now: Ms, sent: Sent) -> Option<(i64, Vec<u64>)> {
        let parts = self.parts.entry(self.current).or_default();
        for (customer, (units, rate)) in sent {
            let part = parts.entry(customer).or_default();
            (part.units, part.rate) = (part.units + units, rate);
        }
        let present = (now / self.period).floor() as i64;
        if present > self.current {
            (self.current, self.unread, self.unclosed) = (present, Some(present - 1), Some(present - 1));
            self.read_at = present as f64 * self.period + self.read_after();
            self.parts.retain(|period, _| *period >= present - KEPT);
        }
        let due = self.unread.filter(|_| now >= self.read_at);
        due.map(|period| {
            self.unread = None;
            // A customer that was quiet here lately may have been busy elsewhere.
            let mut customers: Vec<u64> =
                self.parts.values().flat_map(|parts| parts.keys().copied()).collect();
            customers.sort_unstable();
            customers.dedup();
            (period, customers)
        })
    }

    /// The next batch, where there is anything to say and none is out.
    pub fn batch(&mut self) -> Option<&Batch> {
        if self.out.is_some() {
            return None;
        }
        let oldest = self.oldest();
        self.again.retain(|(period, _)| *period >= oldest);
        if !self.again.is_empty() {
            self.allowance += AGAIN_PER_SECOND / self.gateways * FLUSH / 1000.0;
            let some = (self.allowance as usize).min(self.again.len());
            self.allowance -= some as f64;
            for (period, customer) in self.again.drain(..some).collect::<Vec<_>>() {
                self.part(period, customer).into_iter().for_each(|part| part.held = 0.0);
            }
        }
        let (mut adds, mut left) = (Vec::new(), false);
        for (&period, parts) in self.parts.range_mut(oldest..) {
            for (&customer, part) in parts {
                let units = part.news();
                if units <= LEAST {
                    continue;
                }
                if adds.len() >= MOST_ADDS {
                    left = true;
                    break;
                }
                adds.push(Add { period, customer, units, first: !part.lives });
                (part.told, part.lives) = (part.told + units, true);
            }
        }
        let whole = |period: &i64| !left && self.again.iter().all(|(held, _)| held != period);
        let closes = self.unclosed.filter(whole);
        if adds.is_empty() && closes.is_none() {
            return None;
        }
        self.unclosed = self.unclosed.filter(|_| closes.is_none());
        self.number += 1;
        self.out = Some(Batch { number: self.number, adds, closes, lost: false });
        self.out.as_ref()
    }

    fn part(&mut self, period: i64, customer: u64) -> Option<&mut Part> {
        self.parts.get_mut(&period)?.get_mut(&customer)
    }

    /// What the batch that is out made of its totals: one below this gateway's own part has been lost since its last add, and
    /// is told again. True where there was one.
    pub fn became(&mut self, totals: impl Iterator<Item = Option<f64>>) -> bool {
        let adds: Vec<Add> =
            self.out.iter().filter(|batch| !batch.lost).flat_map(|b| &b.adds).copied().collect();
        let before = self.again.len();
        for (add, total) in adds.iter().zip(totals) {
            let Some(part) = self.part(add.period, add.customer) else { continue };
            let gone = part.told - add.units;
            if total.is_some_and(|total| total < part.told - 1e-6) && gone > 0.0 {
                let in_line = part.held > 0.0;
                (part.told, part.lives, part.held) = (add.units, false, part.held + gone);
                if !in_line {
                    self.again.push_back((add.period, add.customer));
                }
            }
        }
        self.again.len() > before
    }

    /// The batch that was out is executed.
    pub fn executed(&mut self) {
        let Some(batch) = self.out.take().filter(|batch| batch.lost) else { return };
        // Executed in the life that told of the loss: that much is there already.
        for add in batch.adds {
            if let Some(part) = self.part(add.period, add.customer) {
                let there = add.units.min(part.held);
                (part.told, part.held) = (part.told + there, part.held - there);
            }
        }
    }

    /// The batch that was out was not executed so far; what of it is still to be said is said again under the same number.
    pub fn not_executed(&mut self) {
        let oldest = self.oldest();
        if let Some(batch) = self.out.as_mut().filter(|batch| !batch.lost) {
            batch.adds.retain(|add| add.period >= oldest);
            batch.closes = batch.closes.filter(|period| *period >= oldest);
            if batch.adds.is_empty() && batch.closes.is_none() {
                // Never mind one that still arrives: all that it adds to is over.
                self.out = None;
            }
        }
    }

    /// The number with which a batch that was lost can be shut out: once it stands there, that one is never executed.
    pub fn fence(&self) -> Option<u64> {
        self.out.as_ref().filter(|batch| batch.lost).map(|batch| batch.number + 1)
    }

    /// The batch that was out is shut out: what it said is said again by others.
    pub fn fenced(&mut self, number: u64) {
        self.out = None;
        self.number = self.number.max(number);
    }

    /// The store is reached again: what has gathered is told in turn, since every gateway that was cut off has as much.
    pub fn back(&mut self) {
        self.hold(|part| {
            let news = part.news();
            part.held += news.max(0.0);
        });
    }

    /// The store has lost what it held: all of it is to be told again, in turn, and totals wait for the others.
    pub fn lost(&mut self, now: Ms) {
        if let Some(batch) = &mut self.out {
            batch.lost = true;
        }
        self.hold(|part| {
            part.held += part.told;
            (part.told, part.lives) = (0.0, false);
        });
        self.allowance = 0.0;
        self.trusted_from = now + REBUILT_WITHIN;
    }

    fn hold(&mut self, how: impl Fn(&mut Part)) {
        let oldest = self.oldest();
        self.again.clear();
        for (&period, parts) in self.parts.range_mut(oldest..) {
            for (&customer, part) in parts {
                how(part);
                if part.held > 0.0 {
                    self.again.push_back((period, customer));
                }
            }
        }
    }

    /// How much of what was counted of a customer in a period is not in the store, for the tests.
    #[cfg(test)]
    pub fn untold(&self) -> f64 {
        self.parts.values().flat_map(|parts| parts.values()).map(|part| part.units - part.told).sum()
    }

    /// A period's marks were read: the share of the gateways whose part is missing from its totals.
    pub fn marked(&mut self, now: Ms, marks: u64) -> f64 {
        self.marks.retain(|(at, _)| now - at <= ABSENT_FOR);
        while self.marks.back().is_some_and(|(_, seen)| *seen <= marks) {
            self.marks.pop_back();
        }
        self.marks.push_back((now, marks));
        let expected = self.marks.front().map_or(marks, |(_, seen)| *seen);
        if expected > marks {
            (expected - marks) as f64 / expected as f64
        } else {
            0.0
        }
    }

    /// A customer's use in percent of its quota, from a period's total; `None` where it cannot be so. `missing` is the share
    /// of the gateways whose part is not in it.
    pub fn percent(
        &self,
        now: Ms,
        period: i64,
        customer: u64,
        total: Option<f64>,
        missing: f64,
    ) -> Option<f64> {
        // Danger: a total to which somebody's part is still missing is too low, and slices would grow by it.
        if now < self.trusted_from || !self.again.is_empty() {
            return None;
        }
        let rate = self.parts.values().rev().find_map(|parts| parts.get(&customer))?.rate;
        let own =
            self.parts.get(&period).and_then(|parts| parts.get(&customer)).map_or(0.0, |part| part.units);
        // Danger: a store that came back empty tells less than was added, and a slice scaled by that would
        // grow to the whole quota at every gateway. Less than our own part, or none, is no total.
        let total = total.filter(|t| t.is_finite() && *t >= own - 1e-6)?;
        // Danger: who is missing may be granting its floor to this customer; what it may grant counts as granted.
        (rate > 0.0).then(|| (total / (rate * self.period / 1000.0) + missing) * 100.0)
    }
}
