//! Counter of live objects.

use std::cell::Cell;
use std::rc::Rc;

/// Increments a counter, and decrements it when dropped.
#[derive(Debug)]
pub(crate) struct CountGuard {
    count: Rc<Cell<u32>>,
}

impl CountGuard {
    /// Increments the counter.
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
