//! Operators: changes, reads, orders sent again, as the protocol page says.

use super::{Caller, Event, World};
use bytes::Bytes;
use switchhill_configuration::{Order, OrderKind};
use switchhill_control::{Answer, Call};

const ANSWER_WITHIN: u64 = 1_000;
const PAUSE: u64 = 100;
const LONGEST_PAUSE: u64 = 800;
const GIVE_UP_AFTER: u64 = 15_000;

/// Statuses that end an operator's call at once.
const REFUSALS: [u16; 5] = [400, 409, 412, 413, 422];

/// What an operator is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Task {
    Read,
    Send { order: usize, again: bool },
}

#[derive(Debug)]
struct Ongoing {
    task: Task,
    began: u64,
    tries: u64,
    next_try: u64,
    call: Option<(u64, u64)>,
}

/// One operator; it has one call under way at a time.
#[derive(Debug)]
pub struct Operator {
    index: usize,
    /// The newest version that it knows.
    known: Option<u64>,
    ongoing: Option<Ongoing>,
    next_number: u64,
}

impl Operator {
    pub fn new(index: usize) -> Operator {
        Operator { index, known: None, ongoing: None, next_number: 0 }
    }
}

/// The body of the first configuration: an engine whose models don't fit all at once.
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

/// An order that leaves a route named after its number.
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
    pub fn operator_acts(&mut self, operator: usize) {
        self.after(40, Event::Act(Caller::Operator(operator)));
        let now = self.now;
        let state = &mut self.operators[operator];
        let Some(ongoing) = &mut state.ongoing else {
            let pause = self.random.u64(0..=250);
            let task = self.next_task(operator);
            self.operators[operator].ongoing =
                Some(Ongoing { task, began: now, tries: 0, next_try: now + pause, call: None });
            return;
        };
        if ongoing.call.is_some_and(|(_, deadline)| now >= deadline) {
            ongoing.call = None;
        }
        if ongoing.call.is_some() || now < ongoing.next_try {
            return;
        }
        if now >= ongoing.began + GIVE_UP_AFTER {
            state.ongoing = None;
            state.known = None;
            return;
        }
        ongoing.tries += 1;
        if ongoing.tries == 1 {
            ongoing.began = now;
        }
        ongoing.next_try = now + (PAUSE * ongoing.tries).min(LONGEST_PAUSE);
        state.next_number += 1;
        let number = state.next_number;
        ongoing.call = Some((number, now + ANSWER_WITHIN));
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

    /// A core machine for a call; some calls are lured to cut-off ones.
    pub fn choose_core(&mut self) -> usize {
        let cut_off = self.cut_off();
        if !cut_off.is_empty() && self.random.u32(0..100) < self.plan.lured {
            return cut_off[self.random.usize(0..cut_off.len())];
        }
        self.random.usize(0..self.plan.cores)
    }

    fn next_task(&mut self, operator: usize) -> Task {
        let is_calm = self.now >= 1_000_000 + self.plan.ends_at - super::CALM_END / 2;
        let Some(base) = self.operators[operator].known else {
            let is_first = self.checkers.orders.len() < self.plan.operators.min(2);
            let order = if is_first { Some(self.new_order(0, 3)) } else { None };
            return order.map_or(Task::Read, |order| Task::Send { order, again: false });
        };
        let sent = self.checkers.orders.len();
        match self.random.u32(0..100) {
            _ if is_calm => Task::Read,
            0..=54 => {
                let step = self.random.u64(2..=3);
                let order = self.new_order(base, base + step);
                Task::Send { order, again: false }
            }
            55..=79 => {
                let order = self.random.usize(0..sent);
                match self.checkers.orders[order].refused {
                    true => Task::Read,
                    false => Task::Send { order, again: true },
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
        let (task, began, tries) = (ongoing.task, ongoing.began, ongoing.tries);
        match (task, answer.status) {
            (Task::Read, 200) => {
                state.known = self.checkers.read(now, began, core, &answer.body);
                state.ongoing = None;
            }
            (Task::Send { order, again }, 200) => {
                let revision = self.checkers.acknowledged(now, order, began, again, core, &answer.body);
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
                ongoing.next_try = now + (PAUSE * tries).min(LONGEST_PAUSE);
            }
        }
    }
}
