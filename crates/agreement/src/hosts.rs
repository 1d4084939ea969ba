//! The content of the hosts register: discovery's list with its revision, and the hosts called out by operators.
//!
//! A content is composed anew for each proposal from the newest one agreed, this gateway's own listing and the
//! wishes that operators called in here, so that a proposal that lost is made again over the winner's content and
//! two gateways' wishes never undo each other.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Hosts that may be called out at once, and wishes that may wait; as many as a gateway keeps without agreement.
pub const MAX_CORDONS: usize = 1024;

/// One host of a list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// It takes requests; a host that drains does not.
    pub ready: bool,
    /// Everything else that a gateway needs of it, in the gateway's own form.
    pub body: String,
}

/// Orders lists: discovery's revision, under a generation that grows when discovery begins anew.
pub type Stamp = (u64, u64);

/// A list of hosts as discovery told it to one gateway.
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
    /// Hosts called out by operators.
    pub cordons: BTreeSet<String>,
}

/// What an operator called in, by host: true to leave it out, false to put it back. The last call counts.
pub type CordonRequests = BTreeMap<String, bool>;

impl Hosts {
    /// Reads the stored form, JSON.
    ///
    /// # Errors
    /// What is wrong with it, and where.
    pub fn parse(bytes: &[u8]) -> Result<Hosts, String> {
        serde_json::from_slice(bytes).map_err(|e| e.to_string())
    }

    /// The stored form: the same bytes for the same content at every gateway, since every map is sorted.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Every host that this content holds out.
    pub fn excluded(&self) -> impl Iterator<Item = &String> {
        let draining = self.hosts.iter().filter(|(_, host)| !host.ready).map(|(id, _)| id);
        self.cordons.iter().chain(draining)
    }
}

/// The next content over `base`, or `None` where `base` already says all of it: a newer listing of this gateway
/// replaces the list, the wishes change the cordons. A base with no list yet takes any listing.
pub fn compose(base: Option<&Hosts>, own: Option<&Listing>, requests: &CordonRequests) -> Option<Hosts> {
    let mut next = base.cloned().unwrap_or_default();
    if let Some(own) = own {
        // Danger: an older list taken for news would bring back hosts that are gone, at every gateway.
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

/// The wishes that `content` does not fulfil yet.
pub fn pending_requests(content: Option<&Hosts>, mut requests: CordonRequests) -> CordonRequests {
    requests.retain(|id, out| content.is_none_or(|content| content.cordons.contains(id) != *out));
    requests
}

/// Every host that a gateway must leave out, whatever its own list says: held out by the version acted on, by one
/// announced, or by a wish called in here. The stricter of all three, in every mode: what restricts holds at once,
/// what relaxes waits until no version that may be acted on anywhere restricts it.
pub fn excluded_hosts<'a>(
    versions: impl IntoIterator<Item = &'a Hosts>,
    requests: &CordonRequests,
) -> BTreeSet<String> {
    let mut out: BTreeSet<String> =
        versions.into_iter().flat_map(Hosts::excluded).take(MAX_CORDONS * 4).cloned().collect();
    out.extend(requests.iter().filter(|(_, out)| **out).map(|(id, _)| id.clone()));
    out
}

/// How long discovery must keep to an older revision than the agreed one before its list counts as a new beginning.
pub const REVISION_RESET_MS: crate::Ms = 30_000;

/// Stamps discovery's lists: under the agreed generation, or the next one where discovery has begun anew.
#[derive(Debug, Default)]
pub struct RevisionTracker {
    stale_since: Option<crate::Ms>,
}

/// What to make of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListingOrder {
    /// Take it, under this stamp.
    Current(Stamp),
    /// Older than the agreed one: keep what is agreed.
    Stale,
}

impl RevisionTracker {
    /// A list of `revision` came at `now` while a list of stamp `agreed` is in force.
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
        // Danger: discovery restarted with lower revisions would else never be heard again.
        self.stale_since = None;
        ListingOrder::Current((generation + 1, revision))
    }
}
