//! Checkers of the rules that orders must keep.

use std::collections::{BTreeMap, VecDeque};

use switchhill_placement::{Engine, Operation, OrderAnswer};

use super::worker::{ReceivedOrder, SimWorker};

const WINDOW_MS: u64 = 5_000;

/// What the workers saw of the planner's orders.
#[derive(Debug)]
pub struct Checks {
    /// Loads over a worker's weights or adapter slots.
    pub limit: Vec<String>,
    /// Windows with too many loads from the store.
    pub ceiling: Vec<String>,
    /// Orders that met another one under way or an unexpected number of orders.
    pub refused: u64,
    pub orders: u64,
    pub model_loads: u64,
    pub store_loads: u64,
    pub adapter_loads: u64,
    /// Unloads of models, by name.
    pub unloads: BTreeMap<String, u64>,
    ceiling_loads: f64,
    begun: VecDeque<u64>,
}

impl Checks {
    pub fn new(engine: &Engine) -> Self {
        Self {
            limit: Vec::new(),
            ceiling: Vec::new(),
            refused: 0,
            orders: 0,
            model_loads: 0,
            store_loads: 0,
            adapter_loads: 0,
            unloads: BTreeMap::new(),
            ceiling_loads: engine.loads_per_s * WINDOW_MS as f64 / 1_000.0 * 1.1 + 3.0,
            begun: VecDeque::new(),
        }
    }

    /// An order reaches a worker. What is there and what is under way counts, whether or not the order is taken.
    pub fn order_received(&mut self, now: u64, worker: &SimWorker, order: &ReceivedOrder, engine: &Engine) {
        self.orders += 1;
        if order.operation == Operation::Unload {
            return;
        }
        let loading = worker.under_way.as_ref().filter(|under| under.order.operation == Operation::Load);
        let size = |order: &ReceivedOrder| {
            let spec = engine.models.iter().find(|spec| spec.name == order.model).unwrap();
            if order.adapter.is_some() {
                spec.adapter_mb
            } else {
                spec.weights_mb
            }
        };
        let held = match &order.adapter {
            None => worker.models.contains_key(&order.model),
            Some(adapter) => {
                worker.models.get(&order.model).is_some_and(|adapters| adapters.contains(adapter))
            }
        };
        let same = loading
            .is_some_and(|under| under.order.model == order.model && under.order.adapter == order.adapter);
        if held || same {
            return;
        }
        let used = worker.used_mb(engine) + loading.map_or(0.0, |under| size(&under.order));
        let adapters = worker.adapters() + usize::from(loading.is_some_and(|u| u.order.adapter.is_some()));
        let over_slots = order.adapter.is_some() && adapters >= engine.adapter_slots as usize;
        if used + size(order) > engine.weights_mb + 1e-6 || over_slots {
            self.limit.push(format!("{now}: {} {order:?} on {used} MB, {adapters} adapters", worker.id));
        }
    }

    /// The worker answered an order; called after it was taken.
    pub fn order_answered(
        &mut self,
        now: u64,
        worker: &SimWorker,
        order: &ReceivedOrder,
        answer: OrderAnswer,
    ) {
        if answer == OrderAnswer::Busy {
            self.refused += 1;
        }
        if answer != OrderAnswer::Accepted {
            return;
        }
        match (order.operation, &order.adapter) {
            (Operation::Load, None) => {
                self.model_loads += 1;
                if !worker.disk.contains(&order.model) {
                    self.load_begins(now);
                }
            }
            (Operation::Load, Some(_)) => self.adapter_loads += 1,
            (Operation::Unload, None) => *self.unloads.entry(order.model.clone()).or_default() += 1,
            (Operation::Unload, Some(_)) => {}
        }
    }

    fn load_begins(&mut self, now: u64) {
        self.store_loads += 1;
        self.begun.push_back(now);
        while self.begun.front().is_some_and(|at| now - at > WINDOW_MS) {
            self.begun.pop_front();
        }
        if self.begun.len() as f64 > self.ceiling_loads {
            self.ceiling.push(format!("{now}: {} loads in {WINDOW_MS} ms", self.begun.len()));
        }
    }
}

/// Requests served of those asked for, by model and adapter.
#[derive(Debug, Default, Clone)]
pub struct Served {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub lost: u64,
    pub misrouted: u64,
}

/// Served requests by what they asked for.
pub type ServedTable = BTreeMap<(String, Option<String>), Served>;
