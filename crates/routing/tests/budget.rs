//! The retry budget holds for the whole fleet in every window.

use std::collections::VecDeque;

use fastrand::Rng;
use googletest::prelude::*;
use switchhill_routing::RetryBudget;

const RATIO: f64 = 0.2;
const WINDOW_MS: u64 = 10_000;
const SLACK: f64 = 54.0;

/// Times of requests and retries at a service, over the whole fleet.
#[derive(Default)]
struct Arrivals {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Arrivals {
    /// The largest excess of retries over the limit in any window; negative if the limit holds.
    fn worst_excess(&self) -> f64 {
        let mut worst = f64::MIN;
        let mut inside = VecDeque::new();
        for &last in &self.retries {
            inside.push_back(last);
            while inside.front().is_some_and(|first| first + WINDOW_MS <= last) {
                inside.pop_front();
            }
            let first = inside[0];
            // Windows that end at the last retry, begin at the first, or lie in between.
            for step in 0..=8 {
                let end = last + (first + WINDOW_MS - last) * step / 8;
                worst = worst.max(inside.len() as f64 - self.allowed(end));
            }
        }
        worst
    }

    fn allowed(&self, end: u64) -> f64 {
        let window = |end: u64| {
            let start = end.saturating_sub(WINDOW_MS);
            let until_end = self.requests.partition_point(|at| *at <= end);
            let until_start = self.requests.partition_point(|at| *at < start);
            until_end - until_start
        };
        let windows = [end, end.saturating_sub(WINDOW_MS / 2), end.saturating_sub(WINDOW_MS)];
        let most = windows.into_iter().map(window).max().unwrap_or(0);
        RATIO * most as f64 + SLACK
    }
}

/// Bursty traffic, unevenly distributed over `data_planes`, in which every request asks for two retries.
/// `allow` gets the data plane, the time and whether it is a retry.
fn run(seed: u64, data_planes: usize, mut allow: impl FnMut(usize, u64, bool) -> bool) -> Arrivals {
    let mut rng = Rng::with_seed(seed);
    let mut arrivals = Arrivals::default();
    let mut now = 1_000;
    let mut per_second = 100.0;
    for _ in 0..6_000 {
        if rng.u32(0..400) == 0 {
            per_second = [0.5, 20.0, 100.0, 400.0][rng.usize(0..4)];
        }
        now += (-rng.f64().max(1e-9).ln() * 1_000.0 / per_second) as u64;
        let data_plane = rng.usize(0..data_planes).min(rng.usize(0..data_planes));
        allow(data_plane, now, false);
        arrivals.requests.push(now);
        for _ in 0..2 {
            if allow(data_plane, now, true) {
                arrivals.retries.push(now);
            }
        }
    }
    arrivals
}

fn run_budgets(seed: u64, data_planes: usize, reported_count: u32) -> Arrivals {
    let mut budgets: Vec<RetryBudget> =
        (0..data_planes).map(|_| RetryBudget::new(RATIO, WINDOW_MS, SLACK)).collect();
    budgets.iter_mut().for_each(|budget| budget.set_data_plane_count(reported_count));
    run(seed, data_planes, |data_plane, now, is_retry| match is_retry {
        true => budgets[data_plane].try_retry(now, "chat"),
        false => {
            budgets[data_plane].record_request(now, "chat");
            true
        }
    })
}

#[gtest]
fn the_fleet_stays_within_the_limit_in_every_window() {
    for data_planes in [1, 7, 9, 60] {
        for seed in 0..8 {
            let arrivals = run_budgets(seed, data_planes, data_planes as u32);
            expect_that!(arrivals.worst_excess(), lt(0.0), "seed {seed}, {data_planes} data planes");
            expect_that!(arrivals.retries.len(), gt(200), "seed {seed}: the budget must allow retries");
        }
    }
}

#[gtest]
fn an_unknown_number_of_data_planes_keeps_the_limit() {
    for seed in 0..8 {
        let arrivals = run_budgets(seed, 9, 0);
        expect_that!(arrivals.worst_excess(), lt(0.0), "seed {seed}");
    }
}

#[gtest]
fn the_check_detects_a_fleet_without_budgets() {
    let arrivals = run(1, 9, |_, _, _| true);
    expect_that!(arrivals.worst_excess(), gt(0.0));
}

#[gtest]
fn the_check_detects_budgets_that_do_not_divide_the_slack() {
    let worst = (0..8).map(|seed| run_budgets(seed, 60, 1).worst_excess()).fold(f64::MIN, f64::max);
    expect_that!(worst, gt(0.0));
}

#[gtest]
fn services_have_separate_budgets() {
    let mut budget = RetryBudget::new(RATIO, WINDOW_MS, 0.0);
    budget.set_data_plane_count(1);
    for _ in 0..100 {
        budget.record_request(1_000, "chat");
    }
    expect_that!(budget.try_retry(1_000, "chat"), eq(true));
    expect_that!(budget.try_retry(1_000, "tiles"), eq(false));
}

#[gtest]
fn an_unused_retry_is_returned_to_the_budget() {
    let mut budget = RetryBudget::new(RATIO, WINDOW_MS, 0.0);
    for _ in 0..6 {
        budget.record_request(1_000, "chat");
    }
    expect_that!(budget.try_retry(1_000, "chat"), eq(true));
    expect_that!(budget.try_retry(1_000, "chat"), eq(false));
    budget.return_unused(1_000, "chat");
    expect_that!(budget.try_retry(1_000, "chat"), eq(true));
}

#[gtest]
fn a_new_process_does_not_get_the_whole_slack_at_once() {
    let mut budget = RetryBudget::new(0.0, WINDOW_MS, SLACK);
    budget.set_data_plane_count(1);
    budget.record_request(0, "chat");
    expect_that!(budget.try_retry(0, "chat"), eq(false));
    let taken = (0..100).filter(|_| budget.try_retry(WINDOW_MS, "chat")).count();
    expect_that!(taken, eq(32));
}
