//! What others may read of the module's state, and what outlives a process. No decision is taken here.

use super::{Brain, ClassState, Customer};
use crate::interface::Millis;
use serde::{Deserialize, Serialize};

/// What a brain has learnt, for one that goes on in its place. Classes and plans stand in the order of the
/// settings it was learnt under; times are those of the clock that both are told.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Learnt {
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

impl Brain {
    /// Whether it gives a backend single tries at the most, since its attempts came to nothing.
    #[must_use]
    pub fn avoids(&self, backend: &str) -> bool {
        self.by_id.get(backend).is_some_and(|&index| self.servers[index].doubted())
    }

    /// What it has learnt; of the customers, the `most` that were seen last.
    #[must_use]
    pub fn learnt(&self, most: usize) -> Learnt {
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
                born: server.told.born,
                ramp_from: server.ramp_from,
                ratio: server.ratio,
                evidence: server.evidence,
                faults: server.faults,
                rest: server.rest,
                rest_until: server.rest_until,
            }
        };
        Learnt {
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
    pub fn learn(&mut self, learnt: Learnt, classes: &[Option<usize>], plans: &[Option<usize>]) {
        self.started = [self.started, learnt.started].into_iter().flatten().reduce(f64::min);
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
            if server.told.born <= host.born {
                server.ramp_from = server.ramp_from.max(host.ramp_from);
                (server.ratio, server.evidence) = (host.ratio, host.evidence);
                (server.faults, server.rest, server.rest_until) = (host.faults, host.rest, host.rest_until);
            }
        }
        (self.extra, self.wait, self.heard) = (learnt.extra, learnt.wait, learnt.heard);
        (self.missing, self.usual_out) = (learnt.missing, learnt.usual_out);
    }
}
