//! Scenarios of demand on a simulated fleet, over many seeds: what is served, and what orders must keep.

mod fleet;

use fleet::load::Stream;
use fleet::scenarios::{
    adapter_streams, burst_streams, busy_streams, large_fleet, shift_streams, usual_streams,
};
use fleet::{Faults, Fleet};
use googletest::prelude::*;

const SEEDS: u64 = 20;
const RUN_MS: u64 = 34_000;
/// The longest load beside others.
const LOAD_MS: u64 = 5_200;
/// What was asked for so often counts as asked for through the run.
const ASKED_TIMES: u64 = 4;

type What = (String, Option<String>);

fn fleet(seed: u64, streams: Vec<Stream>, faults: Faults) -> Fleet {
    large_fleet(seed, streams, faults)
}

/// Runs for 34 s; returns what had been asked for four times one load before the end.
fn run_whole(fleet: &mut Fleet) -> Vec<What> {
    fleet.run(RUN_MS - LOAD_MS);
    let early = fleet.load.asked_for(ASKED_TIMES);
    fleet.run(LOAD_MS);
    early
}

/// What had been asked for four times a load before the end is served at the end, and what was asked for four times by
/// the end is served once there was time for its load too.
fn check_nothing_starves(fleet: &mut Fleet, early: &[What]) {
    let seed = fleet.seed;
    let starved = fleet.load.starved(ASKED_TIMES);
    let starved_early: Vec<&What> = starved.iter().filter(|what| early.contains(what)).collect();
    expect_that!(starved_early, is_empty(), "seed {seed}");
    fleet.run(LOAD_MS);
    let later = fleet.load.starved(ASKED_TIMES);
    let still: Vec<&What> = later.iter().filter(|what| starved.contains(what)).collect();
    expect_that!(still, is_empty(), "seed {seed}");
}

fn check_rules(fleet: &Fleet) {
    let seed = fleet.seed;
    expect_that!(fleet.checks.limit, is_empty(), "seed {seed}");
    expect_that!(fleet.checks.ceiling, is_empty(), "seed {seed}");
    expect_that!(fleet.superseded, eq(false), "seed {seed}");
}

fn print_figures(what: &str, fleet: &Fleet) {
    println!(
        "{what} seed {}: {:?} orders {} store {} warm {} adapters {} reports {} refused {}",
        fleet.seed,
        fleet.load.total(),
        fleet.checks.orders,
        fleet.checks.store_loads,
        fleet.checks.model_loads - fleet.checks.store_loads,
        fleet.checks.adapter_loads,
        fleet.reports_asked,
        fleet.checks.refused,
    );
}

#[gtest]
fn rare_models_are_served_beside_busy_ones() {
    for seed in 0..SEEDS {
        let mut fleet = fleet(seed, usual_streams(), Faults::none());
        let early = run_whole(&mut fleet);
        check_rules(&fleet);
        print_figures("usual", &fleet);
        expect_that!(fleet.load.share_in_time(), ge(0.97), "seed {seed}: {:?}", fleet.load.total());
        check_nothing_starves(&mut fleet, &early);
        expect_that!(fleet.checks.refused, eq(0), "seed {seed}");
    }
}

#[gtest]
fn copies_follow_a_shift_of_demand() {
    for seed in 0..SEEDS {
        let mut fleet = fleet(seed, shift_streams(), Faults::none());
        let early = run_whole(&mut fleet);
        check_rules(&fleet);
        print_figures("shift", &fleet);
        expect_that!(fleet.load.share_in_time(), ge(0.9), "seed {seed}: {:?}", fleet.load.total());
        check_nothing_starves(&mut fleet, &early);
    }
}

#[gtest]
fn rare_models_asked_for_at_once_come_at_the_store_rate() {
    for seed in 0..SEEDS {
        let mut fleet = fleet(seed, burst_streams(), Faults::none());
        let early = run_whole(&mut fleet);
        check_rules(&fleet);
        print_figures("burst", &fleet);
        expect_that!(fleet.load.share_in_time(), ge(0.95), "seed {seed}: {:?}", fleet.load.total());
        check_nothing_starves(&mut fleet, &early);
    }
}

#[gtest]
fn a_model_comes_back_after_its_only_holder_is_lost() {
    for seed in 0..SEEDS {
        let mut streams = busy_streams(0, 0, u64::MAX);
        streams.push(Stream::new(30, 2.0, 6_000));
        let mut fleet = fleet(seed, streams, Faults::none());
        fleet.run(12_000);
        let holders = fleet.holders("m30");
        expect_that!(holders, not(is_empty()), "seed {seed}");
        for holder in holders {
            fleet.lose_worker(&holder);
        }
        fleet.run(6_000);
        expect_that!(fleet.holders("m30"), not(is_empty()), "seed {seed}");
        check_rules(&fleet);
    }
}

#[gtest]
fn more_adapters_than_slots_are_served_in_turn() {
    for seed in 0..SEEDS {
        let mut fleet = fleet(seed, adapter_streams(), Faults::none());
        let early = run_whole(&mut fleet);
        check_rules(&fleet);
        print_figures("adapters", &fleet);
        expect_that!(fleet.load.share_in_time(), ge(0.95), "seed {seed}: {:?}", fleet.load.total());
        check_nothing_starves(&mut fleet, &early);
    }
}

#[gtest]
fn nothing_is_ordered_while_nothing_is_asked_for() {
    let mut fleet = fleet(1, Vec::new(), Faults::none());
    fleet.run(20_000);
    expect_that!(fleet.checks.orders, eq(0));
    expect_that!(fleet.reports_asked, eq(18));
}
