//! The router: choice of a worker and bookkeeping of attempts.

use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use fastrand::Rng;
use slotmap::SlotMap;

use crate::attempt::{Attempt, AttemptKey, AttemptOutcome};
use crate::candidates::Candidates;
use crate::choice::{Choice, RequestProfile};
use crate::cost::{mean_elsewhere, CostBasis};
use crate::ejection::{eject_within_bound, outcomes_of_others, release_beyond_bound};
use crate::health::is_failure;
use crate::pace::Baselines;
use crate::prefix::{shared_prefixes, Prefix};
use crate::sessions::SessionMemory;
use crate::settings::RouterSettings;
use crate::shortlist::{shortlist, Homes};
use crate::silence::SilenceWatch;
use crate::table::WorkerTable;
use crate::worker::{Availability, WorkerKey, WorkerView};

/// Bounds of the time a caller is told to wait when all workers are busy.
const RETRY_AFTER_MS: (u64, u64) = (30, 1_000);
/// Gatekeepers assumed before their count is told.
const ASSUMED_GATEKEEPERS: u32 = 8;
/// Difference in requests up to which workers count as equal even if all is known of them.
const TIE_REQUESTS: f64 = 0.5;
/// Age of the others' loads beyond which it no longer matters how old they are: they are hardly believed.
const LONGEST_UNSEEN_MS: f64 = 1_000.0;
/// Advantage of the session's last worker, on top of the time to read the session's part again.
const SESSION_MS: f64 = 10.0;

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

/// What sending a request to a worker would cost, in milliseconds.
struct Offer {
    worker: WorkerKey,
    cost: f64,
    /// What one request more at the worker adds.
    step: f64,
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
        release_beyond_bound(&mut self.table, now);
    }

    /// Replaces the list of workers as [`Router::set_workers`] does, at the cost of what differs: a description that is
    /// the same object as in the list before is not looked at.
    pub fn set_shared_workers(&mut self, now: u64, workers: &[Arc<WorkerView>]) {
        if self.table.replace_shared(now, workers) {
            release_beyond_bound(&mut self.table, now);
        }
    }

    /// Takes what other gatekeepers have outstanding at the workers, as told at one time; those not named have none.
    pub fn set_loads_elsewhere(&mut self, told_at: u64, loads: &HashMap<String, u32>) {
        self.table.set_loads(told_at, loads);
    }

    /// The workers as last told, each with the requests of ours that are outstanding at it.
    pub fn workers(&self) -> impl Iterator<Item = (&WorkerView, u32)> {
        self.table.iter().map(|(_, worker)| (&worker.view, worker.outstanding))
    }

    /// Updates one figure of a worker: what other gatekeepers have outstanding at it, as told at `now`.
    pub fn set_load_elsewhere(&mut self, now: u64, key: WorkerKey, load: u32) {
        if let Some(worker) = self.table.get_mut(key) {
            worker.view.load_elsewhere = load;
            worker.view.load_told_at = now;
        }
    }

    /// Key of the listed worker with this id.
    pub fn key(&self, id: &str) -> Option<WorkerKey> {
        self.table.key(id)
    }

    /// Tells how many gatekeepers share the workers.
    pub fn set_gatekeepers(&mut self, count: u32) {
        self.gatekeepers = count.max(1);
    }

    /// Tells the memory of a service's engines in tokens, so that large requests are spread by it.
    pub fn set_cache_tokens(&mut self, service: &str, tokens: u64) {
        self.cache_tokens.insert(service.to_owned(), tokens);
    }

    /// Chooses a worker that is not in `excluded`. A worker that is draining or gone is never chosen.
    pub fn choose(&mut self, now: u64, profile: &RequestProfile, excluded: &[WorkerKey]) -> Choice {
        self.choose_connected(now, profile, excluded, &|_| true)
    }

    /// As [`Router::choose`], where some workers, told by their ids, have a connection at rest and others would need a
    /// new one.
    pub fn choose_connected(
        &mut self,
        now: u64,
        profile: &RequestProfile,
        excluded: &[WorkerKey],
        is_connected: &dyn Fn(&str) -> bool,
    ) -> Choice {
        let Some(service) = self.table.service(&profile.service) else { return Choice::NoWorker };
        let candidates = Candidates::collect(now, &self.table, service, profile, excluded);
        let chosen = self
            .cheapest(now, profile, &candidates.good, is_connected)
            .or_else(|| self.cheapest(now, profile, &candidates.suspected, is_connected))
            .or_else(|| candidates.unreachable.iter().min().map(|(_, key)| *key))
            .or_else(|| self.cheapest(now, profile, &candidates.last_resort, is_connected));
        match chosen {
            Some(worker) => Choice::Send(worker),
            None => self.nobody(now, profile, &candidates),
        }
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
        let others = match is_failure(outcome) {
            true => outcomes_of_others(&self.table, now, attempt.worker),
            false => (0.0, 0.0),
        };
        let Some(worker) = self.table.get_mut(attempt.worker) else { return };
        worker.attempt_ended(&attempt);
        if matches!(outcome, AttemptOutcome::NotExecuted(_) | AttemptOutcome::ConnectFailed) {
            attempt.new_prefixes.iter().for_each(|hash| worker.prefixes.forget(*hash));
        } else if outcome == AttemptOutcome::Success {
            worker.heard_at = now;
        }
        let looks_faulty = worker.health.finished(now, &attempt, outcome, others);
        if looks_faulty && self.settings.ejection {
            eject_within_bound(&mut self.table, now, attempt.worker);
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
    /// should be resumed elsewhere. Call it every 50 ms or so: gaps over 150 ms count as a pause of our own.
    pub fn silent_workers(&mut self, now: u64) -> Vec<WorkerKey> {
        self.silence.silent(now, &self.attempts, self.settings.silent_ms, self.settings.silent_streams)
    }

    /// The candidate with the lowest cost that is not full, out of a random part of them if gatekeepers
    /// with the same stale figures could otherwise all choose the same one. Near-equals are decided by chance.
    fn cheapest(
        &mut self,
        now: u64,
        profile: &RequestProfile,
        keys: &[WorkerKey],
        is_connected: &dyn Fn(&str) -> bool,
    ) -> Option<WorkerKey> {
        let prefixes = shared_prefixes(profile);
        let homes = match self.settings.prompt_homes {
            true => Homes::of(&prefixes, keys, &self.table),
            false => Homes::default(),
        };
        let session_worker = profile.session.and_then(|session| self.sessions.worker(session));
        let count = self.compared(now, keys);
        let favourites = [homes.first, homes.second, session_worker];
        let compared = shortlist(&mut self.rng, keys, count, &favourites);
        // If all of the part are full or crowded, the rest are compared as well, and crowded ones come last.
        for (some, may_be_crowded) in [(&compared[..], false), (keys, false), (keys, true)] {
            let basis = CostBasis { is_connected, ..self.cost_basis(now, profile, &prefixes, homes, keys) };
            let offers = self.offers(&basis, session_worker, some, may_be_crowded);
            if let Some(worker) = least(&mut self.rng, &offers) {
                return Some(worker);
            }
        }
        None
    }

    /// How many of the workers to compare: so few that what the other gatekeepers send to the best-looking
    /// one before their loads are told again stays small. They are taken to send as much as this one.
    fn compared(&self, now: u64, keys: &[WorkerKey]) -> usize {
        let mut own_per_ms = 0.0;
        let mut age_ms = 0.0;
        for worker in keys.iter().filter_map(|key| self.table.get(*key)) {
            own_per_ms += worker.sends.per_ms(now);
            age_ms += now.saturating_sub(worker.view.load_told_at) as f64;
        }
        let count = keys.len().max(1) as f64;
        let unseen_ms = (age_ms / count).min(LONGEST_UNSEEN_MS);
        let unseen = own_per_ms * f64::from(self.gatekeepers - 1) * unseen_ms / count;
        (self.settings.unseen_requests / unseen.max(f64::MIN_POSITIVE)) as usize
    }

    /// Cost of each worker that is not full nor, unless that is allowed, crowded.
    fn offers(
        &self,
        basis: &CostBasis,
        session_worker: Option<WorkerKey>,
        keys: &[WorkerKey],
        may_be_crowded: bool,
    ) -> Vec<Offer> {
        let mut offers = Vec::with_capacity(keys.len());
        for &key in keys {
            let Some(worker) = self.table.get(key) else { continue };
            if basis.is_full(worker) || basis.is_crowded(worker) && !may_be_crowded {
                continue;
            }
            let mut cost = basis.delay(worker) - basis.saving(key, worker);
            if session_worker == Some(key) {
                cost -= session_advantage(basis.profile, &self.settings);
            }
            offers.push(Offer { worker: key, cost, step: basis.step(worker) });
        }
        offers
    }

    fn cost_basis<'a>(
        &'a self,
        now: u64,
        profile: &'a RequestProfile,
        prefixes: &'a [Prefix],
        homes: Homes,
        keys: &[WorkerKey],
    ) -> CostBasis<'a> {
        let workers = || keys.iter().filter_map(|key| self.table.get(*key));
        let outstanding: u32 = workers().map(|worker| worker.outstanding).sum();
        let tokens: u64 = workers().map(|worker| worker.outstanding_tokens).sum();
        let own_tokens = profile.total_tokens() as f64;
        CostBasis {
            is_connected: &|_| true,
            now,
            settings: &self.settings,
            baselines: &self.baselines,
            workload: workload(profile),
            profile,
            prefixes,
            homes,
            cache_tokens: self.cache_tokens.get(&profile.service).copied(),
            mean_elsewhere: mean_elsewhere(now, workers()),
            total_load: 0.0,
            candidates: 0.0,
            mean_tokens: (tokens as f64 + own_tokens) / f64::from(outstanding + 1),
        }
        .with_total_load(workers())
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
}

/// The offer with the lowest cost; near-equals are decided by chance.
fn least(rng: &mut Rng, offers: &[Offer]) -> Option<WorkerKey> {
    let mut best: Option<(f64, WorkerKey)> = None;
    for offer in offers {
        let cost = offer.cost + rng.f64() * TIE_REQUESTS * offer.step;
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, offer.worker));
        }
    }
    best.map(|(_, key)| key)
}

fn session_advantage(profile: &RequestProfile, settings: &RouterSettings) -> f64 {
    let own_tokens = profile.prompt_parts.last().map_or(0, |part| part.tokens);
    let reading = f64::from(own_tokens) / settings.prefill_tokens_per_ms * settings.kept_prompt_weight;
    (SESSION_MS + reading).min(settings.session_most_ms)
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
