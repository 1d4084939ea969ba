//! The planner's state, its inputs and the list of workers.

use std::collections::{BTreeMap, BTreeSet};

use fastrand::Rng;
use slotmap::SlotMap;

use crate::catalogue::{Catalogue, ModelIndex};
use crate::counters::PlacementCounters;
use crate::demand::{ModelDemand, Sample};
use crate::message::{Input, Operation, OrderId, Output, Resident, WorkerId, WorkerState, WorkerView};
use crate::policy::{MissingTable, ServableId, Turns};
use crate::served_reports::ServedReportTable;
use crate::settings::{Engine, PlannerSettings};
use crate::store_rate_limiter::StoreRateLimiter;
use crate::worker::{Phase, RecordState, Worker, WorkerKey};

/// Interval between policy rounds, in milliseconds.
const POLICY_INTERVAL_MS: u64 = 100;
/// Interval between samples of demand, in milliseconds; data planes report demand at the same interval.
const SAMPLE_INTERVAL_MS: u64 = 500;
/// Time after a change during which heartbeats may still show the previous state, in milliseconds.
const HEARTBEAT_LAG_MS: u64 = 3_000;

/// Order ids reserved per millisecond of the planner's creation time, so that a later planner on the same node never
/// reuses an id: it would take an answer to an order of the earlier planner for the answer to its own.
const ORDER_IDS_PER_MS: u64 = 1 << 16;

/// Workers that serve a model, or will after a pending load.
#[derive(Debug, Default)]
pub(crate) struct Replicas {
    /// Ready workers on which it is resident and not about to be unloaded.
    pub(crate) serving: BTreeSet<WorkerKey>,
    /// Ready workers on which its load is planned or ordered.
    pub(crate) pending: BTreeSet<WorkerKey>,
}

impl Replicas {
    /// Number of serving and pending replicas.
    pub(crate) fn count(&self) -> usize {
        self.serving.len() + self.pending.len()
    }
}

/// Decides which models and adapters each worker of one service holds.
#[derive(Debug)]
pub struct Planner {
    pub(crate) settings: PlannerSettings,
    pub(crate) engine: Engine,
    pub(crate) catalogue: Catalogue,
    pub(crate) workers: SlotMap<WorkerKey, Worker>,
    pub(crate) by_id: BTreeMap<WorkerId, WorkerKey>,
    pub(crate) on_disk_by_address: BTreeMap<String, BTreeSet<ModelIndex>>,
    /// Indexed by [`ModelIndex`].
    pub(crate) replicas: Vec<Replicas>,
    pub(crate) demand: BTreeMap<ModelIndex, ModelDemand>,
    pub(crate) missing: MissingTable,
    pub(crate) store: StoreRateLimiter,
    pub(crate) random: Rng,
    pub(crate) orders: BTreeMap<OrderId, WorkerKey>,
    /// Workers with planned steps, an order in progress or a report due.
    pub(crate) active_workers: BTreeSet<WorkerKey>,
    pub(crate) outputs: Vec<Output>,
    /// Time from which the planner may request reports and send orders; it only observes before.
    pub(crate) orders_allowed_at: u64,
    /// Time of the first demand report.
    pub(crate) first_demand_at: Option<u64>,
    /// Replicas that models should have because their predecessors are busy now.
    pub(crate) anticipated: BTreeMap<ModelIndex, usize>,
    /// Store tokens that other loads leave to overloaded models.
    pub(crate) tokens_reserved_for_overloaded: f64,
    /// Alternation of store loads between replicas and missing models.
    pub(crate) turns: Turns,
    /// Reports of missing models that are served already.
    pub(crate) served_reports: ServedReportTable,
    /// Counters of placement attempts, for the log.
    pub(crate) counters: PlacementCounters,
    next_order: u64,
    next_policy_at: u64,
    next_sample_at: u64,
    superseded: bool,
}

impl Planner {
    /// A planner with no knowledge of the workers. For [`PlannerSettings::watch_ms`] it only observes. It then starts
    /// with no store tokens, since a previous planner may just have used the store's rate, and orders nothing to a
    /// worker before that worker has reported. `seed` initializes the random numbers for sampling and tie-breaking.
    pub fn new(now: u64, settings: PlannerSettings, engine: Engine, seed: u64) -> Self {
        let orders_allowed_at = now + settings.watch_ms;
        let store = StoreRateLimiter::new(
            orders_allowed_at,
            engine.loads_per_s * settings.store_share,
            settings.store_burst,
        );
        let mut catalogue = Catalogue::default();
        catalogue.update(&engine);
        Self {
            settings,
            engine,
            catalogue,
            workers: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            on_disk_by_address: BTreeMap::new(),
            replicas: Vec::new(),
            demand: BTreeMap::new(),
            missing: MissingTable::default(),
            store,
            random: Rng::with_seed(seed),
            orders: BTreeMap::new(),
            active_workers: BTreeSet::new(),
            outputs: Vec::new(),
            orders_allowed_at,
            first_demand_at: None,
            anticipated: BTreeMap::new(),
            tokens_reserved_for_overloaded: 0.0,
            turns: Turns::default(),
            served_reports: ServedReportTable::default(),
            counters: PlacementCounters::default(),
            next_order: now.saturating_mul(ORDER_IDS_PER_MS) + 1,
            next_policy_at: now,
            next_sample_at: now,
            superseded: false,
        }
    }

    /// Applies a changed engine configuration.
    pub fn set_engine(&mut self, now: u64, engine: Engine) {
        self.store.set_rate(now, engine.loads_per_s * self.settings.store_share);
        self.catalogue.update(&engine);
        self.engine = engine;
        let catalogue = &self.catalogue;
        self.missing.retain_models(|model| catalogue.entry(model).rank.is_some());
    }

    /// Whether a worker has refused this planner's fencing token; the planner then sends no more orders.
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the counters since the last call and resets them.
    pub fn take_counters(&mut self) -> PlacementCounters {
        std::mem::take(&mut self.counters)
    }

    /// Handles one input and returns the resulting outputs. `now` is in milliseconds and must not decrease.
    pub fn handle(&mut self, now: u64, input: Input) -> Vec<Output> {
        if self.superseded {
            return Vec::new();
        }
        match input {
            Input::Workers(views) => self.update_workers(now, &views),
            Input::Demand { model, adapter, requests_per_s, latency_target_ms, outstanding, waiting } => {
                let sample = Sample { requests_per_s, outstanding, waiting, latency_target_ms };
                self.record_demand(now, &model, adapter, sample);
            }
            Input::Missing { model, adapter, waiting, latency_target_ms } => {
                self.handle_missing(now, model, adapter, waiting, latency_target_ms);
            }
            Input::Load { worker, running, queued, kv_used, kv_total } => {
                self.record_load(&worker, running + queued, kv_used, kv_total);
            }
            Input::OrderResult { order, answer } => self.handle_order_answer(now, order, answer),
            Input::Report { worker, busy, sequence, models } => {
                self.handle_report(now, &worker, busy, sequence, &models);
            }
            Input::Tick => self.tick(now),
        }
        std::mem::take(&mut self.outputs)
    }

    pub(crate) fn replicas_of(&mut self, model: ModelIndex) -> &Replicas {
        self.resize_replica_index();
        &self.replicas[model.get()]
    }

    /// Whether a ready worker serves a model, with its adapter if one is named.
    pub(crate) fn is_served(&mut self, servable: &ServableId) -> bool {
        let serving = self.replicas_of(servable.model).serving.clone();
        let Some(adapter) = servable.adapter.as_deref() else { return !serving.is_empty() };
        serving.iter().any(|key| {
            let record = self.workers[*key].model_record(servable.model);
            record.is_some_and(|record| record.adapters.get(adapter) == Some(&Phase::Resident))
        })
    }

    /// Updates the replica index from a worker's record, and announces changed models to routers.
    pub(crate) fn update_and_announce(&mut self, key: WorkerKey) {
        self.update_replica_index(key);
        let worker = &mut self.workers[key];
        if !worker.may_be_announced() {
            return;
        }
        let served = worker.served_models(&self.catalogue);
        let is_announced = |announced: &Vec<Resident>| crate::worker::same_residents(&served, announced);
        if worker.announced.as_ref().is_some_and(is_announced) {
            return;
        }
        worker.announced = Some(served.clone());
        self.outputs.push(Output::Resident { worker: worker.id.clone(), models: served });
    }

    /// Announces again to routers the models of each worker that serves a model.
    pub(crate) fn reannounce_workers(&mut self, servable: &ServableId) {
        for key in self.replicas_of(servable.model).serving.clone() {
            let worker = &self.workers[key];
            if let Some(models) = worker.announced.clone() {
                self.outputs.push(Output::Resident { worker: worker.id.clone(), models });
            }
        }
    }

    /// Stops the planner for good because a worker refused its fencing token.
    pub(crate) fn mark_superseded(&mut self) {
        self.superseded = true;
        self.outputs.push(Output::Superseded);
    }

    /// Allocates the id of a new order to a worker.
    pub(crate) fn new_order_id(&mut self, key: WorkerKey) -> OrderId {
        let id = OrderId(self.next_order);
        self.next_order += 1;
        self.orders.insert(id, key);
        id
    }

    fn tick(&mut self, now: u64) {
        self.advance_all(now);
        if now < self.next_policy_at {
            return;
        }
        self.next_policy_at = now + POLICY_INTERVAL_MS;
        self.drop_resolved(now);
        self.place_overdue(now);
        if self.settings.crowded_first {
            self.add_replicas_of_overloaded(now);
        }
        self.place_missing(now);
        self.place_anticipated(now);
        if now >= self.next_sample_at {
            self.next_sample_at = now + SAMPLE_INTERVAL_MS;
            self.sample_demand(now);
            if self.settings.growth {
                self.add_replicas(now);
            }
            if self.settings.relief {
                self.relieve_most_overloaded(now);
            }
        }
    }

    fn record_demand(&mut self, now: u64, model: &str, adapter: Option<String>, sample: Sample) {
        self.first_demand_at.get_or_insert(now);
        let known = self.catalogue.configured(model);
        if let Some(model) = known.filter(|model| self.catalogue.has_adapter(*model, adapter.as_deref())) {
            self.demand.entry(model).or_default().record_sample(now, adapter, sample);
        }
    }

    fn record_load(&mut self, id: &WorkerId, occupied: u32, kv_used: u64, kv_total: u64) {
        let Some(key) = self.by_id.get(id) else { return };
        let worker = &mut self.workers[*key];
        worker.occupied = occupied;
        worker.kv_share = kv_used as f64 / kv_total.max(1) as f64;
    }

    fn update_workers(&mut self, now: u64, views: &[WorkerView]) {
        let live = |view: &&WorkerView| view.state != WorkerState::Gone;
        let listed: BTreeSet<&WorkerId> = views.iter().filter(live).map(|view| &view.id).collect();
        let gone: Vec<WorkerId> = self.by_id.keys().filter(|id| !listed.contains(id)).cloned().collect();
        for id in gone {
            self.remove_worker(&id);
        }
        for view in views.iter().filter(live) {
            match self.by_id.get(&view.id) {
                Some(key) => self.update_worker(now, *key, view),
                None => self.add_worker(now, view),
            }
        }
    }

    fn remove_worker(&mut self, id: &WorkerId) {
        let Some(key) = self.by_id.remove(id) else { return };
        let Some(worker) = self.workers.remove(key) else { return };
        for model in &worker.indexed {
            self.replicas[model.get()].serving.remove(&key);
            self.replicas[model.get()].pending.remove(&key);
        }
        if let Some(order) = &worker.order {
            self.orders.remove(&order.id);
        }
        self.active_workers.remove(&key);
        let on_disk = worker.on_disk.union(&worker.probably_on_disk).copied();
        self.on_disk_by_address.entry(worker.address.clone()).or_default().extend(on_disk);
    }

    fn add_worker(&mut self, now: u64, view: &WorkerView) {
        let mut worker = Worker::new(now, view, now.max(self.orders_allowed_at));
        worker.replace_model_records(now, &view.models, &mut self.catalogue, true);
        if let Some(on_disk) = self.on_disk_by_address.get(&view.address) {
            worker.probably_on_disk.clone_from(on_disk);
        }
        let key = self.workers.insert(worker);
        self.by_id.insert(view.id.clone(), key);
        self.active_workers.insert(key);
        self.update_replica_index(key);
        self.advance(now, key);
    }

    fn update_worker(&mut self, now: u64, key: WorkerKey, view: &WorkerView) {
        self.check_heartbeat(now, key, view);
        let worker = &mut self.workers[key];
        if worker.state == view.state && worker.address == view.address {
            return;
        }
        worker.state = view.state;
        worker.address.clone_from(&view.address);
        if !worker.is_ready() {
            worker.plan.clear();
        }
        self.active_workers.insert(key);
        self.update_and_announce(key);
        self.advance(now, key);
    }

    /// Requests a report if a newer heartbeat differs from the record well after the last change.
    fn check_heartbeat(&mut self, now: u64, key: WorkerKey, view: &WorkerView) {
        let worker = &mut self.workers[key];
        if view.as_of_sequence <= worker.heartbeat_sequence {
            return;
        }
        worker.heartbeat_sequence = view.as_of_sequence;
        let settled = now.saturating_sub(worker.changed_at) > HEARTBEAT_LAG_MS;
        let unchecked = now.saturating_sub(worker.heartbeat_checked_at) > HEARTBEAT_LAG_MS;
        if !worker.is_idle() || !settled || !unchecked {
            return;
        }
        if !worker.matches_heartbeat(&view.models, &self.catalogue) {
            worker.heartbeat_checked_at = now;
            worker.record_state = RecordState::Unconfirmed { request_at: now };
            self.active_workers.insert(key);
            self.advance(now, key);
        }
    }

    fn update_replica_index(&mut self, key: WorkerKey) {
        self.resize_replica_index();
        let worker = &mut self.workers[key];
        for model in std::mem::take(&mut worker.indexed) {
            self.replicas[model.get()].serving.remove(&key);
            self.replicas[model.get()].pending.remove(&key);
        }
        if !worker.is_ready() {
            return;
        }
        let planned = worker.plan.iter().filter(|step| step.adapter.is_none()).map(|step| step.model);
        let models: BTreeSet<ModelIndex> =
            worker.model_records.iter().map(|record| record.model).chain(planned).collect();
        for model in models {
            let is_loading = worker.model_record(model).is_some_and(|record| record.phase == Phase::Loading);
            let is_pending =
                worker.is_responsive() && (is_loading || worker.is_planned(Operation::Load, model));
            if worker.serves(model) {
                self.replicas[model.get()].serving.insert(key);
            } else if is_pending {
                self.replicas[model.get()].pending.insert(key);
            }
            worker.indexed.push(model);
        }
    }

    fn resize_replica_index(&mut self) {
        if self.replicas.len() < self.catalogue.len() {
            self.replicas.resize_with(self.catalogue.len(), Replicas::default);
        }
    }
}
