//! Shared helpers of the unit tests: a core with a single node, and a disk that writes immediately.

use crate::input::{Input, NodeSettings, Output};
use crate::node::ControlNode;
use switchhill_register::{Member, ReplicaId};

/// Tick interval in milliseconds, as in the program.
const TICK_MS: usize = 25;

/// The only member of a single-node core at this address.
pub(crate) fn only_member(address: &str) -> Member {
    Member { id: ReplicaId(1), address: address.to_owned() }
}

/// A single-node core before its first tick. All machines of these tests have the same node name.
pub(crate) fn single_node(address: &str) -> ControlNode {
    let settings = NodeSettings {
        replica_id: 1,
        incarnation: 1,
        node_name: "core".to_owned(),
        address: address.to_owned(),
        seeds: vec![address.to_owned()],
        machines_lost: 0,
        zone: String::new(),
        zones_lost: 0,
        worker_heartbeat_ms: 1_200,
        lease_ms: 2_000,
        ceiling_window_ms: 10_000,
        fencing: true,
        configuration_limit: switchhill_configuration::MemoryLimit::NONE,
        planner: Default::default(),
        seed: 1,
    };
    ControlNode::new(0, settings, Vec::new(), Some(vec![only_member(address)]))
}

/// Advances the time in ticks from `from` to `until` in milliseconds, with a disk that writes immediately.
pub(crate) fn run(node: &mut ControlNode, from: u64, until: u64) {
    for now in (from..until).step_by(TICK_MS) {
        let mut outputs = node.handle(now, Input::Tick);
        while let Some(output) = outputs.pop() {
            if let Output::Persist(token, _) = output {
                outputs.extend(node.handle(now, Input::Persisted(token)));
            }
        }
    }
}
