//! Scenarios on a simulated fleet, over many seeds, with checkers of what orders must keep.

mod fleet;

use fleet::load::{Load, Stream};
use fleet::{engine, Faults, Fleet};
use googletest::prelude::*;

const SEEDS: u64 = 40;

/// Busy models 0 to 5, and 40 rare ones whose requests are patient.
fn usual_streams() -> Vec<Stream> {
    let busy = [31.0, 11.5, 8.6, 7.1, 6.2, 5.6];
    let mut streams: Vec<Stream> =
        busy.iter().enumerate().map(|(model, per_s)| Stream::new(model, *per_s, 400)).collect();
    streams.extend((15..66).map(|model| Stream::new(model, 0.13, 6_000)));
    streams
}

fn fleet(seed: u64, streams: Vec<Stream>, faults: Faults) -> Fleet {
    Fleet::new(seed, engine(66, 12), 18, Load::new(seed, streams), faults)
}

fn check_rules(fleet: &Fleet) {
    let seed = fleet.seed;
    expect_that!(fleet.checks.limit, is_empty(), "seed {seed}");
    expect_that!(fleet.checks.ceiling, is_empty(), "seed {seed}");
    expect_that!(fleet.superseded, eq(false), "seed {seed}");
}

#[gtest]
fn rare_models_are_served_beside_busy_ones() {
    for seed in 0..SEEDS {
        let mut fleet = fleet(seed, usual_streams(), Faults::none());
        fleet.run(40_000);
        check_rules(&fleet);
        expect_that!(fleet.load.share_in_time(), ge(0.97), "seed {seed}: {:?}", fleet.load.total());
        expect_that!(fleet.load.starved(4), is_empty(), "seed {seed}");
        expect_that!(fleet.checks.refused, eq(0), "seed {seed}");
    }
}
