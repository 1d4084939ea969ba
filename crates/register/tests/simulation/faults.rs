//! Which faults strike, and when.

use std::collections::{BTreeMap, BTreeSet};

use switchhill_register::{Accepted, Ballot, Electorate, Member, Record, RegisterError, ReplicaId};

use super::disk::Mood;
use super::World;

/// What a simulation is made of.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    pub seeds: usize,
    /// Machines that join with empty disks.
    pub spares: usize,
    /// Whether writes change the electorate.
    pub reconfigure: bool,
    /// Whether machines lose their disks.
    pub wipe: bool,
    /// Planted fault: disks tell that records are durable and keep none.
    pub disks_forget: bool,
    /// Planted fault: a machine with an empty disk answers under the id it had.
    pub wiped_keeps_id: bool,
}

impl Plan {
    pub const fn steady(seeds: usize) -> Plan {
        Plan { seeds, spares: 0, reconfigure: false, wipe: false, disks_forget: false, wiped_keeps_id: false }
    }
}

pub struct Faults {
    pub plan: Plan,
    pub loss: f64,
    pub duplication: f64,
    pub last_read_succeeded: bool,
    calm: bool,
    /// Until when the network is split in two.
    split_until: u64,
    /// Which addresses are on the one side of the split.
    one_side: BTreeSet<String>,
    /// Electorates ever proposed, which may be accepted at any time while nothing is chosen above them.
    proposed: BTreeMap<Ballot, Electorate>,
}

impl Faults {
    pub fn new(plan: Plan) -> Faults {
        Faults {
            plan,
            loss: 0.03,
            duplication: 0.05,
            last_read_succeeded: false,
            calm: false,
            split_until: 0,
            one_side: BTreeSet::new(),
            proposed: BTreeMap::new(),
        }
    }

    /// Delay of a message in milliseconds: now and then one is overtaken by many.
    pub fn delay(&self, random: &mut fastrand::Rng) -> u64 {
        let late = !self.calm && random.u32(0..20) == 0;
        random.u64(0..if late { 400 } else { 6 })
    }

    pub fn note_proposed(&mut self, ballot: Ballot, electorate: &Electorate) {
        self.proposed.entry(ballot).or_insert_with(|| electorate.clone());
    }

    /// Whether a split of the network lies between two machines.
    pub fn parts(&self, now: u64, one: &str, other: &str) -> bool {
        now < self.split_until && self.one_side.contains(one) != self.one_side.contains(other)
    }
}

fn split_network(world: &mut World, until: u64) {
    world.faults.split_until = until;
    let addresses = world.machines.iter().map(|machine| machine.address.clone());
    world.faults.one_side = addresses.filter(|_| world.random.bool()).collect();
}

/// Draws the faults of one millisecond.
pub fn strike(world: &mut World) {
    let machine = world.random.usize(0..world.machines.len());
    let length = world.random.u64(50..800);
    let until = world.now + length;
    match world.random.u32(0..3_000) {
        0..=3 => world.crash(machine, until),
        4..=7 => world.machines[machine].cut_until = until,
        8..=10 => world.machines[machine].disk.mood = Mood::Stalled { until },
        11..=12 => world.machines[machine].disk.mood = Mood::Refusing { until },
        13 => lose_all_power(world),
        14..=15 => wipe_if_bearable(world, machine, until),
        16..=25 => rewrite_log(world, machine),
        26..=28 => split_network(world, until),
        _ => {}
    }
    if world.faults.plan.disks_forget {
        world.machines.iter_mut().for_each(|machine| machine.disk.forgets = true);
    }
}

/// Right after a write is acknowledged everything may lose power, and one machine its disk.
pub fn strike_after_write(world: &mut World, result: &Result<Accepted, RegisterError>) {
    if result.is_err() || world.faults.calm || world.random.u32(0..12) > 0 {
        return;
    }
    let machine = world.random.usize(0..world.machines.len());
    wipe_if_bearable(world, machine, world.now + 100);
    lose_all_power(world);
}

fn lose_all_power(world: &mut World) {
    for machine in 0..world.machines.len() {
        let restart_at = world.now + world.random.u64(10..300);
        world.crash(machine, restart_at);
    }
}

fn rewrite_log(world: &mut World, machine: usize) {
    let machine_state = &mut world.machines[machine];
    let Some(replica) = &machine_state.replica else {
        return;
    };
    if let Some(token) = machine_state.disk.rewrite(replica.records()) {
        world.handle(machine, switchhill_register::Input::Persisted { token });
    }
}

fn wipe_if_bearable(world: &mut World, machine: usize, restart_at: u64) {
    if world.faults.plan.wipe && (world.faults.plan.wiped_keeps_id || is_bearable(world, machine)) {
        world.wipe(machine, restart_at);
    }
}

/// Whether every electorate that may be in force keeps a majority of its disks without this machine's.
fn is_bearable(world: &World, machine: usize) -> bool {
    let lost = world.machines[machine].id;
    let left: BTreeSet<ReplicaId> =
        world.machines.iter().map(|machine| machine.id).filter(|id| *id != lost).collect();
    electorates_in_force(world).iter().all(|electorate| electorate.is_quorum(&left))
}

fn electorates_in_force(world: &World) -> Vec<Electorate> {
    let mut accepted: Vec<Accepted> = Vec::new();
    let mut first = Vec::new();
    for machine in &world.machines {
        accepted.extend(machine.replica.as_ref().and_then(|replica| replica.committed().cloned()));
        let in_memory = machine.replica.iter().flat_map(|replica| replica.records());
        for record in machine.disk.records().iter().cloned().chain(in_memory) {
            match record {
                Record::Accepted(value) => accepted.push(value),
                Record::FirstElectorate(electorate) => first.push(electorate),
                Record::Reserved(_) | Record::Promised(_) => {}
            }
        }
    }
    let committed = world.machines.iter().filter_map(|machine| machine.replica.as_ref()?.committed());
    let newest = committed.map(|accepted| accepted.ballot).max();
    accepted.retain(|accepted| newest.is_none_or(|newest| accepted.ballot >= newest));
    if newest.is_some() {
        first.clear();
    }
    first.extend(accepted.into_iter().map(|accepted| accepted.value.electorate));
    let in_flight = world.faults.proposed.range(newest.unwrap_or(Ballot::NONE)..);
    first.extend(in_flight.map(|(_, electorate)| electorate.clone()));
    first
}

/// Ends all faults.
pub fn heal(world: &mut World) {
    world.faults.calm = true;
    world.faults.loss = 0.0;
    world.faults.split_until = 0;
    let now = world.now;
    for machine in &mut world.machines {
        machine.cut_until = now;
        machine.disk.mood = Mood::Good;
        machine.restart_at = machine.restart_at.map(|at| at.min(now + 300));
    }
}

/// The members a write asks for, if it changes them.
pub fn new_members(world: &mut World, current: Option<&Accepted>) -> Option<Vec<Member>> {
    if !world.faults.plan.reconfigure || world.random.u32(0..3) > 0 {
        return None;
    }
    let members = current?.value.electorate.members.clone();
    let chosen = if world.random.bool() { any_members(world) } else { one_changed(world, members) };
    (chosen.len() >= 3).then_some(chosen)
}

/// Three or more of the machines that are up, whoever the members were.
fn any_members(world: &mut World) -> Vec<Member> {
    let mut up = members_up(world);
    world.random.shuffle(&mut up);
    up.truncate(world.random.usize(3..=5));
    up
}

/// The members with another one in place of one that is gone, or one more, or one fewer.
fn one_changed(world: &mut World, mut members: Vec<Member>) -> Vec<Member> {
    let gone = members.iter().position(|member| world.machines.iter().all(|machine| machine.id != member.id));
    let mut outside = members_up(world);
    outside.retain(|machine| members.iter().all(|member| member.id != machine.id));
    if let Some(gone) = gone {
        members.remove(gone);
    } else if members.len() > 3 && world.random.bool() {
        members.remove(world.random.usize(0..members.len()));
    }
    members.extend(world.random.choice(outside));
    members
}

fn members_up(world: &World) -> Vec<Member> {
    let up = world.machines.iter().filter(|machine| machine.replica.is_some());
    up.map(|machine| Member { id: machine.id, address: machine.address.clone() }).collect()
}
