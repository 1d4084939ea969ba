//! The scenarios over other seeds than those of their own tests, with the figures of each; `PLACEMENT_SEEDS` sets how
//! many seeds.

mod fleet;

use std::collections::BTreeSet;

use fleet::scenarios::{
    adapter_streams, burst_streams, large_fleet, shift_streams, small_fleet, usual_streams,
};
use fleet::{Faults, Fleet};
use googletest::prelude::*;

/// The first seed; the other tests use those below.
const FIRST_SEED: u64 = 1_000;
const SEEDS_BY_DEFAULT: u64 = 10;
/// Seeds of which one may fall below its scenario's bound.
const SEEDS_FOR_ONE_BELOW: u64 = 50;
/// What was asked for this long before the end has to be served by the end: a load takes 3.8 to 5.2 s, and at the height
/// of a shift, with 17 of 18 workers loading, a model waited 6.3 s for its turn.
const SERVED_WITHIN_MS: u64 = 12_000;

type What = (String, Option<String>);

/// A scenario's figures over all seeds.
#[derive(Default)]
struct Figures {
    shares: Vec<f64>,
    busy: (u64, u64),
    rare: (u64, u64),
    adapters: (u64, u64),
    store_loads: u64,
    /// What was asked for early and never served, by seed.
    starved: Vec<(u64, What)>,
}

impl Figures {
    fn add(&mut self, fleet: &Fleet, early: &BTreeSet<What>) {
        self.shares.push(fleet.load.share_in_time());
        self.store_loads += fleet.checks.store_loads;
        for (what, served) in &fleet.load.served {
            let patient =
                fleet.load.streams.iter().any(|stream| stream.model == what.0 && stream.aim_ms > 1_000);
            let group = match (&what.1, patient) {
                (Some(_), _) => &mut self.adapters,
                (None, true) => &mut self.rare,
                (None, false) => &mut self.busy,
            };
            group.0 += served.in_time;
            group.1 += served.asked;
            if early.contains(what) && served.in_time + served.late == 0 {
                self.starved.push((fleet.seed, what.clone()));
            }
        }
    }

    fn print(&self, name: &str, bound: f64) {
        let share = |(part, whole): (u64, u64)| part as f64 / whole.max(1) as f64;
        let mean = self.shares.iter().sum::<f64>() / self.shares.len() as f64;
        let least = self.shares.iter().copied().fold(1.0, f64::min);
        println!(
            "{name}: {} seeds, in time {mean:.4}, least {least:.4}, below {bound}: {}; busy {:.4}, rare {:.4}, adapters \
             {:.4}; loads from the store {:.1}; starved {:?}",
            self.shares.len(),
            self.below(bound),
            share(self.busy),
            share(self.rare),
            share(self.adapters),
            self.store_loads as f64 / self.shares.len() as f64,
            self.starved,
        );
    }

    fn below(&self, bound: f64) -> u64 {
        self.shares.iter().filter(|share| **share < bound).count() as u64
    }
}

fn seeds() -> u64 {
    let set = std::env::var("PLACEMENT_SEEDS").ok();
    set.map_or(SEEDS_BY_DEFAULT, |seeds| seeds.parse().expect("PLACEMENT_SEEDS is a number"))
}

fn play(name: &str, bound: f64, run_ms: u64, fleet_of_seed: impl Fn(u64) -> Fleet) -> Figures {
    let mut figures = Figures::default();
    for seed in FIRST_SEED..FIRST_SEED + seeds() {
        let mut fleet = fleet_of_seed(seed);
        fleet.run(run_ms - SERVED_WITHIN_MS);
        let early: BTreeSet<What> = fleet.load.served.keys().cloned().collect();
        fleet.run(SERVED_WITHIN_MS);
        expect_that!(fleet.checks.limit, is_empty(), "seed {seed}");
        expect_that!(fleet.checks.ceiling, is_empty(), "seed {seed}");
        figures.add(&fleet, &early);
    }
    figures.print(name, bound);
    expect_that!(figures.below(bound), le(seeds() / SEEDS_FOR_ONE_BELOW), "seeds from {FIRST_SEED} on");
    figures
}

fn large(name: &str, bound: f64, streams: impl Fn() -> Vec<fleet::load::Stream>) {
    let figures = play(name, bound, 34_000, |seed| large_fleet(seed, streams(), Faults::none()));
    expect_that!(figures.starved, is_empty());
}

#[gtest]
fn steady_demand() {
    large("steady", 0.97, usual_streams);
}

#[gtest]
fn a_shift_of_demand() {
    large("shift", 0.9, shift_streams);
}

#[gtest]
fn rare_models_at_once() {
    large("rare at once", 0.95, burst_streams);
}

#[gtest]
fn more_adapters_than_slots() {
    large("adapters", 0.95, adapter_streams);
}

#[gtest]
fn a_small_fleet() {
    play("small fleet", 0.7, 30_000, |seed| small_fleet(seed, Faults::none()));
}

#[gtest]
fn a_small_fleet_with_lost_orders() {
    play("small fleet, lost orders", 0.7, 30_000, |seed| small_fleet(seed, Faults::lossy()));
}
