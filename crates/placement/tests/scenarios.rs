//! Scenarios of demand on a simulated fleet, over many seeds: what is served, and what orders must keep.

mod fleet;

use fleet::load::{Load, Stream};
use fleet::{engine, Faults, Fleet};
use googletest::prelude::*;

const SEEDS: u64 = 20;

/// Busy models, the first of them busiest, and rare ones whose requests are patient.
fn usual_streams() -> Vec<Stream> {
    let mut streams = busy_streams(0, 0, u64::MAX);
    streams.extend((15..66).map(|model| Stream::new(model, 0.13, 6_000)));
    streams
}

fn busy_streams(first: usize, from_ms: u64, until_ms: u64) -> Vec<Stream> {
    let per_s = [31.0, 11.5, 8.6, 7.1, 6.2, 5.6];
    let stream = |(rank, per_s): (usize, &f64)| {
        Stream::new((first + rank) % 15, *per_s, 400).between(from_ms, until_ms)
    };
    per_s.iter().enumerate().map(stream).collect()
}

fn fleet(seed: u64, streams: Vec<Stream>, faults: Faults) -> Fleet {
    Fleet::new(seed, engine(66, 38), 18, Load::new(seed, streams), faults)
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
        fleet.run(34_000);
        check_rules(&fleet);
        print_figures("usual", &fleet);
        expect_that!(fleet.load.share_in_time(), ge(0.97), "seed {seed}: {:?}", fleet.load.total());
        expect_that!(fleet.load.starved(4), is_empty(), "seed {seed}");
        expect_that!(fleet.checks.refused, eq(0), "seed {seed}");
    }
}

#[gtest]
fn copies_follow_a_shift_of_demand() {
    for seed in 0..SEEDS {
        let mut streams = busy_streams(0, 0, 10_000);
        streams.extend(busy_streams(3, 10_000, 16_000));
        streams.extend(busy_streams(0, 16_000, 22_000));
        streams.extend(busy_streams(6, 22_000, 28_000));
        streams.extend(busy_streams(0, 28_000, u64::MAX));
        streams.extend((15..66).map(|model| Stream::new(model, 0.13, 6_000)));
        let mut fleet = fleet(seed, streams, Faults::none());
        fleet.run(34_000);
        check_rules(&fleet);
        print_figures("shift", &fleet);
        expect_that!(fleet.load.share_in_time(), ge(0.9), "seed {seed}: {:?}", fleet.load.total());
        expect_that!(fleet.load.starved(4), is_empty(), "seed {seed}");
    }
}

#[gtest]
fn rare_models_asked_for_at_once_come_at_the_store_rate() {
    for seed in 0..SEEDS {
        let mut streams = busy_streams(0, 0, u64::MAX);
        streams.extend((15..66).map(|model| Stream::new(model, 0.13, 6_000)));
        streams.extend((15..66).map(|model| Stream::new(model, 0.6, 6_000).between(10_000, 14_500)));
        let mut fleet = fleet(seed, streams, Faults::none());
        fleet.run(34_000);
        check_rules(&fleet);
        print_figures("burst", &fleet);
        expect_that!(fleet.load.share_in_time(), ge(0.95), "seed {seed}: {:?}", fleet.load.total());
        expect_that!(fleet.load.starved(4), is_empty(), "seed {seed}");
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
        let mut streams = usual_streams();
        streams.extend((1..=38).map(|adapter| Stream::new(0, 0.25, 500).with_adapter(adapter)));
        streams.extend((1..=11).map(|adapter| Stream::new(2, 0.25, 500).with_adapter(adapter)));
        streams.extend((1..=8).map(|adapter| Stream::new(4, 0.25, 500).with_adapter(adapter)));
        let mut fleet = fleet(seed, streams, Faults::none());
        fleet.run(34_000);
        check_rules(&fleet);
        print_figures("adapters", &fleet);
        expect_that!(fleet.load.share_in_time(), ge(0.95), "seed {seed}: {:?}", fleet.load.total());
        expect_that!(fleet.load.starved(4), is_empty(), "seed {seed}");
    }
}

#[gtest]
fn nothing_is_ordered_while_nothing_is_asked_for() {
    let mut fleet = fleet(1, Vec::new(), Faults::none());
    fleet.run(20_000);
    expect_that!(fleet.checks.orders, eq(0));
    expect_that!(fleet.reports_asked, eq(18));
}
