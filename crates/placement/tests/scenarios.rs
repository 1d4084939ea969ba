//! Demand scenarios on a simulated fleet, over many seeds: share of requests served in time, starvation and invariants.

mod fleet;

use fleet::load::Stream;
use fleet::scenarios::{
    adapter_streams, burst_streams, busy_streams, large_fleet, shift_streams, steady_streams,
};
use fleet::{Faults, Fleet};
use googletest::prelude::*;

const SEEDS: u64 = 20;
const RUN_MS: u64 = 34_000;
/// Longest duration of a load on a busy worker.
const LOAD_MS: u64 = 5_200;
/// Number of requests from which a model or adapter must be served.
const MIN_REQUESTS: u64 = 4;

type Servable = (String, Option<String>);

fn fleet(seed: u64, streams: Vec<Stream>, faults: Faults) -> Fleet {
    large_fleet(seed, streams, faults)
}

/// Runs for 34 s; returns what had been requested [`MIN_REQUESTS`] times one load duration before the end.
fn run_scenario(fleet: &mut Fleet) -> Vec<Servable> {
    fleet.run(RUN_MS - LOAD_MS);
    let early = fleet.load.requested_at_least(MIN_REQUESTS);
    fleet.run(LOAD_MS);
    early
}

/// Checks that everything in `early` has been served, and that everything else requested [`MIN_REQUESTS`] times is
/// served after the duration of another load.
fn check_nothing_starves(fleet: &mut Fleet, early: &[Servable]) {
    let seed = fleet.seed;
    let starved = fleet.load.starved(MIN_REQUESTS);
    let starved_early: Vec<&Servable> = starved.iter().filter(|servable| early.contains(servable)).collect();
    expect_that!(starved_early, is_empty(), "seed {seed}");
    fleet.run(LOAD_MS);
    let later = fleet.load.starved(MIN_REQUESTS);
    let still: Vec<&Servable> = later.iter().filter(|servable| starved.contains(servable)).collect();
    expect_that!(still, is_empty(), "seed {seed}");
}

fn check_invariants(fleet: &Fleet) {
    let seed = fleet.seed;
    expect_that!(fleet.checks.capacity_violations, is_empty(), "seed {seed}");
    expect_that!(fleet.checks.rate_violations, is_empty(), "seed {seed}");
    expect_that!(fleet.superseded, eq(false), "seed {seed}");
}

fn print_figures(scenario: &str, fleet: &Fleet) {
    println!(
        "{scenario} seed {}: {:?} orders {} store {} warm {} adapters {} reports {} refused {}",
        fleet.seed,
        fleet.load.total(),
        fleet.checks.orders,
        fleet.checks.store_loads,
        fleet.checks.model_loads - fleet.checks.store_loads,
        fleet.checks.adapter_loads,
        fleet.reports_requested,
        fleet.checks.busy_answers,
    );
}

#[gtest]
fn rarely_requested_models_are_served_besides_busy_ones() {
    for seed in 0..SEEDS {
        let mut fleet = fleet(seed, steady_streams(), Faults::none());
        let early = run_scenario(&mut fleet);
        check_invariants(&fleet);
        print_figures("steady", &fleet);
        expect_that!(fleet.load.share_in_time(), ge(0.97), "seed {seed}: {:?}", fleet.load.total());
        check_nothing_starves(&mut fleet, &early);
        expect_that!(fleet.checks.busy_answers, eq(0), "seed {seed}");
    }
}

#[gtest]
fn replicas_follow_a_shift_of_demand() {
    for seed in 0..SEEDS {
        let mut fleet = fleet(seed, shift_streams(), Faults::none());
        let early = run_scenario(&mut fleet);
        check_invariants(&fleet);
        print_figures("shift", &fleet);
        expect_that!(fleet.load.share_in_time(), ge(0.9), "seed {seed}: {:?}", fleet.load.total());
        check_nothing_starves(&mut fleet, &early);
    }
}

#[gtest]
fn a_burst_of_rarely_requested_models_is_loaded_at_the_store_rate() {
    for seed in 0..SEEDS {
        let mut fleet = fleet(seed, burst_streams(), Faults::none());
        let early = run_scenario(&mut fleet);
        check_invariants(&fleet);
        print_figures("burst", &fleet);
        expect_that!(fleet.load.share_in_time(), ge(0.95), "seed {seed}: {:?}", fleet.load.total());
        check_nothing_starves(&mut fleet, &early);
    }
}

#[gtest]
fn a_model_is_loaded_again_after_all_its_workers_are_lost() {
    for seed in 0..SEEDS {
        let mut streams = busy_streams(0, 0, u64::MAX);
        streams.push(Stream::new(30, 2.0, 6_000));
        let mut fleet = fleet(seed, streams, Faults::none());
        fleet.run(12_000);
        let holders = fleet.holders("m30");
        expect_that!(holders, not(is_empty()), "seed {seed}");
        for holder in holders {
            fleet.remove_worker(&holder);
        }
        fleet.run(6_000);
        expect_that!(fleet.holders("m30"), not(is_empty()), "seed {seed}");
        check_invariants(&fleet);
    }
}

#[gtest]
fn more_adapters_than_slots_are_served() {
    for seed in 0..SEEDS {
        let mut fleet = fleet(seed, adapter_streams(), Faults::none());
        let early = run_scenario(&mut fleet);
        check_invariants(&fleet);
        print_figures("adapters", &fleet);
        expect_that!(fleet.load.share_in_time(), ge(0.95), "seed {seed}: {:?}", fleet.load.total());
        check_nothing_starves(&mut fleet, &early);
    }
}

#[gtest]
fn no_orders_are_sent_without_demand() {
    let mut fleet = fleet(1, Vec::new(), Faults::none());
    fleet.run(20_000);
    expect_that!(fleet.checks.orders, eq(0));
    expect_that!(fleet.reports_requested, eq(18));
}
