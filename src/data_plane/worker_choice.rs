//! Waiting for a worker that can run a request.

use super::exchange::Exchange;
use super::missing::{model_key, WaitingRequest};
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
            if !self.ends_before_process() {
                return Err(self.give_up_leaving());
            }
            let choice = self.choose();
            let hold_until = match choice {
                Choice::Send(worker) => return Ok(worker),
                Choice::Busy { .. } => return Err(self.give_up_after(choice)),
                Choice::ModelNotLoaded => self.model_hold_end(),
                Choice::NoWorker => self.worker_hold_end(),
            };
            if choice == Choice::ModelNotLoaded {
                waiting = waiting.or_else(|| self.shared.missing.begin(&self.profile));
                self.report(waiting.as_ref());
            }
            if Instant::now() >= hold_until {
                return Err(self.give_up_after(choice));
            }
            if let Some(admitted) = &mut self.admitted {
                admitted.waits_for_load();
            }
            self.timeline.waits_for_model();
            let too_late = tokio::select! {
                () = self.too_late_to_send() => true,
                () = self.wait_for_view(hold_until) => false,
            };
            if too_late {
                return Err(self.give_up_leaving());
            }
        }
    }

    /// The answer of a request that may not end before the process.
    fn give_up_leaving(&self) -> LocalReply {
        self.shared.statistics.borrow_mut().refusals.leaving += 1;
        self.not_run(policy::RETRY_AFTER_LEAVING_MS)
    }

    /// The answer of a request that is given up, with advice by what the router says now.
    pub(crate) fn give_up(&self) -> LocalReply {
        if !self.ends_before_process() {
            return self.give_up_leaving();
        }
        let choice = self.choose();
        if choice == Choice::ModelNotLoaded {
            self.report(self.shared.missing.begin(&self.profile).as_ref());
        }
        self.give_up_after(choice)
    }

    /// Tells the agent that the request's model is missing, unless it has just been told.
    fn report(&self, waiting: Option<&WaitingRequest>) {
        if let Some(report) = waiting.and_then(|request| request.report(self.shared.now())) {
            self.shared.tell(report);
        }
    }

    fn give_up_after(&self, choice: Choice) -> LocalReply {
        self.count_refusal(choice);
        let retry_after_ms = match choice {
            Choice::Send(_) => policy::RETRY_AFTER_REFUSED_MS,
            Choice::Busy { retry_after_ms } => retry_after_ms,
            Choice::ModelNotLoaded => self.retry_after_load_ms(),
            Choice::NoWorker => policy::RETRY_AFTER_NO_WORKER_MS,
        };
        self.not_run(retry_after_ms)
    }

    /// The promise that the request has not run, where that is so.
    fn not_run(&self, retry_after_ms: u64) -> LocalReply {
        match self.trail.may_have_run {
            true => LocalReply::MayHaveRun,
            false => LocalReply::NotRun { retry_after_ms },
        }
    }

    fn count_refusal(&self, choice: Choice) {
        let mut statistics = self.shared.statistics.borrow_mut();
        let refusals = &mut statistics.refusals;
        let counter = match choice {
            _ if self.trail.may_have_run => &mut refusals.may_have_run,
            Choice::Send(_) => &mut refusals.attempts,
            Choice::Busy { .. } => &mut refusals.busy,
            Choice::ModelNotLoaded if self.profile.adapter.is_some() => &mut refusals.missing_adapter,
            Choice::ModelNotLoaded => &mut refusals.missing_model,
            Choice::NoWorker => &mut refusals.no_worker,
        };
        *counter += 1;
    }

    /// Asks the router.
    pub(crate) fn choose(&self) -> Choice {
        let mut router = self.shared.router.borrow_mut();
        let is_connected = |worker: &str| self.shared.pool.has_idle(worker);
        router.choose_connected(self.shared.now(), &self.profile, &self.trail.excluded, &is_connected)
    }

    async fn wait_for_view(&self, until: Instant) {
        let next_report = Instant::now() + Duration::from_millis(policy::MISSING_INTERVAL_MS);
        tokio::select! {
            () = self.shared.view_changed.notified() => {}
            () = self.expectation_changes() => {}
            () = tokio::time::sleep_until(until.min(next_report)) => {}
        }
    }

    /// Waits until something else is told of when the request's model should stand.
    async fn expectation_changes(&self) {
        let Some(key) = model_key(&self.profile) else { return std::future::pending().await };
        let before = self.shared.view().expected.ready_at(&key);
        while self.shared.view().expected.ready_at(&key) == before {
            self.shared.expected_changed.notified().await;
        }
    }

    /// Until when a request is held for its model or adapter.
    fn model_hold_end(&self) -> Instant {
        let aim = self.rules.aim;
        if !self.shared.settings.borrow().decisions.holding.for_model {
            return self.arrived;
        }
        let is_short = aim < Duration::from_millis(policy::SHORT_AIM_MS);
        let by_aim = match is_short {
            true => self.short_aim_hold(aim),
            false => aim.mul_f64(policy::LONG_HOLD_SHARE),
        };
        self.hold_end(by_aim)
    }

    /// How long a request with a short objective is held: for its whole objective where the model is expected within it,
    /// not at all where it is expected later, and for a moment while the placer has not told.
    fn short_aim_hold(&self, aim: Duration) -> Duration {
        let Some(wait) = self.expected_wait() else {
            return match &self.profile.adapter {
                Some(_) => policy::SHORT_HOLD_ADAPTER.min(aim.mul_f64(policy::SHORT_HOLD_ADAPTER_SHARE)),
                None => aim.mul_f64(policy::SHORT_HOLD_SHARE),
            };
        };
        let in_time = self.arrived.elapsed() + wait <= aim.mul_f64(policy::EXPECTED_HOLD_SHARE);
        match in_time {
            true => aim.mul_f64(policy::LONG_HOLD_SHARE),
            false => Duration::ZERO,
        }
    }

    /// Time until the model or adapter should stand, if the placer has told; zero if it should stand already.
    fn expected_wait(&self) -> Option<Duration> {
        let key = model_key(&self.profile)?;
        let ready_at = self.shared.view().expected.ready_at(&key)?;
        let now = self.shared.now();
        let still_awaited = now <= ready_at.saturating_add(policy::EXPECTED_LATE_MS);
        still_awaited.then(|| Duration::from_millis(ready_at.saturating_sub(now)))
    }

    /// Until when a request is held for a first worker of its service.
    fn worker_hold_end(&self) -> Instant {
        self.hold_end(policy::NO_WORKER_HOLD)
    }

    fn hold_end(&self, longest: Duration) -> Instant {
        let whole = self.deadline.saturating_duration_since(self.arrived);
        self.arrived + longest.min(whole.mul_f64(policy::HOLD_LEFT_SHARE))
    }

    /// When to come back for a model or adapter that stands nowhere, in milliseconds.
    fn retry_after_load_ms(&self) -> u64 {
        if let Some(wait) = self.expected_wait().filter(|wait| !wait.is_zero()) {
            return wait.as_millis() as u64 + policy::RETRY_AFTER_EXPECTED_MS;
        }
        if self.profile.adapter.is_some() && self.stands_without_adapter() {
            return policy::RETRY_AFTER_ADAPTER_MS;
        }
        let document = self.shared.document();
        let service = document.as_ref().and_then(|document| document.service(&self.profile.service));
        let name = self.profile.model.as_deref().unwrap_or_default();
        let model = service.and_then(|service| service.model(name));
        model.map_or(policy::RETRY_AFTER_MODEL_MS, |model| {
            (model.load_s * 1000.0) as u64 + policy::LOAD_OVERHEAD_MS
        })
    }

    /// Whether some worker holds the model, so that only its adapter has to come.
    fn stands_without_adapter(&self) -> bool {
        let Some(model) = self.profile.model.as_deref() else { return false };
        let view = self.shared.view();
        view.workers.iter().any(|worker| worker.service == self.profile.service && worker.holds(model, None))
    }
}
