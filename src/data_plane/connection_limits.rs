//! Division of the file descriptors between client and worker connections.

use super::policy;
use crate::site_settings::ProcessLimits;
use crate::system::connection_slots::{most_connections, LISTENER_MEMORY_SHARE};

/// Maximum number of connections under the file descriptor limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of client connections.
    pub(crate) clients: usize,
    /// Maximum number of worker connections.
    pub(crate) workers: u32,
}

impl ConnectionLimits {
    /// Divides the descriptors that remain after the reserved ones. Neither side gets more connections than the memory
    /// suffices for.
    pub(crate) fn of(limits: &ProcessLimits) -> ConnectionLimits {
        let free =
            limits.max_fds.saturating_sub(policy::RESERVED_FILE_DESCRIPTORS + policy::PROCESS_DESCRIPTORS);
        let clients = ((free as f64 * policy::CLIENT_DESCRIPTOR_SHARE) as u64).max(1);
        let workers = free.saturating_sub(clients).max(1);
        let most_clients = most_connections(limits.memory_mb, LISTENER_MEMORY_SHARE);
        let most_workers = most_connections(limits.memory_mb, policy::WORKER_CONNECTION_MEMORY_SHARE);
        ConnectionLimits {
            clients: usize::try_from(clients).unwrap_or(usize::MAX).min(most_clients),
            workers: u32::try_from(workers.min(most_workers as u64)).unwrap_or(u32::MAX),
        }
    }
}
