//! Reports: asking for them, and taking over what they say.

use crate::message::{Output, Resident, WorkerId};
use crate::planner::Planner;
use crate::worker::{RecordState, WorkerKey};

/// Pause before asking again when a report shows an order still under way, in milliseconds.
const STILL_BUSY_RETRY_MS: u64 = 200;
/// Pause before asking again when a report is older than what the planner knows, in milliseconds.
const STALE_REPORT_RETRY_MS: u64 = 150;
/// Time a report may take before it is asked for again, in milliseconds; doubled for each that didn't come.
const REPORT_TIMEOUT_MS: u64 = 500;
/// Greatest number of doublings, so that a silent worker is asked every 8 s.
const MAX_REPORT_TIMEOUT_DOUBLINGS: u32 = 4;

impl Planner {
    /// Asks a worker for its report, and arranges to ask again if none comes.
    pub(crate) fn request_report(&mut self, now: u64, key: WorkerKey) {
        let worker = &mut self.workers[key];
        let again_at = now + (REPORT_TIMEOUT_MS << worker.report_requests.min(MAX_REPORT_TIMEOUT_DOUBLINGS));
        worker.report_requests += 1;
        self.outputs
            .push(Output::RequestReport { worker: worker.id.clone(), address: worker.address.clone() });
        self.schedule_report_request(key, again_at);
        self.update_and_announce(key);
    }

    /// Takes a report. One that is as new as all the planner knows, with no order under way, is the truth.
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
        worker.replace_record(now, models, &mut self.catalogue, false);
        self.update_and_announce(key);
        self.advance(now, key);
    }

    /// Sets when the report is asked for next, if the planner still waits for one.
    fn schedule_report_request(&mut self, key: WorkerKey, request_at: u64) {
        let worker = &mut self.workers[key];
        if let Some(order) = &mut worker.order {
            order.due = request_at;
        } else if let RecordState::Unconfirmed { .. } = worker.record_state {
            worker.record_state = RecordState::Unconfirmed { request_at };
        }
    }
}
