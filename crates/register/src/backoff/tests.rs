//! Waits after refused rounds.

use super::{Backoff, FIRST_BOUND_MS, FORGET_AFTER_MS, MAX_DOUBLINGS, SHORTEST_MS};
use crate::random::Random;
use googletest::prelude::*;

fn longest_wait(backoff: &Backoff) -> u64 {
    let mut random = Random::new(1);
    let waits = (0..1_000).map(|_| backoff.wait_ms(&mut random));
    waits.inspect(|wait| assert_that!(*wait, ge(SHORTEST_MS))).max().expect("waits")
}

#[gtest]
fn the_bound_of_the_wait_doubles_with_each_refused_round() {
    let mut backoff = Backoff::default();
    for round in 0..2 * MAX_DOUBLINGS {
        let bound = FIRST_BOUND_MS << round.min(MAX_DOUBLINGS);
        let longest = longest_wait(&backoff);
        expect_that!(longest, all!(gt(bound * 9 / 10), le(bound)), "after {round} refused rounds");
        backoff.round_refused(u64::from(round));
    }
}

#[gtest]
fn waits_are_short_again_once_a_value_is_chosen_or_nothing_is_refused_any_more() {
    let mut backoff = Backoff::default();
    backoff.round_refused(1_000);
    backoff.value_chosen();
    expect_that!(backoff, eq(&Backoff::default()));
    backoff.round_refused(1_000);
    backoff.tick(1_000 + FORGET_AFTER_MS - 1);
    expect_that!(backoff.is_contended(), eq(true));
    backoff.tick(1_000 + FORGET_AFTER_MS);
    expect_that!(backoff, eq(&Backoff::default()));
}
