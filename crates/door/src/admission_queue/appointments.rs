//! Appointments: given to those refused, kept by those who come back.

use super::throughput::SOONEST;
use super::AdmissionQueue;
use crate::finish_tags::Flow;
use crate::message::{Arrival, Refusal};
use crate::queue::HORIZON;
use crate::refused_client::{Cause, Client};
use crate::reservations;
use crate::ticket::{Ticket, Void};
use crate::Millis;

impl AdmissionQueue {
    /// The appointment that an arrival keeps: when it was.
    pub(super) fn keeps(&mut self, now: Millis, arrival: &Arrival<'_>, client: Client) -> Option<Millis> {
        if let Some(text) = arrival.ticket.filter(|_| self.keys.can_sign()) {
            match self.honour(now, text, client) {
                Ok(due) => {
                    self.figures.tickets_kept += 1;
                    self.figures.kept += 1;
                    return Some(due);
                }
                Err(void) => {
                    *match void {
                        Void::Malformed => &mut self.figures.tickets_malformed,
                        Void::Forged => &mut self.figures.tickets_forged,
                        Void::Untimely => &mut self.figures.tickets_untimely,
                        Void::Foreign => &mut self.figures.tickets_foreign,
                        Void::Replayed => &mut self.figures.tickets_replayed,
                        Void::NoRoom => &mut self.figures.tickets_no_room,
                    } += 1;
                }
            }
        }
        if self.figures.appointments == 0 {
            return None;
        }
        let flow = self.appointments_of(client);
        let (due, number) = self.told.keep(now, flow)?;
        // An appointment known by its subscriber must not be kept a second time by its ticket.
        if self.keys.can_sign() && self.used.note(now, number).is_err() {
            return None;
        }
        self.figures.kept += 1;
        Some(due)
    }

    fn honour(&mut self, now: Millis, text: &[u8], client: Client) -> Result<Millis, Void> {
        let ticket = self.keys.verify(text)?;
        if ticket.subscriber != client.subscriber || usize::from(ticket.class) != client.class {
            return Err(Void::Foreign);
        }
        let due = ticket.due as f64;
        if !reservations::in_time(now, due, self.set.appointment_grace) {
            return Err(Void::Untimely);
        }
        self.used.note(now, ticket.number)?;
        let flow = self.appointments_of(client);
        self.told.strike(flow, ticket.number);
        Ok(due)
    }

    pub(super) fn meet(&mut self, now: Millis, due: Millis) {
        if now - due <= 500.0 {
            self.figures.met += 1;
        } else {
            self.figures.missed += 1;
        }
    }

    /// The name that a client's appointments go by.
    fn appointments_of(&self, client: Client) -> Flow {
        self.tags.flow(client.subscriber, 1 + client.class as u64)
    }

    /// Words a refusal: an appointment, no sooner than the subscriber's turn, if the book has room.
    pub(super) fn refuse(
        &mut self,
        now: Millis,
        client: Client,
        start: f64,
        cost: f64,
        cause: Cause,
    ) -> Refusal {
        *match cause {
            Cause::Subscriber => &mut self.figures.refused_subscriber,
            Cause::Wait => &mut self.figures.refused_wait,
            Cause::Room => &mut self.figures.refused_room,
            Cause::Scarce => &mut self.figures.refused_scarce,
            Cause::Overdue => &mut self.figures.refused_overdue,
            Cause::Behind => &mut self.figures.refused_behind,
        } += 1;
        let rate = self.passes(now) * self.set.appointment_share;
        let until = now + self.set.max_retry_after;
        let step = client.whole_seconds.then_some(1000.0);
        self.numbers += 1;
        // One that asks ten times would be given ten of the next places. What it has booked counts like
        // what it has used, in tags of their own: an appointment that is not kept costs it nothing in the queue.
        let flow = self.flow(client.subscriber);
        let turn = self.booked.finish(flow).max(start);
        let from = now + self.until_its_turn(now, turn);
        // Few come back for a turn that is further away than they wait for an answer, and who does not come would
        // only put its own next turn off.
        let enough = turn - self.virtual_time >= (self.set.max_queued_per_subscriber * cost).min(HORIZON)
            || (turn > start && from - now > client.client_timeout);
        let place = if enough { None } else { self.book.take(now, from, until, rate, step) };
        let Some(due) = place else {
            if enough {
                self.figures.booked_enough += 1;
                let least = if client.whole_seconds { 1000.0 } else { SOONEST };
                let retry_after = (from - now).clamp(least, self.set.max_retry_after);
                return Refusal { retry_after, ticket: None };
            }
            self.figures.book_full += 1;
            // Nobody is promised anything, and still they must not all come at once: the golden ratio spreads
            // whatever comes one after the other evenly over the last quarter.
            let spread = (self.numbers as f64 * 0.618_033_988_749_895).fract();
            let retry_after = self.set.max_retry_after * (0.75 + 0.25 * spread);
            return Refusal { retry_after, ticket: None };
        };
        // Whole milliseconds, as the answer tells them.
        let due = due.ceil();
        self.figures.appointments += 1;
        self.booked.raise(flow, turn + cost);
        let flow = self.appointments_of(client);
        let number = self.tags.flow(self.numbers, u64::MAX).name();
        if !self.told.note(now, flow, due, number) {
            self.figures.appointments_unnoted += 1;
        }
        let ticket =
            Ticket { class: client.class as u16, due: due as u64, subscriber: client.subscriber, number };
        Refusal { retry_after: due - now, ticket: self.keys.sign(ticket) }
    }

    /// The decisions behind the door have refused a stream for want of room: what its client is told.
    pub fn refuse_after_dispatch(&mut self, now: Millis, arrival: &Arrival<'_>) -> Refusal {
        self.refused(now, arrival, Cause::Behind)
    }

    /// The caller has no descriptor or memory for a stream: what its client is told.
    pub fn refuse_low_resources(&mut self, now: Millis, arrival: &Arrival<'_>) -> Refusal {
        self.refused(now, arrival, Cause::Scarce)
    }

    fn refused(&mut self, now: Millis, arrival: &Arrival<'_>, cause: Cause) -> Refusal {
        self.roll(now);
        let start = self.tags.finish(self.flow(arrival.subscriber)).max(self.virtual_time);
        self.refuse(now, arrival.into(), start, self.cost(arrival.plan), cause)
    }
}
