//! Gateway membership: every period each gateway renews `agreement:member:ID` with a heartbeat counter and
//! `PX lease_ms`, and reads the counters of the others.

use crate::{Ms, Settings};
use std::collections::BTreeMap;

/// A member in a listing: its id and the heartbeat counter that it last wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedMember {
    /// Id in the member's key.
    pub id: String,
    /// Counter that changes with each renewal.
    pub heartbeat: u64,
}

/// The number of gateways that share the quotas, as seen by one gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipView {
    /// Number of live and suspected members including this one: at least 1, never rounded up per member. While
    /// `isolated`, the last known number.
    pub gateways: u32,
    /// Zero-based rank of this gateway among the members, ordered by id.
    pub ordinal: u32,
    /// Number of members whose heartbeat has not changed for more than two periods; included in `gateways`.
    pub suspected: u32,
    /// No listing arrived within the lease: the membership is unknown and this gateway keeps to its own share.
    pub isolated: bool,
}

impl MembershipView {
    /// State before any listing. It must not be used as the divisor of the quotas, because one gateway would get all of
    /// them: an isolated gateway divides by the larger of the last known number and the configured one.
    pub const ISOLATED: MembershipView =
        MembershipView { gateways: 1, ordinal: 0, suspected: 0, isolated: true };
}

/// Tracks the members seen by one gateway.
#[derive(Debug)]
pub struct Members {
    settings: Settings,
    self_id: String,
    /// Heartbeat counter of each other member and the time at which it was first seen with that value.
    seen: BTreeMap<String, (u64, Ms)>,
    listed_at: Option<Ms>,
}

/// Maximum number of other members tracked, larger than the largest test rig and fleet. Members beyond it are
/// ignored and not counted.
pub const MAX_MEMBERS: usize = 1024;

impl Members {
    /// Creates a tracker for the member `self_id`.
    pub fn new(settings: Settings, self_id: &str) -> Members {
        Members { settings, self_id: self_id.to_owned(), seen: BTreeMap::new(), listed_at: None }
    }

    /// Records a listing of all unexpired member keys, requested at `sent` and received at `now`. It need not contain
    /// this gateway, which always counts itself.
    pub fn record_listing(&mut self, now: Ms, sent: Ms, listed: Vec<ListedMember>) {
        if now.saturating_sub(sent) > self.settings.read_timeout_ms {
            return;
        }
        let mut seen = BTreeMap::new();
        for ListedMember { id, heartbeat } in listed {
            if id != self.self_id && (seen.len() < MAX_MEMBERS || seen.contains_key(&id)) {
                let since =
                    self.seen.get(&id).filter(|(before, _)| *before == heartbeat).map_or(now, |(_, at)| *at);
                seen.insert(id, (heartbeat, since));
            }
        }
        self.seen = seen;
        self.listed_at = Some(sent);
    }

    /// Returns the membership at `now`, whose count divides the quotas.
    pub fn view(&self, now: Ms) -> MembershipView {
        let overdue = |since: Ms| now.saturating_sub(since) > 2 * self.settings.period_ms;
        let fresh = self.listed_at.is_some_and(|at| now <= at + self.settings.lease_ms);
        MembershipView {
            gateways: 1 + self.seen.len() as u32,
            ordinal: self.seen.keys().filter(|id| **id < self.self_id).count() as u32,
            suspected: self.seen.values().filter(|(_, since)| overdue(*since)).count() as u32,
            isolated: !fresh,
        }
    }
}
