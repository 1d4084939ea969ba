//! Indexes of workers by service and model, updated incrementally.

use std::collections::HashMap;

use crate::worker::{Availability, WorkerKey, WorkerView};

/// Workers of one service.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct ServiceIndex {
    /// All workers that are not gone, sorted by key.
    pub members: Vec<WorkerKey>,
    /// Workers that list a model, sorted by key, by name of the model.
    holders: HashMap<String, Vec<WorkerKey>>,
}

impl ServiceIndex {
    /// Members that list the model, or all members if no model is required.
    pub fn holders(&self, model: Option<&str>) -> &[WorkerKey] {
        match model {
            Some(model) => self.holders.get(model).map_or(&[], Vec::as_slice),
            None => &self.members,
        }
    }
}

/// Indexes of all services that have workers.
///
/// An update costs time proportional to the models of the worker that changed, not to the fleet: on a busy fleet some
/// worker's models change many times a second, and every data plane receives each change.
#[derive(Debug, Default, PartialEq, Eq)]
pub(crate) struct WorkerIndexes {
    services: HashMap<String, ServiceIndex>,
}

impl WorkerIndexes {
    /// Index of the service, if it has workers.
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
        insert_sorted(&mut service.members, key);
        for model in &view.models {
            insert_sorted(service.holders.entry(model.name.clone()).or_default(), key);
        }
    }

    /// Removes a worker that was added with this description.
    pub fn remove(&mut self, key: WorkerKey, view: &WorkerView) {
        let Some(service) = self.services.get_mut(&view.service) else { return };
        remove_sorted(&mut service.members, key);
        for model in &view.models {
            let Some(holders) = service.holders.get_mut(&model.name) else { continue };
            remove_sorted(holders, key);
            if holders.is_empty() {
                service.holders.remove(&model.name);
            }
        }
        if service.members.is_empty() {
            self.services.remove(&view.service);
        }
    }
}

/// Whether two descriptions of a worker have the same index entries.
pub(crate) fn same_index_entries(one: &WorkerView, other: &WorkerView) -> bool {
    let is_gone = |view: &WorkerView| view.state == Availability::Gone;
    one.service == other.service && one.models == other.models && is_gone(one) == is_gone(other)
}

fn insert_sorted(sorted: &mut Vec<WorkerKey>, key: WorkerKey) {
    if let Err(index) = sorted.binary_search(&key) {
        sorted.insert(index, key);
    }
}

fn remove_sorted(sorted: &mut Vec<WorkerKey>, key: WorkerKey) {
    if let Ok(index) = sorted.binary_search(&key) {
        sorted.remove(index);
    }
}
