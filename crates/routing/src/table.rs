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
use crate::indexes::{indexed_alike, ServiceIndex, WorkerIndexes};
use crate::pace::{SendRate, Slowness};
use crate::prefix::PrefixMemory;
use crate::worker::{WorkerKey, WorkerView};

/// How long a residency that a worker denied is disbelieved, unless its list of models changes before.
const DENIAL_MS: u64 = 2_500;

/// A worker and what this router knows of it from its own requests.
#[derive(Debug)]
pub(crate) struct WorkerState {
    /// As last told, with the newest load.
    pub view: WorkerView,
    /// The description that `view` was copied from, where the teller shares it.
    told: Option<Arc<WorkerView>>,
    /// Hash of its id, the same in every process.
    pub id_hash: u64,
    /// When it stops being cold.
    pub cold_until: u64,
    /// How often we send to it.
    pub sends: SendRate,
    /// Our requests at it.
    pub outstanding: u32,
    /// Memory these occupy at their end.
    pub outstanding_tokens: u64,
    /// Prompt tokens of ours that it has not read yet.
    pub unread_tokens: u64,
    /// Last sign of life, or when it got its first request after having none.
    pub heard_at: u64,
    /// Health from outcomes.
    pub health: Health,
    /// Speed relative to others.
    pub slowness: Slowness,
    /// Prompt prefixes it has read.
    pub prefixes: PrefixMemory,
    denials: Vec<Denial>,
}

/// A model and adapter that the worker said it does not hold, against its list.
#[derive(Debug)]
struct Denial {
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
            told: None,
            sends: SendRate::default(),
            outstanding: 0,
            outstanding_tokens: 0,
            unread_tokens: 0,
            heard_at: now,
            health: Health::default(),
            slowness: Slowness::default(),
            prefixes: PrefixMemory::default(),
            denials: Vec::new(),
        }
    }

    fn update(&mut self, now: u64, view: WorkerView) {
        if view.models != self.view.models {
            self.denials.clear();
        }
        // The same figure again was told once and has been running down since.
        if view.cold_remaining_ms != self.view.cold_remaining_ms {
            self.cold_until = now + view.cold_remaining_ms;
        }
        self.view = view;
    }

    /// Whether it holds the model and adapter, as told and not denied since.
    pub fn holds(&self, now: u64, model: &str, adapter: Option<&str>) -> bool {
        self.view.holds(model, adapter)
            && !self.denials.iter().any(|denial| denial.covers(now, model, adapter))
    }

    /// Notes that it answered that it does not hold the model or adapter.
    pub fn deny(&mut self, now: u64, model: &str, adapter: Option<&str>) {
        let is_same = |denial: &Denial| denial.model == model && denial.adapter.as_deref() == adapter;
        self.denials.retain(|denial| denial.until > now && !is_same(denial));
        let adapter = adapter.map(str::to_owned);
        self.denials.push(Denial { model: model.to_owned(), adapter, until: now + DENIAL_MS });
    }

    /// Notes a sign of life.
    pub fn heard(&mut self, now: u64) {
        self.heard_at = now;
        self.health.heard(now);
    }

    /// Adds an attempt to what is outstanding.
    pub fn attempt_started(&mut self, now: u64, attempt: &Attempt) {
        if self.outstanding == 0 {
            self.heard_at = now;
        }
        self.sends.count(now);
        self.outstanding += 1;
        self.outstanding_tokens += attempt.total_tokens;
        self.unread_tokens += attempt.prefill_tokens;
    }

    /// Notes that the attempt's prompt has been read.
    pub fn prompt_read(&mut self, attempt: &Attempt) {
        self.unread_tokens = self.unread_tokens.saturating_sub(attempt.prefill_tokens);
    }

    /// Takes an attempt out of what is outstanding.
    pub fn attempt_ended(&mut self, attempt: &Attempt) {
        self.outstanding = self.outstanding.saturating_sub(1);
        self.outstanding_tokens = self.outstanding_tokens.saturating_sub(attempt.total_tokens);
        if attempt.first_byte_at.is_none() {
            self.prompt_read(attempt);
        }
    }
}

impl Denial {
    /// A denied model covers all its adapters; a denied adapter only itself.
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
    /// Replaces the list. State of workers whose id stays is kept.
    pub fn replace(&mut self, now: u64, views: Vec<WorkerView>) {
        self.drop_unlisted(views.iter().map(|view| view.id.as_str()).collect());
        for view in views {
            self.put(now, view);
        }
    }

    /// Takes a list whose unchanged descriptions are those of the list before: only the others are copied.
    /// Returns whether anything differs.
    pub fn replace_shared(&mut self, now: u64, views: &[Arc<WorkerView>]) -> bool {
        let mut changed = false;
        for view in views {
            let known = self.key(&view.id).and_then(|key| self.workers.get(key));
            let is_same =
                known.and_then(|worker| worker.told.as_ref()).is_some_and(|told| Arc::ptr_eq(told, view));
            if is_same {
                continue;
            }
            changed = true;
            let key = self.put(now, WorkerView::clone(view));
            self.workers[key].told = Some(view.clone());
        }
        if self.workers.len() > views.len() {
            changed = true;
            self.drop_unlisted(views.iter().map(|view| view.id.as_str()).collect());
        }
        changed
    }

    fn drop_unlisted(&mut self, listed: HashSet<&str>) {
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

    /// Takes the load of all workers, as told at one time; those that are not named have none.
    pub fn set_loads(&mut self, told_at: u64, loads: &HashMap<String, u32>) {
        for worker in self.workers.values_mut() {
            worker.view.peer_load = loads.get(&worker.view.id).copied().unwrap_or(0);
            worker.view.peer_load_at = told_at;
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

    /// Index of a service that has workers.
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

    /// Adds or updates a worker.
    fn put(&mut self, now: u64, view: WorkerView) -> WorkerKey {
        let Some(key) = self.key(&view.id) else {
            let id = view.id.clone();
            let key = self.workers.insert(WorkerState::new(now, view));
            self.by_id.insert(id, key);
            self.indexes.add(key, &self.workers[key].view);
            return key;
        };
        let worker = &mut self.workers[key];
        // Most descriptions change loads only.
        if indexed_alike(&worker.view, &view) {
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
