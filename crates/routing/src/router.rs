//! The router: choice of a worker and bookkeeping of attempts.

use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};

use fastrand::Rng;
use slotmap::SlotMap;

use crate::attempt::{Attempt, AttemptKey, AttemptOutcome};
use crate::choice::{Choice, RequestProfile};
use crate::cost::CostBasis;
use crate::health::Standing;
use crate::pace::Baselines;
use crate::prefix::{shared_prefixes, Prefix};
use crate::sessions::SessionMemory;
use crate::settings::RouterSettings;
use crate::silence::SilenceWatch;
use crate::table::{ServiceIndex, WorkerState, WorkerTable};
use crate::worker::{Availability, WorkerKey, WorkerView};

/// Bounds of the time a caller is told to wait when all workers are busy.
const RETRY_AFTER_MS: (u64, u64) = (30, 1_000);
/// Gatekeepers assumed before their count is told.
const ASSUMED_GATEKEEPERS: u32 = 8;
/// Costs this many steps apart count as equal, times the square root of the number of gatekeepers.
const TIE_STEPS: f64 = 0.5;
/// Advantage of the session's last worker, on top of the time to read the session's part again.
const SESSION_MS: f64 = 10.0;
/// Greatest advantage of the session's last worker.
const SESSION_MOST_MS: f64 = 60.0;

/// Chooses workers for requests and learns from what becomes of them.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    rng: Rng,
    gatekeepers: u32,
    table: WorkerTable,
    attempts: SlotMap<AttemptKey, Attempt>,
    attempts_sent: u64,
    baselines: Baselines,
    sessions: SessionMemory,
    silence: SilenceWatch,
    cache_tokens: HashMap<String, u64>,
}

/// Workers that hold what a request needs, by what speaks for and against them.
#[derive(Default)]
struct Candidates {
    good: Vec<WorkerKey>,
    suspected: Vec<WorkerKey>,
    unreachable: Vec<(u64, WorkerKey)>,
    /// Earliest time at which one of those left out may be asked again.
    back_at: Option<u64>,
    /// Whether any worker holds what is needed, left out or not.
    any_holder: bool,
}

impl Candidates {
    fn left_out_until(&mut self, until: u64) {
        self.back_at = Some(self.back_at.map_or(until, |at| at.min(until)));
    }
}

impl Router {
    /// A router without workers; `seed` decides between equals.
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        Router {
            sessions: SessionMemory::new(settings.sessions),
            settings,
            rng: Rng::with_seed(seed),
            gatekeepers: ASSUMED_GATEKEEPERS,
            table: WorkerTable::default(),
            attempts: SlotMap::with_key(),
            attempts_sent: 0,
            baselines: Baselines::default(),
            silence: SilenceWatch::default(),
            cache_tokens: HashMap::new(),
        }
    }

    /// Replaces the list of workers. What was learnt of workers that stay in it is kept.
    pub fn set_workers(&mut self, now: u64, workers: Vec<WorkerView>) {
        self.table.replace(now, workers);
    }

    /// Tells how many gatekeepers share the workers.
    pub fn set_gatekeepers(&mut self, count: u32) {
        self.gatekeepers = count.max(1);
    }

    /// Tells the memory of a service's engines in tokens, so that large requests are spread by it.
    pub fn set_cache_tokens(&mut self, service: &str, tokens: u64) {
        self.cache_tokens.insert(service.to_owned(), tokens);
    }

    /// Chooses a worker that is not in `excluded`.
    pub fn choose(&mut self, now: u64, profile: &RequestProfile, excluded: &[WorkerKey]) -> Choice {
        let Some(service) = self.table.service(&profile.service) else { return Choice::NoWorker };
        let mut candidates = self.candidates(now, service, profile, excluded);
        let holders = std::mem::take(&mut candidates.good);
        if let Some(worker) = self.cheapest(now, profile, &holders) {
            return Choice::Send(worker);
        }
        if let Some(worker) = self.cheapest(now, profile, &candidates.suspected) {
            return Choice::Send(worker);
        }
        if let Some((_, worker)) = candidates.unreachable.iter().min() {
            return Choice::Send(*worker);
        }
        self.nobody(now, profile, &candidates)
    }

    /// The worker, if it is still listed.
    pub fn worker(&self, key: WorkerKey) -> Option<&WorkerView> {
        self.table.get(key).map(|worker| &worker.view)
    }

    /// Whether a request may still go to the worker; ask right before its first byte is sent.
    pub fn may_send(&self, _now: u64, key: WorkerKey) -> bool {
        let state = self.table.get(key).map(|worker| worker.view.state);
        matches!(state, Some(Availability::Ready | Availability::Suspected))
    }

    /// Notes that a request is sent to the worker.
    pub fn sent(&mut self, now: u64, key: WorkerKey, profile: &RequestProfile) -> AttemptKey {
        self.attempts_sent += 1;
        let prefixes = shared_prefixes(profile);
        let mut attempt = self.new_attempt(now, key, profile);
        if let Some(worker) = self.table.get_mut(key) {
            let kept = worker.prefixes.kept_tokens(&prefixes);
            attempt.prefill_tokens = attempt.prefill_tokens.saturating_sub(kept);
            attempt.new_prefixes = worker.prefixes.touch(&prefixes, self.settings.prefixes_per_worker);
            worker.attempt_started(now, &attempt);
        }
        if let Some(session) = profile.session {
            self.sessions.note(session, key);
        }
        let attempt_key = self.attempts.insert(attempt);
        if let Some(worker) = self.table.get_mut(key) {
            self.attempts[attempt_key].trial = worker.health.sent(attempt_key);
        }
        attempt_key
    }

    /// Notes the first byte of an answer.
    pub fn first_byte(&mut self, now: u64, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        if attempt.first_byte_at.is_some() {
            return;
        }
        attempt.first_byte_at = Some(now);
        let reading = attempt.prefill_tokens as f64 / self.settings.prefill_tokens_per_ms;
        let latency = now.saturating_sub(attempt.sent_at).saturating_sub(reading as u64);
        let ratio = self.baselines.first_byte(attempt.workload, latency);
        if let Some(worker) = self.table.get_mut(attempt.worker) {
            worker.prompt_read(attempt);
            worker.slowness.observe(now, ratio);
            worker.heard(now);
        }
    }

    /// Notes an event of a streamed answer.
    pub fn progress(&mut self, now: u64, key: AttemptKey) {
        self.first_byte(now, key);
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        let previous = attempt.progress_at.replace(now);
        let Some(worker) = self.table.get_mut(attempt.worker) else { return };
        if let Some(previous) = previous {
            let ratio = self.baselines.interval(attempt.workload, now.saturating_sub(previous));
            worker.slowness.observe(now, ratio);
        }
        worker.heard(now);
    }

    /// Ends an attempt. Each attempt must be ended once, also when its client has gone.
    pub fn finished(&mut self, now: u64, key: AttemptKey, outcome: AttemptOutcome) {
        let Some(attempt) = self.attempts.remove(key) else { return };
        if outcome == AttemptOutcome::Success {
            self.baselines.duration(attempt.workload, now.saturating_sub(attempt.sent_at));
        }
        let others = self.outcomes_of_others(now, attempt.worker);
        let Some(worker) = self.table.get_mut(attempt.worker) else { return };
        worker.attempt_ended(&attempt);
        if matches!(outcome, AttemptOutcome::NotExecuted(_) | AttemptOutcome::ConnectFailed) {
            attempt.new_prefixes.iter().for_each(|hash| worker.prefixes.forget(*hash));
        } else if outcome == AttemptOutcome::Success {
            worker.heard_at = now;
        }
        let looks_faulty = worker.health.finished(now, &attempt, outcome, others);
        if looks_faulty && self.may_eject(attempt.worker) {
            self.eject(now, attempt.worker);
        }
    }

    /// Notes that the worker denied holding the request's model or adapter.
    pub fn missing_model(&mut self, now: u64, key: WorkerKey, profile: &RequestProfile) {
        let (Some(worker), Some(model)) = (self.table.get_mut(key), &profile.model) else { return };
        worker.deny(now, model, profile.adapter.as_deref());
    }

    /// Ids of the workers with requests of ours, and how many; for sharing with other gatekeepers.
    pub fn outstanding(&self) -> Vec<(String, u32)> {
        let busy = self.table.iter().filter(|(_, worker)| worker.outstanding > 0);
        busy.map(|(_, worker)| (worker.view.id.clone(), worker.outstanding)).collect()
    }

    /// Workers with several running streams of ours none of which has moved for a while. Their streams
    /// should be resumed elsewhere. Call it at least every 100 ms: longer gaps count as a pause of our own.
    pub fn silent_workers(&mut self, now: u64) -> Vec<WorkerKey> {
        self.silence.silent(now, &self.attempts, self.settings.silent_ms, self.settings.silent_streams)
    }

    fn candidates(
        &self,
        now: u64,
        service: &ServiceIndex,
        profile: &RequestProfile,
        excluded: &[WorkerKey],
    ) -> Candidates {
        let mut candidates = Candidates::default();
        for &key in service.holders(profile.model.as_deref()) {
            let Some(worker) = self.table.get(key) else { continue };
            if !can_run(now, worker, profile) {
                continue;
            }
            candidates.any_holder |= worker.view.state == Availability::Ready;
            if !excluded.contains(&key) {
                sort_in(&mut candidates, now, key, worker);
            }
        }
        candidates
    }

    /// The candidate with the lowest cost that is not full; near-equals are decided by chance, so that
    /// gatekeepers with the same stale figures don't all choose the same worker.
    fn cheapest(&mut self, now: u64, profile: &RequestProfile, keys: &[WorkerKey]) -> Option<WorkerKey> {
        let prefixes = shared_prefixes(profile);
        let basis = self.cost_basis(now, profile, &prefixes, keys);
        let session_worker = profile.session.and_then(|session| self.sessions.worker(session));
        let tie_steps = TIE_STEPS * f64::from(self.gatekeepers).sqrt();
        let mut best: Option<(f64, WorkerKey)> = None;
        let mut rng = self.rng.clone();
        for &key in keys {
            let Some(worker) = self.table.get(key) else { continue };
            if basis.is_full(worker) {
                continue;
            }
            let mut cost = basis.delay(worker) - basis.saving(worker);
            cost += rng.f64() * tie_steps * basis.step(worker);
            if session_worker == Some(key) {
                cost -= session_advantage(profile, &self.settings);
            }
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, key));
            }
        }
        self.rng = rng;
        best.map(|(_, key)| key)
    }

    fn cost_basis<'a>(
        &'a self,
        now: u64,
        profile: &'a RequestProfile,
        prefixes: &'a [Prefix],
        keys: &[WorkerKey],
    ) -> CostBasis<'a> {
        let workers = || keys.iter().filter_map(|key| self.table.get(*key));
        let elsewhere: u32 = workers().map(|worker| worker.view.load_elsewhere).sum();
        let outstanding: u32 = workers().map(|worker| worker.outstanding).sum();
        let tokens: u64 = workers().map(|worker| worker.outstanding_tokens).sum();
        let own_tokens = profile.total_tokens() as f64;
        CostBasis {
            now,
            settings: &self.settings,
            baselines: &self.baselines,
            workload: workload(profile),
            profile,
            prefixes,
            cache_tokens: self.cache_tokens.get(&profile.service).copied(),
            mean_elsewhere: f64::from(elsewhere) / keys.len().max(1) as f64,
            mean_tokens: (tokens as f64 + own_tokens) / f64::from(outstanding + 1),
        }
    }

    /// The answer when no worker can be sent to.
    fn nobody(&self, now: u64, profile: &RequestProfile, candidates: &Candidates) -> Choice {
        if candidates.any_holder {
            return Choice::Busy { retry_after_ms: self.retry_after(now, profile, candidates.back_at) };
        }
        let members = self.table.service(&profile.service).map_or(&[][..], |service| &service.members);
        let any_ready = members
            .iter()
            .filter_map(|key| self.table.get(*key))
            .any(|worker| worker.view.state == Availability::Ready);
        match any_ready {
            true => Choice::Missing,
            false => Choice::NoWorker,
        }
    }

    /// Time until a worker that was left out comes back, or else until a slot of a full one is likely free.
    fn retry_after(&self, now: u64, profile: &RequestProfile, back_at: Option<u64>) -> u64 {
        let duration = self.baselines.usual_duration(workload(profile)).unwrap_or(0.0) as u64;
        let until_back = back_at.map_or(u64::MAX, |at| at.saturating_sub(now));
        let until_slot = duration / 4;
        let wait = if back_at.is_some() { until_back } else { until_slot };
        wait.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1)
    }

    fn new_attempt(&self, now: u64, worker: WorkerKey, profile: &RequestProfile) -> Attempt {
        Attempt {
            worker,
            sent_at: now,
            first_byte_at: None,
            progress_at: None,
            prefill_tokens: u64::from(profile.prompt_tokens),
            total_tokens: profile.total_tokens(),
            workload: workload(profile),
            origin: origin(profile, self.attempts_sent),
            plain: profile.model.is_none(),
            trial: false,
            new_prefixes: Vec::new(),
        }
    }

    /// Failures and outcomes of the other workers of the same service.
    fn outcomes_of_others(&self, now: u64, key: WorkerKey) -> (f64, f64) {
        let Some(worker) = self.table.get(key) else { return (0.0, 0.0) };
        let Some(service) = self.table.service(&worker.view.service) else { return (0.0, 0.0) };
        let others = service.members.iter().filter(|other| **other != key);
        others.filter_map(|other| self.table.get(*other)).fold((0.0, 0.0), |sum, other| {
            let (failures, total) = other.health.failures_and_total(now);
            (sum.0 + failures, sum.1 + total)
        })
    }

    /// Whether one more worker of this service may be ejected: at most a third, but one of two.
    fn may_eject(&self, key: WorkerKey) -> bool {
        let Some(worker) = self.table.get(key) else { return false };
        if worker.health.is_ejected() {
            return true;
        }
        let Some(service) = self.table.service(&worker.view.service) else { return false };
        let members = || service.members.iter().filter_map(|key| self.table.get(*key));
        let ready = members().filter(|member| member.view.state == Availability::Ready).count();
        let ejected = members().filter(|member| member.health.is_ejected()).count();
        let most = if ready < 2 { 0 } else { (ready / 3).max(1) };
        ejected < most
    }

    fn eject(&mut self, now: u64, key: WorkerKey) {
        if let Some(worker) = self.table.get_mut(key) {
            worker.health.eject(now);
        }
    }
}

fn can_run(now: u64, worker: &WorkerState, profile: &RequestProfile) -> bool {
    let in_service = matches!(worker.view.state, Availability::Ready | Availability::Suspected);
    let holds = match &profile.model {
        Some(model) => worker.holds(now, model, profile.adapter.as_deref()),
        None => true,
    };
    in_service && holds
}

fn sort_in(candidates: &mut Candidates, now: u64, key: WorkerKey, worker: &WorkerState) {
    if worker.view.state == Availability::Suspected {
        if worker.health.has_good_evidence(now) {
            candidates.suspected.push(key);
        }
        return;
    }
    match worker.health.standing(now) {
        Standing::Good => candidates.good.push(key),
        Standing::Unreachable(until) => candidates.unreachable.push((until, key)),
        Standing::Full(until) | Standing::Ejected(until) => candidates.left_out_until(until),
    }
}

fn session_advantage(profile: &RequestProfile, settings: &RouterSettings) -> f64 {
    let own_tokens = profile.prompt_parts.last().map_or(0, |part| part.tokens);
    let reading = f64::from(own_tokens) / settings.prefill_tokens_per_ms * settings.kept_prompt_weight;
    (SESSION_MS + reading).min(SESSION_MOST_MS)
}

fn workload(profile: &RequestProfile) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&profile.service, &profile.model).hash(&mut hasher);
    hasher.finish()
}

/// Session or own prompt part of the request; a request that tells neither counts as of its own.
fn origin(profile: &RequestProfile, serial: u64) -> u64 {
    let own_part = profile.prompt_parts.last().map(|part| part.id);
    profile.session.or(own_part).unwrap_or(serial)
}
