//! Attempts and their ends, up to the final answer.

use super::*;

/// A race pays where the wait, as a share of the aim, is above this many times the price of one probe.
const RACE: f64 = 4.0;

impl DecisionEngine {
    /// Sends a first attempt; where it would wait long, to that one of two which answers a probe first.
    pub(super) fn race(&mut self, id: RequestId, first: usize, act: &mut Vec<Action>) {
        // Danger: with little out of its own, a gateway cannot tell busy backends from idle ones; probes can.
        let ready = self.servers.iter().filter(|s| self.may_take(s)).count().max(1) as f64;
        let blind = (1.0 + FEW as f64 * self.usual_out / ready).powi(-2);
        let worth =
            RACE * self.set.limits.probe_price * self.set.classes[self.open[&id].class].target_latency;
        let pays = self.wait > worth && self.rng.f64() < blind;
        let second = if self.set.limits.may_probe && pays { self.choose(None, Some(first)) } else { None };
        let warm = |i: usize| self.warmth(&self.servers[i]) >= 1.0;
        match second.filter(|&second| second != first && warm(first) && warm(second)) {
            Some(second) => {
                act.extend([first, second].map(|i| Action::Probe(self.servers[i].told.id.clone())));
                self.races.push((id, vec![first, second]));
            }
            None => self.send(id, first, act),
        }
    }

    /// A probe's end settles the oldest race that waits for it; the last to fail settles it by its code.
    pub(super) fn probed(&mut self, backend: &str, code: Code, act: &mut Vec<Action>) {
        let Some(&index) = self.by_id.get(backend) else { return };
        let Some(at) = self.races.iter().position(|race| race.1.contains(&index)) else { return };
        let id = self.races[at].0;
        let able = code == Code::Success && self.may_take(&self.servers[index]);
        self.races[at].1.retain(|&i| i != index);
        if !able && !self.races[at].1.is_empty() {
            return;
        }
        self.races.remove(at);
        // Danger: in a jam a third backend is as full, and what is sent there keeps all of them full.
        let jam = !able && matches!(code, Code::TimedOut | Code::Overloaded);
        match able.then_some(index).or_else(|| self.choose(None, Some(index)).filter(|_| !jam)) {
            Some(index) if self.open.contains_key(&id) => self.send(id, index, act),
            _ => self.give_up(id, act),
        }
    }

    fn send(&mut self, id: RequestId, index: usize, act: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let (class, customer) = (open.class, open.customer);
        let told = &self.set.classes[class];
        // An answer that earns nothing is not worth the backend's work: stop waiting at the aim.
        let useful =
            if told.late_value > 0.0 { f64::INFINITY } else { open.since + told.target_latency - 5.0 };
        let last = open.deadline.min(useful);
        let timeout = (last - self.now).max(1.0).min(open.deadline - self.now);
        let sent = if open.body_incomplete { f64::INFINITY } else { self.now };
        self.out.insert((id, open.tries), Out { server: index, class, customer, sent });
        open.tries += 1;
        open.out += 1;
        let max_concurrent = self.set.plans[open.plan].max_concurrent;
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.out += 1.0;
            if max_concurrent > 0.0 {
                customer.past[0] = customer.past[0].max(customer.out);
            }
        }
        let server = &mut self.servers[index];
        server.out += 1;
        if server.doubted() {
            server.rest = (server.rest * 2.0).min(REST * 8.0);
            server.rest_until = self.now + server.rest;
        }
        act.push(Action::Attempt { request: id, backend: server.told.id.clone(), timeout });
    }

    pub(super) fn outcome(&mut self, told: &Outcome, act: &mut Vec<Action>) {
        // Stale or repeated news of an attempt changes nothing but the end of its request.
        let Some(out) = self.out.remove(&(told.request, told.attempt)) else {
            if told.finished {
                self.end(told.request, act);
            }
            return;
        };
        let elapsed = self.now - out.sent;
        self.servers[out.server].out = self.servers[out.server].out.saturating_sub(1);
        self.judge(&out, told.code, elapsed, act);
        // Danger: what a backend in doubt holds or lets time out tells of that backend, not of waiting.
        let tells = self.tells(out.server);
        let sound = told.code == Code::TimedOut && tells && !self.overtaken(&out);
        let age = elapsed - self.classes[out.class].floor;
        let wait = self.silent_wait(out.class, age, self.missing + 1.0);
        // A reset, or silence that outlasts all waiting, earns one more attempt; a jam earns none.
        let silent = matches!(told.code, Code::TimedOut | Code::Cancelled) && wait < age;
        if told.code == Code::Reset || silent && self.set.limits.may_duplicate {
            self.extra = (self.extra + 1.0).min(EXTRA_MOST);
        }
        if sound && self.stalled < self.now {
            self.missing += 1.0;
            self.classes[out.class].waits += wait;
            self.classes[out.class].answers += 1.0;
        } else if told.code == Code::Success && self.stalled < self.now && tells {
            let queued = self.queued(told.report.as_deref());
            let class = &mut self.classes[out.class];
            class.known = (class.known + 1.0).min(SURE);
            class.mean += (elapsed - class.mean) / class.known;
            class.served += (elapsed * (1.0 - queued) - class.served) / class.known;
            if class.known < SURE {
                class.floor = class.served;
            }
            class.waits += elapsed - class.floor;
            class.answers += 1.0;
            self.heard += (elapsed - class.floor - self.heard) * 0.1;
            self.missing = 0.0;
        }
        if let Some(customer) = self.customers.get_mut(&out.customer) {
            customer.out = (customer.out - 1.0).max(0.0);
            if let Some(usage) = told.usage.filter(|u| u.is_finite() && *u >= 0.0) {
                (customer.reading, customer.read_at) = (usage / 100.0, self.now);
                let within = &mut self.within[customer.plan];
                *within += (f64::from(u8::from(usage <= 100.0)) - *within) * FADE;
            } else if told.code == Code::Success {
                customer.blind_at = self.now;
            }
        }
        let Some(open) = self.open.get_mut(&told.request) else { return };
        open.out = open.out.saturating_sub(1);
        if told.finished || told.code == Code::Success {
            // Units told only with the answer: the difference is settled with the local store.
            let settled = told.settled_units.filter(|units| units.is_finite() && open.inside);
            if let (Some(units), Some(customer)) = (settled, self.customers.get_mut(&out.customer)) {
                customer.store += open.units - units;
            }
            return self.end(told.request, act);
        }
        let proven = matches!(told.code, Code::Overloaded | Code::Unreachable | Code::NotSent);
        let server = &self.servers[out.server];
        if !proven && open.ran.is_none_or(|(sent, ..)| sent > out.sent) {
            open.ran = Some((out.sent, server.told.zone, server.told.cell));
        }
        if open.out == 0 && !open.streaming && !self.further(told.request, out.server, act) {
            self.give_up(told.request, act);
        }
    }

    /// Sends a further attempt if the effect, the budget, the time and the price allow one.
    fn further(&mut self, id: RequestId, but: usize, act: &mut Vec<Action>) -> bool {
        let Some(open) = self.open.get(&id).cloned() else { return false };
        let told = self.set.classes[open.class].clone();
        // What is still out may run as well.
        let still = self.out.range((id, 0)..=(id, u32::MAX)).map(|(_, o)| {
            let s = &self.servers[o.server];
            (o.sent, s.told.zone, s.told.cell)
        });
        let ran = open.ran.into_iter().chain(still).min_by(|a, b| a.0.total_cmp(&b.0));
        // Danger: a key that is forgotten on the way runs twice; a tenth is kept as margin.
        let kept = |sent: Millis, window: Millis| self.now - sent <= 0.9 * window;
        let scope = match (ran, told.effect) {
            (None, _) | (_, Effect::Safe) => None,
            (Some((sent, zone, cell)), Effect::Keyed { scope, window }) if kept(sent, window) => {
                Some((scope, zone, cell))
            }
            _ => return false,
        };
        if open.tries >= open.most || self.extra < 1.0 || self.now >= open.deadline {
            return false;
        }
        let Some(server) = self.choose(scope, Some(but)) else { return false };
        let expected = self.expected(open.class, server);
        let late = self.now + expected - open.since > told.target_latency;
        let value = told.worth * self.set.plans[open.plan].price * if late { told.late_value } else { 1.0 };
        if !self.pays(open.class, value, expected) {
            return false;
        }
        self.extra -= 1.0;
        self.send(id, server, act);
        true
    }

    /// When a refused client should come back: soon enough for another try within the aim.
    pub(super) fn hold_off(&self, class: usize) -> Millis {
        self.set.limits.max_hold_off.min(self.set.classes[class].target_latency / 4.0)
    }

    /// The final answer for a request with nothing out: refused when trying again is harmless, else failed.
    fn give_up(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let harmless = open.ran.is_none() && open.out == 0;
        let refused = harmless || self.set.classes[open.class].effect == Effect::Safe;
        let refusal = Action::Refuse {
            request: id,
            hold_off: self.hold_off(open.class),
            reason: RefusalReason::AttemptsExhausted,
        };
        act.push(if refused { refusal } else { Action::Fail(id) });
        self.end(id, act);
    }

    /// Forgets a request that has had its answer and calls off what is still out for it.
    pub(super) fn end(&mut self, id: RequestId, act: &mut Vec<Action>) {
        self.races.retain(|race| race.0 != id);
        if self.open.remove(&id).is_some() && self.set.limits.may_cancel {
            let out = self.out.range((id, 0)..=(id, u32::MAX));
            act.extend(out.map(|(key, _)| Action::Cancel { request: id, attempt: key.1 }));
        }
    }

    /// Looks into an attempt that takes long: heavy work is left alone, silence is acted on.
    pub(super) fn look_into(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let (class, single) = (open.class, open.out == 1 && !open.streaming);
        let held = self.out.range((id, 0)..=(id, u32::MAX)).next().filter(|_| single);
        let Some((attempt, out)) = held.map(|(key, out)| (key.1, *out)) else { return };
        let silent = self.servers[out.server].answered <= out.sent || self.overtaken(&out);
        if silent && self.now - out.sent > 2.0 * self.typical(class) {
            if self.set.limits.may_duplicate {
                if self.further(id, out.server, act) {
                    return;
                }
            } else if self.set.limits.may_cancel && self.extra >= 1.0 {
                act.push(Action::Cancel { request: id, attempt });
            }
        }
        self.remind(Due::Check(id), self.set.classes[class].target_latency * CHECK_SHARE, act);
    }
}
