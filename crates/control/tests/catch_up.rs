//! Time and resources needed to catch up after many configuration changes.

#[path = "catch_up/mod.rs"]
mod catch_up;

use catch_up::{run, run_absence, Absence, Cut, DiskFault, Outcome, Trial};
use googletest::prelude::*;

/// Routes of the configuration; the example `catch_up_table` uses 400.
const ROUTES: u64 = 40;

/// File size in bytes above which the log is rewritten.
const REWRITE_ABOVE: usize = 8 << 20;

/// Variation in milliseconds caused by where a concurrent change falls.
const JITTER_MS: u64 = 600;

fn outcome(changes: u64, disk: DiskFault) -> Outcome {
    let trial = Trial { routes: ROUTES, changes, change_every_ms: 200, disk };
    run(trial).unwrap_or_else(|error| panic!("{trial:?}: {error}"))
}

#[gtest]
fn the_time_to_catch_up_does_not_grow_with_the_number_of_changes() {
    for disk in [DiskFault::None, DiskFault::Slow(30), DiskFault::Stalled(3_000)] {
        let few = outcome(5, disk);
        let many = outcome(200, disk);
        println!("{disk:?}: {few:?}\n{many:?}");
        let times = |outcome: &Outcome| {
            let Outcome { away_ms, empty_ms, away_voter_ms, empty_voter_ms, agent_ms, data_plane_ms, .. } =
                *outcome;
            [away_ms, empty_ms, away_voter_ms, empty_voter_ms, agent_ms, data_plane_ms]
        };
        for (few, many) in times(&few).into_iter().zip(times(&many)) {
            expect_that!(
                many,
                le(few + JITTER_MS),
                "{disk:?}: {many} ms after 200 changes, {few} ms after 5"
            );
        }
        for outcome in [few, many] {
            let value = outcome.configuration_bytes + 10_000;
            expect_that!(
                outcome.away_ms.max(outcome.empty_ms),
                lt(1_000),
                "{disk:?}: a slow disk must not delay reads"
            );
            expect_that!(outcome.agent_ms.max(outcome.data_plane_ms), lt(500), "{disk:?}");
            expect_that!(outcome.most_waiting, lt(2 * value), "{disk:?}: bytes queued for a disk");
            expect_that!(outcome.longest_file, lt(REWRITE_ABOVE + 8 * value), "{disk:?}");
        }
    }
}

#[gtest]
fn a_returning_member_claims_nothing_before_it_knows_the_majority_state() {
    let absences = [
        Absence::Cut(Cut::Both),
        Absence::Cut(Cut::Deaf),
        Absence::Cut(Cut::Mute),
        Absence::Frozen,
        Absence::Restarted,
    ];
    for absence in absences {
        // Covers every phase of heartbeats and repairs, past the maximum age of a contact that counts.
        for for_ms in (1_000..2_200).step_by(60).chain([5_000]) {
            expect_no_early_claims(absence, for_ms);
        }
    }
}

/// Guards against stale read answers: the catch-up read is in flight when the node is frozen or stops receiving, so its
/// answers may be older than the contacts that follow.
#[gtest]
fn a_member_interrupted_during_catch_up_claims_nothing_before_it_knows_the_majority_state() {
    for after_ms in (10..210).step_by(5) {
        expect_no_early_claims(Absence::FrozenAfterStart(after_ms), 3_000);
        expect_no_early_claims(Absence::CutAfterStart(Cut::Deaf, after_ms), 2_000 + 3 * after_ms);
    }
}

fn expect_no_early_claims(absence: Absence, for_ms: u64) {
    let (violations, caught_up_ms) = run_absence(absence, for_ms, 100);
    let first = violations.first();
    expect_that!(first, none(), "{absence:?} for {for_ms} ms, {} violations in total", violations.len());
    expect_that!(caught_up_ms, lt(1_000), "{absence:?} for {for_ms} ms");
}
