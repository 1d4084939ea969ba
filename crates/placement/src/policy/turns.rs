//! Turns between copies of crowded models and models that are asked for and stand nowhere.
//!
//! Both need the same two things: a token of the weight store and a worker that is free to load. Copies of crowded
//! models come first, since each helps many requests; without a bound, a rare model could wait for ever behind them. So
//! after [`REPLICA_LOADS_PER_TURN`] loads of copies, the next worker and token go to a missing model whose requests have waited
//! for [`OVERDUE_MS`].

/// Loads of copies after which an overdue missing model goes first.
const REPLICA_LOADS_PER_TURN: u32 = 2;
/// Time its requests have waited from which a missing model is overdue, in milliseconds.
pub(crate) const OVERDUE_MS: u64 = 1_000;

/// Counts loads of copies between loads of missing models.
#[derive(Debug, Default)]
pub(crate) struct Turns {
    replica_loads_since_missing: u32,
}

impl Turns {
    /// Whether the next load belongs to a missing model, if one is overdue.
    pub(crate) fn is_missing_models_turn(&self) -> bool {
        self.replica_loads_since_missing >= REPLICA_LOADS_PER_TURN
    }

    /// Notes that a load from the store is planned for a further copy of a model.
    pub(crate) fn replica_load_planned(&mut self) {
        self.replica_loads_since_missing = self.replica_loads_since_missing.saturating_add(1);
    }

    /// Notes that a load is planned for a model that stood nowhere and is asked for.
    pub(crate) fn missing_load_planned(&mut self) {
        self.replica_loads_since_missing = 0;
    }
}
