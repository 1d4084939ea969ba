//! Delta encoding of load and demand.
//!
//! All values are absolute, so a lost message leaves stale values but never wrong sums. A delta has a bounded number of
//! entries whatever the size of the fleet: entries with the largest change take precedence, and the priority of a
//! deferred entry grows with each round.

use std::collections::BTreeMap;
use switchhill_protocol::{Loads, ModelDemand, RouteAdmission, Summary, WorkerLoad};

/// Maximum number of workers in a delta.
pub const MAX_WORKERS_PER_DELTA: usize = 64;

/// Maximum number of models and adapters in a delta.
pub const MAX_DEMANDS_PER_DELTA: usize = 48;

/// Maximum number of routes in a delta.
pub const MAX_ROUTES_PER_DELTA: usize = 16;

/// Relative difference from the sent value above which a rate is sent again.
const RELATIVE_RATE_THRESHOLD: f64 = 0.1;

/// Absolute difference, per second, up to which rates are considered equal.
const NEGLIGIBLE_RATE: f64 = 0.05;

/// Number of requests added to a load when its relative change is computed, so that a change by one request at a
/// load of two weighs less than a change by four at a load of four.
const LOAD_OFFSET: f64 = 4.0;

/// Service, model and adapter; the adapter is empty for the model itself.
pub type DemandKey = (String, String, String);

/// Current load and demand, or the values received from another node.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadTable {
    /// Outstanding requests by worker; workers without any are left out.
    pub loads: BTreeMap<String, u32>,
    /// Demand by model and adapter; those without demand are left out.
    pub demand: BTreeMap<DemandKey, ModelDemand>,
    /// Admission rates by route; routes with neither admissions nor delay cost are left out.
    pub admission: BTreeMap<String, RouteAdmission>,
}

impl LoadTable {
    /// Applies a summary, either full or a delta.
    pub fn apply(&mut self, summary: &Summary) {
        if !summary.delta {
            *self = LoadTable::default();
        }
        self.apply_loads(&summary.loads);
        for entry in &summary.demand {
            let key = demand_key(entry);
            match entry.outstanding == 0 && entry.requests_per_s == 0.0 {
                true => self.demand.remove(&key),
                false => self.demand.insert(key, entry.clone()),
            };
        }
        self.apply_admission(&summary.admission);
    }

    /// Applies the load that a core node sends to its subscribers, either full or a delta.
    pub fn apply_fleet(&mut self, loads: &Loads) {
        if !loads.delta {
            *self = LoadTable::default();
        }
        self.apply_loads(&loads.loads);
        self.apply_admission(&loads.admission);
    }

    fn apply_loads(&mut self, loads: &[WorkerLoad]) {
        for load in loads {
            match load.outstanding {
                0 => self.loads.remove(&load.worker),
                outstanding => self.loads.insert(load.worker.clone(), outstanding),
            };
        }
    }

    fn apply_admission(&mut self, admission: &[RouteAdmission]) {
        for entry in admission {
            match entry.admitted_per_s == 0.0 && entry.delay_cost_per_s == 0.0 {
                true => self.admission.remove(&entry.route),
                false => self.admission.insert(entry.route.clone(), entry.clone()),
            };
        }
    }

    /// Returns all entries as a full summary.
    pub fn to_summary(&self) -> Summary {
        Summary {
            loads: self.worker_loads(),
            demand: self.demand.values().cloned().collect(),
            admission: self.admission.values().cloned().collect(),
            delta: false,
        }
    }

    /// Returns all entries as a full message for a subscriber; subscribers do not receive demand.
    pub fn to_loads(&self, sequence: u64) -> Loads {
        let admission = self.admission.values().cloned().collect();
        Loads { loads: self.worker_loads(), admission, delta: false, sequence }
    }

    fn worker_loads(&self) -> Vec<WorkerLoad> {
        let load = |(worker, outstanding): (&String, &u32)| WorkerLoad {
            worker: worker.clone(),
            outstanding: *outstanding,
        };
        self.loads.iter().map(load).collect()
    }

    /// Adds the values of another table.
    pub fn add(&mut self, other: &LoadTable) {
        for (worker, outstanding) in &other.loads {
            match self.loads.get_mut(worker) {
                Some(total) => *total += outstanding,
                None => drop(self.loads.insert(worker.clone(), *outstanding)),
            }
        }
        for (key, entry) in &other.demand {
            match self.demand.get_mut(key) {
                Some(total) => add_demand(total, entry),
                None => drop(self.demand.insert(key.clone(), entry.clone())),
            }
        }
        for (route, entry) in &other.admission {
            match self.admission.get_mut(route) {
                Some(total) => {
                    total.admitted_per_s += entry.admitted_per_s;
                    total.delay_cost_per_s += entry.delay_cost_per_s;
                }
                None => drop(self.admission.insert(route.clone(), entry.clone())),
            }
        }
    }
}

fn demand_key(entry: &ModelDemand) -> DemandKey {
    (entry.service.clone(), entry.model.clone(), entry.adapter.clone())
}

fn add_demand(total: &mut ModelDemand, entry: &ModelDemand) {
    total.requests_per_s += entry.requests_per_s;
    total.tokens_per_s += entry.tokens_per_s;
    total.outstanding += entry.outstanding;
    total.aim_ms = total.aim_ms.min(entry.aim_ms);
}

/// Encodes the changes of a load table for a receiver and tracks which values were sent.
#[derive(Debug, Clone, Default)]
pub struct LoadDeltaEncoder {
    sent: LoadTable,
    deferred_loads: Deferred<String>,
    deferred_demand: Deferred<DemandKey>,
    deferred_admission: Deferred<String>,
}

/// Number of rounds for which a changed entry has been deferred, by key.
type Deferred<K> = BTreeMap<K, u32>;

impl LoadDeltaEncoder {
    /// Returns the values sent so far, which a receiver of all messages holds.
    pub fn sent(&self) -> &LoadTable {
        &self.sent
    }

    /// Resets the encoder and returns a full summary.
    pub fn full_summary(&mut self, present: &LoadTable) -> Summary {
        *self = LoadDeltaEncoder { sent: present.clone(), ..LoadDeltaEncoder::default() };
        self.sent.to_summary()
    }

    /// Returns the next delta.
    pub fn delta_summary(&mut self, present: &LoadTable) -> Summary {
        let sent = &self.sent;
        let loads = most_changed(
            &sent.loads,
            &present.loads,
            MAX_WORKERS_PER_DELTA,
            &mut self.deferred_loads,
            load_change,
        );
        let demand = most_changed(
            &sent.demand,
            &present.demand,
            MAX_DEMANDS_PER_DELTA,
            &mut self.deferred_demand,
            demand_change,
        );
        let admission = most_changed(
            &sent.admission,
            &present.admission,
            MAX_ROUTES_PER_DELTA,
            &mut self.deferred_admission,
            admission_change,
        );
        let load = |worker: String| WorkerLoad {
            outstanding: present.loads.get(&worker).copied().unwrap_or(0),
            worker,
        };
        let summary = Summary {
            loads: loads.into_iter().map(load).collect(),
            demand: demand.into_iter().map(|key| present_demand(present, key)).collect(),
            admission: admission.into_iter().map(|route| present_admission(present, route)).collect(),
            delta: true,
        };
        self.sent.apply(&summary);
        summary
    }
}

fn present_demand(present: &LoadTable, key: DemandKey) -> ModelDemand {
    let removed =
        |(service, model, adapter)| ModelDemand { service, model, adapter, ..ModelDemand::default() };
    present.demand.get(&key).cloned().unwrap_or_else(|| removed(key))
}

fn present_admission(present: &LoadTable, route: String) -> RouteAdmission {
    let entry = present.admission.get(&route).cloned();
    entry.unwrap_or_else(|| RouteAdmission { route, ..RouteAdmission::default() })
}

/// Returns at most `limit` keys, those with the largest change first. The others are deferred: their change is
/// weighted with the number of rounds that they have waited.
fn most_changed<K: Ord + Clone, V>(
    sent: &BTreeMap<K, V>,
    present: &BTreeMap<K, V>,
    limit: usize,
    deferred: &mut Deferred<K>,
    change: impl Fn(Option<&V>, Option<&V>) -> f64,
) -> Vec<K> {
    let removed = sent.keys().filter(|key| !present.contains_key(*key));
    let keys = present.keys().chain(removed);
    let changes = keys.map(|key| (change(sent.get(key), present.get(key)), key));
    let mut changes: Vec<(f64, &K)> = changes.filter(|(change, _)| *change > 0.0).collect();
    let waited = std::mem::take(deferred);
    let rounds = |key: &K| waited.get(key).copied().unwrap_or(0);
    if changes.len() > limit {
        changes.iter_mut().for_each(|(change, key)| *change *= 1.0 + f64::from(rounds(key)));
        changes.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        deferred.extend(changes.drain(limit..).map(|(_, key)| (key.clone(), rounds(key) + 1)));
    }
    changes.into_iter().map(|(_, key)| key.clone()).collect()
}

fn load_change(sent: Option<&u32>, present: Option<&u32>) -> f64 {
    let (sent, present) = (f64::from(sent.copied().unwrap_or(0)), f64::from(present.copied().unwrap_or(0)));
    (present - sent).abs() / (sent + LOAD_OFFSET)
}

fn demand_change(sent: Option<&ModelDemand>, present: Option<&ModelDemand>) -> f64 {
    let (Some(sent), Some(present)) = (sent, present) else { return 1.0 };
    let outstanding = load_change(Some(&sent.outstanding), Some(&present.outstanding));
    let aim = f64::from(u8::from(sent.aim_ms != present.aim_ms));
    outstanding + aim + rate_change(sent.requests_per_s, present.requests_per_s)
}

fn admission_change(sent: Option<&RouteAdmission>, present: Option<&RouteAdmission>) -> f64 {
    let (Some(sent), Some(present)) = (sent, present) else { return 1.0 };
    rate_change(sent.admitted_per_s, present.admitted_per_s)
        + rate_change(sent.delay_cost_per_s, present.delay_cost_per_s)
}

/// Relative change of a rate since it was sent; 0 if negligible.
fn rate_change(sent: f64, present: f64) -> f64 {
    let difference = (present - sent).abs();
    match difference > NEGLIGIBLE_RATE && difference > RELATIVE_RATE_THRESHOLD * sent.abs() {
        true => difference / (sent.abs() + NEGLIGIBLE_RATE),
        false => 0.0,
    }
}
