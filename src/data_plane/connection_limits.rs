//! How the descriptors of the process are shared out.

use super::policy;

/// Connections that the descriptors allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ConnectionLimits {
    /// Connections of clients.
    pub(crate) clients: usize,
    /// Connections to workers.
    pub(crate) workers: u32,
}

impl ConnectionLimits {
    /// Shares of `most` descriptors.
    pub(crate) fn from_fd_limit(most: u64) -> ConnectionLimits {
        let free = most.saturating_sub(policy::RESERVED_FILE_DESCRIPTORS + policy::PROCESS_DESCRIPTORS);
        let clients = ((free as f64 * policy::CLIENT_DESCRIPTOR_SHARE) as u64).max(1);
        let workers = free.saturating_sub(clients).max(1);
        ConnectionLimits {
            clients: usize::try_from(clients).unwrap_or(usize::MAX).min(tokio::sync::Semaphore::MAX_PERMITS),
            workers: u32::try_from(workers).unwrap_or(u32::MAX),
        }
    }
}
