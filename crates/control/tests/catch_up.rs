//! Catching up after many changes.

#[path = "catch_up/mod.rs"]
mod catch_up;

use catch_up::{run, DiskTrouble, Outcome, Trial};
use googletest::prelude::*;

fn outcome(changes: u64, disk: DiskTrouble) -> Outcome {
    run(Trial { changes, disk }).unwrap_or_else(|error| panic!("{changes} changes, {disk:?}: {error}"))
}

#[gtest]
fn the_time_to_catch_up_does_not_grow_with_the_number_of_changes() {
    for disk in [DiskTrouble::None, DiskTrouble::Slow(30), DiskTrouble::Stalled(3_000)] {
        let few = outcome(5, disk);
        let many = outcome(60, disk);
        println!("{disk:?}: {few:?}\n{many:?}");
    }
}
