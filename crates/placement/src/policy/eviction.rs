//! Selection of models to unload from a worker when memory is needed.

use crate::catalogue::ModelIndex;
use crate::demand::ModelDemand;
use crate::planner::Planner;
use crate::policy::model_placement::PlacementReason;
use crate::worker::{ModelRecord, Phase, WorkerKey};

/// A requested model stays at least this long after its load, in milliseconds.
const MIN_RESIDENCY_MS: u64 = 4_000;
/// Idle time after which a sole replica may be evicted for any load, in milliseconds.
const LONG_IDLE_MS: u64 = 10_000;
/// Idle time after which a sole replica may be evicted for waiting requests, in milliseconds.
const SHORT_IDLE_MS: u64 = 3_000;
/// Time from the first demand report after which replicas beyond the demand count as surplus, in milliseconds.
const DEMAND_KNOWN_AFTER_MS: u64 = 2_000;
/// A sole replica in use is evicted only for a model with this many times as many waiting requests as the evicted model
/// is expected to receive during its reload.
const IN_USE_EVICTION_RATIO: f64 = 1.5;

/// Eviction costs, as milliseconds of delay to the load that needs the memory.
mod cost {
    /// A model that is no longer configured.
    pub(super) const UNCONFIGURED: f64 = 0.0;
    /// A replica beyond what demand needs.
    pub(super) const SURPLUS: f64 = 50.0;
    /// A sole replica that has been idle for a long time.
    pub(super) const LONG_IDLE: f64 = 400.0;
    /// Range by which the cost of a long-idle replica falls with its idle time.
    pub(super) const LONG_IDLE_RANGE: f64 = 600.0;
    /// A replica that demand could use, although the others can carry the load.
    pub(super) const USEFUL: f64 = 2_500.0;
    /// A sole replica that was requested a few seconds ago.
    pub(super) const SHORT_IDLE: f64 = 1_500.0;
    /// Each request expected during the reload of a sole replica whose latency target is shorter than the reload.
    pub(super) const MISSED_URGENT: f64 = 400.0;
    /// Each request expected during the reload of a sole replica whose latency target allows for the reload.
    pub(super) const MISSED_PATIENT: f64 = 100.0;
    /// A sole replica in use.
    pub(super) const IN_USE: f64 = 6_000.0;
    /// Surcharge for a sole replica of a model that is expected to be busy soon.
    pub(super) const ANTICIPATED: f64 = 3_000.0;
}

/// Upper limits of the eviction cost. Above them it is better to wait for another worker: a load takes about 4 s.
mod limit {
    /// For a missing model, regardless of the number of waiting requests.
    pub(super) const MISSING: f64 = 4_000.0;
    /// Added for each waiting request, and for each two seconds of waiting.
    pub(super) const MISSING_PER_REQUEST: f64 = 1_000.0;
    /// For a replica of an overloaded model.
    pub(super) const OVERLOADED: f64 = 3_000.0;
    /// Added for each request beyond what its replicas should run.
    pub(super) const OVERLOADED_PER_REQUEST: f64 = 300.0;
    /// For other replicas.
    pub(super) const REPLICA: f64 = 4_000.0;
}

/// Models to unload, and the total cost.
#[derive(Debug, Default)]
pub(crate) struct Victims {
    pub(crate) models: Vec<ModelIndex>,
    pub(crate) cost: f64,
}

impl Planner {
    /// Cheapest models to unload so that `model` fits on the worker, or `None` if that is impossible or costs more than
    /// the reason allows.
    pub(crate) fn choose_victims(
        &self,
        now: u64,
        key: WorkerKey,
        model: ModelIndex,
        reason: PlacementReason,
    ) -> Option<Victims> {
        let worker = &self.workers[key];
        let needed = self.catalogue.spec(model).weights_mb;
        let mut free = self.engine.weights_mb - worker.used_mb(now, &self.catalogue);
        free -= worker.planned_adapters_mb(&self.catalogue);
        let mut victims = Victims::default();
        if free >= needed {
            return Some(victims);
        }
        let mut candidates: Vec<(f64, &ModelRecord)> = worker
            .model_records
            .iter()
            .filter_map(|record| Some((self.eviction_cost(now, record, reason)?, record)))
            .collect();
        candidates.sort_by(|left, right| left.0.total_cmp(&right.0));
        for (cost, record) in candidates {
            let spec = self.catalogue.spec(record.model);
            free += spec.weights_mb + spec.adapter_mb * record.adapters.len() as f64;
            victims.models.push(record.model);
            victims.cost += cost;
            if free >= needed {
                return Some(victims).filter(|victims| victims.cost <= max_eviction_cost(reason));
            }
        }
        None
    }

    /// Cost of unloading a model, or `None` if it must stay.
    fn eviction_cost(&self, now: u64, record: &ModelRecord, reason: PlacementReason) -> Option<f64> {
        if record.phase != Phase::Resident {
            return None;
        }
        let entry = self.catalogue.entry(record.model);
        let Some(rank) = entry.rank else { return Some(cost::UNCONFIGURED) };
        let demand = self.demand.get(&record.model);
        let idle = demand.and_then(|demand| demand.idle_ms(now));
        let replicas = self.replicas.get(record.model.get()).map_or(0, |replicas| replicas.serving.len());
        if replicas > 1 {
            let load = demand.map_or(0.0, |demand| demand.slots);
            let anticipated = self.anticipated.get(&record.model).copied().unwrap_or(0);
            let before_known = if self.is_demand_known(now) { 0 } else { replicas };
            let max_replicas =
                demand.map_or(0, |demand| demand.max_replicas).max(anticipated).max(before_known);
            let adapter_replicas = demand.map_or(0, |demand| demand.adapter_replicas);
            let cost = self.replica_eviction_cost(replicas, load, max_replicas, reason);
            return cost.filter(|_| replicas > adapter_replicas);
        }
        let surcharge = if self.is_anticipated(record.model) { cost::ANTICIPATED } else { 0.0 };
        let (Some(demand), Some(idle)) = (demand, idle) else {
            return Some(self.unrequested_eviction_cost(rank) + surcharge);
        };
        let recently_loaded = record.since.is_some_and(|since| now.saturating_sub(since) < MIN_RESIDENCY_MS);
        if recently_loaded {
            return None;
        }
        let sole_replica = SoleReplica::new(demand, idle, entry.spec.load_ms);
        sole_replica.cost(reason).map(|cost| cost + surcharge)
    }

    /// Whether a model should have replicas because its predecessors in the operator's list are busy.
    fn is_anticipated(&self, model: ModelIndex) -> bool {
        self.anticipated.get(&model).is_some_and(|replicas| *replicas > 0)
    }

    /// Whether demand has been reported for long enough to judge replicas by it. Until then, replicas that the operator
    /// loaded are kept.
    fn is_demand_known(&self, now: u64) -> bool {
        self.first_demand_at.is_some_and(|first| now >= first + DEMAND_KNOWN_AFTER_MS)
    }

    /// Cost of a model that was never requested: models late in the operator's list are evicted first.
    fn unrequested_eviction_cost(&self, rank: usize) -> f64 {
        let share = rank as f64 / self.engine.models.len().max(1) as f64;
        cost::LONG_IDLE + cost::LONG_IDLE_RANGE * (1.0 - share)
    }

    fn replica_eviction_cost(
        &self,
        replicas: usize,
        load: f64,
        max_replicas: usize,
        reason: PlacementReason,
    ) -> Option<f64> {
        let slots = f64::from(self.engine.slots.max(1));
        let load_after = load / (replicas - 1) as f64 / slots;
        if replicas > max_replicas {
            return Some(cost::SURPLUS + cost::LONG_IDLE * load_after);
        }
        // Above the target occupancy the remaining replicas would trigger another load at once, and loads and evictions
        // would alternate.
        let within_target = match reason {
            PlacementReason::Missing { .. } | PlacementReason::Overloaded { .. } => {
                load_after <= self.settings.wanted_occupancy
            }
            PlacementReason::Growth | PlacementReason::Anticipated => false,
        };
        within_target.then_some(cost::USEFUL + cost::LONG_IDLE * load_after)
    }
}

/// Upper limit of the eviction cost for a load.
fn max_eviction_cost(reason: PlacementReason) -> f64 {
    match reason {
        PlacementReason::Missing { pressure } => limit::MISSING + limit::MISSING_PER_REQUEST * pressure,
        PlacementReason::Overloaded { excess } => limit::OVERLOADED + limit::OVERLOADED_PER_REQUEST * excess,
        PlacementReason::Growth | PlacementReason::Anticipated => limit::REPLICA,
    }
}

/// The only replica of a model that has been requested.
struct SoleReplica {
    idle_ms: u64,
    /// Requests that will arrive during a reload at the recent rate.
    missed_requests: f64,
    /// Cost of such requests, in milliseconds of delay.
    missed_cost: f64,
}

impl SoleReplica {
    fn new(demand: &ModelDemand, idle_ms: u64, load_ms: u64) -> Self {
        let load_s = load_ms as f64 / 1_000.0;
        let urgent = demand.latency_target_ms < load_ms;
        let each = if urgent { cost::MISSED_URGENT } else { cost::MISSED_PATIENT };
        Self {
            idle_ms,
            missed_requests: demand.slow_rate * load_s,
            missed_cost: demand.popularity * load_s * each,
        }
    }

    fn cost(&self, reason: PlacementReason) -> Option<f64> {
        if self.idle_ms >= LONG_IDLE_MS {
            let age = LONG_IDLE_MS as f64 / self.idle_ms as f64;
            return Some(cost::LONG_IDLE + cost::LONG_IDLE_RANGE * age + self.missed_cost);
        }
        let pressure = match reason {
            PlacementReason::Missing { pressure } => pressure,
            PlacementReason::Overloaded { excess } => excess,
            PlacementReason::Growth | PlacementReason::Anticipated => return None,
        };
        if self.idle_ms >= SHORT_IDLE_MS {
            return Some(cost::SHORT_IDLE + self.missed_cost);
        }
        let outweighs = pressure > IN_USE_EVICTION_RATIO * self.missed_requests + 1.0;
        outweighs.then_some(cost::IN_USE + self.missed_cost)
    }
}
