//! Who else is live: each gateway renews `agreement:member:ID` with a beat and `PX lease_ms` every period, and reads
//! the others' beats.

use crate::{Ms, Settings};
use std::collections::BTreeMap;

/// One member as a listing shows it: its id and the beat it last wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The member's id, as it renews it.
    pub id: String,
    /// A number that it changes with each renewal.
    pub beat: u64,
}

/// How many gateways share the quotas, as this one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// Live and suspected members, this one among them: at least 1, never rounded up per member. While `alone`, the
    /// last number known.
    pub gateways: u32,
    /// This gateway's rank among them by id, from 0.
    pub ordinal: u32,
    /// Members whose beat has stood still for more than two periods, counted in `gateways`.
    pub suspected: u32,
    /// No listing within the lease: this gateway knows nobody and keeps to its own share.
    pub alone: bool,
}

impl Told {
    /// Before any listing: nobody known. Danger: as a divisor of quotas this would grant one gateway all of them; who
    /// is alone divides by the last number known, or by the configured one if that is more.
    pub const ALONE: Told = Told { gateways: 1, ordinal: 0, suspected: 0, alone: true };
}

/// The view of members at one gateway.
#[derive(Debug)]
pub struct Members {
    settings: Settings,
    me: String,
    /// Per member: its beat, and since when it has stood there.
    seen: BTreeMap<String, (u64, Ms)>,
    listed_at: Option<Ms>,
}

/// Members kept in a view: the rig's and the fleet's largest, with room. A listing beyond is cut, counted whole.
pub const MOST_MEMBERS: usize = 1024;

impl Members {
    /// A view for the member `me`.
    pub fn new(settings: Settings, me: &str) -> Members {
        Members { settings, me: me.to_owned(), seen: BTreeMap::new(), listed_at: None }
    }

    /// A listing sent at `sent` came back at `now`: every member whose key lives. `me` need not be in it: a gateway
    /// counts itself.
    pub fn listed(&mut self, now: Ms, sent: Ms, listed: Vec<Listed>) {
        if now.saturating_sub(sent) > self.settings.slowest_read_ms {
            return;
        }
        let mut seen = BTreeMap::new();
        for Listed { id, beat } in listed {
            if id != self.me && (seen.len() < MOST_MEMBERS || seen.contains_key(&id)) {
                let since =
                    self.seen.get(&id).filter(|(before, _)| *before == beat).map_or(now, |(_, at)| *at);
                seen.insert(id, (beat, since));
            }
        }
        self.seen = seen;
        self.listed_at = Some(sent);
    }

    /// The count that divides quotas at `now`.
    pub fn told(&self, now: Ms) -> Told {
        let overdue = |since: Ms| now.saturating_sub(since) > 2 * self.settings.period_ms;
        let fresh = self.listed_at.is_some_and(|at| now <= at + self.settings.lease_ms);
        Told {
            gateways: 1 + self.seen.len() as u32,
            ordinal: self.seen.keys().filter(|id| **id < self.me).count() as u32,
            suspected: self.seen.values().filter(|(_, since)| overdue(*since)).count() as u32,
            alone: !fresh,
        }
    }
}
