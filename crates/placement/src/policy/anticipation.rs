//! Predictive loading: demand often moves from a busy model to its successors in the operator's list.
//!
//! Demand moves along the list of models: the busiest become idle and the next ones in the list become busy within
//! seconds, while a load from the store takes just as long. Successors of busy models therefore get a few replicas
//! while the store and the workers have capacity to spare. A worker that has held a model before reloads it from its
//! own disk, which is fast and not subject to the store's rate limit, so a replica that is evicted again was still
//! worth loading.

use std::collections::BTreeMap;

use crate::catalogue::ModelIndex;
use crate::planner::Planner;
use crate::policy::model_placement::PlacementReason;

/// Positions in the list by which demand may move at once.
const NEIGHBOURS: usize = 3;
/// Share of a busy model's demand that its successors get replicas for.
const ANTICIPATED_SHARE: f64 = 0.4;
/// Maximum number of replicas loaded ahead of demand per model.
const MAX_REPLICAS: usize = 4;
/// Occupancy assumed for each replica before any demand is known: operators start with several replicas of the models
/// they expect to be busy.
const ASSUMED_OCCUPANCY: f64 = 0.15;
/// Share of a worker's slots that a model must occupy for its successors to get replicas.
const MIN_OCCUPANCY: f64 = 0.1;
/// Slots that some model must occupy for demand to count as known.
const DEMAND_KNOWN_SLOTS: f64 = 2.0;
/// Replicas planned per round; bounds the work of a round.
const PLANS_PER_ROUND: usize = 2;

impl Planner {
    /// Updates the number of replicas that models should have because their predecessors in the operator's list are
    /// busy.
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
            let busiest = before.filter_map(|rank| busy.get(&rank)).copied().fold(0.0, f64::max);
            if busiest < MIN_OCCUPANCY * slots {
                continue;
            }
            let replicas =
                (busiest * ANTICIPATED_SHARE / (slots * self.settings.wanted_occupancy)).ceil() as usize;
            self.anticipated.insert(model, replicas.min(MAX_REPLICAS).min(ready));
        }
    }

    /// Plans replicas that are needed only because predecessors are busy.
    pub(crate) fn place_anticipated(&mut self, now: u64) {
        let mut short: Vec<(usize, ModelIndex)> = Vec::new();
        for (model, target) in self.anticipated.clone() {
            let replicas = self.replicas_of(model).count();
            if replicas < target {
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

    /// Slots occupied by each urgent model, by its rank in the list; assumed values while demand is unknown.
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
