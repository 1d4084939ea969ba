//! Workers whose streams have all stopped, as the router sees it.

use std::cell::RefCell;
use std::collections::HashSet;
use switchhill_routing::WorkerKey;
use tokio::sync::Notify;

/// The workers that are silent now, and who waits to hear of it.
#[derive(Debug, Default)]
pub(crate) struct StalledWorkers {
    workers: RefCell<HashSet<WorkerKey>>,
    changed: Notify,
}

impl StalledWorkers {
    /// Replaces the set.
    pub(crate) fn replace(&self, workers: Vec<WorkerKey>) {
        let has_stalled = !workers.is_empty();
        *self.workers.borrow_mut() = workers.into_iter().collect();
        if has_stalled {
            self.changed.notify_waiters();
        }
    }

    /// Waits until the worker is silent.
    pub(crate) async fn wait_for(&self, worker: WorkerKey) {
        loop {
            if self.workers.borrow().contains(&worker) {
                return;
            }
            self.changed.notified().await;
        }
    }
}
