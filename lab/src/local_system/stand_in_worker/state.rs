//! What a stand-in worker holds and has taken.

use super::run_book::RunBook;
use crate::local_system::configuration::{SERVICE, SLOTS};
use http::StatusCode;
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Instant;

/// Tokens that its memory holds.
const MEMORY_TOKENS: u64 = 100_000;

/// An order as it comes.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct OrderRequest {
    operation: Operation,
    model: String,
    adapter: Option<String>,
    if_revision: Option<u64>,
    #[serde(rename = "holder")]
    _holder: String,
    fencing_token: u64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "camelCase")]
enum Operation {
    Load,
    Unload,
}

impl OrderRequest {
    /// Whether a model's weights have to come.
    pub(super) fn loads_a_model(&self) -> bool {
        self.operation == Operation::Load && self.adapter.is_none()
    }
}

/// State of one worker.
#[derive(Debug)]
pub(super) struct State {
    pub(super) id: String,
    address: SocketAddr,
    /// Models with their adapters.
    pub(super) models: BTreeMap<String, BTreeSet<String>>,
    pub(super) draining: bool,
    /// Heartbeats sent.
    heartbeats: u64,
    /// Whether an order is under way.
    busy: bool,
    /// Orders taken.
    orders: u64,
    pub(super) fencing_tokens: Vec<u64>,
    pub(super) running: u32,
    pub(super) runs: u64,
    pub(super) resumed_after: Option<u64>,
    pub(super) book: RunBook,
    /// Until then some answers are lost.
    pub(super) losing_until: Option<Instant>,
    /// Until then some requests are refused.
    pub(super) refusing_until: Option<Instant>,
}

impl State {
    /// A worker that has just started.
    pub(super) fn new(id: &str, address: SocketAddr, models: &[&str], book: RunBook) -> State {
        State {
            id: id.to_owned(),
            address,
            models: models.iter().map(|model| ((*model).to_owned(), BTreeSet::new())).collect(),
            draining: false,
            heartbeats: 0,
            busy: false,
            orders: 0,
            fencing_tokens: Vec::new(),
            running: 0,
            runs: 0,
            resumed_after: None,
            book,
            losing_until: None,
            refusing_until: None,
        }
    }

    /// The body of the next heartbeat.
    pub(super) fn next_heartbeat(&mut self) -> Value {
        self.heartbeats += 1;
        json!({
            "service": SERVICE, "address": self.address, "zone": "here", "revision": "v1", "slots": SLOTS,
            "state": if self.draining { "draining" } else { "ready" }, "coldRemainingMs": 0, "phase": "both",
            "models": self.resident(), "sequence": self.heartbeats,
        })
    }

    /// The body of a report.
    pub(super) fn report(&self) -> Value {
        json!({
            "phase": "both", "models": self.resident(), "busy": self.busy, "sequence": self.orders, "queued": 0,
            "running": self.running, "kvUsed": 0, "kvTotal": MEMORY_TOKENS, "handles": 0,
        })
    }

    fn resident(&self) -> Vec<Value> {
        let model = |(name, adapters): (&String, &BTreeSet<String>)| json!({"name": name, "revision": 1, "adapters": adapters});
        self.models.iter().map(model).collect()
    }

    /// Answers an order; 202 begins it.
    pub(super) fn take_order(&mut self, order: &OrderRequest) -> StatusCode {
        if self.fencing_tokens.iter().any(|seen| *seen > order.fencing_token) {
            return StatusCode::PRECONDITION_FAILED;
        }
        if self.busy || order.if_revision.is_some_and(|expected| expected != self.orders) {
            return StatusCode::CONFLICT;
        }
        if self.holds(order) == (order.operation == Operation::Load) {
            return StatusCode::OK;
        }
        self.busy = true;
        self.orders += 1;
        self.fencing_tokens.push(order.fencing_token);
        StatusCode::ACCEPTED
    }

    fn holds(&self, order: &OrderRequest) -> bool {
        let adapters = self.models.get(&order.model);
        match &order.adapter {
            None => adapters.is_some(),
            Some(adapter) => adapters.is_some_and(|adapters| adapters.contains(adapter)),
        }
    }

    /// Ends the order under way.
    pub(super) fn complete(&mut self, order: &OrderRequest) {
        self.busy = false;
        match (order.operation, &order.adapter) {
            (Operation::Load, None) => drop(self.models.entry(order.model.clone()).or_default()),
            (Operation::Unload, None) => drop(self.models.remove(&order.model)),
            (operation, Some(adapter)) => self.complete_adapter(operation, &order.model, adapter),
        }
    }

    fn complete_adapter(&mut self, operation: Operation, model: &str, adapter: &str) {
        let Some(adapters) = self.models.get_mut(model) else { return };
        match operation {
            Operation::Load => adapters.insert(adapter.to_owned()),
            Operation::Unload => adapters.remove(adapter),
        };
    }

    /// The stamp of the request that has just begun.
    pub(super) fn stamp(&self) -> String {
        format!("{}.{}", self.id, self.runs)
    }

    /// Begins a request, or refuses it.
    pub(super) fn begin(&mut self, model: &str, last_event_id: Option<u64>) -> Result<(), StatusCode> {
        let (model, adapter) =
            model.split_once('/').map_or((model, None), |(model, adapter)| (model, Some(adapter)));
        let adapters = self.models.get(model).ok_or(StatusCode::MISDIRECTED_REQUEST)?;
        if adapter.is_some_and(|adapter| !adapters.contains(adapter)) {
            return Err(StatusCode::MISDIRECTED_REQUEST);
        }
        if self.running >= SLOTS {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        self.running += 1;
        self.runs += 1;
        self.resumed_after = last_event_id.or(self.resumed_after);
        Ok(())
    }
}
