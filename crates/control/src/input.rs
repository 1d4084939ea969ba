//! Inputs, outputs and settings of a core node.

use bytes::Bytes;
use switchhill_configuration::{MemoryLimit, Order};
use switchhill_placement as placement;
use switchhill_protocol::{Downstream, PeerFrame, Upstream};

/// Settings of a core node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Id of the replica, stored on its disk.
    pub replica_id: u64,
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
    /// Name of the machine.
    pub node_name: String,
    /// Address on which other core nodes and agents reach this one.
    pub address: String,
    /// Internal addresses of the seed nodes.
    pub seeds: Vec<String>,
    /// Number of simultaneous machine losses to tolerate.
    pub machines_lost: usize,
    /// Zone of the machine, or its region if the loss of regions is to be tolerated.
    pub zone: String,
    /// Number of simultaneous losses of zones (or regions, if `zone` holds a region) to tolerate.
    pub zones_lost: usize,
    /// Heartbeat interval of the workers in milliseconds.
    pub worker_heartbeat_ms: u64,
    /// Minimum time in milliseconds between orders of two different placers.
    pub lease_ms: u64,
    /// Window in milliseconds of the upper limit on model loads.
    pub ceiling_window_ms: u64,
    /// Whether workers check fencing tokens.
    pub fencing: bool,
    /// The most memory that a configuration may take here.
    pub configuration_limit: MemoryLimit,
    /// Settings of model placement. The node overrides `watch_ms`.
    pub planner: placement::PlannerSettings,
    /// Seed of the node's random number generators.
    pub seed: u64,
}

impl NodeSettings {
    /// Name of this machine as holder of the placer role. It is the address, because two machines may have the same
    /// node name and have to be distinct holders.
    pub fn holder(&self) -> &str {
        &self.address
    }
}

/// Id of a pending call to the node's HTTP interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Id of a subscriber's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(pub u64);

/// A call of a worker or of the operator.
#[derive(Debug, Clone)]
pub enum Call {
    /// A worker's heartbeat.
    Heartbeat {
        /// The worker's id.
        id: String,
        /// JSON body.
        body: Bytes,
    },
    /// A worker deregisters because it terminates.
    Deregister {
        /// The worker's id.
        id: String,
    },
    /// A change of the configuration.
    Change(Order),
    /// A read of the newest configuration.
    Read,
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// JSON body.
    pub body: Bytes,
}

/// An event that a node handles.
#[derive(Debug, Clone)]
pub enum Input {
    /// Periodic timer tick.
    Tick,
    /// The settings name the seed nodes at these internal addresses from now on.
    Seeds(Vec<String>),
    /// A message from another core node.
    Peer(PeerFrame),
    /// A message from a subscriber.
    Subscriber(SubscriberId, Upstream),
    /// A subscriber's connection was closed.
    SubscriberDisconnected(SubscriberId),
    /// A call was received.
    Call(CallId, Call),
    /// All records up to this token are durable.
    Persisted(u64),
    /// Writing the record of this token failed.
    PersistFailed(u64),
    /// The log file has grown beyond its size limit and should be rewritten.
    LogCompactionDue,
    /// The process is to exit: the node asks to be removed from the electorate (see
    /// [`ControlNode::may_leave`](crate::ControlNode::may_leave)).
    Leave,
    /// A worker answered an order, or no answer arrived.
    OrderAnswered(OrderTicket, placement::OrderAnswer),
    /// A worker returned its report.
    Reported(WorkerReport),
}

/// Identifies the planner and the order to which an answer belongs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTicket {
    /// Service of the planner.
    pub service: String,
    /// Number of the planner in this run of the process. A service whose engine is removed and added again gets a new
    /// planner.
    pub planner: u64,
    /// Epoch of the placer.
    pub epoch: u64,
    /// Id of the order.
    pub order: placement::OrderId,
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderCall {
    /// Identifies the order when its answer arrives.
    pub ticket: OrderTicket,
    /// The worker's id.
    pub worker: String,
    /// The worker's address.
    pub address: String,
    /// Operation to carry out.
    pub operation: placement::Operation,
    /// The model.
    pub model: String,
    /// The adapter, if the operation applies to one.
    pub adapter: Option<String>,
    /// Number of orders that the worker must have accepted before; it rejects the order otherwise.
    pub if_revision: Option<u64>,
    /// Holder of the placer role ([`NodeSettings::holder`]).
    pub holder: String,
}

/// A request for a worker's report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportCall {
    /// Service of the planner that requested it.
    pub service: String,
    /// Epoch of the placer.
    pub epoch: u64,
    /// The worker's id.
    pub worker: String,
    /// The worker's address.
    pub address: String,
}

/// A worker's report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// The request that it answers.
    pub call: ReportCall,
    /// Whether the worker is executing an order.
    pub busy: bool,
    /// Number of orders that it has accepted.
    pub sequence: u64,
    /// Models and adapters that are resident.
    pub models: Vec<placement::Resident>,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// KV cache tokens in use that cannot be evicted.
    pub kv_used: u64,
    /// Capacity of the KV cache in tokens.
    pub kv_total: u64,
}

/// An action that a node requests from the surrounding program.
#[derive(Debug, Clone)]
pub enum Output {
    /// Send a message to the core nodes at these addresses.
    Peers(Vec<String>, PeerFrame),
    /// Send a message to these subscribers.
    Subscribers(Vec<SubscriberId>, Downstream),
    /// Close a subscriber's connection.
    CloseSubscriber(SubscriberId),
    /// Answer a call.
    Answer(CallId, Answer),
    /// Append a record, make it durable and answer with [`Input::Persisted`] or [`Input::PersistFailed`].
    Persist(u64, Bytes),
    /// Replace all records in the log file with these.
    RewriteLog(Vec<Bytes>),
    /// Send an order to a worker.
    Order(OrderCall),
    /// Request a report from a worker.
    RequestReport(ReportCall),
}
