//! Which of the replicas known are to vote.
//!
//! An electorate is *sound* if a majority of it remains after the loss of as many machines, and of as many zones, as the
//! site is to bear. Losses include those that have struck already: a lost member that is kept in a sound electorate is one
//! of the losses to be borne, and costs nothing when it comes back. So lost members are dropped only as far as the rest is
//! as sound without them.

use std::collections::BTreeMap;
use switchhill_register::Member;

/// Most replicas that vote, unless the losses to be borne ask for more.
const MOST_MEMBERS: usize = 9;

/// Losses that are to be borne at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Tolerance {
    pub(super) machines: usize,
    pub(super) zones: usize,
}

/// What is known of a replica, in the order in which it is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Standing {
    /// A member in contact.
    Live,
    /// No member, and in contact.
    Joining {
        /// Whether it has only just appeared.
        is_new: bool,
    },
    /// A member that has been silent for long.
    Lost { silent_ms: u64 },
    /// A member that was told to end.
    Leaving,
    /// A member whose disk is lost: another replica lives at its address.
    Replaced,
}

/// A replica that may vote.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) member: Member,
    /// Zone of its machine, empty if not known.
    pub(super) zone: String,
    pub(super) standing: Standing,
}

impl Candidate {
    fn is_present(&self) -> bool {
        matches!(self.standing, Standing::Live | Standing::Joining { .. })
    }

    fn is_new(&self) -> bool {
        self.standing == Standing::Joining { is_new: true }
    }

    fn is_joining(&self) -> bool {
        matches!(self.standing, Standing::Joining { .. })
    }
}

impl Tolerance {
    /// Fewest members of which a majority remains after the loss of the machines.
    fn least_members(&self) -> usize {
        2 * self.machines + 1
    }

    fn most_members(&self) -> usize {
        MOST_MEMBERS.max(self.least_members())
    }

    fn bears_zones(&self, electorate: &[Candidate]) -> bool {
        let mut sizes: Vec<usize> = zone_sizes(electorate).into_values().collect();
        sizes.sort_unstable_by(|one, other| other.cmp(one));
        let lost: usize = sizes.iter().take(self.zones).sum();
        (electorate.len() - lost) * 2 > electorate.len()
    }

    fn soundness(&self, electorate: &[Candidate]) -> Soundness {
        let bears_machines = electorate.len() >= self.least_members();
        let majority = electorate.len() / 2 + 1;
        let further_losses = present_count(electorate).saturating_sub(majority);
        Soundness {
            can_vote: can_vote(electorate),
            bears_machines,
            bears_zones: self.bears_zones(electorate),
            else_bears: if bears_machines { (0, 0) } else { (further_losses, electorate.len()) },
        }
    }
}

/// What an electorate bears, compared in this order.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Soundness {
    /// Whether a majority is in contact.
    can_vote: bool,
    /// Whether a majority remains without any machines of the number to be borne.
    bears_machines: bool,
    /// Whether a majority remains without any zones of the number to be borne.
    bears_zones: bool,
    /// Where the machines' loss is not borne: how many more may be lost now, and the number of members.
    else_bears: (usize, usize),
}

fn present_count(electorate: &[Candidate]) -> usize {
    electorate.iter().filter(|candidate| candidate.is_present()).count()
}

/// Whether a majority is in contact. A change to an electorate that can't vote would end all changes until it can: whoever
/// meets it has to have it chosen first.
fn can_vote(electorate: &[Candidate]) -> bool {
    present_count(electorate) * 2 > electorate.len()
}

fn zone_sizes(electorate: &[Candidate]) -> BTreeMap<&str, usize> {
    let mut sizes = BTreeMap::new();
    for candidate in electorate {
        *sizes.entry(candidate.zone.as_str()).or_default() += 1;
    }
    sizes
}

/// The members wanted, by id: all replicas in contact, and as few of the others as a sound electorate needs. `None` if no
/// electorate could vote.
pub(super) fn choose(candidates: Vec<Candidate>, tolerance: Tolerance) -> Option<Vec<Member>> {
    let (new, settled): (Vec<Candidate>, Vec<Candidate>) =
        candidates.iter().cloned().partition(Candidate::is_new);
    let without_new = best_of(settled, tolerance);
    let best = match new.is_empty() || may_wait(&without_new, tolerance) {
        true => without_new,
        false => best_of(candidates, tolerance),
    };
    let mut members: Vec<Member> = best.iter().map(|candidate| candidate.member.clone()).collect();
    members.sort_by_key(|member| member.id);
    can_vote(&best).then_some(members)
}

/// Whether nothing is lost and all losses are borne: replicas that are new need not be added yet. While they count as
/// lost, they would use up what the larger electorate bears.
fn may_wait(electorate: &[Candidate], tolerance: Tolerance) -> bool {
    let soundness = tolerance.soundness(electorate);
    let all_live = electorate.iter().all(Candidate::is_present);
    all_live && soundness.bears_machines && soundness.bears_zones
}

fn best_of(candidates: Vec<Candidate>, tolerance: Tolerance) -> Vec<Candidate> {
    let (present, others): (Vec<Candidate>, Vec<Candidate>) =
        candidates.into_iter().partition(Candidate::is_present);
    let others = in_order_of_keeping(&present, others, tolerance);
    let with = |kept: usize| {
        let all = present.iter().chain(&others[..kept]).cloned().collect();
        limit(all, tolerance)
    };
    let mut best = with(0);
    let mut kept_of_best = 0;
    for kept in 1..=others.len() {
        let electorate = with(kept);
        if tolerance.soundness(&electorate) > tolerance.soundness(&best) {
            (best, kept_of_best) = (electorate, kept);
        }
    }
    with_one_lost_more(&best, &others[kept_of_best..], tolerance).unwrap_or(best)
}

/// Members that are not in contact, those to be kept first: of the smallest zone where zones count, and there the one
/// silent for the shortest time.
fn in_order_of_keeping(
    present: &[Candidate],
    mut others: Vec<Candidate>,
    tolerance: Tolerance,
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
        let next = next.min_by_key(|(_, other)| (size(other), other.standing, other.member.id));
        let index = next.map_or(0, |(index, _)| index);
        ordered.push(others.remove(index));
    }
    ordered
}

/// An even electorate with one more member that is silent: dropping that one gains nothing, since the larger electorate
/// goes on with as many losses, and it needs no change when the member comes back.
fn with_one_lost_more(
    electorate: &[Candidate],
    dropped: &[Candidate],
    tolerance: Tolerance,
) -> Option<Vec<Candidate>> {
    let grows = electorate.iter().any(Candidate::is_joining);
    let is_odd = !electorate.len().is_multiple_of(2);
    if is_odd || grows || electorate.len() >= tolerance.most_members() {
        return None;
    }
    let lost = dropped.first().filter(|lost| matches!(lost.standing, Standing::Lost { .. }))?;
    let odd: Vec<Candidate> = electorate.iter().chain([lost]).cloned().collect();
    (tolerance.soundness(&odd) >= tolerance.soundness(electorate)).then_some(odd)
}

/// Takes out what makes an electorate too large, too dependent on a zone, or even.
fn limit(mut electorate: Vec<Candidate>, tolerance: Tolerance) -> Vec<Candidate> {
    while electorate.len() > tolerance.most_members() {
        remove_one(&mut electorate, tolerance);
    }
    spread(&mut electorate, tolerance);
    leave_out_a_joiner(&mut electorate, tolerance);
    electorate
}

/// Takes members out of the largest zones until the zones' loss is borne; nothing if that can't be had.
fn spread(electorate: &mut Vec<Candidate>, tolerance: Tolerance) {
    let mut spread = electorate.clone();
    while !tolerance.bears_zones(&spread) {
        if spread.len() <= tolerance.least_members() {
            return;
        }
        remove_one(&mut spread, tolerance);
    }
    *electorate = spread;
}

/// An even electorate bears no more losses than one with a member less: a replica that would make it even waits.
fn leave_out_a_joiner(electorate: &mut Vec<Candidate>, tolerance: Tolerance) {
    if !electorate.len().is_multiple_of(2) || !electorate.iter().any(Candidate::is_joining) {
        return;
    }
    let without = |left_out: &Candidate| -> Vec<Candidate> {
        electorate.iter().filter(|candidate| candidate.member.id != left_out.member.id).cloned().collect()
    };
    let mut joiners: Vec<&Candidate> = electorate.iter().filter(|candidate| candidate.is_joining()).collect();
    // New ones wait before those that have been there for a while.
    joiners.sort_by_key(|joiner| std::cmp::Reverse((joiner.standing, joiner.member.id)));
    let smaller = joiners.into_iter().map(without);
    let mut as_sound = smaller.filter(|less| tolerance.soundness(less) >= tolerance.soundness(electorate));
    if let Some(less) = as_sound.next() {
        *electorate = less;
    }
}

/// Takes out one candidate: of the largest zone where zones count, and there the one that is kept last.
fn remove_one(electorate: &mut Vec<Candidate>, tolerance: Tolerance) {
    let sizes = zone_sizes(electorate);
    let size = |candidate: &Candidate| match tolerance.zones {
        0 => 0,
        _ => sizes[candidate.zone.as_str()],
    };
    let last = electorate
        .iter()
        .enumerate()
        .max_by_key(|(_, candidate)| (size(candidate), candidate.standing, candidate.member.id))
        .map(|(index, _)| index);
    if let Some(index) = last {
        electorate.remove(index);
    }
}

#[cfg(test)]
mod tests;
