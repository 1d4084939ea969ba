//! Run-time invariants, checked where they could be broken. Violations are logged and counted; tests fail if
//! there are any.

use std::cell::Cell;

/// Properties of the data plane that must hold for any input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Invariant {
    /// A request that was sent to a worker after the shutdown began is not aborted by the end of the process.
    DrainedRequestIsNotAborted,
    /// A request that a worker may have run is not refused with the promise that it has not run.
    NotRunReplyIsTrue,
}

/// Counter of violations.
#[derive(Debug, Default)]
pub(crate) struct Violations {
    count: Cell<u32>,
}

impl Violations {
    /// Counts and logs a violation.
    pub(crate) fn report(&self, invariant: Invariant, what: &str) {
        self.count.set(self.count.get() + 1);
        log::error!("invariant violated: {invariant:?}: {what}");
    }

    /// Number of violations so far.
    #[cfg(test)]
    pub(crate) fn count(&self) -> u32 {
        self.count.get()
    }
}
