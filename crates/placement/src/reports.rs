//! Reports: asking for them, and taking over what they say.

use crate::message::{Output, Resident, WorkerId};
use crate::planner::Planner;
use crate::worker::{Knowledge, WorkerKey};

/// Pause before asking again when a report shows an order still under way, in milliseconds.
const STILL_BUSY_PAUSE_MS: u64 = 200;
/// Pause before asking again when a report is older than what the planner knows, in milliseconds.
const STALE_PAUSE_MS: u64 = 150;
/// Time a report may take before it is asked for again, in milliseconds; doubled for each that didn't come.
const REPORT_TIMEOUT_MS: u64 = 500;
/// Greatest number of doublings, so that a silent worker is asked every 8 s.
const REPORT_DOUBLINGS: u32 = 4;

impl Planner {
    /// Asks a worker for its report, and arranges to ask again if none comes.
    pub(crate) fn ask_report(&mut self, now: u64, key: WorkerKey) {
        let worker = &mut self.workers[key];
        let again_at = now + (REPORT_TIMEOUT_MS << worker.asked.min(REPORT_DOUBLINGS));
        worker.asked += 1;
        self.outputs
            .push(Output::RequestReport { worker: worker.id.clone(), address: worker.address.clone() });
        self.wait_for_report(key, again_at);
        self.refresh(key);
    }

    /// Takes a report. One that is as new as all the planner knows, with no order under way, is the truth.
    pub(crate) fn take_report(
        &mut self,
        now: u64,
        id: &WorkerId,
        busy: bool,
        sequence: u64,
        models: &[Resident],
    ) {
        let Some(key) = self.by_id.get(id).copied() else { return };
        let worker = &mut self.workers[key];
        worker.asked = 0;
        let unanswered = worker.order.as_ref().is_some_and(|order| self.orders.contains_key(&order.id));
        if unanswered {
            return;
        }
        if sequence < worker.least_sequence {
            self.wait_for_report(key, now + STALE_PAUSE_MS);
            return;
        }
        if busy {
            self.wait_for_report(key, now + STILL_BUSY_PAUSE_MS);
            return;
        }
        worker.order = None;
        worker.least_sequence = sequence;
        worker.knowledge = Knowledge::Exact { sequence };
        worker.changed_at = now;
        worker.adopt(now, models, &mut self.catalogue, false);
        self.refresh(key);
        self.advance(now, key);
    }

    /// Sets when the report is asked for next, if the planner still waits for one.
    fn wait_for_report(&mut self, key: WorkerKey, ask_at: u64) {
        let worker = &mut self.workers[key];
        if let Some(order) = &mut worker.order {
            order.due = ask_at;
        } else if let Knowledge::Unknown { .. } = worker.knowledge {
            worker.knowledge = Knowledge::Unknown { ask_at };
        }
    }
}
