//! Waiting for a worker that can run a request.

use super::exchange::Exchange;
use super::policy;
use super::replies::LocalReply;
use std::time::Duration;
use switchhill_routing::{Choice, WorkerKey};
use tokio::time::Instant;

impl Exchange {
    /// Chooses a worker. While none holds the request's model, or none of the service is known, the request
    /// is held as long as it can still be answered in time, and then given up.
    pub(crate) async fn next_worker(&mut self) -> Result<WorkerKey, LocalReply> {
        let mut waiting = None;
        loop {
            if self.time_left().is_zero() {
                return Err(self.time_over());
            }
            let (hold_until, retry_after_ms) = match self.choose() {
                Choice::Send(worker) => return Ok(worker),
                Choice::Busy { retry_after_ms } => return Err(self.give_up(retry_after_ms)),
                Choice::Missing => (self.model_hold_end(), self.load_time_ms()),
                Choice::NoWorker => (self.worker_hold_end(), policy::RETRY_AFTER_NO_WORKER_MS),
            };
            if Instant::now() >= hold_until {
                return Err(self.give_up(retry_after_ms));
            }
            if waiting.is_none() {
                waiting = Some(self.shared.missing.begin(&self.profile));
            }
            if let Some(report) =
                waiting.iter().flatten().next().and_then(|wait| wait.report(self.shared.now()))
            {
                self.shared.tell(report);
            }
            self.wait_for_view(hold_until).await;
        }
    }

    /// Asks the router.
    pub(crate) fn choose(&self) -> Choice {
        let mut router = self.shared.router.borrow_mut();
        router.choose(self.shared.now(), &self.profile, &self.trail.excluded)
    }

    async fn wait_for_view(&mut self, until: Instant) {
        if let Some(admitted) = &mut self.admitted {
            admitted.waits_for_load();
        }
        let next_report = Instant::now() + Duration::from_millis(policy::MISSING_INTERVAL_MS);
        let changed = self.shared.view_changed.notified();
        // Either the view has changed or the report is due; both are looked at next.
        let _ = tokio::time::timeout_at(until.min(next_report), changed).await;
    }

    /// Until when a request is held for its model or adapter.
    fn model_hold_end(&self) -> Instant {
        let aim = self.rules.aim;
        let is_short = aim < Duration::from_millis(policy::SHORT_AIM_MS);
        let by_aim = match (is_short, &self.profile.adapter) {
            (false, _) => aim.mul_f64(policy::LONG_HOLD_SHARE),
            (true, Some(_)) => policy::SHORT_HOLD_ADAPTER,
            (true, None) => aim.mul_f64(policy::SHORT_HOLD_SHARE),
        };
        self.hold_end(by_aim)
    }

    /// Until when a request is held for a first worker of its service.
    fn worker_hold_end(&self) -> Instant {
        self.hold_end(self.rules.aim.mul_f64(policy::NO_WORKER_HOLD_SHARE))
    }

    fn hold_end(&self, longest: Duration) -> Instant {
        let whole = self.deadline.saturating_duration_since(self.arrived);
        self.arrived + longest.min(whole.mul_f64(policy::HOLD_LEFT_SHARE))
    }

    /// About when the model should stand.
    fn load_time_ms(&self) -> u64 {
        if self.profile.adapter.is_some() && self.stands_without_adapter() {
            return policy::RETRY_AFTER_ADAPTER_MS;
        }
        let document = self.shared.document();
        let service = document.as_ref().and_then(|document| document.service(&self.profile.service));
        let name = self.profile.model.as_deref().unwrap_or_default();
        let model = service.and_then(|service| service.model(name));
        model.map_or(policy::RETRY_AFTER_MODEL_MS, |model| (model.load_s * 1000.0) as u64)
    }

    /// Whether some worker holds the model, so that only its adapter has to come.
    fn stands_without_adapter(&self) -> bool {
        let Some(model) = self.profile.model.as_deref() else { return false };
        let view = self.shared.view();
        view.workers.iter().any(|worker| worker.service == self.profile.service && worker.holds(model, None))
    }
}
