//! The router's descriptions of the workers, kept up to date worker by worker.

use std::collections::BTreeMap;
use std::sync::Arc;
use switchhill_distribution::MergedState;
use switchhill_registration::{Worker, WorkerState};
use switchhill_routing::{Availability, ResidentModel, WorkerView};

/// Descriptions of all workers of a state. One stays the same object until what it says changes.
#[derive(Debug, Default)]
pub struct WorkerViews {
    views: BTreeMap<String, Arc<WorkerView>>,
    /// The same as a list, unless it is stale.
    list: Arc<[Arc<WorkerView>]>,
    stale: bool,
}

impl WorkerViews {
    /// Brings the description of one worker up to date.
    pub fn update(&mut self, id: &str, state: &MergedState) {
        let Some(worker) = state.workers().get(id) else {
            self.stale |= self.views.remove(id).is_some();
            return;
        };
        let view = worker_view(worker, state);
        if self.views.get(id).is_none_or(|held| **held != view) {
            self.views.insert(id.to_owned(), Arc::new(view));
            self.stale = true;
        }
    }

    /// Drops the workers that the state has forgotten.
    pub fn forget(&mut self, state: &MergedState) {
        let before = self.views.len();
        self.views.retain(|id, _| state.workers().get(id).is_some());
        self.stale |= self.views.len() < before;
    }

    /// All descriptions by id; the same object as before where nothing changed.
    pub fn list(&mut self) -> Arc<[Arc<WorkerView>]> {
        if std::mem::take(&mut self.stale) {
            self.list = self.views.values().cloned().collect();
        }
        self.list.clone()
    }
}

/// What the router is told about a worker; load is told apart from it.
pub fn worker_view(worker: &Worker, state: &MergedState) -> WorkerView {
    let availability = match worker.state {
        WorkerState::Gone => Availability::Gone,
        WorkerState::Draining { .. } => Availability::Draining,
        WorkerState::Ready if worker.suspected => Availability::Suspected,
        WorkerState::Ready => Availability::Ready,
    };
    WorkerView {
        id: worker.id.clone(),
        service: worker.service.clone(),
        address: worker.address.clone(),
        zone: worker.zone.clone(),
        slots: worker.slots,
        state: availability,
        cold_remaining_ms: worker.cold_remaining_ms,
        models: models(worker, state),
        peer_load: 0,
        peer_load_at: 0,
    }
}

/// What a worker holds: as its placer knows, else as it said itself.
fn models(worker: &Worker, state: &MergedState) -> Vec<ResidentModel> {
    if let Some(residency) = state.residency().get(&worker.id) {
        let model = |model: &switchhill_protocol::ResidentModel| ResidentModel {
            name: model.name.clone(),
            adapters: model.adapters.clone(),
        };
        return residency.models.iter().map(model).collect();
    }
    let model = |model: &switchhill_registration::ResidentModel| ResidentModel {
        name: model.name.clone(),
        adapters: model.adapters.clone(),
    };
    worker.models.iter().map(model).collect()
}
