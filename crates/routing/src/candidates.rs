//! The workers that could execute a request, grouped by health.

use crate::choice::RequestProfile;
use crate::health::Eligibility;
use crate::indexes::ServiceIndex;
use crate::table::{WorkerState, WorkerTable};
use crate::worker::{Availability, WorkerKey};

/// Workers that hold the model and adapter of a request, grouped by health.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// Ready and neither ejected nor in backoff.
    pub eligible: Vec<WorkerKey>,
    /// Suspected by the membership service, although they responded recently.
    pub suspected: Vec<WorkerKey>,
    /// In backoff after failed connections, each with the end of its backoff.
    pub unreachable: Vec<(u64, WorkerKey)>,
    /// Ejected, but due for an early trial; empty unless all holders are ejected.
    pub early_trials: Vec<WorkerKey>,
    /// Earliest time at which a worker that is full or ejected may be chosen again.
    pub available_at: Option<u64>,
    /// Whether any ready worker holds the model and adapter, whether it may be chosen or not.
    pub any_holder: bool,
}

impl Candidates {
    /// Groups the workers of a service.
    pub fn collect(
        now: u64,
        table: &WorkerTable,
        service: &ServiceIndex,
        profile: &RequestProfile,
        excluded: &[WorkerKey],
    ) -> Self {
        let mut candidates = Candidates::default();
        let mut all_ejected = true;
        for &key in service.holders(profile.model.as_deref()) {
            let Some(worker) = table.get(key) else { continue };
            if !can_execute(now, worker, profile) {
                continue;
            }
            candidates.any_holder |= worker.view.state == Availability::Ready;
            all_ejected &= worker.health.is_ejected();
            if !excluded.contains(&key) {
                candidates.add(now, key, worker);
            }
        }
        if !all_ejected {
            candidates.early_trials.clear();
        }
        candidates
    }

    fn add(&mut self, now: u64, key: WorkerKey, worker: &WorkerState) {
        if worker.view.state == Availability::Suspected {
            if worker.health.responded_recently(now) {
                self.suspected.push(key);
            }
            return;
        }
        match worker.health.eligibility(now) {
            Eligibility::Eligible => self.eligible.push(key),
            Eligibility::Unreachable(until) => self.unreachable.push((until, key)),
            Eligibility::Full(until) => self.unavailable_until(until),
            Eligibility::Ejected(until) => {
                self.unavailable_until(until);
                if worker.health.early_trial_due(now) {
                    self.early_trials.push(key);
                }
            }
        }
    }

    fn unavailable_until(&mut self, until: u64) {
        self.available_at = Some(self.available_at.map_or(until, |at| at.min(until)));
    }
}

fn can_execute(now: u64, worker: &WorkerState, profile: &RequestProfile) -> bool {
    let in_service = matches!(worker.view.state, Availability::Ready | Availability::Suspected);
    let holds = match &profile.model {
        Some(model) => worker.holds(now, model, profile.adapter.as_deref()),
        None => true,
    };
    in_service && holds
}
