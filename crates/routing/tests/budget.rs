//! The retry budget holds over the fleet in every window.

use std::collections::VecDeque;

use fastrand::Rng;
use googletest::prelude::*;
use switchhill_routing::RetryBudget;

const RATIO: f64 = 0.2;
const WINDOW_MS: u64 = 10_000;
const SLACK: f64 = 54.0;

/// Times of requests and repeats at a service, over the whole fleet.
#[derive(Default)]
struct Seen {
    requests: Vec<u64>,
    repeats: Vec<u64>,
}

impl Seen {
    /// The largest excess of repeats over the rule in any window; negative when the rule holds.
    fn worst_excess(&self) -> f64 {
        let mut worst = f64::MIN;
        let mut inside = VecDeque::new();
        for &last in &self.repeats {
            inside.push_back(last);
            while inside.front().is_some_and(|first| first + WINDOW_MS <= last) {
                inside.pop_front();
            }
            let first = inside[0];
            // Windows that end at the last repeat, begin at the first, or lie in between.
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

/// Bursty traffic at `gatekeepers` with uneven shares, every request wanting two repeats.
fn run(seed: u64, gatekeepers: usize, mut allow: impl FnMut(usize, u64, bool) -> bool) -> Seen {
    let mut rng = Rng::with_seed(seed);
    let mut seen = Seen::default();
    let mut now = 1_000;
    let mut per_second = 100.0;
    for _ in 0..6_000 {
        if rng.u32(0..400) == 0 {
            per_second = [0.5, 20.0, 100.0, 400.0][rng.usize(0..4)];
        }
        now += (-rng.f64().max(1e-9).ln() * 1_000.0 / per_second) as u64;
        let gatekeeper = rng.usize(0..gatekeepers).min(rng.usize(0..gatekeepers));
        allow(gatekeeper, now, false);
        seen.requests.push(now);
        for _ in 0..2 {
            if allow(gatekeeper, now, true) {
                seen.repeats.push(now);
            }
        }
    }
    seen
}

fn run_budgets(seed: u64, gatekeepers: usize, told: u32) -> Seen {
    let mut budgets: Vec<RetryBudget> =
        (0..gatekeepers).map(|_| RetryBudget::new(RATIO, WINDOW_MS, SLACK)).collect();
    budgets.iter_mut().for_each(|budget| budget.set_data_plane_count(told));
    run(seed, gatekeepers, |gatekeeper, now, repeat| match repeat {
        true => budgets[gatekeeper].try_retry(now, "chat"),
        false => {
            budgets[gatekeeper].record_request(now, "chat");
            true
        }
    })
}

#[gtest]
fn the_fleet_stays_within_the_rule_in_every_window() {
    for gatekeepers in [1, 7, 9, 60] {
        for seed in 0..8 {
            let seen = run_budgets(seed, gatekeepers, gatekeepers as u32);
            expect_that!(seen.worst_excess(), lt(0.0), "seed {seed}, {gatekeepers} gatekeepers");
            expect_that!(seen.repeats.len(), gt(200), "seed {seed}: the budget must be of use");
        }
    }
}

#[gtest]
fn an_unknown_size_is_safe() {
    for seed in 0..8 {
        let seen = run_budgets(seed, 9, 0);
        expect_that!(seen.worst_excess(), lt(0.0), "seed {seed}");
    }
}

#[gtest]
fn the_check_notices_a_fleet_without_budgets() {
    let seen = run(1, 9, |_, _, _| true);
    expect_that!(seen.worst_excess(), gt(0.0));
}

#[gtest]
fn the_check_notices_budgets_that_do_not_divide_the_slack() {
    let worst = (0..8).map(|seed| run_budgets(seed, 60, 1).worst_excess()).fold(f64::MIN, f64::max);
    expect_that!(worst, gt(0.0));
}

#[gtest]
fn services_have_budgets_of_their_own() {
    let mut budget = RetryBudget::new(RATIO, WINDOW_MS, 0.0);
    budget.set_data_plane_count(1);
    for _ in 0..100 {
        budget.record_request(1_000, "chat");
    }
    expect_that!(budget.try_retry(1_000, "chat"), eq(true));
    expect_that!(budget.try_retry(1_000, "tiles"), eq(false));
}

#[gtest]
fn a_repeat_that_was_not_sent_is_given_back() {
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
fn a_new_process_does_not_have_the_whole_slack_at_once() {
    let mut budget = RetryBudget::new(0.0, WINDOW_MS, SLACK);
    budget.set_data_plane_count(1);
    budget.record_request(0, "chat");
    expect_that!(budget.try_retry(0, "chat"), eq(false));
    let taken = (0..100).filter(|_| budget.try_retry(WINDOW_MS, "chat")).count();
    expect_that!(taken, eq(32));
}
