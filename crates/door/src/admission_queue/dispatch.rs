//! What is handed on, what is held, and how both end.

use super::arrivals::PRESSED_FOR;
use super::throughput::TURN;
use super::AdmissionQueue;
use crate::concurrency_limit::Outcome;
use crate::message::Action;
use crate::queue::Held;
use crate::refused_client::Cause;
use crate::Millis;

/// Weight of one stream in the time in flight.
const FLIGHT_GAIN: f64 = 0.02;

impl AdmissionQueue {
    /// One more is in flight, after so long at the door.
    pub(super) fn hand_on(&mut self, plan: usize, waited: Millis) {
        self.open += 1;
        self.limit.in_use(self.open);
        self.window.passed += 1;
        if let Some(sojourn) = self.sojourn.get_mut(plan) {
            sojourn.saturating_record((waited * 10.0) as u64);
        }
    }

    /// A stream that was handed on has ended, `took` milliseconds after that.
    pub fn on_completion(&mut self, now: Millis, class: usize, took: Millis, how: Outcome) {
        self.open = self.open.saturating_sub(1);
        if how == Outcome::Success {
            self.flight.learn(now, took, FLIGHT_GAIN);
            // A value of 0 counts as none.
            self.flight.value = self.flight.value.max(0.1);
        }
        self.limit.ended(now, class, took, how);
    }

    /// The client of a stream has gone away. True if it was held; else the caller tells its end.
    pub fn cancel(&mut self, stream: u64) -> bool {
        let Some(held) = self.queue.remove(stream) else { return false };
        self.figures.left += 1;
        self.figures.missed += u64::from(held.due > 0.0);
        true
    }

    /// When [`AdmissionQueue::poll`] wants to be called at the latest.
    #[must_use]
    pub fn next_poll_at(&self) -> Option<Millis> {
        if !self.pushed.is_empty() || (self.queue.len() > 0 && self.limit.has_room(self.open)) {
            return Some(0.0);
        }
        self.queue.next_due()
    }

    /// Hands on what there is room for and refuses what has waited too long.
    pub fn poll(&mut self, now: Millis, actions: &mut Vec<Action>) {
        actions.append(&mut self.pushed);
        if self.queue.len() == 0 {
            return;
        }
        self.roll(now);
        while let Some(held) = self.queue.pop_overdue(now) {
            self.figures.missed += u64::from(held.due > 0.0);
            let refusal =
                self.refuse(now, (&held).into(), held.start, self.cost(held.plan.into()), Cause::Overdue);
            actions.push(Action::Refuse(held.stream, refusal));
        }
        while self.limit.has_room(self.open) {
            let Some(held) = self.next() else { break };
            self.figures.handed_on += 1;
            if held.due > 0.0 {
                self.meet(now, held.due);
            }
            let waited = now - held.arrived;
            self.hand_on(held.plan.into(), waited);
            actions.push(Action::Dispatch(held.stream, waited));
        }
        if self.queue.len() > 0 {
            self.pressed_until = now + PRESSED_FOR;
        }
    }

    fn next(&mut self) -> Option<Held> {
        let newcomers = self.queue.len() > self.queue.due();
        self.turn = (self.turn + 1) % TURN;
        if self.turn != 0 || !newcomers {
            if let Some(held) = self.queue.pop_due() {
                self.advance(f64::NEG_INFINITY);
                return Some(held);
            }
        }
        let held = self.queue.pop_first()?;
        self.advance(held.start);
        Some(held)
    }
}
