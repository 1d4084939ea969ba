//! Internal messages between the programs and their framing.
//!
//! Three kinds of link carry them: core node to core node ([`PeerFrame`]), subscriber to publisher ([`Upstream`])
//! and publisher to subscriber ([`Downstream`]). An agent subscribes to core nodes, a data plane to its agent; both
//! speak the same messages. A frame is a length of four bytes, a byte for the version, and a `prost` message.

mod framing;
mod peer;
mod subscription;

pub use framing::{
    encode_frame, read_frame, read_frame_body, read_frame_length, write_frame, FrameError, FRAME_VERSION,
    LARGEST_FRAME,
};
pub use peer::{
    peer_frame::Body as PeerBody, Echo, HeardWorker, LoadSummary, PeerFrame, PeerHeartbeat, RegisterEnvelope,
    WorkerUpdate, WorkerUpdateAck, WorkersHeard,
};
pub use subscription::{
    downstream::Body as DownstreamBody, upstream::Body as UpstreamBody, Configuration, Downstream,
    Expectation, Fetch, Hello, Loads, Missing, ModelDemand, Residency, ResidentModel, RouteAdmission, Status,
    Summary, Unreachable, Upstream, WorkerLoad, Workers,
};
