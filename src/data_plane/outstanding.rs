//! One request at one worker, as the router counts it.

use super::run_times::RunSample;
use super::shared::Shared;
use std::cell::Cell;
use std::rc::Rc;
use switchhill_routing::{AttemptKey, AttemptOutcome, RequestProfile, WorkerKey};
use tokio::time::Instant;

/// An attempt the router knows of. Dropped without an outcome, it counts as cancelled by the client.
pub(crate) struct OutstandingAttempt {
    shared: Rc<Shared>,
    key: AttemptKey,
    worker: WorkerKey,
    ended: bool,
    started: Instant,
    first_byte: Cell<Option<Instant>>,
}

impl OutstandingAttempt {
    /// Tells the router that the request is being written to a worker.
    pub(crate) fn begin(
        shared: &Rc<Shared>,
        worker: WorkerKey,
        profile: &RequestProfile,
    ) -> OutstandingAttempt {
        let key = shared.router.borrow_mut().sent(shared.now(), worker, profile);
        OutstandingAttempt {
            shared: shared.clone(),
            key,
            worker,
            ended: false,
            started: Instant::now(),
            first_byte: Cell::new(None),
        }
    }

    /// The worker.
    pub(crate) fn worker(&self) -> WorkerKey {
        self.worker
    }

    /// The answer has begun.
    pub(crate) fn first_byte(&self) {
        self.note_first_byte();
        self.shared.router.borrow_mut().first_byte(self.shared.now(), self.key);
    }

    /// Further bytes of the answer have come.
    pub(crate) fn progress(&self) {
        self.note_first_byte();
        self.shared.router.borrow_mut().progress(self.shared.now(), self.key);
    }

    /// Learns how long the request ran, after its whole answer; `tokens` as in [`RunSample`].
    pub(crate) fn learn_run_time(&self, profile: &RequestProfile, tokens: Option<u64>) {
        let Some(first_byte) = self.first_byte.get() else { return };
        let sample = RunSample {
            first_byte: first_byte.saturating_duration_since(self.started),
            rest: first_byte.elapsed(),
            tokens,
        };
        self.shared.run_times.learn(profile, sample);
    }

    fn note_first_byte(&self) {
        if self.first_byte.get().is_none() {
            self.first_byte.set(Some(Instant::now()));
        }
    }

    /// The attempt has ended.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        if !self.ended {
            self.ended = true;
            self.shared.router.borrow_mut().finished(self.shared.now(), self.key, outcome);
        }
    }
}

impl Drop for OutstandingAttempt {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Cancelled);
    }
}
