//! Replicas of models and adapters in proportion to demand.

use crate::catalogue::ModelIndex;
use crate::planner::Planner;
use crate::policy::model_placement::PlacementReason;
use crate::worker::WorkerKey;

/// Occupancy per replica below which replicas count as surplus, as a share of a worker's slots.
const SURPLUS_OCCUPANCY: f64 = 0.15;
/// Requests per second from which an urgent model gets a second replica, so that it survives the loss of one worker.
const REDUNDANCY_RATE: f64 = 2.0;
/// A model requested within this time is reloaded at once when its last replica is lost, in milliseconds.
const RECENT_MS: u64 = 5_000;
/// Time since the last request within which an adapter counts as active, in milliseconds.
const ACTIVE_ADAPTER_MS: u64 = 10_000;
/// Active adapters per adapter slot above which a model gets another replica. Below 1, so that the next adapter
/// requested finds a free slot instead of waiting until another adapter is idle.
const ADAPTERS_PER_SLOT: f64 = 0.8;
/// Maximum share of a worker's slots that requests for one adapter should occupy.
const ADAPTER_OCCUPANCY: f64 = 0.2;
/// Replicas planned per round; bounds the work of a round.
const PLANS_PER_ROUND: usize = 4;

impl Planner {
    /// Samples the demand of all active models and updates how many replicas each should have.
    pub(crate) fn sample_demand(&mut self, now: u64) {
        self.demand.retain(|_, demand| !demand.is_expired(now));
        let ready = self.workers.values().filter(|worker| worker.is_ready()).count();
        let slots = f64::from(self.engine.slots.max(1));
        let adapter_slots = f64::from(self.engine.adapter_slots.max(1));
        let wanted_occupancy = self.settings.wanted_occupancy;
        self.update_anticipated(ready);
        for (model, demand) in &mut self.demand {
            let load_ms = self.catalogue.spec(*model).load_ms;
            demand.sample(now);
            let load_replicas = (demand.forecast_slots / (slots * wanted_occupancy)).ceil() as usize;
            let active = demand.adapters(now, ACTIVE_ADAPTER_MS).count() as f64;
            let adapter_replicas = (active / (adapter_slots * ADAPTERS_PER_SLOT)).ceil() as usize;
            let urgent = demand.latency_target_ms < load_ms;
            let redundant_replicas = if urgent && demand.slow_rate >= REDUNDANCY_RATE { 2 } else { 0 };
            demand.adapter_replicas = adapter_replicas;
            demand.target_replicas = load_replicas.max(adapter_replicas).max(redundant_replicas).min(ready);
            let without_surplus = (demand.peak_slots / (slots * SURPLUS_OCCUPANCY)).ceil() as usize;
            demand.max_replicas = without_surplus.max(demand.target_replicas);
        }
    }

    /// Plans replicas of models that are below their target, those with the highest load per replica first.
    pub(crate) fn add_replicas(&mut self, now: u64) {
        let models: Vec<ModelIndex> = self.demand.keys().copied().collect();
        let mut short: Vec<(f64, ModelIndex, PlacementReason)> = Vec::new();
        for model in models {
            if let Some((pressure, reason)) = self.replica_shortage(now, model) {
                short.push((pressure, model, reason));
            }
        }
        short.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (_, model, reason) in short.into_iter().take(PLANS_PER_ROUND) {
            self.place_model(now, model, reason);
        }
        self.add_adapter_replicas(now);
    }

    /// Plans replicas of overloaded models, those with the highest load per replica first, as far as store tokens and
    /// memory allow.
    pub(crate) fn add_replicas_of_overloaded(&mut self, now: u64) {
        let slots = f64::from(self.engine.slots.max(1));
        let models: Vec<ModelIndex> = self.demand.keys().copied().collect();
        let mut overloaded: Vec<(f64, ModelIndex, f64)> = Vec::new();
        for model in models {
            let replicas = self.replicas_of(model).count() as f64;
            let forecast = self.demand[&model].forecast_slots;
            let excess = forecast - replicas * slots * self.settings.crowded_occupancy;
            if replicas > 0.0 && excess > 0.0 {
                overloaded.push((forecast / replicas, model, excess));
            }
        }
        overloaded.sort_by(|left, right| right.0.total_cmp(&left.0));
        let mut is_any_unplanned = false;
        for (_, model, excess) in overloaded.into_iter().take(PLANS_PER_ROUND) {
            is_any_unplanned |= !self.place_model(now, model, PlacementReason::Overloaded { excess });
        }
        self.tokens_reserved_for_overloaded = if is_any_unplanned { 1.0 } else { 0.0 };
    }

    /// Priority and reason of another replica of a model, or `None` if it has enough.
    fn replica_shortage(&mut self, now: u64, model: ModelIndex) -> Option<(f64, PlacementReason)> {
        self.catalogue.entry(model).rank?;
        let replicas = self.replicas_of(model).count();
        let demand = &self.demand[&model];
        let recent = demand.idle_ms(now).is_some_and(|idle| idle <= RECENT_MS);
        if replicas == 0 && recent {
            let pressure = demand.slow_rate.max(1.0);
            return Some((f64::MAX, PlacementReason::Missing { pressure }));
        }
        let short = replicas > 0 && replicas < demand.target_replicas;
        short.then(|| (demand.forecast_slots / replicas as f64, PlacementReason::Growth))
    }

    /// Whether the replicas of a model have too few adapter slots for the active adapters.
    pub(crate) fn lacks_adapter_slots(&mut self, now: u64, model: ModelIndex) -> bool {
        let slots = self.replicas_of(model).count() * self.engine.adapter_slots as usize;
        let Some(demand) = self.demand.get(&model) else { return false };
        demand.adapters(now, ACTIVE_ADAPTER_MS).count() > slots
    }

    /// Adds replicas of adapters whose requests occupy too much of the workers that hold them.
    fn add_adapter_replicas(&mut self, now: u64) {
        let max_slots = f64::from(self.engine.slots.max(1)) * ADAPTER_OCCUPANCY;
        let mut busy: Vec<(ModelIndex, String, f64)> = Vec::new();
        for (model, demand) in &self.demand {
            let adapters = demand.adapters(now, RECENT_MS).filter(|(_, slots)| *slots > max_slots);
            busy.extend(adapters.map(|(name, slots)| (*model, name.to_owned(), slots)));
        }
        for (model, adapter, slots) in busy {
            let serving: Vec<WorkerKey> = self.replicas_of(model).serving.iter().copied().collect();
            let holds = |key: &&WorkerKey| self.workers[**key].has_adapter(model, &adapter);
            let replicas = serving.iter().filter(holds).count();
            if replicas > 0 && slots / replicas as f64 > max_slots {
                self.replicate_adapter(now, model, &adapter, &serving);
            }
        }
    }
}
