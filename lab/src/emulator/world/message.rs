//! Events of the emulated deployment and the messages between its machines.

use crate::emulator::faults::Ending;
use crate::emulator::host::Host;
use crate::emulator::network::Path;
use crate::emulator::worker::{WorkerOrder, WorkerReportBody};
use switchhill_control::{Answer, Call, SubscriberId};
use switchhill_distribution::LinkId;
use switchhill_placement::OrderAnswer;
use switchhill_protocol::{Downstream, PeerFrame, Upstream};

/// Number of a call or exchange at its caller.
pub type CallNumber = u64;

/// What machines send each other.
#[derive(Debug, Clone)]
pub enum Message {
    /// Between core nodes.
    Peer(PeerFrame),
    /// An agent opens a link.
    LinkOpen(LinkId),
    /// A core node accepts it.
    LinkAccepted(LinkId, SubscriberId),
    /// A link was refused or reset; for the agent.
    LinkReset(LinkId),
    /// An agent closed a link, or its connection was reset; for the core node.
    LinkClosed(SubscriberId),
    /// On a link, to the core node.
    Upstream(SubscriberId, Upstream),
    /// On a link, to the agent.
    Downstream(LinkId, Downstream),
    /// A call of a worker or the operator.
    Call(CallNumber, Call),
    /// Its answer; none where the connection was refused or reset.
    CallAnswered(CallNumber, Option<Answer>),
    /// An order to a worker.
    Order(CallNumber, WorkerOrder),
    /// Its answer.
    OrderAnswered(CallNumber, OrderAnswer),
    /// A worker is asked for its report.
    ReportAsked(CallNumber, String),
    /// Its report.
    Reported(CallNumber, WorkerReportBody),
}

/// A message on its way to a life of a process; none for whichever lives then.
#[derive(Debug, Clone)]
pub struct Delivery {
    /// From where to where.
    pub path: Path,
    /// Life of the sender.
    pub from_life: u32,
    /// Life of the receiver that is meant.
    pub to_life: Option<u32>,
    /// What is sent.
    pub message: Message,
}

/// What happens next.
#[derive(Debug, Clone)]
pub enum Event {
    /// A core node's tick, in one life.
    CoreTick(usize, u32),
    /// A core machine's disk has synced.
    DiskDone(usize, u32),
    /// A core node's exchange with a worker has taken too long.
    ExchangeOver(usize, u32, CallNumber),
    /// A core node's process handles SIGTERM, in one life.
    Terminated(usize, u32),
    /// A core machine starts.
    CoreStart(usize),
    /// An agent's tick, in one life.
    AgentTick(usize, u32),
    /// A data plane's tick, in one life.
    DataPlaneTick(usize, u32),
    /// A message of the agent to its data plane, by the life of both.
    Feed(usize, u32, u32, Downstream),
    /// A message of the data plane to its agent, by the life of both.
    FeedBack(usize, u32, u32, Upstream),
    /// An agent starts.
    AgentStart(usize),
    /// A data plane starts.
    DataPlaneStart(usize),
    /// A worker's tick, in one life.
    WorkerTick(usize, u32),
    /// A new incarnation of a worker starts.
    WorkerStart(usize),
    /// The operator's tick.
    OperatorTick,
    /// A message arrives.
    Deliver(Delivery),
    /// A fault begins: its number in the plan.
    Fault(usize),
    /// A fault ends.
    FaultEnds(Ending),
    /// The operator sends a change to a machine first, or two on one version, and to no other if `hard`.
    Visit {
        /// The core machine.
        core: usize,
        /// Whether there are two.
        race: bool,
        /// Whether no other machine is called until this one answers.
        hard: bool,
    },
    /// A slow core machine stands still for a moment.
    Pause {
        /// The core machine.
        core: usize,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Core nodes are killed at once and started again.
    RestartCores(Vec<usize>),
    /// Workers of a zone leave and tell a core machine first.
    LeaveZone {
        /// The zone.
        zone: usize,
        /// The core machine.
        core: usize,
    },
    /// The checkers look.
    Check,
}

impl Event {
    /// The machine on which the event happens; none for what no freeze delays.
    pub fn host(&self) -> Option<Host> {
        match self {
            Event::CoreTick(core, _)
            | Event::DiskDone(core, _)
            | Event::ExchangeOver(core, _, _)
            | Event::Terminated(core, _) => Some(Host::Core(*core)),
            Event::AgentTick(edge, _)
            | Event::DataPlaneTick(edge, _)
            | Event::Feed(edge, ..)
            | Event::FeedBack(edge, ..) => Some(Host::Edge(*edge)),
            Event::WorkerTick(place, _) => Some(Host::Worker(*place)),
            Event::Deliver(delivery) => Some(delivery.path.to),
            _ => None,
        }
    }
}
