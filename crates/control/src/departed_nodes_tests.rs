//! What a core node keeps of other core nodes that come and go.

use crate::input::{Input, Output, SubscriberId};
use crate::node::ControlNode;
use crate::single_node_tests::single_node;
use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use switchhill_membership::ContactSettings;
use switchhill_protocol::{
    DownstreamBody, Hello, PeerBody, PeerFrame, PeerHeartbeat, Upstream, UpstreamBody,
};

const ADDRESS: &str = "10.0.0.1:7660";
const TICK_MS: u64 = 25;
const HEARTBEAT_EVERY_MS: u64 = 200;
/// `livenessMs`: a machine counts as in touch again after this time without trouble.
const LIVENESS_MS: u64 = 3_000;
/// Time for which each of the other nodes runs.
const REPLACED_EVERY_MS: u64 = 9_000;
const REPLACED: u64 = 300;
const SUBSCRIBER: SubscriberId = SubscriberId(1);

fn address_of(number: u64) -> String {
    format!("10.0.{}.{}:7660", 1 + number / 200, number % 200 + 1)
}

/// A heartbeat of node `number`, which also reports the node that it replaces.
fn heartbeat(number: u64, sequence: u64) -> Input {
    let address = address_of(number);
    let known = vec![address.clone(), address_of(number.saturating_sub(1))];
    let heartbeat = PeerHeartbeat { sequence, life: number, known, ..PeerHeartbeat::default() };
    Input::Peer(PeerFrame { from: 1_000 + number, address, body: Some(PeerBody::Heartbeat(heartbeat)) })
}

/// Addresses with the time at which each was last used.
#[derive(Default)]
struct Used {
    heartbeats: BTreeMap<String, u64>,
    statuses: BTreeMap<String, u64>,
    /// Addresses that the newest heartbeat went to.
    newest: BTreeSet<String>,
}

impl Used {
    fn note(&mut self, now: u64, output: Output) {
        match output {
            Output::Peers(addresses, PeerFrame { body: Some(PeerBody::Heartbeat(_)), .. }) => {
                self.heartbeats.extend(addresses.iter().map(|address| (address.clone(), now)));
                self.newest = addresses.into_iter().collect();
            }
            Output::Subscribers(_, message) => {
                if let Some(DownstreamBody::Status(status)) = message.body {
                    self.statuses.extend(status.core.into_iter().map(|address| (address, now)));
                }
            }
            _ => {}
        }
    }
}

/// Runs a node while nodes come and go, one at a time, and returns what it used.
fn run_while_nodes_are_replaced(node: &mut ControlNode) -> Used {
    let mut used = Used::default();
    let hello = Upstream { body: Some(UpstreamBody::Hello(Hello::default())) };
    node.handle(0, Input::Subscriber(SUBSCRIBER, hello));
    for now in (0..REPLACED * REPLACED_EVERY_MS).step_by(TICK_MS as usize) {
        let mut inputs = vec![Input::Tick];
        if now.is_multiple_of(HEARTBEAT_EVERY_MS) {
            let beat = Upstream { body: Some(UpstreamBody::Hello(Hello::default())) };
            inputs.push(heartbeat(now / REPLACED_EVERY_MS, now / HEARTBEAT_EVERY_MS + 1));
            inputs.push(Input::Subscriber(SUBSCRIBER, beat));
        }
        while let Some(input) = inputs.pop() {
            for output in node.handle(now, input) {
                if let Output::Persist(token, _) = output {
                    inputs.push(Input::Persisted(token));
                }
                used.note(now, output);
            }
        }
    }
    used
}

/// Time at which the last heartbeat of node `number` came, or that of its successor, which reports it once more.
fn last_reported_at(number: u64) -> u64 {
    (number + 2) * REPLACED_EVERY_MS
}

/// Guards against heartbeats, and connection attempts with them, to every core machine that was ever there.
#[gtest]
fn core_nodes_that_nobody_reports_any_more_are_forgotten() {
    let mut node = single_node(ADDRESS);
    let used = run_while_nodes_are_replaced(&mut node);
    let forget_after = ContactSettings::default().forget_timeout_ms;
    for number in 0..REPLACED - 1 {
        let last = used.heartbeats.get(&address_of(number)).copied().unwrap_or(0);
        expect_that!(last, le(last_reported_at(number) + forget_after), "{}", address_of(number));
    }
    let most = (forget_after / REPLACED_EVERY_MS) as usize + 3;
    expect_that!(used.newest.len(), le(most));
}

/// Guards against agents that are told of core machines that are gone, and try them.
#[gtest]
fn subscribers_are_not_told_of_core_nodes_that_are_gone() {
    let mut node = single_node(ADDRESS);
    let used = run_while_nodes_are_replaced(&mut node);
    for number in 0..REPLACED - 1 {
        let gone_at = (number + 1) * REPLACED_EVERY_MS;
        let told_at = used.statuses.get(&address_of(number)).copied();
        expect_that!(told_at, some(le(gone_at + LIVENESS_MS)), "{}", address_of(number));
    }
}

/// A node that has no contact with a quorum keeps every address: at any of them it may find the others again.
#[gtest]
fn a_node_without_a_quorum_forgets_no_address() {
    let mut node = single_node(ADDRESS);
    node.replica = switchhill_register::Replica::joining(switchhill_register::ReplicaId(1), 1);
    let used = run_while_nodes_are_replaced(&mut node);
    expect_that!(used.newest.len(), eq(REPLACED as usize));
}

#[gtest]
fn heartbeats_go_to_the_seeds_that_the_settings_name_now() {
    let mut node = single_node(ADDRESS);
    let seeds: Vec<String> = (1..=3).map(address_of).collect();
    node.handle(0, Input::Seeds(seeds.clone()));
    let mut used = Used::default();
    for now in (0..LIVENESS_MS).step_by(TICK_MS as usize) {
        node.handle(now, Input::Tick).into_iter().for_each(|output| used.note(now, output));
    }
    expect_that!(used.newest, container_eq(BTreeSet::from_iter(seeds)));
}
