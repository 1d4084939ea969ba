//! Graceful shutdown as it concerns requests: which may still be sent to a worker, and which are aborted at
//! the end.

use super::exchange::Exchange;
use super::invariants::Invariant;
use super::policy;
use super::running_requests::RunningRequest;
use super::shared::Shared;
use super::shutdown::{Phase, ShutdownTimes};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which the end of the running requests is polled.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of aborted requests that are logged one by one; the others are only counted.
const MAX_ABORTED_LOGGED: usize = 20;
/// Weight of the newest request in [`FittingShare`].
const FITTING_SHARE_WEIGHT: f64 = 1.0 / 32.0;

/// Moving average of the share of requests whose time limits would end before the process, were a shutdown to
/// begin when they arrive.
#[derive(Debug)]
pub(crate) struct FittingShare(Cell<f64>);

impl Default for FittingShare {
    fn default() -> FittingShare {
        FittingShare(Cell::new(1.0))
    }
}

impl FittingShare {
    fn record(&self, fits: bool) {
        let share = self.0.get();
        self.0.set(share + FITTING_SHARE_WEIGHT * (f64::from(u8::from(fits)) - share));
    }
}

impl Shared {
    /// When the process ends, if a shutdown has begun.
    pub(crate) fn process_end(&self) -> Option<Instant> {
        let started_at = self.shutdown.started_at()?;
        Some(started_at + self.shutdown_times().end)
    }

    /// Records the time limit of a request that has arrived.
    pub(crate) fn record_time_limit(&self, time_limit: Duration) {
        let fits = time_limit + policy::LAST_RESPONSE_MARGIN <= self.shutdown_times().end;
        self.fitting_share.record(fits);
    }

    /// The times fixed when the shutdown began, or else those that follow from the current settings.
    fn shutdown_times(&self) -> ShutdownTimes {
        self.fixed_shutdown_times
            .get()
            .unwrap_or_else(|| ShutdownTimes::within(self.settings.borrow().grace()))
    }

    /// Fixes the shutdown times. The grace period is that of the current settings or of their file, which may
    /// have changed without a signal, whichever is shorter.
    fn fix_shutdown_times(&self) {
        let mut grace = self.settings.borrow().grace();
        match self.settings.borrow().reread() {
            Ok(newest) => grace = grace.min(newest.grace()),
            Err(error) => log::debug!("settings are kept: {error}"),
        }
        self.fixed_shutdown_times.set(Some(ShutdownTimes::within(grace)));
    }
}

impl Exchange {
    /// Whether the request, if it is sent to a worker now, ends before the process. Its time limit decides,
    /// since its run time is not known in advance. Always true before a shutdown.
    pub(crate) fn ends_before_shutdown(&self) -> bool {
        let process_end = self.shared.process_end();
        process_end.is_none_or(|end| self.deadline + policy::LAST_RESPONSE_MARGIN <= end)
    }

    /// Waits until the request must no longer be sent to a worker because the process is about to end.
    pub(crate) async fn shutdown_forbids_sending(&self) {
        self.shared.shutdown.reached(Phase::Draining).await;
        if self.ends_before_shutdown() {
            std::future::pending().await
        }
    }
}

/// Waits for a shutdown to begin and carries it out.
pub(super) async fn shut_down(shared: &Shared) {
    shared.shutdown.reached(Phase::Draining).await;
    shared.fix_shutdown_times();
    log::info!("shutting down: {} requests in flight", shared.running_requests.count());
    // If most requests could outlast the process, it stops accepting connections at once: clients lose less by
    // a refused connection, after which they try another gatekeeper, than by a refused request.
    if shared.fitting_share.0.get() >= policy::MIN_FITTING_SHARE {
        tokio::time::sleep(shared.shutdown_times().drain).await;
    }
    shared.shutdown.advance(Phase::Closing);
    tokio::time::sleep(policy::CLOSING_GRACE).await;
    wait_for_connections(shared).await;
    report_aborted_requests(shared);
}

/// Waits until all client connections have closed, or until the process has to end.
async fn wait_for_connections(shared: &Shared) {
    let mut idle_since = Instant::now();
    while shared.process_end().is_some_and(|end| Instant::now() < end) && shared.client_connections.get() > 0
    {
        // Activity is checked before the elapsed time: after a pause of the process, the whole pause would
        // count as idle time.
        let is_busy = shared.running.get() > 0 || shared.unwritten_connections.get() > 0;
        if is_busy {
            idle_since = Instant::now();
        } else if idle_since.elapsed() >= policy::UNUSED_CONNECTION_TIMEOUT {
            return;
        }
        tokio::time::sleep(SHUTDOWN_POLL_INTERVAL).await;
    }
}

/// Logs the requests that the end of the process aborts, and checks that none of them was sent after the
/// shutdown began.
fn report_aborted_requests(shared: &Shared) {
    let Some(started_at) = shared.shutdown.started_at() else { return };
    let requests = shared.running_requests.snapshot();
    for request in requests.iter().take(MAX_ABORTED_LOGGED) {
        log::warn!("aborted by shutdown: {}", describe(request, started_at));
    }
    let unwritten = shared.unwritten_connections.get();
    if requests.len() > MAX_ABORTED_LOGGED || unwritten > 0 {
        log::warn!(
            "aborted by shutdown: {} requests, {unwritten} responses not fully read by clients",
            requests.len()
        );
    }
    for request in requests.iter().filter(|request| request.sent_at.is_some_and(|sent| sent > started_at)) {
        shared.violations.report(Invariant::DrainedRequestIsNotAborted, &describe(request, started_at));
    }
}

fn describe(request: &RunningRequest, started_at: Instant) -> String {
    let id = request.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
    let arrived = ms_after_signal(request.arrived_at, started_at);
    let sent = request
        .sent_at
        .map_or("to no worker".to_owned(), |sent| format!("at {}", ms_after_signal(sent, started_at)));
    format!(
        "request {id} on route {}, arrived at {arrived}, sent {sent}, in ms after the signal",
        request.route
    )
}

/// Milliseconds from the signal to `moment`; negative if `moment` is earlier.
fn ms_after_signal(moment: Instant, started_at: Instant) -> i64 {
    let after = moment.saturating_duration_since(started_at).as_millis();
    let before = started_at.saturating_duration_since(moment).as_millis();
    i64::try_from(after).unwrap_or(i64::MAX) - i64::try_from(before).unwrap_or(i64::MAX)
}
