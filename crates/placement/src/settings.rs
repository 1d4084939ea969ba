//! What the operator and the deployment set: bounds of orders, models and the room of a worker.

use serde::Deserialize;

/// Bounds that hold for every service of a deployment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlannerSettings {
    /// Time after its creation in which a planner only watches, in milliseconds: the lease of a predecessor on another
    /// node, or 0 where there was none. Reports asked for afterwards show everything the predecessor ordered. Given by the
    /// process, not read.
    #[serde(skip)]
    pub watch_ms: u64,
    /// Share of `loads_per_s` that the planner uses over time.
    pub store_share: f64,
    /// Loads that may begin at once after a quiet time.
    pub store_burst: f64,
    /// How far a worker's report lags behind the truth, in milliseconds.
    pub report_lag_ms: u64,
    /// Share of a worker's slots that requests for one model should occupy at most.
    pub wanted_occupancy: f64,
    /// Share of a worker's slots from which the copies of a model are crowded: further ones go before all other loads.
    pub crowded_occupancy: f64,
    /// Whether models get copies in proportion to their demand.
    pub growth: bool,
    /// Whether copies of crowded models go before other loads.
    pub crowded_first: bool,
    /// Whether the most loaded worker gets help by a further copy of what it holds.
    pub relief: bool,
    /// Whether models that follow busy ones in the operator's list are loaded ahead of demand.
    pub anticipation: bool,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            watch_ms: 0,
            store_share: 0.95,
            store_burst: 3.0,
            report_lag_ms: 200,
            wanted_occupancy: 0.25,
            crowded_occupancy: 0.4,
            growth: true,
            crowded_first: true,
            relief: true,
            anticipation: true,
        }
    }
}

/// One model of a service, as configured.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Name used in requests and orders.
    pub name: String,
    /// Size of its weights in megabytes.
    pub weights_mb: f64,
    /// Duration of a load from the weight store in milliseconds, on an idle worker.
    pub load_ms: u64,
    /// Number of adapters, named `a1`, `a2` and so on.
    pub adapters: u32,
    /// Size of each adapter in megabytes.
    pub adapter_mb: f64,
}

/// The engine of a service: its models, and what each of its workers can hold and run.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Models in the operator's order.
    pub models: Vec<ModelSpec>,
    /// Room of a worker for weights and adapters together, in megabytes.
    pub weights_mb: f64,
    /// Adapters that a worker holds at most.
    pub adapter_slots: u32,
    /// Loads a second that the weight store allows over all workers.
    pub loads_per_s: f64,
    /// Requests that a worker runs at once.
    pub slots: u32,
}
