//! The end of the process and the requests: what may still be sent to a worker, and what the end cuts.

use super::exchange::Exchange;
use super::invariants::Invariant;
use super::policy;
use super::running_requests::RunningRequest;
use super::shared::Shared;
use super::shutdown::{Phase, ShutdownTimes};
use std::time::Duration;
use tokio::time::Instant;

/// Interval at which the end of the running requests is looked for.
const END_CHECK: Duration = Duration::from_millis(20);

impl Shared {
    /// When the process ends, once it has been told to. It follows settings that are read again.
    pub(crate) fn process_end(&self) -> Option<Instant> {
        let times = ShutdownTimes::within(self.settings.borrow().grace());
        Some(self.shutdown.begun()? + times.end)
    }

    /// Takes the time before SIGKILL from the settings file if that is shorter than the one in force: the file may change
    /// without a signal.
    fn take_shorter_grace(&self) {
        let reread = self.settings.borrow().reread();
        match reread {
            Ok(newest) => {
                let bounds = &mut self.settings.borrow_mut().bounds;
                bounds.grace_s = bounds.grace_s.min(newest.bounds.grace_s);
            }
            Err(error) => log::debug!("settings are kept: {error}"),
        }
    }

    /// Whether new connections are taken while the process is about to end.
    fn takes_connections(&self) -> bool {
        let times = ShutdownTimes::within(self.settings.borrow().grace());
        let Some(begun) = self.shutdown.begun() else { return true };
        let (now, end) = (Instant::now(), begun + times.end);
        let needed = self.running_requests.longest_time_needed() + policy::LAST_ANSWER_MARGIN;
        now < begun + times.leaving && now + needed < end
    }
}

impl Exchange {
    /// Whether the request, sent to a worker now, would be answered before the process ends. That holds for all
    /// requests of a process that has not been told to end.
    pub(crate) fn ends_before_process(&self) -> bool {
        self.latest_start().is_none_or(|latest| Instant::now() < latest)
    }

    /// The last moment at which the request may be sent to a worker, where the end of the process sets one.
    pub(crate) fn latest_start(&self) -> Option<Instant> {
        let last_answer = self.shared.process_end()? - policy::LAST_ANSWER_MARGIN;
        if self.deadline <= last_answer {
            return None;
        }
        let run_time = self.shared.run_times.upper_bound(&self.profile);
        let latest = run_time.and_then(|run_time| last_answer.checked_sub(run_time));
        // A request that may run for as long as its time limit allows is not sent after the signal.
        latest.or(self.shared.shutdown.begun())
    }
}

/// Waits for the shutdown and carries it out.
pub(super) async fn shut_down(shared: &Shared) {
    shared.shutdown.reached(Phase::Leaving).await;
    log::info!("told to end: {} requests run", shared.running_requests.all().len());
    shared.take_shorter_grace();
    // Requests that wait look again whether there is time for them.
    shared.view_changed.notify_waiters();
    leave(shared).await;
    shared.shutdown.advance(Phase::Closing);
    finish_answers(shared).await;
    report_cut_requests(shared);
}

/// New connections are still taken while every request that is likely to come could be answered before the process
/// ends. Those that run show what is likely to come; a request that had to be refused ends the phase from elsewhere.
async fn leave(shared: &Shared) {
    while shared.shutdown.phase() < Phase::Closing && shared.takes_connections() {
        tokio::time::sleep(END_CHECK).await;
    }
}

/// Waits until the connections have ended, or the time is over.
async fn finish_answers(shared: &Shared) {
    let mut quiet_since = Instant::now();
    while shared.process_end().is_some_and(|end| Instant::now() < end) && shared.client_connections.get() > 0
    {
        if quiet_since.elapsed() >= policy::LAST_BYTES {
            return;
        }
        if shared.running.get() > 0 || shared.unwritten_connections.get() > 0 {
            quiet_since = Instant::now();
        }
        tokio::time::sleep(END_CHECK).await;
    }
}

/// Logs the requests that the end of the process cuts, and checks that none of them was sent too late.
fn report_cut_requests(shared: &Shared) {
    let Some(begun) = shared.shutdown.begun() else { return };
    for request in shared.running_requests.all() {
        let what = describe(&request, begun);
        log::warn!("cut by the end of the process: {what}");
        if request.sent.is_some_and(|sent| sent > begun) {
            shared.violations.report(Invariant::TakenLateIsNotCut, &what);
        }
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
