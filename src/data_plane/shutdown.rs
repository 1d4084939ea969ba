//! Phases of a process that has been told to end.

use super::policy;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// How far the end of the process has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are taken.
    Serving,
    /// Not ready any more; new connections are still taken, and each answer carries `Connection: close`.
    Draining,
    /// No new connection is taken, idle ones are closed, running requests end.
    Closing,
}

/// The phase, and when the process was told to end.
#[derive(Debug, Clone, Copy)]
struct ShutdownState {
    phase: Phase,
    started_at: Option<Instant>,
}

/// Tells a data plane to end.
#[derive(Debug, Clone)]
pub struct ShutdownHandle {
    state: watch::Sender<ShutdownState>,
}

/// Times of an orderly end, both from the signal on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ShutdownTimes {
    /// Time in which new connections are still taken.
    pub(crate) drain: Duration,
    /// Time after which the process ends, whatever runs.
    pub(crate) end: Duration,
}

impl ShutdownTimes {
    /// Times that fit before SIGKILL, which comes `grace` after SIGTERM.
    pub(crate) fn within(grace: Duration) -> ShutdownTimes {
        let end = grace.saturating_sub(policy::EXIT_MARGIN);
        let drain = policy::MAX_DRAIN_TIME.min(grace.mul_f64(policy::DRAIN_SHARE)).min(end);
        ShutdownTimes { drain, end }
    }
}

impl ShutdownHandle {
    pub(crate) fn new() -> ShutdownHandle {
        ShutdownHandle {
            state: watch::Sender::new(ShutdownState { phase: Phase::Serving, started_at: None }),
        }
    }

    /// Starts the end; has no effect a second time.
    pub fn begin(&self) {
        self.advance(Phase::Draining);
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.state.borrow().phase
    }

    /// When the process was told to end, if it was.
    pub(crate) fn started_at(&self) -> Option<Instant> {
        self.state.borrow().started_at
    }

    pub(crate) fn advance(&self, phase: Phase) {
        self.state.send_if_modified(|state| {
            let later = phase > state.phase;
            if later {
                state.phase = phase;
                state.started_at.get_or_insert_with(Instant::now);
            }
            later
        });
    }

    /// Waits until the phase is reached.
    pub async fn reached(&self, phase: Phase) {
        let mut state = self.state.subscribe();
        // The sender lives in `self`, so waiting cannot fail.
        let _ = state.wait_for(|state| state.phase >= phase).await;
    }
}
