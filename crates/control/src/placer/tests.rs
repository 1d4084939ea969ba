//! Tests of who may take the placer's role.

use crate::lone_node_tests::{lone_node, run};
use googletest::prelude::*;

/// A holder is one machine: another one under the same name neither goes on in its place nor begins without the pause.
#[gtest]
fn a_machine_under_the_name_of_the_placer_is_another_holder() {
    let mut former = lone_node("10.0.0.1:7000");
    run(&mut former, 0, 4_000);
    expect_that!(former.placer_epoch(), some(gt(0)));
    let grant = former.control.placer.clone().expect("a grant");

    let mut same_machine = lone_node("10.0.0.1:7000");
    same_machine.placer_seen(Some(grant.clone()));
    expect_that!(same_machine.may_take_placer(10), eq(true));

    let mut other = lone_node("10.0.0.2:7000");
    other.placer_seen(Some(grant.clone()));
    expect_that!(other.may_take_placer(10), eq(false));

    let next = former.control.grant_placer(other.settings.holder()).placer;
    other.placer_seen(next.clone());
    other.placer_granted(4_000, next, Some(grant.holder));
    expect_that!(other.placer.acts(4_000), none());
    expect_that!(other.placer.acts(4_000 + super::FORMER_MAY_GO_ON), some(gt(0)));
}
