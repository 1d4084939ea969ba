//! HTTP proxy of an edge machine: accepts client requests, sends them to workers and forwards the responses.
//!
//! The data plane runs on a single thread. The agent on the same machine provides the state of the system as
//! [`View`]s and receives [`Feedback`]. Decisions are made by the admission and routing crates; this module
//! carries them out on sockets.

mod admission_stage;
mod attempt;
mod clock;
mod connection_headers;
mod connection_limits;
mod connector;
mod count_guard;
mod delivery;
mod drain;
mod event_stream;
mod event_stream_response;
mod exchange;
mod expected_loads;
mod feedback;
mod flush_tracking;
mod forwarded_request;
mod ingress;
#[cfg(test)]
mod interleavings;
mod invariants;
mod missing;
mod outcome;
mod outstanding;
mod policy;
mod pool;
mod reachability;
mod readiness;
mod replies;
mod request_head;
mod request_log;
mod response_body;
mod response_buffer;
mod running_requests;
mod server;
mod shared;
mod shutdown;
mod signals;
mod silence;
mod statistics;
mod streamed_response;
#[cfg(test)]
mod tests;
mod view;
mod worker_choice;
mod worker_connection;
mod worker_response;

pub use clock::now_ms;
pub use expected_loads::{ExpectedLoads, ModelKey};
pub use feedback::{Feedback, ModelDemand, RouteLoad, Summary, WorkerLoad};
pub use server::DataPlane;
pub use shutdown::{Phase, ShutdownHandle};
pub use view::{PeerLoads, PeerRouteLoad, View};
