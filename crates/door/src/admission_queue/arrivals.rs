//! Streams that arrive: passed at once, held, or refused.

use super::throughput::TURN;
use super::AdmissionQueue;
use crate::message::{Action, Admission, Arrival};
use crate::queue::{Held, HORIZON};
use crate::refused_client::{Cause, Client};
use crate::Millis;

/// Streams count as pressed for this long after the last was held: what passes is charged to its subscriber.
pub(super) const PRESSED_FOR: Millis = 1000.0;
/// The wait foreseen may be wrong by this factor: who is held and then refused has lost that time.
const SLACK: f64 = 1.2;

impl AdmissionQueue {
    /// A stream has come to the door.
    pub fn on_arrival(&mut self, now: Millis, arrival: &Arrival<'_>) -> Admission {
        let client = Client::from(arrival);
        let kept = self.keeps(now, arrival, client);
        let free = self.limit.has_room(self.open) && self.queue.len() == 0;
        if free && now >= self.pressed_until {
            self.figures.met += u64::from(kept.is_some());
            return self.pass_at_once(arrival.plan);
        }
        self.roll(now);
        self.busiest.note(arrival.subscriber);
        let flow = self.flow(arrival.subscriber);
        let start = self.tags.finish(flow).max(self.virtual_time);
        let unit = self.cost(arrival.plan);
        self.active.note(now, flow, 1.0 / unit);
        let cost = unit * if arrival.units > 0.0 { arrival.units } else { 1.0 };
        if free {
            self.figures.met += u64::from(kept.is_some());
            self.tags.raise(flow, start + cost);
            self.advance(start);
            return self.pass_at_once(arrival.plan);
        }
        self.pressed_until = now + PRESSED_FOR;
        let may_wait =
            (arrival.client_timeout.min(arrival.latency_target) / 4.0).min(self.set.max_queue_time);
        let held = Held {
            stream: arrival.stream,
            arrived: now,
            latest: now + may_wait,
            start,
            subscriber: arrival.subscriber,
            class: arrival.class as u16,
            plan: arrival.plan as u16,
            // Who comes late is owed its place from then on.
            due: kept.map_or(0.0, |due| due.max(now)),
            whole_seconds: arrival.whole_seconds,
            bytes: arrival.bytes.min(u32::MAX as usize) as u32,
        };
        let rate = self.passes(now);
        let crowded = self.queue.bytes() + arrival.bytes > self.set.max_queued_bytes;
        if kept.is_some() {
            let reached = self.queue.due() as f64 / rate <= may_wait;
            if reached && !arrival.resources_low && !crowded && self.room_for(now, f64::NEG_INFINITY) {
                self.figures.held += 1;
                // Who comes by appointment goes first and is charged like everybody.
                self.tags.raise(flow, start + cost);
                self.queue.push(held, true);
                return Admission::Queued;
            }
            self.figures.missed += 1;
        }
        let held = Held { due: 0.0, ..held };
        let ahead = (start - self.virtual_time) / cost;
        let cause = if arrival.resources_low || crowded {
            Cause::Scarce
        } else if ahead >= self.set.max_queued_per_subscriber || start - self.virtual_time + cost > HORIZON {
            Cause::Subscriber
        } else if SLACK * self.queue.ahead(start) as f64 / self.left_for_newcomers(now, may_wait) > may_wait {
            Cause::Wait
        } else if !self.room_for(now, start) {
            Cause::Room
        } else {
            self.tags.raise(flow, start + cost);
            self.queue.push(held, false);
            self.figures.held += 1;
            return Admission::Queued;
        };
        Admission::Refused(self.refuse(now, client, start, cost, cause))
    }

    fn pass_at_once(&mut self, plan: usize) -> Admission {
        self.figures.passed += 1;
        self.hand_on(plan, 0.0);
        Admission::Admitted
    }

    /// Makes room for one with this start tag by pushing out one of a longer queue; false where there is none.
    fn room_for(&mut self, now: Millis, start: f64) -> bool {
        if !self.queue.is_full() {
            return true;
        }
        // The highest start tag is the tail of the queue that is longest by weight.
        let Some(longest) = self.queue.last().filter(|last| last.start > start).copied() else {
            return false;
        };
        self.queue.remove(longest.stream);
        let refusal =
            self.refuse(now, (&longest).into(), longest.start, self.cost(longest.plan.into()), Cause::Room);
        self.pushed.push(Action::Refuse(longest.stream, refusal));
        true
    }

    /// Streams a millisecond that can be handed on besides those with an appointment in the coming time.
    fn left_for_newcomers(&self, now: Millis, within: Millis) -> f64 {
        let rate = self.passes(now);
        let booked = self.book.booked(now, within) / within.max(1.0);
        (rate - booked).max(rate / f64::from(TURN))
    }
}
