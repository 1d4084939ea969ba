//! Injects faults as soon as they must be tolerated, or at the first message of an electorate change.

use crate::checker::lost_now;
use crate::machine::ProcessState;
use crate::world::{Event, World};
use std::collections::{BTreeMap, BTreeSet};
use switchhill_register::Electorate;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed and restarts with its disk.
    Kill,
    /// The disk is lost; the machine restarts with an empty one.
    Wipe,
    /// The machine with the oldest disk loses it.
    WipeOldest,
    /// The machine is permanently removed; a replacement starts later at another address.
    Replace,
    /// A replacement starts first; then the machine is asked to terminate and is removed.
    PlannedReplace,
    /// The process is asked to terminate and restarts with its disk.
    Restart,
    /// The machine is partitioned: both ways, receiving nothing, or sending nothing.
    Partition,
    BlockInbound,
    BlockOutbound,
    Freeze,
    StallDisk,
    /// A whole zone is partitioned, or all its processes are killed.
    PartitionZone,
    KillZone,
    /// The process that sends the first message of the next change is killed.
    KillDriver,
    /// More than half of the processes are killed at the first message of the next change.
    KillMajority,
    /// All processes are killed.
    KillAll,
    /// Right after an acknowledgement all machines lose power, and the tolerated number of machines lose their disks.
    LosePower,
}

const KINDS: [Fault; 17] = [
    Fault::Kill,
    Fault::Wipe,
    Fault::WipeOldest,
    Fault::Replace,
    Fault::PlannedReplace,
    Fault::Restart,
    Fault::Partition,
    Fault::BlockInbound,
    Fault::BlockOutbound,
    Fault::Freeze,
    Fault::StallDisk,
    Fault::PartitionZone,
    Fault::KillZone,
    Fault::KillDriver,
    Fault::KillMajority,
    Fault::KillAll,
    Fault::LosePower,
];

/// Delay in milliseconds before retrying a fault that is not tolerated yet.
const RETRY_MS: u64 = 25;

/// State of the fault injection of a run.
#[derive(Default)]
pub struct Faults {
    pub is_over: bool,
    /// Terminating machines that will restart, with the delay before the restart.
    pub returning: BTreeMap<usize, u64>,
    /// The fault that is deferred until it is tolerated.
    deferred: Option<Fault>,
    /// The fault to inject at the first message of an electorate change.
    pub at_next_change: Option<Fault>,
    /// Whether all machines lose power at the next acknowledgement while nothing is lost.
    pub after_acknowledgement: bool,
    /// Number of injected faults, by kind.
    pub injected: BTreeMap<String, usize>,
}

impl Faults {
    pub fn loss_percent(&self) -> u32 {
        u32::from(!self.is_over)
    }
}

/// Injects the next fault, or defers it until it is tolerated.
pub fn inject_next(world: &mut World) {
    if world.faults.is_over {
        return;
    }
    let fault = match world.faults.deferred.take() {
        Some(fault) => fault,
        None => KINDS[world.random.usize(0..KINDS.len())],
    };
    let pause = if inject(world, fault) {
        if world.checker.verbose {
            println!("{} {fault:?}", world.now);
        }
        *world.faults.injected.entry(format!("{fault:?}")).or_default() += 1;
        // Half of the faults follow almost at once, so that they are injected as soon as they are tolerated.
        if world.random.bool() {
            world.random.u64(0..300)
        } else {
            world.random.u64(300..7_000)
        }
    } else {
        world.faults.deferred = Some(fault);
        RETRY_MS
    };
    let at = world.now + pause;
    world.add(at, Event::Fault);
}

/// Injects or schedules a fault; returns false if it is not tolerated now.
pub fn inject(world: &mut World, fault: Fault) -> bool {
    match fault {
        Fault::KillAll => {
            kill_all(world);
            true
        }
        Fault::LosePower => {
            world.faults.after_acknowledgement = true;
            true
        }
        Fault::KillDriver | Fault::KillMajority => {
            world.faults.at_next_change = Some(fault);
            true
        }
        Fault::PartitionZone | Fault::KillZone => inject_into_zone(world, fault),
        _ => match tolerated_machine(world, fault) {
            Some(index) => {
                inject_into_machine(world, fault, index);
                true
            }
            None => false,
        },
    }
}

/// Chooses an available machine whose loss is tolerated now.
fn tolerated_machine(world: &mut World, fault: Fault) -> Option<usize> {
    let now = world.now;
    let mut lost = lost_now(&world.site, &world.machines, now);
    let counting = (0..world.machines.len()).filter(|index| {
        let machine = &world.machines[*index];
        let of_seat = world.machines.iter().filter(|other| other.seat == machine.seat && !other.is_removed());
        machine.is_available(now) && machine.terminating_since.is_none() && of_seat.count() == 1
    });
    let counting: Vec<usize> = counting.collect();
    let index = match fault {
        Fault::WipeOldest => counting.first().copied()?,
        _ => world.random.choice(counting)?,
    };
    lost.seats.push(world.machines[index].seat);
    (lost.seats.len() <= world.site.machines_lost).then_some(index)
}

pub fn inject_into_machine(world: &mut World, fault: Fault, index: usize) {
    let now = world.now;
    let until = now + world.random.u64(100..12_000);
    if world.checker.verbose {
        println!("{} {fault:?} {index} {:x} until {until}", world.now, world.machines[index].replica);
    }
    match fault {
        Fault::Kill | Fault::KillDriver => restart_after(world, index, 6_000),
        Fault::Wipe | Fault::WipeOldest => {
            restart_after(world, index, 3_000);
            world.wipe(index);
        }
        Fault::Replace => {
            let seat = world.machines[index].seat;
            world.stop(index, true);
            let at = now + world.random.u64(0..5_000);
            world.add(at, Event::StartReplacement(seat));
        }
        Fault::PlannedReplace => {
            let seat = world.machines[index].seat;
            world.add(now, Event::StartReplacement(seat));
            let at = now + world.random.u64(4_100..9_000);
            world.add(at, Event::Terminate(index, false));
        }
        Fault::Restart => world.add(now, Event::Terminate(index, true)),
        Fault::Partition => world.machines[index].partitioned_until = until,
        Fault::BlockInbound => world.machines[index].inbound_blocked_until = until,
        Fault::BlockOutbound => world.machines[index].outbound_blocked_until = until,
        Fault::Freeze => world.freeze(index, until),
        Fault::StallDisk => world.machines[index].disk.stalled_until = until,
        _ => {}
    }
    world.machines[index].update_health(now);
}

fn restart_after(world: &mut World, index: usize, longest: u64) {
    world.stop(index, false);
    let at = world.now + world.random.u64(50..longest);
    world.add(at, Event::Start(index));
}

fn inject_into_zone(world: &mut World, fault: Fault) -> bool {
    if world.site.zones_lost == 0 {
        return true;
    }
    if !lost_now(&world.site, &world.machines, world.now).seats.is_empty() {
        return false;
    }
    let zone = world.random.usize(0..world.site.zones.len());
    let until = world.now + world.random.u64(100..12_000);
    let of_zone = (0..world.machines.len()).filter(|index| world.machines[*index].zone == zone);
    for index in of_zone.collect::<Vec<usize>>() {
        match fault {
            Fault::PartitionZone => world.machines[index].partitioned_until = until,
            _ => restart_after(world, index, 6_000),
        }
        world.machines[index].update_health(world.now);
    }
    true
}

fn kill_all(world: &mut World) {
    for index in 0..world.machines.len() {
        restart_after(world, index, 1_000);
    }
    world.checker.discard_losses();
}

/// Injects the pending power loss after an acknowledged order.
pub fn inject_after_acknowledgement(world: &mut World) {
    let nothing_lost = lost_now(&world.site, &world.machines, world.now).seats.is_empty();
    if !world.faults.after_acknowledgement || world.faults.is_over || !nothing_lost {
        return;
    }
    world.faults.after_acknowledgement = false;
    kill_all(world);
    let there = (0..world.machines.len()).filter(|index| !world.machines[*index].is_removed());
    let mut there: Vec<usize> = there.collect();
    world.random.shuffle(&mut there);
    for index in there.into_iter().take(world.site.machines_lost) {
        world.wipe(index);
    }
}

/// Schedules the fault that is pending for an electorate change when a message of the change is sent; it is injected
/// immediately or while the change is in progress.
pub fn schedule_at_change(world: &mut World, sender: usize, electorate: &Electorate) {
    if !electorate.is_joint() || world.faults.is_over {
        return;
    }
    if let Some(fault) = world.faults.at_next_change.take() {
        let at = world.now + world.random.u64(0..80);
        world.add(at, Event::FaultDuringChange(fault, sender));
    }
}

pub fn inject_during_change(world: &mut World, fault: Fault, sender: usize) {
    if fault == Fault::KillMajority {
        let running = (0..world.machines.len()).filter(|index| world.machines[*index].node().is_some());
        let mut running: Vec<usize> = running.collect();
        world.random.shuffle(&mut running);
        let killed: BTreeSet<usize> = running.iter().take(running.len() / 2 + 1).copied().collect();
        for index in killed {
            restart_after(world, index, 2_500);
        }
        world.checker.discard_losses();
        return;
    }
    let mut lost = lost_now(&world.site, &world.machines, world.now);
    lost.seats.push(world.machines[sender].seat);
    let runs = matches!(world.machines[sender].process, ProcessState::Running(_));
    if runs && lost.seats.len() <= world.site.machines_lost {
        inject_into_machine(world, fault, sender);
    }
}
