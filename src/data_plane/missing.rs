//! Requests that wait for a model or adapter, and reports of them.

use super::expected_loads::ModelKey;
use super::feedback::Feedback;
use super::policy;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use switchhill_routing::RequestProfile;

#[derive(Debug, Default)]
struct Waiting {
    requests: u32,
    aim_ms: u64,
    told_at: Option<u64>,
}

/// How many requests wait for each model.
#[derive(Debug, Clone, Default)]
pub(crate) struct MissingModels {
    waiting: Rc<RefCell<HashMap<ModelKey, Waiting>>>,
}

/// One waiting request; dropped when it goes on or gives up.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    models: MissingModels,
    key: ModelKey,
}

impl MissingModels {
    /// Counts a request; nothing to wait for if it names no model.
    pub(crate) fn begin(&self, profile: &RequestProfile) -> Option<WaitingRequest> {
        let key = model_key(profile)?;
        let mut waiting = self.waiting.borrow_mut();
        let entry = waiting.entry(key.clone()).or_default();
        entry.aim_ms = if entry.requests == 0 {
            profile.target_latency_ms
        } else {
            entry.aim_ms.min(profile.target_latency_ms)
        };
        entry.requests += 1;
        drop(waiting);
        Some(WaitingRequest { models: self.clone(), key })
    }

    /// Forgets models that nobody has waited for lately.
    pub(crate) fn forget_old(&self, now: u64) {
        let is_recent = |waiting: &Waiting| {
            waiting.told_at.is_some_and(|told| now.saturating_sub(told) < policy::MISSING_INTERVAL_MS)
        };
        self.waiting.borrow_mut().retain(|_, waiting| waiting.requests > 0 || is_recent(waiting));
    }
}

/// What a request needs to stand on its worker; none if it names no model.
pub(crate) fn model_key(profile: &RequestProfile) -> Option<ModelKey> {
    let model = profile.model.clone()?;
    Some(ModelKey { service: profile.service.clone(), model, adapter: profile.adapter.clone() })
}

impl WaitingRequest {
    /// The report of the model, if it is due.
    pub(crate) fn report(&self, now: u64) -> Option<Feedback> {
        let mut all = self.models.waiting.borrow_mut();
        let waiting = all.get_mut(&self.key)?;
        if waiting.told_at.is_some_and(|told| now.saturating_sub(told) < policy::MISSING_INTERVAL_MS) {
            return None;
        }
        waiting.told_at = Some(now);
        Some(Feedback::Missing {
            service: self.key.service.clone(),
            model: self.key.model.clone(),
            adapter: self.key.adapter.clone(),
            waiting: waiting.requests,
            aim_ms: waiting.aim_ms,
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
