//! Division of the file descriptors between client and worker connections.

use super::policy;

/// Maximum number of connections under the file descriptor limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of client connections.
    pub(crate) clients: usize,
    /// Maximum number of worker connections.
    pub(crate) workers: u32,
}

impl ConnectionLimits {
    /// Divides the descriptors that remain below `max_fds` after the reserved ones.
    pub(crate) fn from_fd_limit(max_fds: u64) -> ConnectionLimits {
        let free = max_fds.saturating_sub(policy::RESERVED_FILE_DESCRIPTORS + policy::PROCESS_DESCRIPTORS);
        let clients = ((free as f64 * policy::CLIENT_DESCRIPTOR_SHARE) as u64).max(1);
        let workers = free.saturating_sub(clients).max(1);
        ConnectionLimits {
            clients: usize::try_from(clients).unwrap_or(usize::MAX).min(tokio::sync::Semaphore::MAX_PERMITS),
            workers: u32::try_from(workers).unwrap_or(u32::MAX),
        }
    }
}
