//! A small hollow fleet runs, and what reaches a gatekeeper is counted.

use googletest::prelude::*;
use switchhill_lab::hollow::{run, Direction, Report, Role, Sizes};

const SECONDS: u64 = 3;

fn small(workers: usize) -> Report {
    run(Sizes { gatekeepers: 4, workers, models: 12, cores: 5 }, SECONDS, 1)
}

#[gtest]
fn a_small_fleet_has_its_configuration_in_force() {
    expect_that!(small(8).lowest_revision, ge(1));
}

#[gtest]
fn bytes_at_a_gatekeeper_are_counted_by_kind() {
    let report = small(8);
    let status = report.count(Role::Agent, Direction::Received, "status");
    let loads = report.count(Role::Agent, Direction::Received, "loads");
    // Three links with a status each 250 ms; the home alone tells loads.
    expect_that!(status.messages, ge(4 * SECONDS * 4 * 3 - 12));
    expect_that!(loads.messages, all![ge(4 * SECONDS * 4 - 4), le(4 * SECONDS * 4 + 4)]);
    expect_that!(loads.bytes, gt(loads.messages * 8 * 14));
    let counted = (status.bytes + loads.bytes) as f64 / (SECONDS as f64 * 4.0);
    expect_that!(report.bytes_per_gatekeeper(), ge(counted));
}

#[gtest]
fn every_received_frame_was_sent() {
    let report = small(8);
    let sent = |kind| {
        let of = |role| report.count(role, Direction::Sent, kind).messages;
        of(Role::Core) + of(Role::Placer)
    };
    let received = report.count(Role::Agent, Direction::Received, "loads").messages;
    expect_that!(received.abs_diff(sent("loads")), le(4));
}

#[gtest]
fn loads_at_a_gatekeeper_grow_with_the_workers() {
    let (few, many) = (small(8), small(32));
    let bytes = |report: &Report| report.count(Role::Agent, Direction::Received, "loads").bytes;
    expect_that!(bytes(&many), gt(bytes(&few)));
}
