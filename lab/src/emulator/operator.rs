//! A stand-in operator: changes, races, orders sent again, invalid orders, reading back.

use super::site;
use bytes::Bytes;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use switchhill_configuration::{Order, OrderKind, ResultCode};
use switchhill_control::{Answer, Call};

/// Time in milliseconds for the answer to a call.
const ANSWER_WITHIN: u64 = 1_000;

/// Pause in milliseconds before a call is made again; grows with each.
const PAUSE: u64 = 120;

/// Longest pause in milliseconds before a call is made again.
const LONGEST_PAUSE: u64 = 1_000;

/// Time in milliseconds after which an order without a clear answer is no longer sent.
const GIVE_UP_AFTER: u64 = 15_000;

/// Pause in milliseconds before a change that is sent to one machine until it answers is sent again.
const HARD_PAUSE: u64 = 60;

/// Time in milliseconds between two intents of the operator, at least and at most.
const PAUSE_BETWEEN: std::ops::RangeInclusive<u64> = 300..=900;

/// The same while the operator makes one change after the other.
const PAUSE_IN_STORM: std::ops::RangeInclusive<u64> = 10..=40;

/// Statuses that are a clear refusal.
const REFUSALS: [u16; 5] = [400, 409, 412, 413, 422];

/// An order of the operator, as the checkers need it.
#[derive(Debug, Clone)]
pub struct SentOrder {
    /// Its number, which its marker route carries.
    pub number: u64,
    /// Revision that it leads to.
    pub revision: u64,
    /// Version that it builds on.
    pub base: u64,
    /// Whether its body is valid.
    pub valid: bool,
    /// When it was first sent.
    pub first_sent: u64,
    /// Routes that it carries.
    pub routes: u64,
    /// Whether it is sent to one machine until that answers.
    pub hard: bool,
}

/// What a configuration says, as far as the emulator looks.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Seen {
    /// Its revision.
    pub revision: u64,
    /// Orders that it contains, by their markers.
    pub orders: BTreeSet<u64>,
}

/// The part of a configuration that the emulator reads.
#[derive(serde::Deserialize)]
struct Head {
    revision: u64,
    #[serde(default)]
    routes: Vec<RouteHead>,
}

/// The numbered result of an answer without a configuration.
#[derive(serde::Deserialize)]
struct Coded {
    code: u16,
}

#[derive(serde::Deserialize)]
struct RouteHead {
    name: String,
}

impl Seen {
    /// What an answer to a reading tells: a configuration, or that there is none, which is older than any. An answer that
    /// leaves it open tells nothing.
    pub fn of_answer(answer: &Answer) -> Option<Seen> {
        if answer.status == 200 {
            return Seen::read(&answer.body);
        }
        let coded: Coded = serde_json::from_slice(&answer.body).ok()?;
        (coded.code == ResultCode::NoConfiguration.number()).then(Seen::default)
    }

    /// Reads a configuration.
    pub fn read(document: &[u8]) -> Option<Seen> {
        let head: Head = serde_json::from_slice(document).ok()?;
        let orders = head.routes.iter().filter_map(|route| site::order_of_marker(&route.name)).collect();
        Some(Seen { revision: head.revision, orders })
    }
}

/// A call of the operator.
#[derive(Debug, Clone)]
pub struct OperatorCall {
    /// Number by which its answer is known.
    pub number: u64,
    /// Core machine that is called.
    pub core: usize,
    /// The order that is sent, unless it reads.
    pub order: Option<u64>,
    /// When the reading or the order began.
    pub began: u64,
    /// Whether the order was sent before.
    pub resent: bool,
    /// The call.
    pub call: Call,
}

#[derive(Debug, Clone)]
enum Task {
    Send { order: u64, resent: bool },
    Read,
}

#[derive(Debug)]
struct Ongoing {
    task: Task,
    began: u64,
    tries: u64,
    next_try: u64,
    /// Number and deadline of the call under way.
    call: Option<(u64, u64)>,
    target: Option<usize>,
    /// The machine that is called first.
    first: Option<usize>,
    /// Whether that machine is called until it answers.
    hard: bool,
}

/// The operator.
#[derive(Debug)]
pub struct Operator {
    random: fastrand::Rng,
    orders: BTreeMap<u64, (SentOrder, Order)>,
    acknowledged: Vec<u64>,
    known: Option<Seen>,
    stale: bool,
    ongoing: Vec<Ongoing>,
    next_intent: u64,
    next_number: u64,
    plain_from: u64,
    only_reads_from: u64,
    storms: u32,
}

impl Operator {
    /// An operator who sends only plain changes and reads from `plain_from` on, and only reads from `only_reads_from` on.
    pub fn new(seed: u64, starts_at: u64, plain_from: u64, only_reads_from: u64) -> Operator {
        Operator {
            random: fastrand::Rng::with_seed(seed),
            orders: BTreeMap::new(),
            acknowledged: Vec::new(),
            known: None,
            stale: false,
            ongoing: Vec::new(),
            next_intent: starts_at,
            next_number: 0,
            plain_from,
            only_reads_from,
            storms: 0,
        }
    }

    /// From now on one change follows the other.
    pub fn begin_storm(&mut self, now: u64) {
        self.storms += 1;
        self.next_intent = now;
    }

    /// The operator is as usual again, unless another storm goes on.
    pub fn end_storm(&mut self) {
        self.storms = self.storms.saturating_sub(1);
    }

    /// Sends a change, or two on one version, to this machine first, and to no other if `hard`.
    pub fn visit(&mut self, now: u64, core: usize, race: bool, hard: bool) {
        let Some(known) = self.known.clone() else { return };
        let first_new = self.ongoing.len();
        for _ in 0..if race { 2 } else { 1 } {
            self.change(now, OrderKind::Update, &known);
        }
        for ongoing in &mut self.ongoing[first_new..] {
            (ongoing.first, ongoing.hard) = (Some(core), hard);
            if let Task::Send { order, .. } = ongoing.task {
                self.orders.entry(order).and_modify(|(sent, _)| sent.hard = hard);
            }
        }
    }

    /// Sends changes on one version at once, each to another machine first.
    pub fn race(&mut self, now: u64, count: usize, cores: &[usize]) {
        let Some(known) = self.known.clone().filter(|_| !cores.is_empty()) else { return };
        let step = self.random.bool().then(|| self.random.u64(1..=3));
        let offset = self.random.usize(0..cores.len());
        for number in 0..count {
            let step = step.unwrap_or_else(|| self.random.u64(1..=3));
            self.change_by(now, OrderKind::Update, &known, step, &[]);
            if let Some(ongoing) = self.ongoing.last_mut() {
                ongoing.first = Some(cores[(offset + number) % cores.len()]);
            }
        }
    }

    /// Sends a change with many routes.
    pub fn long_change(&mut self, now: u64, routes: usize) {
        let Some(known) = self.known.clone() else { return };
        let routes: Vec<Value> = (0..routes).map(site::idle_route).collect();
        self.change_by(now, OrderKind::Update, &known, 1, &routes);
    }

    /// Sends invalid changes.
    pub fn invalid_changes(&mut self, now: u64, count: usize) {
        let Some(known) = self.known.clone() else { return };
        (0..count).for_each(|_| self.invalid_change(now, &known));
    }

    /// Whether no change waits for an answer.
    pub fn is_idle(&self) -> bool {
        self.ongoing.is_empty()
    }

    /// An order that was sent.
    pub fn order(&self, number: u64) -> Option<&SentOrder> {
        self.orders.get(&number).map(|(sent, _)| sent)
    }

    /// Orders that have neither been acknowledged nor refused, with the time at which they were first sent.
    pub fn waiting(&self) -> impl Iterator<Item = &SentOrder> {
        self.ongoing.iter().filter_map(|ongoing| match ongoing.task {
            Task::Send { order, resent: false } => self.order(order),
            _ => None,
        })
    }

    /// Time has passed; calls to be made.
    pub fn tick(&mut self, now: u64, cores: &[usize]) -> Vec<OperatorCall> {
        if now >= self.next_intent {
            let pause = if self.storms > 0 { PAUSE_IN_STORM } else { PAUSE_BETWEEN };
            self.next_intent = now + self.random.u64(pause);
            self.intend(now);
        }
        self.expire(now);
        let due: Vec<usize> = (0..self.ongoing.len())
            .filter(|index| self.ongoing[*index].call.is_none() && now >= self.ongoing[*index].next_try)
            .collect();
        due.into_iter().filter_map(|index| self.call(now, index, cores)).collect()
    }

    fn intend(&mut self, now: u64) {
        let waits =
            |ongoing: &Ongoing| !ongoing.hard && matches!(ongoing.task, Task::Send { resent: false, .. });
        if self.ongoing.iter().any(waits) {
            return;
        }
        let Some(known) = self.known.clone() else {
            self.change(now, OrderKind::Replace, &Seen::default());
            return;
        };
        if self.stale || now >= self.only_reads_from {
            self.begin(now, Task::Read);
            return;
        }
        let from = match () {
            () if now >= self.plain_from => 50,
            () if self.storms > 0 => 65,
            () => 0,
        };
        match self.random.u32(from..100) {
            0..=9 => self.invalid_change(now, &known),
            10..=19 => self.send_again(now),
            20..=39 => {
                self.change(now, OrderKind::Update, &known);
                self.change(now, OrderKind::Update, &known);
            }
            40..=49 => self.change(now, OrderKind::Replace, &known),
            50..=69 => self.begin(now, Task::Read),
            70..=74 => self.change_on_two_paths(now, &known),
            _ => self.change(now, OrderKind::Update, &known),
        }
    }

    /// One order that goes to two machines at once.
    fn change_on_two_paths(&mut self, now: u64, known: &Seen) {
        self.change(now, OrderKind::Update, known);
        let order = self.next_number;
        self.begin(now, Task::Send { order, resent: true });
    }

    fn begin(&mut self, now: u64, task: Task) {
        self.ongoing.push(Ongoing {
            task,
            began: now,
            tries: 0,
            next_try: now,
            call: None,
            target: None,
            first: None,
            hard: false,
        });
    }

    fn change(&mut self, now: u64, kind: OrderKind, known: &Seen) {
        let step = self.random.u64(1..=3);
        self.change_by(now, kind, known, step, &[]);
    }

    fn change_by(&mut self, now: u64, kind: OrderKind, known: &Seen, step: u64, more: &[Value]) {
        let number = self.new_number();
        let revision = known.revision + step;
        let body = match kind {
            OrderKind::Replace => site::whole_configuration(
                revision,
                known.orders.iter().copied().chain(std::iter::once(number)),
            ),
            OrderKind::Update => {
                let mut routes = vec![site::marker_route(number)];
                routes.extend_from_slice(more);
                json!({"revision": revision, "upsert": {"routes": routes}})
            }
        };
        let routes = body["routes"].as_array().map_or(1 + more.len(), Vec::len) as u64;
        let sent = SentOrder {
            number,
            revision,
            base: known.revision,
            valid: true,
            first_sent: now,
            routes,
            hard: false,
        };
        self.send(now, sent, kind, body.to_string());
    }

    fn invalid_change(&mut self, now: u64, known: &Seen) {
        let number = self.new_number();
        let revision = known.revision + 1;
        let mut route = site::marker_route(number);
        let body = match self.random.u32(0..4) {
            0 => format!("{{\"revision\":{revision},\"upsert\":{{\"routes\":[{route}"),
            1 => {
                route["service"] = json!("unknown");
                json!({"revision": revision, "upsert": {"routes": [route]}}).to_string()
            }
            2 => {
                route["timeoutMs"] = json!(0);
                json!({"revision": revision, "upsert": {"routes": [route]}}).to_string()
            }
            _ => json!({"revision": known.revision, "upsert": {"routes": [route]}}).to_string(),
        };
        let sent = SentOrder {
            number,
            revision,
            base: known.revision,
            valid: false,
            first_sent: now,
            routes: 1,
            hard: false,
        };
        self.send(now, sent, OrderKind::Update, body);
    }

    fn new_number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }

    fn send(&mut self, now: u64, sent: SentOrder, kind: OrderKind, body: String) {
        let number = sent.number;
        let order = Order { kind, base_version: sent.base, body: Bytes::from(body) };
        self.orders.insert(number, (sent, order));
        self.begin(now, Task::Send { order: number, resent: false });
    }

    fn send_again(&mut self, now: u64) {
        // Most often one of the newest, at times any.
        let count = if self.random.u32(0..3) == 0 { self.acknowledged.len() } else { 3 };
        let newest = self.acknowledged.len().saturating_sub(count)..self.acknowledged.len();
        if let Some(index) = (!newest.is_empty()).then(|| self.random.usize(newest)) {
            self.begin(now, Task::Send { order: self.acknowledged[index], resent: true });
        }
    }

    fn expire(&mut self, now: u64) {
        let over: Vec<u64> = self
            .ongoing
            .iter()
            .filter_map(|ongoing| {
                ongoing.call.filter(|(_, deadline)| now >= *deadline).map(|(number, _)| number)
            })
            .collect();
        for number in over {
            self.answered(now, number, None);
        }
    }

    fn call(&mut self, now: u64, index: usize, cores: &[usize]) -> Option<OperatorCall> {
        if cores.is_empty() {
            return None;
        }
        let number = self.new_number();
        let others: Vec<usize> =
            cores.iter().copied().filter(|core| self.ongoing[index].target != Some(*core)).collect();
        let choices = if others.is_empty() { cores } else { &others };
        let mut core = choices[self.random.usize(0..choices.len())];
        let ongoing = &mut self.ongoing[index];
        let first =
            ongoing.first.filter(|first| cores.contains(first) && (ongoing.hard || ongoing.tries == 0));
        core = first.unwrap_or(core);
        ongoing.target = Some(core);
        ongoing.tries += 1;
        ongoing.call = Some((number, now + ANSWER_WITHIN));
        let (order, resent, call) = match ongoing.task {
            Task::Read => (None, false, Call::Read),
            Task::Send { order, resent } => {
                (Some(order), resent, Call::Change(self.orders.get(&order)?.1.clone()))
            }
        };
        let resent = resent || ongoing.tries > 1;
        Some(OperatorCall { number, core, order, began: ongoing.began, resent, call })
    }

    /// A call was answered, or there was no answer.
    pub fn answered(&mut self, now: u64, number: u64, answer: Option<(u16, &[u8])>) {
        let is_it = |ongoing: &Ongoing| ongoing.call.is_some_and(|(call, _)| call == number);
        let Some(index) = self.ongoing.iter().position(is_it) else { return };
        self.ongoing[index].call = None;
        let task = self.ongoing[index].task.clone();
        let ended = match (task, answer) {
            (Task::Read, Some((200, body))) => self.read(body),
            (Task::Send { order, .. }, Some((200, _))) => self.acknowledge(order),
            (Task::Send { .. }, Some((status, _))) if REFUSALS.contains(&status) => {
                self.stale = true;
                true
            }
            _ => false,
        };
        let ongoing = &mut self.ongoing[index];
        if ended {
            self.ongoing.remove(index);
        } else if now >= ongoing.began + GIVE_UP_AFTER {
            self.stale = true;
            self.ongoing.remove(index);
        } else {
            let pause = if ongoing.hard { HARD_PAUSE } else { (PAUSE * ongoing.tries).min(LONGEST_PAUSE) };
            ongoing.next_try = now + pause;
        }
    }

    fn read(&mut self, body: &[u8]) -> bool {
        let Some(seen) = Seen::read(body) else { return false };
        let newer = self.known.as_ref().is_none_or(|known| seen.revision >= known.revision);
        if newer {
            self.known = Some(seen);
            self.stale = false;
        }
        true
    }

    fn acknowledge(&mut self, number: u64) -> bool {
        self.acknowledged.push(number);
        let Some((sent, _)) = self.orders.get(&number) else { return true };
        let base = self.known.as_ref().map_or(0, |known| known.revision);
        if sent.base == base {
            let known = self.known.get_or_insert_default();
            known.revision = sent.revision;
            known.orders.insert(number);
        } else if sent.revision > base {
            self.stale = true;
        }
        true
    }
}
