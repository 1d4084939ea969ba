//! If the first member in the agreed order can't change the electorate, the next capable member does.

use crate::checker::Figures;
use crate::machine::{ProcessState, CATCH_UP_MS};
use crate::site::Site;
use crate::world::{Event, World};
use crate::{MAX_BACK_TO_FULL_MS, SITES};
use googletest::prelude::*;

/// Time in milliseconds before the first fault.
const SETTLE_MS: u64 = 8_000;

/// Time from the first fault to the loss of another machine, by which a restarted machine counts as available.
const LOSS_AFTER_MS: u64 = CATCH_UP_MS + 300;

/// Duration of the first member's fault; it ends long after the replacement of the lost machine counts as available.
const FAULT_MS: u64 = LOSS_AFTER_MS + 12_000;

/// Time from the loss of the other machine to the start of its replacement.
const REPLACEMENT_AFTER_MS: u64 = 500;

/// Time without faults at the end of a run.
const AFTER_MS: u64 = 9_000;

/// Longest time from a termination request to the process exit: a heartbeat, an electorate change and a tick.
const MAX_EXIT_MS: u64 = 1_500;

/// Fault that prevents the first member from changing the electorate, although its messages arrive.
#[derive(Clone, Copy, Debug)]
enum FirstMemberFault {
    /// It restarts on a stalled disk, so this incarnation reserves no ballots.
    RestartsOnStalledDisk,
    /// Its disk stalls, and a restarted member proposes ballots above its reservation.
    OutrunOnStalledDisk,
    /// Its messages arrive, but it receives none.
    InboundBlocked,
}

/// Indices of the machines in the agreed order.
fn in_order(world: &World) -> Vec<usize> {
    let mut machines: Vec<usize> = (0..world.machines.len()).collect();
    machines.sort_by_key(|index| world.machines[*index].replica);
    machines
}

fn inject(world: &mut World, fault: FirstMemberFault) {
    let order = in_order(world);
    let until = world.now + FAULT_MS;
    match fault {
        FirstMemberFault::RestartsOnStalledDisk => {
            world.stop(order[0], false);
            world.machines[order[0]].disk.stalled_until = until;
            world.add(world.now + 100, Event::Start(order[0]));
        }
        FirstMemberFault::OutrunOnStalledDisk => {
            world.machines[order[0]].disk.stalled_until = until;
            world.stop(order[1], false);
            world.add(world.now + 100, Event::Start(order[1]));
        }
        FirstMemberFault::InboundBlocked => world.machines[order[0]].inbound_blocked_until = until,
    }
}

/// Result of a run.
struct RunResult {
    figures: Figures,
    violations: Vec<String>,
    /// Voters without a fault once the replacement of the lost machine counts as available.
    voters_up: usize,
}

/// Removes the last machine in the order while the first can't change the electorate.
fn run(seed: u64, site: Site, fault: FirstMemberFault) -> RunResult {
    let mut world = World::new(seed, site, None);
    world.run_until(world.now + SETTLE_MS);
    inject(&mut world, fault);
    world.run_until(world.now + LOSS_AFTER_MS);
    let lost = in_order(&world)[site.machines() - 1];
    let seat = world.machines[lost].seat;
    world.stop(lost, true);
    let replaced_at = world.now + REPLACEMENT_AFTER_MS;
    world.add(replaced_at, Event::StartReplacement(seat));
    world.run_until(replaced_at + MAX_BACK_TO_FULL_MS);
    let voters_up = voters_up(&world);
    world.run_until(replaced_at + FAULT_MS - LOSS_AFTER_MS);
    let (figures, violations) = world.finish(AFTER_MS);
    RunResult { figures, violations, voters_up }
}

/// Number of members of the newest electorate without a fault.
fn voters_up(world: &World) -> usize {
    let electorate = world.checker.electorate().expect("a committed electorate");
    let up = world.machines.iter().filter(|machine| !machine.is_faulty(world.now));
    up.filter(|machine| electorate.members.iter().any(|member| member.id.0 == machine.replica)).count()
}

/// Including the first member, 2f + 1 members are available once the replacement counts.
fn expect_another_member_leads(fault: FirstMemberFault) {
    for site in SITES.into_iter().filter(|site| site.machines_lost > 1) {
        let result = run(1, site, fault);
        let context = format!("{site:?}, {fault:?}");
        expect_that!(result.violations, is_empty(), "{context}");
        expect_that!(result.figures.longest_exposed, eq(0), "{context}");
        expect_that!(result.voters_up, ge(2 * site.machines_lost), "{context}");
    }
}

#[gtest]
fn a_member_that_starts_on_a_stalled_disk_is_passed_over() {
    expect_another_member_leads(FirstMemberFault::RestartsOnStalledDisk);
}

#[gtest]
fn a_member_whose_ballots_were_outrun_on_a_stalled_disk_is_passed_over() {
    expect_another_member_leads(FirstMemberFault::OutrunOnStalledDisk);
}

#[gtest]
fn a_member_that_receives_nothing_is_passed_over() {
    expect_another_member_leads(FirstMemberFault::InboundBlocked);
}

/// The change that removes the terminating first member must be made by another member.
#[gtest]
fn a_terminating_member_is_passed_over() {
    for site in SITES {
        let mut world = World::new(1, site, None);
        world.run_until(world.now + SETTLE_MS);
        let first = in_order(&world)[0];
        world.add(world.now, Event::StartReplacement(world.machines[first].seat));
        world.run_until(world.now + CATCH_UP_MS + 50);
        world.add(world.now, Event::Terminate(first, false));
        world.run_until(world.now + MAX_EXIT_MS);
        expect_true!(matches!(world.machines[first].process, ProcessState::Removed), "{site:?}");
        let (figures, violations) = world.finish(AFTER_MS);
        expect_that!(violations, is_empty(), "{site:?}");
        expect_that!(figures.longest_exposed, eq(0), "{site:?}");
    }
}
