//! Phases of a process that has been told to end.

use super::policy;
use std::time::Duration;
use tokio::sync::watch;

/// How far the end of the process has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are taken.
    Serving,
    /// Not ready any more; new requests are still answered, each with `Connection: close`.
    Leaving,
    /// No new connection is taken, idle ones are closed, running requests end.
    Closing,
}

/// Tells a data plane to end.
#[derive(Debug, Clone)]
pub struct ShutdownHandle {
    phase: watch::Sender<Phase>,
}

/// Times of an orderly end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ShutdownTimes {
    /// Time in which new requests are still taken.
    pub(crate) leaving: Duration,
    /// Time after that in which running requests end.
    pub(crate) closing: Duration,
}

impl ShutdownTimes {
    /// Times that fit before SIGKILL, which comes `grace` after SIGTERM.
    pub(crate) fn within(grace: Duration) -> ShutdownTimes {
        let leaving = policy::LEAVING_LIMIT.min(grace.mul_f64(policy::LEAVING_SHARE));
        let closing = grace.saturating_sub(leaving).saturating_sub(policy::EXIT_MARGIN);
        ShutdownTimes { leaving, closing }
    }
}

impl ShutdownHandle {
    pub(crate) fn new() -> ShutdownHandle {
        ShutdownHandle { phase: watch::Sender::new(Phase::Serving) }
    }

    /// Starts the end; has no effect a second time.
    pub fn begin(&self) {
        self.advance(Phase::Leaving);
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|present| {
            let later = phase > *present;
            if later {
                *present = phase;
            }
            later
        });
    }

    /// Waits until the phase is reached.
    pub async fn reached(&self, phase: Phase) {
        let mut phases = self.phase.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = phases.wait_for(|present| *present >= phase).await;
    }
}
