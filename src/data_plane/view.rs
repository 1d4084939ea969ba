//! What the agent tells the data plane.

use std::sync::Arc;
use switchhill_admission::Summary;
use switchhill_configuration::Document;
use switchhill_routing::WorkerView;

/// Everything the data plane knows of the rest of the system, whole each time.
#[derive(Debug, Clone, Default)]
pub struct View {
    /// Newest configuration, once there is one.
    pub document: Option<Arc<Document>>,
    /// Workers of all services; times in them are those of [`super::now_ms`].
    pub workers: Vec<WorkerView>,
    /// Gatekeepers that share the workers and the retry budget; 0 while it is not known.
    pub gatekeepers: u32,
    /// Sums of what the other gatekeepers tell of each route.
    pub elsewhere: Vec<RouteElsewhere>,
    /// Whether a core node with a quorum has confirmed the configuration since the process started.
    pub confirmed: bool,
}

/// What the other gatekeepers together admit on a route.
#[derive(Debug, Clone, PartialEq)]
pub struct RouteElsewhere {
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
}
