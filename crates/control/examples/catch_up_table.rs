//! How long a member that was away, an empty one, an agent and a data plane take to catch up, by the number of changes.
//!
//! `cargo run --release -p switchhill-control --example catch_up_table`. Times are virtual.

#[path = "../tests/catch_up/mod.rs"]
mod catch_up;

use catch_up::{run, DiskFault, Outcome, Trial};

const ROUTES: u64 = 400;

fn main() {
    println!("{ROUTES} routes; milliseconds from the start of all four at once, kB, changes meanwhile, ms of an order");
    println!(
        "disk          every changes | away voter | empty voter | agent data plane | to away, empty | file waiting | \
         more order"
    );
    for change_every_ms in [200, 5] {
        for disk in [DiskFault::None, DiskFault::Slow(30), DiskFault::Stalled(3_000)] {
            for changes in [10, 100, 1_000] {
                print(Trial { routes: ROUTES, changes, change_every_ms, disk });
            }
        }
    }
}

fn print(trial: Trial) {
    let Trial { changes, change_every_ms, disk, .. } = trial;
    let outcome = match run(trial) {
        Ok(outcome) => outcome,
        Err(error) => {
            println!("{trial:?}: {error}");
            return;
        }
    };
    let kb = |bytes: usize| bytes / 1_000;
    let Outcome { away_ms, away_voter_ms, empty_ms, empty_voter_ms, agent_ms, data_plane_ms, .. } = outcome;
    let (away, empty) = (kb(outcome.away_bytes), kb(outcome.empty_bytes));
    let (file, waiting) = (kb(outcome.longest_file), kb(outcome.most_waiting));
    let disk = format!("{disk:?}");
    println!(
        "{disk:13} {change_every_ms:5} {changes:7} | {away_ms:4} {away_voter_ms:5} | {empty_ms:5} {empty_voter_ms:5} | \
         {agent_ms:5} {data_plane_ms:10} | {away:7} {empty:6} | {file:4} {waiting:7} | {:4} {:5}",
        outcome.changes_meanwhile, outcome.order_ms
    );
}
