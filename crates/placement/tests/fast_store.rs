//! Load rate with a fast weight store.
//!
//! Guards against a store rate that is not used up, so that rarely requested models starve. A load has to wait about
//! 300 ms until a worker has unloaded something and reported it. When a planned load reserved its store token from the
//! time of planning, the burst of the token bucket (three) limited the loads that could wait for memory. Only 8 to 10
//! loads a second were started although the store allowed 26. Nine in ten failed attempts found no token while a third
//! of the store rate was used, also under low load. With many more models than fit in memory, one model in ten was
//! requested repeatedly and never served, and hundreds of requests with a long latency target were rejected. The limit
//! does not show with stores of 4 loads a second, for which the bucket was designed.

mod fleet;

use fleet::load::{HoldPolicy, Load, Stream};
use fleet::{Faults, Fleet};
use googletest::prelude::*;
use switchhill_placement::{Engine, ModelSpec};

const SEEDS: u64 = 10;
const WORKERS: usize = 60;
const BUSY_MODELS: usize = 12;
const MODELS: usize = 217;
const LOADS_PER_S: f64 = 26.0;

/// Each worker has memory for two to four models; loads are short and the store rate is high.
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

/// Busy models with replicas, and rarely requested ones whose requests are rejected after a fifth of their latency
/// target and retried once.
fn streams() -> Vec<Stream> {
    let busy = (0..BUSY_MODELS).map(|model| Stream::new(model, 15.0, 400));
    let hold_policy = HoldPolicy { max_hold_ms: 240, retry_after_ms: 1_100 };
    let rare =
        (BUSY_MODELS..MODELS).map(|model| Stream::new(model, 0.12, 1_200).with_hold_policy(hold_policy));
    busy.chain(rare).collect()
}

#[gtest]
fn loads_that_wait_for_memory_use_the_full_store_rate() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, engine(), WORKERS, Load::new(seed, Vec::new()), Faults::none());
        fleet.run(5_000);
        let before = fleet.checks.store_loads;
        // Almost twice as many models as the store can load in two seconds, requested at once; all workers are full.
        let missing: Vec<usize> =
            (0..MODELS).filter(|rank| fleet.holders(&format!("m{rank}")).is_empty()).collect();
        let wanted =
            missing.iter().take(90).map(|rank| Stream::new(*rank, 100.0, 6_000).active_between(5_000, 5_050));
        fleet.load = Load::new(seed, wanted.collect());
        fleet.run(2_500);
        let loads = fleet.checks.store_loads - before;
        // The planner may use 24.7 loads a second; the first half second passes until the first reports.
        expect_that!(loads, ge(44), "seed {seed}: {} models requested", missing.len().min(90));
        expect_that!(fleet.checks.rate_violations, is_empty(), "seed {seed}");
        expect_that!(fleet.checks.capacity_violations, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn rarely_requested_models_are_served_although_requests_are_rejected_before_the_load_ends() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed, engine(), WORKERS, Load::new(seed, streams()), Faults::none());
        fleet.run(40_000);
        let requested = fleet.load.requested_at_least(4).len();
        let starved = fleet.load.starved(4);
        let rare = fleet.load.share_served(1_200);
        println!("seed {seed}: {} of {requested} never served, rare served {rare:.3}", starved.len());
        expect_that!(starved.len() * 100, le(requested), "seed {seed}: {starved:?} of {requested}");
        expect_that!(rare, ge(0.9), "seed {seed}");
        expect_that!(fleet.checks.rate_violations, is_empty(), "seed {seed}");
        expect_that!(fleet.checks.capacity_violations, is_empty(), "seed {seed}");
    }
}
