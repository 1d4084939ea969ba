//! The end of the process and the requests: what may still be sent to a worker, and what the end cuts.

use super::exchange::Exchange;
use super::invariants::Invariant;
use super::policy;
use super::running_requests::RunningRequest;
use super::shared::Shared;
use super::shutdown::{Phase, ShutdownTimes};
use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which the end of the running requests is looked for.
const END_CHECK: Duration = Duration::from_millis(20);
/// Cut requests that are logged one by one; the rest are counted.
const MOST_CUT_LOGGED: usize = 20;
/// Weight of the newest request in [`FittingShare`].
const SHARE_WEIGHT: f64 = 1.0 / 32.0;

/// Share of the requests of late whose time limits end before a process does that is told to end when they arrive.
#[derive(Debug)]
pub(crate) struct FittingShare(Cell<f64>);

impl Default for FittingShare {
    fn default() -> FittingShare {
        FittingShare(Cell::new(1.0))
    }
}

impl FittingShare {
    fn note(&self, fits: bool) {
        let share = self.0.get();
        self.0.set(share + SHARE_WEIGHT * (f64::from(u8::from(fits)) - share));
    }
}

impl Shared {
    /// When the process ends, once it has been told to.
    pub(crate) fn process_end(&self) -> Option<Instant> {
        let begun = self.shutdown.begun()?;
        Some(begun + self.shutdown_times().end)
    }

    /// Notes the time limit of a request that has arrived.
    pub(crate) fn note_time_limit(&self, time_limit: Duration) {
        let fits = time_limit + policy::LAST_RESPONSE_MARGIN <= self.shutdown_times().end;
        self.fitting_share.note(fits);
    }

    /// The times that were fixed when the process was told to end, or those by the present settings.
    fn shutdown_times(&self) -> ShutdownTimes {
        self.end_times.get().unwrap_or_else(|| ShutdownTimes::within(self.settings.borrow().grace()))
    }

    /// Fixes the times of the end. The time before SIGKILL is that of the settings in force or of their file, which may have
    /// changed without a signal, whichever is shorter.
    fn fix_end_times(&self) {
        let mut grace = self.settings.borrow().grace();
        match self.settings.borrow().reread() {
            Ok(newest) => grace = grace.min(newest.grace()),
            Err(error) => log::debug!("settings are kept: {error}"),
        }
        self.end_times.set(Some(ShutdownTimes::within(grace)));
    }
}

impl Exchange {
    /// Whether the request, sent to a worker now, is answered before the process ends: by its time limit, since nobody
    /// can tell how long it will run. That holds for all requests of a process that has not been told to end.
    pub(crate) fn ends_before_process(&self) -> bool {
        let process_end = self.shared.process_end();
        process_end.is_none_or(|end| self.deadline + policy::LAST_RESPONSE_MARGIN <= end)
    }

    /// Waits until the request must not be sent to a worker any more for the end of the process.
    pub(crate) async fn too_late_to_send(&self) {
        self.shared.shutdown.reached(Phase::Draining).await;
        if self.ends_before_process() {
            std::future::pending().await
        }
    }
}

/// Waits for the shutdown and carries it out.
pub(super) async fn shut_down(shared: &Shared) {
    shared.shutdown.reached(Phase::Draining).await;
    shared.fix_end_times();
    log::info!("told to end: {} requests run", shared.running_requests.count());
    // Where most requests could outlast the process, their clients lose less by a refused connection, after which they try
    // another gatekeeper, than by a refused request.
    if shared.fitting_share.0.get() >= policy::MIN_FITTING_SHARE {
        tokio::time::sleep(shared.shutdown_times().leaving).await;
    }
    shared.shutdown.advance(Phase::Closing);
    tokio::time::sleep(policy::CLOSING_GRACE).await;
    finish_answers(shared).await;
    report_cut_requests(shared);
}

/// Waits until the connections have ended, or the time is over.
async fn finish_answers(shared: &Shared) {
    let mut quiet_since = Instant::now();
    while shared.process_end().is_some_and(|end| Instant::now() < end) && shared.client_connections.get() > 0
    {
        // What runs is looked at before the time: a process that stood still finds that much time gone by at once.
        let is_busy = shared.running.get() > 0 || shared.unwritten_connections.get() > 0;
        if is_busy {
            quiet_since = Instant::now();
        } else if quiet_since.elapsed() >= policy::UNUSED_CONNECTION_TIMEOUT {
            return;
        }
        tokio::time::sleep(END_CHECK).await;
    }
}

/// Logs the requests that the end of the process cuts, and checks that none of them was sent too late.
fn report_cut_requests(shared: &Shared) {
    let Some(begun) = shared.shutdown.begun() else { return };
    let requests = shared.running_requests.all();
    for request in requests.iter().take(MOST_CUT_LOGGED) {
        log::warn!("cut by the end of the process: {}", describe(request, begun));
    }
    let unwritten = shared.unwritten_connections.get();
    if requests.len() > MOST_CUT_LOGGED || unwritten > 0 {
        log::warn!(
            "cut by the end of the process: {} requests, {unwritten} answers not taken by clients",
            requests.len()
        );
    }
    for request in requests.iter().filter(|request| request.sent.is_some_and(|sent| sent > begun)) {
        shared.violations.report(Invariant::TakenLateIsNotCut, &describe(request, begun));
    }
}

fn describe(request: &RunningRequest, begun: Instant) -> String {
    let id = request.request_id.as_ref().and_then(|id| id.to_str().ok()).unwrap_or("-");
    let arrived = after_signal(request.arrived, begun);
    let sent =
        request.sent.map_or("to no worker".to_owned(), |sent| format!("at {}", after_signal(sent, begun)));
    format!("request {id} on {}, arrived at {arrived}, sent {sent}, in ms after the signal", request.route)
}

/// Milliseconds after the signal; below 0 before it.
fn after_signal(moment: Instant, begun: Instant) -> i64 {
    let after = moment.saturating_duration_since(begun).as_millis();
    let before = begun.saturating_duration_since(moment).as_millis();
    i64::try_from(after).unwrap_or(i64::MAX) - i64::try_from(before).unwrap_or(i64::MAX)
}
