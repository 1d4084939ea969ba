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
    // A status has addresses of five core nodes and figures of fixed length; load is told as changes, each worker's at
    // least once at each of four gatekeepers.
    expect_that!(status.bytes, all![ge(status.messages * 5 * 13), le(status.messages * 5 * 30)]);
    expect_that!(loads.bytes, ge(loads.messages * 5 + 4 * 8 * 14));
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

/// Bytes of a message of load: entries of 64 workers and 16 routes with the ids of the hollow fleet.
const LARGEST_LOADS: u64 = 64 * 20 + 16 * 34 + 16;

#[gtest]
fn a_message_of_load_is_bounded_whatever_the_fleet() {
    for workers in [40, 400] {
        let report = small(workers);
        let loads = report.count(Role::Agent, Direction::Received, "loads");
        expect_that!(loads.bytes, le(loads.messages * LARGEST_LOADS), "{workers} workers");
        // Requests last 12 s: between two summaries hardly any begins or ends.
        let summaries = report.count(Role::Agent, Direction::Sent, "summary");
        expect_that!(summaries.bytes, le(summaries.messages * 12_000), "{workers} workers");
    }
}

#[gtest]
fn loads_told_as_changes_are_near_those_that_are_out() {
    for workers in [8, 90, 400] {
        let error = small(workers).load_error;
        expect_that!(error, le(0.08), "{workers} workers");
    }
}

#[gtest]
fn a_drain_is_in_force_at_once_whatever_the_fleet() {
    for workers in [8, 90, 400] {
        let drain = small(workers).drain;
        // Four messages of 1 ms: to a core node, to the others, their acknowledgements, and the answer.
        expect_that!(drain.acknowledged_ms, some(le(8)), "{workers} workers");
        expect_that!(drain.in_force_ms, some(le(8)), "{workers} workers");
    }
}
