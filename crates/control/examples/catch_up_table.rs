//! How long a member that was away, an empty one, an agent and a data plane take to catch up, by the number of changes.
//!
//! `cargo run --release -p switchhill-control --example catch_up_table`. Times are virtual.

#[path = "../tests/catch_up/mod.rs"]
mod catch_up;

use catch_up::{run, DiskTrouble, Outcome, Trial};

const ROUTES: u64 = 400;

fn main() {
    println!("{ROUTES} routes; milliseconds from the start of all four at once, kB, changes meanwhile");
    println!("disk         changes | away votes | empty votes | agent data plane | to away, empty | file waiting | more");
    for disk in [DiskTrouble::None, DiskTrouble::Slow(30), DiskTrouble::Stalled(3_000)] {
        for changes in [10, 100, 1_000] {
            match run(Trial { routes: ROUTES, changes, disk }) {
                Ok(outcome) => print(disk, changes, &outcome),
                Err(error) => println!("{disk:?} {changes}: {error}"),
            }
        }
    }
}

fn print(disk: DiskTrouble, changes: u64, outcome: &Outcome) {
    let kb = |bytes: usize| bytes / 1_000;
    let disk = format!("{disk:?}");
    println!(
        "{disk:13} {changes:6} | {:4} {:5} | {:5} {:5} | {:5} {:10} | {:7} {:6} | {:4} {:7} | {:4}",
        outcome.away_ms,
        outcome.away_votes_ms,
        outcome.empty_ms,
        outcome.empty_votes_ms,
        outcome.agent_ms,
        outcome.data_plane_ms,
        kb(outcome.away_bytes),
        kb(outcome.empty_bytes),
        kb(outcome.longest_file),
        kb(outcome.most_waiting),
        outcome.changes_meanwhile
    );
}
