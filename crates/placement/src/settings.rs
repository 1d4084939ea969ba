//! Settings of the planner, the models and the capacity of a worker.

use serde::Deserialize;

/// Planner settings that apply to every service of a deployment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlannerSettings {
    /// Time after its creation during which a planner only observes, in milliseconds: the lease of a previous planner
    /// on another node, or 0 if there was none. Reports requested afterwards show everything that the previous
    /// planner ordered. Set by the process, not read from the configuration.
    #[serde(skip)]
    pub watch_ms: u64,
    /// Share of `loads_per_s` that the planner uses over time.
    pub store_share: f64,
    /// Loads that may start at once after an idle period (burst of the token bucket).
    pub store_burst: f64,
    /// Lag of a worker's report behind its actual state, in milliseconds.
    pub report_lag_ms: u64,
    /// Target occupancy: the maximum share of a worker's slots that requests for one model should occupy.
    pub wanted_occupancy: f64,
    /// Occupancy of the replicas above which a model is overloaded, as a share of a worker's slots: its further
    /// replicas have priority over all other loads.
    pub crowded_occupancy: f64,
    /// Whether models get replicas in proportion to their demand.
    pub growth: bool,
    /// Whether replicas of overloaded models have priority over other loads.
    pub crowded_first: bool,
    /// Whether the most loaded worker is relieved by another replica of its busiest model.
    pub relief: bool,
    /// Whether successors of busy models in the operator's list are loaded ahead of demand.
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
    /// Duration of a load from the weight store on an idle worker, in milliseconds.
    pub load_ms: u64,
    /// Number of adapters, named `a1`, `a2` and so on.
    pub adapters: u32,
    /// Size of each adapter in megabytes.
    pub adapter_mb: f64,
}

/// The engine of a service: its models and the capacity of each worker.
#[derive(Debug, Clone, PartialEq)]
pub struct Engine {
    /// Models in the operator's order.
    pub models: Vec<ModelSpec>,
    /// Memory of a worker for weights and adapters together, in megabytes.
    pub weights_mb: f64,
    /// Maximum number of adapters on a worker.
    pub adapter_slots: u32,
    /// Loads per second that the weight store allows over all workers.
    pub loads_per_s: f64,
    /// Maximum number of concurrent requests on a worker.
    pub slots: u32,
}
