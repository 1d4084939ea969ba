//! Callers of the core: workers with their heartbeats, and the operator with its changes.

use super::events::Event;
use super::fleet::{Fleet, BEAT_MS, DRAIN_CALL, DRAIN_MS, NETWORK_MS, OPERATOR_CALL};
use super::site;
use switchhill_control::{Answer, Call, CallId, Input};

/// Time in milliseconds between changes of the configuration: 3,100 a day.
const CHANGE_MS: u64 = 27_870;
/// Time in milliseconds before a refused change is sent once more.
const CHANGE_RETRY_MS: u64 = 300;

impl Fleet {
    /// A worker sends its heartbeat.
    pub(super) fn beat(&mut self, number: usize) {
        self.add(self.now + BEAT_MS, Event::Beat(number));
        let body = self.workers[number].beat(self.now);
        let call = Call::Heartbeat { id: self.workers[number].id.clone(), body };
        self.call(number % self.sizes.cores, 0, call, "worker heartbeat");
    }

    /// The first worker says that it is leaving.
    pub(super) fn drain(&mut self) {
        let Some(worker) = self.workers.first_mut() else { return };
        worker.is_draining = true;
        let body = worker.beat(self.now);
        let call = Call::Heartbeat { id: worker.id.clone(), body };
        let input = Box::new(Input::Call(CallId(DRAIN_CALL), call));
        self.add(self.now + NETWORK_MS, Event::CoreInput { core: 0, input, kind: "drain" });
    }

    /// Notes when all data planes have stopped to send to the worker that leaves.
    pub(super) fn note_drain(&mut self) {
        if self.drain.in_force_ms.is_some() || self.now < DRAIN_MS {
            return;
        }
        let Some(worker) = self.workers.first() else { return };
        let mut data_planes = self.edges.iter().filter_map(|edge| edge.data_plane.as_ref());
        if data_planes.all(|data_plane| data_plane.has_left(self.now, &worker.id)) {
            self.drain.in_force_ms = Some(self.now - DRAIN_MS);
        }
    }

    /// Sends a call to a core node.
    fn call(&mut self, core: usize, base: u64, call: Call, kind: &'static str) {
        self.calls += 1;
        let input = Box::new(Input::Call(CallId(base + self.calls), call));
        self.add(self.now + NETWORK_MS, Event::CoreInput { core, input, kind });
    }

    /// The operator sends the next change.
    pub(super) fn change(&mut self) {
        let order = site::order(self.sizes.models, self.revision);
        self.call(0, OPERATOR_CALL, Call::Change(order), "change");
    }

    /// The operator has its answer.
    pub(super) fn change_answered(&mut self, answer: &Answer) {
        let taken = answer.status == 200;
        if !taken {
            log_refusal(answer);
        }
        self.revision += u64::from(taken);
        let pause = if taken { CHANGE_MS } else { CHANGE_RETRY_MS };
        self.add(self.now + pause, Event::Change);
    }
}

/// Tells why a change was not taken.
fn log_refusal(answer: &Answer) {
    eprintln!("change not taken, {}: {}", answer.status, String::from_utf8_lossy(&answer.body));
}
