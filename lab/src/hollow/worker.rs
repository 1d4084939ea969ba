//! Hollow workers: they beat, take orders and report what they hold.

use super::site::{model_name, LOAD_MS, SERVICE, SLOTS};
use bytes::Bytes;
use serde_json::json;
use switchhill_control::{OrderCall, ReportCall, WorkerReport};
use switchhill_placement::{Operation, OrderAnswer, Resident};

/// Models that a worker holds at the start.
pub(super) const MODELS_OF_EACH: usize = 3;
/// Time in milliseconds of the load of an adapter.
const ADAPTER_LOAD_MS: u64 = 100;

/// A worker.
pub(super) struct Worker {
    pub(super) id: String,
    address: String,
    zone: String,
    sequence: u64,
    orders: u64,
    models: Vec<Resident>,
    /// Whether it says that it is leaving.
    pub(super) is_draining: bool,
    /// What is being loaded, and when it stands.
    loading: Option<(u64, String, Option<String>)>,
}

impl Worker {
    /// The worker of a number, with its share of the models.
    pub(super) fn new(number: usize, models: usize) -> Worker {
        let held = (0..MODELS_OF_EACH.min(models)).map(|offset| Resident {
            name: model_name((number * MODELS_OF_EACH + offset) % models),
            adapters: vec!["a1".to_owned(), "a2".to_owned()],
        });
        Worker {
            id: format!("w{number:04}-5f3a9c"),
            address: format!("10.1.{}.{}:8000", number / 250, number % 250),
            zone: format!("zone-{}", number % 7),
            sequence: 0,
            orders: 0,
            models: held.collect(),
            is_draining: false,
            loading: None,
        }
    }

    /// The body of the next heartbeat.
    pub(super) fn beat(&mut self, now: u64) -> Bytes {
        self.complete(now);
        self.sequence += 1;
        let model = |held: &Resident| json!({"name": held.name, "revision": 1, "adapters": held.adapters});
        let body = json!({
            "service": SERVICE,
            "address": self.address,
            "zone": self.zone,
            "revision": "2024.11.3",
            "slots": SLOTS,
            "state": if self.is_draining { "draining" } else { "ready" },
            "phase": "both",
            "sequence": self.sequence,
            "models": self.models.iter().map(model).collect::<Vec<_>>(),
        });
        Bytes::from(body.to_string())
    }

    /// Takes an order, unless a load is under way.
    pub(super) fn order(&mut self, now: u64, call: &OrderCall) -> OrderAnswer {
        self.complete(now);
        if self.loading.is_some() {
            return OrderAnswer::Busy;
        }
        self.orders += 1;
        match call.operation {
            Operation::Unload => self.unload(call),
            Operation::Load => {
                let time = if call.adapter.is_some() { ADAPTER_LOAD_MS } else { LOAD_MS };
                self.loading = Some((now + time, call.model.clone(), call.adapter.clone()));
            }
        }
        OrderAnswer::Accepted
    }

    fn unload(&mut self, call: &OrderCall) {
        match &call.adapter {
            None => self.models.retain(|held| held.name != call.model),
            Some(adapter) => {
                let held = self.models.iter_mut().filter(|held| held.name == call.model);
                held.for_each(|held| held.adapters.retain(|name| name != adapter));
            }
        }
    }

    fn complete(&mut self, now: u64) {
        let Some((_, model, adapter)) = self.loading.take_if(|(at, ..)| *at <= now) else { return };
        match (adapter, self.models.iter_mut().find(|held| held.name == model)) {
            (Some(adapter), Some(held)) => held.adapters.push(adapter),
            (None, None) => self.models.push(Resident { name: model, adapters: Vec::new() }),
            _ => {}
        }
    }

    /// What it holds.
    pub(super) fn report(&mut self, now: u64, call: ReportCall) -> WorkerReport {
        self.complete(now);
        WorkerReport {
            call,
            busy: self.loading.is_some(),
            sequence: self.orders,
            models: self.models.clone(),
            running: SLOTS / 2,
            queued: 0,
            kv_used: 60_000,
            kv_total: 120_000,
        }
    }
}
