//! Loads at the rate of a quick weight store.
//!
//! What users saw: on a deployment with far more models than its workers hold, one model in ten was asked for again and
//! again and never served, and the requests of the patient kind were refused by the hundred.
//! What happened: each load had to wait until a worker had unloaded something and reported it, some 300 ms. A planned
//! load reserved a token of the store from the moment of its plan, and no more than the burst of the bucket, three, could
//! be reserved. So three loads were begun in 300 ms, 8 to 10 a second, whatever the store allowed; it allowed 26.
//! The evidence: of the tries that failed, nine in ten met no token while the store was used to a third, also on a calm
//! day; with stores of 4 loads a second, for which the bucket was made, the bound never showed.

mod fleet;

use fleet::load::{Load, Patience, Stream};
use fleet::{Faults, Fleet};
use googletest::prelude::*;
use switchhill_placement::{Engine, ModelSpec};

const SEEDS: u64 = 10;
const WORKERS: usize = 60;
const BUSY_MODELS: usize = 12;
const MODELS: usize = 217;
const LOADS_PER_S: f64 = 26.0;

/// Workers hold two to four of the models each; loads are quick, and the store allows many.
fn engine() -> Engine {
    let spec = |rank: usize| ModelSpec {
        name: format!("m{rank}"),
        weights_mb: [72_700.0, 42_700.0, 72_700.0, 65_100.0][rank % 4],
        load_ms: 600,
        adapters: 0,
        adapter_mb: 66.0,
    };
    Engine {
        models: (0..MODELS).map(spec).collect(),
        weights_mb: 200_000.0,
        adapter_slots: 8,
        loads_per_s: LOADS_PER_S,
        slots: 24,
    }
}

/// Busy models that have their copies, and rare ones that are asked for in turn, each request by a client that is
/// refused after a fifth of its objective and comes back once.
fn streams() -> Vec<Stream> {
    let busy = (0..BUSY_MODELS).map(|model| Stream::new(model, 15.0, 400));
    let patience = Patience { held_ms: 240, back_after_ms: 1_100 };
    let rare = (BUSY_MODELS..MODELS).map(|model| Stream::new(model, 0.12, 1_200).leaving(patience));
    busy.chain(rare).collect()
}

#[gtest]
fn loads_that_wait_for_room_use_the_whole_rate_of_the_store() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, engine(), WORKERS, Load::new(seed, Vec::new()), Faults::none());
        fleet.run(5_000);
        let before = fleet.checks.store_loads;
        // Twice as many models as the store can give in two seconds, all at once, on workers that are full.
        let missing: Vec<usize> =
            (0..MODELS).filter(|rank| fleet.holders(&format!("m{rank}")).is_empty()).collect();
        let wanted =
            missing.iter().take(90).map(|rank| Stream::new(*rank, 100.0, 6_000).between(5_000, 5_050));
        fleet.load = Load::new(seed, wanted.collect());
        fleet.run(2_500);
        let loads = fleet.checks.store_loads - before;
        // 24.7 loads a second are allowed to the planner; half a second is for the first reports.
        expect_that!(loads, ge(44), "seed {seed}: {} models asked for", missing.len().min(90));
        expect_that!(fleet.checks.ceiling, is_empty(), "seed {seed}");
        expect_that!(fleet.checks.limit, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn rare_models_are_served_although_their_clients_do_not_wait_for_the_load() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, engine(), WORKERS, Load::new(seed, streams()), Faults::none());
        fleet.run(40_000);
        let asked = fleet.load.asked_for(4).len();
        let starved = fleet.load.starved(4);
        let rare = fleet.load.share_served(1_200);
        println!("seed {seed}: {} of {asked} never served, rare served {rare:.3}", starved.len());
        expect_that!(starved.len() * 100, le(asked), "seed {seed}: {starved:?} of {asked}");
        expect_that!(rare, ge(0.9), "seed {seed}");
        expect_that!(fleet.checks.ceiling, is_empty(), "seed {seed}");
        expect_that!(fleet.checks.limit, is_empty(), "seed {seed}");
    }
}
