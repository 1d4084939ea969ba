//! Tests of which small changes a core node sends in a large fleet, and when.

use crate::input::{Call, CallId, Input, Output, SubscriberId};
use crate::node::ControlNode;
use crate::single_node_tests::{run, single_node};
use googletest::prelude::*;
use std::collections::BTreeMap;
use switchhill_protocol::{
    Downstream, DownstreamBody, Expectation, Hello, PeerBody, PeerFrame, PeerHeartbeat, Residency, Upstream,
    UpstreamBody,
};
use switchhill_registration::Worker;

const ADDRESS: &str = "10.0.0.1:7660";

/// Subscribers of one of nine core nodes in a fleet of 291 gatekeepers with four connections each.
const HOMES: u64 = 32;
const OTHERS: u64 = 97;
const WORKERS: u64 = 25;
/// Tick interval in milliseconds, as in the program.
const TICK_MS: u64 = 25;
const STARTED_AT: u64 = 3_000;

fn hello(id: u64, home: bool) -> Input {
    let hello = Hello { node: format!("edge-{id}"), zone: "a".to_owned(), revision: 0, home };
    Input::Subscriber(SubscriberId(id), Upstream { body: Some(UpstreamBody::Hello(hello)) })
}

fn from_placer(body: PeerBody) -> Input {
    Input::Peer(PeerFrame { from: 2, address: "10.0.0.2:7660".to_owned(), body: Some(body) })
}

fn residency(worker: u64, version: u64) -> Input {
    from_placer(PeerBody::Residency(Residency {
        worker: format!("w{worker}"),
        epoch: 1,
        version,
        models: Vec::new(),
    }))
}

fn expectation(model: u64, ready_in_ms: u64) -> Input {
    from_placer(PeerBody::Expectation(Expectation {
        service: "s".to_owned(),
        model: format!("m{model}"),
        adapter: String::new(),
        ready_in_ms: Some(ready_in_ms),
    }))
}

fn heartbeat(worker: u64, sequence: u64, model: &str) -> Input {
    let body = format!(
        r#"{{"service":"s","address":"10.1.0.{worker}:80","zone":"a","revision":"1","slots":8,"state":"ready",
        "coldRemainingMs":0,"sequence":{sequence},"models":[{{"name":"{model}"}}]}}"#
    );
    Input::Call(CallId(worker), Call::Heartbeat { id: format!("w{worker}"), body: body.into() })
}

/// A serving node with registered workers and connected subscribers.
fn node() -> ControlNode {
    let mut node = single_node(ADDRESS);
    run(&mut node, 0, STARTED_AT);
    for worker in 0..WORKERS {
        node.handle(STARTED_AT, heartbeat(worker, 1, "m0"));
    }
    for id in 0..HOMES + OTHERS {
        node.handle(STARTED_AT, hello(id, id < HOMES));
    }
    node
}

/// Messages sent to each subscriber, in order.
#[derive(Default)]
struct Sent {
    messages: BTreeMap<SubscriberId, Vec<Downstream>>,
    /// Number of messages that the node created, each for one or more subscribers.
    created: usize,
}

impl Sent {
    fn take(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            let Output::Subscribers(ids, message) = output else { continue };
            if matches!(message.body, Some(DownstreamBody::Residency(_) | DownstreamBody::Expectation(_))) {
                self.created += 1;
                ids.iter().for_each(|id| self.messages.entry(*id).or_default().push(message.clone()));
            }
        }
    }

    fn to(&self, id: u64) -> &[Downstream] {
        self.messages.get(&SubscriberId(id)).map_or(&[], Vec::as_slice)
    }

    /// Newest residency version of a worker that was sent to a subscriber.
    fn newest(&self, id: u64, worker: u64) -> Option<u64> {
        let version = |message: &Downstream| match &message.body {
            Some(DownstreamBody::Residency(residency)) if residency.worker == format!("w{worker}") => {
                Some(residency.version)
            }
            _ => None,
        };
        self.to(id).iter().filter_map(version).max()
    }
}

#[gtest]
fn the_first_change_after_a_pause_is_sent_immediately_and_the_next_to_home_subscribers_first() {
    let mut node = node();
    let mut sent = Sent::default();
    sent.take(node.handle(STARTED_AT + 300, residency(1, 1)));
    expect_that!(sent.newest(0, 1), some(eq(1)));
    expect_that!(sent.newest(HOMES, 1), some(eq(1)));
    sent.take(node.handle(STARTED_AT + 400, residency(1, 2)));
    expect_that!(sent.newest(0, 1), some(eq(2)));
    expect_that!(sent.newest(HOMES, 1), some(eq(1)));
    sent.take(node.handle(STARTED_AT + 550, Input::Tick));
    expect_that!(sent.newest(HOMES, 1), some(eq(2)));
    sent.take(node.handle(STARTED_AT + 600, expectation(1, 600)));
    expect_that!((sent.to(0).len(), sent.to(HOMES).len()), eq((3, 2)));
}

#[gtest]
fn in_a_small_fleet_changes_are_sent_immediately() {
    let mut node = single_node(ADDRESS);
    run(&mut node, 0, STARTED_AT);
    node.handle(STARTED_AT, heartbeat(1, 1, "m0"));
    for id in 0..4 {
        node.handle(STARTED_AT, hello(id, id < 2));
    }
    let mut sent = Sent::default();
    for version in 1..=100 {
        let now = STARTED_AT + 10 * version;
        sent.take(node.handle(now, residency(1, version)));
        for id in 0..4 {
            expect_that!(sent.newest(id, 1), some(eq(version)), "subscriber {id}");
        }
    }
}

#[gtest]
fn frequent_changes_cause_a_bounded_number_of_messages_per_second() {
    let mut node = node();
    let mut sent = Sent::default();
    // Each of 25 workers changes 40 times within one second, one change per millisecond.
    for ms in 0..1_000 {
        let now = STARTED_AT + ms;
        sent.take(node.handle(now, residency(ms % WORKERS, 1 + ms / WORKERS)));
        if ms % TICK_MS == 0 {
            sent.take(node.handle(now, Input::Tick));
        }
    }
    for now in [1_000, 1_100, 1_300] {
        sent.take(node.handle(STARTED_AT + now, Input::Tick));
    }
    for (id, worker) in (0..HOMES + OTHERS).flat_map(|id| (0..WORKERS).map(move |worker| (id, worker))) {
        expect_that!(sent.newest(id, worker), some(eq(40)), "worker {worker} at subscriber {id}");
    }
    // Subscribers whose home is another node get each worker once per status, not once per change.
    expect_that!(sent.to(HOMES).len(), le(25 * 6));
    expect_that!(sent.created, le(1_000 + 25 * 6));
    let written: usize = sent.messages.values().map(Vec::len).sum();
    expect_that!(written, le(1_000 * HOMES as usize + 25 * 6 * OTHERS as usize));
}

#[gtest]
fn only_the_newest_of_several_expectations_within_a_tick_is_sent() {
    let mut node = node();
    let mut sent = Sent::default();
    let now = STARTED_AT + 110;
    sent.take(node.handle(now, expectation(1, 900)));
    sent.take(node.handle(now + 1, expectation(1, 800)));
    sent.take(node.handle(now + 2, expectation(1, 700)));
    sent.take(node.handle(now + TICK_MS, Input::Tick));
    let ready = |message: &Downstream| match &message.body {
        Some(DownstreamBody::Expectation(expectation)) => expectation.ready_in_ms,
        _ => None,
    };
    let received: Vec<u64> = sent.to(0).iter().filter_map(ready).collect();
    expect_that!(received, elements_are![eq(&900), eq(&700)]);
}

#[gtest]
fn a_worker_with_a_changed_list_of_models_is_sent_to_all_subscribers() {
    let mut node = node();
    let mut received = BTreeMap::new();
    let mut take = |outputs: Vec<Output>| {
        for output in outputs {
            let Output::Subscribers(ids, Downstream { body: Some(DownstreamBody::Workers(workers)) }) =
                output
            else {
                continue;
            };
            ids.iter().for_each(|id| *received.entry(id.0).or_insert(0) += workers.entries.len());
        }
    };
    take(node.handle(STARTED_AT + 110, heartbeat(1, 2, "m1")));
    take(node.handle(STARTED_AT + 111, heartbeat(2, 2, "m1")));
    take(node.handle(STARTED_AT + 112, heartbeat(3, 2, "m1")));
    for ms in [140, 400] {
        take(node.handle(STARTED_AT + ms, Input::Tick));
    }
    for id in 0..HOMES + OTHERS {
        expect_that!(received.get(&id), some(ge(&3)), "subscriber {id}");
    }
}

/// Guards against a status whose digest covers changes that its receiver gets only later. The receiver sees a mismatch,
/// and under continuous changes it fetches the whole worker table repeatedly.
#[gtest]
fn a_status_is_sent_after_all_changes_that_its_digest_covers() {
    let mut node = node();
    let mut sequence = 1;
    let mut statuses = 0;
    let mut unsent: BTreeMap<u64, BTreeMap<String, u64>> = BTreeMap::new();
    for ms in 0..2_000 {
        let now = STARTED_AT + 100 + ms;
        let mut outputs = Vec::new();
        if ms % 7 == 0 {
            sequence += 1;
            let worker = ms % WORKERS;
            outputs.extend(node.handle(now, heartbeat(worker, sequence, &format!("m{sequence}"))));
            for id in 0..HOMES + OTHERS {
                unsent.entry(id).or_default().insert(format!("w{worker}"), sequence);
            }
        }
        if ms % TICK_MS == 0 {
            outputs.extend(node.handle(now, Input::Tick));
        }
        for output in outputs {
            let Output::Subscribers(ids, message) = output else { continue };
            match message.body {
                Some(DownstreamBody::Workers(workers)) => {
                    let entries = workers.entries.iter().filter_map(|entry| Worker::from_bytes(entry).ok());
                    let received: Vec<String> = entries.map(|worker| worker.id).collect();
                    for id in ids {
                        unsent.entry(id.0).or_default().retain(|worker, _| !received.contains(worker));
                    }
                }
                Some(DownstreamBody::Status(_)) => {
                    statuses += 1;
                    for id in ids {
                        expect_that!(unsent.get(&id.0).map_or(0, BTreeMap::len), eq(0), "subscriber {id:?}");
                    }
                }
                _ => {}
            }
        }
    }
    expect_that!(statuses, ge(7));
}

#[gtest]
fn a_heartbeat_to_core_nodes_is_sent_after_all_changes_that_its_digest_covers() {
    let mut node = node();
    let peer = PeerHeartbeat { life: 2, node: "core-2".to_owned(), ..PeerHeartbeat::default() };
    let mut unsent = 0;
    let mut heartbeats = 0;
    for ms in 0..2_000 {
        let now = STARTED_AT + 100 + ms;
        let heard = PeerHeartbeat { sequence: 1 + ms, ..peer.clone() };
        let mut outputs = node.handle(now, from_placer(PeerBody::Heartbeat(heard)));
        let changed = ms % 7 == 0;
        unsent += u64::from(changed);
        if changed {
            outputs.extend(node.handle(now, heartbeat(ms % WORKERS, 2 + ms, &format!("m{ms}"))));
        }
        if ms % TICK_MS == 0 {
            outputs.extend(node.handle(now, Input::Tick));
        }
        for output in outputs {
            match output {
                Output::Peers(_, PeerFrame { body: Some(PeerBody::WorkerUpdate(_)), .. }) => unsent = 0,
                Output::Peers(_, PeerFrame { body: Some(PeerBody::Heartbeat(_)), .. }) => {
                    heartbeats += 1;
                    expect_that!(unsent, eq(0), "at {now} ms");
                }
                _ => {}
            }
        }
    }
    expect_that!(heartbeats, ge(7));
}

#[gtest]
fn a_subscriber_that_changes_its_home_to_this_node_misses_no_change() {
    let mut node = node();
    // A status has just been sent.
    node.handle(STARTED_AT + 100, Input::Tick);
    node.handle(STARTED_AT + 110, residency(1, 1));
    node.handle(STARTED_AT + 120, residency(1, 2));
    node.handle(STARTED_AT + 135, Input::Tick);
    // The home subscribers have the change; the others would get it with the next status.
    let mut sent = Sent::default();
    sent.take(node.handle(STARTED_AT + 140, hello(HOMES, true)));
    expect_that!(sent.newest(HOMES, 1), some(eq(2)));
}
