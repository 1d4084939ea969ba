//! Catching up after many changes.

#[path = "catch_up/mod.rs"]
mod catch_up;

use catch_up::{run, run_absence, Absence, Cut, DiskTrouble, Outcome, Trial};
use googletest::prelude::*;

/// Routes of the configuration; with 400 of them see the example `catch_up_table`.
const ROUTES: u64 = 40;

/// Bytes of a file above which it is rewritten.
const REWRITE_ABOVE: usize = 8 << 20;

/// Time in milliseconds by which a moment of a change in progress may shift an outcome.
const JITTER_MS: u64 = 600;

fn outcome(changes: u64, disk: DiskTrouble) -> Outcome {
    let trial = Trial { routes: ROUTES, changes, change_every_ms: 200, disk };
    run(trial).unwrap_or_else(|error| panic!("{trial:?}: {error}"))
}

#[gtest]
fn the_time_to_catch_up_does_not_grow_with_the_number_of_changes() {
    for disk in [DiskTrouble::None, DiskTrouble::Slow(30), DiskTrouble::Stalled(3_000)] {
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
                "{disk:?}: a disk holds up no read"
            );
            expect_that!(outcome.agent_ms.max(outcome.data_plane_ms), lt(500), "{disk:?}");
            expect_that!(outcome.most_waiting, lt(2 * value), "{disk:?}: bytes that wait for a disk");
            expect_that!(outcome.longest_file, lt(REWRITE_ABOVE + 8 * value), "{disk:?}");
        }
    }
}

#[gtest]
fn a_member_that_comes_back_claims_nothing_before_it_knows_what_a_majority_holds() {
    let absences = [
        Absence::Cut(Cut::Both),
        Absence::Cut(Cut::Deaf),
        Absence::Cut(Cut::Dumb),
        Absence::Frozen,
        Absence::Restarted,
    ];
    for absence in absences {
        // Every phase of heartbeats and repairs, beyond the age up to which a contact counts.
        for for_ms in (1_000..2_200).step_by(60).chain([5_000]) {
            claims_nothing_early(absence, for_ms);
        }
    }
}

/// The read that brings a node up to date is under way when the node is frozen or receives nothing; its answers may be
/// older than the contact that the node has afterwards.
#[gtest]
fn a_member_interrupted_while_it_catches_up_claims_nothing_before_it_knows_what_a_majority_holds() {
    for after_ms in (10..210).step_by(5) {
        claims_nothing_early(Absence::FrozenAfterStart(after_ms), 3_000);
        claims_nothing_early(Absence::CutAfterStart(Cut::Deaf, after_ms), 2_000 + 3 * after_ms);
    }
}

fn claims_nothing_early(absence: Absence, for_ms: u64) {
    let (violations, knew_ms) = run_absence(absence, for_ms, 100);
    let first = violations.first();
    expect_that!(first, none(), "{absence:?} for {for_ms} ms, {} in all", violations.len());
    expect_that!(knew_ms, lt(1_000), "{absence:?} for {for_ms} ms");
}
