//! Selection of the worker on which a model is loaded.

use std::collections::BTreeMap;

use crate::catalogue::ModelIndex;
use crate::counters::PlacementFailure;
use crate::message::Operation;
use crate::orders::UNLOAD_MS;
use crate::planner::Planner;
use crate::policy::eviction::Victims;
use crate::worker::{Step, WorkerKey};

/// Why a model is to be loaded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum PlacementReason {
    /// Requests wait for it and no worker serves it, or its replicas have too few adapter slots.
    Missing {
        /// Number of waiting requests, increased with their waiting time.
        pressure: f64,
    },
    /// Its replicas are overloaded, or soon will be.
    Overloaded {
        /// Requests beyond what the replicas should run.
        excess: f64,
    },
    /// Demand requires another replica.
    Growth,
    /// Demand may require a replica soon.
    Anticipated,
}

/// Horizon within which upcoming store tokens count as available when a load is planned, in milliseconds: about the
/// time that an unload takes.
const STORE_LOOKAHEAD_MS: u64 = 300;
/// Tokens that loads for growth or ahead of demand leave to missing models.
const TOKENS_RESERVED_FOR_MISSING: f64 = 1.0;
/// Cost of a worker whose slots are all in use, in milliseconds of delay; proportional to the load.
const LOAD_COST_MS: f64 = 2_000.0;
/// Cost of a zone for each replica already in it, in milliseconds of delay.
const ZONE_COST_MS: f64 = 500.0;
/// Credit for a worker that probably has the model on its disk from before a restart, in milliseconds of delay.
const PROBABLE_DISK_GAIN_MS: f64 = 1_500.0;
/// Cost of a worker for each adapter in use on it, in milliseconds of delay: it accepts no adapter orders while it
/// loads a model.
const ADAPTER_COST_MS: f64 = 60.0;
/// Time since the last request within which an adapter counts as in use, in milliseconds.
const ADAPTER_IN_USE_MS: u64 = 5_000;
/// Maximum number of workers evaluated for one load. Bounds the work of an attempt regardless of the fleet's size.
const MAX_CANDIDATES: usize = 64;
/// Range of the random term that breaks ties, in milliseconds.
const TIE_BREAK_MS: f64 = 20.0;

impl Planner {
    /// Plans a load of a model on the best worker. Returns whether there was one.
    pub(crate) fn place_model(&mut self, now: u64, model: ModelIndex, reason: PlacementReason) -> bool {
        let reserved = match reason {
            PlacementReason::Overloaded { .. } => 0.0,
            PlacementReason::Missing { .. } if self.turns.is_missing_models_turn() => 0.0,
            PlacementReason::Missing { .. } => self.tokens_reserved_for_overloaded,
            PlacementReason::Growth | PlacementReason::Anticipated => {
                self.tokens_reserved_for_overloaded + TOKENS_RESERVED_FOR_MISSING
            }
        };
        let store_open = self.spare_tokens(now) >= 1.0 + reserved;
        let zones = self.replicas_by_zone(model);
        let mut best: Option<(f64, WorkerKey, Victims)> = None;
        let candidates = match self.candidate_workers(now, model, store_open) {
            Ok(candidates) => candidates,
            Err(failure) => {
                self.counters.count_failure(failure);
                return false;
            }
        };
        for key in candidates {
            self.counters.workers_considered += 1;
            let Some(victims) = self.choose_victims(now, key, model, reason) else { continue };
            let score = self.placement_cost_ms(now, key, model, &victims, &zones);
            if best.as_ref().is_none_or(|(least, _, _)| score < *least) {
                best = Some((score, key, victims));
            }
        }
        let Some((_, key, victims)) = best else {
            self.counters.count_failure(PlacementFailure::OutOfMemory);
            return false;
        };
        self.count_planned_load(key, model, reason);
        self.plan_model(now, key, model, victims);
        true
    }

    /// Workers to evaluate for a load, or why there are none. In a large fleet they are sampled at random: the best of
    /// a few dozen is nearly as good as the best of all, and the next attempt samples others.
    fn candidate_workers(
        &mut self,
        now: u64,
        model: ModelIndex,
        store_open: bool,
    ) -> Result<Vec<WorkerKey>, PlacementFailure> {
        let free: Vec<WorkerKey> =
            self.workers.keys().filter(|key| self.may_load(now, *key, model)).collect();
        if free.is_empty() {
            return Err(PlacementFailure::WorkersBusy);
        }
        let is_on_disk = |key: &WorkerKey| self.workers[*key].on_disk.contains(&model);
        let (mut candidates, mut others): (Vec<WorkerKey>, Vec<WorkerKey>) =
            free.into_iter().partition(is_on_disk);
        if !store_open {
            others.clear();
        }
        let sampled = MAX_CANDIDATES.saturating_sub(candidates.len()).min(others.len());
        if sampled < others.len() {
            let count = others.len();
            (0..sampled).for_each(|place| others.swap(place, self.random.usize(place..count)));
        }
        candidates.extend(others.into_iter().take(sampled));
        match candidates.is_empty() {
            true => Err(PlacementFailure::StoreRateExceeded),
            false => Ok(candidates),
        }
    }

    /// Counts a load about to be planned towards the turns of missing models and of replicas.
    fn count_planned_load(&mut self, key: WorkerKey, model: ModelIndex, reason: PlacementReason) {
        let has_no_replica = self.replicas_of(model).count() == 0;
        match reason {
            PlacementReason::Missing { .. } => self.counters.loads_for_missing += 1,
            PlacementReason::Overloaded { .. } | PlacementReason::Growth | PlacementReason::Anticipated => {
                self.counters.replica_loads += 1
            }
        }
        if has_no_replica && matches!(reason, PlacementReason::Missing { .. }) {
            self.turns.missing_load_planned();
        } else if !self.workers[key].on_disk.contains(&model) {
            self.turns.replica_load_planned();
        }
    }

    /// Whether the store has a token for one more load in addition to the planned ones.
    pub(crate) fn store_allows(&self, now: u64) -> bool {
        self.spare_tokens(now) >= 1.0
    }

    /// Planned loads from the store that will be sent as soon as a token is available. Loads behind an unload that
    /// waits for running requests are left out: they may be delayed for seconds, and reserving tokens for them would
    /// leave the store idle.
    pub(crate) fn pending_store_loads(&self, now: u64) -> usize {
        let needs_token = |key: &WorkerKey| {
            let worker = &self.workers[*key];
            !worker.unload_waits_for_requests(now, self.settings.report_lag_ms)
                && worker.plan.iter().any(|step| self.uses_store(*key, step))
        };
        self.active_workers.iter().filter(|key| needs_token(key)).count()
    }

    fn spare_tokens(&self, now: u64) -> f64 {
        self.store.sendable_within(now, STORE_LOOKAHEAD_MS) - self.pending_store_loads(now) as f64
    }

    fn may_load(&self, now: u64, key: WorkerKey, model: ModelIndex) -> bool {
        let worker = &self.workers[key];
        let rejected = worker.rejected.get(&model).is_some_and(|until| now < *until);
        worker.takes_model_loads() && !rejected && worker.model_record(model).is_none()
    }

    fn replicas_by_zone(&mut self, model: ModelIndex) -> BTreeMap<String, usize> {
        let replicas = self.replicas_of(model);
        let holders: Vec<WorkerKey> = replicas.serving.iter().chain(&replicas.pending).copied().collect();
        let mut zones = BTreeMap::new();
        for key in holders {
            *zones.entry(self.workers[key].zone.clone()).or_insert(0) += 1;
        }
        zones
    }

    /// Delay until the replica can serve, plus the other costs of the worker expressed as delay; in milliseconds.
    fn placement_cost_ms(
        &mut self,
        now: u64,
        key: WorkerKey,
        model: ModelIndex,
        victims: &Victims,
        zones: &BTreeMap<String, usize>,
    ) -> f64 {
        let step = Step { operation: Operation::Load, model, adapter: None };
        let mut delay = self.load_ms(key, &step) as f64;
        let worker = &self.workers[key];
        if !worker.on_disk.contains(&model) && worker.probably_on_disk.contains(&model) {
            delay -= PROBABLE_DISK_GAIN_MS;
        }
        let unload_ms = (UNLOAD_MS + self.settings.report_lag_ms) as f64;
        delay += unload_ms * victims.models.len() as f64 + victims.cost;
        delay += ADAPTER_COST_MS * self.adapters_in_use(now, key) as f64;
        delay += LOAD_COST_MS * worker.load(&self.engine);
        delay += ZONE_COST_MS * zones.get(&worker.zone).copied().unwrap_or(0) as f64;
        delay + TIE_BREAK_MS * self.random.f64()
    }

    fn adapters_in_use(&self, now: u64, key: WorkerKey) -> usize {
        let in_use = |model: ModelIndex, adapter: &str| {
            let demand = self.demand.get(&model);
            let idle = demand.and_then(|demand| demand.adapter_idle_ms(now, adapter));
            idle.is_some_and(|idle| idle <= ADAPTER_IN_USE_MS)
        };
        let model_records = &self.workers[key].model_records;
        let adapters = model_records
            .iter()
            .flat_map(|record| record.adapters.keys().map(move |adapter| (record.model, adapter.as_str())));
        adapters.filter(|(model, adapter)| in_use(*model, adapter)).count()
    }

    fn plan_model(&mut self, now: u64, key: WorkerKey, model: ModelIndex, victims: Victims) {
        let unloads = victims.models.into_iter().map(|victim| Step {
            operation: Operation::Unload,
            model: victim,
            adapter: None,
        });
        let worker = &mut self.workers[key];
        worker.plan.extend(unloads);
        worker.plan.push_back(Step { operation: Operation::Load, model, adapter: None });
        self.active_workers.insert(key);
        self.update_and_announce(key);
        self.advance(now, key);
    }
}
