//! When models and adapters that requests wait for should stand, as the placer told.

#[cfg(test)]
mod tests;

use std::collections::HashMap;
use std::sync::Arc;

/// Difference from what was told before that is worth telling again, in milliseconds.
const SIGNIFICANT_CHANGE_MS: u64 = 100;

/// A model of a service, or an adapter of it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ModelKey {
    /// Name of the service.
    pub service: String,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter, if one is meant.
    pub adapter: Option<String>,
}

/// Times by [`super::now_ms`] at which what is missing should stand. What isn't planned has none.
///
/// The data plane holds one table while the next is made of a copy, for each expectation that comes, so copies share
/// their keys: with keys of its own in each, copying took a fifth of a gatekeeper's processor time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ExpectedLoads {
    ready_at: HashMap<Arc<ModelKey>, u64>,
}

impl ExpectedLoads {
    /// Whether what the placer says now differs notably from what it said before.
    pub fn differs_significantly(&self, key: &ModelKey, ready_at: Option<u64>) -> bool {
        match (self.ready_at(key), ready_at) {
            (Some(known), Some(new)) => known.abs_diff(new) > SIGNIFICANT_CHANGE_MS,
            (known, new) => known != new,
        }
    }

    /// Notes what the placer says.
    pub fn set(&mut self, key: Arc<ModelKey>, ready_at: Option<u64>) {
        match ready_at {
            Some(time) => self.ready_at.insert(key, time),
            None => self.ready_at.remove(&key),
        };
    }

    /// When a model or adapter should stand, if that is planned.
    pub fn ready_at(&self, key: &ModelKey) -> Option<u64> {
        self.ready_at.get(key).copied()
    }

    /// Whether one of the times lies before `time`.
    pub fn has_entry_before(&self, time: u64) -> bool {
        self.ready_at.values().any(|ready_at| *ready_at < time)
    }

    /// Forgets times before `time`.
    pub fn remove_before(&mut self, time: u64) {
        self.ready_at.retain(|_, ready_at| *ready_at >= time);
    }
}
