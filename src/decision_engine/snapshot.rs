//! What others may read of the module's state, and what outlives a process. No decision is taken here.

use super::{ClassState, Customer, DecisionEngine};
use crate::interface::{Millis, Settings, SettingsError};
use serde::{Deserialize, Serialize};
use switchhill_recovery::Use;

/// What a brain has learnt, for one that goes on in its place. Classes and plans stand in the order of the
/// settings it was learnt under; times are those of the clock that both are told.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct EngineSnapshot {
    started: Option<Millis>,
    classes: Vec<ClassState>,
    within: Vec<f64>,
    customers: Vec<(u64, Customer)>,
    hosts: Vec<Host>,
    extra: f64,
    wait: Millis,
    heard: Millis,
    missing: f64,
    usual_out: f64,
}

#[derive(Debug, Serialize, Deserialize)]
struct Host {
    id: String,
    born: Millis,
    ramp_from: Millis,
    ratio: f64,
    evidence: f64,
    faults: u32,
    rest: Millis,
    rest_until: Millis,
}

impl EngineSnapshot {
    /// Leaves of it what may be used; what is left may be the stricter for it, never the looser.
    pub fn keep(&mut self, slices: Use, prices: Use, evidence: Use) {
        match slices {
            Use::Whole => {}
            // Danger: a share or a reading of before may be far from what the others use now. The floor and an empty
            // bucket's filling are all that is kept.
            Use::AsBound => {
                self.started = None;
                for (_, customer) in &mut self.customers {
                    customer.share = customer.share.min(1.0 / customer.entry.max(1.0));
                    (customer.reading, customer.read_at) = (0.0, f64::NEG_INFINITY);
                }
            }
            Use::Not => {
                self.started = None;
                self.customers.clear();
            }
        }
        if prices != Use::Whole {
            self.classes.clear();
            self.within.clear();
        }
        if evidence != Use::Whole {
            self.hosts.clear();
        }
    }
}

impl DecisionEngine {
    /// Goes on under other settings. `classes` and `plans` tell, for each of the present settings', its position in
    /// the new ones under its name. `held` marks classes that must stay for others' sake. What open requests came
    /// under, and the new settings drop or change, stands behind the new ones until they are over.
    ///
    /// Returns the new position of each class that stays.
    ///
    /// # Errors
    /// Names the first setting that no gateway could work with; then nothing has changed.
    pub fn reconfigure(
        &mut self,
        mut set: Settings,
        classes: &[Option<usize>],
        plans: &[Option<usize>],
        held: &[bool],
    ) -> Result<Vec<Option<usize>>, SettingsError> {
        set.validate()?;
        let named_plans = set.plans.len();
        let class_used = |n: usize| {
            held.get(n).copied().unwrap_or(false)
                || self.open.values().any(|open| open.class == n)
                || self.out.values().any(|out| out.class == n)
        };
        let plan_used = |n: usize| self.open.values().any(|open| open.plan == n);
        let mut states = vec![ClassState::default(); set.classes.len()];
        let mut within = vec![super::UNREAD; named_plans];
        let old = (&self.set.classes[..], &self.classes[..]);
        let class_at = carry_over(old, (&mut set.classes, &mut states), classes, class_used);
        let old = (&self.set.plans[..], &self.within[..]);
        let plan_at = carry_over(old, (&mut set.plans, &mut within), plans, plan_used);
        // Every index below is in use, so it has a place.
        for open in self.open.values_mut() {
            open.class = class_at[open.class].unwrap_or(0);
            open.plan = plan_at[open.plan].unwrap_or(0);
        }
        self.out.values_mut().for_each(|out| out.class = class_at[out.class].unwrap_or(0));
        // A customer's own plan is the one its name has now; without one it is a new customer when it comes back.
        self.customers.retain(|_, customer| match plans.get(customer.plan).copied().flatten() {
            Some(plan) if plan < named_plans => {
                customer.plan = plan;
                true
            }
            _ => false,
        });
        (self.classes, self.within, self.set) = (states, within, set);
        Ok(class_at)
    }

    /// Whether it gives a backend single tries at the most, since its attempts came to nothing.
    #[must_use]
    pub fn is_ejected(&self, backend: &str) -> bool {
        self.by_id.get(backend).is_some_and(|&index| self.servers[index].doubted())
    }

    /// What it has learnt; of the customers, the `most` that were seen last.
    #[must_use]
    pub fn snapshot(&self, most: usize) -> EngineSnapshot {
        let mut customers: Vec<(u64, Customer)> = self
            .customers
            .iter()
            .map(|(id, customer)| (*id, Customer { out: 0.0, ..customer.clone() }))
            .collect();
        if customers.len() > most {
            customers.sort_by(|a, b| b.1.filled.total_cmp(&a.1.filled));
            customers.truncate(most);
        }
        let host = |(id, index): (&crate::interface::BackendId, &usize)| {
            let server = &self.servers[*index];
            Host {
                id: id.to_string(),
                born: server.told.started_at,
                ramp_from: server.ramp_from,
                ratio: server.ratio,
                evidence: server.evidence,
                faults: server.faults,
                rest: server.rest,
                rest_until: server.rest_until,
            }
        };
        EngineSnapshot {
            started: self.started,
            classes: self.classes.clone(),
            within: self.within.clone(),
            customers,
            hosts: self.by_id.iter().map(host).collect(),
            extra: self.extra,
            wait: self.wait,
            heard: self.heard,
            missing: self.missing,
            usual_out: self.usual_out,
        }
    }

    /// Goes on from what another has learnt. `classes` and `plans` tell, for each of that one's, its position in
    /// the settings here. What is known here already of hosts that have started since stays.
    pub fn restore(&mut self, learnt: EngineSnapshot, classes: &[Option<usize>], plans: &[Option<usize>]) {
        self.started = [self.started, learnt.started].into_iter().flatten().reduce(f64::min);
        let priced = !learnt.classes.is_empty();
        for (state, here) in learnt.classes.into_iter().zip(classes) {
            if let Some(class) = here.and_then(|here| self.classes.get_mut(here)) {
                *class = state;
            }
        }
        for (within, here) in learnt.within.into_iter().zip(plans) {
            if let Some(own) = here.and_then(|here| self.within.get_mut(here)) {
                *own = within;
            }
        }
        for (id, customer) in learnt.customers {
            // A customer whose plan is no more is a new one.
            if let Some(plan) = plans.get(customer.plan).copied().flatten().filter(|p| *p < self.within.len())
            {
                self.customers.insert(id, Customer { plan, out: 0.0, ..customer });
            }
        }
        for host in learnt.hosts {
            let Some(&index) = self.by_id.get(host.id.as_str()) else { continue };
            let server = &mut self.servers[index];
            if server.told.started_at <= host.born {
                server.ramp_from = server.ramp_from.max(host.ramp_from);
                (server.ratio, server.evidence) = (host.ratio, host.evidence);
                (server.faults, server.rest, server.rest_until) = (host.faults, host.rest, host.rest_until);
            }
        }
        // Without its prices the rest of what the load was is none of this one's either.
        if priced {
            (self.extra, self.wait, self.heard) = (learnt.extra, learnt.wait, learnt.heard);
            (self.missing, self.usual_out) = (learnt.missing, learnt.usual_out);
        }
    }
}

/// Takes what was learnt under old rules over to the new ones of the same name, and keeps old rules that are in
/// use and dropped or changed behind the new ones. Tells where each of the old stands now.
fn carry_over<R: Clone + PartialEq, S: Clone>(
    (old_rules, old): (&[R], &[S]),
    (rules, learnt): (&mut Vec<R>, &mut Vec<S>),
    named: &[Option<usize>],
    used: impl Fn(usize) -> bool,
) -> Vec<Option<usize>> {
    let count = rules.len();
    let place = |(n, (rule, own)): (usize, (&R, &S))| {
        let named = named.get(n).copied().flatten().filter(|at| *at < count);
        if let Some(at) = named {
            learnt[at] = own.clone();
        }
        named.filter(|at| rules[*at] == *rule).or_else(|| {
            used(n).then(|| {
                rules.push(rule.clone());
                learnt.push(own.clone());
                rules.len() - 1
            })
        })
    };
    old_rules.iter().zip(old).enumerate().map(place).collect()
}
