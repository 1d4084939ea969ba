//! Counters of placement attempts for requested models and adapters that no worker serves, written to the log.

use std::fmt;

/// Why a load could not be planned. Worker, token and memory are checked in this order; the first that is lacking is
/// counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum PlacementFailure {
    /// No worker is free: each is loading a model, is unconfirmed or rejected the model recently.
    WorkersBusy,
    /// The weight store has no token left.
    StoreRateExceeded,
    /// Not enough memory: the models in the way must not be evicted, or only at a higher cost than the load is worth.
    OutOfMemory,
}

/// Counts since they were last taken.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PlacementCounters {
    /// Reports of waiting requests for something that is served according to the planner's record: the reporting
    /// router does not know it yet.
    pub reports_while_served: u32,
    /// Reports of waiting requests for something whose load is planned or in progress.
    pub reports_while_loading: u32,
    /// Reports of waiting requests for something that is not planned.
    pub reports_while_unplanned: u32,
    /// Attempts to plan a load that found no free worker.
    pub no_free_worker: u32,
    /// Attempts that found no token of the weight store.
    pub no_store_token: u32,
    /// Attempts that found no memory at an acceptable eviction cost.
    pub no_memory: u32,
    /// Missing models and adapters dropped without a load because they were no longer requested.
    pub expired: u32,
    /// Workers evaluated for a load.
    pub workers_considered: u32,
    /// Loads planned because requests waited for the model.
    pub loads_for_missing: u32,
    /// Loads of further replicas.
    pub replica_loads: u32,
}

impl PlacementCounters {
    /// Whether all counters are zero.
    pub fn is_empty(&self) -> bool {
        *self == PlacementCounters::default()
    }

    pub(crate) fn count_failure(&mut self, failure: PlacementFailure) {
        let count = match failure {
            PlacementFailure::WorkersBusy => &mut self.no_free_worker,
            PlacementFailure::StoreRateExceeded => &mut self.no_store_token,
            PlacementFailure::OutOfMemory => &mut self.no_memory,
        };
        *count += 1;
    }
}

impl fmt::Display for PlacementCounters {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            out,
            "reports of missing models that are served {}, loading {}, unplanned {}; attempts without free worker {}, \
             store token {}, memory {}; workers considered {}; expired {}; loads for missing models {}, of further \
             replicas {}",
            self.reports_while_served,
            self.reports_while_loading,
            self.reports_while_unplanned,
            self.no_free_worker,
            self.no_store_token,
            self.no_memory,
            self.workers_considered,
            self.expired,
            self.loads_for_missing,
            self.replica_loads,
        )
    }
}
