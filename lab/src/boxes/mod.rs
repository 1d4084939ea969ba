//! Stand-in upstream hosts and their discovery: the boxes of a scenario.
//!
//! A host does no work: it knows when each request would be done and answers then. That keeps a fleet of any
//! size on a fraction of a core, so that what is measured is the gateway.

mod discovery;
mod host;
mod records;

pub use discovery::Discovery;
pub use host::UpstreamHost;
pub use records::Records;
