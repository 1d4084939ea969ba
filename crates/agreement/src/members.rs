//! Who else is live: each gateway renews `agreement:member:ID` with a heartbeat and `PX lease_ms` every period, and reads
//! the others' beats.

use crate::{Ms, Settings};
use std::collections::BTreeMap;

/// One member as a listing shows it: its id and the heartbeat it last wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedMember {
    /// The member's id, as it renews it.
    pub id: String,
    /// A number that it changes with each renewal.
    pub heartbeat: u64,
}

/// How many gateways share the quotas, as this one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MembershipView {
    /// Live and suspected members, this one among them: at least 1, never rounded up per member. While `alone`, the
    /// last number known.
    pub gateways: u32,
    /// This gateway's rank among them by id, from 0.
    pub ordinal: u32,
    /// Members whose heartbeat has stood still for more than two periods, counted in `gateways`.
    pub suspected: u32,
    /// No listing within the lease: this gateway knows nobody and keeps to its own share.
    pub isolated: bool,
}

impl MembershipView {
    /// Before any listing: nobody known. Danger: as a divisor of quotas this would grant one gateway all of them; who
    /// is alone divides by the last number known, or by the configured one if that is more.
    pub const ISOLATED: MembershipView =
        MembershipView { gateways: 1, ordinal: 0, suspected: 0, isolated: true };
}

/// The view of members at one gateway.
#[derive(Debug)]
pub struct Members {
    settings: Settings,
    self_id: String,
    /// Per member: its heartbeat, and since when it has stood there.
    seen: BTreeMap<String, (u64, Ms)>,
    listed_at: Option<Ms>,
}

/// Members kept in a view: the rig's and the fleet's largest, with room. A listing beyond is cut, counted whole.
pub const MAX_MEMBERS: usize = 1024;

impl Members {
    /// A view for the member `me`.
    pub fn new(settings: Settings, self_id: &str) -> Members {
        Members { settings, self_id: self_id.to_owned(), seen: BTreeMap::new(), listed_at: None }
    }

    /// A listing sent at `sent` came back at `now`: every member whose key lives. `me` need not be in it: a gateway
    /// counts itself.
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

    /// The count that divides quotas at `now`.
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
