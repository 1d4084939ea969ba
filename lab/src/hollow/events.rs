//! What happens in a hollow fleet, one event at a time.

use switchhill_control::{Input, SubscriberId};
use switchhill_distribution::LinkId;

/// What happens.
pub(super) enum Event {
    /// A core node's timer.
    CoreTick(usize),
    /// A call, or the end of what a core node had asked of its disk or of a worker.
    CoreInput { core: usize, input: Box<Input>, kind: &'static str },
    /// A message of a core node arrives at another.
    Peer { core: usize, frame: Vec<u8> },
    /// A message of an agent arrives at a core node.
    Up { core: usize, id: SubscriberId, frame: Vec<u8> },
    /// A message of a core node arrives at an agent.
    Down { edge: usize, link: LinkId, frame: Vec<u8> },
    /// An agent's link is connected.
    LinkUp { edge: usize, link: LinkId },
    /// An agent's timer.
    AgentTick(usize),
    /// A data plane tells its load.
    Summary(usize),
    /// A worker sends its heartbeat.
    Beat(usize),
    /// The operator sends a change.
    Change,
    /// A worker begins to leave.
    Drain,
    /// A part of the run is over: its start, or what is measured.
    PartOver,
}
