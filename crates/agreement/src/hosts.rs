//! Content of the hosts register: the discovery list with its revision, and the hosts cordoned by operators.
//!
//! Each proposal is composed from the newest agreed content, this gateway's own listing and the cordon requests made
//! at this gateway. A lost proposal is thus recomposed over the winner's content, and requests made at two gateways
//! do not overwrite each other.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of cordoned hosts and of pending cordon requests; equal to a gateway's limit without agreement.
pub const MAX_CORDONS: usize = 1024;

/// One host of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Whether the host accepts requests; false while it is draining.
    pub ready: bool,
    /// All other data about the host, in the gateway's own encoding.
    pub body: String,
}

/// Orders listings: a generation, which increases when discovery's revisions restart, and discovery's revision.
pub type Stamp = (u64, u64);

/// A list of hosts as one gateway received it from discovery.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Listing {
    /// Generation and revision.
    pub stamp: Stamp,
    /// The hosts by id.
    pub hosts: BTreeMap<String, Host>,
}

/// The agreed content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hosts {
    /// Generation and revision of the list.
    pub stamp: Stamp,
    /// The hosts by id.
    pub hosts: BTreeMap<String, Host>,
    /// Hosts cordoned by operators.
    pub cordons: BTreeSet<String>,
}

/// Cordon requests by host: true to cordon, false to uncordon. A later request for a host replaces the earlier one.
pub type CordonRequests = BTreeMap<String, bool>;

impl Hosts {
    /// Parses the stored JSON form.
    ///
    /// # Errors
    /// Returns the cause and position of the parse error.
    pub fn parse(bytes: &[u8]) -> Result<Hosts, String> {
        serde_json::from_slice(bytes).map_err(|e| e.to_string())
    }

    /// Encodes the content as JSON. All maps are sorted, so equal contents have the same bytes at every gateway.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the hosts that are cordoned or draining in this content.
    pub fn excluded(&self) -> impl Iterator<Item = &String> {
        let draining = self.hosts.iter().filter(|(_, host)| !host.ready).map(|(id, _)| id);
        self.cordons.iter().chain(draining)
    }
}

/// Composes the next content over `base`, or returns `None` if nothing changes. A newer listing of this gateway
/// replaces the host list, and the requests change the cordons. Without a base, any listing is accepted.
pub fn compose(base: Option<&Hosts>, own: Option<&Listing>, requests: &CordonRequests) -> Option<Hosts> {
    let mut next = base.cloned().unwrap_or_default();
    if let Some(own) = own {
        // An older list would restore removed hosts at every gateway.
        if base.is_none() || own.stamp > next.stamp {
            (next.stamp, next.hosts) = (own.stamp, own.hosts.clone());
        }
    }
    for (id, out) in requests {
        if *out && (next.cordons.len() < MAX_CORDONS) {
            next.cordons.insert(id.clone());
        } else if !*out {
            next.cordons.remove(id);
        }
    }
    (base != Some(&next) && (base.is_some() || own.is_some())).then_some(next)
}

/// Returns the requests that `content` does not yet reflect.
pub fn pending_requests(content: Option<&Hosts>, mut requests: CordonRequests) -> CordonRequests {
    requests.retain(|id, out| content.is_none_or(|content| content.cordons.contains(id) != *out));
    requests
}

/// Returns the hosts that a gateway must exclude regardless of its own list: those excluded by the version in force,
/// by an announced version or by a local cordon request. This is the union in every mode: a restriction applies at
/// once, and a relaxation only when no version that may be in force at any gateway still restricts the host.
pub fn excluded_hosts<'a>(
    versions: impl IntoIterator<Item = &'a Hosts>,
    requests: &CordonRequests,
) -> BTreeSet<String> {
    let mut out: BTreeSet<String> =
        versions.into_iter().flat_map(Hosts::excluded).take(MAX_CORDONS * 4).cloned().collect();
    out.extend(requests.iter().filter(|(_, out)| **out).map(|(id, _)| id.clone()));
    out
}

/// Time for which discovery must report revisions older than the agreed one before they count as a restarted sequence.
pub const REVISION_RESET_MS: crate::Ms = 30_000;

/// Assigns stamps to discovery's lists: in the agreed generation, or in the next one after discovery's revisions
/// restarted.
#[derive(Debug, Default)]
pub struct RevisionTracker {
    stale_since: Option<crate::Ms>,
}

/// Order of a list relative to the agreed one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingOrder {
    /// The list is to be accepted under this stamp.
    Current(Stamp),
    /// The list is older than the agreed one, which is kept.
    Stale,
}

impl RevisionTracker {
    /// Classifies a list of `revision`, received at `now`, against the list with stamp `agreed` in force.
    pub fn classify(&mut self, now: crate::Ms, revision: u64, agreed: Option<Stamp>) -> ListingOrder {
        let Some((generation, newest)) = agreed else { return ListingOrder::Current((0, revision)) };
        if revision >= newest {
            self.stale_since = None;
            return ListingOrder::Current((generation, revision));
        }
        let since = *self.stale_since.get_or_insert(now);
        if now.saturating_sub(since) < REVISION_RESET_MS {
            return ListingOrder::Stale;
        }
        // Without a new generation, lists of a discovery service that restarted with lower revisions would be rejected
        // forever.
        self.stale_since = None;
        ListingOrder::Current((generation + 1, revision))
    }
}
