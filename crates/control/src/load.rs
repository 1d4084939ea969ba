//! Load and demand, summed from the gatekeepers over the core.

#[cfg(test)]
mod tests;

use crate::input::SubscriberId;
use crate::node::ControlNode;
use std::collections::BTreeMap;
use switchhill_distribution::{LoadDeltaEncoder, LoadTable};
use switchhill_protocol::{Downstream, DownstreamBody, LoadSummary, Loads, PeerBody};

/// Time in milliseconds between two summaries.
const SUMMARY_EVERY: u64 = 250;

/// Messages to the other core nodes of which one holds all entries. What one of them missed it has a second later.
const WHOLE_EVERY: u64 = 4;

/// Age in milliseconds beyond which a summary no longer counts.
const SUMMARY_HOLDS: u64 = 1_500;

/// Time in milliseconds for which the largest number of gatekeepers heard of late is kept.
const GATEKEEPERS_HELD: u64 = 6_000;

/// What another core node told of its home subscribers.
#[derive(Debug)]
struct PeerLoad {
    heard_at: u64,
    sequence: u64,
    table: LoadTable,
}

/// Load over the fleet.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    peers: BTreeMap<u64, PeerLoad>,
    /// What the other core nodes were told, and in how many messages.
    told_peers: LoadDeltaEncoder,
    peer_sequence: u64,
    /// What home subscribers were told, and in how many messages.
    fleet: LoadDeltaEncoder,
    fleet_sequence: u64,
    peer_gatekeepers: BTreeMap<u64, (u64, u32)>,
    next_summary: u64,
    most_gatekeepers: std::cell::Cell<(u64, u32)>,
}

impl FleetLoad {
    /// Another core node's sums. A change that does not build on the message before it is left out: all entries
    /// follow within a second.
    pub(crate) fn peer(&mut self, now: u64, from: u64, told: LoadSummary) {
        let summary = told.summary.unwrap_or_default();
        let fits = self.peers.get(&from).is_some_and(|held| told.sequence == held.sequence + 1);
        if summary.delta && !fits {
            return;
        }
        let held = self.peers.entry(from).or_insert_with(|| PeerLoad {
            heard_at: now,
            sequence: 0,
            table: LoadTable::default(),
        });
        held.table.apply(&summary);
        held.sequence = told.sequence;
        held.heard_at = now;
    }

    /// What the other core nodes are told next.
    fn tell_peers(&mut self, own: &LoadTable) -> LoadSummary {
        let sequence = self.peer_sequence;
        self.peer_sequence += 1;
        let summary = match sequence % WHOLE_EVERY {
            0 => self.told_peers.full_summary(own),
            _ => self.told_peers.delta_summary(own),
        };
        LoadSummary { summary: Some(summary), sequence }
    }

    /// The load over the fleet: this node's and what the others told of late.
    fn total(&mut self, now: u64, own: LoadTable) -> LoadTable {
        self.peers.retain(|_, held| now < held.heard_at + SUMMARY_HOLDS);
        let mut total = own;
        self.peers.values().for_each(|held| total.add(&held.table));
        total
    }

    /// Gatekeepers whose home another core node is.
    pub(crate) fn peer_gatekeepers(&mut self, now: u64, from: u64, count: u32) {
        self.peer_gatekeepers.insert(from, (now, count));
    }

    /// Gatekeepers in the fleet: the largest number of the last seconds, so that a change of home never makes it small.
    pub(crate) fn gatekeepers(&self, now: u64, own: u32) -> u32 {
        let live = self.peer_gatekeepers.values().filter(|(at, _)| now < at + SUMMARY_HOLDS);
        let count = own + live.map(|(_, count)| count).sum::<u32>();
        let (at, most) = self.most_gatekeepers.get();
        if count >= most || now >= at + GATEKEEPERS_HELD {
            self.most_gatekeepers.set((now, count));
            return count;
        }
        most
    }
}

impl ControlNode {
    /// Exchanges sums with the other core nodes and tells home subscribers.
    pub(crate) fn tick_load(&mut self, now: u64) {
        if now < self.load.next_summary {
            return;
        }
        self.load.next_summary = now + SUMMARY_EVERY;
        let own = self.own_load(now);
        let told = self.load.tell_peers(&own);
        self.send_all_peers(now, PeerBody::Load(told));
        let mut total = self.load.total(now, own);
        self.placer_demand(now, &total);
        total.demand.clear();
        self.tell_homes(&total);
    }

    fn own_load(&self, now: u64) -> LoadTable {
        let mut total = LoadTable::default();
        let summaries = self.subscribers.homes().filter_map(|(_, subscriber)| subscriber.summary.as_ref());
        summaries.filter(|(at, _)| now < at + SUMMARY_HOLDS).for_each(|(_, table)| total.add(table));
        total
    }

    /// Changes to those that have been told all, and all to the others.
    fn tell_homes(&mut self, total: &LoadTable) {
        let summary = self.load.fleet.delta_summary(total);
        self.load.fleet_sequence += 1;
        let sequence = self.load.fleet_sequence;
        let changes = Loads { loads: summary.loads, admission: summary.admission, delta: true, sequence };
        let message = |loads: Loads| Downstream { body: Some(DownstreamBody::Loads(loads)) };
        let (new, old): (Vec<_>, Vec<_>) =
            self.subscribers.homes_for_loads().into_iter().partition(|(_, is_new)| *is_new);
        let ids = |homes: Vec<(SubscriberId, bool)>| homes.into_iter().map(|(id, _)| id).collect();
        if !new.is_empty() {
            let whole = self.load.fleet.sent().to_loads(sequence);
            self.send_subscribers(ids(new), message(whole));
        }
        self.send_subscribers(ids(old), message(changes));
    }
}
