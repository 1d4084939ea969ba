//! Selection of the worker on which an adapter is loaded.

use crate::catalogue::ModelIndex;
use crate::message::Operation;
use crate::planner::Planner;
use crate::worker::{Phase, Step, WorkerKey};

/// Idle time before an adapter may be evicted, in milliseconds.
const ADAPTER_IDLE_MS: u64 = 1_500;
/// Idle time before an adapter may be evicted for one with a long wait, in milliseconds.
const ADAPTER_BRIEFLY_IDLE_MS: u64 = 300;
/// Waiting time that counts as a long wait, in milliseconds.
const LONG_WAIT_MS: u64 = 1_000;
/// Number of adapter steps in a worker's plan from which no more are added.
const MAX_PLANNED_STEPS: usize = 4;
/// Cost of a fully loaded worker relative to an idle one.
const LOAD_COST: f64 = 4.0;
/// Cost of unloading another adapter first.
const UNLOAD_COST: f64 = 2.0;
/// Cost of each step already planned.
const QUEUE_COST: f64 = 0.5;
/// Range of the random term that breaks ties.
const TIE_BREAK: f64 = 0.05;

/// An adapter that may be unloaded.
#[derive(Debug, Clone, PartialEq, Eq)]
struct AdapterVictim {
    model: ModelIndex,
    adapter: String,
}

impl Planner {
    /// Plans an adapter on the best worker that serves its model. Returns whether it is loaded or planned.
    /// After a long wait, adapters with a shorter idle time may be evicted for it.
    pub(crate) fn place_adapter(
        &mut self,
        now: u64,
        model: ModelIndex,
        adapter: &str,
        waited_ms: u64,
    ) -> bool {
        let serving: Vec<WorkerKey> = self.replicas_of(model).serving.iter().copied().collect();
        if serving.iter().any(|key| self.workers[*key].has_adapter(model, adapter)) {
            return true;
        }
        let idle_ms = if waited_ms >= LONG_WAIT_MS { ADAPTER_BRIEFLY_IDLE_MS } else { ADAPTER_IDLE_MS };
        self.add_adapter_replica(now, model, adapter, &serving, idle_ms)
    }

    /// Plans one more replica of an adapter if a slot is free or another adapter is idle.
    pub(crate) fn replicate_adapter(
        &mut self,
        now: u64,
        model: ModelIndex,
        adapter: &str,
        holders: &[WorkerKey],
    ) {
        self.add_adapter_replica(now, model, adapter, holders, ADAPTER_IDLE_MS);
    }

    /// Plans an adapter on the best of the given workers that does not hold it.
    fn add_adapter_replica(
        &mut self,
        now: u64,
        model: ModelIndex,
        adapter: &str,
        holders: &[WorkerKey],
        idle_ms: u64,
    ) -> bool {
        let mut best: Option<(f64, WorkerKey, Option<AdapterVictim>)> = None;
        for key in holders {
            if !self.may_load_adapter(now, *key, model) || self.workers[*key].has_adapter(model, adapter) {
                continue;
            }
            let needs_slot = self.adapter_slots_left(now, *key) == 0;
            let victim = if needs_slot { self.adapter_victim(now, *key, idle_ms) } else { None };
            if needs_slot && victim.is_none() {
                continue;
            }
            let worker = &self.workers[*key];
            let mut score = LOAD_COST * worker.load(&self.engine) + TIE_BREAK * self.random.f64();
            score += QUEUE_COST * worker.plan.len() as f64;
            score += if needs_slot { UNLOAD_COST } else { 0.0 };
            if best.as_ref().is_none_or(|(least, _, _)| score < *least) {
                best = Some((score, *key, victim));
            }
        }
        let Some((_, key, victim)) = best else { return false };
        self.plan_adapter(now, key, model, adapter, victim);
        true
    }

    fn may_load_adapter(&self, now: u64, key: WorkerKey, model: ModelIndex) -> bool {
        let worker = &self.workers[key];
        let rejected = worker.rejected.get(&model).is_some_and(|until| now < *until);
        let queue_left = worker.plan.len() < MAX_PLANNED_STEPS;
        !rejected
            && worker.is_ready()
            && worker.is_confirmed()
            && worker.has_only_adapter_steps()
            && queue_left
    }

    fn adapter_slots_left(&self, now: u64, key: WorkerKey) -> usize {
        let worker = &self.workers[key];
        let loads = |step: &&Step| step.operation == Operation::Load && step.adapter.is_some();
        let planned = worker.plan.iter().filter(loads).count();
        let used = worker.used_adapters(now) + planned;
        (self.engine.adapter_slots as usize).saturating_sub(used)
    }

    /// The least recently requested adapter on a worker, if it has been idle for at least `idle_ms`.
    fn adapter_victim(&self, now: u64, key: WorkerKey, idle_ms: u64) -> Option<AdapterVictim> {
        let worker = &self.workers[key];
        let mut oldest: Option<(u64, AdapterVictim)> = None;
        for record in &worker.model_records {
            let resident = record.adapters.iter().filter(|(_, phase)| **phase == Phase::Resident);
            for (adapter, _) in resident {
                let idle = self.adapter_idle_ms(now, record.model, adapter);
                let planned = worker.plan.iter().any(|step| step.adapter.as_ref() == Some(adapter));
                let older = oldest.as_ref().is_none_or(|(longest, _)| idle > *longest);
                if idle >= idle_ms && !planned && older {
                    oldest = Some((idle, AdapterVictim { model: record.model, adapter: adapter.clone() }));
                }
            }
        }
        oldest.map(|(_, victim)| victim)
    }

    fn adapter_idle_ms(&self, now: u64, model: ModelIndex, adapter: &str) -> u64 {
        let demand = self.demand.get(&model);
        demand.and_then(|demand| demand.adapter_idle_ms(now, adapter)).unwrap_or(u64::MAX)
    }

    fn plan_adapter(
        &mut self,
        now: u64,
        key: WorkerKey,
        model: ModelIndex,
        adapter: &str,
        victim: Option<AdapterVictim>,
    ) {
        let worker = &mut self.workers[key];
        if let Some(victim) = victim {
            let AdapterVictim { model, adapter } = victim;
            worker.plan.push_back(Step { operation: Operation::Unload, model, adapter: Some(adapter) });
        }
        let adapter = Some(adapter.to_owned());
        worker.plan.push_back(Step { operation: Operation::Load, model, adapter });
        self.active_workers.insert(key);
        self.update_and_announce(key);
        self.advance(now, key);
    }
}
