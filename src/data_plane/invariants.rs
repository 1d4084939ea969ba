//! What must hold at run time, checked where it could be broken. A violation is logged and counted; tests end with none.

use std::cell::Cell;

/// Statements about the data plane that no input may make untrue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Invariant {
    /// No request that was sent to a worker after the process was told to end is cut by that end.
    DrainedRequestIsNotAborted,
    /// No request is refused with a promise that it has not run once a worker may have run it.
    NotRunReplyIsTrue,
}

/// Violations counted so far.
#[derive(Debug, Default)]
pub(crate) struct Violations {
    count: Cell<u32>,
}

impl Violations {
    /// Counts a violation and logs what happened.
    pub(crate) fn report(&self, invariant: Invariant, what: &str) {
        self.count.set(self.count.get() + 1);
        log::error!("invariant violated: {invariant:?}: {what}");
    }

    /// Violations so far.
    #[cfg(test)]
    pub(crate) fn count(&self) -> u32 {
        self.count.get()
    }
}
