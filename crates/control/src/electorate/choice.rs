//! Selection of the voting members from the known replicas.
//!
//! An electorate is *fault-tolerant* if a majority of it remains after the loss of as many machines, and of as many
//! zones, as the site is configured to tolerate. Losses that have already occurred count: a lost member that stays in a
//! fault-tolerant electorate is one of the tolerated losses, and no change is needed when it returns. Lost members are
//! therefore removed only as long as the remaining electorate tolerates at least as much without them.

use std::collections::BTreeMap;
use switchhill_register::Member;

/// Maximum number of voting replicas, unless the tolerated losses require more.
const MAX_MEMBERS: usize = 9;

/// Number of simultaneous losses to tolerate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FaultTolerance {
    pub(super) machines: usize,
    pub(super) zones: usize,
}

/// Status of a replica. The variants are ordered by priority; the first are kept first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ReplicaStatus {
    /// A member in contact.
    Live,
    /// A replica in contact that is not a member.
    Joining {
        /// Whether it has appeared only recently.
        is_new: bool,
    },
    /// A member that has been silent for longer than the timeout.
    Lost { silent_ms: u64 },
    /// A member whose process is shutting down.
    Leaving,
    /// A member whose disk is lost: another replica runs at its address.
    Replaced,
}

/// A replica that may become or stay a voting member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) member: Member,
    /// Zone of its machine, empty if unknown.
    pub(super) zone: String,
    pub(super) status: ReplicaStatus,
}

impl Candidate {
    fn is_present(&self) -> bool {
        matches!(self.status, ReplicaStatus::Live | ReplicaStatus::Joining { .. })
    }

    fn is_new(&self) -> bool {
        self.status == ReplicaStatus::Joining { is_new: true }
    }

    fn is_joining(&self) -> bool {
        matches!(self.status, ReplicaStatus::Joining { .. })
    }
}

impl FaultTolerance {
    /// Minimum number of members of which a majority remains after the loss of the machines.
    fn min_members(&self) -> usize {
        2 * self.machines + 1
    }

    fn max_members(&self) -> usize {
        MAX_MEMBERS.max(self.min_members())
    }

    fn tolerates_zones(&self, electorate: &[Candidate]) -> bool {
        let mut sizes: Vec<usize> = zone_sizes(electorate).into_values().collect();
        sizes.sort_unstable_by(|one, other| other.cmp(one));
        let lost: usize = sizes.iter().take(self.zones).sum();
        (electorate.len() - lost) * 2 > electorate.len()
    }

    fn tolerated_losses(&self, electorate: &[Candidate]) -> ToleratedLosses {
        let tolerates_machines = electorate.len() >= self.min_members();
        let majority = electorate.len() / 2 + 1;
        let further_losses = present_count(electorate).saturating_sub(majority);
        ToleratedLosses {
            has_live_majority: has_live_majority(electorate),
            tolerates_machines,
            tolerates_zones: self.tolerates_zones(electorate),
            fallback: if tolerates_machines { (0, 0) } else { (further_losses, electorate.len()) },
        }
    }
}

/// Losses that an electorate tolerates, compared in the order of the fields.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ToleratedLosses {
    /// Whether a majority is in contact.
    has_live_majority: bool,
    /// Whether a majority remains after the loss of any machines up to the configured number.
    tolerates_machines: bool,
    /// Whether a majority remains after the loss of any zones up to the configured number.
    tolerates_zones: bool,
    /// If the loss of the machines is not tolerated: the number of further losses tolerated now, and the number of
    /// members.
    fallback: (usize, usize),
}

fn present_count(electorate: &[Candidate]) -> usize {
    electorate.iter().filter(|candidate| candidate.is_present()).count()
}

/// Whether a majority is in contact. A change to an electorate without one would block all further changes until it has
/// one, because every proposer that finds the value has to get it chosen first.
fn has_live_majority(electorate: &[Candidate]) -> bool {
    present_count(electorate) * 2 > electorate.len()
}

fn zone_sizes(electorate: &[Candidate]) -> BTreeMap<&str, usize> {
    let mut sizes = BTreeMap::new();
    for candidate in electorate {
        *sizes.entry(candidate.zone.as_str()).or_default() += 1;
    }
    sizes
}

/// Selects the members, sorted by id: all replicas in contact, and as few of the others as a fault-tolerant electorate
/// needs. Returns `None` if no electorate would have a majority in contact.
pub(super) fn select_members(candidates: Vec<Candidate>, tolerance: FaultTolerance) -> Option<Vec<Member>> {
    let (new, settled): (Vec<Candidate>, Vec<Candidate>) =
        candidates.iter().cloned().partition(Candidate::is_new);
    let without_new = best_electorate(settled, tolerance);
    let best = match new.is_empty() || new_replicas_can_wait(&without_new, tolerance) {
        true => without_new,
        false => best_electorate(candidates, tolerance),
    };
    let mut members: Vec<Member> = best.iter().map(|candidate| candidate.member.clone()).collect();
    members.sort_by_key(|member| member.id);
    has_live_majority(&best).then_some(members)
}

/// Whether new replicas need not be added yet: all members are in contact and the configured losses are tolerated. New
/// replicas count as possibly lost, and so they would use up the additional losses that a larger electorate tolerates.
fn new_replicas_can_wait(electorate: &[Candidate], tolerance: FaultTolerance) -> bool {
    let tolerated_losses = tolerance.tolerated_losses(electorate);
    let all_live = electorate.iter().all(Candidate::is_present);
    all_live && tolerated_losses.tolerates_machines && tolerated_losses.tolerates_zones
}

fn best_electorate(candidates: Vec<Candidate>, tolerance: FaultTolerance) -> Vec<Candidate> {
    let (present, others): (Vec<Candidate>, Vec<Candidate>) =
        candidates.into_iter().partition(Candidate::is_present);
    let others = sort_by_retention_priority(&present, others, tolerance);
    let with = |kept: usize| {
        let all = present.iter().chain(&others[..kept]).cloned().collect();
        reduce(all, tolerance)
    };
    let mut best = with(0);
    let mut kept_in_best = 0;
    for kept in 1..=others.len() {
        let electorate = with(kept);
        if tolerance.tolerated_losses(&electorate) > tolerance.tolerated_losses(&best) {
            (best, kept_in_best) = (electorate, kept);
        }
    }
    with_additional_lost_member(&best, &others[kept_in_best..], tolerance).unwrap_or(best)
}

/// Sorts the members that are not in contact by retention priority: if zone losses are to be tolerated, members of the
/// smallest zone first; within a zone, the one silent for the shortest time first.
fn sort_by_retention_priority(
    present: &[Candidate],
    mut others: Vec<Candidate>,
    tolerance: FaultTolerance,
) -> Vec<Candidate> {
    let mut ordered = Vec::new();
    while !others.is_empty() {
        let all: Vec<Candidate> = present.iter().chain(&ordered).cloned().collect();
        let sizes = zone_sizes(&all);
        let size = |candidate: &Candidate| match tolerance.zones {
            0 => 0,
            _ => sizes.get(candidate.zone.as_str()).copied().unwrap_or(0),
        };
        let next = others.iter().enumerate();
        let next = next.min_by_key(|(_, other)| (size(other), other.status, other.member.id));
        let index = next.map_or(0, |(index, _)| index);
        ordered.push(others.remove(index));
    }
    ordered
}

/// Extends an even electorate by one lost member. Removing that member has no benefit: the larger electorate tolerates
/// as many losses and needs no change when the member returns.
fn with_additional_lost_member(
    electorate: &[Candidate],
    dropped: &[Candidate],
    tolerance: FaultTolerance,
) -> Option<Vec<Candidate>> {
    let grows = electorate.iter().any(Candidate::is_joining);
    let is_odd = !electorate.len().is_multiple_of(2);
    if is_odd || grows || electorate.len() >= tolerance.max_members() {
        return None;
    }
    let lost = dropped.first().filter(|lost| matches!(lost.status, ReplicaStatus::Lost { .. }))?;
    let odd: Vec<Candidate> = electorate.iter().chain([lost]).cloned().collect();
    (tolerance.tolerated_losses(&odd) >= tolerance.tolerated_losses(electorate)).then_some(odd)
}

/// Removes members that make an electorate too large, too dependent on one zone, or even in number.
fn reduce(mut electorate: Vec<Candidate>, tolerance: FaultTolerance) -> Vec<Candidate> {
    while electorate.len() > tolerance.max_members() {
        remove_lowest_priority(&mut electorate, tolerance);
    }
    limit_zone_sizes(&mut electorate, tolerance);
    leave_out_surplus_joiner(&mut electorate, tolerance);
    electorate
}

/// Removes members of the largest zones until the loss of the zones is tolerated. Removes none if that is impossible.
fn limit_zone_sizes(electorate: &mut Vec<Candidate>, tolerance: FaultTolerance) {
    let mut reduced = electorate.clone();
    while !tolerance.tolerates_zones(&reduced) {
        if reduced.len() <= tolerance.min_members() {
            return;
        }
        remove_lowest_priority(&mut reduced, tolerance);
    }
    *electorate = reduced;
}

/// Leaves out a joining replica that would make the number of members even: an even electorate tolerates no more losses
/// than one with a member less.
fn leave_out_surplus_joiner(electorate: &mut Vec<Candidate>, tolerance: FaultTolerance) {
    if !electorate.len().is_multiple_of(2) || !electorate.iter().any(Candidate::is_joining) {
        return;
    }
    let without = |left_out: &Candidate| -> Vec<Candidate> {
        electorate.iter().filter(|candidate| candidate.member.id != left_out.member.id).cloned().collect()
    };
    let mut joiners: Vec<&Candidate> = electorate.iter().filter(|candidate| candidate.is_joining()).collect();
    // New replicas are left out before those that have been present for longer.
    joiners.sort_by_key(|joiner| std::cmp::Reverse((joiner.status, joiner.member.id)));
    let smaller = joiners.into_iter().map(without);
    let mut as_tolerant =
        smaller.filter(|less| tolerance.tolerated_losses(less) >= tolerance.tolerated_losses(electorate));
    if let Some(less) = as_tolerant.next() {
        *electorate = less;
    }
}

/// Removes one candidate: if zone losses are to be tolerated, one of the largest zone; within a zone, the one with the
/// lowest retention priority.
fn remove_lowest_priority(electorate: &mut Vec<Candidate>, tolerance: FaultTolerance) {
    let sizes = zone_sizes(electorate);
    let size = |candidate: &Candidate| match tolerance.zones {
        0 => 0,
        _ => sizes[candidate.zone.as_str()],
    };
    let last = electorate
        .iter()
        .enumerate()
        .max_by_key(|(_, candidate)| (size(candidate), candidate.status, candidate.member.id))
        .map(|(index, _)| index);
    if let Some(index) = last {
        electorate.remove(index);
    }
}

#[cfg(test)]
mod tests;
