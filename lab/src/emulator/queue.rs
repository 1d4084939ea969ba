//! Events in the order of virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Events by time; those of one time in the order in which they were added.
#[derive(Debug)]
pub struct EventQueue<E> {
    order: BinaryHeap<Reverse<(u64, u64)>>,
    events: BTreeMap<u64, E>,
    added: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue { order: BinaryHeap::new(), events: BTreeMap::new(), added: 0 }
    }
}

impl<E> EventQueue<E> {
    /// Adds an event at a time in milliseconds.
    pub fn add(&mut self, at: u64, event: E) {
        self.added += 1;
        self.order.push(Reverse((at, self.added)));
        self.events.insert(self.added, event);
    }

    /// Takes out the next event.
    pub fn take_next(&mut self) -> Option<(u64, E)> {
        let Reverse((at, number)) = self.order.pop()?;
        self.events.remove(&number).map(|event| (at, event))
    }
}
