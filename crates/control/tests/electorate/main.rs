//! Seeded fault-injection tests of electorate changes, with real core nodes in virtual time.
//!
//! Faults are injected as soon as the site must tolerate them: losses of machines and zones, planned and unplanned
//! replacements, one-way and two-way network partitions, and restarts of a majority during a change. The tests check that
//! acknowledged orders survive, and that no further tolerated loss could ever leave the electorate without a majority.

mod checker;
mod faults;
mod first_in_order;
mod machine;
#[path = "../node_settings/mod.rs"]
mod node_settings;
mod operator;
mod second_loss;
mod site;
mod world;

use checker::Figures;
use googletest::prelude::*;
use site::{Flaw, Site};
use world::World;

/// Duration of the fault injection in one run, in milliseconds.
const FAULTS_MS: u64 = 60_000;

/// Longest time in milliseconds for which a further tolerated loss may leave no majority.
const MAX_EXPOSED_MS: u64 = 0;

/// Limit in milliseconds from a machine's restart or its replacement's start until it votes, or until the electorate has
/// full fault tolerance without it: `catchUpS`, after which another machine may be lost.
const MAX_BACK_TO_FULL_MS: u64 = 4_000;

/// Longest time in milliseconds between acknowledgements while the losses are tolerated: `ackMs`.
const MAX_UNACKNOWLEDGED_MS: u64 = 4_000;

/// Cores of 3 to 11 machines, in all deployed layouts and some others.
const SITES: [Site; 11] = [
    Site { zones: &[2, 1], machines_lost: 1, zones_lost: 0 },
    Site { zones: &[1, 1, 1], machines_lost: 1, zones_lost: 1 },
    Site { zones: &[2, 2], machines_lost: 1, zones_lost: 0 },
    Site { zones: &[2, 1, 1, 1], machines_lost: 1, zones_lost: 0 },
    Site { zones: &[2, 2, 1], machines_lost: 1, zones_lost: 1 },
    Site { zones: &[3, 1, 1], machines_lost: 1, zones_lost: 1 },
    Site { zones: &[3, 3, 3], machines_lost: 2, zones_lost: 1 },
    Site { zones: &[9], machines_lost: 2, zones_lost: 0 },
    Site { zones: &[4, 4, 3], machines_lost: 3, zones_lost: 1 },
    Site { zones: &[3, 2], machines_lost: 2, zones_lost: 0 },
    Site { zones: &[7], machines_lost: 3, zones_lost: 0 },
];

/// Worst results of all runs of a site.
#[derive(Debug, Default)]
struct RunResults {
    figures: Figures,
    violations: Vec<String>,
    /// Seeds with the worst `longest_exposed`, `back_to_full` and `longest_unacknowledged`.
    worst_seeds: (u64, u64, u64),
}

fn run(site: Site, flaw: Option<Flaw>, seeds: std::ops::Range<u64>) -> RunResults {
    let mut results = RunResults::default();
    for seed in seeds {
        let (figures, violations) = World::new(seed, site, flaw).run(FAULTS_MS);
        let total = &mut results.figures;
        total.changes += figures.changes;
        total.acknowledged += figures.acknowledged;
        if figures.longest_exposed > total.longest_exposed {
            (total.longest_exposed, results.worst_seeds.0) = (figures.longest_exposed, seed);
        }
        if figures.back_to_full > total.back_to_full {
            (total.back_to_full, results.worst_seeds.1) = (figures.back_to_full, seed);
        }
        if figures.longest_unacknowledged > total.longest_unacknowledged {
            (total.longest_unacknowledged, results.worst_seeds.2) = (figures.longest_unacknowledged, seed);
        }
        total.loss_to_full = total.loss_to_full.max(figures.loss_to_full);
        results.violations.extend(violations);
    }
    println!("{site:?}: {:?}, worst seeds {:?}", results.figures, results.worst_seeds);
    results
}

fn expect_within_limits(site: Site, results: &RunResults) {
    expect_that!(results.violations, is_empty(), "{site:?}");
    let worst = &results.worst_seeds;
    expect_that!(results.figures.longest_exposed, le(MAX_EXPOSED_MS), "{site:?}, seed {}", worst.0);
    expect_that!(results.figures.back_to_full, le(MAX_BACK_TO_FULL_MS), "{site:?}, seed {}", worst.1);
    expect_that!(
        results.figures.longest_unacknowledged,
        le(MAX_UNACKNOWLEDGED_MS),
        "{site:?}, seed {}",
        worst.2
    );
}

#[gtest]
fn electorates_tolerate_the_losses_of_their_sites() {
    for site in SITES {
        expect_within_limits(site, &run(site, None, 0..3));
    }
}

/// Run manually with optimizations: `SEEDS=0..1000 cargo test --release -p switchhill-control --test electorate -- --ignored many`.
#[gtest]
#[ignore = "takes minutes"]
fn many_runs_tolerate_the_losses_of_their_sites() {
    let seeds = std::env::var("SEEDS").unwrap_or_else(|_| "1000..1200".into());
    let (first, end) = seeds.split_once("..").expect("SEEDS is a range");
    let seeds = first.parse().expect("a number")..end.parse().expect("a number");
    for site in SITES {
        expect_within_limits(site, &run(site, None, seeds.clone()));
    }
}

/// Replays one run and prints its events: `SITE=0 SEED=37 cargo test ... -- --ignored --nocapture one_run`.
#[gtest]
#[ignore = "replays one run"]
fn one_run_with_events() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut world = World::new(number("SEED") as u64, SITES[number("SITE")], None);
    world.checker.verbose = true;
    let (figures, violations) = world.run(FAULTS_MS);
    println!("{figures:?}");
    expect_that!(violations, is_empty());
}

/// Runs a site with an injected defect.
fn with_flaw(site: usize, flaw: Flaw, seeds: std::ops::Range<u64>) -> RunResults {
    run(SITES[site], Some(flaw), seeds)
}

#[gtest]
fn a_wiped_machine_that_keeps_its_old_id_is_detected() {
    // Only one of the runs of each site detects the defect; most end before the vote of the wiped replica is decisive.
    for (site, seeds) in [(0, 12..18), (9, 152..155)] {
        let results = with_flaw(site, Flaw::WipedKeepsId, seeds);
        expect_that!(results.violations, not(is_empty()), "site {site}");
    }
}

#[gtest]
fn members_removed_below_2f_plus_1_are_detected() {
    let results = with_flaw(9, Flaw::DropsBelowQuorum, 0..3);
    expect_that!(results.figures.longest_exposed, gt(MAX_EXPOSED_MS));
}

#[gtest]
fn ignored_zones_are_detected() {
    let results = with_flaw(5, Flaw::IgnoresZones, 0..2);
    expect_that!(results.figures.longest_exposed, gt(MAX_EXPOSED_MS));
}

#[gtest]
fn a_process_that_exits_without_waiting_is_detected() {
    let results = with_flaw(0, Flaw::LeavesAtOnce, 0..12);
    expect_that!(results.figures.longest_exposed, gt(MAX_EXPOSED_MS));
}
