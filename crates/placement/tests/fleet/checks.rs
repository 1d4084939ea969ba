//! Checks that orders respect the capacity of workers and the rate of the weight store.

use std::collections::{BTreeMap, VecDeque};

use switchhill_placement::{Engine, Operation, OrderAnswer};

use super::worker::{ReceivedOrder, SimWorker};

const WINDOW_MS: u64 = 5_000;

/// Counters and violations over all orders that reach workers.
#[derive(Debug)]
pub struct OrderChecks {
    /// Loads that exceed a worker's memory or adapter slots.
    pub capacity_violations: Vec<String>,
    /// Windows in which more loads were started than the store rate allows.
    pub rate_violations: Vec<String>,
    /// Orders rejected because another was in progress or the expected revision differed.
    pub busy_answers: u64,
    pub orders: u64,
    pub model_loads: u64,
    pub store_loads: u64,
    pub adapter_loads: u64,
    /// Model unloads by model name.
    pub unloads: BTreeMap<String, u64>,
    max_loads_in_window: f64,
    recent_loads: VecDeque<u64>,
}

impl OrderChecks {
    pub fn new(engine: &Engine) -> Self {
        Self {
            capacity_violations: Vec::new(),
            rate_violations: Vec::new(),
            busy_answers: 0,
            orders: 0,
            model_loads: 0,
            store_loads: 0,
            adapter_loads: 0,
            unloads: BTreeMap::new(),
            max_loads_in_window: engine.loads_per_s * WINDOW_MS as f64 / 1_000.0 * 1.1 + 3.0,
            recent_loads: VecDeque::new(),
        }
    }

    /// Checks an order that reaches a worker against what is loaded and being loaded there, whether or not the worker
    /// accepts it.
    pub fn order_received(&mut self, now: u64, worker: &SimWorker, order: &ReceivedOrder, engine: &Engine) {
        self.orders += 1;
        if order.operation == Operation::Unload {
            return;
        }
        let loading =
            worker.in_progress.as_ref().filter(|in_progress| in_progress.order.operation == Operation::Load);
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
        let already_loading = loading.is_some_and(|in_progress| {
            in_progress.order.model == order.model && in_progress.order.adapter == order.adapter
        });
        if held || already_loading {
            return;
        }
        let used = worker.used_mb(engine) + loading.map_or(0.0, |in_progress| size(&in_progress.order));
        let adapters = worker.adapters()
            + usize::from(loading.is_some_and(|in_progress| in_progress.order.adapter.is_some()));
        let over_slots = order.adapter.is_some() && adapters >= engine.adapter_slots as usize;
        if used + size(order) > engine.weights_mb + 1e-6 || over_slots {
            self.capacity_violations
                .push(format!("{now}: {} {order:?} on {used} MB, {adapters} adapters", worker.id));
        }
    }

    /// Counts an order after the worker has handled it.
    pub fn order_answered(
        &mut self,
        now: u64,
        worker: &SimWorker,
        order: &ReceivedOrder,
        answer: OrderAnswer,
    ) {
        if answer == OrderAnswer::Busy {
            self.busy_answers += 1;
        }
        if answer != OrderAnswer::Accepted {
            return;
        }
        match (order.operation, &order.adapter) {
            (Operation::Load, None) => {
                self.model_loads += 1;
                if !worker.disk.contains(&order.model) {
                    self.record_store_load(now);
                }
            }
            (Operation::Load, Some(_)) => self.adapter_loads += 1,
            (Operation::Unload, None) => *self.unloads.entry(order.model.clone()).or_default() += 1,
            (Operation::Unload, Some(_)) => {}
        }
    }

    fn record_store_load(&mut self, now: u64) {
        self.store_loads += 1;
        self.recent_loads.push_back(now);
        while self.recent_loads.front().is_some_and(|at| now - at > WINDOW_MS) {
            self.recent_loads.pop_front();
        }
        if self.recent_loads.len() as f64 > self.max_loads_in_window {
            self.rate_violations.push(format!("{now}: {} loads in {WINDOW_MS} ms", self.recent_loads.len()));
        }
    }
}

/// Outcomes of the requests for one model or adapter.
#[derive(Debug, Default, Clone)]
pub struct Served {
    pub requested: u64,
    pub in_time: u64,
    pub late: u64,
    pub failed: u64,
    pub misrouted: u64,
}

/// Request outcomes by model and adapter.
pub type ServedTable = BTreeMap<(String, Option<String>), Served>;
