//! Requests that wait for a model or adapter, and reports of them.

use super::feedback::Feedback;
use super::policy;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use switchhill_routing::RequestProfile;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ResidentKey {
    service: String,
    model: String,
    adapter: Option<String>,
}

#[derive(Debug, Default)]
struct Waiting {
    requests: u32,
    aim_ms: u64,
    told_at: Option<u64>,
}

/// How many requests wait for each model.
#[derive(Debug, Clone, Default)]
pub(crate) struct MissingModels {
    waiting: Rc<RefCell<HashMap<ResidentKey, Waiting>>>,
}

/// One waiting request; dropped when it goes on or gives up.
#[derive(Debug)]
pub(crate) struct WaitingRequest {
    models: MissingModels,
    key: ResidentKey,
}

impl MissingModels {
    /// Counts a request; nothing to wait for if it names no model.
    pub(crate) fn begin(&self, profile: &RequestProfile) -> Option<WaitingRequest> {
        let model = profile.model.clone()?;
        let key = ResidentKey { service: profile.service.clone(), model, adapter: profile.adapter.clone() };
        let mut waiting = self.waiting.borrow_mut();
        let entry = waiting.entry(key.clone()).or_default();
        entry.aim_ms = if entry.requests == 0 { profile.aim_ms } else { entry.aim_ms.min(profile.aim_ms) };
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
