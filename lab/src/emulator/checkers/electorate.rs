//! The electorate: while nothing is lost, the loss that is to be borne leaves a majority of it.

use super::{Rule, Violations};
use crate::emulator::site::Sizes;
use std::collections::{BTreeMap, BTreeSet};
use switchhill_register::{Ballot, Electorate, Member, ReplicaId};

/// Electorates that replicas have accepted durably, above the one that is chosen.
#[derive(Debug)]
pub struct Electorates {
    machines_lost: usize,
    zones_lost: usize,
    /// Whether the core is large enough for the loss that is to be borne: 2f + 1 machines.
    can_bear_loss: bool,
    accepted: BTreeMap<Ballot, (Electorate, BTreeSet<ReplicaId>)>,
    chosen: Option<(Ballot, Electorate)>,
}

impl Electorates {
    /// No electorate yet.
    pub fn new(sizes: &Sizes) -> Electorates {
        Electorates {
            machines_lost: sizes.machines_lost,
            zones_lost: sizes.zones_lost,
            can_bear_loss: sizes.cores() > 2 * sizes.machines_lost,
            accepted: BTreeMap::new(),
            chosen: None,
        }
    }

    /// A replica has a value on its disk: what the value says of the electorate.
    pub fn accepted(&mut self, replica: ReplicaId, ballot: Ballot, electorate: Electorate) {
        if self.chosen.as_ref().is_some_and(|(chosen, _)| ballot <= *chosen) {
            return;
        }
        let (electorate, replicas) =
            self.accepted.entry(ballot).or_insert_with(|| (electorate, BTreeSet::new()));
        replicas.insert(replica);
        if electorate.is_quorum(replicas) {
            self.chosen = Some((ballot, electorate.clone()));
            self.accepted = self.accepted.split_off(&ballot);
            self.accepted.remove(&ballot);
        }
    }

    /// Whether the electorate is settled and consists of these replicas, or of `most` of them.
    pub fn is_full(&self, living: &BTreeMap<u64, usize>, most: usize) -> bool {
        self.chosen.as_ref().is_some_and(|(_, electorate)| {
            !electorate.is_joint()
                && electorate.members.len() == living.len().min(most)
                && electorate.members.iter().all(|member| living.contains_key(&member.id.0))
        })
    }

    /// Nothing is lost: whether the electorate bears what may be lost. `living` are the replicas that run, with their zones.
    pub fn check(&self, now: u64, living: &BTreeMap<u64, usize>, violations: &mut Violations) {
        let Some((_, electorate)) = self.chosen.as_ref().filter(|_| self.can_bear_loss) else { return };
        for members in [&electorate.members, &electorate.joint_with] {
            if !members.is_empty() && !self.bears_loss(members, living) {
                let live = members.iter().filter(|member| living.contains_key(&member.id.0)).count();
                let detail =
                    format!("{live} of {} members live, {} may be lost", members.len(), self.machines_lost);
                violations.add(now, Rule::ElectorateBearsLoss, detail);
            }
        }
    }

    /// A node that was told to end goes by itself. `others` are the replicas that run, stay and are known to it: none of them
    /// may be without a vote while the electorate counts the one that goes, for that one's place is theirs.
    pub fn goes(&self, now: u64, replica: u64, others: &BTreeSet<u64>, violations: &mut Violations) {
        let Some((_, electorate)) = self.chosen.as_ref() else { return };
        let has_successor = others.iter().any(|other| !electorate.contains(ReplicaId(*other)));
        if electorate.contains(ReplicaId(replica)) && has_successor {
            let detail = format!("replica {replica:016x} goes while it votes and another could in its place");
            violations.add(now, Rule::LeavesAfterSuccession, detail);
        }
    }

    fn bears_loss(&self, members: &[Member], living: &BTreeMap<u64, usize>) -> bool {
        let zones: Vec<usize> =
            members.iter().filter_map(|member| living.get(&member.id.0)).copied().collect();
        let is_majority = |votes: usize| votes * 2 > members.len();
        let bears_machines = is_majority(zones.len().saturating_sub(self.machines_lost));
        let outside = |lost: &usize| zones.iter().filter(|zone| *zone != lost).count();
        bears_machines && (self.zones_lost == 0 || zones.iter().all(|zone| is_majority(outside(zone))))
    }
}
