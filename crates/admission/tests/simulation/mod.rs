//! Simulation in virtual time: workers with a queue, gatekeepers, and clients that retry once after a refusal.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use switchhill_admission::{Controller, Decision, RouteConfig, Sample, ServiceLoad, Settings, Summary};

pub const SERVICE: &str = "model";
/// Interval of the workers' load reports.
const REPORT_MS: u64 = 200;
/// Time from a free slot to the first byte.
const FIRST_BYTE_MS: u64 = 40;

/// A kind of request and its arrival rate.
#[derive(Debug, Clone)]
pub struct RequestKind {
    pub terms: RouteConfig,
    pub per_s: f64,
}

/// Parameters of a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    pub gatekeepers: u32,
    pub workers: u32,
    pub slots_each: u32,
    pub hold_ms: f64,
    pub kinds: Vec<RequestKind>,
    /// Factor on the arrival rates during the burst.
    pub burst: f64,
    pub burst_from_ms: u64,
    pub burst_until_ms: u64,
    pub until_ms: u64,
    pub seed: u64,
}

impl Scenario {
    pub fn slots(&self) -> u32 {
        self.workers * self.slots_each
    }

    fn rate_factor(&self, now: u64) -> f64 {
        if (self.burst_from_ms..self.burst_until_ms).contains(&now) {
            self.burst
        } else {
            1.0
        }
    }
}

/// An admission policy.
pub trait Policy {
    fn load(&mut self, now: u64, load: ServiceLoad);
    fn arrived(&mut self, now: u64, kind: &RouteConfig, size: f64, left_ms: f64) -> Decision;
    fn finished(&mut self, now: u64, kind: &RouteConfig, first_byte_ms: Option<f64>, size: f64);
    fn tick(&mut self, now: u64);
}

/// The controllers under test, one for each gatekeeper; requests are assigned to them at random.
pub struct ControllerPolicy {
    controllers: Vec<Controller>,
    rng: fastrand::Rng,
}

impl ControllerPolicy {
    pub fn new(scenario: &Scenario) -> Self {
        let terms: Vec<RouteConfig> = scenario.kinds.iter().map(|kind| kind.terms.clone()).collect();
        let build = |number: u32| {
            let seed = scenario.seed * 1000 + u64::from(number);
            let mut controller = Controller::new(Settings { seed, ..Settings::default() });
            controller.set_routes(0, &terms);
            controller.set_gatekeepers(scenario.gatekeepers);
            controller
        };
        Self {
            controllers: (0..scenario.gatekeepers).map(build).collect(),
            rng: fastrand::Rng::with_seed(scenario.seed + 1),
        }
    }

    /// Gives each gatekeeper the sum of the other gatekeepers' summaries.
    fn exchange(&mut self, now: u64) {
        let summaries: Vec<Vec<(String, Summary)>> =
            self.controllers.iter().map(|c| c.summary(now)).collect();
        for (at, controller) in self.controllers.iter_mut().enumerate() {
            let mut sums: BTreeMap<&str, Summary> = BTreeMap::new();
            let others = summaries.iter().enumerate().filter(|(from, _)| *from != at);
            for (route, summary) in others.flat_map(|(_, summaries)| summaries) {
                let sum = sums.entry(route).or_default();
                sum.admitted_per_s += summary.admitted_per_s;
                sum.delay_cost_per_s += summary.delay_cost_per_s;
            }
            for (route, sum) in sums {
                controller.set_peer_summary(now, route, sum);
            }
        }
    }
}

impl Policy for ControllerPolicy {
    fn load(&mut self, now: u64, load: ServiceLoad) {
        for controller in &mut self.controllers {
            controller.set_service_load(now, SERVICE, load);
        }
    }

    fn arrived(&mut self, now: u64, kind: &RouteConfig, size: f64, left_ms: f64) -> Decision {
        let at = self.rng.usize(..self.controllers.len());
        self.controllers[at].decide(now, &kind.route, size, left_ms)
    }

    fn finished(&mut self, now: u64, kind: &RouteConfig, first_byte_ms: Option<f64>, size: f64) {
        let sample = Sample { first_byte_ms, waited_for_load: false, worker_hung: false, units: size };
        let at = self.rng.usize(..self.controllers.len());
        self.controllers[at].record_sample(now, &kind.route, sample);
    }

    fn tick(&mut self, now: u64) {
        for controller in &mut self.controllers {
            controller.tick(now);
        }
        self.exchange(now);
    }
}

/// A policy that decides by the request alone: a counterexample that a check has to reject.
pub struct FixedPolicy<F>(pub F);

impl<F: FnMut(u64, &RouteConfig, f64) -> Decision> Policy for FixedPolicy<F> {
    fn load(&mut self, _now: u64, _load: ServiceLoad) {}

    fn arrived(&mut self, now: u64, kind: &RouteConfig, size: f64, _left_ms: f64) -> Decision {
        (self.0)(now, kind, size)
    }

    fn finished(&mut self, _now: u64, _kind: &RouteConfig, _first_byte_ms: Option<f64>, _size: f64) {}

    fn tick(&mut self, _now: u64) {}
}

/// How one request ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum End {
    InTime,
    Late,
    Refused,
    TimedOut,
}

/// One request of a client, with its retry.
#[derive(Debug, Clone, Copy)]
pub struct RequestRecord {
    pub kind: usize,
    pub size: f64,
    pub arrived_ms: u64,
    pub refusals: u32,
    pub end: End,
}

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub records: Vec<RequestRecord>,
    /// Occupancy at each refusal.
    pub occupancy_at_refusals: Vec<f64>,
    /// Remaining time of the client and retry delay, at each refusal.
    pub retries: Vec<(f64, u64)>,
}

impl Outcome {
    pub fn between(&self, from_ms: u64, until_ms: u64) -> impl Iterator<Item = &RequestRecord> + '_ {
        self.records.iter().filter(move |j| (from_ms..until_ms).contains(&j.arrived_ms))
    }

    pub fn refusals(&self) -> u32 {
        self.records.iter().map(|record| record.refusals).sum()
    }

    /// Share of the requests that arrived in this interval and were answered in time.
    pub fn in_time(&self, from_ms: u64, until_ms: u64) -> f64 {
        share(self.between(from_ms, until_ms), |record| record.end == End::InTime)
    }

    /// Mean worth of the requests that arrived in this interval; each is worth 1 if answered in time.
    pub fn earned(&self, from_ms: u64, until_ms: u64) -> f64 {
        let count = self.between(from_ms, until_ms).count().max(1) as f64;
        self.between(from_ms, until_ms).map(earned).sum::<f64>() / count
    }

    /// Share of the chosen requests that were served, in time or late.
    pub fn served(&self, chosen: impl Fn(&RequestRecord) -> bool) -> f64 {
        share(self.records.iter().filter(|record| chosen(record)), served)
    }
}

/// Worth of a late answer and cost of a second refusal, as shares of the worth in time.
const LATE_WORTH: f64 = 0.3;

fn earned(record: &RequestRecord) -> f64 {
    match (record.end, record.refusals) {
        (End::InTime, 0) => 1.0,
        (End::InTime, _) => (1.0 + LATE_WORTH) / 2.0,
        (End::Late, _) => LATE_WORTH,
        (End::Refused, _) => -LATE_WORTH,
        (End::TimedOut, _) => 0.0,
    }
}

pub fn served(record: &RequestRecord) -> bool {
    matches!(record.end, End::InTime | End::Late)
}

fn share<'a>(records: impl Iterator<Item = &'a RequestRecord>, good: impl Fn(&RequestRecord) -> bool) -> f64 {
    let (mut all, mut chosen) = (0.0, 0.0);
    for record in records {
        all += 1.0;
        chosen += f64::from(u8::from(good(record)));
    }
    if all > 0.0 {
        chosen / all
    } else {
        1.0
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival(usize),
    Retry(usize),
    SlotFree,
    Report,
    Tick,
}

struct Run<'a, P> {
    scenario: &'a Scenario,
    policy: &'a mut P,
    rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    running: u32,
    queue: VecDeque<(usize, u64)>,
    outcome: Outcome,
}

/// Runs a scenario under a policy.
pub fn simulate<P: Policy>(scenario: &Scenario, policy: &mut P) -> Outcome {
    let rng = fastrand::Rng::with_seed(scenario.seed);
    let mut run = Run {
        scenario,
        policy,
        rng,
        events: BinaryHeap::new(),
        sequence: 0,
        running: 0,
        queue: VecDeque::new(),
        outcome: Outcome::default(),
    };
    run.schedule(0, Event::Report);
    run.schedule(0, Event::Tick);
    for kind in 0..scenario.kinds.len() {
        run.schedule(0, Event::Arrival(kind));
    }
    while let Some(Reverse((now, _, event))) = run.events.pop() {
        if now >= 2 * scenario.until_ms {
            break;
        }
        run.handle(now, event);
    }
    run.outcome
}

impl<P: Policy> Run<'_, P> {
    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrival(kind) => self.arrive(now, kind),
            Event::Retry(id) => self.attempt(now, id),
            Event::SlotFree => {
                self.running -= 1;
                self.start_queued(now);
            }
            Event::Report => {
                let load = self.load();
                self.policy.load(now, load);
                self.schedule(now + REPORT_MS, Event::Report);
            }
            Event::Tick => {
                self.policy.tick(now);
                self.schedule(now + 1000, Event::Tick);
            }
        }
    }

    fn load(&self) -> ServiceLoad {
        ServiceLoad {
            ready_workers: self.scenario.workers,
            slots: self.scenario.slots(),
            outstanding: self.outstanding(),
        }
    }

    fn outstanding(&self) -> f64 {
        f64::from(self.running) + self.queue.len() as f64
    }

    fn arrive(&mut self, now: u64, kind: usize) {
        if now >= self.scenario.until_ms {
            return;
        }
        let per_s = self.scenario.kinds[kind].per_s * self.scenario.rate_factor(now);
        let gap = self.exponential(1000.0 / per_s);
        self.schedule(now + gap.max(1.0) as u64, Event::Arrival(kind));
        // One request in ten is four times as large as the others.
        let size = if self.rng.f64() < 0.1 { 4000.0 } else { 1000.0 };
        let record = RequestRecord { kind, size, arrived_ms: now, refusals: 0, end: End::TimedOut };
        self.outcome.records.push(record);
        self.attempt(now, self.outcome.records.len() - 1);
    }

    fn attempt(&mut self, now: u64, id: usize) {
        let record = self.outcome.records[id];
        let terms = self.scenario.kinds[record.kind].terms.clone();
        let left = terms.timeout_ms - (now - record.arrived_ms) as f64;
        match self.policy.arrived(now, &terms, record.size, left) {
            Decision::Admit => {
                self.queue.push_back((id, now));
                self.start_queued(now);
            }
            Decision::Refuse { retry_after_ms } => {
                self.outcome.records[id].refusals += 1;
                let occupancy = self.outstanding() / f64::from(self.scenario.slots());
                self.outcome.occupancy_at_refusals.push(occupancy);
                self.outcome.retries.push((left, retry_after_ms));
                if record.refusals == 0 {
                    self.schedule(now + retry_after_ms, Event::Retry(id));
                } else {
                    self.outcome.records[id].end = End::Refused;
                }
            }
        }
    }

    fn start_queued(&mut self, now: u64) {
        while self.running < self.scenario.slots() {
            let Some((id, admitted)) = self.queue.pop_front() else { return };
            let record = self.outcome.records[id];
            let terms = self.scenario.kinds[record.kind].terms.clone();
            if (now - record.arrived_ms) as f64 > terms.timeout_ms {
                self.policy.finished(now, &terms, None, record.size);
                continue;
            }
            self.running += 1;
            let first_byte = (now - admitted + FIRST_BYTE_MS) as f64;
            self.policy.finished(now, &terms, Some(first_byte), record.size);
            let in_time = first_byte <= terms.target_latency_ms;
            self.outcome.records[id].end = if in_time { End::InTime } else { End::Late };
            let hold = self.exponential(self.scenario.hold_ms);
            self.schedule(now + FIRST_BYTE_MS + hold as u64, Event::SlotFree);
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.f64()).ln()
    }
}
