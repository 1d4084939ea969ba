//! Admission of a new request.

use super::*;

impl DecisionEngine {
    pub(super) fn on_request(&mut self, request: &Request, act: &mut Vec<Action>) {
        let Request { id, class, units, budget, body_incomplete, .. } = *request;
        let known = class < self.classes.len() && request.plan < self.settings.plans.len();
        let valid = units.is_finite() && units >= 0.0 && budget > 0.0;
        if !known || !valid || self.open.contains_key(&id) {
            return act.push(Action::Refuse { request: id, hold_off: 0.0, reason: RefusalReason::Invalid });
        }
        self.classes[class].offered += 1.0;
        let plan = self.settings.plans[request.plan].clone();
        let Class { worth, target_latency, .. } = self.settings.classes[class];
        let (draw, other, period) = (self.rng.f64(), self.rng.f64(), self.settings.meter_period);
        // Fractional shares go to valuable requests first; without meter readings that would starve the rest.
        let asked = self.classes.iter().zip(&self.settings.classes);
        let (n, sum) = asked.fold((0.0, 0.0), |(n, sum), (c, t)| (n + c.offered, sum + c.offered * t.worth));
        let weighted = if period > 0.0 { (draw * sum / n / worth).min(1.0) } else { draw };
        let customer = self.refresh_customer(request);
        // A local share below one request says little about the whole: the last reading then weighs more.
        let quota = if plan.rate > 0.0 { plan.burst / units.max(0.1) } else { plan.max_concurrent };
        let metered = customer.unmetered_at < customer.metered_at + period;
        let headroom = if metered { (1.0 - customer.reading).max(0.0) } else { 0.0 };
        let has_room = other < headroom / (1.0 + quota * customer.share).powi(4);
        let fractional = quota * customer.share < 1.0;
        let needed = if fractional { units * weighted } else { units };
        let within_quota = has_room
            || (plan.rate <= 0.0 || customer.tokens.max(0.0) >= needed)
            // Many gateways rounding up their shares of a cap exceed it: a fraction is granted by chance.
            && (plan.max_concurrent <= 0.0 || customer.active + draw < plan.max_concurrent * customer.share);
        let unsure = fractional && plan.rate > 0.0 && customer.reading <= 1.0 && within_quota != metered;
        let below_ceiling = plan.ceiling_rate <= 0.0 || customer.ceiling_tokens >= units;
        // A customer far beyond its quota looks new to each of many gateways: its plan's readings decide.
        let prior = self.within_quota[request.plan].max(PRIOR_WITHIN);
        let within = if unsure { prior } else { f64::from(u8::from(within_quota)) };
        let value_share = within + (1.0 - within) * (plan.overage_value - plan.overage_cost);
        let value = worth * plan.price * value_share;
        let choice = if below_ceiling && value > 0.0 { self.choose(None, None) } else { None };
        let Some(server) = choice.filter(|&s| self.pays(class, value, self.latency_at(class, s))) else {
            let (reason, counter) = match choice {
                _ if value <= 0.0 => (RefusalReason::Quota, 1),
                _ if !below_ceiling => (RefusalReason::Quota, 2),
                None => (RefusalReason::NoBackend, 3),
                Some(_) => (RefusalReason::Price, 4),
            };
            self.counts[counter] += 1;
            if reason == RefusalReason::NoBackend && self.now - self.list_requested_at > 5000.0 {
                self.list_requested_at = self.now;
                act.extend([Action::ReadList, Action::Trace("no backend is available".into())]);
            }
            return act.push(Action::Refuse { request: id, hold_off: self.hold_off(class), reason });
        };
        self.counts[0] += 1;
        let customer = self.refresh_customer(request);
        customer.ceiling_tokens -= units;
        if within_quota {
            customer.tokens = (customer.tokens - units).max(-units);
        }
        if plan.rate > 0.0 {
            customer.usage[0] += units;
        }
        // Without meter readings the attempt granted to a new customer under a cap would be granted again.
        customer.share =
            if customer.metered_at.is_finite() { customer.share } else { 1.0 / customer.entry_points };
        self.classes[class].admitted_units += units;
        self.retry_tokens = (self.retry_tokens + RETRY_TOKENS_EARNED).min(RETRY_TOKENS_MAX);
        let Request { plan, customer, .. } = *request;
        let deadline = self.now + if body_incomplete { f64::INFINITY } else { budget };
        let max_attempts = self.settings.limits.max_attempts;
        let open = OpenRequest { class, plan, customer, units, within_quota, deadline, ..Default::default() };
        self.open.insert(id, OpenRequest { received_at: self.now, max_attempts, body_incomplete, ..open });
        if !body_incomplete {
            self.set_timer(TimerKind::Deadline(id), budget, act);
        }
        self.set_timer(TimerKind::Check(id), target_latency * CHECK_SHARE, act);
        self.send_first(id, server, act);
    }

    /// The last byte of a request has arrived: its deadline and the latency of its attempts count from now.
    pub(super) fn on_body_complete(&mut self, id: RequestId, budget: Millis, act: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        (open.body_incomplete, open.received_at, open.deadline) = (false, self.now, self.now + budget);
        self.attempts.range_mut((id, 0)..=(id, u32::MAX)).for_each(|(_, sent)| sent.sent_at = self.now);
        self.set_timer(TimerKind::Deadline(id), budget, act);
    }
}
