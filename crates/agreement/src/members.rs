//! Who else is live: each gateway renews `agreement:member:ID` with `PX lease_ms` every period and lists the others.

use crate::{Ms, Settings};

/// One member as a listing shows it: its id and how long its key still lives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The member's id, as it renews it.
    pub id: String,
    /// Milliseconds its key still lives (`PTTL`).
    pub left_ms: Ms,
}

/// How many gateways share the quotas, as this one sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    /// Live and suspected members, this one among them: at least 1, never rounded up per member.
    pub gateways: u32,
    /// Members whose renewal is overdue by more than two periods, counted in `gateways`.
    pub suspected: u32,
    /// No listing within the lease: this gateway knows nobody and keeps to its own share.
    pub alone: bool,
}

impl Told {
    /// What a gateway that knows nobody counts: itself alone, at its own share.
    pub const ALONE: Told = Told { gateways: 1, suspected: 0, alone: true };
}

/// The view of members at one gateway.
#[derive(Debug)]
pub struct Members {
    settings: Settings,
    me: String,
    seen: Vec<Listed>,
    listed_at: Option<Ms>,
}

/// Members kept in a view: the rig's and the fleet's largest, with room. A listing beyond is cut, counted whole.
pub const MOST_MEMBERS: usize = 1024;

impl Members {
    /// A view for the member `me`.
    pub fn new(settings: Settings, me: &str) -> Members {
        Members { settings, me: me.to_owned(), seen: Vec::new(), listed_at: None }
    }

    /// A listing sent at `sent` came back at `now`. `me` need not be in it: a gateway counts itself.
    pub fn listed(&mut self, now: Ms, sent: Ms, mut listed: Vec<Listed>) {
        if now.saturating_sub(sent) > self.settings.slowest_read_ms {
            return;
        }
        listed.retain(|member| member.id != self.me);
        listed.sort_by(|a, b| a.id.cmp(&b.id));
        listed.dedup_by(|a, b| a.id == b.id);
        listed.truncate(MOST_MEMBERS);
        self.seen = listed;
        self.listed_at = Some(sent);
    }

    /// The count that divides quotas at `now`.
    pub fn told(&self, now: Ms) -> Told {
        let fresh = self.listed_at.is_some_and(|at| now <= at + self.settings.lease_ms);
        if !fresh {
            return Told::ALONE;
        }
        let overdue = self.settings.lease_ms.saturating_sub(2 * self.settings.period_ms);
        let suspected = self.seen.iter().filter(|member| member.left_ms < overdue).count() as u32;
        Told { gateways: 1 + self.seen.len() as u32, suspected, alone: false }
    }
}
