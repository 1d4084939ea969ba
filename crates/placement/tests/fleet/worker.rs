//! A simulated worker: executes one order at a time and sends delayed reports and heartbeats.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use switchhill_placement::{
    Engine, Input, Operation, OrderAnswer, OrderId, Resident, WorkerId, WorkerState, WorkerView,
};

use super::load::Load;
use super::HEARTBEAT_INTERVAL_MS;

/// An order as a worker receives it.
#[derive(Debug, Clone)]
pub struct ReceivedOrder {
    pub id: OrderId,
    pub operation: Operation,
    pub model: String,
    pub adapter: Option<String>,
    pub if_revision: Option<u64>,
    pub fence: u64,
}

#[derive(Debug, Clone)]
pub struct OrderInProgress {
    pub order: ReceivedOrder,
    pub done_at: u64,
}

#[derive(Debug, Clone)]
struct Snapshot {
    at: u64,
    busy: bool,
    sequence: u64,
    models: Vec<Resident>,
}

#[derive(Debug)]
pub struct SimWorker {
    pub id: WorkerId,
    pub address: String,
    pub zone: String,
    pub state: WorkerState,
    pub models: BTreeMap<String, BTreeSet<String>>,
    pub in_progress: Option<OrderInProgress>,
    pub sequence: u64,
    pub disk: BTreeSet<String>,
    pub fence: u64,
    history: VecDeque<Snapshot>,
    heartbeat_sequence: u64,
    next_heartbeat: u64,
    heartbeat_models: Vec<Resident>,
}

impl SimWorker {
    pub fn new(id: WorkerId, address: String, zone: String, disk: BTreeSet<String>, now: u64) -> Self {
        let mut worker = Self {
            id,
            address,
            zone,
            state: WorkerState::Ready,
            models: BTreeMap::new(),
            in_progress: None,
            sequence: 0,
            disk,
            fence: 0,
            history: VecDeque::new(),
            heartbeat_sequence: 1,
            next_heartbeat: now + HEARTBEAT_INTERVAL_MS,
            heartbeat_models: Vec::new(),
        };
        worker.record(now);
        worker
    }

    /// Loads models at start, without an order.
    pub fn preload(&mut self, names: &[String]) {
        for name in names {
            self.models.insert(name.clone(), BTreeSet::new());
            self.disk.insert(name.clone());
        }
        self.heartbeat_models = self.residents();
        self.record(0);
    }

    pub fn residents(&self) -> Vec<Resident> {
        let resident = |(name, adapters): (&String, &BTreeSet<String>)| Resident {
            name: name.clone(),
            adapters: adapters.iter().cloned().collect(),
        };
        self.models.iter().map(resident).collect()
    }

    /// Whether the worker can serve a request for the model and adapter.
    pub fn serves(&self, model: &str, adapter: Option<&str>) -> bool {
        let Some(adapters) = self.models.get(model) else { return false };
        let is_affected = self.in_progress.as_ref().is_some_and(|in_progress| {
            let same_model = in_progress.order.model == model;
            same_model
                && (in_progress.order.adapter.is_none() || in_progress.order.adapter.as_deref() == adapter)
        });
        !is_affected && adapter.is_none_or(|adapter| adapters.contains(adapter))
    }

    pub fn used_mb(&self, engine: &Engine) -> f64 {
        let size = |(name, adapters): (&String, &BTreeSet<String>)| {
            let spec = engine.models.iter().find(|spec| spec.name == *name).unwrap();
            spec.weights_mb + spec.adapter_mb * adapters.len() as f64
        };
        self.models.iter().map(size).sum()
    }

    pub fn adapters(&self) -> usize {
        self.models.values().map(BTreeSet::len).sum()
    }

    fn holds(&self, order: &ReceivedOrder) -> bool {
        match (&order.adapter, self.models.get(&order.model)) {
            (None, held) => held.is_some(),
            (Some(adapter), Some(adapters)) => adapters.contains(adapter),
            (Some(_), None) => false,
        }
    }

    pub fn handle_order(
        &mut self,
        now: u64,
        order: &ReceivedOrder,
        engine: &Engine,
        load: &Load,
    ) -> OrderAnswer {
        let Some(spec) = engine.models.iter().find(|spec| spec.name == order.model) else {
            return OrderAnswer::Rejected;
        };
        if order.fence < self.fence {
            return OrderAnswer::StaleFence;
        }
        self.fence = order.fence;
        let expected = order.if_revision.is_none_or(|revision| revision == self.sequence);
        if self.in_progress.is_some() || !expected {
            return OrderAnswer::Busy;
        }
        if self.holds(order) == (order.operation == Operation::Load) {
            return OrderAnswer::AlreadyHolds;
        }
        if order.adapter.is_some() && !self.models.contains_key(&order.model) {
            return OrderAnswer::Rejected;
        }
        self.sequence += 1;
        let running = load.running(&self.id) as f64;
        let slowdown = 1.0 + 0.2 * running / f64::from(engine.slots);
        let base_ms = if self.disk.contains(&order.model) { 600.0 } else { spec.load_ms as f64 };
        let duration = match (order.operation, &order.adapter) {
            (Operation::Load, None) => (base_ms * slowdown) as u64,
            (Operation::Load, Some(_)) => 14,
            (Operation::Unload, _) => 0,
        };
        self.in_progress = Some(OrderInProgress { order: order.clone(), done_at: now + duration });
        self.record(now);
        OrderAnswer::Accepted
    }

    /// Completes the order in progress when it is due; an unload waits for running requests of its model or adapter.
    pub fn advance(&mut self, now: u64, load: &Load) {
        let Some(in_progress) = &self.in_progress else { return };
        let order = &in_progress.order;
        let running = load.running_for(&self.id, &order.model, order.adapter.as_deref());
        let waits = order.operation == Operation::Unload && running > 0;
        if now < in_progress.done_at || waits {
            return;
        }
        let order = self.in_progress.take().unwrap().order;
        match (order.operation, order.adapter) {
            (Operation::Load, None) => {
                self.disk.insert(order.model.clone());
                self.models.insert(order.model, BTreeSet::new());
            }
            (Operation::Load, Some(adapter)) => {
                self.models.get_mut(&order.model).unwrap().insert(adapter);
            }
            (Operation::Unload, None) => {
                self.models.remove(&order.model);
            }
            (Operation::Unload, Some(adapter)) => {
                self.models.get_mut(&order.model).unwrap().remove(&adapter);
            }
        }
        self.record(now);
    }

    fn record(&mut self, now: u64) {
        let (busy, sequence, models) = (self.in_progress.is_some(), self.sequence, self.residents());
        self.history.push_back(Snapshot { at: now, busy, sequence, models });
        while self.history.len() > 20 {
            self.history.pop_front();
        }
    }

    /// The report with the state at a given time.
    pub fn report(&self, as_of: u64) -> Input {
        let newest = self.history.iter().rev().find(|snapshot| snapshot.at <= as_of);
        let snapshot = newest.unwrap_or(&self.history[0]);
        Input::Report {
            worker: self.id.clone(),
            busy: snapshot.busy,
            sequence: snapshot.sequence,
            models: snapshot.models.clone(),
        }
    }

    /// Sends a heartbeat if one is due; returns whether it was sent.
    pub fn heartbeat(&mut self, now: u64) -> bool {
        if now < self.next_heartbeat {
            return false;
        }
        self.next_heartbeat += HEARTBEAT_INTERVAL_MS;
        self.heartbeat_sequence += 1;
        self.heartbeat_models = self.residents();
        true
    }

    pub fn view(&self) -> WorkerView {
        WorkerView {
            id: self.id.clone(),
            address: self.address.clone(),
            zone: self.zone.clone(),
            state: self.state,
            models: self.heartbeat_models.clone(),
            as_of_sequence: self.heartbeat_sequence,
        }
    }
}
