//! Balance of load over engines by gatekeepers with stale knowledge of each other.

mod support;

use googletest::prelude::*;
use support::fleet::{run, Fleet, Policy, Report};
use switchhill_routing::RouterSettings;

const SEEDS: std::ops::Range<u64> = 0..4;

/// Nine gatekeepers before engines of which about two thirds are taken.
const NINE: Fleet = Fleet { gatekeepers: 9, workers: 12, slots: 32, per_second: 150.0, length_ms: 12_000 };
/// Sixty gatekeepers, each of which sees little of the load itself.
const SIXTY: Fleet = Fleet { gatekeepers: 60, workers: 40, slots: 32, per_second: 500.0, length_ms: 6_000 };

/// Bound on the most loaded engine's requests over the mean, at nine gatekeepers and at sixty.
const MOST_OVER_MEAN_NINE: f64 = 1.3;
const MOST_OVER_MEAN_SIXTY: f64 = 1.42;
/// Bound on the shared prompt tokens read again, at sixty gatekeepers.
const READ_AGAIN_SIXTY: f64 = 0.17;

fn default_router() -> Policy {
    Policy::Router(RouterSettings::for_zone("a"))
}

fn changed_router(change: impl Fn(&mut RouterSettings)) -> Policy {
    let mut settings = RouterSettings::for_zone("a");
    change(&mut settings);
    Policy::Router(settings)
}

/// Runs all seeds and returns the report that is worst by `measure`, with its seed.
fn worst(fleet: Fleet, policy: &Policy, measure: impl Fn(&Report) -> f64) -> (u64, f64) {
    let measured = SEEDS.map(|seed| (seed, measure(&run(fleet, policy, seed))));
    measured.max_by(|one, other| one.1.total_cmp(&other.1)).expect("there are seeds")
}

/// The least of all seeds by `measure`.
fn best(fleet: Fleet, policy: &Policy, measure: impl Fn(&Report) -> f64) -> f64 {
    SEEDS.map(|seed| measure(&run(fleet, policy, seed))).fold(f64::MAX, f64::min)
}

#[gtest]
fn nine_gatekeepers_balance_engines() {
    let (seed, most) = worst(NINE, &default_router(), |report| report.max_over_mean);
    expect_that!(most, lt(MOST_OVER_MEAN_NINE), "seed {seed}");
    let (seed, first_token) = worst(NINE, &default_router(), |report| report.first_token_p95_ms as f64);
    expect_that!(first_token, lt(80.0), "seed {seed}");
    let (seed, refused) = worst(NINE, &default_router(), |report| report.refused as f64);
    expect_that!(refused, eq(0.0), "seed {seed}");
}

#[gtest]
fn sixty_gatekeepers_do_not_herd() {
    let (seed, most) = worst(SIXTY, &default_router(), |report| report.max_over_mean);
    expect_that!(most, lt(MOST_OVER_MEAN_SIXTY), "seed {seed}");
}

#[gtest]
fn prompts_gather_without_being_told() {
    let (seed, read_again) = worst(SIXTY, &default_router(), |report| report.read_again);
    expect_that!(read_again, lt(READ_AGAIN_SIXTY), "seed {seed}");
}

#[gtest]
fn the_checks_notice_worse_policies() {
    for policy in [Policy::Random, Policy::LeastSeen] {
        let most = best(NINE, &policy, |report| report.max_over_mean);
        expect_that!(most, gt(MOST_OVER_MEAN_NINE), "{policy:?}");
        let most = best(SIXTY, &policy, |report| report.max_over_mean);
        expect_that!(most, gt(MOST_OVER_MEAN_SIXTY), "{policy:?}");
    }
}

#[gtest]
fn the_checks_notice_a_router_that_compares_all_workers() {
    let policy = changed_router(|settings| {
        settings.unseen_requests = f64::MAX;
        settings.kept_prompt_weight = 0.0;
    });
    let most = best(SIXTY, &policy, |report| report.max_over_mean);
    expect_that!(most, gt(MOST_OVER_MEAN_SIXTY));
}

#[gtest]
fn the_checks_notice_a_router_that_does_not_value_kept_prompts() {
    let policy = changed_router(|settings| settings.kept_prompt_weight = 0.0);
    let read_again = best(SIXTY, &policy, |report| report.read_again);
    expect_that!(read_again, gt(READ_AGAIN_SIXTY));
}
