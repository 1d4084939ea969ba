//! Who votes: replicas that have joined are added, replaced and lost ones are dropped.

use crate::jobs::Job;
use crate::node::ControlNode;
use switchhill_register::{Electorate, Member, ReplicaId};

/// Silence in milliseconds after which a member may be dropped while enough others remain. A machine that was taken away
/// has to be dropped well before its successor has run for 4 s: from then on another one may be lost.
const DROP_AFTER: u64 = 2_500;

/// Silence in milliseconds after which a member gives way to a replica that joins while enough others remain: the
/// newcomer takes its place in one change, so that no electorate with a lost member in surplus lies between.
const GIVE_WAY_AFTER: u64 = 800;

/// Silence in milliseconds of a replica that may be added.
const ADD_WITHIN: u64 = 600;

/// Most replicas that vote.
const MOST_MEMBERS: usize = 9;

impl ControlNode {
    /// Proposes a better electorate, if this node is the first live member and there is one.
    pub(crate) fn tick_electorate(&mut self, now: u64) {
        let pending = self.jobs.has(|job| matches!(job, Job::Electorate { .. }));
        if pending || !self.caught_up || self.replica.committed().is_none() || !self.acts_for_electorate(now)
        {
            return;
        }
        let Some(electorate) = self.replica.electorate() else { return };
        let members = self.desired_members(now, electorate);
        let mut present = electorate.members.clone();
        present.sort_by_key(|member| member.id);
        if members != present {
            log::info!("electorate: {} members, {} wanted", electorate.members.len(), members.len());
            let epoch = electorate.epoch;
            self.jobs.push(Job::Electorate { members, epoch });
        }
    }

    /// The first member in the order of ids that is in contact with a quorum.
    fn acts_for_electorate(&self, now: u64) -> bool {
        let me = self.settings.replica;
        let Some(electorate) = self.replica.electorate() else { return false };
        let first = electorate
            .members
            .iter()
            .map(|member| member.id.0)
            .filter(|id| *id == me || self.contacts.is_up(now, *id));
        self.has_quorum(now) && first.min() == Some(me)
    }

    fn desired_members(&self, now: u64, electorate: &Electorate) -> Vec<Member> {
        let mut members: Vec<Member> = electorate.members.clone();
        members.retain(|member| !self.is_replaced(member));
        let before = members.len();
        self.add_joined(now, &mut members);
        let silence = if members.len() > before { GIVE_WAY_AFTER } else { DROP_AFTER };
        self.drop_silent(now, silence, &mut members);
        members.sort_by_key(|member| member.id);
        members
    }

    /// Whether another replica lives at a member's address: the disk of that member is lost.
    fn is_replaced(&self, member: &Member) -> bool {
        let other = |id: u64, address: &str| id != member.id.0 && address == member.address;
        other(self.settings.replica, &self.settings.address)
            || self.contacts.iter().any(|(id, contact)| other(id, &contact.address))
    }

    fn add_joined(&self, now: u64, members: &mut Vec<Member>) {
        for (id, contact) in self.contacts.iter() {
            let known = members.iter().any(|member| member.id.0 == id);
            let live = self.contacts.silent_for(now, id).is_some_and(|silent| silent < ADD_WITHIN);
            let confirmed = contact.confirmed_at.is_some();
            if !known && live && confirmed && members.len() < MOST_MEMBERS {
                members.push(Member { id: ReplicaId(id), address: contact.address.clone() });
            }
        }
    }

    fn drop_silent(&self, now: u64, silence: u64, members: &mut Vec<Member>) {
        let least = 2 * self.settings.machines_lost + 1;
        let silent_for = |member: &Member| match member.id.0 == self.settings.replica {
            true => 0,
            // Never heard in this life: silent since the start.
            false => self.contacts.silent_for(now, member.id.0).unwrap_or(now - self.started_at),
        };
        while members.len() > least {
            let longest = members.iter().enumerate().max_by_key(|(_, member)| silent_for(member));
            match longest {
                Some((index, member)) if silent_for(member) >= silence => members.remove(index),
                _ => return,
            };
        }
    }
}
