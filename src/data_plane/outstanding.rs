//! One request outstanding at one worker, as the router counts it.

use super::shared::Shared;
use std::rc::Rc;
use switchhill_routing::{AttemptKey, AttemptOutcome, RequestProfile, WorkerKey};

/// An attempt that is registered with the router. Dropping it without an outcome counts as cancelled by the
/// client.
pub(crate) struct OutstandingAttempt {
    shared: Rc<Shared>,
    key: AttemptKey,
    worker: WorkerKey,
    finished: bool,
}

impl OutstandingAttempt {
    /// Registers with the router that the request is being sent to a worker.
    pub(crate) fn begin(
        shared: &Rc<Shared>,
        worker: WorkerKey,
        profile: &RequestProfile,
    ) -> OutstandingAttempt {
        let key = shared.router.borrow_mut().sent(shared.now(), worker, profile);
        OutstandingAttempt { shared: shared.clone(), key, worker, finished: false }
    }

    pub(crate) fn worker(&self) -> WorkerKey {
        self.worker
    }

    /// Records the first byte of the response.
    pub(crate) fn first_byte(&self) {
        self.shared.router.borrow_mut().first_byte(self.shared.now(), self.key);
    }

    /// Records further bytes of the response.
    pub(crate) fn progress(&self) {
        self.shared.router.borrow_mut().progress(self.shared.now(), self.key);
    }

    /// Ends the attempt with an outcome.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        if !self.finished {
            self.finished = true;
            self.shared.router.borrow_mut().finished(self.shared.now(), self.key, outcome);
        }
    }
}

impl Drop for OutstandingAttempt {
    fn drop(&mut self) {
        self.end(AttemptOutcome::Cancelled);
    }
}
