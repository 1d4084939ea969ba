//! A heap of what is due when.

use crate::interface::Millis;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What is due, earliest first; equal times in the order they were set.
#[derive(Debug)]
pub struct Timers<T: Ord> {
    heap: BinaryHeap<Reverse<(u64, u64, T)>>,
    set: u64,
}

impl<T: Ord> Default for Timers<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), set: 0 }
    }
}

fn micros(at: Millis) -> u64 {
    (at.max(0.0) * 1000.0).ceil() as u64
}

impl<T: Ord> Timers<T> {
    /// Sets one timer.
    pub fn push(&mut self, at: Millis, what: T) {
        self.set += 1;
        self.heap.push(Reverse((micros(at), self.set, what)));
    }

    /// The earliest time set for something that `matters`; what does not is dropped on the way.
    pub fn next_that(&mut self, mut matters: impl FnMut(&T) -> bool) -> Option<Millis> {
        while self.heap.peek().is_some_and(|Reverse((.., what))| !matters(what)) {
            self.heap.pop();
        }
        self.next_due()
    }

    /// The earliest time set.
    pub fn next_due(&self) -> Option<Millis> {
        self.heap.peek().map(|Reverse((at, ..))| *at as f64 / 1000.0)
    }

    /// Takes one timer that is due by `now`.
    pub fn pop(&mut self, now: Millis) -> Option<T> {
        let Reverse((at, ..)) = self.heap.peek()?;
        if *at as f64 / 1000.0 > now {
            return None;
        }
        self.heap.pop().map(|Reverse((.., what))| what)
    }
}
