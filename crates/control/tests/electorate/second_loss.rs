//! A second loss at each moment of a repair or replacement, and the oldest disks lost one after the other.

use crate::checker::Figures;
use crate::machine::CATCH_UP_MS;
use crate::site::{Flaw, Site};
use crate::world::{Event, World};
use googletest::prelude::*;

const THREE: Site = Site { zones: &[2, 1], machines_lost: 1, zones_lost: 0 };
const FIVE: Site = Site { zones: &[2, 1, 1, 1], machines_lost: 1, zones_lost: 0 };

/// Calm before the first loss.
const CALM_MS: u64 = 8_000;

/// Time between two moments that are tried.
const STEP_MS: usize = 150;

/// The machine that is lost first.
const FIRST_LOST: usize = 1;

/// Calm after the second loss.
const AFTER_MS: u64 = 9_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum First {
    /// Taken away; its successor starts half a second later.
    Replaced,
    /// Its disk is lost; it starts half a second later.
    Wiped,
    /// Its successor starts, and catches up; then it is told to end.
    Planned,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Second {
    /// Killed; back with its disk after two seconds.
    Killed,
    /// The disk is lost; back after half a second.
    Wiped,
}

/// Plays the first loss; returns the moment from which the second is counted: the start of the successor, or the SIGTERM.
fn lose_first(world: &mut World, first: First) -> u64 {
    let seat = world.machines[FIRST_LOST].seat;
    let later = world.now + 500;
    match first {
        First::Replaced => {
            world.stop(FIRST_LOST, true);
            world.add(later, Event::Succeed(seat));
            later
        }
        First::Wiped => {
            world.stop(FIRST_LOST, false);
            world.wipe(FIRST_LOST);
            world.add(later, Event::Start(FIRST_LOST));
            later
        }
        First::Planned => {
            world.add(world.now, Event::Succeed(seat));
            let end = world.now + CATCH_UP_MS + 50;
            world.add(end, Event::Terminate(FIRST_LOST, false));
            end
        }
    }
}

/// The machine that drives changes, or the last one in the agreed order, beside the one lost first and its successor.
fn second_victim(world: &World, driver: bool) -> usize {
    let others = (0..world.site.machines()).filter(|index| *index != FIRST_LOST);
    let by_id = |index: &usize| world.machines[*index].replica;
    match driver {
        true => others.min_by_key(by_id),
        false => others.max_by_key(by_id),
    }
    .expect("a core has other machines")
}

fn play(site: Site, first: First, second: Second, driver: bool, after: u64) -> (Figures, Vec<String>) {
    play_with(site, None, first, second, driver, after)
}

fn play_with(
    site: Site,
    flaw: Option<Flaw>,
    first: First,
    second: Second,
    driver: bool,
    after: u64,
) -> (Figures, Vec<String>) {
    let mut world = World::new(after, site, flaw);
    world.run_until(world.now + CALM_MS);
    let counted_from = lose_first(&mut world, first);
    world.run_until(counted_from + after);
    let victim = second_victim(&world, driver);
    world.stop(victim, false);
    let pause = match second {
        Second::Killed => 2_000,
        Second::Wiped => {
            world.wipe(victim);
            500
        }
    };
    world.add(world.now + pause, Event::Start(victim));
    world.end_calmly(AFTER_MS)
}

/// Moments at which the second loss would leave no majority for good, or broke something else.
fn broken(site: Site, first: First, second: Second, moments: std::ops::Range<u64>) -> Vec<String> {
    let mut broken = Vec::new();
    for after in moments.step_by(STEP_MS) {
        for driver in [true, false] {
            let (figures, violations) = play(site, first, second, driver, after);
            let what = format!("{first:?}, {second:?} after {after} ms, driver {driver}");
            if figures.longest_exposed > 0 || !violations.is_empty() {
                broken.push(format!("{what}: {figures:?} {violations:?}"));
            }
        }
    }
    broken
}

/// From the first message of a change to a while after `catchUpS`.
const ALL_MOMENTS: std::ops::Range<u64> = 0..CATCH_UP_MS + 600;

#[gtest]
fn a_process_lost_during_a_repair_leaves_nothing_broken() {
    for first in [First::Replaced, First::Wiped, First::Planned] {
        expect_that!(broken(THREE, first, Second::Killed, ALL_MOMENTS), is_empty());
    }
}

#[gtest]
fn five_bear_a_second_lost_disk_at_each_moment_of_a_repair() {
    for first in [First::Replaced, First::Wiped] {
        expect_that!(broken(FIVE, first, Second::Wiped, ALL_MOMENTS), is_empty());
    }
}

#[gtest]
fn three_bear_a_second_lost_disk_once_the_first_is_caught_up() {
    for first in [First::Replaced, First::Wiped] {
        let moments = CATCH_UP_MS..CATCH_UP_MS + 600;
        expect_that!(broken(THREE, first, Second::Wiped, moments), is_empty());
    }
}

#[gtest]
fn a_disk_lost_at_each_moment_after_a_planned_end_is_borne() {
    expect_that!(broken(THREE, First::Planned, Second::Wiped, ALL_MOMENTS), is_empty());
}

/// Planted fault: the process is gone at once, and a disk lost in the same moment was one that the quorum needed.
#[gtest]
fn a_planned_end_that_waits_for_nobody_is_found() {
    let flaw = Some(Flaw::LeavesAtOnce);
    let played = (0..200)
        .step_by(50)
        .map(|after| play_with(THREE, flaw, First::Planned, Second::Wiped, true, after).1);
    expect_that!(played.flatten().count(), gt(0));
}

#[gtest]
fn the_oldest_disks_are_lost_one_after_the_other() {
    for site in [THREE, FIVE] {
        let mut world = World::new(1, site, None);
        world.run_until(world.now + CALM_MS);
        for _ in 0..2 * site.machines() {
            let oldest = (0..world.machines.len()).min_by_key(|index| world.machines[*index].well_since);
            let oldest = oldest.expect("a core has machines");
            world.stop(oldest, false);
            world.wipe(oldest);
            let back = world.now + 300;
            world.add(back, Event::Start(oldest));
            world.run_until(back + CATCH_UP_MS + 20);
        }
        let (figures, violations) = world.end_calmly(AFTER_MS);
        expect_that!(violations, is_empty(), "{site:?}");
        expect_that!(figures.longest_exposed, eq(0), "{site:?}");
    }
}
