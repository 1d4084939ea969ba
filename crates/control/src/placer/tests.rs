//! Tests of who may take the placer's role.

use crate::input::{Input, NodeSettings, Output};
use crate::node::ControlNode;
use googletest::prelude::*;
use switchhill_register::{Member, ReplicaId};

/// A core of one machine. All machines of these tests bear one name.
fn node(address: &str, fencing: bool) -> ControlNode {
    let settings = NodeSettings {
        replica: 1,
        life: 1,
        node_name: "core".to_owned(),
        address: address.to_owned(),
        seeds: vec![address.to_owned()],
        machines_lost: 0,
        zone: String::new(),
        zones_lost: 0,
        worker_heartbeat_ms: 1_200,
        lease_ms: 2_000,
        ceiling_window_ms: 10_000,
        fencing,
        seed: 1,
    };
    let member = Member { id: ReplicaId(1), address: address.to_owned() };
    ControlNode::new(0, settings, Vec::new(), Some(vec![member]))
}

/// Lets time pass on a disk that writes at once.
fn run_until_placer(node: &mut ControlNode) {
    for now in (0..4_000).step_by(25) {
        let mut outputs = node.handle(now, Input::Tick);
        while let Some(output) = outputs.pop() {
            if let Output::Persist(token, _) = output {
                outputs.extend(node.handle(now, Input::Persisted(token)));
            }
        }
    }
    expect_that!(node.placer_epoch(), some(gt(0)));
}

/// A holder is one machine: another one under the same name neither goes on in its place nor begins without the pause.
#[gtest]
fn a_machine_under_the_name_of_the_placer_is_another_holder() {
    let mut former = node("10.0.0.1:7000", true);
    run_until_placer(&mut former);
    let grant = former.control.placer.clone().expect("a grant");

    let mut same_machine = node("10.0.0.1:7000", true);
    same_machine.placer_seen(Some(grant.clone()));
    expect_that!(same_machine.may_take_placer(10), eq(true));

    let mut other = node("10.0.0.2:7000", true);
    other.placer_seen(Some(grant.clone()));
    expect_that!(other.may_take_placer(10), eq(false));

    let next = former.control.grant_placer(other.settings.holder()).placer;
    other.placer_granted(4_000, next, Some(grant.holder));
    expect_that!(other.placer.acts(4_000), none());
    expect_that!(other.placer.acts(4_000 + super::FORMER_MAY_GO_ON), some(gt(0)));
}
