//! Requests, a router that follows what the planner announces, and what gatekeepers tell the planner.

use std::collections::BTreeMap;

use fastrand::Rng;
use switchhill_placement::{Input, Resident, WorkerId};

use super::checks::{Served, ServedTable};
use super::worker::SimWorker;

const TELL_MS: u64 = 500;
const MISSING_MS: u64 = 250;

/// How long a gatekeeper holds a request for a missing model, and when its client asks once more. Where the planner has
/// told when the model should stand, it is held within [`EXPECTED_HOLD_SHARE`] of its objective and refused at once
/// beyond, until the model should stand.
#[derive(Debug, Clone, Copy)]
pub struct Patience {
    /// While nothing is expected.
    pub held_ms: u64,
    /// Where nothing is expected.
    pub back_after_ms: u64,
}

/// As gatekeepers have it.
const EXPECTED_HOLD_SHARE: f64 = 0.7;
const LONG_HOLD_SHARE: f64 = 0.9;
const EXPECTED_LATE_MS: u64 = 1_000;
const RETRY_AFTER_EXPECTED_MS: u64 = 50;

/// Requests for a model and adapter.
#[derive(Debug, Clone)]
pub struct Stream {
    pub model: String,
    pub adapter: Option<String>,
    pub per_s: f64,
    pub aim_ms: u64,
    pub deadline_ms: u64,
    pub service_ms: u64,
    /// None for requests that are held until their deadline.
    pub patience: Option<Patience>,
    pub from_ms: u64,
    pub until_ms: u64,
}

impl Stream {
    pub fn new(model: usize, per_s: f64, aim_ms: u64) -> Self {
        Self {
            model: format!("m{model}"),
            adapter: None,
            per_s,
            aim_ms,
            deadline_ms: aim_ms.max(3_000) * 4,
            service_ms: 800,
            patience: None,
            from_ms: 0,
            until_ms: u64::MAX,
        }
    }

    pub fn with_adapter(mut self, adapter: u32) -> Self {
        self.adapter = Some(format!("a{adapter}"));
        self
    }

    /// Requests are refused after a while, and come back once.
    pub fn leaving(mut self, patience: Patience) -> Self {
        self.patience = Some(patience);
        self
    }

    pub fn between(mut self, from_ms: u64, until_ms: u64) -> Self {
        self.from_ms = from_ms;
        self.until_ms = until_ms;
        self
    }
}

type ModelAndAdapter = (String, Option<String>);

#[derive(Debug, Clone)]
struct Request {
    stream: usize,
    at: u64,
    /// Whether it is its client's second try.
    again: bool,
}

/// All requests of a run.
#[derive(Debug)]
pub struct Load {
    pub streams: Vec<Stream>,
    pub served: ServedTable,
    waiting: Vec<Request>,
    /// Refused requests whose clients come back, with the time at which they do.
    returning: Vec<(u64, Request)>,
    /// When the planner last said that something should stand.
    expected_at: BTreeMap<ModelAndAdapter, u64>,
    running: BTreeMap<WorkerId, BTreeMap<ModelAndAdapter, Vec<u64>>>,
    asked_for: BTreeMap<usize, u64>,
    arrived: Vec<u32>,
    random: Rng,
    next_tell: u64,
}

impl Load {
    pub fn new(seed: u64, streams: Vec<Stream>) -> Self {
        let arrived = vec![0; streams.len()];
        Self {
            streams,
            served: ServedTable::new(),
            waiting: Vec::new(),
            returning: Vec::new(),
            expected_at: BTreeMap::new(),
            running: BTreeMap::new(),
            asked_for: BTreeMap::new(),
            arrived,
            random: Rng::with_seed(seed),
            next_tell: 0,
        }
    }

    /// Requests running on a worker.
    pub fn running(&self, worker: &WorkerId) -> usize {
        self.running.get(worker).map_or(0, |runs| runs.values().map(Vec::len).sum())
    }

    /// Requests running on a worker for a model with any adapter, or for one adapter of it.
    pub fn running_for(&self, worker: &WorkerId, model: &str, adapter: Option<&str>) -> usize {
        let Some(runs) = self.running.get(worker) else { return 0 };
        let concerned = runs
            .iter()
            .filter(|((name, with), _)| name == model && (adapter.is_none() || with.as_deref() == adapter));
        concerned.map(|(_, ends)| ends.len()).sum()
    }

    pub fn worker_lost(&mut self, worker: &WorkerId) {
        self.running.remove(worker);
    }

    /// Share of requests served within their aim.
    pub fn share_in_time(&self) -> f64 {
        let (mut asked, mut in_time) = (0, 0);
        for served in self.served.values() {
            asked += served.asked;
            in_time += served.in_time;
        }
        in_time as f64 / asked.max(1) as f64
    }

    pub fn total(&self) -> Served {
        let mut total = Served::default();
        for served in self.served.values() {
            total.asked += served.asked;
            total.in_time += served.in_time;
            total.late += served.late;
            total.lost += served.lost;
            total.misrouted += served.misrouted;
        }
        total
    }

    /// Models and adapters asked for at least `times`.
    pub fn asked_for(&self, times: u64) -> Vec<(String, Option<String>)> {
        self.served.iter().filter(|(_, served)| served.asked >= times).map(|(what, _)| what.clone()).collect()
    }

    /// Share of the requests with an aim that were served at all.
    pub fn share_served(&self, aim_ms: u64) -> f64 {
        let of_aim = self.streams.iter().filter(|stream| stream.aim_ms == aim_ms);
        let entries =
            of_aim.filter_map(|stream| self.served.get(&(stream.model.clone(), stream.adapter.clone())));
        let (served, asked) = entries.fold((0, 0), |(served, asked), entry| {
            (served + entry.in_time + entry.late, asked + entry.asked)
        });
        served as f64 / asked.max(1) as f64
    }

    /// Models and adapters asked for at least `times` and never served.
    pub fn starved(&self, times: u64) -> Vec<(String, Option<String>)> {
        let never = |served: &Served| served.asked >= times && served.in_time + served.late == 0;
        self.served.iter().filter(|(_, served)| never(served)).map(|(what, _)| what.clone()).collect()
    }

    pub fn advance(
        &mut self,
        now: u64,
        routed: &BTreeMap<WorkerId, Vec<Resident>>,
        workers: &mut BTreeMap<WorkerId, SimWorker>,
    ) -> Vec<Input> {
        for ends in self.running.values_mut().flat_map(BTreeMap::values_mut) {
            ends.retain(|end| *end > now);
        }
        self.arrive(now);
        let mut inputs = self.route(now, routed, workers);
        if now >= self.next_tell {
            self.next_tell = now + TELL_MS;
            inputs.extend(self.demand());
            inputs.extend(workers.keys().map(|id| Input::Load {
                worker: id.clone(),
                running: self.running(id) as u32,
                queued: 0,
                kv_used: 0,
                kv_total: 100_000,
            }));
        }
        inputs
    }

    fn arrive(&mut self, now: u64) {
        for index in 0..self.streams.len() {
            let stream = &self.streams[index];
            let open = now >= stream.from_ms && now < stream.until_ms;
            if open && self.random.f64() < stream.per_s * 0.01 {
                self.waiting.push(Request { stream: index, at: now, again: false });
                self.arrived[index] += 1;
                self.entry(index).asked += 1;
            }
        }
    }

    fn route(
        &mut self,
        now: u64,
        routed: &BTreeMap<WorkerId, Vec<Resident>>,
        workers: &BTreeMap<WorkerId, SimWorker>,
    ) -> Vec<Input> {
        let mut missing: BTreeMap<usize, u32> = BTreeMap::new();
        self.come_back(now);
        for request in std::mem::take(&mut self.waiting) {
            if self.is_refused(now, &request) {
                self.refuse(now, request);
                continue;
            }
            if now - request.at > self.streams[request.stream].deadline_ms {
                self.entry(request.stream).lost += 1;
                continue;
            }
            if let Some(waiting) = missing.get_mut(&request.stream) {
                *waiting += 1;
                self.waiting.push(request);
                continue;
            }
            let stream = self.streams[request.stream].clone();
            let Some(id) = self.least_loaded(&stream, routed) else {
                *missing.entry(request.stream).or_default() += 1;
                self.waiting.push(request);
                continue;
            };
            let serves = workers
                .get(&id)
                .is_some_and(|worker| worker.serves(&stream.model, stream.adapter.as_deref()));
            if !serves {
                self.entry(request.stream).misrouted += 1;
                self.waiting.push(request);
                continue;
            }
            let in_time = now - request.at <= stream.aim_ms;
            let entry = self.entry(request.stream);
            if in_time {
                entry.in_time += 1;
            } else {
                entry.late += 1;
            }
            let models = self.running.entry(id).or_default();
            models.entry((stream.model, stream.adapter)).or_default().push(now + stream.service_ms);
        }
        self.missing_inputs(now, &missing)
    }

    /// Takes note of when the planner expects something to stand.
    pub fn expect(&mut self, now: u64, what: (String, Option<String>), ready_in_ms: Option<u64>) {
        match ready_in_ms {
            Some(ready_in_ms) => self.expected_at.insert(what, now + ready_in_ms),
            None => self.expected_at.remove(&what),
        };
    }

    fn expected_wait(&self, now: u64, stream: &Stream) -> Option<u64> {
        let at = *self.expected_at.get(&(stream.model.clone(), stream.adapter.clone()))?;
        (now <= at + EXPECTED_LATE_MS).then(|| at.saturating_sub(now))
    }

    /// Whether a request has been held for as long as its gatekeeper holds it.
    fn is_refused(&self, now: u64, request: &Request) -> bool {
        let stream = &self.streams[request.stream];
        let Some(patience) = stream.patience else { return false };
        let held = now - request.at;
        let share = |share: f64| (stream.aim_ms as f64 * share) as u64;
        let longest = match self.expected_wait(now, stream) {
            None => patience.held_ms,
            Some(wait) if held + wait <= share(EXPECTED_HOLD_SHARE) => share(LONG_HOLD_SHARE),
            Some(_) => 0,
        };
        held >= longest
    }

    fn refuse(&mut self, now: u64, request: Request) {
        let stream = &self.streams[request.stream];
        match stream.patience.filter(|_| !request.again) {
            Some(patience) => {
                let expected = self.expected_wait(now, stream).filter(|wait| *wait > 0);
                let back_after_ms =
                    expected.map_or(patience.back_after_ms, |wait| wait + RETRY_AFTER_EXPECTED_MS);
                let at = now + back_after_ms;
                self.returning.push((at, Request { at, again: true, ..request }));
            }
            None => self.entry(request.stream).lost += 1,
        }
    }

    fn come_back(&mut self, now: u64) {
        let is_due = |(at, _): &(u64, Request)| now >= *at;
        let (due, later) = std::mem::take(&mut self.returning).into_iter().partition(is_due);
        self.returning = later;
        let due: Vec<(u64, Request)> = due;
        self.waiting.extend(due.into_iter().map(|(_, request)| request));
    }

    fn missing_inputs(&mut self, now: u64, missing: &BTreeMap<usize, u32>) -> Vec<Input> {
        let mut inputs = Vec::new();
        for (index, waiting) in missing {
            let last = self.asked_for.get(index).copied();
            if last.is_some_and(|at| now - at < MISSING_MS) {
                continue;
            }
            self.asked_for.insert(*index, now);
            let stream = &self.streams[*index];
            inputs.push(Input::Missing {
                model: stream.model.clone(),
                adapter: stream.adapter.clone(),
                waiting: *waiting,
                latency_target_ms: stream.aim_ms,
            });
        }
        inputs
    }

    fn least_loaded(&self, stream: &Stream, routed: &BTreeMap<WorkerId, Vec<Resident>>) -> Option<WorkerId> {
        let holds = |models: &[Resident]| {
            models.iter().any(|resident| {
                let adapter = stream.adapter.as_ref();
                resident.name == stream.model
                    && adapter.is_none_or(|adapter| resident.adapters.contains(adapter))
            })
        };
        let holders = routed.iter().filter(|(_, models)| holds(models)).map(|(id, _)| id);
        holders.min_by_key(|id| self.running(id)).cloned()
    }

    fn demand(&mut self) -> Vec<Input> {
        let mut inputs = Vec::new();
        for (index, stream) in self.streams.iter().enumerate() {
            let waiting = self.waiting.iter().filter(|request| request.stream == index).count() as u32;
            if self.arrived[index] == 0 && waiting == 0 {
                continue;
            }
            let requests_per_s = f64::from(self.arrived[index]) * 1_000.0 / TELL_MS as f64;
            inputs.push(Input::Demand {
                model: stream.model.clone(),
                adapter: stream.adapter.clone(),
                requests_per_s,
                latency_target_ms: stream.aim_ms,
                outstanding: (requests_per_s * stream.service_ms as f64 / 1_000.0) as u32,
                waiting,
            });
        }
        self.arrived.fill(0);
        inputs
    }

    fn entry(&mut self, stream: usize) -> &mut Served {
        let stream = &self.streams[stream];
        self.served.entry((stream.model.clone(), stream.adapter.clone())).or_default()
    }
}
