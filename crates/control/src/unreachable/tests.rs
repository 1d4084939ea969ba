//! Tests of which reports of gatekeepers make a worker suspected.

use super::REPORT_WINDOW_MS;
use crate::input::{Call, CallId, Input, SubscriberId};
use crate::node::ControlNode;
use crate::single_node_tests::{run, single_node};
use googletest::prelude::*;
use switchhill_protocol::{Hello, Unreachable, Upstream, UpstreamBody};

/// Time at which the node serves and its workers have registered.
const SERVING: u64 = 3_000;

/// A serving node with this number of workers of one service, each of which has just sent a heartbeat.
fn node_with_workers(count: usize) -> ControlNode {
    let mut node = single_node("10.0.0.1:7000");
    run(&mut node, 0, SERVING);
    for worker in 0..count {
        send_heartbeat(&mut node, SERVING, worker, 1);
    }
    node
}

fn send_heartbeat(node: &mut ControlNode, now: u64, worker: usize, sequence: u64) {
    let body = format!(
        r#"{{"service":"s","address":"10.0.1.{worker}:80","zone":"z","revision":"v1","slots":4,"state":"ready",
        "coldRemainingMs":0,"sequence":{sequence}}}"#
    );
    let call = Call::Heartbeat { id: format!("w{worker}"), body: body.into() };
    node.handle(now, Input::Call(CallId(worker as u64), call));
}

/// Delivers a gatekeeper's report that it could not reach a worker.
fn report(node: &mut ControlNode, now: u64, gatekeeper: u64, worker: usize, refused: bool) {
    let name = format!("edge-{gatekeeper}");
    let message = |body| Input::Subscriber(SubscriberId(gatekeeper), Upstream { body: Some(body) });
    node.handle(now, message(UpstreamBody::Hello(Hello { node: name.clone(), ..Hello::default() })));
    let report = Unreachable { node: name, worker: format!("w{worker}"), refused };
    node.handle(now, message(UpstreamBody::Unreachable(report)));
}

fn is_suspected(node: &ControlNode, worker: usize) -> bool {
    node.state.workers().get(&format!("w{worker}")).is_some_and(|worker| worker.suspected)
}

#[gtest]
fn two_refused_gatekeepers_make_a_worker_suspected_until_its_next_heartbeat() {
    let mut node = node_with_workers(6);
    report(&mut node, SERVING, 1, 0, true);
    report(&mut node, SERVING + 100, 1, 0, true);
    expect_false!(is_suspected(&node, 0), "repeated reports of one gatekeeper do not suffice");
    report(&mut node, SERVING + 200, 2, 0, true);
    expect_true!(is_suspected(&node, 0));
    expect_false!(is_suspected(&node, 1));
    send_heartbeat(&mut node, SERVING + 300, 0, 2);
    expect_false!(is_suspected(&node, 0));
}

#[gtest]
fn reports_further_apart_than_the_window_are_not_counted_together() {
    let mut node = node_with_workers(6);
    report(&mut node, SERVING, 1, 0, true);
    report(&mut node, SERVING + REPORT_WINDOW_MS, 2, 0, true);
    expect_false!(is_suspected(&node, 0));
}

#[gtest]
fn unanswered_connections_need_reports_of_three_gatekeepers() {
    let mut node = node_with_workers(6);
    report(&mut node, SERVING, 1, 0, false);
    report(&mut node, SERVING, 2, 0, false);
    expect_false!(is_suspected(&node, 0));
    report(&mut node, SERVING, 3, 0, false);
    expect_true!(is_suspected(&node, 0));
}

#[gtest]
fn at_most_a_third_of_a_service_is_suspected_because_of_reports() {
    let mut node = node_with_workers(7);
    for worker in 0..7 {
        report(&mut node, SERVING, 1, worker, true);
        report(&mut node, SERVING, 2, worker, true);
    }
    let suspected = (0..7).filter(|worker| is_suspected(&node, *worker)).count();
    expect_that!(suspected, eq(2));
}

#[gtest]
fn reports_about_unknown_workers_have_no_effect() {
    let mut node = node_with_workers(6);
    report(&mut node, SERVING, 1, 99, true);
    report(&mut node, SERVING, 2, 99, true);
    expect_that!(node.state.workers().iter().count(), eq(6));
}
