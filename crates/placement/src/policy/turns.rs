//! Alternation between loads of further replicas and loads of requested models without a replica.
//!
//! Both need a token of the weight store and a worker that is free to load. Replicas of overloaded models have
//! priority, since each helps many requests, but without a bound they would starve a rarely requested model. After
//! [`REPLICA_LOADS_PER_TURN`] replica loads, the next worker and token therefore go to a missing model whose requests
//! have waited for [`OVERDUE_MS`].

/// Replica loads after which an overdue missing model has priority.
const REPLICA_LOADS_PER_TURN: u32 = 2;
/// Waiting time from which a missing model is overdue, in milliseconds.
pub(crate) const OVERDUE_MS: u64 = 1_000;

/// Counts replica loads between loads of missing models.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    replica_loads_since_missing: u32,
}

impl Turns {
    /// Whether the next load goes to an overdue missing model, if there is one.
    pub(crate) fn is_missing_models_turn(&self) -> bool {
        self.replica_loads_since_missing >= REPLICA_LOADS_PER_TURN
    }

    /// Records that a load from the store is planned for a further replica.
    pub(crate) fn replica_load_planned(&mut self) {
        self.replica_loads_since_missing = self.replica_loads_since_missing.saturating_add(1);
    }

    /// Records that a load is planned for a requested model without a replica.
    pub(crate) fn missing_load_planned(&mut self) {
        self.replica_loads_since_missing = 0;
    }
}
