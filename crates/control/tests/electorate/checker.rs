//! Invariants of electorates and acknowledged orders, and the measured times.

use crate::machine::Machine;
use crate::site::Site;
use std::collections::{BTreeMap, BTreeSet};
use switchhill_register::{Ballot, Electorate, Member};

/// Checks the invariants and collects the measurements of one run.
#[derive(Default)]
pub struct Checker {
    /// Electorates known to be committed, by ballot.
    committed: BTreeMap<Ballot, Electorate>,
    pub verbose: bool,
    /// Time since which further tolerated losses would leave the electorate without a majority.
    exposed_since: Option<u64>,
    pub figures: Figures,
    pub violations: Vec<String>,
    /// Losses whose seat has no vote yet, by seat.
    open_losses: BTreeMap<usize, OpenLoss>,
    /// Markers of the acknowledged orders, by base revision and by revision.
    by_base: BTreeMap<u64, u64>,
    by_revision: BTreeMap<u64, u64>,
}

struct OpenLoss {
    lost_at: u64,
    back_at: Option<u64>,
}

/// Worst measurements of a run; times are in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Time for which further tolerated losses would have left no majority.
    pub longest_exposed: u64,
    /// From the loss of a machine until it or its replacement votes, or until the running members again tolerate all
    /// losses. Only covers machines that are back by then.
    pub loss_to_full: u64,
    /// The same from the start of the replacement, or from the restart of the machine.
    pub back_to_full: u64,
    /// Longest time between acknowledgements while the losses are tolerated.
    pub longest_unacknowledged: u64,
    /// Number of electorate changes.
    pub changes: usize,
    pub acknowledged: usize,
}

/// Seats that count as lost: those of machines that are faulty or have been back for less than `catchUpS`, and seats
/// without a machine. A seat whose old machine and replacement are both faulty counts twice.
#[derive(Clone, Debug, Default)]
pub struct Lost {
    pub seats: Vec<usize>,
}

/// Returns the seats that count as lost now.
pub fn lost_now(site: &Site, machines: &[Machine], now: u64) -> Lost {
    let there = machines.iter().filter(|machine| !machine.is_removed());
    let held: BTreeSet<usize> = there.clone().map(|machine| machine.seat).collect();
    let mut seats: Vec<usize> =
        there.filter(|machine| !machine.is_available(now)).map(|machine| machine.seat).collect();
    seats.extend((0..site.machines()).filter(|seat| !held.contains(seat)));
    Lost { seats }
}

/// Whether the losses are within the tolerated number of machines, or within the tolerated number of zones.
pub fn is_tolerated(site: &Site, lost: &Lost) -> bool {
    lost.seats.len() <= site.machines_lost || affected_zones(site, lost).len() <= site.zones_lost
}

fn affected_zones(site: &Site, lost: &Lost) -> BTreeSet<usize> {
    let zones = site.zone_of_each();
    lost.seats.iter().map(|seat| zones[*seat]).collect()
}

impl Checker {
    /// Checks the invariants against the state of all machines.
    pub fn check(&mut self, now: u64, site: &Site, machines: &[Machine]) {
        machines.iter().for_each(|machine| self.record_committed(machine));
        let Some((_, electorate)) = self.committed.last_key_value() else { return };
        let electorate = electorate.clone();
        let lost = lost_now(site, machines, now);
        self.record_repaired(now, site, &electorate, machines);
        if !is_tolerated(site, &lost) || survives_further_losses(site, &electorate, machines, &lost, now) {
            self.exposed_since = None;
            return;
        }
        if self.verbose && self.exposed_since.is_none() {
            println!("{now} exposed: lost {lost:?}, {electorate:?}");
            for machine in machines {
                println!(
                    "  seat {} {:x} available {} running {}",
                    machine.seat,
                    machine.replica,
                    machine.is_available(now),
                    machine.node().is_some()
                );
            }
        }
        let since = *self.exposed_since.get_or_insert(now);
        self.figures.longest_exposed = self.figures.longest_exposed.max(now - since + 1);
    }

    /// Records the committed electorate known to a machine. Also called for a machine about to stop, which may be the only
    /// one that knows it.
    pub fn record_committed(&mut self, machine: &Machine) {
        if let Some((ballot, electorate)) = machine.node().and_then(|node| node.committed_electorate()) {
            self.record_electorate(ballot, electorate);
        }
    }

    fn record_electorate(&mut self, ballot: Ballot, electorate: &Electorate) {
        let known = self.committed.entry(ballot).or_insert_with(|| electorate.clone());
        if known != electorate {
            self.violations.push(format!("two electorates committed under {ballot:?}"));
        }
        if self.verbose && electorate.epoch as usize > self.figures.changes {
            let id = |member: &Member| format!("{:x}", member.id.0);
            let ids: Vec<String> = electorate.members.iter().map(id).collect();
            println!("epoch {}, joint {}: {}", electorate.epoch, electorate.is_joint(), ids.join(" "));
        }
        self.figures.changes = self.figures.changes.max(electorate.epoch as usize);
    }

    /// The newest electorate known to be committed.
    pub fn electorate(&self) -> Option<&Electorate> {
        self.committed.last_key_value().map(|(_, electorate)| electorate)
    }

    pub fn record_loss(&mut self, seat: usize, now: u64) {
        self.open_losses.entry(seat).or_insert(OpenLoss { lost_at: now, back_at: None });
    }

    pub fn record_return(&mut self, seat: usize, now: u64) {
        if let Some(loss) = self.open_losses.get_mut(&seat) {
            loss.back_at = Some(now);
        }
    }

    /// Discards the return time of a machine that is lost again.
    pub fn discard_return(&mut self, seat: usize) {
        if let Some(loss) = self.open_losses.get_mut(&seat) {
            loss.back_at = None;
        }
    }

    fn record_repaired(&mut self, now: u64, site: &Site, electorate: &Electorate, machines: &[Machine]) {
        if electorate.is_joint() || self.open_losses.is_empty() {
            return;
        }
        let voting: Vec<&Machine> =
            machines.iter().filter(|machine| has(&electorate.members, machine.replica)).collect();
        let up = voting.iter().filter(|machine| !machine.is_faulty(now)).count();
        // A loss is repaired once its seat votes, or once the running members again tolerate all losses.
        let fully_tolerant = up.saturating_sub(site.machines_lost) * 2 > electorate.members.len();
        let votes = |seat: usize| {
            let mut of_seat = voting.iter().filter(|machine| machine.seat == seat);
            of_seat.any(|machine| !machine.is_faulty(now))
        };
        let is_full = |seat: usize| fully_tolerant || votes(seat);
        let full: Vec<usize> = self.open_losses.keys().copied().filter(|seat| is_full(*seat)).collect();
        for seat in full {
            let Some(loss) = self.open_losses.remove(&seat) else { continue };
            let Some(back_at) = loss.back_at else { continue };
            if self.verbose {
                println!("{now} seat {seat} full: lost {}, back {back_at}", loss.lost_at);
            }
            self.figures.loss_to_full = self.figures.loss_to_full.max(now - loss.lost_at);
            self.figures.back_to_full = self.figures.back_to_full.max(now - back_at);
        }
    }

    /// Discards open losses whose repair time has no limit because more was lost than is tolerated.
    pub fn discard_losses(&mut self) {
        self.open_losses.clear();
    }

    /// Records an acknowledged order.
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

    /// Checks a configuration read after all faults have ended.
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

/// Whether a majority remains after any further tolerated losses.
fn survives_further_losses(
    site: &Site,
    electorate: &Electorate,
    machines: &[Machine],
    lost: &Lost,
    now: u64,
) -> bool {
    let available: Vec<&Machine> = machines.iter().filter(|machine| machine.is_available(now)).collect();
    let further = site.machines_lost.saturating_sub(lost.seats.len());
    let machine_losses_tolerated = lost.seats.len() > site.machines_lost || {
        let remains = |members: &[Member]| {
            let votes = available.iter().filter(|machine| has(members, machine.replica)).count();
            members.is_empty() || votes.saturating_sub(further) * 2 > members.len()
        };
        remains(&electorate.members) && remains(&electorate.joint_with)
    };
    machine_losses_tolerated && survives_zone_loss(site, electorate, &available, lost)
}

fn survives_zone_loss(site: &Site, electorate: &Electorate, available: &[&Machine], lost: &Lost) -> bool {
    if site.zones_lost == 0 {
        return true;
    }
    let affected = affected_zones(site, lost);
    // Only one zone is lost at a time, so another zone may be lost only while none is affected.
    let may_be_lost =
        (0..site.zones.len()).filter(|zone| affected.is_empty() || affected == BTreeSet::from([*zone]));
    let remains = |members: &[Member], zone: usize| {
        let left = available.iter().filter(|machine| machine.zone != zone);
        let votes = left.filter(|machine| has(members, machine.replica)).count();
        members.is_empty() || votes * 2 > members.len()
    };
    let mut zones = may_be_lost;
    zones.all(|zone| remains(&electorate.members, zone) && remains(&electorate.joint_with, zone))
}
