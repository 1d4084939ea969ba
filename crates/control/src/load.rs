//! Load and demand, summed from the gatekeepers over the core.

use crate::node::ControlNode;
use std::collections::BTreeMap;
use switchhill_protocol::{Downstream, DownstreamBody, LoadSummary, Loads, ModelDemand, PeerBody};
use switchhill_protocol::{RouteAdmission, Summary, WorkerLoad};

/// Time in milliseconds between two summaries.
const SUMMARY_EVERY: u64 = 250;

/// Age in milliseconds beyond which a summary no longer counts.
const SUMMARY_HOLDS: u64 = 1_500;

/// Time in milliseconds for which the largest number of gatekeepers heard of late is kept.
const GATEKEEPERS_HELD: u64 = 6_000;

/// Load over the fleet.
#[derive(Debug, Default)]
pub(crate) struct FleetLoad {
    peers: BTreeMap<u64, (u64, Summary)>,
    peer_gatekeepers: BTreeMap<u64, (u64, u32)>,
    next_summary: u64,
    most_gatekeepers: std::cell::Cell<(u64, u32)>,
}

impl FleetLoad {
    /// Another core node's sums.
    pub(crate) fn peer(&mut self, now: u64, from: u64, summary: Summary) {
        self.peers.insert(from, (now, summary));
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
        let own = self.own_summary(now);
        self.send_all_peers(now, &PeerBody::Load(LoadSummary { summary: Some(own.clone()) }));
        let total = self.total(now, own);
        self.placer_demand(now, &total);
        let loads = Loads { loads: total.loads, admission: total.admission };
        let message = Downstream { body: Some(DownstreamBody::Loads(loads)) };
        let homes: Vec<_> = self.subscribers.homes().map(|(id, _)| id).collect();
        for id in homes {
            self.send_subscriber(id, message.clone());
        }
    }

    fn own_summary(&self, now: u64) -> Summary {
        let fresh = self.subscribers.homes().filter_map(|(_, subscriber)| subscriber.summary.as_ref());
        let fresh = fresh.filter(|(at, _)| now < at + SUMMARY_HOLDS).map(|(_, summary)| summary);
        sum(fresh)
    }

    fn total(&self, now: u64, own: Summary) -> Summary {
        let peers = self.load.peers.values().filter(|(at, _)| now < at + SUMMARY_HOLDS).map(|(_, summary)| summary);
        sum(peers.chain(std::iter::once(&own)))
    }
}

fn sum<'a>(summaries: impl Iterator<Item = &'a Summary>) -> Summary {
    let mut loads: BTreeMap<String, u32> = BTreeMap::new();
    let mut demand: BTreeMap<(String, String, String), ModelDemand> = BTreeMap::new();
    let mut admission: BTreeMap<String, RouteAdmission> = BTreeMap::new();
    for summary in summaries {
        for load in &summary.loads {
            *loads.entry(load.worker.clone()).or_default() += load.outstanding;
        }
        for entry in &summary.demand {
            let key = (entry.service.clone(), entry.model.clone(), entry.adapter.clone());
            add_demand(demand.entry(key).or_insert_with(|| empty_demand(entry)), entry);
        }
        for entry in &summary.admission {
            let route = RouteAdmission { route: entry.route.clone(), ..RouteAdmission::default() };
            let total = admission.entry(entry.route.clone()).or_insert(route);
            total.admitted_per_s += entry.admitted_per_s;
            total.delay_cost_per_s += entry.delay_cost_per_s;
        }
    }
    Summary {
        loads: loads.into_iter().map(|(worker, outstanding)| WorkerLoad { worker, outstanding }).collect(),
        demand: demand.into_values().collect(),
        admission: admission.into_values().collect(),
    }
}

fn empty_demand(of: &ModelDemand) -> ModelDemand {
    ModelDemand { requests_per_s: 0.0, tokens_per_s: 0.0, outstanding: 0, ..of.clone() }
}

fn add_demand(total: &mut ModelDemand, entry: &ModelDemand) {
    total.requests_per_s += entry.requests_per_s;
    total.tokens_per_s += entry.tokens_per_s;
    total.outstanding += entry.outstanding;
    total.aim_ms = total.aim_ms.min(entry.aim_ms);
}
