//! The first member in the agreed order can't change the electorate: the next one that can does.

use crate::checker::Figures;
use crate::machine::{Power, CATCH_UP_MS};
use crate::site::Site;
use crate::world::{Event, World};
use crate::{FULL_WITHIN, SITES};
use googletest::prelude::*;

/// Calm before the trouble.
const CALM_MS: u64 = 8_000;

/// From the trouble to the loss of another machine: one that starts again counts by then.
const LOSS_AFTER_MS: u64 = CATCH_UP_MS + 300;

/// For how long the first member can't change the electorate: until long after the lost machine's successor counts.
const TROUBLE_MS: u64 = LOSS_AFTER_MS + 12_000;

/// From the loss of the other machine to its successor's start.
const SUCCESSOR_AFTER_MS: u64 = 500;

/// Calm after the trouble.
const AFTER_MS: u64 = 9_000;

/// Longest time from a planned end to the end of the process: a heartbeat, a change, and a tick.
const GONE_WITHIN_MS: u64 = 1_500;

/// Why the first member can't change the electorate, although it is heard.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// It starts on a disk that stalls: no ballot is reserved in this life.
    RestartsOnStalledDisk,
    /// Its disk stalls, and a member that starts again proposes under ballots above its reservation.
    OutrunOnStalledDisk,
    /// It is heard and hears nobody.
    Deaf,
}

/// Machines by their place in the agreed order, the first one first.
fn in_order(world: &World) -> Vec<usize> {
    let mut machines: Vec<usize> = (0..world.machines.len()).collect();
    machines.sort_by_key(|index| world.machines[*index].replica);
    machines
}

fn begin(world: &mut World, trouble: Trouble) {
    let order = in_order(world);
    let until = world.now + TROUBLE_MS;
    match trouble {
        Trouble::RestartsOnStalledDisk => {
            world.stop(order[0], false);
            world.machines[order[0]].disk.stalled_until = until;
            world.add(world.now + 100, Event::Start(order[0]));
        }
        Trouble::OutrunOnStalledDisk => {
            world.machines[order[0]].disk.stalled_until = until;
            world.stop(order[1], false);
            world.add(world.now + 100, Event::Start(order[1]));
        }
        Trouble::Deaf => world.machines[order[0]].deaf_until = until,
    }
}

/// What a day came to.
struct Played {
    figures: Figures,
    violations: Vec<String>,
    /// Voters without trouble once the lost machine's successor counted.
    voters_up: usize,
}

/// The last machine in the order is taken away while the first can't change the electorate.
fn play(seed: u64, site: Site, trouble: Trouble) -> Played {
    let mut world = World::new(seed, site, None);
    world.run_until(world.now + CALM_MS);
    begin(&mut world, trouble);
    world.run_until(world.now + LOSS_AFTER_MS);
    let lost = in_order(&world)[site.machines() - 1];
    let seat = world.machines[lost].seat;
    world.stop(lost, true);
    let succeeds_at = world.now + SUCCESSOR_AFTER_MS;
    world.add(succeeds_at, Event::Succeed(seat));
    world.run_until(succeeds_at + FULL_WITHIN);
    let voters_up = voters_up(&world);
    world.run_until(succeeds_at + TROUBLE_MS - LOSS_AFTER_MS);
    let (figures, violations) = world.end_calmly(AFTER_MS);
    Played { figures, violations, voters_up }
}

/// Members of the newest electorate that are in no trouble.
fn voters_up(world: &World) -> usize {
    let electorate = world.checker.electorate().expect("an electorate that is chosen");
    let up = world.machines.iter().filter(|machine| !machine.is_in_trouble(world.now));
    up.filter(|machine| electorate.members.iter().any(|member| member.id.0 == machine.replica)).count()
}

/// With the first member, 2f + 1 are there once the successor counts.
fn expect_others_drive(trouble: Trouble) {
    for site in SITES.into_iter().filter(|site| site.machines_lost > 1) {
        let played = play(1, site, trouble);
        let what = format!("{site:?}, {trouble:?}");
        expect_that!(played.violations, is_empty(), "{what}");
        expect_that!(played.figures.longest_exposed, eq(0), "{what}");
        expect_that!(played.voters_up, ge(2 * site.machines_lost), "{what}");
    }
}

#[gtest]
fn a_member_that_starts_on_a_stalled_disk_is_passed_over() {
    expect_others_drive(Trouble::RestartsOnStalledDisk);
}

#[gtest]
fn a_member_whose_ballots_were_outrun_on_a_stalled_disk_is_passed_over() {
    expect_others_drive(Trouble::OutrunOnStalledDisk);
}

#[gtest]
fn a_member_that_is_heard_and_hears_nobody_is_passed_over() {
    expect_others_drive(Trouble::Deaf);
}

/// The change that lets the first member go is another one's to make.
#[gtest]
fn a_member_that_is_told_to_end_is_passed_over() {
    for site in SITES {
        let mut world = World::new(1, site, None);
        world.run_until(world.now + CALM_MS);
        let first = in_order(&world)[0];
        world.add(world.now, Event::Succeed(world.machines[first].seat));
        world.run_until(world.now + CATCH_UP_MS + 50);
        world.add(world.now, Event::Terminate(first, false));
        world.run_until(world.now + GONE_WITHIN_MS);
        expect_true!(matches!(world.machines[first].power, Power::Gone), "{site:?}");
        let (figures, violations) = world.end_calmly(AFTER_MS);
        expect_that!(violations, is_empty(), "{site:?}");
        expect_that!(figures.longest_exposed, eq(0), "{site:?}");
    }
}
