//! Attempts, their outcomes and the final answer.

use super::*;

/// Least wait for which two backends are probed, as a multiple of the probe price times the target latency.
const PROBE_GAIN: f64 = 4.0;

impl DecisionEngine {
    /// Sends the first attempt; if the wait is long, to the first of two backends to answer a probe.
    pub(super) fn send_first(&mut self, id: RequestId, first: usize, act: &mut Vec<Action>) {
        // A gateway with few requests of its own cannot tell busy backends from idle ones; probes can.
        let ready = self.servers.iter().filter(|s| self.is_available(s)).count().max(1) as f64;
        let blindness = (1.0 + CANDIDATES_PER_ATTEMPT as f64 * self.usual_load / ready).powi(-2);
        let limits = &self.settings.limits;
        let target_latency = self.settings.classes[self.open[&id].class].target_latency;
        let pays = self.wait > PROBE_GAIN * limits.probe_price * target_latency && self.rng.f64() < blindness;
        let second = if limits.may_probe && pays { self.choose(None, Some(first)) } else { None };
        let warm = |i: usize| self.warmth(&self.servers[i]) >= 1.0;
        match second.filter(|&second| second != first && warm(first) && warm(second)) {
            Some(second) => {
                act.extend([first, second].map(|i| Action::Probe(self.servers[i].listed.id.clone())));
                self.pending_probes.push((id, vec![first, second]));
            }
            None => self.send(id, first, act),
        }
    }

    /// Settles the oldest request that waits for this probe; if both probes fail, the last code decides.
    pub(super) fn on_probe_result(&mut self, backend: &str, code: Code, act: &mut Vec<Action>) {
        let Some(&index) = self.by_id.get(backend) else { return };
        let Some(at) = self.pending_probes.iter().position(|p| p.1.contains(&index)) else { return };
        let id = self.pending_probes[at].0;
        let usable = code == Code::Success && self.is_available(&self.servers[index]);
        self.pending_probes[at].1.retain(|&i| i != index);
        if !usable && !self.pending_probes[at].1.is_empty() {
            return;
        }
        self.pending_probes.remove(at);
        // In an overload a third backend is as full, and sending there would keep all of them full.
        let overload = !usable && matches!(code, Code::TimedOut | Code::Overloaded);
        match usable.then_some(index).or_else(|| self.choose(None, Some(index)).filter(|_| !overload)) {
            Some(index) if self.open.contains_key(&id) => self.send(id, index, act),
            _ => self.give_up(id, act),
        }
    }

    fn send(&mut self, id: RequestId, index: usize, act: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let (class, customer) = (open.class, open.customer);
        let Class { target_latency, late_value, .. } = self.settings.classes[class];
        // A late answer without value is not worth the backend's work: the attempt times out at the target.
        let useful = if late_value > 0.0 { f64::INFINITY } else { open.received_at + target_latency - 5.0 };
        let latest = open.deadline.min(useful);
        let timeout = (latest - self.now).max(1.0).min(open.deadline - self.now);
        let sent_at = if open.body_incomplete { f64::INFINITY } else { self.now };
        self.attempts.insert((id, open.attempts), Attempt { server: index, class, customer, sent_at });
        open.attempts += 1;
        open.active += 1;
        let max_concurrent = self.settings.plans[open.plan].max_concurrent;
        if let Some(customer) = self.customers.get_mut(&customer) {
            customer.active += 1.0;
            if max_concurrent > 0.0 {
                customer.usage[0] = customer.usage[0].max(customer.active);
            }
        }
        let server = &mut self.servers[index];
        server.active += 1;
        if server.is_ejected() {
            server.backoff = (server.backoff * 2.0).min(BACKOFF * 8.0);
            server.ejected_until = self.now + server.backoff;
        }
        act.push(Action::Attempt { request: id, backend: server.listed.id.clone(), timeout });
    }

    pub(super) fn on_outcome(&mut self, outcome: &Outcome, act: &mut Vec<Action>) {
        // A stale or duplicate outcome has no effect, except that it may end its request.
        let Some(attempt) = self.attempts.remove(&(outcome.request, outcome.attempt)) else {
            if outcome.finished {
                self.finish(outcome.request, act);
            }
            return;
        };
        let elapsed = self.now - attempt.sent_at;
        self.servers[attempt.server].active = self.servers[attempt.server].active.saturating_sub(1);
        self.observe(&attempt, outcome.code, elapsed, act);
        // A time-out at an ejected or cold backend says something about that backend, not about queueing.
        let representative = self.is_representative(attempt.server);
        let counts = outcome.code == Code::TimedOut && representative && !self.overtaken(&attempt);
        let age = elapsed - self.classes[attempt.class].floor;
        let wait = self.unanswered_wait(attempt.class, age, self.unanswered + 1.0);
        // A reset, or silence longer than queueing explains, earns one more attempt; an overload earns none.
        let silent = matches!(outcome.code, Code::TimedOut | Code::Cancelled) && wait < age;
        if outcome.code == Code::Reset || silent && self.settings.limits.may_duplicate {
            self.retry_tokens = (self.retry_tokens + 1.0).min(RETRY_TOKENS_MAX);
        }
        if counts && self.stalled_at < self.now {
            self.unanswered += 1.0;
            self.classes[attempt.class].wait_sum += wait;
            self.classes[attempt.class].wait_samples += 1.0;
        } else if outcome.code == Code::Success && self.stalled_at < self.now && representative {
            let queued = self.queued_share(outcome.report.as_deref());
            let class = &mut self.classes[attempt.class];
            class.samples = (class.samples + 1.0).min(MEAN_SAMPLES);
            class.mean_latency += (elapsed - class.mean_latency) / class.samples;
            class.service_time += (elapsed * (1.0 - queued) - class.service_time) / class.samples;
            if class.samples < MEAN_SAMPLES {
                class.floor = class.service_time;
            }
            class.wait_sum += elapsed - class.floor;
            class.wait_samples += 1.0;
            self.answered_wait += (elapsed - class.floor - self.answered_wait) * 0.1;
            self.unanswered = 0.0;
        }
        if let Some(customer) = self.customers.get_mut(&attempt.customer) {
            customer.active = (customer.active - 1.0).max(0.0);
            if let Some(usage) = outcome.usage.filter(|u| u.is_finite() && *u >= 0.0) {
                (customer.reading, customer.metered_at) = (usage / 100.0, self.now);
                let within = &mut self.within_quota[customer.plan];
                *within += (f64::from(u8::from(usage <= 100.0)) - *within) * DECAY;
            } else if outcome.code == Code::Success {
                customer.unmetered_at = self.now;
            }
        }
        let Some(open) = self.open.get_mut(&outcome.request) else { return };
        open.active = open.active.saturating_sub(1);
        if outcome.finished || outcome.code == Code::Success {
            // The actual units come with the answer: the local bucket is corrected by the difference.
            let settled = outcome.settled_units.filter(|units| units.is_finite() && open.within_quota);
            if let (Some(units), Some(customer)) = (settled, self.customers.get_mut(&attempt.customer)) {
                customer.tokens += open.units - units;
            }
            return self.finish(outcome.request, act);
        }
        let not_run = matches!(outcome.code, Code::Overloaded | Code::Unreachable | Code::NotSent);
        let server = &self.servers[attempt.server];
        if !not_run && open.may_have_run.is_none_or(|(first, ..)| first > attempt.sent_at) {
            open.may_have_run = Some((attempt.sent_at, server.listed.zone, server.listed.cell));
        }
        if open.active == 0 && !open.streaming && !self.retry(outcome.request, attempt.server, act) {
            self.give_up(outcome.request, act);
        }
    }

    /// Sends another attempt if the effect, the retry budget, the deadline and the price allow it.
    fn retry(&mut self, id: RequestId, except: usize, act: &mut Vec<Action>) -> bool {
        let Some(open) = self.open.get(&id).cloned() else { return false };
        let class = self.settings.classes[open.class].clone();
        // Attempts that are still outstanding may run as well.
        let outstanding = self.attempts.range((id, 0)..=(id, u32::MAX)).map(|(_, o)| {
            let s = &self.servers[o.server];
            (o.sent_at, s.listed.zone, s.listed.cell)
        });
        let ran = open.may_have_run.into_iter().chain(outstanding).min_by(|a, b| a.0.total_cmp(&b.0));
        // A key that expires before the attempt arrives would run twice: a tenth of the window is the margin.
        let key_kept = |sent: Millis, window: Millis| self.now - sent <= 0.9 * window;
        let scope = match (ran, class.effect) {
            (None, _) | (_, Effect::Safe) => None,
            (Some((sent, zone, cell)), Effect::Keyed { scope, window }) if key_kept(sent, window) => {
                Some((scope, zone, cell))
            }
            _ => return false,
        };
        if open.attempts >= open.max_attempts || self.retry_tokens < 1.0 || self.now >= open.deadline {
            return false;
        }
        let Some(server) = self.choose(scope, Some(except)) else { return false };
        let expected = self.latency_at(open.class, server);
        let late = self.now + expected - open.received_at > class.target_latency;
        let price = self.settings.plans[open.plan].price;
        let value = class.worth * price * if late { class.late_value } else { 1.0 };
        if !self.pays(open.class, value, expected) {
            return false;
        }
        self.retry_tokens -= 1.0;
        self.send(id, server, act);
        true
    }

    /// Delay after which a refused client should retry: short enough for a retry within the target latency.
    pub(super) fn hold_off(&self, class: usize) -> Millis {
        self.settings.limits.max_hold_off.min(self.settings.classes[class].target_latency / 4.0)
    }

    /// Final answer to a request without outstanding attempts: refused if a retry is harmless, else failed.
    fn give_up(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let harmless = open.may_have_run.is_none() && open.active == 0;
        let refused = harmless || self.settings.classes[open.class].effect == Effect::Safe;
        let (hold_off, reason) = (self.hold_off(open.class), RefusalReason::AttemptsExhausted);
        let refusal = Action::Refuse { request: id, hold_off, reason };
        act.push(if refused { refusal } else { Action::Fail(id) });
        self.finish(id, act);
    }

    /// Removes an answered request and cancels its outstanding attempts.
    pub(super) fn finish(&mut self, id: RequestId, act: &mut Vec<Action>) {
        self.pending_probes.retain(|probes| probes.0 != id);
        if self.open.remove(&id).is_some() && self.settings.limits.may_cancel {
            let attempts = self.attempts.range((id, 0)..=(id, u32::MAX));
            act.extend(attempts.map(|(key, _)| Action::Cancel { request: id, attempt: key.1 }));
        }
    }

    /// Checks a slow attempt: one whose backend answers others is left alone, a silent backend's is retried.
    pub(super) fn check_attempt(&mut self, id: RequestId, act: &mut Vec<Action>) {
        let Some(open) = self.open.get(&id) else { return };
        let (class, single) = (open.class, open.active == 1 && !open.streaming);
        let only = self.attempts.range((id, 0)..=(id, u32::MAX)).next().filter(|_| single);
        let Some((number, attempt)) = only.map(|(key, attempt)| (key.1, *attempt)) else { return };
        let silent = self.servers[attempt.server].answered_at <= attempt.sent_at || self.overtaken(&attempt);
        if silent && self.now - attempt.sent_at > 2.0 * self.typical_latency(class) {
            if self.settings.limits.may_duplicate {
                if self.retry(id, attempt.server, act) {
                    return;
                }
            } else if self.settings.limits.may_cancel && self.retry_tokens >= 1.0 {
                act.push(Action::Cancel { request: id, attempt: number });
            }
        }
        self.set_timer(TimerKind::Check(id), self.settings.classes[class].target_latency * CHECK_SHARE, act);
    }
}
