//! Reports to the agent about workers that this gatekeeper cannot reach.

use super::exchange::Exchange;
use super::feedback::Feedback;
use super::policy;
use super::pool::{LeaseError, LeaseLimits};
use super::shared::Shared;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use switchhill_routing::WorkerKey;

/// Time of the last report for each worker; limits the rate of reports.
#[derive(Debug, Default)]
pub(crate) struct ReachabilityReports {
    last: RefCell<HashMap<String, u64>>,
}

impl ReachabilityReports {
    /// Starts a report about the worker unless one was made within the interval. Returns whether to send it.
    fn start_report(&self, now: u64, worker: &str) -> bool {
        let mut last = self.last.borrow_mut();
        last.retain(|_, at| now.saturating_sub(*at) < policy::UNREACHABLE_REPORT_INTERVAL_MS);
        if last.contains_key(worker) {
            return false;
        }
        last.insert(worker.to_owned(), now);
        true
    }
}

impl Shared {
    /// Reports to the agent that no connection to the worker could be established, unless it was reported
    /// recently.
    pub(crate) fn report_unreachable(&self, worker: &str, reason: LeaseError) {
        let refused = match reason {
            LeaseError::Refused => true,
            LeaseError::ConnectFailed => false,
            LeaseError::PoolExhausted => return,
        };
        if self.reachability.start_report(self.now(), worker) {
            self.send_feedback(Feedback::Unreachable { worker: worker.to_owned(), refused });
        }
    }
}

impl Exchange {
    /// Probes a worker after one of its connections has failed. The probe runs in its own task and does not
    /// delay the request.
    pub(crate) fn probe_worker(&self, worker: WorkerKey) {
        let address = self.worker_address(worker);
        let Some((id, address)) = address else { return };
        let limits = self.lease_limits();
        let shared = self.shared.clone();
        tokio::task::spawn_local(probe(shared, id, address, limits));
    }
}

async fn probe(shared: Rc<Shared>, id: String, address: String, limits: LeaseLimits) {
    if let Err(reason) = shared.pool.probe(&id, &address, limits).await {
        shared.report_unreachable(&id, reason);
    }
}
