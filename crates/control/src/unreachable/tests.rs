//! When gatekeepers' reports make a worker suspected, and when not.

use super::COUNTED_FOR;
use crate::input::{Call, CallId, Input, SubscriberId};
use crate::lone_node_tests::{lone_node, run};
use crate::node::ControlNode;
use googletest::prelude::*;
use switchhill_protocol::{Hello, Unreachable, Upstream, UpstreamBody};

/// When the node of these tests serves and knows its workers.
const SERVING: u64 = 3_000;

/// A node that serves, with so many workers of one service, which have just beaten.
fn node_with_workers(count: usize) -> ControlNode {
    let mut node = lone_node("10.0.0.1:7000");
    run(&mut node, 0, SERVING);
    for worker in 0..count {
        beat(&mut node, SERVING, worker, 1);
    }
    node
}

fn beat(node: &mut ControlNode, now: u64, worker: usize, sequence: u64) {
    let body = format!(
        r#"{{"service":"s","address":"10.0.1.{worker}:80","zone":"z","revision":"v1","slots":4,"state":"ready",
        "coldRemainingMs":0,"sequence":{sequence}}}"#
    );
    let call = Call::Heartbeat { id: format!("w{worker}"), body: body.into() };
    node.handle(now, Input::Call(CallId(worker as u64), call));
}

/// A gatekeeper's report that it could not reach a worker.
fn report(node: &mut ControlNode, now: u64, gatekeeper: u64, worker: usize, refused: bool) {
    let name = format!("edge-{gatekeeper}");
    let told = |body| Input::Subscriber(SubscriberId(gatekeeper), Upstream { body: Some(body) });
    node.handle(now, told(UpstreamBody::Hello(Hello { node: name.clone(), ..Hello::default() })));
    let report = Unreachable { node: name, worker: format!("w{worker}"), refused };
    node.handle(now, told(UpstreamBody::Unreachable(report)));
}

fn is_suspected(node: &ControlNode, worker: usize) -> bool {
    node.state.workers().get(&format!("w{worker}")).is_some_and(|worker| worker.suspected)
}

#[gtest]
fn two_gatekeepers_that_were_refused_make_a_worker_suspected_until_it_beats() {
    let mut node = node_with_workers(6);
    report(&mut node, SERVING, 1, 0, true);
    report(&mut node, SERVING + 100, 1, 0, true);
    expect_false!(is_suspected(&node, 0), "one gatekeeper, however often, is not enough");
    report(&mut node, SERVING + 200, 2, 0, true);
    expect_true!(is_suspected(&node, 0));
    expect_false!(is_suspected(&node, 1));
    beat(&mut node, SERVING + 300, 0, 2);
    expect_false!(is_suspected(&node, 0));
}

#[gtest]
fn reports_that_lie_too_far_apart_do_not_count_together() {
    let mut node = node_with_workers(6);
    report(&mut node, SERVING, 1, 0, true);
    report(&mut node, SERVING + COUNTED_FOR, 2, 0, true);
    expect_false!(is_suspected(&node, 0));
}

#[gtest]
fn connections_without_an_answer_need_three_gatekeepers() {
    let mut node = node_with_workers(6);
    report(&mut node, SERVING, 1, 0, false);
    report(&mut node, SERVING, 2, 0, false);
    expect_false!(is_suspected(&node, 0));
    report(&mut node, SERVING, 3, 0, false);
    expect_true!(is_suspected(&node, 0));
}

#[gtest]
fn no_more_than_a_third_of_a_service_is_suspected_for_reports() {
    let mut node = node_with_workers(7);
    for worker in 0..7 {
        report(&mut node, SERVING, 1, worker, true);
        report(&mut node, SERVING, 2, worker, true);
    }
    let suspected = (0..7).filter(|worker| is_suspected(&node, *worker)).count();
    expect_that!(suspected, eq(2));
}

#[gtest]
fn reports_of_workers_that_nobody_knows_change_nothing() {
    let mut node = node_with_workers(6);
    report(&mut node, SERVING, 1, 99, true);
    report(&mut node, SERVING, 2, 99, true);
    expect_that!(node.state.workers().iter().count(), eq(6));
}
