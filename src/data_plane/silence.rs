//! Workers whose streams have all stalled, as detected by the router.

use std::cell::RefCell;
use std::collections::HashSet;
use switchhill_routing::WorkerKey;
use tokio::sync::Notify;

/// The currently stalled workers. Attempts can wait for a worker to stall.
#[derive(Debug, Default)]
pub(crate) struct StalledWorkers {
    workers: RefCell<HashSet<WorkerKey>>,
    changed: Notify,
}

impl StalledWorkers {
    /// Replaces the set and wakes the waiting attempts.
    pub(crate) fn replace(&self, workers: Vec<WorkerKey>) {
        let has_stalled = !workers.is_empty();
        *self.workers.borrow_mut() = workers.into_iter().collect();
        if has_stalled {
            self.changed.notify_waiters();
        }
    }

    /// Waits until the worker is stalled.
    pub(crate) async fn wait_for(&self, worker: WorkerKey) {
        loop {
            if self.workers.borrow().contains(&worker) {
                return;
            }
            self.changed.notified().await;
        }
    }
}
