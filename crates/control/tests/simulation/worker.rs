//! Workers: heartbeats, planned ends, and orders of the placer.

use super::checkers::Word;
use super::{Caller, Event, World};
use bytes::Bytes;
use switchhill_control::{Answer, Call, Input, OrderCall, ReportCall, WorkerReport};
use switchhill_placement::{Operation, OrderAnswer, Resident};

const BEAT_EVERY: u64 = 500;
const ANSWER_WITHIN: u64 = 1_000;

/// Longest time in milliseconds until a worker's answer to an order, or its report, is there.
const SLOWEST_ANSWER: u64 = 700;

/// What a worker says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Says {
    Ready,
    Draining,
    Gone,
}

/// A place at which one worker after the other runs.
#[derive(Debug)]
pub struct Worker {
    index: usize,
    incarnation: u64,
    sequence: u64,
    says: Says,
    call: Option<(u64, u64)>,
    next_number: u64,
    next_beat: u64,
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
            says: Says::Ready,
            call: None,
            next_number: 0,
            next_beat: 0,
            orders: 0,
            models: vec![format!("m{}", index % 4)],
            highest_epoch: 0,
        }
    }

    fn id(&self) -> String {
        format!("w{}-{}", self.index, self.incarnation)
    }

    fn body(&self) -> Bytes {
        let state = if self.says == Says::Ready { "ready" } else { "draining" };
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

    /// The next one at this place.
    fn restart(&mut self) {
        self.incarnation += 1;
        self.sequence = 0;
        self.says = Says::Ready;
        self.orders = 0;
        self.highest_epoch = 0;
        self.models = vec![format!("m{}", self.index % 4)];
    }
}

impl World {
    pub fn worker_acts(&mut self, worker: usize) {
        self.after(100, Event::Act(Caller::Worker(worker)));
        let now = self.now;
        if self.workers[worker].says == Says::Ready && self.random.u32(0..70) == 0 {
            self.workers[worker].says = Says::Draining;
        }
        let state = &mut self.workers[worker];
        if state.call.is_some_and(|(_, deadline)| now >= deadline) {
            state.call = None;
        }
        if state.call.is_some() || now < state.next_beat {
            return;
        }
        state.sequence += 1;
        state.next_number += 1;
        state.call = Some((state.next_number, now + ANSWER_WITHIN));
        let (id, number, body) = (state.id(), state.next_number, state.body());
        let call = match state.says {
            Says::Gone => Call::Deregister { id },
            Says::Ready | Says::Draining => Call::Heartbeat { id, body },
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
        match state.says {
            Says::Ready => state.next_beat = now + BEAT_EVERY,
            Says::Draining => state.says = Says::Gone,
            Says::Gone => state.restart(),
        }
    }

    /// An order reaches its worker and is carried out at once.
    pub fn worker_ordered(&mut self, core: usize, call: OrderCall) {
        self.checkers.word(self.now, core, Word::Order);
        let Some(worker) = self.workers.iter_mut().find(|worker| worker.id() == call.worker) else {
            return self.give(core, Input::OrderAnswered(call.ticket, OrderAnswer::WrongInstance));
        };
        if call.ticket.epoch < worker.highest_epoch {
            let newest = worker.highest_epoch;
            let order = format!("{:?} {} from core {core}", call.operation, call.model);
            self.checkers.fail(self.now, format!("{order} under epoch {} after {newest}", call.ticket.epoch));
            return;
        }
        worker.highest_epoch = call.ticket.epoch;
        if call.if_revision.is_some_and(|sequence| sequence != worker.orders) {
            return self.give(core, Input::OrderAnswered(call.ticket, OrderAnswer::Busy));
        }
        worker.orders += 1;
        match call.operation {
            Operation::Load => worker.models.push(call.model),
            Operation::Unload => worker.models.retain(|model| *model != call.model),
        }
        self.give(core, Input::OrderAnswered(call.ticket, OrderAnswer::Accepted));
    }

    pub fn report_asked(&mut self, core: usize, call: ReportCall) {
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
        self.give(core, Input::Reported(report));
    }

    /// What a worker answers reaches the node that asked; workers are cut from no one.
    fn give(&mut self, core: usize, input: Input) {
        let delay = self.random.u64(2..=SLOWEST_ANSWER);
        let life = self.cores[core].life;
        self.after(delay, Event::Given { core, life, input });
    }
}
