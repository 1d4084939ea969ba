//! Indexes of workers by service and model, kept up to date worker by worker.

use std::collections::HashMap;

use crate::worker::{Availability, WorkerKey, WorkerView};

/// Workers of one service.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct ServiceIndex {
    /// All that are not gone, by key.
    pub members: Vec<WorkerKey>,
    /// Those that may hold a model, by key.
    holders: HashMap<String, Vec<WorkerKey>>,
}

impl ServiceIndex {
    /// Members that hold the model as told, or all if no model is asked for.
    pub fn holders(&self, model: Option<&str>) -> &[WorkerKey] {
        match model {
            Some(model) => self.holders.get(model).map_or(&[], Vec::as_slice),
            None => &self.members,
        }
    }
}

/// Indexes of all services that have workers.
///
/// A change costs by the models of the worker that changed: on a busy fleet some worker's models change many times a
/// second, and each gatekeeper hears of it.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct WorkerIndexes {
    services: HashMap<String, ServiceIndex>,
}

impl WorkerIndexes {
    /// Index of a service that has workers.
    pub fn service(&self, name: &str) -> Option<&ServiceIndex> {
        self.services.get(name)
    }

    /// Indexes of all services that have workers.
    pub fn services(&self) -> impl Iterator<Item = &ServiceIndex> {
        self.services.values()
    }

    /// Adds a worker, unless it is gone.
    pub fn add(&mut self, key: WorkerKey, view: &WorkerView) {
        if view.state == Availability::Gone {
            return;
        }
        let service = self.services.entry(view.service.clone()).or_default();
        insert(&mut service.members, key);
        for model in &view.models {
            insert(service.holders.entry(model.name.clone()).or_default(), key);
        }
    }

    /// Removes a worker that was added with this description.
    pub fn remove(&mut self, key: WorkerKey, view: &WorkerView) {
        let Some(service) = self.services.get_mut(&view.service) else { return };
        remove(&mut service.members, key);
        for model in &view.models {
            let Some(holders) = service.holders.get_mut(&model.name) else { continue };
            remove(holders, key);
            if holders.is_empty() {
                service.holders.remove(&model.name);
            }
        }
        if service.members.is_empty() {
            self.services.remove(&view.service);
        }
    }
}

/// Whether two descriptions of a worker stand at the same places of the indexes.
pub(crate) fn indexed_alike(one: &WorkerView, other: &WorkerView) -> bool {
    let is_gone = |view: &WorkerView| view.state == Availability::Gone;
    one.service == other.service && one.models == other.models && is_gone(one) == is_gone(other)
}

fn insert(sorted: &mut Vec<WorkerKey>, key: WorkerKey) {
    if let Err(place) = sorted.binary_search(&key) {
        sorted.insert(place, key);
    }
}

fn remove(sorted: &mut Vec<WorkerKey>, key: WorkerKey) {
    if let Ok(place) = sorted.binary_search(&key) {
        sorted.remove(place);
    }
}
