//! The router: what it is told, and bookkeeping of attempts. How a place is chosen stands in `selection`.

mod selection;

use std::collections::hash_map::DefaultHasher;
use std::collections::HashMap;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use fastrand::Rng;
use slotmap::SlotMap;

use crate::attempt::{Attempt, AttemptKey, AttemptOutcome};
use crate::choice::RequestProfile;
use crate::ejection::{eject_within_bound, outcomes_of_others, release_beyond_bound};
use crate::health::is_failure;
use crate::pace::Baselines;
use crate::prefix::shared_prefixes;
use crate::sessions::SessionMemory;
use crate::settings::RouterSettings;
use crate::silence::SilenceWatch;
use crate::table::WorkerTable;
use crate::worker::{Availability, WorkerKey, WorkerView};

/// Gatekeepers assumed before their count is told.
const ASSUMED_GATEKEEPERS: u32 = 8;

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
    pub fn set_peer_loads(&mut self, told_at: u64, loads: &HashMap<String, u32>) {
        self.table.set_loads(told_at, loads);
    }

    /// The workers as last told, each with the requests of ours that are outstanding at it.
    pub fn workers(&self) -> impl Iterator<Item = (&WorkerView, u32)> {
        self.table.iter().map(|(_, worker)| (&worker.view, worker.outstanding))
    }

    /// Updates one figure of a worker: what other gatekeepers have outstanding at it, as told at `now`.
    pub fn set_peer_load(&mut self, now: u64, key: WorkerKey, load: u32) {
        if let Some(worker) = self.table.get_mut(key) {
            worker.view.peer_load = load;
            worker.view.peer_load_at = now;
        }
    }

    /// Key of the listed worker with this id.
    pub fn key(&self, id: &str) -> Option<WorkerKey> {
        self.table.key(id)
    }

    /// Tells how many gatekeepers share the workers.
    pub fn set_data_plane_count(&mut self, count: u32) {
        self.gatekeepers = count.max(1);
    }

    /// Tells the memory of a service's engines in tokens, so that large requests are spread by it.
    pub fn set_kv_cache_tokens(&mut self, service: &str, tokens: u64) {
        self.cache_tokens.insert(service.to_owned(), tokens);
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
    pub fn model_not_loaded(&mut self, now: u64, key: WorkerKey, profile: &RequestProfile) {
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
