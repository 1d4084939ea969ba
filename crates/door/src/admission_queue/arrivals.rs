//! Arrivals: admission, queueing or refusal.

use super::throughput::NEWCOMER_INTERVAL;
use super::AdmissionQueue;
use crate::client_info::{ClientInfo, RefusalCause};
use crate::message::{Action, Admission, Arrival};
use crate::queue::{QueuedStream, HORIZON};
use crate::Millis;

/// Contention is assumed to last for this long after a stream was last queued. Meanwhile admitted streams are
/// charged to their subscribers.
pub(super) const CONTENTION_PERIOD: Millis = 1000.0;
/// Safety factor on the estimated wait. A stream that is queued and then refused has lost its queueing time.
const WAIT_ESTIMATE_MARGIN: f64 = 1.2;

impl AdmissionQueue {
    /// Decides about a stream that has arrived.
    pub fn on_arrival(&mut self, now: Millis, arrival: &Arrival<'_>) -> Admission {
        let client = ClientInfo::from(arrival);
        let appointment = self.redeem_appointment(now, arrival, client);
        let has_room = self.limit.has_room(self.in_flight) && self.queue.len() == 0;
        if has_room && now >= self.contended_until {
            self.counters.met += u64::from(appointment.is_some());
            return self.admit(arrival.plan);
        }
        self.roll_rate_window(now);
        self.heavy_hitters.record(arrival.subscriber);
        let flow = self.flow(arrival.subscriber);
        let start = self.tags.finish(flow).max(self.virtual_time);
        let unit_cost = self.unit_cost(arrival.plan);
        self.active_weight.record(now, flow, 1.0 / unit_cost);
        let cost = unit_cost * if arrival.units > 0.0 { arrival.units } else { 1.0 };
        if has_room {
            self.counters.met += u64::from(appointment.is_some());
            self.tags.raise(flow, start + cost);
            self.advance_virtual_time(start);
            return self.admit(arrival.plan);
        }
        self.contended_until = now + CONTENTION_PERIOD;
        let max_wait =
            (arrival.client_timeout.min(arrival.latency_target) / 4.0).min(self.settings.max_queue_time);
        let entry = QueuedStream {
            stream: arrival.stream,
            arrived: now,
            deadline: now + max_wait,
            start,
            subscriber: arrival.subscriber,
            class: arrival.class as u16,
            plan: arrival.plan as u16,
            // For a late client the appointment counts from its arrival.
            appointment: appointment.map_or(0.0, |due| due.max(now)),
            whole_seconds: arrival.whole_seconds,
            bytes: arrival.bytes.min(u32::MAX as usize) as u32,
        };
        let rate = self.dispatch_rate(now);
        let over_byte_limit = self.queue.bytes() + arrival.bytes > self.settings.max_queued_bytes;
        if appointment.is_some() {
            let in_time = self.queue.appointments() as f64 / rate <= max_wait;
            if in_time && !arrival.resources_low && !over_byte_limit && self.make_room(now, f64::NEG_INFINITY)
            {
                self.counters.held += 1;
                // A client with an appointment is served first and charged like any other.
                self.tags.raise(flow, start + cost);
                self.queue.push(entry, true);
                return Admission::Queued;
            }
            self.counters.missed += 1;
        }
        let entry = QueuedStream { appointment: 0.0, ..entry };
        let requests_ahead = (start - self.virtual_time) / cost;
        let cause = if arrival.resources_low || over_byte_limit {
            RefusalCause::LowResources
        } else if requests_ahead >= self.settings.max_queued_per_subscriber
            || start - self.virtual_time + cost > HORIZON
        {
            RefusalCause::SubscriberLimit
        } else if WAIT_ESTIMATE_MARGIN * self.queue.streams_ahead(start) as f64
            / self.newcomer_rate(now, max_wait)
            > max_wait
        {
            RefusalCause::ExpectedWait
        } else if !self.make_room(now, start) {
            RefusalCause::QueueFull
        } else {
            self.tags.raise(flow, start + cost);
            self.queue.push(entry, false);
            self.counters.held += 1;
            return Admission::Queued;
        };
        Admission::Refused(self.refuse(now, client, start, cost, cause))
    }

    fn admit(&mut self, plan: usize) -> Admission {
        self.counters.passed += 1;
        self.record_dispatch(plan, 0.0);
        Admission::Admitted
    }

    /// Ensures that a stream with start tag `start` can be queued, by evicting a stream of a longer flow if
    /// the queue is full. Returns false if there is none to evict.
    fn make_room(&mut self, now: Millis, start: f64) -> bool {
        if !self.queue.is_full() {
            return true;
        }
        // The highest start tag marks the tail of the flow with the longest backlog relative to its weight.
        let Some(evicted) = self.queue.highest_tag().filter(|tail| tail.start > start).copied() else {
            return false;
        };
        self.queue.remove(evicted.stream);
        let refusal = self.refuse(
            now,
            (&evicted).into(),
            evicted.start,
            self.unit_cost(evicted.plan.into()),
            RefusalCause::QueueFull,
        );
        self.evicted.push(Action::Refuse(evicted.stream, refusal));
        true
    }

    /// Dispatch rate, in streams per millisecond, left for streams without an appointment within the next
    /// `within` milliseconds.
    fn newcomer_rate(&self, now: Millis, within: Millis) -> f64 {
        let rate = self.dispatch_rate(now);
        let reserved = self.slot_table.reserved_within(now, within) / within.max(1.0);
        (rate - reserved).max(rate / f64::from(NEWCOMER_INTERVAL))
    }
}
