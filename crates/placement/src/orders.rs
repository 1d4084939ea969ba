//! The life of an order: sent, answered, carried out.

use crate::message::{Operation, OrderAnswer, OrderId, Output};
use crate::planner::Planner;
use crate::worker::{ActiveOrder, Doubt, Holding, Knowledge, OrderPhase, Phase, Step, WorkerKey};

/// An order without an answer for this long counts as unanswered, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 4_000;
/// Time after which an adapter ordered stands, in milliseconds; it takes 5 to 14.
const ADAPTER_LOAD_MS: u64 = 40;
/// Time a load from the worker's own disk takes at most as a rule, in milliseconds.
pub(crate) const WARM_LOAD_MS: u64 = 650;
/// Time an unload takes on a worker without runs of it, in milliseconds.
pub(crate) const UNLOAD_MS: u64 = 40;
/// How long an unanswered load may still arrive, in milliseconds.
const LATE_ORDER_MS: u64 = 4_000;
/// How long an order a worker rejected isn't repeated there, in milliseconds.
const REJECTED_MS: u64 = 10_000;
/// Pause before asking for a report when another order is found under way, in milliseconds.
const BUSY_PAUSE_MS: u64 = 100;
/// Pause before asking a worker again that isn't the one expected at its address, in milliseconds.
const WRONG_INSTANCE_PAUSE_MS: u64 = 2_000;

impl Planner {
    /// Lets every worker with something to do go on.
    pub(crate) fn advance_all(&mut self, now: u64) {
        let keys: Vec<WorkerKey> = self.attention.iter().copied().collect();
        for key in keys {
            self.advance(now, key);
        }
    }

    /// Does what is due on a worker: waits for its order, asks for its report or sends the next step.
    pub(crate) fn advance(&mut self, now: u64, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else { return };
        if let Some(order) = &worker.order {
            if now >= order.due {
                self.order_due(now, key);
            }
            return;
        }
        if !worker.is_ready() {
            worker.plan.clear();
            self.attention.remove(&key);
            return;
        }
        match worker.knowledge {
            Knowledge::Unknown { ask_at } if now >= ask_at => self.ask_report(now, key),
            Knowledge::Unknown { .. } => {}
            Knowledge::Exact { sequence } => self.send_next(now, key, sequence),
        }
    }

    /// Takes the answer to an order.
    pub(crate) fn order_answered(&mut self, now: u64, id: OrderId, answer: OrderAnswer) {
        let Some(key) = self.orders.remove(&id) else { return };
        let Some(worker) = self.workers.get_mut(key) else { return };
        let awaited = worker.order.take_if(|order| order.id == id && order.phase == OrderPhase::Sent);
        let Some(order) = awaited else { return };
        match answer {
            OrderAnswer::Accepted => self.accepted(now, key, order),
            OrderAnswer::NoAnswer => self.unanswered(now, key, &order),
            OrderAnswer::StaleFence => self.give_up(),
            OrderAnswer::AlreadyHolds => self.not_taken(now, key, &order, BUSY_PAUSE_MS),
            OrderAnswer::Busy => {
                self.undo(key, &order.step);
                self.not_taken(now, key, &order, BUSY_PAUSE_MS);
                self.workers[key].plan.push_front(order.step);
                self.refresh(key);
            }
            OrderAnswer::Rejected => {
                self.undo(key, &order.step);
                self.not_taken(now, key, &order, BUSY_PAUSE_MS);
                self.workers[key].plan.clear();
                self.workers[key].rejected.insert(order.step.model, now + REJECTED_MS);
                self.refresh(key);
            }
            OrderAnswer::WrongInstance => {
                self.undo(key, &order.step);
                self.not_taken(now, key, &order, WRONG_INSTANCE_PAUSE_MS);
                self.workers[key].plan.clear();
                self.refresh(key);
            }
        }
    }

    /// Time a load of a model onto a worker should take, in milliseconds.
    pub(crate) fn load_ms(&self, key: WorkerKey, step: &Step) -> u64 {
        if step.adapter.is_some() {
            return ADAPTER_LOAD_MS;
        }
        let full = self.catalogue.spec(step.model).load_ms;
        if self.workers[key].held.contains(&step.model) {
            full.min(WARM_LOAD_MS)
        } else {
            full
        }
    }

    /// Whether carrying out a step draws on the weight store, as far as the planner can tell.
    pub(crate) fn draws_on_store(&self, key: WorkerKey, step: &Step) -> bool {
        let loads_model = step.operation == Operation::Load && step.adapter.is_none();
        loads_model && !self.workers[key].held.contains(&step.model)
    }

    fn send_next(&mut self, now: u64, key: WorkerKey, sequence: u64) {
        self.drop_moot_steps(key);
        let Some(step) = self.workers[key].plan.front().cloned() else {
            self.attention.remove(&key);
            return;
        };
        if !self.workers[key].has_room(now, &step, &self.engine, &self.catalogue) {
            self.workers[key].plan.clear();
            self.refresh(key);
            return;
        }
        let took_token = self.draws_on_store(key, &step);
        if took_token && !self.store.take(now) {
            return;
        }
        self.workers[key].plan.pop_front();
        self.send(now, key, step, sequence, took_token);
    }

    fn send(&mut self, now: u64, key: WorkerKey, step: Step, sequence: u64, took_token: bool) {
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
        let done_at = now + self.step_ms(key, &step);
        let worker = &mut self.workers[key];
        mark_begun(&mut worker.holdings, &step);
        worker.changed_at = now;
        worker.order = Some(ActiveOrder { id, step, phase: OrderPhase::Sent, took_token, due, done_at });
        self.attention.insert(key);
        self.refresh(key);
    }

    /// Time from the order of a step until the planner knows that it is done, in milliseconds.
    pub(crate) fn known_after_ms(&self, key: WorkerKey, step: &Step) -> u64 {
        self.step_ms(key, step) + self.lag_ms(step)
    }

    /// Time by which the planner learns late that a step is done, in milliseconds.
    fn lag_ms(&self, step: &Step) -> u64 {
        let known_by_time = step.adapter.is_some() && step.operation == Operation::Load;
        if known_by_time {
            0
        } else {
            self.settings.report_lag_ms
        }
    }

    fn step_ms(&self, key: WorkerKey, step: &Step) -> u64 {
        match step.operation {
            Operation::Load => self.load_ms(key, step),
            Operation::Unload => UNLOAD_MS,
        }
    }

    fn accepted(&mut self, now: u64, key: WorkerKey, mut order: ActiveOrder) {
        let duration = self.step_ms(key, &order.step);
        let lag = self.lag_ms(&order.step);
        let worker = &mut self.workers[key];
        if let Knowledge::Exact { sequence } = worker.knowledge {
            worker.knowledge = Knowledge::Exact { sequence: sequence + 1 };
            worker.least_sequence = sequence + 1;
        }
        order.phase = OrderPhase::Taken;
        order.done_at = now + duration;
        order.due = order.done_at + lag;
        worker.changed_at = now;
        worker.order = Some(order);
    }

    fn order_due(&mut self, now: u64, key: WorkerKey) {
        let worker = &mut self.workers[key];
        let Some(order) = worker.order.clone() else { return };
        if order.phase == OrderPhase::Sent {
            self.orders.remove(&order.id);
            worker.order = None;
            self.unanswered(now, key, &order);
            return;
        }
        if order.step.adapter.is_some() && order.step.operation == Operation::Load {
            self.adapter_loaded(now, key, &order.step);
            return;
        }
        self.ask_report(now, key);
    }

    fn adapter_loaded(&mut self, now: u64, key: WorkerKey, step: &Step) {
        let worker = &mut self.workers[key];
        worker.order = None;
        worker.changed_at = now;
        let adapter = step.adapter.clone().unwrap_or_default();
        if let Some(holding) = worker.holding_mut(step.model) {
            holding.adapters.insert(adapter, Phase::Resident);
        }
        self.refresh(key);
        self.advance(now, key);
    }

    /// The order may have been taken and may even arrive later: everything it could bring counts as there.
    fn unanswered(&mut self, now: u64, key: WorkerKey, order: &ActiveOrder) {
        let lag = self.settings.report_lag_ms;
        let worker = &mut self.workers[key];
        if order.step.operation == Operation::Load {
            let until = now + LATE_ORDER_MS;
            worker.doubts.retain(|doubt| now < doubt.until);
            let Step { model, adapter, .. } = order.step.clone();
            worker.doubts.push(Doubt { model, adapter, until });
        }
        worker.plan.clear();
        worker.knowledge = Knowledge::Unknown { ask_at: now + lag + BUSY_PAUSE_MS };
        self.attention.insert(key);
        self.refresh(key);
    }

    /// The order provably wasn't taken; the worker's report tells why.
    fn not_taken(&mut self, now: u64, key: WorkerKey, order: &ActiveOrder, pause_ms: u64) {
        if order.took_token {
            self.store.refund(now);
        }
        let worker = &mut self.workers[key];
        worker.knowledge = Knowledge::Unknown { ask_at: now + pause_ms };
        self.attention.insert(key);
        self.refresh(key);
    }

    /// Takes back the marks of an order that had no effect at all.
    fn undo(&mut self, key: WorkerKey, step: &Step) {
        mark_undone(&mut self.workers[key].holdings, step);
    }

    fn drop_moot_steps(&mut self, key: WorkerKey) {
        let mut changed = false;
        while let Some(step) = self.workers[key].plan.front() {
            if !is_moot(&self.workers[key].holdings, step) {
                break;
            }
            self.workers[key].plan.pop_front();
            changed = true;
        }
        if changed {
            self.refresh(key);
        }
    }
}

fn is_moot(holdings: &[Holding], step: &Step) -> bool {
    let holding = holdings.iter().find(|holding| holding.model == step.model);
    match (step.operation, &step.adapter, holding) {
        (Operation::Load, None, holding) => holding.is_some(),
        (Operation::Unload, None, holding) => holding.is_none(),
        (_, Some(_), None) => true,
        (Operation::Load, Some(adapter), Some(holding)) => holding.adapters.contains_key(adapter),
        (Operation::Unload, Some(adapter), Some(holding)) => !holding.adapters.contains_key(adapter),
    }
}

fn mark_begun(holdings: &mut Vec<Holding>, step: &Step) {
    let phase = match step.operation {
        Operation::Load => Phase::Loading,
        Operation::Unload => Phase::Unloading,
    };
    let holding = holdings.iter_mut().find(|holding| holding.model == step.model);
    match (holding, &step.adapter) {
        (Some(holding), Some(adapter)) => {
            holding.adapters.insert(adapter.clone(), phase);
        }
        (Some(holding), None) => holding.phase = phase,
        (None, _) => {
            holdings.push(Holding { model: step.model, phase, since: None, adapters: Default::default() })
        }
    }
}

fn mark_undone(holdings: &mut Vec<Holding>, step: &Step) {
    let Some(position) = holdings.iter().position(|holding| holding.model == step.model) else { return };
    match (step.operation, &step.adapter) {
        (Operation::Load, None) => {
            holdings.remove(position);
        }
        (Operation::Unload, None) => holdings[position].phase = Phase::Resident,
        (Operation::Load, Some(adapter)) => {
            holdings[position].adapters.remove(adapter);
        }
        (Operation::Unload, Some(adapter)) => {
            holdings[position].adapters.insert(adapter.clone(), Phase::Resident);
        }
    }
}
