//! The proxy of an edge machine: takes requests of clients, sends them to workers, passes answers on.
//!
//! All of it runs on one thread. What it knows of the system comes as [`View`]s from the agent beside it; what
//! the rest of the system should know goes back as [`Feedback`]. Decisions are made by the packages for
//! admission and routing; this module carries them out on sockets.

mod admission_stage;
mod answer_body;
mod attempt;
mod clock;
mod connection_headers;
mod connector;
mod counted;
mod delivery;
mod descriptors;
mod drain;
mod event_stream;
mod exchange;
mod feedback;
mod forwarded_request;
mod ingress;
#[cfg(test)]
mod interleavings;
mod invariants;
mod missing;
mod outcome;
mod outstanding;
mod piped_answer;
mod policy;
mod pool;
mod readiness;
mod replies;
mod request_head;
mod run_times;
mod running_requests;
mod server;
mod shared;
mod shutdown;
mod signals;
mod silence;
mod statistics;
mod stream_answer;
#[cfg(test)]
mod tests;
mod view;
mod watched_stream;
mod worker_answer;
mod worker_choice;
mod worker_connection;

pub use clock::now_ms;
pub use feedback::{Feedback, ModelDemand, RouteLoad, Summary, WorkerLoad};
pub use server::DataPlane;
pub use shutdown::{Phase, ShutdownHandle};
pub use view::{LoadsElsewhere, RouteElsewhere, View};

use crate::site_settings::SiteSettings;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;

/// Serves until a SIGTERM has been carried out. It needs a runtime of one thread.
///
/// # Errors
/// A listener cannot be opened, or the settings name no address for clients.
pub async fn run(
    settings: SiteSettings,
    views: watch::Receiver<Arc<View>>,
    feedback: mpsc::UnboundedSender<Feedback>,
) -> anyhow::Result<()> {
    let data_plane = DataPlane::bind(settings)?;
    let local = LocalSet::new();
    local.spawn_local(signals::begin_shutdown_at_sigterm(data_plane.shutdown_handle()));
    local.run_until(data_plane.serve(views, feedback)).await
}
