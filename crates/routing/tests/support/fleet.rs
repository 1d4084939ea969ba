//! Discrete-event simulation of data planes and workers. Each data plane has its own router and learns the loads of its
//! peers with a delay.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use fastrand::Rng;
use switchhill_routing::*;

use super::{request, worker};

/// Prompt tokens an engine prefills per millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// Time between generated tokens of one request.
const TOKEN_MS: f64 = 5.1;
/// Interval at which data planes report their loads.
const REPORT_INTERVAL_MS: u64 = 200;
/// Age of the loads when they arrive at the peers.
const REPORT_DELAY_MS: u64 = 100;
/// Time from the start during which the imbalance is not sampled.
const WARM_UP_MS: u64 = 3_000;

/// How a data plane picks a worker.
#[derive(Debug, Clone)]
pub enum Policy {
    /// By the router with these settings.
    Router(RouterSettings),
    /// By the router, without peer loads.
    WithoutPeerLoads,
    /// At random.
    Random,
    /// The worker with the least load as last reported.
    LeastKnownLoad,
}

/// Size and traffic of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    pub data_planes: usize,
    pub workers: usize,
    pub slots: u32,
    pub per_second: f64,
    pub duration_ms: u64,
}

/// Measurements of a run.
#[derive(Debug, Default)]
pub struct Report {
    /// Ratio of the most loaded worker's requests to the mean of all workers, averaged over time.
    pub max_over_mean: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: u64,
    /// Share of shared prompt tokens that were prefilled because the worker had not cached them.
    pub repeated_prefill: f64,
    pub refused: usize,
    pub served: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    FirstToken(usize),
    Finished(usize),
    ReportLoads,
    LoadsReceived(usize),
    Arrival,
}

struct RunningRequest {
    data_plane: usize,
    worker: usize,
    attempt: AttemptKey,
    arrived_at: u64,
    profile: RequestProfile,
}

#[derive(Default)]
struct Engine {
    running: u32,
    waiting: VecDeque<usize>,
    prefilling_until: f64,
    cached: HashMap<u64, u64>,
}

struct Simulation<'a> {
    fleet: Fleet,
    policy: &'a Policy,
    rng: Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    events_scheduled: u64,
    routers: Vec<Router>,
    keys: Vec<Vec<WorkerKey>>,
    outstanding: Vec<Vec<u32>>,
    load_reports: Vec<Vec<Vec<u32>>>,
    engines: Vec<Engine>,
    requests: Vec<RunningRequest>,
    serial: u64,
    first_tokens: Vec<u64>,
    imbalance: f64,
    samples: u32,
    shared_tokens: u64,
    shared_tokens_prefilled: u64,
    refused: usize,
    served: usize,
}

pub fn run(fleet: Fleet, policy: &Policy, seed: u64) -> Report {
    let mut simulation = Simulation::new(fleet, policy, seed);
    simulation.run_events();
    simulation.report()
}

impl<'a> Simulation<'a> {
    fn new(fleet: Fleet, policy: &'a Policy, seed: u64) -> Self {
        let settings = match policy {
            Policy::Router(settings) => settings.clone(),
            _ => RouterSettings::for_zone("a"),
        };
        let views: Vec<WorkerView> = (0..fleet.workers)
            .map(|index| WorkerView { slots: fleet.slots, ..worker(&format!("w{index}")) })
            .collect();
        let mut routers = Vec::new();
        let mut keys = Vec::new();
        for data_plane in 0..fleet.data_planes {
            let mut router = Router::new(settings.clone(), seed * 1_000 + data_plane as u64);
            router.set_data_plane_count(fleet.data_planes as u32);
            router.set_workers(0, views.clone());
            keys.push(views.iter().map(|view| router.key(&view.id).expect("listed")).collect());
            routers.push(router);
        }
        let mut simulation = Simulation {
            fleet,
            policy,
            rng: Rng::with_seed(seed),
            now: 0,
            events: BinaryHeap::new(),
            events_scheduled: 0,
            routers,
            keys,
            outstanding: vec![vec![0; fleet.workers]; fleet.data_planes],
            load_reports: Vec::new(),
            engines: (0..fleet.workers).map(|_| Engine::default()).collect(),
            requests: Vec::new(),
            serial: 0,
            first_tokens: Vec::new(),
            imbalance: 0.0,
            samples: 0,
            shared_tokens: 0,
            shared_tokens_prefilled: 0,
            refused: 0,
            served: 0,
        };
        simulation.schedule(0, Event::Arrival);
        simulation.schedule(0, Event::ReportLoads);
        simulation
    }

    fn schedule(&mut self, time: u64, event: Event) {
        self.events_scheduled += 1;
        self.events.push(Reverse((time, self.events_scheduled, event)));
    }

    fn run_events(&mut self) {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > self.fleet.duration_ms {
                break;
            }
            self.now = time;
            match event {
                Event::Arrival => self.arrival(),
                Event::FirstToken(request) => self.first_token(request),
                Event::Finished(request) => self.finished(request),
                Event::ReportLoads => self.report_loads(),
                Event::LoadsReceived(report) => self.loads_received(report),
            }
        }
    }

    fn report(mut self) -> Report {
        self.first_tokens.sort_unstable();
        let p95 = self.first_tokens.get(self.first_tokens.len() * 95 / 100).copied().unwrap_or(0);
        Report {
            max_over_mean: self.imbalance / f64::from(self.samples.max(1)),
            first_token_p95_ms: p95,
            repeated_prefill: self.shared_tokens_prefilled as f64 / self.shared_tokens.max(1) as f64,
            refused: self.refused,
            served: self.served,
        }
    }

    /// Requests arrive in bursts of one to five.
    fn arrival(&mut self) {
        let burst = self.rng.usize(1..=5);
        for _ in 0..burst {
            self.one_arrival();
        }
        let gap = -self.rng.f64().max(1e-9).ln() * 3_000.0 / self.fleet.per_second;
        self.schedule(self.now + gap as u64, Event::Arrival);
    }

    fn one_arrival(&mut self) {
        let data_plane = self.rng.usize(0..self.fleet.data_planes);
        let profile = self.profile();
        let Some(worker) = self.choose(data_plane, &profile) else {
            self.refused += 1;
            return;
        };
        let key = self.keys[data_plane][worker];
        let attempt = self.routers[data_plane].sent(self.now, key, &profile);
        self.outstanding[data_plane][worker] += 1;
        self.requests.push(RunningRequest { data_plane, worker, attempt, arrived_at: self.now, profile });
        self.engines[worker].waiting.push_back(self.requests.len() - 1);
        self.start_waiting(worker);
    }

    fn choose(&mut self, data_plane: usize, profile: &RequestProfile) -> Option<usize> {
        match self.policy {
            Policy::Random => Some(self.rng.usize(0..self.fleet.workers)),
            Policy::LeastKnownLoad => self.least_known_load(data_plane),
            Policy::Router(_) | Policy::WithoutPeerLoads => {
                match self.routers[data_plane].choose(self.now, profile, &[]) {
                    Choice::Send(key) => self.keys[data_plane].iter().position(|other| *other == key),
                    _ => None,
                }
            }
        }
    }

    fn least_known_load(&self, data_plane: usize) -> Option<usize> {
        let router = &self.routers[data_plane];
        let keys = &self.keys[data_plane];
        (0..self.fleet.workers).min_by_key(|worker| {
            let peer_load = router.worker(keys[*worker]).map_or(0, |view| view.peer_load);
            peer_load + self.outstanding[data_plane][*worker]
        })
    }

    fn profile(&mut self) -> RequestProfile {
        self.serial += 1;
        let mut profile = request(self.serial);
        let first = PromptPart { id: self.rng.u64(0..3), tokens: 119 };
        let second = PromptPart { id: 100 + self.rng.u64(0..83), tokens: 79 };
        let own = PromptPart { id: 1_000 + self.serial, tokens: self.exponential_tokens(430.0, 3_000.0) };
        profile.prompt_tokens = first.tokens + second.tokens + own.tokens;
        profile.prompt_parts = vec![first, second, own];
        profile.output_tokens = self.exponential_tokens(290.0, 950.0);
        profile
    }

    fn exponential_tokens(&mut self, mean: f64, max: f64) -> u32 {
        let exponential = -self.rng.f64().max(1e-9).ln();
        (exponential * mean).clamp(5.0, max) as u32
    }

    fn start_waiting(&mut self, worker: usize) {
        while self.engines[worker].running < self.fleet.slots {
            let Some(request) = self.engines[worker].waiting.pop_front() else { return };
            let prefill = self.tokens_to_prefill(worker, request);
            let engine = &mut self.engines[worker];
            engine.running += 1;
            engine.prefilling_until =
                engine.prefilling_until.max(self.now as f64) + prefill as f64 / PREFILL_TOKENS_PER_MS;
            let first_token = engine.prefilling_until as u64 + 10;
            self.schedule(first_token, Event::FirstToken(request));
        }
    }

    /// Tokens of the prompt that the engine has not cached. Its cache holds 200 prefixes.
    fn tokens_to_prefill(&mut self, worker: usize, request: usize) -> u64 {
        let profile = &self.requests[request].profile;
        let engine = &mut self.engines[worker];
        let mut chain = 0;
        let mut is_cached = true;
        let mut prefill = u64::from(profile.prompt_parts.last().expect("has parts").tokens);
        for part in &profile.prompt_parts[..2] {
            chain = chain * 1_000 + part.id + 1;
            is_cached &= engine.cached.insert(chain, self.now).is_some();
            self.shared_tokens += u64::from(part.tokens);
            if !is_cached {
                self.shared_tokens_prefilled += u64::from(part.tokens);
                prefill += u64::from(part.tokens);
            }
        }
        if engine.cached.len() > 200 {
            let oldest = engine.cached.iter().min_by_key(|(_, at)| **at).map(|(chain, _)| *chain);
            oldest.map(|chain| engine.cached.remove(&chain));
        }
        prefill
    }

    fn first_token(&mut self, request: usize) {
        let running = &self.requests[request];
        self.routers[running.data_plane].first_byte(self.now, running.attempt);
        self.first_tokens.push(self.now - running.arrived_at);
        let decoding = f64::from(running.profile.output_tokens) * TOKEN_MS;
        self.schedule(self.now + decoding as u64, Event::Finished(request));
    }

    fn finished(&mut self, request: usize) {
        let running = &self.requests[request];
        let (data_plane, worker) = (running.data_plane, running.worker);
        self.routers[data_plane].finished(self.now, running.attempt, AttemptOutcome::Success);
        self.outstanding[data_plane][worker] -= 1;
        self.engines[worker].running -= 1;
        self.served += 1;
        self.start_waiting(worker);
    }

    fn report_loads(&mut self) {
        self.sample_imbalance();
        self.load_reports.push(self.outstanding.clone());
        self.schedule(self.now + REPORT_DELAY_MS, Event::LoadsReceived(self.load_reports.len() - 1));
        self.schedule(self.now + REPORT_INTERVAL_MS, Event::ReportLoads);
    }

    fn loads_received(&mut self, report: usize) {
        if matches!(self.policy, Policy::WithoutPeerLoads) {
            return;
        }
        for data_plane in 0..self.fleet.data_planes {
            for worker in 0..self.fleet.workers {
                let all: u32 = self.load_reports[report].iter().map(|loads| loads[worker]).sum();
                let peer_load = all - self.load_reports[report][data_plane][worker];
                let key = self.keys[data_plane][worker];
                let reported_at = self.now - REPORT_DELAY_MS;
                self.routers[data_plane].set_peer_load(reported_at, key, peer_load);
            }
        }
    }

    /// Samples the load imbalance of the fleet after the warm-up.
    fn sample_imbalance(&mut self) {
        if self.now < WARM_UP_MS {
            return;
        }
        let load = |worker: usize| self.outstanding.iter().map(|loads| loads[worker]).sum::<u32>();
        let loads: Vec<u32> = (0..self.fleet.workers).map(load).collect();
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len() as f64;
        let max = f64::from(loads.iter().copied().max().unwrap_or(0));
        self.imbalance += max / mean.max(1.0);
        self.samples += 1;
    }
}
