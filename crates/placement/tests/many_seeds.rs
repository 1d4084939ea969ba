//! The demand scenarios over further seeds, with printed results; `PLACEMENT_SEEDS` sets the number of seeds.

mod fleet;

use std::collections::BTreeSet;

use fleet::scenarios::{
    adapter_streams, burst_streams, large_fleet, shift_streams, small_fleet, steady_streams,
};
use fleet::{Faults, Fleet};
use googletest::prelude::*;

/// First seed; other tests use lower ones.
const FIRST_SEED: u64 = 1_000;
const DEFAULT_SEEDS: u64 = 10;
/// One in this many seeds may fall below the bound of its scenario.
const SEEDS_PER_ALLOWED_MISS: u64 = 50;
/// Whatever is requested this long before the end must be served by the end. A load takes 3.8 to 5.2 s, and at the peak
/// of a shift, with 17 of 18 workers loading, a model waited 6.3 s for its load.
const SERVED_WITHIN_MS: u64 = 12_000;

type Servable = (String, Option<String>);

/// Results of a scenario over all seeds.
#[derive(Default)]
struct Figures {
    shares: Vec<f64>,
    busy: (u64, u64),
    rare: (u64, u64),
    adapters: (u64, u64),
    store_loads: u64,
    /// Requested early and never served, with the seed.
    starved: Vec<(u64, Servable)>,
}

impl Figures {
    fn add(&mut self, fleet: &Fleet, early: &BTreeSet<Servable>) {
        self.shares.push(fleet.load.share_in_time());
        self.store_loads += fleet.checks.store_loads;
        for (servable, served) in &fleet.load.served {
            let has_long_target = fleet
                .load
                .streams
                .iter()
                .any(|stream| stream.model == servable.0 && stream.latency_target_ms > 1_000);
            let group = match (&servable.1, has_long_target) {
                (Some(_), _) => &mut self.adapters,
                (None, true) => &mut self.rare,
                (None, false) => &mut self.busy,
            };
            group.0 += served.in_time;
            group.1 += served.requested;
            if early.contains(servable) && served.in_time + served.late == 0 {
                self.starved.push((fleet.seed, servable.clone()));
            }
        }
    }

    fn print(&self, name: &str, bound: f64) {
        let share = |(part, whole): (u64, u64)| part as f64 / whole.max(1) as f64;
        let mean = self.shares.iter().sum::<f64>() / self.shares.len() as f64;
        let minimum = self.shares.iter().copied().fold(1.0, f64::min);
        println!(
            "{name}: {} seeds, in time {mean:.4}, minimum {minimum:.4}, below {bound}: {}; busy {:.4}, rare {:.4}, \
             adapters {:.4}; loads from the store {:.1}; starved {:?}",
            self.shares.len(),
            self.seeds_below(bound),
            share(self.busy),
            share(self.rare),
            share(self.adapters),
            self.store_loads as f64 / self.shares.len() as f64,
            self.starved,
        );
    }

    fn seeds_below(&self, bound: f64) -> u64 {
        self.shares.iter().filter(|share| **share < bound).count() as u64
    }
}

fn seeds() -> u64 {
    let set = std::env::var("PLACEMENT_SEEDS").ok();
    set.map_or(DEFAULT_SEEDS, |seeds| seeds.parse().expect("PLACEMENT_SEEDS is a number"))
}

fn run_seeds(name: &str, bound: f64, run_ms: u64, fleet_of_seed: impl Fn(u64) -> Fleet) -> Figures {
    let mut figures = Figures::default();
    for seed in FIRST_SEED..FIRST_SEED + seeds() {
        let mut fleet = fleet_of_seed(seed);
        fleet.run(run_ms - SERVED_WITHIN_MS);
        let early: BTreeSet<Servable> = fleet.load.served.keys().cloned().collect();
        fleet.run(SERVED_WITHIN_MS);
        expect_that!(fleet.checks.capacity_violations, is_empty(), "seed {seed}");
        expect_that!(fleet.checks.rate_violations, is_empty(), "seed {seed}");
        figures.add(&fleet, &early);
    }
    figures.print(name, bound);
    expect_that!(
        figures.seeds_below(bound),
        le(seeds() / SEEDS_PER_ALLOWED_MISS),
        "seeds from {FIRST_SEED} on"
    );
    figures
}

fn check_large_fleet(name: &str, bound: f64, streams: impl Fn() -> Vec<fleet::load::Stream>) {
    let figures = run_seeds(name, bound, 34_000, |seed| large_fleet(seed, streams(), Faults::none()));
    expect_that!(figures.starved, is_empty());
}

#[gtest]
fn steady_demand() {
    check_large_fleet("steady", 0.97, steady_streams);
}

#[gtest]
fn shift_of_demand() {
    check_large_fleet("shift", 0.9, shift_streams);
}

#[gtest]
fn burst_of_rarely_requested_models() {
    check_large_fleet("burst", 0.95, burst_streams);
}

#[gtest]
fn more_adapters_than_slots() {
    check_large_fleet("adapters", 0.95, adapter_streams);
}

#[gtest]
fn small_fleet_without_faults() {
    run_seeds("small fleet", 0.7, 30_000, |seed| small_fleet(seed, Faults::none()));
}

#[gtest]
fn small_fleet_with_lost_messages() {
    run_seeds("small fleet, lost messages", 0.7, 30_000, |seed| small_fleet(seed, Faults::lossy()));
}
