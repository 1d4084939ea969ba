//! Counts of what is alive.

use std::cell::Cell;
use std::rc::Rc;

/// Counts one thing for as long as it lives.
#[derive(Debug)]
pub(crate) struct CountGuard {
    count: Rc<Cell<u32>>,
}

impl CountGuard {
    /// Counts one more.
    pub(crate) fn new(count: &Rc<Cell<u32>>) -> CountGuard {
        count.set(count.get() + 1);
        CountGuard { count: count.clone() }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
