//! A service of workers with a queue, clients that come back once, and one gatekeeper, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use switchhill_admission::{Controller, Decision, RouteConfig, Sample, ServiceLoad, Settings, Summary};

pub const SERVICE: &str = "model";
/// Time between two reports of the workers' load.
const REPORT_MS: u64 = 200;
/// Time from a free slot to the first byte.
const FIRST_BYTE_MS: u64 = 40;

/// One kind of request.
#[derive(Debug, Clone)]
pub struct Kind {
    pub terms: RouteConfig,
    pub per_s: f64,
}

/// What the simulation is built of.
#[derive(Debug, Clone)]
pub struct Scene {
    pub gatekeepers: u32,
    pub workers: u32,
    pub slots_each: u32,
    pub hold_ms: f64,
    pub kinds: Vec<Kind>,
    /// Multiple of the kinds' rates between the two times.
    pub burst: f64,
    pub burst_from_ms: u64,
    pub burst_until_ms: u64,
    pub until_ms: u64,
    pub seed: u64,
}

impl Scene {
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

/// What decides on requests.
pub trait Policy {
    fn load(&mut self, now: u64, load: ServiceLoad);
    fn arrived(&mut self, now: u64, kind: &RouteConfig, size: f64, left_ms: f64) -> Decision;
    fn finished(&mut self, now: u64, kind: &RouteConfig, first_byte_ms: Option<f64>, size: f64);
    fn tick(&mut self, now: u64);
}

/// The controllers under test, one a gatekeeper; requests fall to them by chance.
pub struct Priced {
    controllers: Vec<Controller>,
    rng: fastrand::Rng,
}

impl Priced {
    pub fn new(scene: &Scene) -> Self {
        let terms: Vec<RouteConfig> = scene.kinds.iter().map(|kind| kind.terms.clone()).collect();
        let build = |number: u32| {
            let seed = scene.seed * 1000 + u64::from(number);
            let mut controller = Controller::new(Settings { seed, ..Settings::default() });
            controller.set_routes(0, &terms);
            controller.set_gatekeepers(scene.gatekeepers);
            controller
        };
        Self {
            controllers: (0..scene.gatekeepers).map(build).collect(),
            rng: fastrand::Rng::with_seed(scene.seed + 1),
        }
    }

    /// Gives each gatekeeper the sums of what the others tell.
    fn exchange(&mut self, now: u64) {
        let told: Vec<Vec<(String, Summary)>> = self.controllers.iter().map(|c| c.summary(now)).collect();
        for (at, controller) in self.controllers.iter_mut().enumerate() {
            let mut sums: BTreeMap<&str, Summary> = BTreeMap::new();
            let others = told.iter().enumerate().filter(|(from, _)| *from != at);
            for (route, summary) in others.flat_map(|(_, told)| told) {
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

impl Policy for Priced {
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

/// A policy that looks at the request alone: a counterexample that a check must notice.
pub struct Fixed<F>(pub F);

impl<F: FnMut(u64, &RouteConfig, f64) -> Decision> Policy for Fixed<F> {
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

/// One request of a client, with all of its tries.
#[derive(Debug, Clone, Copy)]
pub struct Journey {
    pub kind: usize,
    pub size: f64,
    pub came_ms: u64,
    pub refusals: u32,
    pub end: End,
}

/// What became of a run.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub journeys: Vec<Journey>,
    /// Known requests over slots at each refusal.
    pub occupancy_at_refusals: Vec<f64>,
    /// Time that clients had left, and were told to wait, at each refusal.
    pub retries: Vec<(f64, u64)>,
}

impl Outcome {
    pub fn between(&self, from_ms: u64, until_ms: u64) -> impl Iterator<Item = &Journey> + '_ {
        self.journeys.iter().filter(move |j| (from_ms..until_ms).contains(&j.came_ms))
    }

    pub fn refusals(&self) -> u32 {
        self.journeys.iter().map(|journey| journey.refusals).sum()
    }

    /// Share of what came in this span that was answered in time.
    pub fn in_time(&self, from_ms: u64, until_ms: u64) -> f64 {
        share(self.between(from_ms, until_ms), |journey| journey.end == End::InTime)
    }

    /// What was earned of the worth that came in this span, every request being worth the same in time.
    pub fn earned(&self, from_ms: u64, until_ms: u64) -> f64 {
        let count = self.between(from_ms, until_ms).count().max(1) as f64;
        self.between(from_ms, until_ms).map(earned).sum::<f64>() / count
    }

    /// Share of those chosen that were served, in time or late.
    pub fn served(&self, chosen: impl Fn(&Journey) -> bool) -> f64 {
        share(self.journeys.iter().filter(|journey| chosen(journey)), served)
    }
}

/// Worth of a late answer, and price of a second refusal, as shares of the worth in time.
const LATE: f64 = 0.3;

fn earned(journey: &Journey) -> f64 {
    match (journey.end, journey.refusals) {
        (End::InTime, 0) => 1.0,
        (End::InTime, _) => (1.0 + LATE) / 2.0,
        (End::Late, _) => LATE,
        (End::Refused, _) => -LATE,
        (End::TimedOut, _) => 0.0,
    }
}

pub fn served(journey: &Journey) -> bool {
    matches!(journey.end, End::InTime | End::Late)
}

fn share<'a>(journeys: impl Iterator<Item = &'a Journey>, good: impl Fn(&Journey) -> bool) -> f64 {
    let (mut all, mut chosen) = (0.0, 0.0);
    for journey in journeys {
        all += 1.0;
        chosen += f64::from(u8::from(good(journey)));
    }
    if all > 0.0 {
        chosen / all
    } else {
        1.0
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Come(usize),
    Try(usize),
    Free,
    Report,
    Tick,
}

struct Run<'a, P> {
    scene: &'a Scene,
    policy: &'a mut P,
    rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    number: u64,
    running: u32,
    queue: VecDeque<(usize, u64)>,
    outcome: Outcome,
}

/// Plays a scene under a policy.
pub fn play<P: Policy>(scene: &Scene, policy: &mut P) -> Outcome {
    let rng = fastrand::Rng::with_seed(scene.seed);
    let mut run = Run {
        scene,
        policy,
        rng,
        events: BinaryHeap::new(),
        number: 0,
        running: 0,
        queue: VecDeque::new(),
        outcome: Outcome::default(),
    };
    run.at(0, Event::Report);
    run.at(0, Event::Tick);
    for kind in 0..scene.kinds.len() {
        run.at(0, Event::Come(kind));
    }
    while let Some(Reverse((now, _, event))) = run.events.pop() {
        if now >= 2 * scene.until_ms {
            break;
        }
        run.handle(now, event);
    }
    run.outcome
}

impl<P: Policy> Run<'_, P> {
    fn at(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.push(Reverse((at, self.number, event)));
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Come(kind) => self.come(now, kind),
            Event::Try(id) => self.attempt(now, id),
            Event::Free => {
                self.running -= 1;
                self.begin(now);
            }
            Event::Report => {
                let load = self.load();
                self.policy.load(now, load);
                self.at(now + REPORT_MS, Event::Report);
            }
            Event::Tick => {
                self.policy.tick(now);
                self.at(now + 1000, Event::Tick);
            }
        }
    }

    fn load(&self) -> ServiceLoad {
        ServiceLoad {
            ready_workers: self.scene.workers,
            slots: self.scene.slots(),
            outstanding: self.outstanding(),
        }
    }

    fn outstanding(&self) -> f64 {
        f64::from(self.running) + self.queue.len() as f64
    }

    fn come(&mut self, now: u64, kind: usize) {
        if now >= self.scene.until_ms {
            return;
        }
        let per_s = self.scene.kinds[kind].per_s * self.scene.rate_factor(now);
        let gap = self.exponential(1000.0 / per_s);
        self.at(now + gap.max(1.0) as u64, Event::Come(kind));
        // One request in ten is four times as large as the others.
        let size = if self.rng.f64() < 0.1 { 4000.0 } else { 1000.0 };
        let journey = Journey { kind, size, came_ms: now, refusals: 0, end: End::TimedOut };
        self.outcome.journeys.push(journey);
        self.attempt(now, self.outcome.journeys.len() - 1);
    }

    fn attempt(&mut self, now: u64, id: usize) {
        let journey = self.outcome.journeys[id];
        let terms = self.scene.kinds[journey.kind].terms.clone();
        let left = terms.timeout_ms - (now - journey.came_ms) as f64;
        match self.policy.arrived(now, &terms, journey.size, left) {
            Decision::Admit => {
                self.queue.push_back((id, now));
                self.begin(now);
            }
            Decision::Refuse { retry_after_ms } => {
                self.outcome.journeys[id].refusals += 1;
                let occupancy = self.outstanding() / f64::from(self.scene.slots());
                self.outcome.occupancy_at_refusals.push(occupancy);
                self.outcome.retries.push((left, retry_after_ms));
                if journey.refusals == 0 {
                    self.at(now + retry_after_ms, Event::Try(id));
                } else {
                    self.outcome.journeys[id].end = End::Refused;
                }
            }
        }
    }

    fn begin(&mut self, now: u64) {
        while self.running < self.scene.slots() {
            let Some((id, admitted)) = self.queue.pop_front() else { return };
            let journey = self.outcome.journeys[id];
            let terms = self.scene.kinds[journey.kind].terms.clone();
            if (now - journey.came_ms) as f64 > terms.timeout_ms {
                self.policy.finished(now, &terms, None, journey.size);
                continue;
            }
            self.running += 1;
            let first_byte = (now - admitted + FIRST_BYTE_MS) as f64;
            self.policy.finished(now, &terms, Some(first_byte), journey.size);
            let in_time = first_byte <= terms.target_latency_ms;
            self.outcome.journeys[id].end = if in_time { End::InTime } else { End::Late };
            let hold = self.exponential(self.scene.hold_ms);
            self.at(now + FIRST_BYTE_MS + hold as u64, Event::Free);
        }
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.f64()).ln()
    }
}
