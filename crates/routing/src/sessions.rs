//! Which worker served a session last.

use std::collections::HashMap;

use crate::worker::WorkerKey;

/// Bounded map from session to worker, in two generations: when the young one is full it becomes the old
/// one, and what the old one held is forgotten.
#[derive(Debug)]
pub(crate) struct SessionMemory {
    young: HashMap<u64, WorkerKey>,
    old: HashMap<u64, WorkerKey>,
    generation_size: usize,
}

impl SessionMemory {
    /// Remembers up to `capacity` sessions.
    pub fn new(capacity: usize) -> Self {
        let generation_size = (capacity / 2).max(1);
        SessionMemory { young: HashMap::new(), old: HashMap::new(), generation_size }
    }

    /// Worker of the session, if it is remembered.
    pub fn worker(&self, session: u64) -> Option<WorkerKey> {
        self.young.get(&session).or_else(|| self.old.get(&session)).copied()
    }

    /// Notes where the session's newest request went.
    pub fn note(&mut self, session: u64, worker: WorkerKey) {
        if self.young.len() >= self.generation_size && !self.young.contains_key(&session) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(session, worker);
    }
}
