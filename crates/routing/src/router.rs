//! The router: updates of the worker list and tracking of attempts. `selection` chooses the worker of a request.

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
use crate::latency::Baselines;
use crate::prefix::shared_prefixes;
use crate::sessions::SessionAffinity;
use crate::settings::RouterSettings;
use crate::silence::SilenceDetector;
use crate::table::WorkerTable;
use crate::worker::{Availability, WorkerKey, WorkerView};

/// Number of data planes assumed until it is known.
const ASSUMED_DATA_PLANES: u32 = 8;

/// Chooses workers for requests and learns from the outcomes.
#[derive(Debug)]
pub struct Router {
    settings: RouterSettings,
    rng: Rng,
    data_planes: u32,
    table: WorkerTable,
    attempts: SlotMap<AttemptKey, Attempt>,
    attempts_sent: u64,
    baselines: Baselines,
    sessions: SessionAffinity,
    silence: SilenceDetector,
    kv_cache_tokens: HashMap<String, u64>,
}

impl Router {
    /// Creates a router without workers; `seed` seeds sampling and tie-breaking.
    pub fn new(settings: RouterSettings, seed: u64) -> Self {
        Router {
            sessions: SessionAffinity::new(settings.sessions),
            settings,
            rng: Rng::with_seed(seed),
            data_planes: ASSUMED_DATA_PLANES,
            table: WorkerTable::default(),
            attempts: SlotMap::with_key(),
            attempts_sent: 0,
            baselines: Baselines::default(),
            silence: SilenceDetector::default(),
            kv_cache_tokens: HashMap::new(),
        }
    }

    /// Replaces the list of workers. The state learned about workers that are still listed is retained.
    pub fn set_workers(&mut self, now: u64, workers: Vec<WorkerView>) {
        self.table.replace(now, workers);
        release_beyond_bound(&mut self.table, now);
    }

    /// Replaces the list of workers as [`Router::set_workers`] does, but skips descriptions that are the same object as
    /// in the previous list, so that the cost depends on what changed.
    pub fn set_shared_workers(&mut self, now: u64, workers: &[Arc<WorkerView>]) {
        if self.table.replace_shared(now, workers) {
            release_beyond_bound(&mut self.table, now);
        }
    }

    /// Sets the requests that other data planes have outstanding at the workers, as reported at one time; workers that
    /// are not named have none.
    pub fn set_peer_loads(&mut self, reported_at: u64, loads: &HashMap<String, u32>) {
        self.table.set_peer_loads(reported_at, loads);
    }

    /// The workers as last described, each with the number of this data plane's requests outstanding at it.
    pub fn workers(&self) -> impl Iterator<Item = (&WorkerView, u32)> {
        self.table.iter().map(|(_, worker)| (&worker.view, worker.outstanding))
    }

    /// Sets the number of requests that other data planes have outstanding at one worker, as reported at `now`.
    pub fn set_peer_load(&mut self, now: u64, key: WorkerKey, load: u32) {
        if let Some(worker) = self.table.get_mut(key) {
            worker.view.peer_load = load;
            worker.view.peer_load_at = now;
        }
    }

    /// Key of the worker with this id, if it is listed.
    pub fn key(&self, id: &str) -> Option<WorkerKey> {
        self.table.key(id)
    }

    /// Sets the number of data planes that share the workers.
    pub fn set_data_plane_count(&mut self, count: u32) {
        self.data_planes = count.max(1);
    }

    /// Sets the KV cache capacity of a service's engines in tokens, so that large requests are spread by it.
    pub fn set_kv_cache_tokens(&mut self, service: &str, tokens: u64) {
        self.kv_cache_tokens.insert(service.to_owned(), tokens);
    }

    /// The worker, if it is still listed.
    pub fn worker(&self, key: WorkerKey) -> Option<&WorkerView> {
        self.table.get(key).map(|worker| &worker.view)
    }

    /// Whether a request may still be sent to the worker; check right before its first byte is sent.
    pub fn may_send(&self, _now: u64, key: WorkerKey) -> bool {
        let state = self.table.get(key).map(|worker| worker.view.state);
        matches!(state, Some(Availability::Ready | Availability::Suspected))
    }

    /// Records that a request is sent to the worker.
    pub fn sent(&mut self, now: u64, key: WorkerKey, profile: &RequestProfile) -> AttemptKey {
        self.attempts_sent += 1;
        let prefixes = shared_prefixes(profile);
        let mut attempt = self.new_attempt(now, key, profile);
        if let Some(worker) = self.table.get_mut(key) {
            let cached = worker.prefixes.cached_tokens(&prefixes);
            attempt.prefill_tokens = attempt.prefill_tokens.saturating_sub(cached);
            attempt.new_prefixes = worker.prefixes.touch(&prefixes, self.settings.prefixes_per_worker);
            worker.attempt_started(now, &attempt);
        }
        if let Some(session) = profile.session {
            self.sessions.record(session, key);
        }
        let attempt_key = self.attempts.insert(attempt);
        if let Some(worker) = self.table.get_mut(key) {
            self.attempts[attempt_key].is_trial = worker.health.request_sent(attempt_key);
        }
        attempt_key
    }

    /// Records the first byte of a response.
    pub fn first_byte(&mut self, now: u64, key: AttemptKey) {
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        if attempt.first_byte_at.is_some() {
            return;
        }
        attempt.first_byte_at = Some(now);
        let prefill_ms = attempt.prefill_tokens as f64 / self.settings.prefill_tokens_per_ms;
        let latency = now.saturating_sub(attempt.sent_at).saturating_sub(prefill_ms as u64);
        let ratio = self.baselines.first_byte(attempt.workload, latency);
        if let Some(worker) = self.table.get_mut(attempt.worker) {
            worker.prefill_finished(attempt);
            worker.slowness.observe(now, ratio);
            worker.response_received(now);
        }
    }

    /// Records an event of a streamed response.
    pub fn progress(&mut self, now: u64, key: AttemptKey) {
        self.first_byte(now, key);
        let Some(attempt) = self.attempts.get_mut(key) else { return };
        let previous = attempt.last_event_at.replace(now);
        let Some(worker) = self.table.get_mut(attempt.worker) else { return };
        if let Some(previous) = previous {
            let ratio = self.baselines.interval(attempt.workload, now.saturating_sub(previous));
            worker.slowness.observe(now, ratio);
        }
        worker.response_received(now);
    }

    /// Ends an attempt. Each attempt must be ended once, also if its client has disconnected.
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
            attempt.new_prefixes.iter().for_each(|hash| worker.prefixes.remove(*hash));
        } else if outcome == AttemptOutcome::Success {
            worker.last_activity_at = now;
        }
        let should_eject = worker.health.attempt_finished(now, &attempt, outcome, others);
        if should_eject && self.settings.ejection {
            eject_within_bound(&mut self.table, now, attempt.worker);
        }
    }

    /// Records that the worker reported the request's model or adapter as not loaded.
    pub fn model_not_loaded(&mut self, now: u64, key: WorkerKey, profile: &RequestProfile) {
        let (Some(worker), Some(model)) = (self.table.get_mut(key), &profile.model) else { return };
        worker.mark_not_loaded(now, model, profile.adapter.as_deref());
    }

    /// Ids of the workers at which this data plane has requests outstanding, and how many; for the report to other
    /// data planes.
    pub fn outstanding(&self) -> Vec<(String, u32)> {
        let busy = self.table.iter().filter(|(_, worker)| worker.outstanding > 0);
        busy.map(|(_, worker)| (worker.view.id.clone(), worker.outstanding)).collect()
    }

    /// Workers with several running streams of this data plane, none of which had an event for a while. Their streams
    /// should be resumed on other workers. Call it about every 50 ms: more than 150 ms between two calls counts as a
    /// pause of this process.
    pub fn silent_workers(&mut self, now: u64) -> Vec<WorkerKey> {
        self.silence.silent_workers(
            now,
            &self.attempts,
            self.settings.silent_ms,
            self.settings.silent_streams,
        )
    }

    fn new_attempt(&self, now: u64, worker: WorkerKey, profile: &RequestProfile) -> Attempt {
        Attempt {
            worker,
            sent_at: now,
            first_byte_at: None,
            last_event_at: None,
            prefill_tokens: u64::from(profile.prompt_tokens),
            total_tokens: profile.total_tokens(),
            workload: workload(profile),
            client: client(profile, self.attempts_sent),
            without_model: profile.model.is_none(),
            is_trial: false,
            new_prefixes: Vec::new(),
        }
    }
}

fn workload(profile: &RequestProfile) -> u64 {
    let mut hasher = DefaultHasher::new();
    (&profile.service, &profile.model).hash(&mut hasher);
    hasher.finish()
}

/// Id that stands for the client of the request: its session or its own prompt part. A request with neither counts as
/// a client of its own.
fn client(profile: &RequestProfile, serial: u64) -> u64 {
    let own_part = profile.prompt_parts.last().map(|part| part.id);
    profile.session.or(own_part).unwrap_or(serial)
}
