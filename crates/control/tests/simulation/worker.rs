//! Simulated workers: heartbeats, planned shutdowns, and orders of the placer.

use super::checkers::MessageKind;
use super::{Caller, Event, World};
use bytes::Bytes;
use switchhill_control::{Answer, Call, Input, OrderCall, ReportCall, WorkerReport};
use switchhill_placement::{Operation, OrderAnswer, Resident};

const HEARTBEAT_INTERVAL_MS: u64 = 500;
const ANSWER_TIMEOUT_MS: u64 = 1_000;

/// Longest delay of a worker's answer to an order, or of its report.
const MAX_ANSWER_DELAY_MS: u64 = 700;

/// Lifecycle state that a worker reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Lifecycle {
    Ready,
    Draining,
    Deregistering,
}

/// A worker slot: when one worker has deregistered, the next incarnation starts in it.
#[derive(Debug)]
pub struct Worker {
    index: usize,
    incarnation: u64,
    sequence: u64,
    lifecycle: Lifecycle,
    call: Option<(u64, u64)>,
    next_number: u64,
    next_heartbeat: u64,
    orders: u64,
    models: Vec<String>,
    highest_epoch: u64,
}

impl Worker {
    pub fn new(index: usize) -> Worker {
        Worker {
            index,
            incarnation: 0,
            sequence: 0,
            lifecycle: Lifecycle::Ready,
            call: None,
            next_number: 0,
            next_heartbeat: 0,
            orders: 0,
            models: vec![format!("m{}", index % 4)],
            highest_epoch: 0,
        }
    }

    fn id(&self) -> String {
        format!("w{}-{}", self.index, self.incarnation)
    }

    fn body(&self) -> Bytes {
        let state = if self.lifecycle == Lifecycle::Ready { "ready" } else { "draining" };
        let models: Vec<String> = self
            .models
            .iter()
            .map(|name| format!(r#"{{"name":"{name}","revision":1,"adapters":[]}}"#))
            .collect();
        Bytes::from(format!(
            r#"{{"service":"s","address":"worker-{}","zone":"z","revision":"v1","slots":4,"state":"{state}","coldRemainingMs":0,"phase":"both","models":[{}],"sequence":{}}}"#,
            self.index,
            models.join(","),
            self.sequence
        ))
    }

    /// Starts the next incarnation in this slot.
    fn restart(&mut self) {
        self.incarnation += 1;
        self.sequence = 0;
        self.lifecycle = Lifecycle::Ready;
        self.orders = 0;
        self.highest_epoch = 0;
        self.models = vec![format!("m{}", self.index % 4)];
    }
}

impl World {
    pub fn step_worker(&mut self, worker: usize) {
        self.after(100, Event::Step(Caller::Worker(worker)));
        let now = self.now;
        if self.workers[worker].lifecycle == Lifecycle::Ready && self.random.u32(0..70) == 0 {
            self.workers[worker].lifecycle = Lifecycle::Draining;
        }
        let state = &mut self.workers[worker];
        if state.call.is_some_and(|(_, deadline)| now >= deadline) {
            state.call = None;
        }
        if state.call.is_some() || now < state.next_heartbeat {
            return;
        }
        state.sequence += 1;
        state.next_number += 1;
        state.call = Some((state.next_number, now + ANSWER_TIMEOUT_MS));
        let (id, number, body) = (state.id(), state.next_number, state.body());
        let call = match state.lifecycle {
            Lifecycle::Deregistering => Call::Deregister { id },
            Lifecycle::Ready | Lifecycle::Draining => Call::Heartbeat { id, body },
        };
        let core = self.choose_core();
        self.call(Caller::Worker(worker), number, core, call);
    }

    pub fn worker_answered(&mut self, worker: usize, number: u64, answer: &Answer) {
        let now = self.now;
        let state = &mut self.workers[worker];
        if state.call.is_none_or(|(open, _)| open != number) {
            return;
        }
        state.call = None;
        if answer.status != 200 {
            return;
        }
        match state.lifecycle {
            Lifecycle::Ready => state.next_heartbeat = now + HEARTBEAT_INTERVAL_MS,
            Lifecycle::Draining => state.lifecycle = Lifecycle::Deregistering,
            Lifecycle::Deregistering => state.restart(),
        }
    }

    /// Delivers an order to its worker, which executes it at once.
    pub fn execute_order(&mut self, core: usize, call: OrderCall) {
        self.checkers.check_message(self.now, core, MessageKind::Order);
        let Some(worker) = self.workers.iter_mut().find(|worker| worker.id() == call.worker) else {
            return self.answer_core(core, Input::OrderAnswered(call.ticket, OrderAnswer::WrongInstance));
        };
        if call.ticket.epoch < worker.highest_epoch {
            let newest = worker.highest_epoch;
            let order = format!("{:?} {} from core {core}", call.operation, call.model);
            self.checkers.fail(self.now, format!("{order} under epoch {} after {newest}", call.ticket.epoch));
            return;
        }
        worker.highest_epoch = call.ticket.epoch;
        if call.if_revision.is_some_and(|sequence| sequence != worker.orders) {
            return self.answer_core(core, Input::OrderAnswered(call.ticket, OrderAnswer::Busy));
        }
        worker.orders += 1;
        match call.operation {
            Operation::Load => worker.models.push(call.model),
            Operation::Unload => worker.models.retain(|model| *model != call.model),
        }
        self.answer_core(core, Input::OrderAnswered(call.ticket, OrderAnswer::Accepted));
    }

    pub fn send_report(&mut self, core: usize, call: ReportCall) {
        let Some(worker) = self.workers.iter().find(|worker| worker.id() == call.worker) else { return };
        let models =
            worker.models.iter().map(|name| Resident { name: name.clone(), adapters: Vec::new() }).collect();
        let report = WorkerReport {
            call,
            busy: false,
            sequence: worker.orders,
            models,
            running: 0,
            queued: 0,
            kv_used: 0,
            kv_total: 1_000,
        };
        self.answer_core(core, Input::Reported(report));
    }

    /// Delivers a worker's answer to the requesting node; partitions do not affect workers.
    fn answer_core(&mut self, core: usize, input: Input) {
        let delay = self.random.u64(2..=MAX_ANSWER_DELAY_MS);
        let incarnation = self.cores[core].incarnation;
        self.after(delay, Event::WorkerAnswer { core, incarnation, input });
    }
}
