//! The planner's record of one worker: resident models, the order in progress and planned steps.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use slotmap::new_key_type;

use crate::catalogue::{Catalogue, ModelIndex};
use crate::message::{Operation, OrderId, Resident, WorkerId, WorkerState, WorkerView};
use crate::settings::Engine;

new_key_type! {
    /// Key of a worker's record.
    pub(crate) struct WorkerKey;
}

/// Tolerance for rounding of the configured sizes, in megabytes.
const ROUNDING_MB: f64 = 1e-6;

/// Consecutive unanswered report requests beyond which pending loads are no longer expected to complete.
const MAX_UNANSWERED_REPORT_REQUESTS: u32 = 2;

/// Phase of a model or adapter on a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Load ordered; possibly not complete.
    Loading,
    /// Loaded.
    Resident,
    /// Unload ordered; possibly not complete.
    Unloading,
}

/// Record of a model on a worker.
#[derive(Debug, Clone)]
pub(crate) struct ModelRecord {
    pub(crate) model: ModelIndex,
    pub(crate) phase: Phase,
    /// When the planner saw the load complete, or `None` if the model was resident when the worker was first seen.
    pub(crate) since: Option<u64>,
    pub(crate) adapters: BTreeMap<String, Phase>,
}

/// A planned or ordered load or unload on a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Step {
    pub(crate) operation: Operation,
    pub(crate) model: ModelIndex,
    pub(crate) adapter: Option<String>,
}

/// Progress of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderPhase {
    /// Sent, no answer yet.
    Sent,
    /// Accepted and in progress.
    Accepted,
}

/// The order in progress on a worker.
#[derive(Debug, Clone)]
pub(crate) struct ActiveOrder {
    pub(crate) id: OrderId,
    pub(crate) step: Step,
    pub(crate) phase: OrderPhase,
    /// Whether it used a token of the store's rate limit.
    pub(crate) used_store_token: bool,
    /// When the planner acts on the order next.
    pub(crate) due: u64,
    /// Expected completion time.
    pub(crate) done_at: u64,
}

/// A load that was not answered and may still reach the worker.
#[derive(Debug, Clone)]
pub(crate) struct UncertainLoad {
    pub(crate) model: ModelIndex,
    pub(crate) adapter: Option<String>,
    pub(crate) until: u64,
}

/// Whether a worker's record is known to be accurate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordState {
    /// Every order that the worker has accepted is known.
    Confirmed {
        /// Number of orders the worker has accepted.
        sequence: u64,
    },
    /// A report is needed first.
    Unconfirmed {
        /// When to request the report.
        request_at: u64,
    },
}

/// Record of one worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: WorkerId,
    pub(crate) address: String,
    pub(crate) zone: String,
    pub(crate) state: WorkerState,
    pub(crate) model_records: Vec<ModelRecord>,
    pub(crate) plan: VecDeque<Step>,
    pub(crate) order: Option<ActiveOrder>,
    pub(crate) record_state: RecordState,
    /// Lowest sequence of a report that covers every accepted order the planner knows of.
    pub(crate) min_sequence: u64,
    pub(crate) uncertain_loads: Vec<UncertainLoad>,
    /// Report requests since the last report.
    pub(crate) report_requests: u32,
    /// Models that this incarnation has held: it reloads them from its own disk.
    pub(crate) on_disk: BTreeSet<ModelIndex>,
    /// Models held at this address before a restart: the worker probably reloads them from its own disk.
    pub(crate) probably_on_disk: BTreeSet<ModelIndex>,
    /// Models of rejected orders, with the time until which they are not retried.
    pub(crate) rejected: BTreeMap<ModelIndex, u64>,
    /// Models that this planner last announced to routers, if any. Routers may still hold an announcement of an earlier
    /// planner, which takes precedence over heartbeats, so nothing counts as announced that this planner has not
    /// announced itself.
    pub(crate) announced: Option<Vec<Resident>>,
    pub(crate) heartbeat_sequence: u64,
    pub(crate) changed_at: u64,
    pub(crate) heartbeat_checked_at: u64,
    pub(crate) occupied: u32,
    pub(crate) kv_share: f64,
    /// Until when no further replica is loaded elsewhere to relieve it.
    pub(crate) relieved_until: u64,
    /// Models under which the worker is listed in the planner's replica index.
    pub(crate) indexed: Vec<ModelIndex>,
}

impl Worker {
    /// Record of a worker seen for the first time; its report is requested at `request_at`.
    pub(crate) fn new(now: u64, view: &WorkerView, request_at: u64) -> Self {
        Self {
            id: view.id.clone(),
            address: view.address.clone(),
            zone: view.zone.clone(),
            state: view.state,
            model_records: Vec::new(),
            plan: VecDeque::new(),
            order: None,
            record_state: RecordState::Unconfirmed { request_at },
            min_sequence: 0,
            uncertain_loads: Vec::new(),
            report_requests: 0,
            on_disk: BTreeSet::new(),
            probably_on_disk: BTreeSet::new(),
            rejected: BTreeMap::new(),
            announced: None,
            heartbeat_sequence: view.as_of_sequence,
            changed_at: now,
            heartbeat_checked_at: now,
            occupied: 0,
            kv_share: 0.0,
            relieved_until: 0,
            indexed: Vec::new(),
        }
    }

    /// Whether the worker accepts orders at all.
    pub(crate) fn is_ready(&self) -> bool {
        self.state == WorkerState::Ready
    }

    /// Whether nothing is planned or in progress on a ready worker whose record is confirmed.
    pub(crate) fn is_idle(&self) -> bool {
        self.is_ready() && self.order.is_none() && self.plan.is_empty() && self.is_confirmed()
    }

    /// Whether a model load may be planned. It may follow adapter steps, which take milliseconds: otherwise a worker
    /// whose adapters change all the time would never be available.
    pub(crate) fn takes_model_loads(&self) -> bool {
        self.is_ready() && self.is_confirmed() && self.has_only_adapter_steps()
    }

    /// Whether neither the order in progress nor the plan loads or unloads a whole model.
    pub(crate) fn has_only_adapter_steps(&self) -> bool {
        let order_is_short = self.order.as_ref().is_none_or(|order| order.step.adapter.is_some());
        order_is_short && self.plan.iter().all(|step| step.adapter.is_some())
    }

    /// Whether an accepted unload is overdue because requests are still running on the model.
    pub(crate) fn unload_waits_for_requests(&self, now: u64, report_lag_ms: u64) -> bool {
        self.order.as_ref().is_some_and(|order| {
            let should_be_done = now > order.done_at + report_lag_ms;
            order.step.operation == Operation::Unload && order.phase == OrderPhase::Accepted && should_be_done
        })
    }

    /// Whether its models may be announced: once the worker has reported to this planner.
    pub(crate) fn may_be_announced(&self) -> bool {
        self.announced.is_some() || self.is_confirmed()
    }

    /// Whether every order that the worker has accepted is known.
    pub(crate) fn is_confirmed(&self) -> bool {
        matches!(self.record_state, RecordState::Confirmed { .. })
    }

    /// Whether it has answered recent report requests, so that pending loads can be expected to complete.
    pub(crate) fn is_responsive(&self) -> bool {
        self.report_requests <= MAX_UNANSWERED_REPORT_REQUESTS
    }

    /// Share of its slots or KV memory in use, whichever is larger; above 1 when requests queue.
    pub(crate) fn load(&self, engine: &Engine) -> f64 {
        let slots = f64::from(engine.slots.max(1));
        (f64::from(self.occupied) / slots).max(self.kv_share)
    }

    pub(crate) fn model_record(&self, model: ModelIndex) -> Option<&ModelRecord> {
        self.model_records.iter().find(|record| record.model == model)
    }

    pub(crate) fn model_record_mut(&mut self, model: ModelIndex) -> Option<&mut ModelRecord> {
        self.model_records.iter_mut().find(|record| record.model == model)
    }

    /// Whether the plan or the order in progress loads or unloads the model itself.
    pub(crate) fn is_planned(&self, operation: Operation, model: ModelIndex) -> bool {
        let matches =
            |step: &Step| step.operation == operation && step.model == model && step.adapter.is_none();
        self.plan.iter().any(matches) || self.order.as_ref().is_some_and(|order| matches(&order.step))
    }

    /// Whether the model is resident and not about to be unloaded.
    pub(crate) fn serves(&self, model: ModelIndex) -> bool {
        let resident = self.model_record(model).is_some_and(|record| record.phase == Phase::Resident);
        resident && !self.is_planned(Operation::Unload, model)
    }

    /// Whether an adapter is loaded, being loaded or planned.
    pub(crate) fn has_adapter(&self, model: ModelIndex, adapter: &str) -> bool {
        let phase = self.model_record(model).and_then(|record| record.adapters.get(adapter));
        phase.is_some_and(|phase| *phase != Phase::Unloading) || self.is_adapter_planned(model, adapter)
    }

    /// Whether the plan loads an adapter.
    pub(crate) fn is_adapter_planned(&self, model: ModelIndex, adapter: &str) -> bool {
        self.plan.iter().any(|step| {
            step.operation == Operation::Load
                && step.model == model
                && step.adapter.as_deref() == Some(adapter)
        })
    }

    /// Megabytes in use, including everything that may have been loaded.
    pub(crate) fn used_mb(&self, now: u64, catalogue: &Catalogue) -> f64 {
        let held: f64 = self.model_records.iter().map(|record| model_record_mb(record, catalogue)).sum();
        let uncertain: f64 =
            self.open_uncertain_loads(now).map(|uncertain| uncertain_load_mb(uncertain, catalogue)).sum();
        held + uncertain
    }

    /// Megabytes that planned adapters will use.
    pub(crate) fn planned_adapters_mb(&self, catalogue: &Catalogue) -> f64 {
        let loads =
            self.plan.iter().filter(|step| step.operation == Operation::Load && step.adapter.is_some());
        loads.map(|step| catalogue.spec(step.model).adapter_mb).sum()
    }

    /// Adapter slots in use, including everything that may have been loaded.
    pub(crate) fn used_adapters(&self, now: u64) -> usize {
        let held: usize = self.model_records.iter().map(|record| record.adapters.len()).sum();
        held + self.open_uncertain_loads(now).filter(|uncertain| uncertain.adapter.is_some()).count()
    }

    /// Whether a step can be sent without exceeding the worker's memory or adapter slots.
    pub(crate) fn has_capacity_for(
        &self,
        now: u64,
        step: &Step,
        engine: &Engine,
        catalogue: &Catalogue,
    ) -> bool {
        if step.operation == Operation::Unload {
            return true;
        }
        let spec = catalogue.spec(step.model);
        let size = if step.adapter.is_some() { spec.adapter_mb } else { spec.weights_mb };
        let slot_free = step.adapter.is_none() || self.used_adapters(now) < engine.adapter_slots as usize;
        slot_free && self.used_mb(now, catalogue) + size <= engine.weights_mb + ROUNDING_MB
    }

    /// Resident models and adapters that requests may be routed to.
    pub(crate) fn served_models(&self, catalogue: &Catalogue) -> Vec<Resident> {
        let serving = self.model_records.iter().filter(|record| record.phase == Phase::Resident);
        serving
            .map(|record| Resident {
                name: catalogue.spec(record.model).name.clone(),
                adapters: resident_adapters(record),
            })
            .collect()
    }

    /// Replaces the model records by a worker's own list; known models keep their `since`.
    pub(crate) fn replace_model_records(
        &mut self,
        now: u64,
        models: &[Resident],
        catalogue: &mut Catalogue,
        first: bool,
    ) {
        let recorded = models.iter().map(|resident| {
            let model = catalogue.intern(&resident.name);
            let known = self.model_record(model).filter(|record| record.phase == Phase::Resident);
            let since = if first { None } else { known.map_or(Some(now), |record| record.since) };
            let adapters = resident.adapters.iter().map(|name| (name.clone(), Phase::Resident)).collect();
            ModelRecord { model, phase: Phase::Resident, since, adapters }
        });
        let recorded: Vec<ModelRecord> = recorded.collect();
        self.on_disk.extend(recorded.iter().map(|record| record.model));
        self.model_records = recorded;
    }

    /// Whether a heartbeat lists the same models and adapters as the record.
    pub(crate) fn matches_heartbeat(&self, models: &[Resident], catalogue: &Catalogue) -> bool {
        same_residents(&self.served_models(catalogue), models)
    }

    fn open_uncertain_loads(&self, now: u64) -> impl Iterator<Item = &UncertainLoad> {
        self.uncertain_loads
            .iter()
            .filter(move |uncertain| now < uncertain.until && !self.is_recorded(uncertain))
    }

    /// Whether the record already includes an uncertain load.
    fn is_recorded(&self, uncertain: &UncertainLoad) -> bool {
        self.model_record(uncertain.model).is_some_and(|record| {
            uncertain.adapter.as_ref().is_none_or(|adapter| record.adapters.contains_key(adapter))
        })
    }
}

/// Whether two lists name the same models and adapters, regardless of order.
pub(crate) fn same_residents(left: &[Resident], right: &[Resident]) -> bool {
    let sorted = |residents: &[Resident]| {
        let pairs = residents.iter().map(|resident| {
            let adapters: BTreeSet<String> = resident.adapters.iter().cloned().collect();
            (resident.name.clone(), adapters)
        });
        pairs.collect::<BTreeMap<_, _>>()
    };
    sorted(left) == sorted(right)
}

fn resident_adapters(record: &ModelRecord) -> Vec<String> {
    let resident = record.adapters.iter().filter(|(_, phase)| **phase == Phase::Resident);
    resident.map(|(name, _)| name.clone()).collect()
}

fn model_record_mb(record: &ModelRecord, catalogue: &Catalogue) -> f64 {
    let spec = catalogue.spec(record.model);
    spec.weights_mb + spec.adapter_mb * record.adapters.len() as f64
}

fn uncertain_load_mb(uncertain: &UncertainLoad, catalogue: &Catalogue) -> f64 {
    let spec = catalogue.spec(uncertain.model);
    if uncertain.adapter.is_some() {
        spec.adapter_mb
    } else {
        spec.weights_mb
    }
}
