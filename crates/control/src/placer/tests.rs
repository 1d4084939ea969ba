//! Tests of which node may acquire the placer role.

use crate::single_node_tests::{run, single_node};
use googletest::prelude::*;

/// Guards against identifying the holder by its node name: a machine with the same name must neither continue the role
/// nor start it without the pause.
#[gtest]
fn a_machine_with_the_node_name_of_the_placer_is_a_different_holder() {
    let mut former = single_node("10.0.0.1:7000");
    run(&mut former, 0, 4_000);
    expect_that!(former.placer_epoch(), some(gt(0)));
    let grant = former.control.placer.clone().expect("a grant");

    let mut same_machine = single_node("10.0.0.1:7000");
    same_machine.placer_committed(Some(grant.clone()));
    expect_that!(same_machine.may_acquire_placer_role(10), eq(true));

    let mut other = single_node("10.0.0.2:7000");
    other.placer_committed(Some(grant.clone()));
    expect_that!(other.may_acquire_placer_role(10), eq(false));

    let next = former.control.grant_placer(other.settings.holder()).placer;
    other.placer_committed(next.clone());
    other.placer_granted(4_000, next, Some(grant.holder));
    expect_that!(other.placer.active_epoch(4_000), none());
    expect_that!(other.placer.active_epoch(4_000 + super::FORMER_PLACER_GRACE_MS), some(gt(0)));
}
