//! Which worker gets a model.

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
pub(crate) enum Reason {
    /// Requests wait for it and no worker holds it.
    Missing {
        /// How many wait, more for each second since the first came.
        pressure: f64,
    },
    /// Its copies are crowded, or soon will be.
    Crowded {
        /// Requests beyond what the copies should run.
        excess: f64,
    },
    /// Demand calls for another copy.
    Growth,
    /// Demand may call for a copy soon.
    Anticipated,
}

/// How far ahead the store's tokens are counted when a load is planned: about the time an unload takes, in
/// milliseconds.
const STORE_LOOKAHEAD_MS: u64 = 300;
/// Tokens that copies for growth or ahead of demand leave for models that are missing.
const TOKENS_KEPT_FOR_MISSING: f64 = 1.0;
/// Cost of a busy worker, in milliseconds of delay for one whose slots are all in use.
const LOAD_COST_MS: f64 = 2_000.0;
/// Cost of a zone for each copy that stands there already, in milliseconds of delay.
const ZONE_COST_MS: f64 = 500.0;
/// Advantage of a worker that probably held the model before its restart, in milliseconds.
const HELD_BEFORE_GAIN_MS: f64 = 1_500.0;
/// Cost of a worker for each adapter in use on it, in milliseconds of delay: it takes no order about adapters while it
/// loads a model.
const ADAPTER_COST_MS: f64 = 60.0;
/// An adapter asked for within this time is in use, in milliseconds.
const ADAPTER_IN_USE_MS: u64 = 5_000;
/// Workers on which room for one load is looked for. Bounds the work of a try in a fleet of any size.
const MOST_CONSIDERED: usize = 64;
/// Range of the random part that settles ties, in milliseconds.
const TIE_MS: f64 = 20.0;

impl Planner {
    /// Plans a load of a model on the best worker. Returns whether there was one.
    pub(crate) fn place_model(&mut self, now: u64, model: ModelIndex, reason: Reason) -> bool {
        let kept = match reason {
            Reason::Crowded { .. } => 0.0,
            Reason::Missing { .. } if self.turns.is_for_missing() => 0.0,
            Reason::Missing { .. } => self.tokens_kept_for_crowded,
            Reason::Growth | Reason::Anticipated => self.tokens_kept_for_crowded + TOKENS_KEPT_FOR_MISSING,
        };
        let store_open = self.spare_tokens(now) >= 1.0 + kept;
        let zones = self.copies_by_zone(model);
        let mut best: Option<(f64, WorkerKey, Victims)> = None;
        let candidates = match self.candidates(now, model, store_open) {
            Ok(candidates) => candidates,
            Err(failure) => {
                self.counters.count_failure(failure);
                return false;
            }
        };
        for key in candidates {
            self.counters.workers_considered += 1;
            let Some(victims) = self.choose_victims(now, key, model, reason) else { continue };
            let score = self.delay_score(now, key, model, &victims, &zones);
            if best.as_ref().is_none_or(|(least, _, _)| score < *least) {
                best = Some((score, key, victims));
            }
        }
        let Some((_, key, victims)) = best else {
            self.counters.count_failure(PlacementFailure::NoMemory);
            return false;
        };
        self.note_turn(key, model, reason);
        self.plan_model(now, key, model, victims);
        true
    }

    /// Workers on which room for a load is looked for, or what all of them lack. In a large fleet they are drawn by chance:
    /// the best of some dozens is nearly as good as the best of all, and another try draws others.
    fn candidates(
        &mut self,
        now: u64,
        model: ModelIndex,
        store_open: bool,
    ) -> Result<Vec<WorkerKey>, PlacementFailure> {
        let free: Vec<WorkerKey> =
            self.workers.keys().filter(|key| self.may_load(now, *key, model)).collect();
        if free.is_empty() {
            return Err(PlacementFailure::NoFreeWorker);
        }
        let has_held = |key: &WorkerKey| self.workers[*key].held.contains(&model);
        let (mut candidates, mut others): (Vec<WorkerKey>, Vec<WorkerKey>) =
            free.into_iter().partition(has_held);
        if !store_open {
            others.clear();
        }
        let drawn = MOST_CONSIDERED.saturating_sub(candidates.len()).min(others.len());
        if drawn < others.len() {
            let count = others.len();
            (0..drawn).for_each(|place| others.swap(place, self.random.usize(place..count)));
        }
        candidates.extend(others.into_iter().take(drawn));
        match candidates.is_empty() {
            true => Err(PlacementFailure::NoStoreToken),
            false => Ok(candidates),
        }
    }

    /// Counts a load about to be planned as the turn of a missing model or as one of a copy.
    fn note_turn(&mut self, key: WorkerKey, model: ModelIndex, reason: Reason) {
        let stands_nowhere = self.copies_of(model).count() == 0;
        match reason {
            Reason::Missing { .. } => self.counters.loads_for_missing += 1,
            Reason::Crowded { .. } | Reason::Growth | Reason::Anticipated => self.counters.replica_loads += 1,
        }
        if stands_nowhere && matches!(reason, Reason::Missing { .. }) {
            self.turns.missing_planned();
        } else if !self.workers[key].held.contains(&model) {
            self.turns.copy_planned();
        }
    }

    /// Whether the store has a token for one more load, beside those planned.
    pub(crate) fn store_allows(&self, now: u64) -> bool {
        self.spare_tokens(now) >= 1.0
    }

    /// Loads from the store that are planned and not sent, and will be sent as soon as their tokens come. Those behind
    /// an unload that waits for running requests are left out: they may wait for seconds, and the store for nobody.
    pub(crate) fn unsent_store_loads(&self, now: u64) -> usize {
        let draws = |key: &WorkerKey| {
            let worker = &self.workers[*key];
            !worker.waits_for_runs(now, self.settings.report_lag_ms)
                && worker.plan.iter().any(|step| self.draws_on_store(*key, step))
        };
        self.attention.iter().filter(|key| draws(key)).count()
    }

    fn spare_tokens(&self, now: u64) -> f64 {
        self.store.sendable_within(now, STORE_LOOKAHEAD_MS) - self.unsent_store_loads(now) as f64
    }

    fn may_load(&self, now: u64, key: WorkerKey, model: ModelIndex) -> bool {
        let worker = &self.workers[key];
        let rejected = worker.rejected.get(&model).is_some_and(|until| now < *until);
        worker.takes_model_loads() && !rejected && worker.holding(model).is_none()
    }

    fn copies_by_zone(&mut self, model: ModelIndex) -> BTreeMap<String, usize> {
        let copies = self.copies_of(model);
        let holders: Vec<WorkerKey> = copies.standing.iter().chain(&copies.coming).copied().collect();
        let mut zones = BTreeMap::new();
        for key in holders {
            *zones.entry(self.workers[key].zone.clone()).or_insert(0) += 1;
        }
        zones
    }

    /// Delay until the copy is of use, with the other drawbacks of a worker expressed as delay; in milliseconds.
    fn delay_score(
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
        if !worker.held.contains(&model) && worker.held_before.contains(&model) {
            delay -= HELD_BEFORE_GAIN_MS;
        }
        let unload_ms = (UNLOAD_MS + self.settings.report_lag_ms) as f64;
        delay += unload_ms * victims.models.len() as f64 + victims.cost;
        delay += ADAPTER_COST_MS * self.adapters_in_use(now, key) as f64;
        delay += LOAD_COST_MS * worker.load(&self.engine);
        delay += ZONE_COST_MS * zones.get(&worker.zone).copied().unwrap_or(0) as f64;
        delay + TIE_MS * self.random.f64()
    }

    fn adapters_in_use(&self, now: u64, key: WorkerKey) -> usize {
        let in_use = |model: ModelIndex, adapter: &str| {
            let demand = self.demand.get(&model);
            let idle = demand.and_then(|demand| demand.adapter_idle_ms(now, adapter));
            idle.is_some_and(|idle| idle <= ADAPTER_IN_USE_MS)
        };
        let holdings = &self.workers[key].holdings;
        let adapters = holdings.iter().flat_map(|holding| {
            holding.adapters.keys().map(move |adapter| (holding.model, adapter.as_str()))
        });
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
        self.attention.insert(key);
        self.refresh(key);
        self.advance(now, key);
    }
}
