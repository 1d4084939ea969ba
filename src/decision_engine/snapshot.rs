//! State of the decision engine that outlives a process or a change of settings. No decision is taken here.

use super::{ClassState, Customer, DecisionEngine};
use crate::interface::{Millis, Settings, SettingsError};
use serde::{Deserialize, Serialize};
use switchhill_recovery::Reuse;

/// State that an engine hands over to its successor. Classes and plans are in the order of the settings that it
/// was measured under; times are those of the clock that both engines are given. Postcard
/// stores values by position, without names: the order and types of the fields are the format.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct EngineSnapshot {
    started: Option<Millis>,
    classes: Vec<ClassState>,
    within_quota: Vec<f64>,
    customers: Vec<(u64, Customer)>,
    servers: Vec<ServerSnapshot>,
    retry_tokens: f64,
    wait: Millis,
    answered_wait: Millis,
    unanswered: f64,
    usual_load: f64,
}

#[derive(Debug, Serialize, Deserialize)]
struct ServerSnapshot {
    id: String,
    started_at: Millis,
    ramp_from: Millis,
    slowdown: f64,
    samples: f64,
    failures: u32,
    backoff: Millis,
    ejected_until: Millis,
}

impl EngineSnapshot {
    /// Drops the parts that may not be used; the rest may become stricter by that, never looser.
    pub fn keep(&mut self, slices: Reuse, prices: Reuse, evidence: Reuse) {
        match slices {
            Reuse::Whole => {}
            // An old share or reading may be far from what the other gateways use now: only the least share and
            // the fill levels of the buckets are kept.
            Reuse::AsBound => {
                self.started = None;
                for (_, customer) in &mut self.customers {
                    customer.share = customer.share.min(1.0 / customer.entry_points.max(1.0));
                    (customer.reading, customer.metered_at) = (0.0, f64::NEG_INFINITY);
                }
            }
            Reuse::Not => {
                self.started = None;
                self.customers.clear();
            }
        }
        if prices != Reuse::Whole {
            self.classes.clear();
            self.within_quota.clear();
        }
        if evidence != Reuse::Whole {
            self.servers.clear();
        }
    }
}

impl DecisionEngine {
    /// Replaces the settings. `classes` and `plans` map each present position to the one in the new settings that
    /// has the same name. `held` marks classes that callers still refer to. Classes and plans of open requests that
    /// the new settings drop or change are kept behind the new ones until those requests have ended.
    ///
    /// Returns the new position of each class that is kept.
    ///
    /// # Errors
    /// Names the first invalid setting; then nothing has changed.
    pub fn reconfigure(
        &mut self,
        mut settings: Settings,
        classes: &[Option<usize>],
        plans: &[Option<usize>],
        held: &[bool],
    ) -> Result<Vec<Option<usize>>, SettingsError> {
        settings.validate()?;
        let named_plans = settings.plans.len();
        let class_used = |n: usize| {
            held.get(n).copied().unwrap_or(false)
                || self.open.values().any(|open| open.class == n)
                || self.attempts.values().any(|attempt| attempt.class == n)
        };
        let plan_used = |n: usize| self.open.values().any(|open| open.plan == n);
        let mut states = vec![ClassState::default(); settings.classes.len()];
        let mut within = vec![super::PRIOR_WITHIN; named_plans];
        let old = (&self.settings.classes[..], &self.classes[..]);
        let class_at = carry_over(old, (&mut settings.classes, &mut states), classes, class_used);
        let old = (&self.settings.plans[..], &self.within_quota[..]);
        let plan_at = carry_over(old, (&mut settings.plans, &mut within), plans, plan_used);
        // Every index below is in use, so it has a new position.
        for open in self.open.values_mut() {
            open.class = class_at[open.class].unwrap_or(0);
            open.plan = plan_at[open.plan].unwrap_or(0);
        }
        self.attempts.values_mut().for_each(|attempt| attempt.class = class_at[attempt.class].unwrap_or(0));
        // A customer stays if its plan's name is in the new settings; otherwise it starts anew.
        self.customers.retain(|_, customer| match plans.get(customer.plan).copied().flatten() {
            Some(plan) if plan < named_plans => {
                customer.plan = plan;
                true
            }
            _ => false,
        });
        (self.classes, self.within_quota, self.settings) = (states, within, settings);
        Ok(class_at)
    }

    /// Whether a backend is ejected after failed attempts: it gets single trial requests at most.
    #[must_use]
    pub fn is_ejected(&self, backend: &str) -> bool {
        self.by_id.get(backend).is_some_and(|&index| self.servers[index].is_ejected())
    }

    /// State to hand over, with the `max_customers` that were seen last.
    #[must_use]
    pub fn snapshot(&self, max_customers: usize) -> EngineSnapshot {
        let mut customers: Vec<(u64, Customer)> = self
            .customers
            .iter()
            .map(|(id, customer)| (*id, Customer { active: 0.0, ..customer.clone() }))
            .collect();
        if customers.len() > max_customers {
            customers.sort_by(|a, b| b.1.refilled_at.total_cmp(&a.1.refilled_at));
            customers.truncate(max_customers);
        }
        let server_snapshot = |(id, index): (&crate::interface::BackendId, &usize)| {
            let server = &self.servers[*index];
            ServerSnapshot {
                id: id.to_string(),
                started_at: server.listed.started_at,
                ramp_from: server.ramp_from,
                slowdown: server.slowdown,
                samples: server.samples,
                failures: server.failures,
                backoff: server.backoff,
                ejected_until: server.ejected_until,
            }
        };
        EngineSnapshot {
            started: self.started,
            classes: self.classes.clone(),
            within_quota: self.within_quota.clone(),
            customers,
            servers: self.by_id.iter().map(server_snapshot).collect(),
            retry_tokens: self.retry_tokens,
            wait: self.wait,
            answered_wait: self.answered_wait,
            unanswered: self.unanswered,
            usual_load: self.usual_load,
        }
    }

    /// Takes over a predecessor's state. `classes` and `plans` map its positions to those in the settings here.
    /// Backends that have started since the snapshot keep the state that they have here.
    pub fn restore(&mut self, snapshot: EngineSnapshot, classes: &[Option<usize>], plans: &[Option<usize>]) {
        self.started = [self.started, snapshot.started].into_iter().flatten().reduce(f64::min);
        let priced = !snapshot.classes.is_empty();
        for (state, here) in snapshot.classes.into_iter().zip(classes) {
            if let Some(class) = here.and_then(|here| self.classes.get_mut(here)) {
                *class = state;
            }
        }
        for (within, here) in snapshot.within_quota.into_iter().zip(plans) {
            if let Some(own) = here.and_then(|here| self.within_quota.get_mut(here)) {
                *own = within;
            }
        }
        for (id, customer) in snapshot.customers {
            // A customer whose plan was removed starts anew.
            if let Some(plan) =
                plans.get(customer.plan).copied().flatten().filter(|p| *p < self.within_quota.len())
            {
                self.customers.insert(id, Customer { plan, active: 0.0, ..customer });
            }
        }
        for stored in snapshot.servers {
            let Some(&index) = self.by_id.get(stored.id.as_str()) else { continue };
            let server = &mut self.servers[index];
            if server.listed.started_at <= stored.started_at {
                server.ramp_from = server.ramp_from.max(stored.ramp_from);
                (server.slowdown, server.samples) = (stored.slowdown, stored.samples);
                (server.failures, server.backoff, server.ejected_until) =
                    (stored.failures, stored.backoff, stored.ejected_until);
            }
        }
        // Without the prices the other load estimates do not apply either.
        if priced {
            (self.retry_tokens, self.wait, self.answered_wait) =
                (snapshot.retry_tokens, snapshot.wait, snapshot.answered_wait);
            (self.unanswered, self.usual_load) = (snapshot.unanswered, snapshot.usual_load);
        }
    }
}

/// Carries the state of old rules (classes or plans) over to the new ones of the same name. Old rules that are in
/// use, and dropped or changed, are appended. Returns the new position of each old rule.
fn carry_over<R: Clone + PartialEq, S: Clone>(
    (old_rules, old): (&[R], &[S]),
    (rules, states): (&mut Vec<R>, &mut Vec<S>),
    named: &[Option<usize>],
    used: impl Fn(usize) -> bool,
) -> Vec<Option<usize>> {
    let count = rules.len();
    let position = |(n, (rule, own)): (usize, (&R, &S))| {
        let named = named.get(n).copied().flatten().filter(|at| *at < count);
        if let Some(at) = named {
            states[at] = own.clone();
        }
        named.filter(|at| rules[*at] == *rule).or_else(|| {
            used(n).then(|| {
                rules.push(rule.clone());
                states.push(own.clone());
                rules.len() - 1
            })
        })
    };
    old_rules.iter().zip(old).enumerate().map(position).collect()
}
