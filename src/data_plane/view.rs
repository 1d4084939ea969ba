//! What the agent tells the data plane.

use super::expected_loads::ExpectedLoads;
use std::collections::HashMap;
use std::sync::Arc;
use switchhill_admission::Summary;
use switchhill_configuration::Document;
use switchhill_routing::WorkerView;

/// Everything the data plane knows of the rest of the system, whole each time. What two views have in common they
/// share, so that one is made and taken at the cost of what changed.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Newest configuration, once there is one.
    pub document: Option<Arc<Document>>,
    /// Workers of all services; times in them are those of [`super::now_ms`].
    pub workers: Arc<[Arc<WorkerView>]>,
    /// Load that the other gatekeepers cause, once it was told; it replaces what `workers` say of it.
    pub loads: Option<Arc<PeerLoads>>,
    /// When missing models and adapters should stand.
    pub expected_loads: Arc<ExpectedLoads>,
    /// Gatekeepers that share the workers and the retry budget; 0 while it is not known.
    pub gatekeepers: u32,
    /// Whether a core node with a quorum has confirmed the configuration since the process started.
    pub confirmed: bool,
}

/// What the other gatekeepers together have out and admit, as told at one time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerLoads {
    /// When it was told, by [`super::now_ms`].
    pub received_at: u64,
    /// Requests out at each worker that has any.
    pub requests: HashMap<String, u32>,
    /// Sums of what they tell of each route.
    pub routes: Vec<PeerRouteLoad>,
}

/// What the other gatekeepers together admit on a route.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerRouteLoad {
    /// Name of the route.
    pub route: String,
    /// Their sum.
    pub summary: Summary,
}

impl View {
    /// Whether requests can be answered as the newest configuration says.
    pub fn is_ready(&self) -> bool {
        self.document.is_some() && self.confirmed
    }

    /// Whether the other view is made of the same parts.
    pub fn shares_all_with(&self, other: &View) -> bool {
        self.shares_state_with(other) && Arc::ptr_eq(&self.expected_loads, &other.expected_loads)
    }

    /// Whether the other view is the same but for the expected loads.
    pub fn shares_state_with(&self, other: &View) -> bool {
        shares_arc(&self.document, &other.document)
            && Arc::ptr_eq(&self.workers, &other.workers)
            && shares_arc(&self.loads, &other.loads)
            && (self.gatekeepers, self.confirmed) == (other.gatekeepers, other.confirmed)
    }

    /// Whether the other view has the same loads.
    pub fn shares_loads_with(&self, other: &View) -> bool {
        shares_arc(&self.loads, &other.loads)
    }
}

fn shares_arc<T>(one: &Option<Arc<T>>, other: &Option<Arc<T>>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => Arc::ptr_eq(one, other),
        (one, other) => one.is_none() && other.is_none(),
    }
}
