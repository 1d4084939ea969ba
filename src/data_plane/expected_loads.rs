//! Expected ready times of models and adapters that requests wait for, as announced by the placer.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::Arc;

/// Change of an expected ready time, in milliseconds, that is passed on to the data plane.
const SIGNIFICANT_CHANGE_MS: u64 = 100;

/// A model of a service, or an adapter of the model.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelKey {
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if the key denotes one.
    pub adapter: Option<String>,
}

/// Expected ready times of missing models and adapters, in milliseconds of [`super::now_ms`]. A model whose
/// load is not planned has no entry.
///
/// The data plane holds one table while the next is built from a copy of it, once for each announcement.
/// Copies share their keys; with separate keys, copying took a fifth of a gatekeeper's processor time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ExpectedLoads {
    ready_at: HashMap<Arc<ModelKey>, u64>,
}

impl ExpectedLoads {
    /// Whether the announced ready time differs significantly from the known one.
    pub fn differs_significantly(&self, key: &ModelKey, ready_at: Option<u64>) -> bool {
        match (self.ready_at(key), ready_at) {
            (Some(known), Some(new)) => known.abs_diff(new) > SIGNIFICANT_CHANGE_MS,
            (known, new) => known != new,
        }
    }

    /// Sets the ready time of a model or adapter, or removes its entry.
    pub fn set(&mut self, key: Arc<ModelKey>, ready_at: Option<u64>) {
        match ready_at {
            Some(time) => self.ready_at.insert(key, time),
            None => self.ready_at.remove(&key),
        };
    }

    /// Expected ready time of a model or adapter, if its load is planned.
    pub fn ready_at(&self, key: &ModelKey) -> Option<u64> {
        self.ready_at.get(key).copied()
    }

    /// Whether some entry is earlier than `time`.
    pub fn has_entry_before(&self, time: u64) -> bool {
        self.ready_at.values().any(|ready_at| *ready_at < time)
    }

    /// Removes the entries earlier than `time`.
    pub fn remove_before(&mut self, time: u64) {
        self.ready_at.retain(|_, ready_at| *ready_at >= time);
    }
}
