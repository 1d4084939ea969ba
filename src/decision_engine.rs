//! Admission, routing, retries and quotas of one gateway. The state is here, the code that acts on it in
//! `src/decision_engine/`, the types in `src/interface.rs`. No I/O and no clock: `handle` is given the time.

mod arrival;
mod attempts;
mod price;
mod servers;
mod slice;
pub mod snapshot;
mod timers;

use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Share by which an estimate decays in each price interval without a new sample.
const DECAY: f64 = 0.05;
/// Responses over which a class's mean latency is averaged.
const MEAN_SAMPLES: f64 = 60.0;
/// Interval of the periodic check of outstanding attempts.
const TICK: Millis = 100.0;
const CANDIDATES_PER_ATTEMPT: usize = 8;
/// First ejection time of a backend; doubled by each failed trial up to eight times this.
const BACKOFF: Millis = 1000.0;
/// Retry budget that an admission adds, and its maximum: the budgets of many gateways add up to a burst.
const RETRY_TOKENS_EARNED: f64 = 0.1;
const RETRY_TOKENS_MAX: f64 = 3.0;
/// Share of the target latency after which an attempt is checked.
const CHECK_SHARE: f64 = 0.3;
/// Prior and least probability that a customer without local history is within its quota.
const PRIOR_WITHIN: f64 = 0.6;
/// Slots of a customer's local usage history; each is half a meter period.
const SLOTS: usize = 32;

/// Price of one class and the samples it is computed from; stored by position: fields keep order and type.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct ClassState {
    price: f64,
    mean_latency: f64,
    /// Mean latency less the queueing share that load reports give.
    service_time: f64,
    service_times: VecDeque<f64>,
    floor: f64,
    samples: f64,
    wait_sum: f64,
    wait_samples: f64,
    admitted_units: f64,
    offered: f64,
}

/// A customer's local share of its quota and ceiling (token buckets); stored by position, as above.
#[derive(Debug, Clone, Default, serde::Serialize, serde::Deserialize)]
pub struct Customer {
    plan: usize,
    entry_points: f64,
    share: f64,
    tokens: f64,
    ceiling_tokens: f64,
    refilled_at: Millis,
    share_updated_at: Millis,
    reading: f64,
    metered_at: Millis,
    unmetered_at: Millis,
    usage: [f64; SLOTS],
    usage_slot: i64,
    active: f64,
}

#[derive(Debug, Clone, Default)]
struct Server {
    listed: Backend,
    ramp_from: Millis,
    active: u32,
    /// Mean latency, age of the oldest unanswered attempt and sum of such ages, over the usual latency.
    slowdown: f64,
    lag: f64,
    silence: f64,
    samples: f64,
    answered_at: Millis,
    /// Latest send time among the attempts that it has answered.
    answered_send: Millis,
    failures: u32,
    backoff: Millis,
    ejected_until: Millis,
}

#[derive(Debug, Clone, Default)]
struct OpenRequest {
    class: usize,
    plan: usize,
    customer: u64,
    units: f64,
    within_quota: bool,
    received_at: Millis,
    deadline: Millis,
    attempts: u32,
    max_attempts: u32,
    body_incomplete: bool,
    active: u32,
    streaming: bool,
    /// Send time, zone and cell of the earliest attempt that may have run.
    may_have_run: Option<(Millis, u32, u32)>,
}

/// Scope of an idempotency key, and the zone and cell of the backend that may have run its request.
type Scope = (KeyScope, u32, u32);

#[derive(Debug, Clone, Copy)]
struct Attempt {
    server: usize,
    class: usize,
    customer: u64,
    sent_at: Millis,
}

#[derive(Debug, Clone, Copy)]
enum TimerKind {
    Tick,
    Subscribe,
    Check(RequestId),
    Deadline(RequestId),
}

/// Decision engine of one gateway.
#[derive(Debug)]
pub struct DecisionEngine {
    settings: Settings,
    rng: fastrand::Rng,
    now: Millis,
    started: Option<Millis>,
    classes: Vec<ClassState>,
    customers: BTreeMap<u64, Customer>,
    /// Share of each plan's meter readings that were within the quota.
    within_quota: Vec<f64>,
    servers: Vec<Server>,
    by_id: BTreeMap<BackendId, usize>,
    open: BTreeMap<RequestId, OpenRequest>,
    /// Requests that go to the first of these backends that answers its probe.
    pending_probes: Vec<(RequestId, Vec<usize>)>,
    attempts: BTreeMap<(RequestId, u32), Attempt>,
    timers: BTreeMap<u64, TimerKind>,
    next_tag: u64,
    priced_at: Millis,
    /// Time of the last event, and of the last one that followed a stall of this process.
    last_event_at: Millis,
    stalled_at: Millis,
    retry_tokens: f64,
    wait: Millis,
    /// Mean wait of answered attempts, and time-outs since the last answer.
    answered_wait: Millis,
    unanswered: f64,
    usual_load: f64,
    list_requested_at: Millis,
    /// Admitted; refused by quota, ceiling, lack of a backend, price; since the last trace line.
    counts: [u32; 5],
    logged_at: Millis,
}

impl DecisionEngine {
    /// Builds an engine; equal settings, seeds and events give equal actions.
    ///
    /// # Errors
    /// Names the first invalid setting.
    pub fn new(settings: Settings, seed: u64) -> Result<Self, SettingsError> {
        settings.validate()?;
        Ok(Self {
            rng: fastrand::Rng::with_seed(seed),
            now: 0.0,
            started: None,
            classes: vec![ClassState::default(); settings.classes.len()],
            customers: BTreeMap::new(),
            within_quota: vec![PRIOR_WITHIN; settings.plans.len()],
            servers: Vec::new(),
            by_id: BTreeMap::new(),
            open: BTreeMap::new(),
            pending_probes: Vec::new(),
            attempts: BTreeMap::new(),
            timers: BTreeMap::new(),
            next_tag: 0,
            priced_at: 0.0,
            last_event_at: 0.0,
            stalled_at: f64::NEG_INFINITY,
            retry_tokens: 1.0,
            wait: 0.0,
            answered_wait: 0.0,
            unanswered: 0.0,
            usual_load: 0.0,
            list_requested_at: f64::NEG_INFINITY,
            counts: [0; 5],
            logged_at: 0.0,
            settings,
        })
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: Millis, event: Event, act: &mut Vec<Action>) {
        // A clock that steps back must not take back what was granted.
        self.now = if now.is_finite() { now.max(self.now) } else { self.now };
        // After a stall of the process, longer than a tick, outcomes come at once: they measure no latency.
        if self.now - self.last_event_at > 2.5 * TICK {
            self.stalled_at = self.now;
        }
        self.last_event_at = self.now;
        if self.started.is_none() {
            self.started = Some(self.now);
            self.priced_at = self.now;
            self.set_timer(TimerKind::Tick, TICK, act);
            act.extend(self.settings.must_subscribe.then_some(Action::Subscribe));
        }
        match event {
            Event::List { kind, backends } => self.on_list(kind, backends, act),
            Event::Request(request) => self.on_request(&request, act),
            Event::BodyComplete { request, budget } => self.on_body_complete(request, budget, act),
            Event::ResponseStarted { request, .. } => {
                self.open.get_mut(&request).into_iter().for_each(|open| open.streaming = true);
            }
            Event::Outcome(outcome) => self.on_outcome(&outcome, act),
            Event::ClientGone(id) => self.finish(id, act),
            Event::Timer(tag) => self.on_timer(tag, act),
            Event::Probed { backend, code, .. } => self.on_probe_result(&backend, code, act),
            Event::Counted { .. } | Event::Peer { .. } => {}
        }
    }
}
