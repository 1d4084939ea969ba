//! The control plane in virtual time, by seed.

use googletest::prelude::*;
use switchhill_lab::emulator::{replay, replay_all, Report};

/// Seeds that a run of the tests plays: a minute of an otherwise idle machine.
const SEEDS: u64 = 1_000;

#[gtest]
fn nothing_that_must_hold_is_broken_by_any_seed() {
    let reports = replay_all(1..1 + SEEDS);
    for report in reports.iter().filter(|report| !report.holds()) {
        add_failure!("{report}");
    }
}

#[gtest]
fn a_seed_plays_the_same_each_time() -> Result<()> {
    for seed in [3, 17, 40] {
        let (first, second) = (replay(seed), replay(seed));
        verify_that!(first.trace, eq(second.trace)).with_failure_message(|| format!("seed {seed}"))?;
        verify_that!(first.events, eq(second.events)).with_failure_message(|| format!("seed {seed}"))?;
    }
    Ok(())
}

/// One seed of ten may have little to do: a single one says more of its draws than of the emulator.
#[gtest]
fn nine_of_ten_runs_are_busy_enough_to_tell_something() {
    let reports: Vec<_> = (1..=10).map(replay).collect();
    let is_busy = |report: &&Report| report.acknowledged > 15 && report.reads > 5 && report.orders > 20;
    let busy = reports.iter().filter(is_busy).count();
    let acknowledged: Vec<_> = reports.iter().map(|report| report.acknowledged).collect();
    expect_that!(busy, ge(9), "changes acknowledged: {acknowledged:?}");
}
