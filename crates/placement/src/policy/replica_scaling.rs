//! Copies of models and adapters in proportion to demand.

use crate::catalogue::ModelIndex;
use crate::planner::Planner;
use crate::policy::model_placement::Reason;
use crate::worker::WorkerKey;

/// Share of a worker's slots below which a copy is surplus.
const SURPLUS_OCCUPANCY: f64 = 0.15;
/// Requests a second from which a model should stand on two workers, so that the loss of one stops nothing.
const TWO_COPIES_RATE: f64 = 2.0;
/// A model asked for within this time is planned at once when its last holder is lost, in milliseconds.
const RECENT_MS: u64 = 5_000;
/// Adapters asked for within this time count as active, in milliseconds.
const ACTIVE_ADAPTER_MS: u64 = 10_000;
/// Active adapters for each slot of the holders of a model, beyond which another copy of the model is wanted. Below 1, so
/// that one asked for next finds a slot, and does not wait until another adapter is idle.
const ADAPTERS_PER_SLOT: f64 = 0.8;
/// Share of a worker's slots that requests for one adapter should occupy at most.
const ADAPTER_OCCUPANCY: f64 = 0.2;
/// Copies planned in one round; bounds the work of a round.
const PLANNED_A_ROUND: usize = 4;

impl Planner {
    /// Samples the demand of all active models and sets how many copies each should have.
    pub(crate) fn sample_demand(&mut self, now: u64) {
        self.demand.retain(|_, demand| !demand.is_forgotten(now));
        let ready = self.workers.values().filter(|worker| worker.is_ready()).count();
        let slots = f64::from(self.engine.slots.max(1));
        let adapter_slots = f64::from(self.engine.adapter_slots.max(1));
        let wanted_occupancy = self.settings.wanted_occupancy;
        self.anticipate(ready);
        for (model, demand) in &mut self.demand {
            let load_ms = self.catalogue.spec(*model).load_ms;
            demand.sample(now);
            let for_load = (demand.slots_ahead / (slots * wanted_occupancy)).ceil() as usize;
            let active = demand.adapters(now, ACTIVE_ADAPTER_MS).count() as f64;
            let for_adapters = (active / (adapter_slots * ADAPTERS_PER_SLOT)).ceil() as usize;
            let urgent = demand.latency_target_ms < load_ms;
            let for_loss = if urgent && demand.slow_rate >= TWO_COPIES_RATE { 2 } else { 0 };
            demand.for_adapters = for_adapters;
            demand.target = for_load.max(for_adapters).max(for_loss).min(ready);
            let kept = (demand.held_slots / (slots * SURPLUS_OCCUPANCY)).ceil() as usize;
            demand.keep = kept.max(demand.target);
        }
    }

    /// Plans copies for models that have fewer than they should, those with the most load per copy first.
    pub(crate) fn grow(&mut self, now: u64) {
        let models: Vec<ModelIndex> = self.demand.keys().copied().collect();
        let mut short: Vec<(f64, ModelIndex, Reason)> = Vec::new();
        for model in models {
            if let Some((pressure, reason)) = self.shortage(now, model) {
                short.push((pressure, model, reason));
            }
        }
        short.sort_by(|left, right| right.0.total_cmp(&left.0));
        for (_, model, reason) in short.into_iter().take(PLANNED_A_ROUND) {
            self.place_model(now, model, reason);
        }
        self.grow_adapters(now);
    }

    /// Plans copies for crowded models, those with the most load a copy first, as far as the store and room allow.
    pub(crate) fn relieve_crowded(&mut self, now: u64) {
        let slots = f64::from(self.engine.slots.max(1));
        let models: Vec<ModelIndex> = self.demand.keys().copied().collect();
        let mut crowded: Vec<(f64, ModelIndex, f64)> = Vec::new();
        for model in models {
            let copies = self.copies_of(model).count() as f64;
            let ahead = self.demand[&model].slots_ahead;
            let excess = ahead - copies * slots * self.settings.crowded_occupancy;
            if copies > 0.0 && excess > 0.0 {
                crowded.push((ahead / copies, model, excess));
            }
        }
        crowded.sort_by(|left, right| right.0.total_cmp(&left.0));
        let mut unserved = false;
        for (_, model, excess) in crowded.into_iter().take(PLANNED_A_ROUND) {
            unserved |= !self.place_model(now, model, Reason::Crowded { excess });
        }
        self.tokens_kept_for_crowded = if unserved { 1.0 } else { 0.0 };
    }

    /// How badly a model lacks copies, and why, or none if it has enough.
    fn shortage(&mut self, now: u64, model: ModelIndex) -> Option<(f64, Reason)> {
        self.catalogue.entry(model).rank?;
        let copies = self.copies_of(model).count();
        let demand = &self.demand[&model];
        let recent = demand.idle_ms(now).is_some_and(|idle| idle <= RECENT_MS);
        if copies == 0 && recent {
            let pressure = demand.slow_rate.max(1.0);
            return Some((f64::MAX, Reason::Missing { pressure }));
        }
        let short = copies > 0 && copies < demand.target;
        short.then(|| (demand.slots_ahead / copies as f64, Reason::Growth))
    }

    /// Whether the holders of a model have too few adapter slots for the adapters in use.
    pub(crate) fn lacks_adapter_slots(&mut self, now: u64, model: ModelIndex) -> bool {
        let slots = self.copies_of(model).count() * self.engine.adapter_slots as usize;
        let Some(demand) = self.demand.get(&model) else { return false };
        demand.adapters(now, ACTIVE_ADAPTER_MS).count() > slots
    }

    /// Spreads adapters whose requests fill their holders.
    fn grow_adapters(&mut self, now: u64) {
        let crowded = f64::from(self.engine.slots.max(1)) * ADAPTER_OCCUPANCY;
        let mut busy: Vec<(ModelIndex, String, f64)> = Vec::new();
        for (model, demand) in &self.demand {
            let adapters = demand.adapters(now, RECENT_MS).filter(|(_, slots)| *slots > crowded);
            busy.extend(adapters.map(|(name, slots)| (*model, name.to_owned(), slots)));
        }
        for (model, adapter, slots) in busy {
            let standing: Vec<WorkerKey> = self.copies_of(model).standing.iter().copied().collect();
            let holds = |key: &&WorkerKey| self.workers[**key].has_adapter(model, &adapter);
            let copies = standing.iter().filter(holds).count();
            if copies > 0 && slots / copies as f64 > crowded {
                self.spread_adapter(now, model, &adapter, &standing);
            }
        }
    }
}
