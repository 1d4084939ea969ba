//! Division of the file descriptors between client and worker connections.

use super::policy;
use crate::site_settings::ProcessLimits;
use crate::system::connection_slots::most_connections;

/// Maximum number of connections under the file descriptor limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of client connections.
    pub(crate) clients: usize,
    /// Maximum number of worker connections.
    pub(crate) workers: u32,
}

impl ConnectionLimits {
    /// Divides the descriptors that remain after the reserved ones. Clients get no more connections than the memory suffices
    /// for.
    pub(crate) fn of(limits: &ProcessLimits) -> ConnectionLimits {
        let free =
            limits.max_fds.saturating_sub(policy::RESERVED_FILE_DESCRIPTORS + policy::PROCESS_DESCRIPTORS);
        let clients = ((free as f64 * policy::CLIENT_DESCRIPTOR_SHARE) as u64).max(1);
        let workers = free.saturating_sub(clients).max(1);
        ConnectionLimits {
            clients: usize::try_from(clients).unwrap_or(usize::MAX).min(most_connections(limits.memory_mb)),
            workers: u32::try_from(workers).unwrap_or(u32::MAX),
        }
    }
}
