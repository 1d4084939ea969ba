//! Upper bounds of run times, learned from whole answers.

use crate::data_plane::policy;
use crate::data_plane::run_times::{RunSample, RunTimes};
use googletest::prelude::*;
use std::time::Duration;
use switchhill_routing::RequestProfile;

fn profile(model: &str, output_tokens: u32) -> RequestProfile {
    RequestProfile {
        service: "llm".into(),
        model: Some(model.into()),
        adapter: None,
        prompt_parts: Vec::new(),
        prompt_tokens: 100,
        output_tokens,
        priority: 1,
        aim_ms: 400,
        session: None,
    }
}

/// A stream whose tokens come at an even pace.
fn stream(tokens: u64, token_ms: u64) -> RunSample {
    RunSample {
        first_byte: Duration::from_millis(50),
        rest: Duration::from_millis(tokens * token_ms),
        tokens: Some(tokens),
    }
}

fn whole_answer(ms: u64) -> RunSample {
    RunSample { first_byte: Duration::from_millis(ms), rest: Duration::ZERO, tokens: None }
}

fn learned(samples: impl IntoIterator<Item = RunSample>) -> RunTimes {
    let run_times = RunTimes::default();
    samples.into_iter().for_each(|sample| run_times.learn(&profile("small", 0), sample));
    run_times
}

#[gtest]
fn nothing_is_expected_of_a_kind_of_request_with_few_answers() {
    let few = policy::LEAST_RUN_SAMPLES as usize - 1;
    let run_times = learned(std::iter::repeat_n(whole_answer(10), few));
    expect_that!(run_times.upper_bound(&profile("small", 0)), none());
    run_times.learn(&profile("small", 0), whole_answer(10));
    expect_that!(run_times.upper_bound(&profile("small", 0)), some(anything()));
    expect_that!(run_times.upper_bound(&profile("other", 0)), none());
}

#[gtest]
fn the_bound_counts_the_most_tokens_however_short_the_answers_were() {
    let run_times = learned((0..100).map(|round| stream(10 + round % 20, 6)));
    let bound = run_times.upper_bound(&profile("small", 900)).expect("it is known");
    expect_that!(bound, ge(Duration::from_millis(50 + 900 * 6)));
    expect_that!(bound, le(Duration::from_millis(2 * (50 + 900 * 6))));
    // A stream that does not tell its most tokens may be of any length.
    expect_that!(run_times.upper_bound(&profile("small", 0)), none());
}

#[gtest]
fn the_bound_lies_above_nearly_all_of_uneven_run_times() {
    let times = |round: u64| 10 + (round * 7919) % 90;
    let run_times = learned((0..200).map(times).map(whole_answer));
    let bound = run_times.upper_bound(&profile("small", 0)).expect("it is known");
    expect_that!(bound, ge(Duration::from_millis(100)));
}

#[gtest]
fn slower_workers_raise_the_bound_at_once() {
    let run_times = learned((0..100).map(|_| stream(50, 5)));
    let before = run_times.upper_bound(&profile("small", 400)).expect("it is known");
    run_times.learn(&profile("small", 400), stream(50, 15));
    let after = run_times.upper_bound(&profile("small", 400)).expect("it is known");
    expect_that!(after, gt(before));
    expect_that!(after, ge(Duration::from_millis(400 * 10)));
}
