//! Scripted scenarios for the answers of partitioned, frozen and restarted core nodes.

mod simulation;

use bytes::Bytes;
use googletest::prelude::*;
use simulation::faults::Fault;
use simulation::node_settings::node_settings;
use simulation::operator::order;
use simulation::{Plan, World};
use std::collections::BTreeSet;
use switchhill_control::{Call, CallId, ControlNode, Input, NodeSettings, Output};
use switchhill_protocol::{PeerBody, PeerFrame, PeerHeartbeat, RegisterEnvelope};
use switchhill_register::{Accepted, Ballot, Body, Electorate, Member, Message, Record, ReplicaId, Value};

/// Length of a partition, as reported by operators.
const LONG_PARTITION_MS: u64 = 20_000;

/// Three core nodes and their agents, all on revision 3.
fn settled(edges: usize) -> World {
    let mut world = World::new(Plan::script(3, edges));
    world.run_for(2_000);
    change(&mut world, 0, 0, 3);
    world.run_for(1_000);
    for edge in &world.edges {
        assert!(edge.is_ready() && edge.feed.state().revision() == 3, "edge {}", edge.index);
    }
    world
}

/// Makes a change through a core node, which must be accepted.
fn change(world: &mut World, core: usize, base: u64, revision: u64) {
    let id = world.script_call(core, Call::Change(order(revision as usize, base, revision, true)));
    world.run_for(400);
    assert_eq!(status(world, id), 200, "{:?}", world.answers.get(&id));
}

fn status(world: &World, id: CallId) -> u16 {
    world.answers.get(&id).map_or(0, |answer| answer.status)
}

fn code(world: &World, id: CallId) -> u64 {
    let body = world.answers.get(&id).map(|answer| answer.body.clone()).unwrap_or_default();
    let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
    body["code"].as_u64().unwrap_or(0)
}

fn partition(hosts: &[usize], out: bool, into: bool) -> Fault {
    Fault::Partition { hosts: hosts.to_vec(), out, into }
}

fn heartbeat(state: &str) -> Bytes {
    Bytes::from(format!(
        r#"{{"service":"s","address":"a","zone":"z","revision":"v1","slots":4,"state":"{state}","coldRemainingMs":0,"sequence":4}}"#
    ))
}

fn draining(worker: &str) -> Call {
    Call::Heartbeat { id: worker.to_owned(), body: heartbeat("draining") }
}

#[gtest]
fn node_isolated_for_twenty_seconds_neither_answers_refuses_nor_confirms() {
    for (out, into) in [(true, true), (true, false), (false, true)] {
        let mut world = settled(0);
        world.fault(&partition(&[2], out, into));
        world.run_for(950);
        change(&mut world, 0, 3, 5);
        let calls = [
            Call::Read,
            Call::Change(order(9, 3, 5, true)),
            Call::Change(order(9, 3, 5, false)),
            Call::Change(order(5, 3, 5, true)),
            draining("w"),
            Call::Heartbeat { id: "w".to_owned(), body: heartbeat("ready") },
            Call::Deregister { id: "w".to_owned() },
        ];
        for after in [0, 5_000, LONG_PARTITION_MS - 6_000] {
            world.run_for(after);
            for call in &calls {
                let id = world.script_call(2, call.clone());
                world.run_for(10);
                expect_that!((status(&world, id), code(&world, id)), eq((503, 3000)), "{call:?}");
            }
        }
        world.fault(&Fault::Heal);
        world.run_for(1_000);
        let id = world.script_call(2, Call::Change(order(5, 3, 5, true)));
        world.run_for(200);
        expect_that!((status(&world, id), code(&world, id)), eq((200, 2001)));
        expect_that!(world.checkers.violations, is_empty(), "out {out}, into {into}");
    }
}

#[gtest]
fn agent_restarted_beside_an_isolated_node_adopts_nothing_until_the_partition_ends() {
    for partition_before in [100, 1_500] {
        let mut world = settled(2);
        world.fault(&partition(&[2, 3], true, true));
        world.run_for(1_000);
        change(&mut world, 0, 3, 5);
        world.run_for(partition_before);
        world.fault(&Fault::RestartEdge(0));
        for _ in 0..LONG_PARTITION_MS / 500 {
            world.run_for(500);
            let edge = &world.edges[0];
            expect_that!((edge.feed.state().revision(), edge.is_ready()), eq((0, false)));
        }
        expect_that!(world.edges[1].feed.state().revision(), eq(5));
        world.fault(&Fault::Heal);
        world.run_for(2_000);
        let edge = &world.edges[0];
        expect_that!((edge.feed.state().revision(), edge.is_ready()), eq((5, true)));
        expect_that!(world.checkers.violations, is_empty());
    }
}

#[gtest]
fn data_plane_restarted_with_an_isolated_agent_is_not_ready_until_the_partition_ends() {
    let mut world = settled(2);
    world.fault(&partition(&[3], true, true));
    world.run_for(1_500);
    change(&mut world, 0, 3, 5);
    world.restart_data_plane(0);
    for _ in 0..LONG_PARTITION_MS / 500 {
        world.run_for(500);
        expect_false!(world.edges[0].is_ready());
    }
    world.fault(&Fault::Heal);
    world.run_for(2_000);
    let edge = &world.edges[0];
    expect_that!((edge.feed.state().revision(), edge.is_ready()), eq((5, true)));
}

#[gtest]
fn agent_frozen_at_its_start_does_not_adopt_messages_queued_meanwhile() {
    // Freezes the agent at each point of its start, so that messages of the nodes queue on its connections.
    for moment in 0..60 {
        let mut frozen = settled(2);
        frozen.fault(&Fault::RestartEdge(0));
        frozen.run_for(2 * moment);
        frozen.fault(&Fault::FreezeEdge(0));
        let before = frozen.edges[0].relay.state().revision();
        frozen.run_for(300);
        change(&mut frozen, 0, 3, 5);
        frozen.run_for(2_500);
        frozen.fault(&partition(&[3], true, true));
        frozen.fault(&Fault::ThawEdge(0));
        frozen.run_for(3_000);
        expect_that!(frozen.edges[0].relay.state().revision(), eq(before), "frozen after {} ms", 2 * moment);
        expect_that!(frozen.checkers.violations, is_empty());
    }
}

#[gtest]
fn read_begun_before_a_freeze_is_not_answered_after_it() {
    for moment in 0..12 {
        let mut world = settled(0);
        let id = world.script_call(0, Call::Read);
        world.run_for(moment);
        let answered_before = status(&world, id);
        world.fault(&Fault::Freeze(0));
        world.run_for(1_000);
        change(&mut world, 1, 3, 5);
        world.run_for(LONG_PARTITION_MS);
        world.fault(&Fault::Thaw(0));
        world.run_for(1_000);
        let expected = if answered_before == 200 { 200 } else { 503 };
        expect_that!(status(&world, id), eq(expected), "frozen after {moment} ms");
        let id = world.script_call(0, Call::Read);
        world.run_for(100);
        expect_that!(status(&world, id), eq(200));
        let body = String::from_utf8_lossy(&world.answers[&id].body).into_owned();
        expect_that!(body, contains_substring("\"revision\":5"));
    }
}

#[gtest]
fn end_of_a_worker_settled_by_answers_from_before_a_freeze_is_acknowledged_only_in_contact() {
    for moment in 0..12 {
        let mut world = settled(0);
        let id = world.script_call(0, draining("w"));
        world.run_for(moment);
        let answered_before = status(&world, id);
        world.fault(&Fault::Freeze(0));
        world.run_for(LONG_PARTITION_MS);
        world.fault(&partition(&[0], true, true));
        world.fault(&Fault::Thaw(0));
        world.run_for(2_000);
        let expected = if answered_before == 200 { 200 } else { 503 };
        expect_that!(status(&world, id), eq(expected), "frozen after {moment} ms");
    }
}

/// A heartbeat of another node, which makes the receiving node count its sender as heard.
fn heartbeat_from(from: u64) -> PeerFrame {
    let heartbeat =
        PeerHeartbeat { sequence: 1, node: "other".to_owned(), life: 9, ..PeerHeartbeat::default() };
    PeerFrame { from, address: format!("other-{from}"), body: Some(PeerBody::Heartbeat(heartbeat)) }
}

fn settings(replica: u64, incarnation: u64) -> NodeSettings {
    NodeSettings {
        seed: 1,
        ..node_settings(replica, incarnation, "here".to_owned(), vec!["here".to_owned()])
    }
}

/// Update numbers that a node uses when it asks other nodes to acknowledge a worker's shutdown.
fn update_numbers(incarnation: u64) -> BTreeSet<u64> {
    let members = vec![Member { id: ReplicaId(1), address: "here".to_owned() }];
    let mut node = ControlNode::new(0, settings(1, incarnation), Vec::new(), Some(members));
    let mut numbers = BTreeSet::new();
    let mut inputs = vec![Input::Tick, Input::Peer(heartbeat_from(7)), Input::Tick];
    inputs.extend((0..40).map(|call| Input::Call(CallId(call), draining(&format!("w{call}")))));
    let mut now = 0;
    for input in inputs {
        now += 110;
        let mut waiting = vec![Input::Tick, input];
        while let Some(input) = waiting.pop() {
            for output in node.handle(now, input) {
                match output {
                    Output::Persist(token, _) => waiting.push(Input::Persisted(token)),
                    Output::Peers(_, PeerFrame { body: Some(PeerBody::WorkerUpdate(update)), .. }) => {
                        numbers.insert(update.number);
                    }
                    _ => {}
                }
            }
        }
        node.handle(now, Input::Peer(heartbeat_from(7)));
    }
    numbers.remove(&0);
    numbers
}

#[gtest]
fn acknowledgement_to_an_earlier_incarnation_fits_no_shutdown_of_this_one() {
    let (first, second) = (update_numbers(0x1234_5678), update_numbers(0x9abc_def0));
    expect_that!(first.len(), ge(10));
    expect_that!(first.intersection(&second).count(), eq(0));
}

#[gtest]
fn node_that_has_missed_a_change_of_the_electorate_stops_serving() {
    let mut world = settled(0);
    // Nodes 0 and 1 stay in contact and are a majority of the electorate known to node 0, but node 1 has accepted
    // another electorate.
    let accepted = world.cores[1].disk.iter().filter_map(|record| match Record::decode(record) {
        Ok(Record::Accepted(accepted)) => Some(accepted),
        _ => None,
    });
    let last = accepted.max_by_key(|accepted: &Accepted| accepted.ballot).expect("a value was accepted");
    let before = last.value.electorate.clone();
    let other = |id: u64| Member { id: ReplicaId(id), address: format!("core-{}", id - 100) };
    let joint = Electorate {
        epoch: before.epoch + 1,
        members: vec![other(102), other(103), other(104)],
        joint_with: before.members,
    };
    let ballot = Ballot { counter: last.ballot.counter + 50, proposer: ReplicaId(102) };
    let mut lineage = last.value.lineage.clone();
    lineage.push(ballot);
    let value = Value { electorate: joint, data: last.value.data.clone(), lineage };
    let message = Message { to: ReplicaId(101), body: Body::Accept { ballot, value } };
    let envelope = RegisterEnvelope { to: 101, message: message.encode() };
    let frame =
        PeerFrame { from: 102, address: "core-2".to_owned(), body: Some(PeerBody::Register(envelope)) };
    world.fault(&partition(&[2], true, true));
    world.core_input(1, Input::Peer(frame));
    world.run_for(2_000);
    for core in [0, 1] {
        for call in [Call::Read, draining("w"), Call::Deregister { id: "w".to_owned() }] {
            let id = world.script_call(core, call.clone());
            world.run_for(1_000);
            expect_that!(status(&world, id), eq(503), "core {core}: {call:?}");
        }
    }
}

#[gtest]
fn node_that_is_back_serves_only_what_was_decided_meanwhile() {
    for moment in 0..80 {
        let mut world = settled(1);
        world.fault(&partition(&[2], true, true));
        world.run_for(1_000 + 7 * moment);
        change(&mut world, 0, 3, 5);
        world.run_for(2_000);
        // Messages that bring the node up to date may be lost.
        world.plan.disruption_per_mille = 300;
        world.fault(&Fault::Heal);
        world.run_for(4_000);
        expect_that!(
            world.checkers.oldest_revision_sent_by(2),
            some(eq(5)),
            "partitioned for {} ms",
            3_400 + 7 * moment
        );
    }
}

#[gtest]
fn isolated_placer_orders_nothing_after_its_last_contact() {
    for seed in 0..120 {
        let plan = Plan { seed, operators: 2, workers: 2, ..Plan::script(3, 3) };
        let mut world = World::new(plan);
        world.run_for(6_000 + 37 * seed);
        let placer = world.checkers.last_placer.expect("an order was given");
        world.fault(&partition(&[placer], true, true));
        world.run_for(5_000);
        expect_that!(world.checkers.violations, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn former_placer_that_only_its_successor_does_not_hear_stops_before_the_successor_begins() {
    let mut taken_over = 0;
    for seed in 0..12 {
        let plan = Plan { seed, operators: 2, workers: 2, ..Plan::script(3, 3) };
        let mut world = World::new(plan);
        world.run_for(6_000 + 37 * seed);
        let former = world.checkers.last_placer.expect("an order was given");
        let successor = (0..3).find(|core| *core != former).expect("another core");
        // The former placer stays in contact with the third node, but register messages with the new grant are dropped.
        world.fault(&Fault::PartitionPair(former, successor));
        world.register_unreachable = Some(former);
        world.run_for(9_000);
        taken_over += usize::from(world.checkers.last_placer == Some(successor));
        expect_that!(world.checkers.violations, is_empty(), "seed {seed}");
    }
    // With the other seeds there was nothing left to order.
    expect_that!(taken_over, ge(8));
}
