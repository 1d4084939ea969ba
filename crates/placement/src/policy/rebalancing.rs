//! Additional replicas of models on the most loaded worker.

use crate::catalogue::ModelIndex;
use crate::planner::Planner;
use crate::policy::model_placement::PlacementReason;
use crate::worker::WorkerKey;

/// Load above which a worker is relieved, as a share of its slots or KV memory.
const HIGH_LOAD: f64 = 0.5;
/// Ratio to the mean load above which a worker is relieved.
const IMBALANCE: f64 = 1.5;
/// Time after the load of a new replica before the worker is relieved again, in milliseconds.
const SETTLE_MS: u64 = 3_000;

impl Planner {
    /// Plans one more replica of the busiest model on the most loaded worker, if its load is far above the mean.
    pub(crate) fn relieve_most_overloaded(&mut self, now: u64) {
        let Some(key) = self.most_overloaded_worker(now) else { return };
        let Some(model) = self.busiest_model(key) else { return };
        if self.place_model(now, model, PlacementReason::Growth) {
            let load_ms = self.catalogue.spec(model).load_ms;
            self.workers[key].relieved_until = now + load_ms + SETTLE_MS;
        }
    }

    fn most_overloaded_worker(&self, now: u64) -> Option<WorkerKey> {
        let ready = || self.workers.iter().filter(|(_, worker)| worker.is_ready());
        let total: f64 = ready().map(|(_, worker)| worker.load(&self.engine)).sum();
        let mean = total / ready().count().max(1) as f64;
        let due = ready().filter(|(_, worker)| now >= worker.relieved_until);
        let (key, load) = due
            .map(|(key, worker)| (key, worker.load(&self.engine)))
            .max_by(|left, right| left.1.total_cmp(&right.1))?;
        (load > HIGH_LOAD && load > IMBALANCE * mean).then_some(key)
    }

    /// The model on a worker with the highest load per replica, among those without a pending replica.
    fn busiest_model(&self, key: WorkerKey) -> Option<ModelIndex> {
        let worker = &self.workers[key];
        let load_per_replica = |model: ModelIndex| {
            let replicas = self.replicas[model.get()].count().max(1) as f64;
            self.demand.get(&model).map_or(0.0, |demand| demand.slots / replicas)
        };
        let settled = worker
            .model_records
            .iter()
            .map(|record| record.model)
            .filter(|model| worker.serves(*model) && self.replicas[model.get()].pending.is_empty());
        settled
            .map(|model| (load_per_replica(model), model))
            .filter(|(load, _)| *load > 0.0)
            .max_by(|left, right| left.0.total_cmp(&right.0))
            .map(|(_, model)| model)
    }
}
