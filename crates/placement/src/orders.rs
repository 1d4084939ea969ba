//! Life cycle of an order: sent, answered, completed.

use crate::message::{Operation, OrderAnswer, OrderId, Output};
use crate::planner::Planner;
use crate::worker::{
    ActiveOrder, ModelRecord, OrderPhase, Phase, RecordState, Step, UncertainLoad, WorkerKey,
};

/// Timeout of the answer to an order, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 4_000;
/// Time after which an accepted adapter load counts as complete, in milliseconds; it takes 5 to 14 ms.
const ADAPTER_LOAD_MS: u64 = 40;
/// Typical upper bound of a load from the worker's own disk, in milliseconds.
pub(crate) const DISK_LOAD_MS: u64 = 650;
/// Duration of an unload when no requests run on the model, in milliseconds.
pub(crate) const UNLOAD_MS: u64 = 40;
/// Time for which an unanswered load may still reach the worker, in milliseconds.
const LATE_ARRIVAL_MS: u64 = 4_000;
/// Time for which a model whose order was rejected is not ordered again on the same worker, in milliseconds.
const REJECTION_BACKOFF_MS: u64 = 10_000;
/// Delay before a report is requested when another order is in progress, in milliseconds.
const BUSY_RETRY_MS: u64 = 100;
/// Delay before a report is requested when a different instance answers at the worker's address, in milliseconds.
const WRONG_INSTANCE_RETRY_MS: u64 = 2_000;

impl Planner {
    /// Advances every worker with planned steps, an order in progress or a report due.
    pub(crate) fn advance_all(&mut self, now: u64) {
        let keys: Vec<WorkerKey> = self.active_workers.iter().copied().collect();
        for key in keys {
            self.advance(now, key);
        }
    }

    /// Performs what is due on a worker: handles an order that is due, requests a report or sends the next step.
    pub(crate) fn advance(&mut self, now: u64, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if let Some(order) = &worker.order {
            if now >= order.due {
                self.handle_order_due(now, key);
            }
            return;
        }
        if !worker.is_ready() {
            worker.plan.clear();
            self.active_workers.remove(&key);
            return;
        }
        match worker.record_state {
            RecordState::Unconfirmed { request_at } if now >= request_at => self.request_report(now, key),
            RecordState::Unconfirmed { .. } => {}
            RecordState::Confirmed { sequence } => self.send_next(now, key, sequence),
        }
    }

    /// Handles the answer to an order.
    pub(crate) fn handle_order_answer(&mut self, now: u64, id: OrderId, answer: OrderAnswer) {
        let Some(key) = self.orders.remove(&id) else { return };
        let Some(worker) = self.workers.get_mut(key) else { return };
        let awaited = worker.order.take_if(|order| order.id == id && order.phase == OrderPhase::Sent);
        let Some(order) = awaited else { return };
        match answer {
            OrderAnswer::Accepted => self.handle_accepted(now, key, order),
            OrderAnswer::NoAnswer => self.handle_unanswered(now, key, &order),
            OrderAnswer::StaleFence => self.mark_superseded(),
            OrderAnswer::AlreadyHolds => self.handle_not_accepted(now, key, &order, BUSY_RETRY_MS),
            OrderAnswer::Busy => {
                self.revert_step(key, &order.step);
                self.handle_not_accepted(now, key, &order, BUSY_RETRY_MS);
                self.workers[key].plan.push_front(order.step);
                self.update_and_announce(key);
            }
            OrderAnswer::Rejected => {
                self.revert_step(key, &order.step);
                self.handle_not_accepted(now, key, &order, BUSY_RETRY_MS);
                self.workers[key].plan.clear();
                self.workers[key].rejected.insert(order.step.model, now + REJECTION_BACKOFF_MS);
                self.update_and_announce(key);
            }
            OrderAnswer::WrongInstance => {
                self.revert_step(key, &order.step);
                self.handle_not_accepted(now, key, &order, WRONG_INSTANCE_RETRY_MS);
                self.workers[key].plan.clear();
                self.update_and_announce(key);
            }
        }
    }

    /// Expected duration of a load on a worker, in milliseconds.
    pub(crate) fn load_ms(&self, key: WorkerKey, step: &Step) -> u64 {
        if step.adapter.is_some() {
            return ADAPTER_LOAD_MS;
        }
        let full = self.catalogue.spec(step.model).load_ms;
        if self.workers[key].on_disk.contains(&step.model) {
            full.min(DISK_LOAD_MS)
        } else {
            full
        }
    }

    /// Whether a step loads from the weight store, as far as the planner knows.
    pub(crate) fn uses_store(&self, key: WorkerKey, step: &Step) -> bool {
        let loads_model = step.operation == Operation::Load && step.adapter.is_none();
        loads_model && !self.workers[key].on_disk.contains(&step.model)
    }

    fn send_next(&mut self, now: u64, key: WorkerKey, sequence: u64) {
        self.drop_redundant_steps(key);
        let Some(step) = self.workers[key].plan.front().cloned() else {
            self.active_workers.remove(&key);
            return;
        };
        if !self.workers[key].has_capacity_for(now, &step, &self.engine, &self.catalogue) {
            self.workers[key].plan.clear();
            self.update_and_announce(key);
            return;
        }
        let used_store_token = self.uses_store(key, &step);
        if used_store_token && !self.store.try_take(now) {
            return;
        }
        self.workers[key].plan.pop_front();
        self.send(now, key, step, sequence, used_store_token);
    }

    fn send(&mut self, now: u64, key: WorkerKey, step: Step, sequence: u64, used_store_token: bool) {
        let id = self.new_order_id(key);
        let due = now + ANSWER_TIMEOUT_MS;
        let worker = &mut self.workers[key];
        self.outputs.push(Output::Order {
            order: id,
            worker: worker.id.clone(),
            address: worker.address.clone(),
            operation: step.operation,
            model: self.catalogue.spec(step.model).name.clone(),
            adapter: step.adapter.clone(),
            if_revision: Some(sequence),
        });
        let done_at = now + self.step_duration_ms(key, &step);
        let worker = &mut self.workers[key];
        apply_step(&mut worker.model_records, &step);
        worker.changed_at = now;
        worker.order =
            Some(ActiveOrder { id, step, phase: OrderPhase::Sent, used_store_token, due, done_at });
        self.active_workers.insert(key);
        self.update_and_announce(key);
    }

    /// Time from ordering a step until its completion is confirmed, in milliseconds.
    pub(crate) fn confirmed_after_ms(&self, key: WorkerKey, step: &Step) -> u64 {
        self.step_duration_ms(key, step) + self.confirmation_lag_ms(step)
    }

    /// Delay until the planner learns that a completed step is done, in milliseconds. Adapter loads count as complete
    /// after a fixed time, without a report.
    fn confirmation_lag_ms(&self, step: &Step) -> u64 {
        let is_completed_by_time = step.adapter.is_some() && step.operation == Operation::Load;
        if is_completed_by_time {
            0
        } else {
            self.settings.report_lag_ms
        }
    }

    fn step_duration_ms(&self, key: WorkerKey, step: &Step) -> u64 {
        match step.operation {
            Operation::Load => self.load_ms(key, step),
            Operation::Unload => UNLOAD_MS,
        }
    }

    fn handle_accepted(&mut self, now: u64, key: WorkerKey, mut order: ActiveOrder) {
        let duration = self.step_duration_ms(key, &order.step);
        let lag = self.confirmation_lag_ms(&order.step);
        let worker = &mut self.workers[key];
        if let RecordState::Confirmed { sequence } = worker.record_state {
            worker.record_state = RecordState::Confirmed { sequence: sequence + 1 };
            worker.min_sequence = sequence + 1;
        }
        order.phase = OrderPhase::Accepted;
        order.done_at = now + duration;
        order.due = order.done_at + lag;
        worker.changed_at = now;
        worker.order = Some(order);
    }

    fn handle_order_due(&mut self, now: u64, key: WorkerKey) {
        let worker = &mut self.workers[key];
        let Some(order) = worker.order.clone() else { return };
        if order.phase == OrderPhase::Sent {
            self.orders.remove(&order.id);
            worker.order = None;
            self.handle_unanswered(now, key, &order);
            return;
        }
        if order.step.adapter.is_some() && order.step.operation == Operation::Load {
            self.handle_adapter_loaded(now, key, &order.step);
            return;
        }
        self.request_report(now, key);
    }

    fn handle_adapter_loaded(&mut self, now: u64, key: WorkerKey, step: &Step) {
        let worker = &mut self.workers[key];
        worker.order = None;
        worker.changed_at = now;
        let adapter = step.adapter.clone().unwrap_or_default();
        if let Some(record) = worker.model_record_mut(step.model) {
            record.adapters.insert(adapter, Phase::Resident);
        }
        self.update_and_announce(key);
        self.advance(now, key);
    }

    /// The order may have been accepted or may still arrive, so everything that it could load counts as loaded.
    fn handle_unanswered(&mut self, now: u64, key: WorkerKey, order: &ActiveOrder) {
        let lag = self.settings.report_lag_ms;
        let worker = &mut self.workers[key];
        if order.step.operation == Operation::Load {
            let until = now + LATE_ARRIVAL_MS;
            worker.uncertain_loads.retain(|uncertain| now < uncertain.until);
            let Step { model, adapter, .. } = order.step.clone();
            worker.uncertain_loads.push(UncertainLoad { model, adapter, until });
        }
        worker.plan.clear();
        worker.record_state = RecordState::Unconfirmed { request_at: now + lag + BUSY_RETRY_MS };
        self.active_workers.insert(key);
        self.update_and_announce(key);
    }

    /// The order was provably not accepted; the worker's report will show why.
    fn handle_not_accepted(&mut self, now: u64, key: WorkerKey, order: &ActiveOrder, retry_ms: u64) {
        if order.used_store_token {
            self.store.refund(now);
        }
        let worker = &mut self.workers[key];
        worker.record_state = RecordState::Unconfirmed { request_at: now + retry_ms };
        self.active_workers.insert(key);
        self.update_and_announce(key);
    }

    /// Reverts the record changes of an order that had no effect.
    fn revert_step(&mut self, key: WorkerKey, step: &Step) {
        revert_in_record(&mut self.workers[key].model_records, step);
    }

    fn drop_redundant_steps(&mut self, key: WorkerKey) {
        let mut changed = false;
        while let Some(step) = self.workers[key].plan.front() {
            if !is_redundant(&self.workers[key].model_records, step) {
                break;
            }
            self.workers[key].plan.pop_front();
            changed = true;
        }
        if changed {
            self.update_and_announce(key);
        }
    }
}

fn is_redundant(model_records: &[ModelRecord], step: &Step) -> bool {
    let record = model_records.iter().find(|record| record.model == step.model);
    match (step.operation, &step.adapter, record) {
        (Operation::Load, None, record) => record.is_some(),
        (Operation::Unload, None, record) => record.is_none(),
        (_, Some(_), None) => true,
        (Operation::Load, Some(adapter), Some(record)) => record.adapters.contains_key(adapter),
        (Operation::Unload, Some(adapter), Some(record)) => !record.adapters.contains_key(adapter),
    }
}

fn apply_step(model_records: &mut Vec<ModelRecord>, step: &Step) {
    let phase = match step.operation {
        Operation::Load => Phase::Loading,
        Operation::Unload => Phase::Unloading,
    };
    let record = model_records.iter_mut().find(|record| record.model == step.model);
    match (record, &step.adapter) {
        (Some(record), Some(adapter)) => {
            record.adapters.insert(adapter.clone(), phase);
        }
        (Some(record), None) => record.phase = phase,
        (None, _) => model_records.push(ModelRecord {
            model: step.model,
            phase,
            since: None,
            adapters: Default::default(),
        }),
    }
}

fn revert_in_record(model_records: &mut Vec<ModelRecord>, step: &Step) {
    let Some(position) = model_records.iter().position(|record| record.model == step.model) else { return };
    match (step.operation, &step.adapter) {
        (Operation::Load, None) => {
            model_records.remove(position);
        }
        (Operation::Unload, None) => model_records[position].phase = Phase::Resident,
        (Operation::Load, Some(adapter)) => {
            model_records[position].adapters.remove(adapter);
        }
        (Operation::Unload, Some(adapter)) => {
            model_records[position].adapters.insert(adapter.clone(), Phase::Resident);
        }
    }
}
