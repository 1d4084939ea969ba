//! A fleet of gatekeepers before engines in virtual time. Each gatekeeper has a router of its own and sees
//! what the others have outstanding only as it was a moment ago.
#![allow(dead_code)]

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use fastrand::Rng;
use switchhill_routing::*;

use super::{request, worker};

/// Prompt tokens an engine reads in a millisecond.
const PREFILL_TOKENS_PER_MS: f64 = 40.0;
/// Time between tokens of one request.
const TOKEN_MS: f64 = 5.1;
/// How often gatekeepers share their loads, and how old these are when they arrive.
const SHARE_EVERY_MS: u64 = 200;
const SHARE_DELAY_MS: u64 = 100;

/// How a gatekeeper picks a worker.
#[derive(Debug, Clone)]
pub enum Policy {
    /// The router, with these settings.
    Router(RouterSettings),
    /// The router without knowledge of what others have outstanding.
    Alone,
    /// Any worker.
    Random,
    /// The least load as last seen.
    LeastSeen,
}

/// Size and traffic of the fleet.
#[derive(Debug, Clone, Copy)]
pub struct Fleet {
    pub gatekeepers: usize,
    pub workers: usize,
    pub slots: u32,
    pub per_second: f64,
    pub length_ms: u64,
}

/// What a run shows.
#[derive(Debug, Default)]
pub struct Report {
    /// Mean over time of the most loaded worker's requests over the mean of all.
    pub max_over_mean: f64,
    /// 95th percentile of the time to the first token.
    pub first_token_p95_ms: u64,
    /// Share of shared prompt tokens that were read by a worker that had not kept them.
    pub read_again: f64,
    pub refused: usize,
    pub served: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    FirstToken(usize),
    Finished(usize),
    Share,
    Shared(usize),
    Arrival,
}

struct Running {
    gatekeeper: usize,
    worker: usize,
    attempt: AttemptKey,
    arrived_at: u64,
    profile: RequestProfile,
}

#[derive(Default)]
struct Engine {
    running: u32,
    waiting: VecDeque<usize>,
    reading_until: f64,
    kept: HashMap<u64, u64>,
}

struct Run<'a> {
    fleet: Fleet,
    policy: &'a Policy,
    rng: Rng,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    events_made: u64,
    routers: Vec<Router>,
    keys: Vec<Vec<WorkerKey>>,
    outstanding: Vec<Vec<u32>>,
    shared: Vec<Vec<Vec<u32>>>,
    engines: Vec<Engine>,
    requests: Vec<Running>,
    serial: u64,
    first_tokens: Vec<u64>,
    imbalance: f64,
    samples: u32,
    shared_tokens: u64,
    shared_read: u64,
    refused: usize,
    served: usize,
}

pub fn run(fleet: Fleet, policy: &Policy, seed: u64) -> Report {
    let mut run = Run::new(fleet, policy, seed);
    run.play();
    run.report()
}

impl<'a> Run<'a> {
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
        for gatekeeper in 0..fleet.gatekeepers {
            let mut router = Router::new(settings.clone(), seed * 1_000 + gatekeeper as u64);
            router.set_data_plane_count(fleet.gatekeepers as u32);
            router.set_workers(0, views.clone());
            keys.push(views.iter().map(|view| router.key(&view.id).expect("listed")).collect());
            routers.push(router);
        }
        let mut run = Run {
            fleet,
            policy,
            rng: Rng::with_seed(seed),
            now: 0,
            events: BinaryHeap::new(),
            events_made: 0,
            routers,
            keys,
            outstanding: vec![vec![0; fleet.workers]; fleet.gatekeepers],
            shared: Vec::new(),
            engines: (0..fleet.workers).map(|_| Engine::default()).collect(),
            requests: Vec::new(),
            serial: 0,
            first_tokens: Vec::new(),
            imbalance: 0.0,
            samples: 0,
            shared_tokens: 0,
            shared_read: 0,
            refused: 0,
            served: 0,
        };
        run.at(0, Event::Arrival);
        run.at(0, Event::Share);
        run
    }

    fn at(&mut self, time: u64, event: Event) {
        self.events_made += 1;
        self.events.push(Reverse((time, self.events_made, event)));
    }

    fn play(&mut self) {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > self.fleet.length_ms {
                break;
            }
            self.now = time;
            match event {
                Event::Arrival => self.arrival(),
                Event::FirstToken(request) => self.first_token(request),
                Event::Finished(request) => self.finished(request),
                Event::Share => self.share(),
                Event::Shared(version) => self.shared(version),
            }
        }
    }

    fn report(mut self) -> Report {
        self.first_tokens.sort_unstable();
        let p95 = self.first_tokens.get(self.first_tokens.len() * 95 / 100).copied().unwrap_or(0);
        Report {
            max_over_mean: self.imbalance / f64::from(self.samples.max(1)),
            first_token_p95_ms: p95,
            read_again: self.shared_read as f64 / self.shared_tokens.max(1) as f64,
            refused: self.refused,
            served: self.served,
        }
    }

    /// Requests arrive in clumps of one to five.
    fn arrival(&mut self) {
        let clump = self.rng.usize(1..=5);
        for _ in 0..clump {
            self.one_arrival();
        }
        let gap = -self.rng.f64().max(1e-9).ln() * 3_000.0 / self.fleet.per_second;
        self.at(self.now + gap as u64, Event::Arrival);
    }

    fn one_arrival(&mut self) {
        let gatekeeper = self.rng.usize(0..self.fleet.gatekeepers);
        let profile = self.profile();
        let Some(worker) = self.choose(gatekeeper, &profile) else {
            self.refused += 1;
            return;
        };
        let key = self.keys[gatekeeper][worker];
        let attempt = self.routers[gatekeeper].sent(self.now, key, &profile);
        self.outstanding[gatekeeper][worker] += 1;
        self.requests.push(Running { gatekeeper, worker, attempt, arrived_at: self.now, profile });
        self.engines[worker].waiting.push_back(self.requests.len() - 1);
        self.start_waiting(worker);
    }

    fn choose(&mut self, gatekeeper: usize, profile: &RequestProfile) -> Option<usize> {
        match self.policy {
            Policy::Random => Some(self.rng.usize(0..self.fleet.workers)),
            Policy::LeastSeen => self.least_seen(gatekeeper),
            Policy::Router(_) | Policy::Alone => {
                match self.routers[gatekeeper].choose(self.now, profile, &[]) {
                    Choice::Send(key) => self.keys[gatekeeper].iter().position(|other| *other == key),
                    _ => None,
                }
            }
        }
    }

    fn least_seen(&self, gatekeeper: usize) -> Option<usize> {
        let router = &self.routers[gatekeeper];
        let keys = &self.keys[gatekeeper];
        (0..self.fleet.workers).min_by_key(|worker| {
            let elsewhere = router.worker(keys[*worker]).map_or(0, |view| view.peer_load);
            elsewhere + self.outstanding[gatekeeper][*worker]
        })
    }

    fn profile(&mut self) -> RequestProfile {
        self.serial += 1;
        let mut profile = request(self.serial);
        let first = PromptPart { id: self.rng.u64(0..3), tokens: 119 };
        let second = PromptPart { id: 100 + self.rng.u64(0..83), tokens: 79 };
        let own = PromptPart { id: 1_000 + self.serial, tokens: self.heavy(430.0, 3_000.0) };
        profile.prompt_tokens = first.tokens + second.tokens + own.tokens;
        profile.prompt_parts = vec![first, second, own];
        profile.output_tokens = self.heavy(290.0, 950.0);
        profile
    }

    fn heavy(&mut self, mean: f64, most: f64) -> u32 {
        let exponential = -self.rng.f64().max(1e-9).ln();
        (exponential * mean).clamp(5.0, most) as u32
    }

    fn start_waiting(&mut self, worker: usize) {
        while self.engines[worker].running < self.fleet.slots {
            let Some(request) = self.engines[worker].waiting.pop_front() else { return };
            let read = self.tokens_to_read(worker, request);
            let engine = &mut self.engines[worker];
            engine.running += 1;
            engine.reading_until =
                engine.reading_until.max(self.now as f64) + read as f64 / PREFILL_TOKENS_PER_MS;
            let first_token = engine.reading_until as u64 + 10;
            self.at(first_token, Event::FirstToken(request));
        }
    }

    /// Tokens of the prompt the engine has not kept. It keeps 200 prefixes.
    fn tokens_to_read(&mut self, worker: usize, request: usize) -> u64 {
        let profile = &self.requests[request].profile;
        let engine = &mut self.engines[worker];
        let mut chain = 0;
        let mut kept = true;
        let mut read = u64::from(profile.prompt_parts.last().expect("has parts").tokens);
        for part in &profile.prompt_parts[..2] {
            chain = chain * 1_000 + part.id + 1;
            kept &= engine.kept.insert(chain, self.now).is_some();
            self.shared_tokens += u64::from(part.tokens);
            if !kept {
                self.shared_read += u64::from(part.tokens);
                read += u64::from(part.tokens);
            }
        }
        if engine.kept.len() > 200 {
            let oldest = engine.kept.iter().min_by_key(|(_, at)| **at).map(|(chain, _)| *chain);
            oldest.map(|chain| engine.kept.remove(&chain));
        }
        read
    }

    fn first_token(&mut self, request: usize) {
        let running = &self.requests[request];
        self.routers[running.gatekeeper].first_byte(self.now, running.attempt);
        self.first_tokens.push(self.now - running.arrived_at);
        let decoding = f64::from(running.profile.output_tokens) * TOKEN_MS;
        self.at(self.now + decoding as u64, Event::Finished(request));
    }

    fn finished(&mut self, request: usize) {
        let running = &self.requests[request];
        let (gatekeeper, worker) = (running.gatekeeper, running.worker);
        self.routers[gatekeeper].finished(self.now, running.attempt, AttemptOutcome::Success);
        self.outstanding[gatekeeper][worker] -= 1;
        self.engines[worker].running -= 1;
        self.served += 1;
        self.start_waiting(worker);
    }

    fn share(&mut self) {
        self.sample();
        self.shared.push(self.outstanding.clone());
        self.at(self.now + SHARE_DELAY_MS, Event::Shared(self.shared.len() - 1));
        self.at(self.now + SHARE_EVERY_MS, Event::Share);
    }

    fn shared(&mut self, version: usize) {
        if matches!(self.policy, Policy::Alone) {
            return;
        }
        for gatekeeper in 0..self.fleet.gatekeepers {
            for worker in 0..self.fleet.workers {
                let all: u32 = self.shared[version].iter().map(|loads| loads[worker]).sum();
                let elsewhere = all - self.shared[version][gatekeeper][worker];
                let key = self.keys[gatekeeper][worker];
                let told_at = self.now - SHARE_DELAY_MS;
                self.routers[gatekeeper].set_peer_load(told_at, key, elsewhere);
            }
        }
    }

    /// Takes the imbalance of the fleet, once it has warmed up.
    fn sample(&mut self) {
        if self.now < 3_000 {
            return;
        }
        let load = |worker: usize| self.outstanding.iter().map(|loads| loads[worker]).sum::<u32>();
        let loads: Vec<u32> = (0..self.fleet.workers).map(load).collect();
        let mean = f64::from(loads.iter().sum::<u32>()) / loads.len() as f64;
        let most = f64::from(loads.iter().copied().max().unwrap_or(0));
        self.imbalance += most / mean.max(1.0);
        self.samples += 1;
    }
}
