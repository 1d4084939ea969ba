//! What must hold of electorates and of what was acknowledged, and the times that are measured.

use crate::machine::Machine;
use crate::site::Site;
use std::collections::{BTreeMap, BTreeSet};
use switchhill_register::{Ballot, Electorate, Member};

/// Which majorities have to remain, and what the day has come to so far.
#[derive(Default)]
pub struct Checker {
    /// Electorates known to be chosen.
    chosen: BTreeMap<Ballot, Electorate>,
    pub narrated: bool,
    /// Since when the losses still to be borne would leave the electorate without a majority.
    exposed_since: Option<u64>,
    pub figures: Figures,
    pub violations: Vec<String>,
    /// Losses whose seat has no vote yet, with the time of the loss and of the successor's start.
    open_losses: BTreeMap<usize, OpenLoss>,
    /// Orders acknowledged: the marker by base revision, and by revision.
    by_base: BTreeMap<u64, u64>,
    by_revision: BTreeMap<u64, u64>,
}

struct OpenLoss {
    lost_at: u64,
    back_at: Option<u64>,
}

/// What is measured, worst of the day, in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// For how long losses to be borne would have left no majority.
    pub longest_exposed: u64,
    /// From the loss of a machine to an electorate in which it or its successor votes, or whose members that are up bear all
    /// losses anew; only of machines that are back by then.
    pub loss_to_full: u64,
    /// The same from the start of the successor, or of the machine's new life.
    pub back_to_full: u64,
    /// Between two acknowledgements while no more is lost than is to be borne.
    pub longest_unacknowledged: u64,
    /// Changes of the electorate.
    pub changes: usize,
    pub acknowledged: usize,
}

/// What counts as lost: the seats of machines that are in trouble, back or new for less than `catchUpS`, and seats without
/// a machine. A seat with a successor that is new beside a member counts twice while both are in trouble.
#[derive(Clone, Debug, Default)]
pub struct Lost {
    pub seats: Vec<usize>,
}

/// What counts as lost now.
pub fn lost_now(site: &Site, machines: &[Machine], now: u64) -> Lost {
    let there = machines.iter().filter(|machine| !machine.is_gone());
    let held: BTreeSet<usize> = there.clone().map(|machine| machine.seat).collect();
    let mut seats: Vec<usize> =
        there.filter(|machine| !machine.counts(now)).map(|machine| machine.seat).collect();
    seats.extend((0..site.machines()).filter(|seat| !held.contains(seat)));
    Lost { seats }
}

/// Whether what is lost is within what is to be borne: machines, or all within the zones.
pub fn is_bearable(site: &Site, lost: &Lost) -> bool {
    lost.seats.len() <= site.machines_lost || zones_hit(site, lost).len() <= site.zones_lost
}

fn zones_hit(site: &Site, lost: &Lost) -> BTreeSet<usize> {
    let zones = site.zone_of_each();
    lost.seats.iter().map(|seat| zones[*seat]).collect()
}

impl Checker {
    /// Looks at the state of all machines.
    pub fn look(&mut self, now: u64, site: &Site, machines: &[Machine]) {
        machines.iter().for_each(|machine| self.look_at(machine));
        let Some((_, electorate)) = self.chosen.last_key_value() else { return };
        let electorate = electorate.clone();
        let lost = lost_now(site, machines, now);
        self.note_full(now, site, &electorate, machines);
        if !is_bearable(site, &lost) || survives_all(site, &electorate, machines, &lost, now) {
            self.exposed_since = None;
            return;
        }
        if self.narrated && self.exposed_since.is_none() {
            println!("{now} exposed: lost {lost:?}, {electorate:?}");
            for machine in machines {
                println!(
                    "  seat {} {:x} counts {} power {}",
                    machine.seat,
                    machine.replica,
                    machine.counts(now),
                    machine.node().is_some()
                );
            }
        }
        let since = *self.exposed_since.get_or_insert(now);
        self.figures.longest_exposed = self.figures.longest_exposed.max(now - since + 1);
    }

    /// Takes over what a machine knows to be chosen; also one that is about to end and may be the only one that knows.
    pub fn look_at(&mut self, machine: &Machine) {
        if let Some((ballot, electorate)) = machine.node().and_then(|node| node.committed_electorate()) {
            self.see_chosen(ballot, electorate);
        }
    }

    fn see_chosen(&mut self, ballot: Ballot, electorate: &Electorate) {
        let known = self.chosen.entry(ballot).or_insert_with(|| electorate.clone());
        if known != electorate {
            self.violations.push(format!("two electorates chosen under {ballot:?}"));
        }
        if self.narrated && electorate.epoch as usize > self.figures.changes {
            let id = |member: &Member| format!("{:x}", member.id.0);
            let ids: Vec<String> = electorate.members.iter().map(id).collect();
            println!("epoch {}, joint {}: {}", electorate.epoch, electorate.is_joint(), ids.join(" "));
        }
        self.figures.changes = self.figures.changes.max(electorate.epoch as usize);
    }

    /// The newest electorate known to be chosen.
    pub fn electorate(&self) -> Option<&Electorate> {
        self.chosen.last_key_value().map(|(_, electorate)| electorate)
    }

    pub fn seat_lost(&mut self, seat: usize, now: u64) {
        self.open_losses.entry(seat).or_insert(OpenLoss { lost_at: now, back_at: None });
    }

    pub fn seat_back(&mut self, seat: usize, now: u64) {
        if let Some(loss) = self.open_losses.get_mut(&seat) {
            loss.back_at = Some(now);
        }
    }

    /// A machine is lost again: the time of its return counts no more.
    pub fn seat_lost_again(&mut self, seat: usize) {
        if let Some(loss) = self.open_losses.get_mut(&seat) {
            loss.back_at = None;
        }
    }

    fn note_full(&mut self, now: u64, site: &Site, electorate: &Electorate, machines: &[Machine]) {
        if electorate.is_joint() || self.open_losses.is_empty() {
            return;
        }
        let voting: Vec<&Machine> =
            machines.iter().filter(|machine| has(&electorate.members, machine.replica)).collect();
        let up = voting.iter().filter(|machine| !machine.is_in_trouble(now)).count();
        // The seat votes, or it need not: the members that are up bear all losses anew.
        let bears_anew = up.saturating_sub(site.machines_lost) * 2 > electorate.members.len();
        let votes = |seat: usize| {
            let mut of_seat = voting.iter().filter(|machine| machine.seat == seat);
            of_seat.any(|machine| !machine.is_in_trouble(now))
        };
        let is_full = |seat: usize| bears_anew || votes(seat);
        let full: Vec<usize> = self.open_losses.keys().copied().filter(|seat| is_full(*seat)).collect();
        for seat in full {
            let Some(loss) = self.open_losses.remove(&seat) else { continue };
            let Some(back_at) = loss.back_at else { continue };
            if self.narrated {
                println!("{now} seat {seat} full: lost {}, back {back_at}", loss.lost_at);
            }
            self.figures.loss_to_full = self.figures.loss_to_full.max(now - loss.lost_at);
            self.figures.back_to_full = self.figures.back_to_full.max(now - back_at);
        }
    }

    /// Forgets losses whose time is not to be judged: more was lost than is to be borne.
    pub fn forget_losses(&mut self) {
        self.open_losses.clear();
    }

    /// An order was acknowledged.
    pub fn acknowledged(&mut self, base: u64, revision: u64, marker: u64) {
        self.figures.acknowledged += 1;
        for (what, known) in [
            ("base", self.by_base.insert(base, marker)),
            ("revision", self.by_revision.insert(revision, marker)),
        ] {
            if known.is_some_and(|known| known != marker) {
                self.violations.push(format!("two orders acknowledged with one {what}: {base}, {revision}"));
            }
        }
    }

    /// The configuration was read with all calm.
    pub fn read_back(&mut self, revision: u64, marker: u64) {
        let newest = self.by_revision.last_key_value().map_or(0, |(revision, _)| *revision);
        if revision < newest {
            self.violations.push(format!("revision {newest} was acknowledged and {revision} is read back"));
        }
        if self.by_revision.get(&revision).is_some_and(|known| *known != marker) {
            self.violations.push(format!("another order is read back under revision {revision}"));
        }
    }
}

fn has(members: &[Member], replica: u64) -> bool {
    members.iter().any(|member| member.id.0 == replica)
}

/// Whether a majority remains whichever of the losses still to be borne strike now.
fn survives_all(site: &Site, electorate: &Electorate, machines: &[Machine], lost: &Lost, now: u64) -> bool {
    let available: Vec<&Machine> = machines.iter().filter(|machine| machine.counts(now)).collect();
    let further = site.machines_lost.saturating_sub(lost.seats.len());
    let machines_borne = lost.seats.len() > site.machines_lost || {
        let remains = |members: &[Member]| {
            let votes = available.iter().filter(|machine| has(members, machine.replica)).count();
            members.is_empty() || votes.saturating_sub(further) * 2 > members.len()
        };
        remains(&electorate.members) && remains(&electorate.joint_with)
    };
    machines_borne && survives_zones(site, electorate, &available, lost)
}

fn survives_zones(site: &Site, electorate: &Electorate, available: &[&Machine], lost: &Lost) -> bool {
    if site.zones_lost == 0 {
        return true;
    }
    let hit = zones_hit(site, lost);
    // One zone at a time is simulated: those that are not hit yet may be lost only while none is.
    let may_go = (0..site.zones.len()).filter(|zone| hit.is_empty() || hit == BTreeSet::from([*zone]));
    let remains = |members: &[Member], zone: usize| {
        let left = available.iter().filter(|machine| machine.zone != zone);
        let votes = left.filter(|machine| has(members, machine.replica)).count();
        members.is_empty() || votes * 2 > members.len()
    };
    let mut zones = may_go;
    zones.all(|zone| remains(&electorate.members, zone) && remains(&electorate.joint_with, zone))
}
