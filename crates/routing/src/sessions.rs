//! Session affinity: which worker last served a session.

use std::collections::HashMap;

use crate::worker::WorkerKey;

/// Bounded map from session to worker, kept in two generations: when the current one is full it becomes the previous
/// one, whose entries are dropped.
#[derive(Debug)]
pub(crate) struct SessionAffinity {
    current: HashMap<u64, WorkerKey>,
    previous: HashMap<u64, WorkerKey>,
    generation_size: usize,
}

impl SessionAffinity {
    /// Creates a map of up to `capacity` sessions.
    pub fn new(capacity: usize) -> Self {
        let generation_size = (capacity / 2).max(1);
        SessionAffinity { current: HashMap::new(), previous: HashMap::new(), generation_size }
    }

    /// Worker of the session, if it is remembered.
    pub fn worker(&self, session: u64) -> Option<WorkerKey> {
        self.current.get(&session).or_else(|| self.previous.get(&session)).copied()
    }

    /// Records the worker of the session's newest request.
    pub fn record(&mut self, session: u64, worker: WorkerKey) {
        if self.current.len() >= self.generation_size && !self.current.contains_key(&session) {
            self.previous = std::mem::take(&mut self.current);
        }
        self.current.insert(session, worker);
    }
}
