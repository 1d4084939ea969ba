//! Every decision of the gateway: its state here, the parts that act on it in `src/brain/`. Types, events and
//! actions are in `src/interface.rs`. A [`DecisionEngine`] has no I/O and no clock: [`DecisionEngine::handle`] takes the time.

mod arrival;
mod attempts;
mod price;
mod servers;
mod slice;
pub mod snapshot;
mod timers;

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Share of a figure that goes in each price interval in which nothing confirms it.
const FADE: f64 = 0.05;
/// Answers over which a class's mean latency is taken.
const SURE: f64 = 60.0;
/// How often attempts that are still out are looked at.
const TICK: Millis = 100.0;
/// Backends compared for one attempt.
const FEW: usize = 8;
/// How long it is left alone the first time; doubled up to eight times that.
const REST: Millis = 1000.0;
/// Further attempts earned by one admission, and the most saved up: many gateways' add up to a burst.
const EXTRA_EARNED: f64 = 0.1;
const EXTRA_MOST: f64 = 3.0;
/// Share of the aim after which an attempt is looked into.
const CHECK_SHARE: f64 = 0.3;
/// Least chance to be inside its quota, and the first, that a customer has of whom nothing is known here.
const UNREAD: f64 = 0.6;
/// Slots in which a gateway remembers what it let through; each is half a meter period.
const SLOTS: usize = 32;

/// What is known of one class: the price and what it is computed from.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct ClassState {
    price: f64,
    mean: f64,
    /// Mean latency without what reports tell was waiting.
    served: f64,
    lows: VecDeque<f64>,
    floor: f64,
    known: f64,
    waits: f64,
    answers: f64,
    admitted: f64,
    asked: f64,
}

/// A customer's local share of its quota and of its ceiling.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct Customer {
    plan: usize,
    entry: f64,
    share: f64,
    store: f64,
    ceiling: f64,
    filled: Millis,
    shared_at: Millis,
    reading: f64,
    read_at: Millis,
    blind_at: Millis,
    past: [f64; SLOTS],
    slot: i64,
    out: f64,
}

#[derive(Debug, Clone, Default)]
struct Server {
    told: Backend,
    ramp_from: Millis,
    out: u32,
    ratio: f64,
    evidence: f64,
    lag: f64,
    silence: f64,
    answered: Millis,
    /// When the latest of what it has answered was sent.
    reached: Millis,
    faults: u32,
    rest: Millis,
    rest_until: Millis,
}

#[derive(Debug, Clone, Default)]
struct Open {
    class: usize,
    plan: usize,
    customer: u64,
    units: f64,
    inside: bool,
    since: Millis,
    deadline: Millis,
    tries: u32,
    most: u32,
    body_incomplete: bool,
    out: u32,
    streaming: bool,
    /// Send time, zone and cell of the earliest attempt that may have run.
    ran: Option<(Millis, u32, u32)>,
}

/// Zone and cell of the backend that may have run a request, and which of them its key is kept in.
type Scope = (KeyScope, u32, u32);

#[derive(Debug, Clone, Copy)]
struct Out {
    server: usize,
    class: usize,
    customer: u64,
    sent: Millis,
}

#[derive(Debug, Clone, Copy)]
enum Due {
    Tick,
    Subscribe,
    Check(RequestId),
    Deadline(RequestId),
}

/// One gateway's decisions.
#[derive(Debug)]
pub struct DecisionEngine {
    set: Settings,
    rng: fastrand::Rng,
    now: Millis,
    started: Option<Millis>,
    classes: Vec<ClassState>,
    customers: BTreeMap<u64, Customer>,
    /// Share of each plan's readings that tell of use within the quota.
    within: Vec<f64>,
    servers: Vec<Server>,
    by_id: BTreeMap<BackendId, usize>,
    open: BTreeMap<RequestId, Open>,
    /// Requests that wait for the first of these backends to answer a probe.
    races: Vec<(RequestId, Vec<usize>)>,
    out: BTreeMap<(RequestId, u32), Out>,
    timers: BTreeMap<u64, Due>,
    next_tag: u64,
    priced_at: Millis,
    /// When the last event came, and the latest one after a gap of the gateway's own.
    seen: Millis,
    stalled: Millis,
    extra: f64,
    wait: Millis,
    /// The wait by answers alone, and attempts that went without one since the last came.
    heard: Millis,
    missing: f64,
    usual_out: f64,
    asked_list: Millis,
    /// Admitted; refused by quota, ceiling, lack of a backend, price; since the last trace line.
    tally: [u32; 5],
    told_at: Millis,
}

impl DecisionEngine {
    /// Builds a gateway's decisions from its settings; equal seeds and events give equal actions.
    ///
    /// # Errors
    /// Names the first setting that no gateway could work with.
    pub fn new(set: Settings, seed: u64) -> Result<Self, SettingsError> {
        set.validate()?;
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            started: None,
            classes: vec![ClassState::default(); set.classes.len()],
            customers: BTreeMap::new(),
            within: vec![UNREAD; set.plans.len()],
            servers: Vec::new(),
            by_id: BTreeMap::new(),
            open: BTreeMap::new(),
            races: Vec::new(),
            out: BTreeMap::new(),
            timers: BTreeMap::new(),
            next_tag: 0,
            priced_at: 0.0,
            seen: 0.0,
            stalled: f64::NEG_INFINITY,
            extra: 1.0,
            wait: 0.0,
            heard: 0.0,
            missing: 0.0,
            usual_out: 0.0,
            asked_list: f64::NEG_INFINITY,
            tally: [0; 5],
            told_at: 0.0,
            set,
        })
    }

    /// Takes one event and appends what is to be done about it.
    pub fn handle(&mut self, now: Millis, event: Event, act: &mut Vec<Action>) {
        // A clock that steps back must not undo what was granted.
        self.now = if now.is_finite() { now.max(self.now) } else { self.now };
        // Danger: a gateway that stood still, longer than a tick, finds all at once: that tells no latency.
        if self.now - self.seen > 2.5 * TICK {
            self.stalled = self.now;
        }
        self.seen = self.now;
        if self.started.is_none() {
            self.started = Some(self.now);
            self.priced_at = self.now;
            self.remind(Due::Tick, TICK, act);
            act.extend(self.set.must_subscribe.then_some(Action::Subscribe));
        }
        match event {
            Event::List { kind, backends } => self.list(kind, backends, act),
            Event::Request(request) => self.request(&request, act),
            Event::BodyComplete { request, budget } => self.whole(request, budget, act),
            Event::ResponseStarted { request, .. } => {
                self.open.get_mut(&request).into_iter().for_each(|open| open.streaming = true);
            }
            Event::Outcome(outcome) => self.outcome(&outcome, act),
            Event::ClientGone(id) => self.end(id, act),
            Event::Timer(tag) => self.timer(tag, act),
            Event::Probed { backend, code, .. } => self.probed(&backend, code, act),
            Event::Counted { .. } | Event::Peer { .. } => {}
        }
    }
}
