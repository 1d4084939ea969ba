//! Appointments: given to those refused, kept by those who come back.

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
    /// The appointment that an arrival keeps: when it was.
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
        // An appointment known by its subscriber must not be kept a second time by its ticket.
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

    /// The name that a client's appointments go by.
    fn appointment_flow(&self, client: ClientInfo) -> Flow {
        self.tags.flow(client.subscriber, 1 + client.class as u64)
    }

    /// Words a refusal: an appointment, no sooner than the subscriber's turn, if the book has room.
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
        // One that asks ten times would be given ten of the next places. What it has booked counts like
        // what it has used, in tags of their own: an appointment that is not kept costs it nothing in the queue.
        let flow = self.flow(client.subscriber);
        let next_tag = self.booked_tags.finish(flow).max(start);
        let earliest = now + self.time_until_tag(now, next_tag);
        // Few come back for a turn that is further away than they wait for an answer, and who does not come would
        // only put its own next turn off.
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
            // Nobody is promised anything, and still they must not all come at once: the golden ratio spreads
            // whatever comes one after the other evenly over the last quarter.
            let spread = (self.refusal_count as f64 * 0.618_033_988_749_895).fract();
            let retry_after = self.settings.max_retry_after * (0.75 + 0.25 * spread);
            return Refusal { retry_after, ticket: None };
        };
        // Whole milliseconds, as the answer tells them.
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

    /// The decisions behind the door have refused a stream for want of room: what its client is told.
    pub fn refuse_after_dispatch(&mut self, now: Millis, arrival: &Arrival<'_>) -> Refusal {
        self.refuse_arrival(now, arrival, RefusalCause::AfterDispatch)
    }

    /// The caller has no descriptor or memory for a stream: what its client is told.
    pub fn refuse_low_resources(&mut self, now: Millis, arrival: &Arrival<'_>) -> Refusal {
        self.refuse_arrival(now, arrival, RefusalCause::LowResources)
    }

    fn refuse_arrival(&mut self, now: Millis, arrival: &Arrival<'_>, cause: RefusalCause) -> Refusal {
        self.roll_rate_window(now);
        let start = self.tags.finish(self.flow(arrival.subscriber)).max(self.virtual_time);
        self.refuse(now, arrival.into(), start, self.unit_cost(arrival.plan), cause)
    }
}
