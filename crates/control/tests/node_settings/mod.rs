//! Settings of core nodes in tests.

use switchhill_control::NodeSettings;

/// Settings of a node that is named after its address, has no zone, and tolerates the loss of one machine. Tests
/// override other fields as needed.
pub fn node_settings(replica: u64, incarnation: u64, address: String, seeds: Vec<String>) -> NodeSettings {
    NodeSettings {
        replica_id: replica,
        incarnation,
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
        configuration_limit: switchhill_configuration::MemoryLimit::NONE,
        planner: Default::default(),
        seed: incarnation,
    }
}
