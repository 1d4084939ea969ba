//! Phases of a graceful shutdown.

use super::policy;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::Instant;

/// Phase of the shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Requests are accepted.
    Serving,
    /// The process is not ready any more. New connections are still accepted, and each response carries
    /// `Connection: close`.
    Draining,
    /// No new connection is accepted, idle ones are closed, and running requests finish.
    Closing,
}

/// The current phase and the time at which the shutdown began.
#[derive(Debug, Clone, Copy)]
struct ShutdownState {
    phase: Phase,
    started_at: Option<Instant>,
}

/// Starts and observes the shutdown of a data plane.
#[derive(Debug, Clone)]
pub struct ShutdownHandle {
    state: watch::Sender<ShutdownState>,
}

/// Durations of a graceful shutdown, both counted from the signal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ShutdownTimes {
    /// Time during which new connections are still accepted.
    pub(crate) drain: Duration,
    /// Time after which the process ends, even if requests are still running.
    pub(crate) end: Duration,
}

impl ShutdownTimes {
    /// Durations that fit into the `grace` period between SIGTERM and SIGKILL.
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

    /// Begins the shutdown. Later calls have no effect.
    pub fn begin(&self) {
        self.advance(Phase::Draining);
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.state.borrow().phase
    }

    /// When the shutdown began, if it has.
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

    /// Waits until the shutdown has reached the phase.
    pub async fn reached(&self, phase: Phase) {
        let mut state = self.state.subscribe();
        // `self` keeps the sender alive, so waiting cannot fail.
        let _ = state.wait_for(|state| state.phase >= phase).await;
    }
}
