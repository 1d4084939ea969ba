//! Selection of a worker, including the wait for one that can run the request.

use super::exchange::Exchange;
use super::missing::{model_key, WaitingRequest};
use super::policy;
use super::replies::LocalReply;
use std::time::Duration;
use switchhill_routing::{Choice, WorkerKey};
use tokio::time::Instant;

impl Exchange {
    /// Selects a worker. While no worker holds the request's model, or the service has no known worker, the
    /// request waits as long as it can still be answered in time and is then refused.
    pub(crate) async fn select_worker(&mut self) -> Result<WorkerKey, LocalReply> {
        let mut waiting = None;
        loop {
            if self.time_left().is_zero() {
                return Err(self.deadline_reply());
            }
            if !self.ends_before_shutdown() {
                return Err(self.refuse_for_shutdown());
            }
            let choice = self.choose_worker();
            let wait_until = match choice {
                Choice::Send(worker) => return Ok(worker),
                Choice::Busy { .. } => return Err(self.refuse_after(choice)),
                Choice::ModelNotLoaded => self.model_wait_end(),
                Choice::NoWorker => self.worker_wait_end(),
            };
            if choice == Choice::ModelNotLoaded {
                waiting = waiting.or_else(|| self.shared.missing_models.register(&self.profile));
                self.report_missing_model(waiting.as_ref());
            }
            if Instant::now() >= wait_until {
                return Err(self.refuse_after(choice));
            }
            if let Some(admitted) = &mut self.admitted {
                admitted.mark_waiting_for_load();
            }
            self.timeline.record_model_wait();
            let is_shutting_down = tokio::select! {
                () = self.shutdown_forbids_sending() => true,
                () = self.wait_for_change(wait_until) => false,
            };
            if is_shutting_down {
                return Err(self.refuse_for_shutdown());
            }
        }
    }

    /// Reply to a request whose time limit extends past the end of the process.
    fn refuse_for_shutdown(&self) -> LocalReply {
        self.shared.statistics.borrow_mut().refusals.leaving += 1;
        self.not_run_reply(policy::RETRY_AFTER_SHUTDOWN_MS)
    }

    /// Refuses the request. The retry advice follows the router's current state.
    pub(crate) fn refuse(&self) -> LocalReply {
        if !self.ends_before_shutdown() {
            return self.refuse_for_shutdown();
        }
        let choice = self.choose_worker();
        if choice == Choice::ModelNotLoaded {
            self.report_missing_model(self.shared.missing_models.register(&self.profile).as_ref());
        }
        self.refuse_after(choice)
    }

    /// Reports the missing model to the agent unless it was reported recently.
    fn report_missing_model(&self, waiting: Option<&WaitingRequest>) {
        if let Some(report) = waiting.and_then(|request| request.take_report(self.shared.now())) {
            self.shared.send_feedback(report);
        }
    }

    fn refuse_after(&self, choice: Choice) -> LocalReply {
        self.count_refusal(choice);
        let retry_after_ms = match choice {
            Choice::Send(_) => policy::RETRY_AFTER_REFUSED_MS,
            Choice::Busy { retry_after_ms } => retry_after_ms,
            Choice::ModelNotLoaded => self.retry_after_model_load_ms(),
            Choice::NoWorker => policy::RETRY_AFTER_NO_WORKER_MS,
        };
        self.not_run_reply(retry_after_ms)
    }

    /// Reply that promises that the request has not run, or `MayHaveRun` if a worker may have run it.
    fn not_run_reply(&self, retry_after_ms: u64) -> LocalReply {
        match self.history.may_have_run {
            true => LocalReply::MayHaveRun,
            false => LocalReply::NotRun { retry_after_ms },
        }
    }

    fn count_refusal(&self, choice: Choice) {
        let mut statistics = self.shared.statistics.borrow_mut();
        let refusals = &mut statistics.refusals;
        let counter = match choice {
            _ if self.history.may_have_run => &mut refusals.may_have_run,
            Choice::Send(_) => &mut refusals.attempts,
            Choice::Busy { .. } => &mut refusals.busy,
            Choice::ModelNotLoaded if self.profile.adapter.is_some() => &mut refusals.missing_adapter,
            Choice::ModelNotLoaded => &mut refusals.missing_model,
            Choice::NoWorker => &mut refusals.no_worker,
        };
        *counter += 1;
    }

    /// Asks the router for a worker; the router also learns which workers have an idle connection.
    pub(crate) fn choose_worker(&self) -> Choice {
        let mut router = self.shared.router.borrow_mut();
        let is_connected = |worker: &str| self.shared.pool.has_idle(worker);
        router.choose_connected(self.shared.now(), &self.profile, &self.history.excluded, &is_connected)
    }

    async fn wait_for_change(&self, until: Instant) {
        let next_report = Instant::now() + Duration::from_millis(policy::MISSING_REPORT_INTERVAL_MS);
        tokio::select! {
            () = self.shared.view_changed.notified() => {}
            () = self.expected_ready_time_changes() => {}
            () = tokio::time::sleep_until(until.min(next_report)) => {}
        }
    }

    /// Waits until the expected ready time of the request's model changes.
    async fn expected_ready_time_changes(&self) {
        let Some(key) = model_key(&self.profile) else { return std::future::pending().await };
        let before = self.shared.view().expected_loads.ready_at(&key);
        while self.shared.view().expected_loads.ready_at(&key) == before {
            self.shared.expected_loads_changed.notified().await;
        }
    }

    /// Time until which a request may wait for its model or adapter.
    fn model_wait_end(&self) -> Instant {
        let target_latency = self.rules.target_latency;
        if !self.shared.settings.borrow().decisions.holding.for_model {
            return self.arrived;
        }
        let is_short = target_latency < Duration::from_millis(policy::SHORT_TARGET_LATENCY_MS);
        let max_wait = match is_short {
            true => self.max_wait_for_short_target(target_latency),
            false => target_latency.mul_f64(policy::LONG_TARGET_WAIT_SHARE),
        };
        self.wait_end(max_wait)
    }

    /// Longest wait of a request with a short latency target. It is most of the target if the model is
    /// expected to be ready within it, zero if it is expected later, and a small share of the target while
    /// the placer has not announced a time.
    fn max_wait_for_short_target(&self, target_latency: Duration) -> Duration {
        let Some(wait) = self.time_until_expected_load() else {
            return match &self.profile.adapter {
                Some(_) => {
                    policy::MAX_ADAPTER_WAIT.min(target_latency.mul_f64(policy::MAX_ADAPTER_WAIT_SHARE))
                }
                None => target_latency.mul_f64(policy::SHORT_TARGET_WAIT_SHARE),
            };
        };
        let in_time =
            self.arrived.elapsed() + wait <= target_latency.mul_f64(policy::EXPECTED_LOAD_WAIT_SHARE);
        match in_time {
            true => target_latency.mul_f64(policy::LONG_TARGET_WAIT_SHARE),
            false => Duration::ZERO,
        }
    }

    /// Time until the model or adapter is expected to be ready, if the placer has announced it. Zero if it is
    /// overdue.
    fn time_until_expected_load(&self) -> Option<Duration> {
        let key = model_key(&self.profile)?;
        let ready_at = self.shared.view().expected_loads.ready_at(&key)?;
        let now = self.shared.now();
        let is_still_expected = now <= ready_at.saturating_add(policy::EXPECTED_LOAD_OVERDUE_MS);
        is_still_expected.then(|| Duration::from_millis(ready_at.saturating_sub(now)))
    }

    /// Time until which a request may wait for the first worker of its service.
    fn worker_wait_end(&self) -> Instant {
        self.wait_end(policy::MAX_FIRST_WORKER_WAIT)
    }

    fn wait_end(&self, max_wait: Duration) -> Instant {
        let timeout = self.deadline.saturating_duration_since(self.arrived);
        self.arrived + max_wait.min(timeout.mul_f64(policy::MAX_WAIT_SHARE_OF_TIMEOUT))
    }

    /// Retry delay in milliseconds for a model or adapter that no worker holds.
    fn retry_after_model_load_ms(&self) -> u64 {
        if let Some(wait) = self.time_until_expected_load().filter(|wait| !wait.is_zero()) {
            return wait.as_millis() as u64 + policy::RETRY_AFTER_EXPECTED_LOAD_MS;
        }
        if self.profile.adapter.is_some() && self.base_model_is_loaded() {
            return policy::RETRY_AFTER_ADAPTER_MS;
        }
        let document = self.shared.document();
        let service = document.as_ref().and_then(|document| document.service(&self.profile.service));
        let name = self.profile.model.as_deref().unwrap_or_default();
        let model = service.and_then(|service| service.model(name));
        model.map_or(policy::RETRY_AFTER_MODEL_MS, |model| {
            (model.load_s * 1000.0) as u64 + policy::MODEL_LOAD_OVERHEAD_MS
        })
    }

    /// Whether some worker holds the base model, so that only the adapter has to be loaded.
    fn base_model_is_loaded(&self) -> bool {
        let Some(model) = self.profile.model.as_deref() else { return false };
        let view = self.shared.view();
        view.workers.iter().any(|worker| worker.service == self.profile.service && worker.holds(model, None))
    }
}
