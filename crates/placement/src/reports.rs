//! Requests for worker reports, and handling of the reports.

use crate::message::{Output, Resident, WorkerId};
use crate::planner::Planner;
use crate::worker::{RecordState, WorkerKey};

/// Delay before the next request when a report shows that an order is still in progress, in milliseconds.
const STILL_BUSY_RETRY_MS: u64 = 200;
/// Delay before the next request when a report is older than the planner's record, in milliseconds.
const STALE_REPORT_RETRY_MS: u64 = 150;
/// Timeout of a report request, in milliseconds; doubled for each unanswered request.
const REPORT_TIMEOUT_MS: u64 = 500;
/// Maximum number of doublings, so that requests to an unresponsive worker are 8 s apart.
const MAX_REPORT_TIMEOUT_DOUBLINGS: u32 = 4;

impl Planner {
    /// Requests a worker's report, and schedules the next request in case it does not arrive.
    pub(crate) fn request_report(&mut self, now: u64, key: WorkerKey) {
        let worker = &mut self.workers[key];
        let retry_at = now + (REPORT_TIMEOUT_MS << worker.report_requests.min(MAX_REPORT_TIMEOUT_DOUBLINGS));
        worker.report_requests += 1;
        self.outputs
            .push(Output::RequestReport { worker: worker.id.clone(), address: worker.address.clone() });
        self.schedule_report_request(key, retry_at);
        self.update_and_announce(key);
    }

    /// Handles a report. The record is replaced if the report covers every order that the planner knows of and no order
    /// is in progress.
    pub(crate) fn handle_report(
        &mut self,
        now: u64,
        id: &WorkerId,
        busy: bool,
        sequence: u64,
        models: &[Resident],
    ) {
        let Some(key) = self.by_id.get(id).copied() else { return };
        let worker = &mut self.workers[key];
        worker.report_requests = 0;
        let unanswered = worker.order.as_ref().is_some_and(|order| self.orders.contains_key(&order.id));
        if unanswered {
            return;
        }
        if sequence < worker.min_sequence {
            self.schedule_report_request(key, now + STALE_REPORT_RETRY_MS);
            return;
        }
        if busy {
            self.schedule_report_request(key, now + STILL_BUSY_RETRY_MS);
            return;
        }
        worker.order = None;
        worker.min_sequence = sequence;
        worker.record_state = RecordState::Confirmed { sequence };
        worker.changed_at = now;
        worker.replace_model_records(now, models, &mut self.catalogue, false);
        self.update_and_announce(key);
        self.advance(now, key);
    }

    /// Schedules the next report request, if the planner still waits for a report.
    fn schedule_report_request(&mut self, key: WorkerKey, request_at: u64) {
        let worker = &mut self.workers[key];
        if let Some(order) = &mut worker.order {
            order.due = request_at;
        } else if let RecordState::Unconfirmed { .. } = worker.record_state {
            worker.record_state = RecordState::Unconfirmed { request_at };
        }
    }
}
