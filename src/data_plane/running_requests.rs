//! The requests that the data plane has read and not yet answered whole.

use hyper::header::HeaderValue;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What is known of a request that runs.
#[derive(Debug, Clone)]
pub(crate) struct RunningRequest {
    /// Name of its route.
    pub(crate) route: String,
    /// `Request-Id` of the client, if there is one.
    pub(crate) request_id: Option<HeaderValue>,
    /// Upper bound of the time from its arrival to its answer.
    pub(crate) time_needed: Duration,
    /// When its head was read.
    pub(crate) arrived: Instant,
    /// When it was last sent to a worker, if it was.
    pub(crate) sent: Option<Instant>,
}

/// All running requests of a data plane.
#[derive(Debug, Clone, Default)]
pub(crate) struct RunningRequests {
    table: Rc<RefCell<BTreeMap<u64, RunningRequest>>>,
    last_key: Rc<Cell<u64>>,
}

/// Keeps a request in the table for as long as it lives.
#[derive(Debug)]
pub(crate) struct RunningEntry {
    requests: RunningRequests,
    key: u64,
}

impl RunningRequests {
    /// Adds a request.
    pub(crate) fn add(&self, request: RunningRequest) -> RunningEntry {
        let key = self.last_key.get() + 1;
        self.last_key.set(key);
        self.table.borrow_mut().insert(key, request);
        RunningEntry { requests: self.clone(), key }
    }

    /// The longest time that any of them may need from its arrival to its answer.
    pub(crate) fn longest_time_needed(&self) -> Duration {
        let table = self.table.borrow();
        table.values().map(|request| request.time_needed).max().unwrap_or_default()
    }

    /// The requests as they stand, in the order in which they were added.
    pub(crate) fn all(&self) -> Vec<RunningRequest> {
        self.table.borrow().values().cloned().collect()
    }
}

impl RunningEntry {
    /// Notes that the request is being sent to a worker.
    pub(crate) fn sent(&self) {
        if let Some(request) = self.requests.table.borrow_mut().get_mut(&self.key) {
            request.sent = Some(Instant::now());
        }
    }
}

impl Drop for RunningEntry {
    fn drop(&mut self) {
        self.requests.table.borrow_mut().remove(&self.key);
    }
}
