//! A customer's local share (slice) of its quota, adjusted by meter readings (DESIGN, our slice rule).

use super::*;

/// Share of the quota that all slices together aim at, since readings lag; and growth a second, in doublings.
const SLICE_TARGET: f64 = 0.85;
const DOUBLINGS_PER_S: f64 = 0.5;
/// Least chance of a first request if the local share is below one; without a meter, a multiple of its value.
const GRANT_METERED: f64 = 0.25;
const GRANT_UNMETERED: f64 = 2.5;
/// Bursts that all of a customer's gateways together may grant before the least chance applies.
const GRANTED_BURSTS: f64 = 4.0;
/// Requests needed to estimate a customer's local rate; with fewer, older slots are added.
const RATE_REQUESTS: f64 = 6.0;

impl DecisionEngine {
    pub(super) fn refresh_customer(&mut self, request: &Request) -> &mut Customer {
        let plan = &self.settings.plans[request.plan];
        let (now, period) = (self.now, self.settings.meter_period);
        let entry = f64::from(request.entry_points.max(1));
        let (burst, since_start) = (plan.burst / entry, (now - self.started.unwrap_or(now)) / 1000.0);
        // With a cap split over many gateways the first request would be refused: one attempt is granted.
        let granted = if plan.max_concurrent > 0.0 { (1.0 / plan.max_concurrent).min(1.0) } else { 0.0 };
        let value = PRIOR_WITHIN + (1.0 - PRIOR_WITHIN) * (plan.overage_value - plan.overage_cost);
        let unmetered = (GRANT_UNMETERED * value).clamp(0.0, 1.0);
        let chance = if period > 0.0 { GRANT_METERED } else { unmetered };
        let customer = self.customers.entry(request.customer).or_insert_with(|| Customer {
            plan: request.plan,
            entry_points: entry,
            share: granted.max(1.0 / entry),
            // Grants of hundreds of gateways add up: each grants a chance of one request, not one request.
            tokens: (GRANTED_BURSTS * burst).clamp(request.units * chance, request.units).max(burst),
            // A restarted gateway must not grant a fresh burst: the ceiling's bucket starts empty.
            ceiling_tokens: (plan.ceiling_rate / entry * since_start).min(plan.ceiling_depth / entry),
            refilled_at: now,
            share_updated_at: now,
            metered_at: f64::NEG_INFINITY,
            unmetered_at: f64::NEG_INFINITY,
            ..Customer::default()
        });
        customer.entry_points = customer.entry_points.max(entry);
        let floor = 1.0 / customer.entry_points;
        customer.advance_slots(now, period, plan.max_concurrent);
        let seconds = (now - customer.share_updated_at) / 1000.0;
        if seconds >= 1.0 {
            customer.share_updated_at = now;
            let most = customer.share * (DOUBLINGS_PER_S * seconds.min(4.0)).exp2();
            // A reading is valid until answers come without one: for a rare customer none is better.
            let fresh = customer.unmetered_at < customer.metered_at + period;
            let own = customer.usage_share(plan, period, request.units, since_start);
            // Local usage in the period of the reading, scaled by the quota over the total usage.
            let target = match (fresh, customer.reading > 0.0) {
                _ if customer.metered_at.is_infinite() => customer.share,
                (false, _) => customer.share / 2.0,
                (true, false) => most,
                (true, true) if plan.rate > 0.0 => SLICE_TARGET * own / customer.reading,
                // Peaks do not add up as rates do: a cap's share is what the other gateways left unused.
                (true, true) => 1.0 - (customer.reading - own).max(0.0),
            };
            customer.share = target.min(most).min(1.0).max(floor);
        }
        let elapsed = (now - customer.refilled_at) / 1000.0;
        customer.refilled_at = now;
        let depth = (plan.burst * customer.share).max(request.units);
        customer.tokens = (customer.tokens + plan.rate * customer.share * elapsed).min(depth);
        let (rate, depth) = (plan.ceiling_rate * floor, plan.ceiling_depth * floor);
        customer.ceiling_tokens = (customer.ceiling_tokens + rate * elapsed).min(depth);
        customer
    }
}

impl Customer {
    fn advance_slots(&mut self, now: Millis, period: Millis, max_concurrent: f64) {
        let slot = (now / (period / 2.0).max(100.0)).floor() as i64;
        for _ in 0..(slot - self.usage_slot).clamp(0, SLOTS as i64) {
            self.usage.rotate_right(1);
            self.usage[0] = if max_concurrent > 0.0 { self.active } else { 0.0 };
        }
        self.usage_slot = slot;
    }

    /// Local usage in the period of a reading, as a share of the quota.
    fn usage_share(&self, plan: &Plan, period: Millis, request_units: f64, since_start: f64) -> f64 {
        // A reading is about a period late: four half periods around its middle are summed, and older ones
        // too if these hold too few requests for a rate.
        if plan.rate <= 0.0 {
            return self.usage[1..5].iter().copied().fold(0.0, f64::max) / plan.max_concurrent.max(1.0);
        }
        let half = (period / 2.0).max(100.0) / 1000.0;
        let (mut sum, mut slots) = (0.0, 0.0);
        for units in &self.usage[1..] {
            if slots >= 4.0 && (sum >= RATE_REQUESTS * request_units || slots * half > since_start) {
                break;
            }
            sum += units;
            slots += 1.0;
        }
        sum / (slots * half) / plan.rate
    }
}
