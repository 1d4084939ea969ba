//! Generated requests, a router that follows the planner's outputs, and the data plane's inputs to the planner.

use std::collections::BTreeMap;

use fastrand::Rng;
use switchhill_placement::{Input, Resident, WorkerId};

use super::checks::{Served, ServedTable};
use super::worker::SimWorker;

const DEMAND_INTERVAL_MS: u64 = 500;
const MISSING_REPORT_INTERVAL_MS: u64 = 250;

/// How long a data plane holds a request for a missing model, and when the client retries. If the planner has announced
/// a ready estimate, the request is held if its total wait fits within [`EXPECTED_LOAD_WAIT_SHARE`] of its latency target.
/// Otherwise it is rejected at once and retried when the model should be ready.
#[derive(Debug, Clone, Copy)]
pub struct HoldPolicy {
    /// Hold time without a ready estimate.
    pub max_hold_ms: u64,
    /// Delay of the retry without a ready estimate.
    pub retry_after_ms: u64,
}

// These four have the values of the constants of the same names in the policy of the data plane.
const EXPECTED_LOAD_WAIT_SHARE: f64 = 0.7;
const LONG_TARGET_WAIT_SHARE: f64 = 0.9;
const EXPECTED_LOAD_OVERDUE_MS: u64 = 1_000;
const RETRY_AFTER_EXPECTED_LOAD_MS: u64 = 50;

/// Requests for one model or adapter.
#[derive(Debug, Clone)]
pub struct Stream {
    pub model: String,
    pub adapter: Option<String>,
    pub per_s: f64,
    pub latency_target_ms: u64,
    pub deadline_ms: u64,
    pub service_ms: u64,
    /// `None` if requests are held until their deadline.
    pub hold_policy: Option<HoldPolicy>,
    pub from_ms: u64,
    pub until_ms: u64,
}

impl Stream {
    pub fn new(model: usize, per_s: f64, latency_target_ms: u64) -> Self {
        Self {
            model: format!("m{model}"),
            adapter: None,
            per_s,
            latency_target_ms,
            deadline_ms: latency_target_ms.max(3_000) * 4,
            service_ms: 800,
            hold_policy: None,
            from_ms: 0,
            until_ms: u64::MAX,
        }
    }

    pub fn with_adapter(mut self, adapter: u32) -> Self {
        self.adapter = Some(format!("a{adapter}"));
        self
    }

    /// Lets requests be rejected after a hold time and retried once.
    pub fn with_hold_policy(mut self, hold_policy: HoldPolicy) -> Self {
        self.hold_policy = Some(hold_policy);
        self
    }

    pub fn active_between(mut self, from_ms: u64, until_ms: u64) -> Self {
        self.from_ms = from_ms;
        self.until_ms = until_ms;
        self
    }
}

type Servable = (String, Option<String>);

#[derive(Debug, Clone)]
struct Request {
    stream: usize,
    at: u64,
    /// Whether it is the client's retry.
    is_retry: bool,
}

/// Request generator and router of a simulation.
#[derive(Debug)]
pub struct Load {
    pub streams: Vec<Stream>,
    pub served: ServedTable,
    waiting: Vec<Request>,
    /// Rejected requests with the time of their retry.
    pending_retries: Vec<(u64, Request)>,
    /// Ready time in the planner's last estimate.
    estimated_ready_at: BTreeMap<Servable, u64>,
    running: BTreeMap<WorkerId, BTreeMap<Servable, Vec<u64>>>,
    missing_reported_at: BTreeMap<usize, u64>,
    arrivals: Vec<u32>,
    random: Rng,
    next_demand_at: u64,
}

impl Load {
    pub fn new(seed: u64, streams: Vec<Stream>) -> Self {
        let arrivals = vec![0; streams.len()];
        Self {
            streams,
            served: ServedTable::new(),
            waiting: Vec::new(),
            pending_retries: Vec::new(),
            estimated_ready_at: BTreeMap::new(),
            running: BTreeMap::new(),
            missing_reported_at: BTreeMap::new(),
            arrivals,
            random: Rng::with_seed(seed),
            next_demand_at: 0,
        }
    }

    /// Number of requests running on a worker.
    pub fn running(&self, worker: &WorkerId) -> usize {
        self.running.get(worker).map_or(0, |runs| runs.values().map(Vec::len).sum())
    }

    /// Number of requests running on a worker for a model with any adapter, or for one of its adapters.
    pub fn running_for(&self, worker: &WorkerId, model: &str, adapter: Option<&str>) -> usize {
        let Some(runs) = self.running.get(worker) else { return 0 };
        let matching = runs
            .iter()
            .filter(|((name, with), _)| name == model && (adapter.is_none() || with.as_deref() == adapter));
        matching.map(|(_, ends)| ends.len()).sum()
    }

    pub fn drop_running(&mut self, worker: &WorkerId) {
        self.running.remove(worker);
    }

    /// Share of requests served within their latency target.
    pub fn share_in_time(&self) -> f64 {
        let (mut requested, mut in_time) = (0, 0);
        for served in self.served.values() {
            requested += served.requested;
            in_time += served.in_time;
        }
        in_time as f64 / requested.max(1) as f64
    }

    pub fn total(&self) -> Served {
        let mut total = Served::default();
        for served in self.served.values() {
            total.requested += served.requested;
            total.in_time += served.in_time;
            total.late += served.late;
            total.failed += served.failed;
            total.misrouted += served.misrouted;
        }
        total
    }

    /// Models and adapters requested at least `times`.
    pub fn requested_at_least(&self, times: u64) -> Vec<Servable> {
        self.served
            .iter()
            .filter(|(_, served)| served.requested >= times)
            .map(|(servable, _)| servable.clone())
            .collect()
    }

    /// Share of the requests with a given latency target that were served, within the target or late.
    pub fn share_served(&self, latency_target_ms: u64) -> f64 {
        let with_target = self.streams.iter().filter(|stream| stream.latency_target_ms == latency_target_ms);
        let entries =
            with_target.filter_map(|stream| self.served.get(&(stream.model.clone(), stream.adapter.clone())));
        let (served, requested) = entries.fold((0, 0), |(served, requested), entry| {
            (served + entry.in_time + entry.late, requested + entry.requested)
        });
        served as f64 / requested.max(1) as f64
    }

    /// Models and adapters requested at least `times` and never served.
    pub fn starved(&self, times: u64) -> Vec<Servable> {
        let never = |served: &Served| served.requested >= times && served.in_time + served.late == 0;
        self.served.iter().filter(|(_, served)| never(served)).map(|(servable, _)| servable.clone()).collect()
    }

    pub fn advance(
        &mut self,
        now: u64,
        routes: &BTreeMap<WorkerId, Vec<Resident>>,
        workers: &mut BTreeMap<WorkerId, SimWorker>,
    ) -> Vec<Input> {
        for ends in self.running.values_mut().flat_map(BTreeMap::values_mut) {
            ends.retain(|end| *end > now);
        }
        self.generate_arrivals(now);
        let mut inputs = self.route(now, routes, workers);
        if now >= self.next_demand_at {
            self.next_demand_at = now + DEMAND_INTERVAL_MS;
            inputs.extend(self.demand_inputs());
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

    fn generate_arrivals(&mut self, now: u64) {
        for index in 0..self.streams.len() {
            let stream = &self.streams[index];
            let open = now >= stream.from_ms && now < stream.until_ms;
            if open && self.random.f64() < stream.per_s * 0.01 {
                self.waiting.push(Request { stream: index, at: now, is_retry: false });
                self.arrivals[index] += 1;
                self.entry(index).requested += 1;
            }
        }
    }

    fn route(
        &mut self,
        now: u64,
        routes: &BTreeMap<WorkerId, Vec<Resident>>,
        workers: &BTreeMap<WorkerId, SimWorker>,
    ) -> Vec<Input> {
        let mut missing: BTreeMap<usize, u32> = BTreeMap::new();
        self.release_due_retries(now);
        for request in std::mem::take(&mut self.waiting) {
            if self.is_rejected(now, &request) {
                self.reject(now, request);
                continue;
            }
            if now - request.at > self.streams[request.stream].deadline_ms {
                self.entry(request.stream).failed += 1;
                continue;
            }
            if let Some(waiting) = missing.get_mut(&request.stream) {
                *waiting += 1;
                self.waiting.push(request);
                continue;
            }
            let stream = self.streams[request.stream].clone();
            let Some(id) = self.least_loaded(&stream, routes) else {
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
            let in_time = now - request.at <= stream.latency_target_ms;
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

    /// Records the planner's estimate of when a model or adapter will be ready.
    pub fn record_ready_estimate(&mut self, now: u64, servable: Servable, ready_in_ms: Option<u64>) {
        match ready_in_ms {
            Some(ready_in_ms) => self.estimated_ready_at.insert(servable, now + ready_in_ms),
            None => self.estimated_ready_at.remove(&servable),
        };
    }

    fn estimated_wait_ms(&self, now: u64, stream: &Stream) -> Option<u64> {
        let at = *self.estimated_ready_at.get(&(stream.model.clone(), stream.adapter.clone()))?;
        (now <= at + EXPECTED_LOAD_OVERDUE_MS).then(|| at.saturating_sub(now))
    }

    /// Whether the hold time of a request has passed.
    fn is_rejected(&self, now: u64, request: &Request) -> bool {
        let stream = &self.streams[request.stream];
        let Some(hold_policy) = stream.hold_policy else { return false };
        let held = now - request.at;
        let share = |share: f64| (stream.latency_target_ms as f64 * share) as u64;
        let max_hold_ms = match self.estimated_wait_ms(now, stream) {
            None => hold_policy.max_hold_ms,
            Some(wait) if held + wait <= share(EXPECTED_LOAD_WAIT_SHARE) => share(LONG_TARGET_WAIT_SHARE),
            Some(_) => 0,
        };
        held >= max_hold_ms
    }

    fn reject(&mut self, now: u64, request: Request) {
        let stream = &self.streams[request.stream];
        match stream.hold_policy.filter(|_| !request.is_retry) {
            Some(hold_policy) => {
                let estimate = self.estimated_wait_ms(now, stream).filter(|wait| *wait > 0);
                let retry_after_ms =
                    estimate.map_or(hold_policy.retry_after_ms, |wait| wait + RETRY_AFTER_EXPECTED_LOAD_MS);
                let at = now + retry_after_ms;
                self.pending_retries.push((at, Request { at, is_retry: true, ..request }));
            }
            None => self.entry(request.stream).failed += 1,
        }
    }

    fn release_due_retries(&mut self, now: u64) {
        let is_due = |(at, _): &(u64, Request)| now >= *at;
        let (due, later) = std::mem::take(&mut self.pending_retries).into_iter().partition(is_due);
        self.pending_retries = later;
        let due: Vec<(u64, Request)> = due;
        self.waiting.extend(due.into_iter().map(|(_, request)| request));
    }

    fn missing_inputs(&mut self, now: u64, missing: &BTreeMap<usize, u32>) -> Vec<Input> {
        let mut inputs = Vec::new();
        for (index, waiting) in missing {
            let last = self.missing_reported_at.get(index).copied();
            if last.is_some_and(|at| now - at < MISSING_REPORT_INTERVAL_MS) {
                continue;
            }
            self.missing_reported_at.insert(*index, now);
            let stream = &self.streams[*index];
            inputs.push(Input::Missing {
                model: stream.model.clone(),
                adapter: stream.adapter.clone(),
                waiting: *waiting,
                latency_target_ms: stream.latency_target_ms,
            });
        }
        inputs
    }

    fn least_loaded(&self, stream: &Stream, routes: &BTreeMap<WorkerId, Vec<Resident>>) -> Option<WorkerId> {
        let holds = |models: &[Resident]| {
            models.iter().any(|resident| {
                let adapter = stream.adapter.as_ref();
                resident.name == stream.model
                    && adapter.is_none_or(|adapter| resident.adapters.contains(adapter))
            })
        };
        let holders = routes.iter().filter(|(_, models)| holds(models)).map(|(id, _)| id);
        holders.min_by_key(|id| self.running(id)).cloned()
    }

    fn demand_inputs(&mut self) -> Vec<Input> {
        let mut inputs = Vec::new();
        for (index, stream) in self.streams.iter().enumerate() {
            let waiting = self.waiting.iter().filter(|request| request.stream == index).count() as u32;
            if self.arrivals[index] == 0 && waiting == 0 {
                continue;
            }
            let requests_per_s = f64::from(self.arrivals[index]) * 1_000.0 / DEMAND_INTERVAL_MS as f64;
            inputs.push(Input::Demand {
                model: stream.model.clone(),
                adapter: stream.adapter.clone(),
                requests_per_s,
                latency_target_ms: stream.latency_target_ms,
                outstanding: (requests_per_s * stream.service_ms as f64 / 1_000.0) as u32,
                waiting,
            });
        }
        self.arrivals.fill(0);
        inputs
    }

    fn entry(&mut self, stream: usize) -> &mut Served {
        let stream = &self.streams[stream];
        self.served.entry((stream.model.clone(), stream.adapter.clone())).or_default()
    }
}
