//! What a core node takes in and gives out.

use bytes::Bytes;
use switchhill_configuration::Order;
use switchhill_placement as placement;
use switchhill_protocol::{Downstream, PeerFrame, Upstream};

/// Settings of a core node.
#[derive(Debug, Clone)]
pub struct NodeSettings {
    /// Identity of the replica, kept on its disk.
    pub replica_id: u64,
    /// Random number of this life of the process.
    pub incarnation: u64,
    /// Name of the machine.
    pub node_name: String,
    /// Address on which other core nodes and agents reach this one.
    pub address: String,
    /// Internal addresses of the seeds.
    pub seeds: Vec<String>,
    /// Machines that may be lost at once.
    pub machines_lost: usize,
    /// Zone of the machine, or its region where the loss of regions is to be borne.
    pub zone: String,
    /// Zones (or regions, if `zone` names them) that may be lost at once.
    pub zones_lost: usize,
    /// Time in milliseconds between two heartbeats of a worker.
    pub worker_heartbeat_ms: u64,
    /// Time in milliseconds that must lie between orders of two placers.
    pub lease_ms: u64,
    /// Window in milliseconds of the ceiling of loads.
    pub ceiling_window_ms: u64,
    /// Whether workers check fencing tokens.
    pub fencing: bool,
    /// How models are placed; the time of watching is the node's own.
    pub planner: placement::PlannerSettings,
    /// Seed of the node's random choices.
    pub seed: u64,
}

impl NodeSettings {
    /// How the placer's role names this machine: by its address. Two machines may bear one name, and are two holders.
    pub fn holder(&self) -> &str {
        &self.address
    }
}

/// A call to the node's HTTP interface that waits for its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// A connection of a subscriber.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(pub u64);

/// A call of a worker or of the operator.
#[derive(Debug, Clone)]
pub enum Call {
    /// A worker's heartbeat.
    Heartbeat {
        /// The worker's id.
        id: String,
        /// The body, JSON.
        body: Bytes,
    },
    /// A worker ends.
    Deregister {
        /// The worker's id.
        id: String,
    },
    /// A change of the configuration.
    Change(Order),
    /// The newest configuration is asked for.
    Read,
}

/// The answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Status of HTTP.
    pub status: u16,
    /// Body, JSON.
    pub body: Bytes,
}

/// What happens to a node.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message of another core node.
    Peer(PeerFrame),
    /// A message of a subscriber.
    Subscriber(SubscriberId, Upstream),
    /// A subscriber's connection ended.
    SubscriberDisconnected(SubscriberId),
    /// A call came in.
    Call(CallId, Call),
    /// All records up to this token are on the disk.
    Persisted(u64),
    /// The disk refused the record of this token.
    PersistFailed(u64),
    /// The file of records has grown long.
    LogCompactionDue,
    /// The process is to end: the node asks to be dropped from the electorate (see
    /// [`ControlNode::may_leave`](crate::ControlNode::may_leave)).
    Leave,
    /// A worker answered an order, or did not.
    OrderAnswered(OrderTicket, placement::OrderAnswer),
    /// A worker answered with its report.
    Reported(WorkerReport),
}

/// Which order of which planner an answer belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderTicket {
    /// Service of the planner.
    pub service: String,
    /// Which planner of this life it was: a service whose engine goes and comes back has another one.
    pub planner: u64,
    /// Epoch of the placer.
    pub epoch: u64,
    /// The order.
    pub order: placement::OrderId,
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderCall {
    /// By which its answer is known.
    pub ticket: OrderTicket,
    /// The worker's id.
    pub worker: String,
    /// The worker's address.
    pub address: String,
    /// What it is to do.
    pub operation: placement::Operation,
    /// The model.
    pub model: String,
    /// The adapter, for an order about one.
    pub adapter: Option<String>,
    /// Orders that the worker must have taken before.
    pub if_revision: Option<u64>,
    /// The machine that is the placer ([`NodeSettings::holder`]).
    pub holder: String,
}

/// A request for a worker's report.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReportCall {
    /// Service of the planner that wants it.
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
    /// What it answers.
    pub call: ReportCall,
    /// Whether the worker carries out an order.
    pub busy: bool,
    /// Orders that it has taken.
    pub sequence: u64,
    /// What it holds.
    pub models: Vec<placement::Resident>,
    /// Requests that it runs.
    pub running: u32,
    /// Requests that it queues.
    pub queued: u32,
    /// Tokens of its memory in use that can't give way.
    pub kv_used: u64,
    /// Tokens that its memory holds.
    pub kv_total: u64,
}

/// What a node wants done.
#[derive(Debug, Clone)]
pub enum Output {
    /// Send a message to the core nodes at these addresses.
    Peers(Vec<String>, PeerFrame),
    /// Send a message to these subscribers.
    Subscribers(Vec<SubscriberId>, Downstream),
    /// Drop a subscriber's connection.
    CloseSubscriber(SubscriberId),
    /// Answer a call.
    Answer(CallId, Answer),
    /// Append a record, sync it and say so.
    Persist(u64, Vec<u8>),
    /// Replace all records by these.
    RewriteLog(Vec<Vec<u8>>),
    /// Send an order to a worker.
    Order(OrderCall),
    /// Ask a worker for its report.
    RequestReport(ReportCall),
}
