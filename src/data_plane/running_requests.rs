//! Requests that have been admitted and whose responses are not complete.

use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::time::Instant;

/// State of a running request.
#[derive(Debug, Clone)]
pub(crate) struct RunningRequest {
    /// Name of the request's route.
    pub(crate) route: String,
    /// `Request-Id` of the client, if it sent one.
    pub(crate) request_id: Option<HeaderValue>,
    /// When the request head was read.
    pub(crate) arrived_at: Instant,
    /// When the request was last sent to a worker, if it was.
    pub(crate) sent_at: Option<Instant>,
    /// Number of times it was sent to a worker that has not proved that it did not run the request.
    pub(crate) possible_runs: u32,
}

/// Table of all running requests of a data plane.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunningRequests {
    table: Rc<RefCell<BTreeMap<u64, RunningRequest>>>,
    last_key: Rc<Cell<u64>>,
}

/// Entry of a request in the table; dropping it removes the request.
#[derive(Debug)]
pub(crate) struct RunningEntry {
    requests: RunningRequests,
    key: u64,
}

impl RunningRequests {
    /// Adds a request that has not been sent to a worker yet.
    pub(crate) fn add(
        &self,
        route: &str,
        request_id: Option<HeaderValue>,
        arrived_at: Instant,
    ) -> RunningEntry {
        let key = self.last_key.get() + 1;
        self.last_key.set(key);
        let request = RunningRequest {
            route: route.to_owned(),
            request_id,
            arrived_at,
            sent_at: None,
            possible_runs: 0,
        };
        self.table.borrow_mut().insert(key, request);
        RunningEntry { requests: self.clone(), key }
    }

    /// Copies of all entries, in the order in which they were added.
    pub(crate) fn snapshot(&self) -> Vec<RunningRequest> {
        self.table.borrow().values().cloned().collect()
    }

    /// Number of running requests.
    pub(crate) fn count(&self) -> usize {
        self.table.borrow().len()
    }
}

impl RunningEntry {
    /// Records that the request is being sent to a worker.
    pub(crate) fn record_send(&self) {
        self.update(|request| {
            request.sent_at = Some(Instant::now());
            request.possible_runs += 1;
        });
    }

    /// Records proof that the worker to which the request was last sent did not run it.
    pub(crate) fn record_not_run(&self) {
        self.update(|request| request.possible_runs = request.possible_runs.saturating_sub(1));
    }

    /// Whether a worker may have run the request, or may still run it.
    pub(crate) fn may_have_run(&self) -> bool {
        self.requests.table.borrow().get(&self.key).is_some_and(|request| request.possible_runs > 0)
    }

    fn update(&self, change: impl FnOnce(&mut RunningRequest)) {
        if let Some(request) = self.requests.table.borrow_mut().get_mut(&self.key) {
            change(request);
        }
    }
}

impl Drop for RunningEntry {
    fn drop(&mut self) {
        self.requests.table.borrow_mut().remove(&self.key);
    }
}
