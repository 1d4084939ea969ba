//! Load and demand told as changes: the figures that one side holds, and which of them are told next.
//!
//! All values are absolute, so a message that is lost leaves old values and never wrong sums. A message holds a bounded
//! number of entries whatever the size of the fleet: those that changed most come first, and one that waits gains.

use std::collections::BTreeMap;
use switchhill_protocol::{Loads, ModelDemand, RouteAdmission, Summary, WorkerLoad};

/// Workers in one change.
pub const MAX_WORKERS_PER_DELTA: usize = 64;

/// Models and adapters in one change.
pub const MAX_DEMANDS_PER_DELTA: usize = 48;

/// Routes in one change.
pub const MAX_ROUTES_PER_DELTA: usize = 16;

/// Part by which a rate must differ from what was told.
const MATERIAL_PART: f64 = 0.1;

/// Rates a second below which all are alike.
const NEGLIGIBLE_RATE: f64 = 0.05;

/// Requests that are added to a load before differences are compared: one of two counts less than four of four.
const LOAD_BASE: f64 = 4.0;

/// Model, or adapter of a model, of a service.
pub type DemandKey = (String, String, String);

/// Figures as the other side told them, or as they are.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct LoadTable {
    /// Requests out at each worker that has any.
    pub loads: BTreeMap<String, u32>,
    /// Demand for each model and adapter that is asked for.
    pub demand: BTreeMap<DemandKey, ModelDemand>,
    /// What each route that lets anything through lets through.
    pub admission: BTreeMap<String, RouteAdmission>,
}

impl LoadTable {
    /// Takes in a summary: all entries, or changes.
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

    /// Takes in what a core node tells its subscribers.
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

    /// All entries as a summary.
    pub fn to_summary(&self) -> Summary {
        Summary {
            loads: self.worker_loads(),
            demand: self.demand.values().cloned().collect(),
            admission: self.admission.values().cloned().collect(),
            delta: false,
        }
    }

    /// All entries for a subscriber, which is told no demand.
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

    /// Adds the figures of another table.
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

/// One side's account of what it has told.
#[derive(Debug, Clone, Default)]
pub struct LoadDeltaEncoder {
    told: LoadTable,
    waiting_loads: Waiting<String>,
    waiting_demand: Waiting<DemandKey>,
    waiting_admission: Waiting<String>,
}

/// Rounds for which entries that differ from what was told have waited.
type Waiting<K> = BTreeMap<K, u32>;

impl LoadDeltaEncoder {
    /// What was told, which is what the other side holds if it has heard all.
    pub fn sent(&self) -> &LoadTable {
        &self.told
    }

    /// Forgets what was told and tells all.
    pub fn full_summary(&mut self, present: &LoadTable) -> Summary {
        *self = LoadDeltaEncoder { told: present.clone(), ..LoadDeltaEncoder::default() };
        self.told.to_summary()
    }

    /// The changes that are told next.
    pub fn delta_summary(&mut self, present: &LoadTable) -> Summary {
        let told = &self.told;
        let loads = most_changed(
            &told.loads,
            &present.loads,
            MAX_WORKERS_PER_DELTA,
            &mut self.waiting_loads,
            load_change,
        );
        let demand = most_changed(
            &told.demand,
            &present.demand,
            MAX_DEMANDS_PER_DELTA,
            &mut self.waiting_demand,
            demand_change,
        );
        let admission = most_changed(
            &told.admission,
            &present.admission,
            MAX_ROUTES_PER_DELTA,
            &mut self.waiting_admission,
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
        self.told.apply(&summary);
        summary
    }
}

fn present_demand(present: &LoadTable, key: DemandKey) -> ModelDemand {
    let ended = |(service, model, adapter)| ModelDemand { service, model, adapter, ..ModelDemand::default() };
    present.demand.get(&key).cloned().unwrap_or_else(|| ended(key))
}

fn present_admission(present: &LoadTable, route: String) -> RouteAdmission {
    let held = present.admission.get(&route).cloned();
    held.unwrap_or_else(|| RouteAdmission { route, ..RouteAdmission::default() })
}

/// The keys whose values changed most, at most so many; the others wait and gain by it.
fn most_changed<K: Ord + Clone, V>(
    told: &BTreeMap<K, V>,
    present: &BTreeMap<K, V>,
    most: usize,
    waiting: &mut Waiting<K>,
    change: impl Fn(Option<&V>, Option<&V>) -> f64,
) -> Vec<K> {
    let ended = told.keys().filter(|key| !present.contains_key(*key));
    let keys = present.keys().chain(ended);
    let changes = keys.map(|key| (change(told.get(key), present.get(key)), key));
    let mut changes: Vec<(f64, &K)> = changes.filter(|(change, _)| *change > 0.0).collect();
    let waited = std::mem::take(waiting);
    let rounds = |key: &K| waited.get(key).copied().unwrap_or(0);
    if changes.len() > most {
        changes.iter_mut().for_each(|(change, key)| *change *= 1.0 + f64::from(rounds(key)));
        changes.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        waiting.extend(changes.drain(most..).map(|(_, key)| (key.clone(), rounds(key) + 1)));
    }
    changes.into_iter().map(|(_, key)| key.clone()).collect()
}

fn load_change(told: Option<&u32>, present: Option<&u32>) -> f64 {
    let (told, present) = (f64::from(told.copied().unwrap_or(0)), f64::from(present.copied().unwrap_or(0)));
    (present - told).abs() / (told + LOAD_BASE)
}

fn demand_change(told: Option<&ModelDemand>, present: Option<&ModelDemand>) -> f64 {
    let (Some(told), Some(present)) = (told, present) else { return 1.0 };
    let outstanding = load_change(Some(&told.outstanding), Some(&present.outstanding));
    let aim = f64::from(u8::from(told.aim_ms != present.aim_ms));
    outstanding + aim + rate_change(told.requests_per_s, present.requests_per_s)
}

fn admission_change(told: Option<&RouteAdmission>, present: Option<&RouteAdmission>) -> f64 {
    let (Some(told), Some(present)) = (told, present) else { return 1.0 };
    rate_change(told.admitted_per_s, present.admitted_per_s)
        + rate_change(told.delay_cost_per_s, present.delay_cost_per_s)
}

/// Part by which a rate differs from what was told; 0 where that is immaterial.
fn rate_change(told: f64, present: f64) -> f64 {
    let difference = (present - told).abs();
    match difference > NEGLIGIBLE_RATE && difference > MATERIAL_PART * told.abs() {
        true => difference / (told.abs() + NEGLIGIBLE_RATE),
        false => 0.0,
    }
}
