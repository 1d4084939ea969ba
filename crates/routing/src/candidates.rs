//! Which workers could run a request, and what speaks against each.

use crate::choice::RequestProfile;
use crate::health::Standing;
use crate::indexes::ServiceIndex;
use crate::table::{WorkerState, WorkerTable};
use crate::worker::{Availability, WorkerKey};

/// Workers that hold what a request needs, by what speaks for and against them.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// Ready, and nothing speaks against them.
    pub good: Vec<WorkerKey>,
    /// Suspected by the membership service, yet they answered lately.
    pub suspected: Vec<WorkerKey>,
    /// Their connections failed; with the time until which others are preferred.
    pub unreachable: Vec<(u64, WorkerKey)>,
    /// Ejected, but due for a trial; empty unless all ready holders are ejected.
    pub last_resort: Vec<WorkerKey>,
    /// Earliest time at which one of those left out may be asked again.
    pub back_at: Option<u64>,
    /// Whether any ready worker holds what is needed, left out or not.
    pub any_holder: bool,
}

impl Candidates {
    /// Sorts the workers of a service.
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
            if !can_run(now, worker, profile) {
                continue;
            }
            candidates.any_holder |= worker.view.state == Availability::Ready;
            all_ejected &= worker.health.is_ejected();
            if !excluded.contains(&key) {
                candidates.add(now, key, worker);
            }
        }
        if !all_ejected {
            candidates.last_resort.clear();
        }
        candidates
    }

    fn add(&mut self, now: u64, key: WorkerKey, worker: &WorkerState) {
        if worker.view.state == Availability::Suspected {
            if worker.health.has_good_evidence(now) {
                self.suspected.push(key);
            }
            return;
        }
        match worker.health.standing(now) {
            Standing::Good => self.good.push(key),
            Standing::Unreachable(until) => self.unreachable.push((until, key)),
            Standing::Full(until) => self.leave_out(until),
            Standing::Ejected(until) => {
                self.leave_out(until);
                if worker.health.early_trial_due(now) {
                    self.last_resort.push(key);
                }
            }
        }
    }

    fn leave_out(&mut self, until: u64) {
        self.back_at = Some(self.back_at.map_or(until, |at| at.min(until)));
    }
}

fn can_run(now: u64, worker: &WorkerState, profile: &RequestProfile) -> bool {
    let in_service = matches!(worker.view.state, Availability::Ready | Availability::Suspected);
    let holds = match &profile.model {
        Some(model) => worker.holds(now, model, profile.adapter.as_deref()),
        None => true,
    };
    in_service && holds
}
