//! The workers of this router, indexed by id, service and model.

#[cfg(test)]
mod tests;

use std::collections::hash_map::DefaultHasher;
use std::collections::{HashMap, HashSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use slotmap::SlotMap;

use crate::attempt::Attempt;
use crate::health::Health;
use crate::indexes::{same_index_entries, ServiceIndex, WorkerIndexes};
use crate::latency::{SendRate, Slowness};
use crate::prefix::PrefixCache;
use crate::worker::{WorkerKey, WorkerView};

/// How long a model that a worker lists counts as not loaded after the worker said so, unless its list of models
/// changes earlier.
const NOT_LOADED_MS: u64 = 2_500;

/// A worker and what this router has learned about it from its own requests.
#[derive(Debug)]
pub(crate) struct WorkerState {
    /// Its description as last received, with the newest peer load.
    pub view: WorkerView,
    /// The shared description that `view` was copied from, if the list was given as shared descriptions.
    shared_view: Option<Arc<WorkerView>>,
    /// Hash of its id, the same in every process.
    pub id_hash: u64,
    /// When it stops being cold.
    pub cold_until: u64,
    /// Rate at which this data plane sends to it.
    pub sends: SendRate,
    /// Requests of this data plane outstanding at it.
    pub outstanding: u32,
    /// KV cache tokens that these requests occupy when they end.
    pub outstanding_tokens: u64,
    /// Prompt tokens of these requests that it has not prefilled yet.
    pub pending_prefill_tokens: u64,
    /// When it last responded, or when it got its first request after a time without any.
    pub last_activity_at: u64,
    /// Health derived from outcomes.
    pub health: Health,
    /// Latency relative to the usual one.
    pub slowness: Slowness,
    /// Prompt prefixes it is assumed to have cached.
    pub prefixes: PrefixCache,
    not_loaded: Vec<NotLoaded>,
}

/// A model and adapter that the worker lists but reported as not loaded.
#[derive(Debug)]
struct NotLoaded {
    model: String,
    adapter: Option<String>,
    until: u64,
}

impl WorkerState {
    fn new(now: u64, view: WorkerView) -> Self {
        WorkerState {
            id_hash: id_hash(&view.id),
            cold_until: now + view.cold_remaining_ms,
            view,
            shared_view: None,
            sends: SendRate::default(),
            outstanding: 0,
            outstanding_tokens: 0,
            pending_prefill_tokens: 0,
            last_activity_at: now,
            health: Health::default(),
            slowness: Slowness::default(),
            prefixes: PrefixCache::default(),
            not_loaded: Vec::new(),
        }
    }

    fn update(&mut self, now: u64, view: WorkerView) {
        if view.models != self.view.models {
            self.not_loaded.clear();
        }
        // An unchanged value was received before and has been counting down since.
        if view.cold_remaining_ms != self.view.cold_remaining_ms {
            self.cold_until = now + view.cold_remaining_ms;
        }
        self.view = view;
    }

    /// Whether it lists the model and adapter and has not reported them as not loaded since.
    pub fn holds(&self, now: u64, model: &str, adapter: Option<&str>) -> bool {
        self.view.holds(model, adapter)
            && !self.not_loaded.iter().any(|entry| entry.covers(now, model, adapter))
    }

    /// Records that it reported the model or adapter as not loaded.
    pub fn mark_not_loaded(&mut self, now: u64, model: &str, adapter: Option<&str>) {
        let is_same = |entry: &NotLoaded| entry.model == model && entry.adapter.as_deref() == adapter;
        self.not_loaded.retain(|entry| entry.until > now && !is_same(entry));
        let adapter = adapter.map(str::to_owned);
        self.not_loaded.push(NotLoaded { model: model.to_owned(), adapter, until: now + NOT_LOADED_MS });
    }

    /// Records that a part of a response arrived.
    pub fn response_received(&mut self, now: u64) {
        self.last_activity_at = now;
        self.health.response_received(now);
    }

    /// Adds an attempt to the outstanding ones.
    pub fn attempt_started(&mut self, now: u64, attempt: &Attempt) {
        if self.outstanding == 0 {
            self.last_activity_at = now;
        }
        self.sends.count(now);
        self.outstanding += 1;
        self.outstanding_tokens += attempt.total_tokens;
        self.pending_prefill_tokens += attempt.prefill_tokens;
    }

    /// Records that the attempt's prompt has been prefilled.
    pub fn prefill_finished(&mut self, attempt: &Attempt) {
        self.pending_prefill_tokens = self.pending_prefill_tokens.saturating_sub(attempt.prefill_tokens);
    }

    /// Removes an attempt from the outstanding ones.
    pub fn attempt_ended(&mut self, attempt: &Attempt) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.outstanding_tokens = self.outstanding_tokens.saturating_sub(attempt.total_tokens);
        if attempt.first_byte_at.is_none() {
            self.prefill_finished(attempt);
        }
    }
}

impl NotLoaded {
    /// A model that is not loaded covers all its adapters; an adapter covers only itself.
    fn covers(&self, now: u64, model: &str, adapter: Option<&str>) -> bool {
        let adapter_covered = self.adapter.is_none() || self.adapter.as_deref() == adapter;
        self.until > now && self.model == model && adapter_covered
    }
}

/// All workers and their indexes.
#[derive(Debug, Default)]
pub(crate) struct WorkerTable {
    workers: SlotMap<WorkerKey, WorkerState>,
    by_id: HashMap<String, WorkerKey>,
    indexes: WorkerIndexes,
}

impl WorkerTable {
    /// Replaces the list. The state of workers that are still listed, by id, is retained.
    pub fn replace(&mut self, now: u64, views: Vec<WorkerView>) {
        self.remove_unlisted(views.iter().map(|view| view.id.as_str()).collect());
        for view in views {
            self.upsert(now, view);
        }
    }

    /// Replaces the list, given as shared descriptions: only those that are not the same object as in the previous list
    /// are copied. Returns whether anything differs.
    pub fn replace_shared(&mut self, now: u64, views: &[Arc<WorkerView>]) -> bool {
        let mut changed = false;
        for view in views {
            let known = self.key(&view.id).and_then(|key| self.workers.get(key));
            let is_same = known
                .and_then(|worker| worker.shared_view.as_ref())
                .is_some_and(|shared| Arc::ptr_eq(shared, view));
            if is_same {
                continue;
            }
            changed = true;
            let key = self.upsert(now, WorkerView::clone(view));
            self.workers[key].shared_view = Some(view.clone());
        }
        if self.workers.len() > views.len() {
            changed = true;
            self.remove_unlisted(views.iter().map(|view| view.id.as_str()).collect());
        }
        changed
    }

    fn remove_unlisted(&mut self, listed: HashSet<&str>) {
        let indexes = &mut self.indexes;
        self.workers.retain(|key, worker| {
            let is_listed = listed.contains(worker.view.id.as_str());
            if !is_listed {
                indexes.remove(key, &worker.view);
            }
            is_listed
        });
        let workers = &self.workers;
        self.by_id.retain(|_, key| workers.contains_key(*key));
    }

    /// Sets the peer load of all workers, as reported at one time; workers that are not named have none.
    pub fn set_peer_loads(&mut self, reported_at: u64, loads: &HashMap<String, u32>) {
        for worker in self.workers.values_mut() {
            worker.view.peer_load = loads.get(&worker.view.id).copied().unwrap_or(0);
            worker.view.peer_load_at = reported_at;
        }
    }

    /// The worker, if it is still listed.
    pub fn get(&self, key: WorkerKey) -> Option<&WorkerState> {
        self.workers.get(key)
    }

    /// The worker, if it is still listed.
    pub fn get_mut(&mut self, key: WorkerKey) -> Option<&mut WorkerState> {
        self.workers.get_mut(key)
    }

    /// Index of the service, if it has workers.
    pub fn service(&self, name: &str) -> Option<&ServiceIndex> {
        self.indexes.service(name)
    }

    /// Indexes of all services that have workers.
    pub fn services(&self) -> impl Iterator<Item = &ServiceIndex> {
        self.indexes.services()
    }

    /// All workers.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerKey, &WorkerState)> {
        self.workers.iter()
    }

    /// Key of the worker with this id.
    pub fn key(&self, id: &str) -> Option<WorkerKey> {
        self.by_id.get(id).copied()
    }

    /// Inserts or updates a worker.
    fn upsert(&mut self, now: u64, view: WorkerView) -> WorkerKey {
        let Some(key) = self.key(&view.id) else {
            let id = view.id.clone();
            let key = self.workers.insert(WorkerState::new(now, view));
            self.by_id.insert(id, key);
            self.indexes.add(key, &self.workers[key].view);
            return key;
        };
        let worker = &mut self.workers[key];
        // Most updates change loads only and leave the indexes as they are.
        if same_index_entries(&worker.view, &view) {
            worker.update(now, view);
        } else {
            self.indexes.remove(key, &worker.view);
            worker.update(now, view);
            self.indexes.add(key, &worker.view);
        }
        key
    }
}

fn id_hash(id: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish()
}
