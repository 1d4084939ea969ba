//! What gives way on a worker when room is needed.

use crate::catalogue::ModelIndex;
use crate::demand::ModelDemand;
use crate::planner::Planner;
use crate::policy::model_placement::PlacementReason;
use crate::worker::{ModelRecord, Phase, WorkerKey};

/// A model stays this long after its load unless it is never asked for, in milliseconds.
const MIN_RESIDENCY_MS: u64 = 4_000;
/// Only copy: idle this long, it gives way to anything, in milliseconds.
const LONG_IDLE_MS: u64 = 10_000;
/// Only copy: idle this long, it gives way to requests that wait, in milliseconds.
const SHORT_IDLE_MS: u64 = 3_000;
/// Time from the first demand after which copies that demand doesn't need are surplus, in milliseconds.
const DEMAND_KNOWN_AFTER_MS: u64 = 2_000;
/// How many times the requests that will miss it during a reload must wait for another model before the only copy of
/// one in use gives way.
const IN_USE_EVICTION_RATIO: f64 = 1.5;

/// Costs of giving way, in milliseconds of delay to the load they make room for.
mod cost {
    /// A model that isn't configured any more.
    pub(super) const UNCONFIGURED: f64 = 0.0;
    /// A copy beyond what demand needs.
    pub(super) const SURPLUS: f64 = 50.0;
    /// An only copy nobody asked for in a long time.
    pub(super) const LONG_IDLE: f64 = 400.0;
    /// Range over which a long idle copy costs less, the longer it is idle.
    pub(super) const LONG_IDLE_RANGE: f64 = 600.0;
    /// A copy that demand could use, though the others can carry it.
    pub(super) const USEFUL: f64 = 2_500.0;
    /// An only copy asked for a few seconds ago.
    pub(super) const SHORT_IDLE: f64 = 1_500.0;
    /// Each request that will probably miss an only copy during a reload, and can't wait that long.
    pub(super) const MISSED_URGENT: f64 = 400.0;
    /// Each request that will probably miss an only copy during a reload, but can wait.
    pub(super) const MISSED_PATIENT: f64 = 100.0;
    /// An only copy in use.
    pub(super) const IN_USE: f64 = 6_000.0;
    /// An only copy of a model that is expected to be busy soon, beside its other costs.
    pub(super) const ANTICIPATED: f64 = 3_000.0;
}

/// What room may cost at the most. Beyond that, it is better to wait until another worker is free: a load takes some 4 s.
mod limit {
    /// For a missing model, however few wait for it.
    pub(super) const MISSING: f64 = 4_000.0;
    /// More for each request that waits for it, and for each two seconds of waiting.
    pub(super) const MISSING_PER_REQUEST: f64 = 1_000.0;
    /// For a copy of a crowded model.
    pub(super) const OVERLOADED: f64 = 3_000.0;
    /// More for each request beyond what its copies should run.
    pub(super) const OVERLOADED_PER_REQUEST: f64 = 300.0;
    /// For other copies.
    pub(super) const REPLICA: f64 = 4_000.0;
}

/// Models to unload, and what that costs.
#[derive(Debug, Default)]
pub(crate) struct Victims {
    pub(crate) models: Vec<ModelIndex>,
    pub(crate) cost: f64,
}

impl Planner {
    /// Cheapest models to unload so that `model` fits onto the worker, or none if it can't be made to fit at a price that
    /// the reason is worth.
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

    /// Cost of unloading a model, or none where it must stay.
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
            let unknown = if self.is_demand_known(now) { 0 } else { replicas };
            let keep = demand.map_or(0, |demand| demand.max_replicas).max(anticipated).max(unknown);
            let adapter_replicas = demand.map_or(0, |demand| demand.adapter_replicas);
            let cost = self.replica_eviction_cost(replicas, load, keep, reason);
            return cost.filter(|_| replicas > adapter_replicas);
        }
        let expected = if self.is_anticipated(record.model) { cost::ANTICIPATED } else { 0.0 };
        let (Some(demand), Some(idle)) = (demand, idle) else {
            return Some(self.unrequested_eviction_cost(rank) + expected);
        };
        let recently_loaded = record.since.is_some_and(|since| now.saturating_sub(since) < MIN_RESIDENCY_MS);
        if recently_loaded {
            return None;
        }
        let sole_replica = SoleReplica::new(demand, idle, entry.spec.load_ms);
        sole_replica.cost(reason).map(|cost| cost + expected)
    }

    /// Whether a model should have copies because of its busy predecessors in the operator's list.
    fn is_anticipated(&self, model: ModelIndex) -> bool {
        self.anticipated.get(&model).is_some_and(|replicas| *replicas > 0)
    }

    /// Whether demand has been told for long enough to judge copies by it. Before, the operator's own are kept.
    fn is_demand_known(&self, now: u64) -> bool {
        self.first_demand_at.is_some_and(|first| now >= first + DEMAND_KNOWN_AFTER_MS)
    }

    /// Models never asked for: those late in the operator's list go first.
    fn unrequested_eviction_cost(&self, rank: usize) -> f64 {
        let share = rank as f64 / self.engine.models.len().max(1) as f64;
        cost::LONG_IDLE + cost::LONG_IDLE_RANGE * (1.0 - share)
    }

    fn replica_eviction_cost(
        &self,
        replicas: usize,
        load: f64,
        keep: usize,
        reason: PlacementReason,
    ) -> Option<f64> {
        let slots = f64::from(self.engine.slots.max(1));
        let load_after = load / (replicas - 1) as f64 / slots;
        if replicas > keep {
            return Some(cost::SURPLUS + cost::LONG_IDLE * load_after);
        }
        // Filled further, the remaining copies would call for another at once, and the two would give way in turn.
        let within_target = match reason {
            PlacementReason::Missing { .. } | PlacementReason::Overloaded { .. } => {
                load_after <= self.settings.wanted_occupancy
            }
            PlacementReason::Growth | PlacementReason::Anticipated => false,
        };
        within_target.then_some(cost::USEFUL + cost::LONG_IDLE * load_after)
    }
}

/// What room for a load may cost at the most.
fn max_eviction_cost(reason: PlacementReason) -> f64 {
    match reason {
        PlacementReason::Missing { pressure } => limit::MISSING + limit::MISSING_PER_REQUEST * pressure,
        PlacementReason::Overloaded { excess } => limit::OVERLOADED + limit::OVERLOADED_PER_REQUEST * excess,
        PlacementReason::Growth | PlacementReason::Anticipated => limit::REPLICA,
    }
}

/// The only copy of a model that has been asked for.
struct SoleReplica {
    idle_ms: u64,
    /// Requests that will arrive during a reload if demand stays as it has been lately.
    missed: f64,
    /// What these are worth, as delay.
    missed_cost: f64,
}

impl SoleReplica {
    fn new(demand: &ModelDemand, idle_ms: u64, load_ms: u64) -> Self {
        let load_s = load_ms as f64 / 1_000.0;
        let urgent = demand.latency_target_ms < load_ms;
        let each = if urgent { cost::MISSED_URGENT } else { cost::MISSED_PATIENT };
        Self { idle_ms, missed: demand.slow_rate * load_s, missed_cost: demand.popularity * load_s * each }
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
        let outweighs = pressure > IN_USE_EVICTION_RATIO * self.missed + 1.0;
        outweighs.then_some(cost::IN_USE + self.missed_cost)
    }
}
