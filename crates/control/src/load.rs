//! Aggregation of the load and demand reported by the gatekeepers across all core nodes.

#[cfg(test)]
mod tests;

use crate::input::SubscriberId;
use crate::node::ControlNode;
use std::collections::BTreeMap;
use switchhill_distribution::{LoadDeltaEncoder, LoadTable};
use switchhill_protocol::{Downstream, DownstreamBody, LoadSummary, Loads, PeerBody};

/// Interval in milliseconds between two summaries.
const SUMMARY_INTERVAL_MS: u64 = 250;

/// One in this number of messages to the other core nodes contains all entries, so a node that missed a message has the
/// complete load a second later.
const FULL_REPORT_PERIOD: u64 = 4;

/// Age in milliseconds from which a summary is ignored.
const SUMMARY_TTL_MS: u64 = 1_500;

/// Time in milliseconds for which the largest recent number of gatekeepers is kept.
const MAX_GATEKEEPERS_WINDOW_MS: u64 = 6_000;

/// Load that another core node reported for its home subscribers.
#[derive(Debug)]
struct PeerLoad {
    heard_at: u64,
    sequence: u64,
    table: LoadTable,
}

/// Load of the whole fleet.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    peers: BTreeMap<u64, PeerLoad>,
    /// Load last sent to the other core nodes, and the sequence number of the next message to them.
    sent_to_peers: LoadDeltaEncoder,
    peer_sequence: u64,
    /// Load last sent to the home subscribers, and the sequence number of that message.
    sent_to_homes: LoadDeltaEncoder,
    home_sequence: u64,
    peer_gatekeepers: BTreeMap<u64, (u64, u32)>,
    next_summary_at: u64,
    max_gatekeepers: std::cell::Cell<(u64, u32)>,
}

impl FleetLoad {
    /// Merges the load report of another core node. A delta that does not follow the last received message is ignored;
    /// a full report follows within a second.
    pub(crate) fn apply_peer_report(&mut self, now: u64, from: u64, report: LoadSummary) {
        let summary = report.summary.unwrap_or_default();
        let is_next = self.peers.get(&from).is_some_and(|peer| report.sequence == peer.sequence + 1);
        if summary.delta && !is_next {
            return;
        }
        let peer = self.peers.entry(from).or_insert_with(|| PeerLoad {
            heard_at: now,
            sequence: 0,
            table: LoadTable::default(),
        });
        peer.table.apply(&summary);
        peer.sequence = report.sequence;
        peer.heard_at = now;
    }

    /// Builds the next report to the other core nodes.
    fn next_peer_report(&mut self, own: &LoadTable) -> LoadSummary {
        let sequence = self.peer_sequence;
        self.peer_sequence += 1;
        let summary = match sequence % FULL_REPORT_PERIOD {
            0 => self.sent_to_peers.full_summary(own),
            _ => self.sent_to_peers.delta_summary(own),
        };
        LoadSummary { summary: Some(summary), sequence }
    }

    /// Load of the fleet: this node's own and the recent reports of the other core nodes.
    fn total(&mut self, now: u64, own: LoadTable) -> LoadTable {
        self.peers.retain(|_, peer| now < peer.heard_at + SUMMARY_TTL_MS);
        let mut total = own;
        self.peers.values().for_each(|peer| total.add(&peer.table));
        total
    }

    /// Records the number of gatekeepers whose home is another core node.
    pub(crate) fn set_peer_gatekeepers(&mut self, now: u64, from: u64, count: u32) {
        self.peer_gatekeepers.insert(from, (now, count));
    }

    /// Keeps the number of gatekeepers only of the core nodes that `is_known` accepts.
    pub(crate) fn retain_nodes(&mut self, is_known: impl Fn(u64) -> bool) {
        self.peer_gatekeepers.retain(|id, _| is_known(*id));
    }

    /// Number of gatekeepers in the fleet: the maximum of the last seconds, so that it does not drop while gatekeepers
    /// change their home.
    pub(crate) fn gatekeepers(&self, now: u64, own: u32) -> u32 {
        let live = self.peer_gatekeepers.values().filter(|(at, _)| now < at + SUMMARY_TTL_MS);
        let count = own + live.map(|(_, count)| count).sum::<u32>();
        let (at, most) = self.max_gatekeepers.get();
        if count >= most || now >= at + MAX_GATEKEEPERS_WINDOW_MS {
            self.max_gatekeepers.set((now, count));
            return count;
        }
        most
    }
}

impl ControlNode {
    /// Sends this node's load to the other core nodes and the total to the home subscribers.
    pub(crate) fn tick_load(&mut self, now: u64) {
        if now < self.load.next_summary_at {
            return;
        }
        self.load.next_summary_at = now + SUMMARY_INTERVAL_MS;
        let own = self.own_load(now);
        let report = self.load.next_peer_report(&own);
        self.send_all_peers(now, PeerBody::Load(report));
        let mut total = self.load.total(now, own);
        self.placer_demand(now, &total);
        total.demand.clear();
        self.send_loads_to_homes(&total);
    }

    fn own_load(&self, now: u64) -> LoadTable {
        let mut total = LoadTable::default();
        let summaries = self.subscribers.homes().filter_map(|(_, subscriber)| subscriber.summary.as_ref());
        summaries.filter(|(at, _)| now < at + SUMMARY_TTL_MS).for_each(|(_, table)| total.add(table));
        total
    }

    /// Sends the changes to home subscribers that have the complete load, and the complete load to the others.
    fn send_loads_to_homes(&mut self, total: &LoadTable) {
        let summary = self.load.sent_to_homes.delta_summary(total);
        self.load.home_sequence += 1;
        let sequence = self.load.home_sequence;
        let changes = Loads { loads: summary.loads, admission: summary.admission, delta: true, sequence };
        let message = |loads: Loads| Downstream { body: Some(DownstreamBody::Loads(loads)) };
        let (new, old): (Vec<_>, Vec<_>) =
            self.subscribers.start_load_updates().into_iter().partition(|(_, is_new)| *is_new);
        let ids = |homes: Vec<(SubscriberId, bool)>| homes.into_iter().map(|(id, _)| id).collect();
        if !new.is_empty() {
            let whole = self.load.sent_to_homes.sent().to_loads(sequence);
            self.send_subscribers(ids(new), message(whole));
        }
        self.send_subscribers(ids(old), message(changes));
    }
}
