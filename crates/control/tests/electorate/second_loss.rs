//! A second loss at every point of a repair or replacement, and consecutive losses of the oldest disks.

use crate::checker::Figures;
use crate::machine::CATCH_UP_MS;
use crate::site::{Flaw, Site};
use crate::world::{Event, World};
use googletest::prelude::*;

const THREE_MACHINES: Site = Site { zones: &[2, 1], machines_lost: 1, zones_lost: 0 };
const FIVE_MACHINES: Site = Site { zones: &[2, 1, 1, 1], machines_lost: 1, zones_lost: 0 };

/// Time in milliseconds before the first loss.
const SETTLE_MS: u64 = 8_000;

/// Step in milliseconds between the tested times of the second loss.
const STEP_MS: usize = 150;

/// Index of the machine that is lost first.
const FIRST_LOST: usize = 1;

/// Time in milliseconds without faults after the second loss.
const AFTER_MS: u64 = 9_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FirstLoss {
    /// Permanently removed; its replacement starts half a second later.
    Replaced,
    /// Its disk is lost; it restarts half a second later.
    Wiped,
    /// Its replacement starts and catches up; then it is asked to terminate.
    Planned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SecondLoss {
    /// Killed; restarts with its disk after two seconds.
    Killed,
    /// Its disk is lost; it restarts after half a second.
    Wiped,
}

/// Injects the first loss; returns the start of the replacement or the time of the SIGTERM, from which the delay of the
/// second loss is measured.
fn inject_first_loss(world: &mut World, first: FirstLoss) -> u64 {
    let seat = world.machines[FIRST_LOST].seat;
    let later = world.now + 500;
    match first {
        FirstLoss::Replaced => {
            world.stop(FIRST_LOST, true);
            world.add(later, Event::StartReplacement(seat));
            later
        }
        FirstLoss::Wiped => {
            world.stop(FIRST_LOST, false);
            world.wipe(FIRST_LOST);
            world.add(later, Event::Start(FIRST_LOST));
            later
        }
        FirstLoss::Planned => {
            world.add(world.now, Event::StartReplacement(seat));
            let end = world.now + CATCH_UP_MS + 50;
            world.add(end, Event::Terminate(FIRST_LOST, false));
            end
        }
    }
}

/// The machine that leads electorate changes, or the last one in the agreed order, excluding the machine lost first and
/// its replacement.
fn second_lost_machine(world: &World, leader: bool) -> usize {
    let others = (0..world.site.machines()).filter(|index| *index != FIRST_LOST);
    let by_id = |index: &usize| world.machines[*index].replica;
    match leader {
        true => others.min_by_key(by_id),
        false => others.max_by_key(by_id),
    }
    .expect("a core has other machines")
}

fn run(site: Site, first: FirstLoss, second: SecondLoss, leader: bool, after: u64) -> (Figures, Vec<String>) {
    run_with(site, None, first, second, leader, after)
}

fn run_with(
    site: Site,
    flaw: Option<Flaw>,
    first: FirstLoss,
    second: SecondLoss,
    leader: bool,
    after: u64,
) -> (Figures, Vec<String>) {
    let mut world = World::new(after, site, flaw);
    world.run_until(world.now + SETTLE_MS);
    let measured_from = inject_first_loss(&mut world, first);
    world.run_until(measured_from + after);
    let second_lost = second_lost_machine(&world, leader);
    world.stop(second_lost, false);
    let restart_delay = match second {
        SecondLoss::Killed => 2_000,
        SecondLoss::Wiped => {
            world.wipe(second_lost);
            500
        }
    };
    world.add(world.now + restart_delay, Event::Start(second_lost));
    world.finish(AFTER_MS)
}

/// Reports each time of the second loss at which a majority could be lost or another invariant was violated.
fn failures(site: Site, first: FirstLoss, second: SecondLoss, times: std::ops::Range<u64>) -> Vec<String> {
    let mut failures = Vec::new();
    for after in times.step_by(STEP_MS) {
        for leader in [true, false] {
            let (figures, violations) = run(site, first, second, leader, after);
            let context = format!("{first:?}, {second:?} after {after} ms, leader {leader}");
            if figures.longest_exposed > 0 || !violations.is_empty() {
                failures.push(format!("{context}: {figures:?} {violations:?}"));
            }
        }
    }
    failures
}

/// From the first message of a change until shortly after `catchUpS`.
const ALL_TIMES: std::ops::Range<u64> = 0..CATCH_UP_MS + 600;

#[gtest]
fn a_process_lost_during_a_repair_leaves_nothing_broken() {
    for first in [FirstLoss::Replaced, FirstLoss::Wiped, FirstLoss::Planned] {
        expect_that!(failures(THREE_MACHINES, first, SecondLoss::Killed, ALL_TIMES), is_empty());
    }
}

#[gtest]
fn five_machines_tolerate_a_second_disk_loss_at_any_point_of_a_repair() {
    for first in [FirstLoss::Replaced, FirstLoss::Wiped] {
        expect_that!(failures(FIVE_MACHINES, first, SecondLoss::Wiped, ALL_TIMES), is_empty());
    }
}

#[gtest]
fn three_machines_tolerate_a_second_disk_loss_once_the_first_has_caught_up() {
    for first in [FirstLoss::Replaced, FirstLoss::Wiped] {
        let times = CATCH_UP_MS..CATCH_UP_MS + 600;
        expect_that!(failures(THREE_MACHINES, first, SecondLoss::Wiped, times), is_empty());
    }
}

#[gtest]
fn a_disk_loss_at_any_point_after_a_planned_termination_is_tolerated() {
    expect_that!(failures(THREE_MACHINES, FirstLoss::Planned, SecondLoss::Wiped, ALL_TIMES), is_empty());
}

/// Injected defect: the process exits at once, so a disk lost at the same time removes a vote that the quorum needs.
#[gtest]
fn a_planned_termination_that_does_not_wait_is_detected() {
    let flaw = Some(Flaw::LeavesAtOnce);
    let results = (0..200)
        .step_by(50)
        .map(|after| run_with(THREE_MACHINES, flaw, FirstLoss::Planned, SecondLoss::Wiped, true, after).1);
    expect_that!(results.flatten().count(), gt(0));
}

#[gtest]
fn the_oldest_disks_are_lost_one_after_the_other() {
    for site in [THREE_MACHINES, FIVE_MACHINES] {
        let mut world = World::new(1, site, None);
        world.run_until(world.now + SETTLE_MS);
        for _ in 0..2 * site.machines() {
            let oldest = (0..world.machines.len()).min_by_key(|index| world.machines[*index].healthy_since);
            let oldest = oldest.expect("a core has machines");
            world.stop(oldest, false);
            world.wipe(oldest);
            let back = world.now + 300;
            world.add(back, Event::Start(oldest));
            world.run_until(back + CATCH_UP_MS + 20);
        }
        let (figures, violations) = world.finish(AFTER_MS);
        expect_that!(violations, is_empty(), "{site:?}");
        expect_that!(figures.longest_exposed, eq(0), "{site:?}");
    }
}
