//! Faults that seeds found, each kept as a script of what led to it.

use googletest::prelude::*;
use switchhill_lab::emulator::faults::{Direction, Fault, PlannedFault};
use switchhill_lab::emulator::site::Sizes;
use switchhill_lab::emulator::{play, Plan};

/// Seeds of all chance beside the script.
const SEEDS: std::ops::Range<u64> = 1..6;

const SIZES: Sizes = Sizes { cores: 5, machines_lost: 1, edges: 4, workers: 8, fencing: true, sync_ms: 3 };

fn expect_holds(sizes: Sizes, faults: &[(u64, Fault)], ends_at: u64) {
    let planned = |(at, fault): &(u64, Fault)| PlannedFault { at: *at, fault: fault.clone() };
    let faults: Vec<PlannedFault> = faults.iter().map(planned).collect();
    for seed in SEEDS {
        let faults = faults.clone();
        let report = play(Plan { seed, sizes, faults, plain_from: 0, ends_at, flaw: None, narrated: false });
        expect_that!(report.violations, is_empty(), "seed {seed}");
    }
}

fn after_acknowledgement(fault: Fault) -> Fault {
    Fault::AfterAcknowledgement(Box::new(fault))
}

/// A machine was taken away and its successor had its 4 s, but the electorate still counted both: with one disk lost as
/// well, two of four were left and the register never worked again.
#[gtest]
fn a_machine_that_was_replaced_no_longer_votes_once_its_successor_has_caught_up() {
    let sizes = Sizes { cores: 3, ..SIZES };
    let wipe = after_acknowledgement(Fault::WipeCore { core: 0, others_lose_power: true });
    expect_holds(sizes, &[(8_000, Fault::ReplaceCore { core: 0 }), (15_100, wipe)], 32_000);
}

/// The same, with the successor itself losing its disk before it had caught up.
#[gtest]
fn a_successor_takes_the_vote_of_the_machine_that_it_replaces() {
    let sizes = Sizes { cores: 3, ..SIZES };
    let wipe = after_acknowledgement(Fault::WipeCore { core: 2, others_lose_power: true });
    expect_holds(sizes, &[(8_000, Fault::ReplaceCore { core: 0 }), (12_500, wipe)], 32_000);
}

/// A placer that had just taken over was restarted and took the role again, as its own successor: at once, though the
/// lease since its predecessor's last order was not over.
#[gtest]
fn a_restarted_placer_leaves_the_lease_after_its_predecessor() {
    let sizes = Sizes { machines_lost: 2, fencing: false, ..SIZES };
    for core in 0..5 {
        let cut = Fault::CutCore { side: 1 << core, direction: Direction::Outward, for_ms: 2_900 };
        expect_holds(sizes, &[(12_500, cut), (14_150, Fault::KillAllCores)], 20_000);
    }
}

/// A worker left while an edge machine stood still, and then all core machines lost power: none of them knew the worker any
/// more, and the edge machine took it for ready for ever.
#[gtest]
fn a_worker_that_the_core_has_forgotten_is_not_ready() {
    let mut faults = vec![(7_000, Fault::FreezeEdge { edge: 0, for_ms: 9_000 })];
    faults.extend((0..4).map(|place| (10_500, Fault::DrainWorker { place })));
    faults.push((15_000, Fault::PowerOffAllCores));
    expect_holds(SIZES, &faults, 26_000);
}

/// An agent was killed and the core lost its memory while a worker left: the new agent never heard of that worker, and the
/// data plane, which outlived both, held it for ready for ever.
#[gtest]
fn a_worker_that_agent_and_core_have_forgotten_is_not_ready() {
    let mut faults = vec![(7_000, Fault::FreezeEdge { edge: 0, for_ms: 9_000 })];
    faults.extend((0..4).map(|place| (10_500, Fault::DrainWorker { place })));
    faults.push((11_000, Fault::KillAgent { edge: 0 }));
    faults.push((15_000, Fault::PowerOffAllCores));
    expect_holds(SIZES, &faults, 26_000);
}
