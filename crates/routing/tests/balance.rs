//! Load balance over workers by data planes whose peer loads are stale.

mod support;

use googletest::prelude::*;
use support::fleet::{run, Fleet, Policy, Report};
use switchhill_routing::RouterSettings;

const SEEDS: std::ops::Range<u64> = 0..4;

/// Nine data planes, with about two thirds of the workers' slots in use.
const NINE: Fleet = Fleet { data_planes: 9, workers: 12, slots: 32, per_second: 150.0, duration_ms: 12_000 };
/// Sixty data planes, each of which sends only a small part of the load itself.
const SIXTY: Fleet = Fleet { data_planes: 60, workers: 40, slots: 32, per_second: 500.0, duration_ms: 6_000 };

/// Bounds on the most loaded worker's requests over the mean, with nine and with sixty data planes.
const MAX_OVER_MEAN_NINE: f64 = 1.3;
const MAX_OVER_MEAN_SIXTY: f64 = 1.42;
/// Bound on the share of shared prompt tokens prefilled again, with sixty data planes.
const REPEATED_PREFILL_SIXTY: f64 = 0.17;

fn default_router() -> Policy {
    Policy::Router(RouterSettings::for_zone("a"))
}

fn changed_router(change: impl Fn(&mut RouterSettings)) -> Policy {
    let mut settings = RouterSettings::for_zone("a");
    change(&mut settings);
    Policy::Router(settings)
}

/// The highest value of `measure` over all seeds, with its seed.
fn highest(fleet: Fleet, policy: &Policy, measure: impl Fn(&Report) -> f64) -> (u64, f64) {
    let measured = SEEDS.map(|seed| (seed, measure(&run(fleet, policy, seed))));
    measured.max_by(|one, other| one.1.total_cmp(&other.1)).expect("there are seeds")
}

/// The lowest value of `measure` over all seeds.
fn lowest(fleet: Fleet, policy: &Policy, measure: impl Fn(&Report) -> f64) -> f64 {
    SEEDS.map(|seed| measure(&run(fleet, policy, seed))).fold(f64::MAX, f64::min)
}

#[gtest]
fn nine_data_planes_balance_workers() {
    let (seed, max_over_mean) = highest(NINE, &default_router(), |report| report.max_over_mean);
    expect_that!(max_over_mean, lt(MAX_OVER_MEAN_NINE), "seed {seed}");
    let (seed, first_token) = highest(NINE, &default_router(), |report| report.first_token_p95_ms as f64);
    expect_that!(first_token, lt(80.0), "seed {seed}");
    let (seed, refused) = highest(NINE, &default_router(), |report| report.refused as f64);
    expect_that!(refused, eq(0.0), "seed {seed}");
}

#[gtest]
fn sixty_data_planes_do_not_herd() {
    let (seed, max_over_mean) = highest(SIXTY, &default_router(), |report| report.max_over_mean);
    expect_that!(max_over_mean, lt(MAX_OVER_MEAN_SIXTY), "seed {seed}");
}

#[gtest]
fn shared_prompts_reach_the_same_workers_without_coordination() {
    let (seed, repeated_prefill) = highest(SIXTY, &default_router(), |report| report.repeated_prefill);
    expect_that!(repeated_prefill, lt(REPEATED_PREFILL_SIXTY), "seed {seed}");
}

#[gtest]
fn the_checks_detect_worse_policies() {
    for policy in [Policy::Random, Policy::LeastKnownLoad] {
        let max_over_mean = lowest(NINE, &policy, |report| report.max_over_mean);
        expect_that!(max_over_mean, gt(MAX_OVER_MEAN_NINE), "{policy:?}");
        let max_over_mean = lowest(SIXTY, &policy, |report| report.max_over_mean);
        expect_that!(max_over_mean, gt(MAX_OVER_MEAN_SIXTY), "{policy:?}");
    }
}

#[gtest]
fn the_checks_detect_a_router_that_compares_all_workers() {
    let policy = changed_router(|settings| {
        settings.unseen_requests = f64::MAX;
        settings.kept_prompt_weight = 0.0;
    });
    let max_over_mean = lowest(SIXTY, &policy, |report| report.max_over_mean);
    expect_that!(max_over_mean, gt(MAX_OVER_MEAN_SIXTY));
}

#[gtest]
fn the_checks_detect_a_router_that_ignores_cached_prompts() {
    let policy = changed_router(|settings| settings.kept_prompt_weight = 0.0);
    let repeated_prefill = lowest(SIXTY, &policy, |report| report.repeated_prefill);
    expect_that!(repeated_prefill, gt(REPEATED_PREFILL_SIXTY));
}
