//! Tests of applying orders to a state, and of jobs that end after the state has changed.

use super::{apply_decision, Job, NextValue};
use crate::node::ControlNode;
use crate::single_node_tests::{only_member, run, single_node};
use bytes::Bytes;
use googletest::prelude::*;
use switchhill_configuration::{ControlState, Order, OrderKind};
use switchhill_register::{Accepted, Ballot, Electorate, Member, ReplicaId, Value};

fn order(base_version: u64, revision: u64) -> Order {
    let body = format!("{{\"revision\":{revision},\"routes\":[],\"services\":[],\"limits\":{{}}}}");
    Order { kind: OrderKind::Replace, base_version, body: Bytes::from(body) }
}

fn state_after(first: &Order) -> (ControlState, Bytes) {
    let (value, _) = apply_decision(ControlState::default().decide(first), None, true);
    let Some(NextValue::New(state)) = value else { panic!("the first order is taken, not {value:?}") };
    let data = Bytes::from(state.encode());
    (ControlState::decode(&data).expect("a state that was encoded"), data)
}

#[gtest]
fn an_order_is_refused_immediately_if_the_state_is_chosen() {
    let (state, data) = state_after(&order(0, 3));
    let (write, answer) = apply_decision(state.decide(&order(0, 4)), Some(data), true);
    expect_that!(write, none());
    expect_that!(answer.status, eq(412));
}

#[gtest]
fn an_order_is_refused_only_after_the_conflicting_state_is_written_again() {
    let (state, data) = state_after(&order(0, 3));
    let (write, answer) = apply_decision(state.decide(&order(0, 4)), Some(data.clone()), false);
    expect_that!(write, some(eq(&NextValue::Same(data))));
    expect_that!(answer.status, eq(412));
}

const ADDRESS: &str = "10.0.0.1:7000";

fn node() -> ControlNode {
    single_node(ADDRESS)
}

fn member() -> Member {
    only_member(ADDRESS)
}

fn chosen(counter: u64, state: &ControlState) -> Accepted {
    let ballot = Ballot { counter, proposer: ReplicaId(1) };
    let electorate = Electorate { epoch: 1, members: vec![member()], joint_with: Vec::new() };
    let value = Value { electorate, data: Bytes::from(state.encode()), lineage: vec![ballot] };
    Accepted { ballot, value }
}

/// Guards against applying the result of an electorate change, its joint value, after a newer value has been chosen.
#[gtest]
fn a_job_that_ends_with_an_older_value_does_not_revert_the_state() {
    let mut node = node();
    let older = ControlState::default().grant_placer("core-1");
    let newer = older.grant_placer("core-2");
    node.apply_committed(0, &chosen(5, &newer));
    node.jobs.current = Some((1, Job::Electorate));
    node.job_done(1, 1, Ok(chosen(4, &older)));
    expect_that!(node.control, eq(&newer));
}

/// Guards against writing an electorate change that is outdated because the electorate was replaced while the change
/// was queued. The members are computed from the prepared value.
#[gtest]
fn a_change_computed_from_an_older_electorate_is_not_written() {
    let mut node = node();
    run(&mut node, 0, 4_000);
    let before = node.replica.accepted_ballot();
    expect_that!(before, gt(Ballot::NONE), "the node is placer: the register has a value");

    let present = node.replica.committed().cloned().expect("a value that is chosen");
    let other = Member { id: ReplicaId(2), address: "10.0.0.2:7000".to_owned() };
    let mut former = present.clone();
    former.value.electorate.members.push(other);
    expect_that!(node.members_to_write(4_000, Some(&former)), some(eq(&vec![member()])));
    expect_that!(node.members_to_write(4_000, Some(&present)), none());

    node.jobs.push(Job::Electorate);
    run(&mut node, 4_000, 4_500);
    expect_that!(node.replica.accepted_ballot(), eq(before));
}
