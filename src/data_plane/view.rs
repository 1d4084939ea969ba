//! View of the system that the agent gives to the data plane.

use super::expected_loads::ExpectedLoads;
use std::collections::HashMap;
use std::sync::Arc;
use switchhill_admission::Summary;
use switchhill_configuration::Document;
use switchhill_routing::WorkerView;

/// Everything the data plane knows about the rest of the system. Each view is complete, but views share
/// unchanged parts, so that building and applying one costs only what has changed.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Newest configuration, once one has been received.
    pub document: Option<Arc<Document>>,
    /// Workers of all services. Times in them are on the clock of [`super::now_ms`].
    pub workers: Arc<[Arc<WorkerView>]>,
    /// Load that the other gatekeepers cause, once it has been received. It replaces the load given in
    /// `workers`.
    pub loads: Option<Arc<PeerLoads>>,
    /// Expected ready times of missing models and adapters.
    pub expected_loads: Arc<ExpectedLoads>,
    /// Number of gatekeepers that share the workers and the retry budget; 0 if unknown.
    pub gatekeepers: u32,
    /// Whether a core node with a quorum has confirmed the configuration since the process started.
    pub confirmed: bool,
}

/// Total outstanding requests and admission rates of the other gatekeepers at one time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PeerLoads {
    /// When the totals were received, in milliseconds of [`super::now_ms`].
    pub received_at: u64,
    /// Outstanding requests by worker id; workers without any are left out.
    pub requests: HashMap<String, u32>,
    /// Admission totals of each route.
    pub routes: Vec<PeerRouteLoad>,
}

/// Total admission rates of the other gatekeepers on a route.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerRouteLoad {
    /// Name of the route.
    pub route: String,
    /// Sum over the other gatekeepers.
    pub summary: Summary,
}

impl View {
    /// Whether requests can be served according to the newest configuration.
    pub fn is_ready(&self) -> bool {
        self.document.is_some() && self.confirmed
    }

    /// Whether both views share all their parts.
    pub fn shares_all_with(&self, other: &View) -> bool {
        self.shares_state_with(other) && Arc::ptr_eq(&self.expected_loads, &other.expected_loads)
    }

    /// Whether both views share everything but the expected loads.
    pub fn shares_state_with(&self, other: &View) -> bool {
        shares_arc(&self.document, &other.document)
            && Arc::ptr_eq(&self.workers, &other.workers)
            && shares_arc(&self.loads, &other.loads)
            && (self.gatekeepers, self.confirmed) == (other.gatekeepers, other.confirmed)
    }

    /// Whether both views share the loads.
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
