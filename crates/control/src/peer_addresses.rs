//! Addresses of core nodes that other nodes have reported.

use std::collections::BTreeMap;

/// Reported addresses, each with the time of the newest report in milliseconds.
///
/// Core nodes are replaced by others at new addresses, so an address that nobody reports any more is forgotten.
#[derive(Debug, Default)]
pub(crate) struct PeerAddresses {
    reported_at: BTreeMap<String, u64>,
}

impl PeerAddresses {
    /// Records the addresses that a node reports.
    pub(crate) fn report(&mut self, now: u64, addresses: impl IntoIterator<Item = String>) {
        self.reported_at.extend(addresses.into_iter().map(|address| (address, now)));
    }

    /// Forgets addresses whose newest report is older than `timeout_ms`. To be called only in contact with a quorum: a
    /// node that is cut off needs all addresses at which it may find the others again.
    pub(crate) fn remove_expired(&mut self, now: u64, timeout_ms: u64) {
        self.reported_at.retain(|_, at| now < *at + timeout_ms);
    }

    /// Iterates over the addresses.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &String> {
        self.reported_at.keys()
    }
}
