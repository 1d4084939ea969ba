//! Appointments: times reserved for refused clients to retry, and their redemption.

use super::throughput::MIN_RETRY_AFTER;
use super::AdmissionQueue;
use crate::client_info::{ClientInfo, RefusalCause};
use crate::finish_tags::Flow;
use crate::message::{Arrival, Refusal};
use crate::queue::HORIZON;
use crate::reservations;
use crate::ticket::{Ticket, TicketError};
use crate::Millis;

impl AdmissionQueue {
    /// Redeems the appointment that an arrival comes for and returns the time it was for.
    pub(super) fn redeem_appointment(
        &mut self,
        now: Millis,
        arrival: &Arrival<'_>,
        client: ClientInfo,
    ) -> Option<Millis> {
        if let Some(text) = arrival.ticket.filter(|_| self.keys.can_sign()) {
            match self.redeem_ticket(now, text, client) {
                Ok(due) => {
                    self.counters.tickets_kept += 1;
                    self.counters.kept += 1;
                    return Some(due);
                }
                Err(error) => {
                    *match error {
                        TicketError::Malformed => &mut self.counters.tickets_malformed,
                        TicketError::Forged => &mut self.counters.tickets_forged,
                        TicketError::Untimely => &mut self.counters.tickets_untimely,
                        TicketError::Foreign => &mut self.counters.tickets_foreign,
                        TicketError::Replayed => &mut self.counters.tickets_replayed,
                        TicketError::ReplayCacheFull => &mut self.counters.tickets_no_room,
                    } += 1;
                }
            }
        }
        if self.counters.appointments == 0 {
            return None;
        }
        let flow = self.appointment_flow(client);
        let (due, number) = self.pending_appointments.claim(now, flow)?;
        // An appointment claimed through the subscriber's identity must not be redeemed again through its
        // ticket.
        if self.keys.can_sign() && self.replay_cache.insert(now, number).is_err() {
            return None;
        }
        self.counters.kept += 1;
        Some(due)
    }

    fn redeem_ticket(&mut self, now: Millis, text: &[u8], client: ClientInfo) -> Result<Millis, TicketError> {
        let ticket = self.keys.verify(text)?;
        if ticket.subscriber != client.subscriber || usize::from(ticket.class) != client.class {
            return Err(TicketError::Foreign);
        }
        let due = ticket.due as f64;
        if !reservations::is_in_time(now, due, self.settings.appointment_grace) {
            return Err(TicketError::Untimely);
        }
        self.replay_cache.insert(now, ticket.number)?;
        let flow = self.appointment_flow(client);
        self.pending_appointments.remove(flow, ticket.number);
        Ok(due)
    }

    pub(super) fn record_punctuality(&mut self, now: Millis, due: Millis) {
        if now - due <= 500.0 {
            self.counters.met += 1;
        } else {
            self.counters.missed += 1;
        }
    }

    /// The flow that identifies a client's appointments.
    fn appointment_flow(&self, client: ClientInfo) -> Flow {
        self.tags.flow(client.subscriber, 1 + client.class as u64)
    }

    /// Builds the advice for a refused client: an appointment no earlier than the subscriber's fair turn, if
    /// the slot table has capacity.
    pub(super) fn refuse(
        &mut self,
        now: Millis,
        client: ClientInfo,
        start: f64,
        cost: f64,
        cause: RefusalCause,
    ) -> Refusal {
        *match cause {
            RefusalCause::SubscriberLimit => &mut self.counters.refused_subscriber,
            RefusalCause::ExpectedWait => &mut self.counters.refused_wait,
            RefusalCause::QueueFull => &mut self.counters.refused_room,
            RefusalCause::LowResources => &mut self.counters.refused_scarce,
            RefusalCause::QueueTimeout => &mut self.counters.refused_overdue,
            RefusalCause::AfterDispatch => &mut self.counters.refused_behind,
        } += 1;
        let rate = self.dispatch_rate(now) * self.settings.appointment_share;
        let until = now + self.settings.max_retry_after;
        let step = client.whole_seconds.then_some(1000.0);
        self.refusal_count += 1;
        // Without this, a subscriber that sends ten requests would reserve ten of the next slots. Reserved
        // capacity is charged like used capacity, but in separate tags, so that a missed appointment costs
        // the subscriber nothing in the queue.
        let flow = self.flow(client.subscriber);
        let next_tag = self.booked_tags.finish(flow).max(start);
        let earliest = now + self.time_until_tag(now, next_tag);
        // Few clients return for a turn that is later than their own timeout, and a reservation that is not
        // redeemed would only postpone the subscriber's next turn.
        let booking_limit_reached = next_tag - self.virtual_time
            >= (self.settings.max_queued_per_subscriber * cost).min(HORIZON)
            || (next_tag > start && earliest - now > client.client_timeout);
        let reserved = if booking_limit_reached {
            None
        } else {
            self.slot_table.reserve(now, earliest, until, rate, step)
        };
        let Some(due) = reserved else {
            if booking_limit_reached {
                self.counters.booked_enough += 1;
                let min_retry_after = if client.whole_seconds { 1000.0 } else { MIN_RETRY_AFTER };
                let retry_after = (earliest - now).clamp(min_retry_after, self.settings.max_retry_after);
                return Refusal { retry_after, ticket: None };
            }
            self.counters.book_full += 1;
            // No time is reserved here, and the retries still must not arrive together: multiples of the
            // golden ratio spread consecutive refusals evenly over the last quarter of the interval.
            let spread = (self.refusal_count as f64 * 0.618_033_988_749_895).fract();
            let retry_after = self.settings.max_retry_after * (0.75 + 0.25 * spread);
            return Refusal { retry_after, ticket: None };
        };
        // The response carries the time in whole milliseconds.
        let due = due.ceil();
        self.counters.appointments += 1;
        self.booked_tags.raise(flow, next_tag + cost);
        let flow = self.appointment_flow(client);
        let number = self.tags.flow(self.refusal_count, u64::MAX).id();
        if !self.pending_appointments.insert(now, flow, due, number) {
            self.counters.appointments_unnoted += 1;
        }
        let ticket =
            Ticket { class: client.class as u16, due: due as u64, subscriber: client.subscriber, number };
        Refusal { retry_after: due - now, ticket: self.keys.sign(ticket) }
    }

    /// Returns the advice for a client whose stream the routing core refused for lack of capacity after
    /// dispatch.
    pub fn refuse_after_dispatch(&mut self, now: Millis, arrival: &Arrival<'_>) -> Refusal {
        self.refuse_arrival(now, arrival, RefusalCause::AfterDispatch)
    }

    /// Returns the advice for a client whose stream the caller cannot accept for lack of descriptors or
    /// memory.
    pub fn refuse_low_resources(&mut self, now: Millis, arrival: &Arrival<'_>) -> Refusal {
        self.refuse_arrival(now, arrival, RefusalCause::LowResources)
    }

    fn refuse_arrival(&mut self, now: Millis, arrival: &Arrival<'_>, cause: RefusalCause) -> Refusal {
        self.roll_rate_window(now);
        let start = self.tags.finish(self.flow(arrival.subscriber)).max(self.virtual_time);
        self.refuse(now, arrival.into(), start, self.unit_cost(arrival.plan), cause)
    }
}
