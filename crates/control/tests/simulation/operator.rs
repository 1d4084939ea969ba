//! Simulated operators, which read, send orders and resend them as the protocol documentation prescribes.

use super::{Caller, Event, World};
use bytes::Bytes;
use switchhill_configuration::{Order, OrderKind};
use switchhill_control::{Answer, Call};

const ANSWER_TIMEOUT_MS: u64 = 1_000;
const RETRY_DELAY_MS: u64 = 100;
const MAX_RETRY_DELAY_MS: u64 = 800;
const TASK_TIMEOUT_MS: u64 = 15_000;

/// Statuses that end an operator's task without a retry.
const REFUSALS: [u16; 5] = [400, 409, 412, 413, 422];

/// Task of an operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Task {
    Read,
    Send { order: usize, is_resend: bool },
}

#[derive(Debug)]
struct Ongoing {
    task: Task,
    began: u64,
    attempts: u64,
    next_attempt: u64,
    call: Option<(u64, u64)>,
}

/// An operator, with at most one call in progress.
#[derive(Debug)]
pub struct Operator {
    index: usize,
    /// Newest configuration version known to the operator.
    known: Option<u64>,
    ongoing: Option<Ongoing>,
    next_number: u64,
}

impl Operator {
    pub fn new(index: usize) -> Operator {
        Operator { index, known: None, ongoing: None, next_number: 0 }
    }
}

/// Body of the first configuration. Its engine cannot hold all models at once.
fn first_body(number: usize, revision: u64) -> String {
    let models: Vec<String> = (0..4)
        .map(|model| {
            format!(r#"{{"name":"m{model}","weightsMb":100.0,"loadS":0.2,"adapters":0,"adapterMb":1.0}}"#)
        })
        .collect();
    let engine = format!(
        r#"{{"slots":4,"kvCacheTokens":1000,"models":[{}],"weightsMb":200.0,"adapterSlots":2,"loadsPerS":5.0}}"#,
        models.join(",")
    );
    format!(
        r#"{{"revision":{revision},"routes":[{}],"services":[{{"name":"s","healthCheck":"/health","engine":{engine}}}],"limits":{{}}}}"#,
        route(number, 1_000)
    )
}

fn route(number: usize, timeout_ms: u64) -> String {
    format!(
        r#"{{"name":"o{number}","host":"h.example","pathPrefix":"/o{number}/","routeKind":"safe","timeoutMs":{timeout_ms},"service":"s"}}"#
    )
}

/// An order that adds a route named after its number.
pub fn order(number: usize, base: u64, revision: u64, is_valid: bool) -> Order {
    if base == 0 {
        let body = Bytes::from(first_body(number, revision));
        return Order { kind: OrderKind::Replace, base_version: 0, body };
    }
    let route = route(number, if is_valid { 1_000 } else { 0 });
    let body = format!(r#"{{"revision":{revision},"upsert":{{"routes":[{route}]}}}}"#);
    Order { kind: OrderKind::Update, base_version: base, body: Bytes::from(body) }
}

impl World {
    pub fn step_operator(&mut self, operator: usize) {
        self.after(40, Event::Step(Caller::Operator(operator)));
        let now = self.now;
        let state = &mut self.operators[operator];
        let Some(ongoing) = &mut state.ongoing else {
            let pause = self.random.u64(0..=250);
            let task = self.next_task(operator);
            self.operators[operator].ongoing =
                Some(Ongoing { task, began: now, attempts: 0, next_attempt: now + pause, call: None });
            return;
        };
        if ongoing.call.is_some_and(|(_, deadline)| now >= deadline) {
            ongoing.call = None;
        }
        if ongoing.call.is_some() || now < ongoing.next_attempt {
            return;
        }
        if now >= ongoing.began + TASK_TIMEOUT_MS {
            state.ongoing = None;
            state.known = None;
            return;
        }
        ongoing.attempts += 1;
        if ongoing.attempts == 1 {
            ongoing.began = now;
        }
        ongoing.next_attempt = now + (RETRY_DELAY_MS * ongoing.attempts).min(MAX_RETRY_DELAY_MS);
        state.next_number += 1;
        let number = state.next_number;
        ongoing.call = Some((number, now + ANSWER_TIMEOUT_MS));
        let task = ongoing.task;
        let call = match task {
            Task::Read => Call::Read,
            Task::Send { order, .. } => {
                self.checkers.sent(now, order);
                Call::Change(self.checkers.orders[order].order.clone())
            }
        };
        let core = self.choose_core();
        self.call(Caller::Operator(operator), number, core, call);
    }

    /// Chooses the core machine for a call, with a bias towards isolated ones.
    pub fn choose_core(&mut self) -> usize {
        let isolated_cores = self.isolated_cores();
        if !isolated_cores.is_empty() && self.random.u32(0..100) < self.plan.isolated_target_percent {
            return isolated_cores[self.random.usize(0..isolated_cores.len())];
        }
        self.random.usize(0..self.plan.cores)
    }

    fn next_task(&mut self, operator: usize) -> Task {
        let is_fault_free = self.now >= 1_000_000 + self.plan.ends_at - super::FAULT_FREE_END_MS / 2;
        let Some(base) = self.operators[operator].known else {
            let is_first = self.checkers.orders.len() < self.plan.operators.min(2);
            let order = if is_first { Some(self.new_order(0, 3)) } else { None };
            return order.map_or(Task::Read, |order| Task::Send { order, is_resend: false });
        };
        let sent = self.checkers.orders.len();
        match self.random.u32(0..100) {
            _ if is_fault_free => Task::Read,
            0..=54 => {
                let step = self.random.u64(2..=3);
                let order = self.new_order(base, base + step);
                Task::Send { order, is_resend: false }
            }
            55..=79 => {
                let order = self.random.usize(0..sent);
                match self.checkers.orders[order].refused {
                    true => Task::Read,
                    false => Task::Send { order, is_resend: true },
                }
            }
            _ => Task::Read,
        }
    }

    fn new_order(&mut self, base: u64, revision: u64) -> usize {
        let number = self.checkers.orders.len();
        let is_valid = base == 0 || self.random.u32(0..12) > 0;
        self.checkers.add_order(order(number, base, revision, is_valid), base, revision, is_valid);
        number
    }

    pub fn operator_answered(&mut self, operator: usize, number: u64, core: usize, answer: &Answer) {
        let now = self.now;
        let state = &mut self.operators[operator];
        let Some(ongoing) = &mut state.ongoing else { return };
        if ongoing.call.is_none_or(|(open, _)| open != number) {
            return;
        }
        ongoing.call = None;
        let (task, began, attempts) = (ongoing.task, ongoing.began, ongoing.attempts);
        match (task, answer.status) {
            (Task::Read, 200) => {
                state.known = self.checkers.read(now, began, core, &answer.body);
                state.ongoing = None;
            }
            (Task::Send { order, is_resend }, 200) => {
                let revision = self.checkers.acknowledged(now, order, began, is_resend, core, &answer.body);
                state.known = state.known.max(Some(revision));
                state.ongoing = None;
            }
            (Task::Send { order, .. }, status) if REFUSALS.contains(&status) => {
                self.checkers.refused(now, order, status, core, &answer.body);
                state.known = None;
                state.ongoing = None;
            }
            (task, status) if (400..500).contains(&status) => {
                self.checkers.fail(now, format!("{task:?} was answered {status} by core {core}"));
            }
            _ => {
                ongoing.next_attempt = now + (RETRY_DELAY_MS * attempts).min(MAX_RETRY_DELAY_MS);
            }
        }
    }
}
