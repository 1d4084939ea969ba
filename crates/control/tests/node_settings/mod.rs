//! Settings of the core nodes of the tests.

use switchhill_control::NodeSettings;

/// Settings of a node named after its address: no zone, one machine to be lost. A test states beside them what it needs
/// otherwise.
pub fn node_settings(replica: u64, life: u64, address: String, seeds: Vec<String>) -> NodeSettings {
    NodeSettings {
        replica_id: replica,
        incarnation: life,
        node_name: address.clone(),
        address,
        seeds,
        machines_lost: 1,
        zone: String::new(),
        zones_lost: 0,
        worker_heartbeat_ms: 500,
        lease_ms: 2_000,
        ceiling_window_ms: 5_000,
        fencing: true,
        planner: Default::default(),
        seed: life,
    }
}
