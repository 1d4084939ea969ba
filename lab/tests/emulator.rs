//! The control plane in virtual time, by seed.

use googletest::prelude::*;
use switchhill_lab::emulator::{replay, replay_all};

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

#[gtest]
fn a_run_is_busy_enough_to_tell_something() -> Result<()> {
    let report = replay(1);
    verify_that!(report.acknowledged, gt(15))?;
    verify_that!(report.reads, gt(5))?;
    verify_that!(report.orders, gt(20))
}
