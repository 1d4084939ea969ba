//! Copies ahead of demand: what is busy now is often followed by its neighbours in the operator's list.
//!
//! Demand moves along the list of models: the busiest fall silent and the next in the list rise within seconds, while
//! a load from the store takes as long. So the models that follow busy ones get a few copies while the store and the
//! workers have nothing better to do. A worker that has held a model once loads it again from its own disk, which is
//! quick and free of the store's rate, so even a copy that gives way again is not lost.

use std::collections::BTreeMap;

use crate::catalogue::ModelIndex;
use crate::planner::Planner;
use crate::policy::model_placement::PlacementReason;

/// How many places in the list demand may move on at once.
const NEIGHBOURS: usize = 3;
/// Share of a busy model's demand for which its successors are prepared.
const ANTICIPATED_SHARE: f64 = 0.4;
/// Copies prepared at the most.
const MAX_REPLICAS: usize = 4;
/// Requests running at each copy, as a share of its slots, that are assumed before any demand is known: operators begin
/// with several copies of what they expect to be busy.
const ASSUMED_OCCUPANCY: f64 = 0.15;
/// Requests running for a model, as a share of a worker's slots, below which its successors aren't prepared.
const MIN_OCCUPANCY: f64 = 0.1;
/// Requests running for some model from which demand counts as known.
const DEMAND_KNOWN_SLOTS: f64 = 2.0;
/// Copies planned in one round.
const PLANS_PER_ROUND: usize = 2;

impl Planner {
    /// Copies that models should have because of their busy predecessors in the operator's list.
    pub(crate) fn update_anticipated(&mut self, ready: usize) {
        let slots = f64::from(self.engine.slots.max(1));
        let busy = self.busy_by_rank();
        let models: Vec<(ModelIndex, usize)> = self.configured_models();
        self.anticipated.clear();
        if !self.settings.anticipation {
            return;
        }
        for (model, rank) in models {
            let before = rank.saturating_sub(NEIGHBOURS)..rank;
            let most = before.filter_map(|rank| busy.get(&rank)).copied().fold(0.0, f64::max);
            if most < MIN_OCCUPANCY * slots {
                continue;
            }
            let replicas =
                (most * ANTICIPATED_SHARE / (slots * self.settings.wanted_occupancy)).ceil() as usize;
            self.anticipated.insert(model, replicas.min(MAX_REPLICAS).min(ready));
        }
    }

    /// Plans copies that are wanted only because of their predecessors.
    pub(crate) fn place_anticipated(&mut self, now: u64) {
        let mut short: Vec<(usize, ModelIndex)> = Vec::new();
        for (model, wanted) in self.anticipated.clone() {
            let replicas = self.replicas_of(model).count();
            if replicas < wanted {
                short.push((replicas, model));
            }
        }
        short.sort_unstable();
        for (_, model) in short.into_iter().take(PLANS_PER_ROUND) {
            self.place_model(now, model, PlacementReason::Anticipated);
        }
    }

    fn configured_models(&self) -> Vec<(ModelIndex, usize)> {
        let names = self.engine.models.iter().filter_map(|spec| self.catalogue.configured(&spec.name));
        names.enumerate().map(|(rank, model)| (model, rank)).collect()
    }

    /// Requests running for each urgent model, by its rank in the list.
    fn busy_by_rank(&mut self) -> BTreeMap<usize, f64> {
        let models = self.configured_models();
        let known = self.demand.values().any(|demand| demand.slots >= DEMAND_KNOWN_SLOTS);
        let slots = f64::from(self.engine.slots.max(1));
        let mut busy = BTreeMap::new();
        for (model, rank) in models {
            let load = if known { self.urgent_slots(model) } else { self.assumed_slots(model, slots) };
            busy.insert(rank, load);
        }
        busy
    }

    fn urgent_slots(&self, model: ModelIndex) -> f64 {
        let load_ms = self.catalogue.spec(model).load_ms;
        let urgent = self.demand.get(&model).filter(|demand| demand.latency_target_ms < load_ms);
        urgent.map_or(0.0, |demand| demand.slots)
    }

    fn assumed_slots(&mut self, model: ModelIndex, slots: f64) -> f64 {
        let replicas = self.replicas_of(model).serving.len();
        if replicas < 2 {
            return 0.0;
        }
        replicas as f64 * slots * ASSUMED_OCCUPANCY
    }
}
