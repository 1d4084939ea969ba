//! Requests that wait for a model or adapter, and the reports about them.

use super::expected_loads::ModelKey;
use super::feedback::Feedback;
use super::policy;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use switchhill_routing::RequestProfile;

#[derive(Debug, Default)]
struct WaitingRequests {
    requests: u32,
    target_latency_ms: u64,
    reported_at: Option<u64>,
}

/// Number of requests that wait for each model.
#[derive(Debug, Clone, Default)]
pub(crate) struct MissingModels {
    waiting: Rc<RefCell<HashMap<ModelKey, WaitingRequests>>>,
}

/// A waiting request. It is counted until it is dropped.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    models: MissingModels,
    key: ModelKey,
}

impl MissingModels {
    /// Registers a waiting request. Returns `None` if the request names no model.
    pub(crate) fn register(&self, profile: &RequestProfile) -> Option<WaitingRequest> {
        let key = model_key(profile)?;
        let mut waiting = self.waiting.borrow_mut();
        let entry = waiting.entry(key.clone()).or_default();
        entry.target_latency_ms = if entry.requests == 0 {
            profile.target_latency_ms
        } else {
            entry.target_latency_ms.min(profile.target_latency_ms)
        };
        entry.requests += 1;
        drop(waiting);
        Some(WaitingRequest { models: self.clone(), key })
    }

    /// Removes models without waiting requests whose last report is old enough not to delay the next one.
    pub(crate) fn remove_stale(&self, now: u64) {
        let is_recent = |waiting: &WaitingRequests| {
            waiting.reported_at.is_some_and(|at| now.saturating_sub(at) < policy::MISSING_REPORT_INTERVAL_MS)
        };
        self.waiting.borrow_mut().retain(|_, waiting| waiting.requests > 0 || is_recent(waiting));
    }
}

/// Model or adapter that a request needs; `None` if it names no model.
pub(crate) fn model_key(profile: &RequestProfile) -> Option<ModelKey> {
    let model = profile.model.clone()?;
    Some(ModelKey { service: profile.service.clone(), model, adapter: profile.adapter.clone() })
}

impl WaitingRequest {
    /// Report for the model, at most one per interval.
    pub(crate) fn take_report(&self, now: u64) -> Option<Feedback> {
        let mut all = self.models.waiting.borrow_mut();
        let waiting = all.get_mut(&self.key)?;
        if waiting.reported_at.is_some_and(|at| now.saturating_sub(at) < policy::MISSING_REPORT_INTERVAL_MS) {
            return None;
        }
        waiting.reported_at = Some(now);
        Some(Feedback::Missing {
            service: self.key.service.clone(),
            model: self.key.model.clone(),
            adapter: self.key.adapter.clone(),
            waiting: waiting.requests,
            target_latency_ms: waiting.target_latency_ms,
        })
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        if let Some(waiting) = self.models.waiting.borrow_mut().get_mut(&self.key) {
            waiting.requests -= 1;
        }
    }
}
