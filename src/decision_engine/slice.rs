//! A customer's local share of its quota (DESIGN, our slice rule).

use super::*;

/// Share of the quota that slices aim at together, since readings are old; how fast one may double a second.
const SLICE_AIM: f64 = 0.85;
const DOUBLING: f64 = 0.5;
/// Least chance of a first request where a part is below one; without readings, so many times its worth.
const LENT_READ: f64 = 0.25;
const LENT_BLIND: f64 = 2.5;
/// Bursts that all of a customer's gateways may lend together before the chance falls to that.
const BURSTS: f64 = 4.0;
/// Requests that tell a customer's own rate here; fewer are looked for further back.
const COUNT: f64 = 6.0;

impl DecisionEngine {
    /// The customer's state, brought up to now.
    pub(super) fn customer(&mut self, request: &Request) -> &mut Customer {
        let plan = &self.set.plans[request.plan];
        let now = self.now;
        let entry = f64::from(request.entry_points.max(1));
        let (burst, since_start) = (plan.burst / entry, (now - self.started.unwrap_or(now)) / 1000.0);
        // Danger: split over many gateways, a calm customer's first request would be refused: one is lent.
        let lent = if plan.max_concurrent > 0.0 { (1.0 / plan.max_concurrent).min(1.0) } else { 0.0 };
        let worth = UNREAD + (1.0 - UNREAD) * (plan.overage_value - plan.overage_cost);
        let lot = if self.set.meter_period > 0.0 { LENT_READ } else { (LENT_BLIND * worth).clamp(0.0, 1.0) };
        let customer = self.customers.entry(request.customer).or_insert_with(|| Customer {
            plan: request.plan,
            entry,
            share: lent.max(1.0 / entry),
            // Danger: what each of hundreds lends adds up; never one each, but a chance of one.
            store: (BURSTS * burst).clamp(request.units * lot, request.units).max(burst),
            // Danger: a restarted gateway must not grant a fresh burst: the ceiling's store starts empty.
            ceiling: (plan.ceiling_rate / entry * since_start).min(plan.ceiling_depth / entry),
            filled: now,
            shared_at: now,
            read_at: f64::NEG_INFINITY,
            blind_at: f64::NEG_INFINITY,
            ..Customer::default()
        });
        customer.entry = customer.entry.max(entry);
        let floor = 1.0 / customer.entry;
        customer.roll(now, self.set.meter_period, plan.max_concurrent);
        let seconds = (now - customer.shared_at) / 1000.0;
        if seconds >= 1.0 {
            customer.shared_at = now;
            let most = customer.share * (DOUBLING * seconds.min(4.0)).exp2();
            // A reading stands until answers come without one: a seldom seen customer's is the best there is.
            let fresh = customer.blind_at < customer.read_at + self.set.meter_period;
            let own = customer.let_through(plan, self.set.meter_period, request.units, since_start);
            // What was let through in the period that the reading tells of, scaled by quota over use.
            let aimed = match (fresh, customer.reading > 0.0) {
                _ if customer.read_at.is_infinite() => customer.share,
                (false, _) => customer.share / 2.0,
                (true, false) => most,
                (true, true) if plan.rate > 0.0 => SLICE_AIM * own / customer.reading,
                // Peaks do not add up as rates do: a cap leaves what the others did not hold then.
                (true, true) => 1.0 - (customer.reading - own).max(0.0),
            };
            customer.share = aimed.min(most).min(1.0).max(floor);
        }
        let gone = (now - customer.filled) / 1000.0;
        customer.filled = now;
        let depth = (plan.burst * customer.share).max(request.units);
        customer.store = (customer.store + plan.rate * customer.share * gone).min(depth);
        let (rate, depth) = (plan.ceiling_rate * floor, plan.ceiling_depth * floor);
        customer.ceiling = (customer.ceiling + rate * gone).min(depth);
        customer
    }
}

impl Customer {
    /// Moves the memory of what was let through on to the present slot.
    fn roll(&mut self, now: Millis, period: Millis, max_concurrent: f64) {
        let slot = (now / (period / 2.0).max(100.0)).floor() as i64;
        for _ in 0..(slot - self.slot).clamp(0, SLOTS as i64) {
            self.past.rotate_right(1);
            self.past[0] = if max_concurrent > 0.0 { self.out } else { 0.0 };
        }
        self.slot = slot;
    }

    /// What was let through in the period a reading tells of, as a share of the quota.
    fn let_through(&self, plan: &Plan, period: Millis, units: f64, since_start: f64) -> f64 {
        // A reading is about a period late; four half periods around its middle are looked at, and where
        // these hold too few requests to tell a rate, more before them.
        if plan.rate <= 0.0 {
            return self.past[1..5].iter().copied().fold(0.0, f64::max) / plan.max_concurrent.max(1.0);
        }
        let half = (period / 2.0).max(100.0) / 1000.0;
        let (mut sum, mut slots) = (0.0, 0.0);
        for past in &self.past[1..] {
            if slots >= 4.0 && (sum >= COUNT * units || slots * half > since_start) {
                break;
            }
            sum += past;
            slots += 1.0;
        }
        sum / (slots * half) / plan.rate
    }
}
