//! Which faults strike, and when: as soon as they are to be borne, and at the first message of a change.

use crate::checker::lost_now;
use crate::machine::Power;
use crate::world::{Event, World};
use std::collections::{BTreeMap, BTreeSet};
use switchhill_register::Electorate;

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The process is killed and comes back with its disk.
    Kill,
    /// The disk is lost; the machine comes back with an empty one.
    Wipe,
    /// The machine with the oldest disk loses it.
    WipeOldest,
    /// The machine is taken away; a successor comes later, at another address.
    Replace,
    /// A successor comes first; then the machine is told to end and goes.
    PlannedReplace,
    /// The process is told to end and comes back with its disk.
    Restart,
    /// The machine is cut off, hears nobody or is heard by nobody.
    Cut,
    Deafen,
    Silence,
    Freeze,
    StallDisk,
    /// A whole zone is cut off, or loses its processes.
    CutZone,
    KillZone,
    /// The process that sends the first message of the next change is killed.
    KillDriver,
    /// More than half of the processes are killed at the first message of the next change.
    KillMajority,
    /// All processes are killed.
    KillAll,
    /// Right after an acknowledgement all machines lose power, and as many as are to be borne lose their disks.
    LosePower,
}

const KINDS: [Fault; 17] = [
    Fault::Kill,
    Fault::Wipe,
    Fault::WipeOldest,
    Fault::Replace,
    Fault::PlannedReplace,
    Fault::Restart,
    Fault::Cut,
    Fault::Deafen,
    Fault::Silence,
    Fault::Freeze,
    Fault::StallDisk,
    Fault::CutZone,
    Fault::KillZone,
    Fault::KillDriver,
    Fault::KillMajority,
    Fault::KillAll,
    Fault::LosePower,
];

/// Time in milliseconds before a fault that can't be borne yet is tried again.
const TRY_AGAIN_MS: u64 = 25;

/// State of the faults of a day.
#[derive(Default)]
pub struct Faults {
    pub is_over: bool,
    /// Machines told to end that come back, with the pause before they do.
    pub returning: BTreeMap<usize, u64>,
    /// The fault that waits until it is to be borne.
    waiting: Option<Fault>,
    /// The fault that waits for the first message of a change.
    pub aimed: Option<Fault>,
    /// Whether the power fails at the next acknowledgement while nothing is lost.
    pub after_acknowledgement: bool,
    /// Faults struck, by kind.
    pub struck: BTreeMap<String, usize>,
}

impl Faults {
    pub fn loss_percent(&self) -> u32 {
        u32::from(!self.is_over)
    }
}

/// Strikes the next fault if it can be borne now, and otherwise as soon as it can.
pub fn strike_next(world: &mut World) {
    if world.faults.is_over {
        return;
    }
    let fault = match world.faults.waiting.take() {
        Some(fault) => fault,
        None => KINDS[world.random.usize(0..KINDS.len())],
    };
    let pause = if strike(world, fault) {
        if world.checker.narrated {
            println!("{} {fault:?}", world.now);
        }
        *world.faults.struck.entry(format!("{fault:?}")).or_default() += 1;
        // Often the next one follows as soon as it can be borne.
        if world.random.bool() {
            world.random.u64(0..300)
        } else {
            world.random.u64(300..7_000)
        }
    } else {
        world.faults.waiting = Some(fault);
        TRY_AGAIN_MS
    };
    let at = world.now + pause;
    world.add(at, Event::Fault);
}

/// Strikes a fault; tells whether it did.
pub fn strike(world: &mut World, fault: Fault) -> bool {
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
            world.faults.aimed = Some(fault);
            true
        }
        Fault::CutZone | Fault::KillZone => strike_zone(world, fault),
        _ => match bearable_machine(world, fault) {
            Some(index) => {
                strike_machine(world, fault, index);
                true
            }
            None => false,
        },
    }
}

/// A machine that counts and whose loss is to be borne now.
fn bearable_machine(world: &mut World, fault: Fault) -> Option<usize> {
    let now = world.now;
    let mut lost = lost_now(&world.site, &world.machines, now);
    let counting = (0..world.machines.len()).filter(|index| {
        let machine = &world.machines[*index];
        let of_seat = world.machines.iter().filter(|other| other.seat == machine.seat && !other.is_gone());
        machine.counts(now) && machine.leaving_since.is_none() && of_seat.count() == 1
    });
    let counting: Vec<usize> = counting.collect();
    let index = match fault {
        Fault::WipeOldest => counting.first().copied()?,
        _ => world.random.choice(counting)?,
    };
    lost.seats.push(world.machines[index].seat);
    (lost.seats.len() <= world.site.machines_lost).then_some(index)
}

pub fn strike_machine(world: &mut World, fault: Fault, index: usize) {
    let now = world.now;
    let until = now + world.random.u64(100..12_000);
    if world.checker.narrated {
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
            world.add(at, Event::Succeed(seat));
        }
        Fault::PlannedReplace => {
            let seat = world.machines[index].seat;
            world.add(now, Event::Succeed(seat));
            let at = now + world.random.u64(4_100..9_000);
            world.add(at, Event::Terminate(index, false));
        }
        Fault::Restart => world.add(now, Event::Terminate(index, true)),
        Fault::Cut => world.machines[index].cut_until = until,
        Fault::Deafen => world.machines[index].deaf_until = until,
        Fault::Silence => world.machines[index].mute_until = until,
        Fault::Freeze => world.freeze(index, until),
        Fault::StallDisk => world.machines[index].disk.stalled_until = until,
        _ => {}
    }
    world.machines[index].note_state(now);
}

fn restart_after(world: &mut World, index: usize, longest: u64) {
    world.stop(index, false);
    let at = world.now + world.random.u64(50..longest);
    world.add(at, Event::Start(index));
}

fn strike_zone(world: &mut World, fault: Fault) -> bool {
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
            Fault::CutZone => world.machines[index].cut_until = until,
            _ => restart_after(world, index, 6_000),
        }
        world.machines[index].note_state(world.now);
    }
    true
}

fn kill_all(world: &mut World) {
    for index in 0..world.machines.len() {
        restart_after(world, index, 1_000);
    }
    world.checker.forget_losses();
}

/// An order was acknowledged.
pub fn strike_after_acknowledgement(world: &mut World) {
    let nothing_lost = lost_now(&world.site, &world.machines, world.now).seats.is_empty();
    if !world.faults.after_acknowledgement || world.faults.is_over || !nothing_lost {
        return;
    }
    world.faults.after_acknowledgement = false;
    kill_all(world);
    let there = (0..world.machines.len()).filter(|index| !world.machines[*index].is_gone());
    let mut there: Vec<usize> = there.collect();
    world.random.shuffle(&mut there);
    for index in there.into_iter().take(world.site.machines_lost) {
        world.wipe(index);
    }
}

/// A message of a change of the electorate is sent: the fault that waits for it strikes, now or in its course.
pub fn aim(world: &mut World, sender: usize, electorate: &Electorate) {
    if !electorate.is_joint() || world.faults.is_over {
        return;
    }
    if let Some(fault) = world.faults.aimed.take() {
        let at = world.now + world.random.u64(0..80);
        world.add(at, Event::Aimed(fault, sender));
    }
}

pub fn strike_aimed(world: &mut World, fault: Fault, sender: usize) {
    if fault == Fault::KillMajority {
        let running = (0..world.machines.len()).filter(|index| world.machines[*index].node().is_some());
        let mut running: Vec<usize> = running.collect();
        world.random.shuffle(&mut running);
        let killed: BTreeSet<usize> = running.iter().take(running.len() / 2 + 1).copied().collect();
        for index in killed {
            restart_after(world, index, 2_500);
        }
        world.checker.forget_losses();
        return;
    }
    let mut lost = lost_now(&world.site, &world.machines, world.now);
    lost.seats.push(world.machines[sender].seat);
    let runs = matches!(world.machines[sender].power, Power::Running(_));
    if runs && lost.seats.len() <= world.site.machines_lost {
        strike_machine(world, fault, sender);
    }
}
