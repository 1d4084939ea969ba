//! Counts of what is alive.

use std::cell::Cell;
use std::rc::Rc;

/// Counts one thing for as long as it lives.
#[derive(Debug)]
pub(crate) struct Counted {
    count: Rc<Cell<u32>>,
}

impl Counted {
    /// Counts one more.
    pub(crate) fn one_more(count: &Rc<Cell<u32>>) -> Counted {
        count.set(count.get() + 1);
        Counted { count: count.clone() }
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
