//! A request's way in.

use super::*;

impl DecisionEngine {
    pub(super) fn request(&mut self, request: &Request, act: &mut Vec<Action>) {
        let Request { id, class, units, budget, body_incomplete, .. } = *request;
        let known = class < self.classes.len() && request.plan < self.set.plans.len();
        let sound = units.is_finite() && units >= 0.0 && budget > 0.0;
        if !known || !sound || self.open.contains_key(&id) {
            return act.push(Action::Refuse { request: id, hold_off: 0.0, reason: RefusalReason::Invalid });
        }
        self.classes[class].asked += 1.0;
        let plan = self.set.plans[request.plan].clone();
        let (worth, aim) = (self.set.classes[class].worth, self.set.classes[class].target_latency);
        let (chance, other, stale) = (self.rng.f64(), self.rng.f64(), self.set.meter_period);
        // Broken parts go to dear requests first; without readings that would starve the others.
        let asked = self.classes.iter().zip(&self.set.classes);
        let (n, sum) = asked.fold((0.0, 0.0), |(n, sum), (c, t)| (n + c.asked, sum + c.asked * t.worth));
        let lot = if stale > 0.0 { (chance * sum / n / worth).min(1.0) } else { chance };
        let customer = self.customer(request);
        // Danger: a part below one request tells nothing of the whole: there the last reading decides more.
        let part = if plan.rate > 0.0 { plan.burst / units.max(0.1) } else { plan.max_concurrent };
        let read = customer.blind_at < customer.read_at + stale;
        let told = if read { (1.0 - customer.reading).max(0.0) } else { 0.0 };
        let room = other < told / (1.0 + part * customer.share).powi(4);
        let broken = part * customer.share < 1.0;
        let needed = if broken { units * lot } else { units };
        let inside = room
            || (plan.rate <= 0.0 || customer.store.max(0.0) >= needed)
            // Danger: many gateways that round their part of a cap up; a broken part is granted by chance.
            && (plan.max_concurrent <= 0.0 || customer.out + chance < plan.max_concurrent * customer.share);
        let unsure = broken && plan.rate > 0.0 && customer.reading <= 1.0 && inside != read;
        let under = plan.ceiling_rate <= 0.0 || customer.ceiling >= units;
        // Danger: a customer far beyond its quota is new at each of many gateways; its plan's readings tell.
        let likely = if unsure { self.within[request.plan].max(UNREAD) } else { f64::from(u8::from(inside)) };
        let told_worth = likely + (1.0 - likely) * (plan.overage_value - plan.overage_cost);
        let value = worth * plan.price * told_worth;
        let choice = if under && value > 0.0 { self.choose(None, None) } else { None };
        let Some(server) = choice.filter(|&s| self.pays(class, value, self.expected(class, s))) else {
            let (reason, counted) = match choice {
                _ if value <= 0.0 => (RefusalReason::Quota, 1),
                _ if !under => (RefusalReason::Quota, 2),
                None => (RefusalReason::NoBackend, 3),
                Some(_) => (RefusalReason::Price, 4),
            };
            self.tally[counted] += 1;
            if reason == RefusalReason::NoBackend && self.now - self.asked_list > 5000.0 {
                self.asked_list = self.now;
                act.extend([Action::ReadList, Action::Trace("no backend may be sent to".into())]);
            }
            return act.push(Action::Refuse { request: id, hold_off: self.hold_off(class), reason });
        };
        self.tally[0] += 1;
        let customer = self.customer(request);
        customer.ceiling -= units;
        if inside {
            customer.store = (customer.store - units).max(-units);
        }
        if plan.rate > 0.0 {
            customer.past[0] += units;
        }
        // Danger: where no answer brings a reading, a cap's lent attempt would be lent again and again.
        customer.share = if customer.read_at.is_finite() { customer.share } else { 1.0 / customer.entry };
        self.classes[class].admitted += units;
        self.extra = (self.extra + EXTRA_EARNED).min(EXTRA_MOST);
        let (plan, customer, most) = (request.plan, request.customer, self.set.limits.max_attempts);
        let deadline = self.now + if body_incomplete { f64::INFINITY } else { budget };
        let open =
            Open { class, plan, customer, units, inside, deadline, most, body_incomplete, ..Open::default() };
        self.open.insert(id, Open { since: self.now, ..open });
        if !body_incomplete {
            self.remind(Due::Deadline(id), budget, act);
        }
        self.remind(Due::Check(id), aim * CHECK_SHARE, act);
        self.race(id, server, act);
    }

    /// A request's last byte has come: its time, and that of its attempts, begins.
    pub(super) fn whole(&mut self, id: RequestId, budget: Millis, act: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        (open.body_incomplete, open.since, open.deadline) = (false, self.now, self.now + budget);
        self.out.range_mut((id, 0)..=(id, u32::MAX)).for_each(|(_, out)| out.sent = self.now);
        self.remind(Due::Deadline(id), budget, act);
    }
}
