//! The register under faults, by seed.

mod simulation;

use googletest::prelude::*;
use simulation::faults::Plan;
use simulation::World;

const WITH_CHANGES: Plan = Plan { spares: 2, reconfigure: true, wipe: true, ..Plan::steady(3) };

/// What many days came to.
#[derive(Debug, Default)]
struct Days {
    played: usize,
    written: usize,
    deltas_sent: usize,
    values_needed: usize,
    /// Seeds of days on which the register could not be read in the end.
    unread: Vec<u64>,
    violations: Vec<String>,
}

fn play(plan: Plan, seeds: std::ops::Range<u64>) -> Days {
    let mut days = Days::default();
    for seed in seeds {
        days.played += 1;
        match World::new(seed, plan).run() {
            Ok(day) => {
                days.written += day.written;
                days.deltas_sent += day.deltas_sent;
                days.values_needed += day.values_needed;
                if !day.last_read {
                    days.unread.push(seed);
                }
            }
            Err(violation) => days.violations.push(format!("seed {seed}: {}", violation.0)),
        }
    }
    days
}

fn expect_sound(days: &Days) {
    expect_that!(days.violations, is_empty());
    expect_that!(days.unread, is_empty(), "seeds on which the register could not be read in the end");
    expect_that!(days.written, gt(days.played), "writes over all days");
    expect_that!(days.deltas_sent, gt(days.written), "proposals told by a difference over all days");
    expect_that!(days.values_needed, gt(0), "whole values asked for over all days");
}

#[gtest]
fn three_steady_replicas_keep_one_chain() {
    expect_sound(&play(Plan::steady(3), 0..300));
}

#[gtest]
fn five_steady_replicas_keep_one_chain() {
    expect_sound(&play(Plan::steady(5), 0..200));
}

#[gtest]
fn replicas_that_change_and_lose_disks_keep_one_chain() {
    expect_sound(&play(WITH_CHANGES, 0..500));
}

#[gtest]
fn disks_that_forget_are_found() {
    let days = play(Plan { disks_forget: true, ..Plan::steady(3) }, 0..50);
    expect_that!(days.violations, not(is_empty()));
}

#[gtest]
fn a_wiped_replica_that_keeps_its_id_is_found() {
    let days = play(Plan { wipe: true, wiped_keeps_id: true, ..Plan::steady(3) }, 0..100);
    expect_that!(days.violations, not(is_empty()));
}

/// Run by hand, optimized: `cargo test --release -p switchhill-register --test faults_by_seed -- --ignored`.
#[gtest]
#[ignore = "takes minutes"]
fn many_days_keep_one_chain() {
    expect_sound(&play(Plan { spares: 3, ..WITH_CHANGES }, 1_000..11_000));
}

/// As [`many_days_keep_one_chain`], from a larger electorate.
#[gtest]
#[ignore = "takes minutes"]
fn many_days_of_five_keep_one_chain() {
    expect_sound(&play(Plan { seeds: 5, ..WITH_CHANGES }, 1_000..6_000));
}
