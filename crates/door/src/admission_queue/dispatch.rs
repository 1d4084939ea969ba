//! Dispatch of queued streams, their expiry, and completion.

use super::arrivals::CONTENTION_PERIOD;
use super::throughput::NEWCOMER_INTERVAL;
use super::AdmissionQueue;
use crate::client_info::RefusalCause;
use crate::concurrency_limit::Outcome;
use crate::message::Action;
use crate::queue::QueuedStream;
use crate::Millis;

/// Weight of one sample in the smoothed service time.
const SERVICE_TIME_GAIN: f64 = 0.02;

impl AdmissionQueue {
    /// Accounts for a stream that goes into flight after `waited` milliseconds in the queue.
    pub(super) fn record_dispatch(&mut self, plan: usize, waited: Millis) {
        self.in_flight += 1;
        self.limit.on_dispatch(self.in_flight);
        self.window.dispatched += 1;
        if let Some(sojourn) = self.sojourn.get_mut(plan) {
            sojourn.saturating_record((waited * 10.0) as u64);
        }
    }

    /// Records that a dispatched stream has completed, `took` milliseconds after its dispatch.
    pub fn on_completion(&mut self, now: Millis, class: usize, took: Millis, outcome: Outcome) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if outcome == Outcome::Success {
            self.service_time.update(now, took, SERVICE_TIME_GAIN);
            // `SmoothedRate` treats a value of 0 as no measurement.
            self.service_time.value = self.service_time.value.max(0.1);
        }
        self.limit.on_completion(now, class, took, outcome);
    }

    /// Removes a stream whose client has disconnected. Returns true if it was queued; otherwise the caller
    /// must report its completion.
    pub fn cancel(&mut self, stream: u64) -> bool {
        let Some(entry) = self.queue.remove(stream) else { return false };
        self.counters.left += 1;
        self.counters.missed += u64::from(entry.appointment > 0.0);
        true
    }

    /// The latest time at which [`AdmissionQueue::poll`] must be called.
    #[must_use]
    pub fn next_poll_at(&self) -> Option<Millis> {
        if !self.evicted.is_empty() || (self.queue.len() > 0 && self.limit.has_room(self.in_flight)) {
            return Some(0.0);
        }
        self.queue.next_deadline()
    }

    /// Dispatches queued streams up to the concurrency limit and refuses those whose deadline has passed.
    pub fn poll(&mut self, now: Millis, actions: &mut Vec<Action>) {
        actions.append(&mut self.evicted);
        if self.queue.len() == 0 {
            return;
        }
        self.roll_rate_window(now);
        while let Some(entry) = self.queue.pop_expired(now) {
            self.counters.missed += u64::from(entry.appointment > 0.0);
            let refusal = self.refuse(
                now,
                (&entry).into(),
                entry.start,
                self.unit_cost(entry.plan.into()),
                RefusalCause::QueueTimeout,
            );
            actions.push(Action::Refuse(entry.stream, refusal));
        }
        while self.limit.has_room(self.in_flight) {
            let Some(entry) = self.pop_next() else { break };
            self.counters.handed_on += 1;
            if entry.appointment > 0.0 {
                self.record_punctuality(now, entry.appointment);
            }
            let waited = now - entry.arrived;
            self.record_dispatch(entry.plan.into(), waited);
            actions.push(Action::Dispatch(entry.stream, waited));
        }
        if self.queue.len() > 0 {
            self.contended_until = now + CONTENTION_PERIOD;
        }
    }

    fn pop_next(&mut self) -> Option<QueuedStream> {
        let newcomers_waiting = self.queue.len() > self.queue.appointments();
        self.interval_position = (self.interval_position + 1) % NEWCOMER_INTERVAL;
        if self.interval_position != 0 || !newcomers_waiting {
            if let Some(entry) = self.queue.pop_appointment() {
                self.advance_virtual_time(f64::NEG_INFINITY);
                return Some(entry);
            }
        }
        let entry = self.queue.pop_lowest_tag()?;
        self.advance_virtual_time(entry.start);
        Some(entry)
    }
}
