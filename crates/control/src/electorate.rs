//! Who votes: replicas that have joined are added, replaced, leaving and lost ones are dropped.
//!
//! This part collects what is known of each replica and decides who drives a change; [`choice`] decides which of them
//! are to vote.

mod choice;

use crate::jobs::Job;
use crate::node::ControlNode;
use choice::{choose, Candidate, Standing, Tolerance};
use std::collections::BTreeSet;
use switchhill_membership::Contact;
use switchhill_register::{Accepted, Ballot, Electorate, Member, ReplicaId};

/// Silence in milliseconds after which a member may be dropped. A machine that was taken away has to be dropped well
/// before its successor has run for 4 s: from then on another one may be lost.
const DROP_AFTER: u64 = 2_500;

/// Silence in milliseconds after which a member gives way to a replica that joins: the newcomer takes its place in one
/// change, so that no electorate with a lost member in surplus lies between.
const GIVE_WAY_AFTER: u64 = 800;

/// Time in milliseconds for which a replica is new, and may as soon be lost as not: `catchUpS` of the deployments.
const NEW_FOR: u64 = 4_000;

/// Silence in milliseconds of a replica that may be added.
const ADD_WITHIN: u64 = 600;

impl ControlNode {
    /// Proposes a better electorate, if this node is the first member that can and there is one.
    pub(crate) fn tick_electorate(&mut self, now: u64) {
        let pending = self.jobs.has(|job| matches!(job, Job::Electorate));
        if pending || !self.caught_up {
            return;
        }
        // A value that may not be chosen yet is completed first.
        let newest = self.replica.committed().map_or(Ballot::NONE, |committed| committed.ballot);
        if self.replica.accepted_ballot() > newest {
            return;
        }
        if let Some(members) = self.members_to_write(now, self.replica.committed()) {
            log::info!("electorate: {} members wanted", members.len());
            self.jobs.push_first(Job::Electorate);
        }
    }

    /// The members to put in place of those of a value, or of the first electorate while the register is empty, if this
    /// node is to change them. Decided anew once a change is prepared: another node may have changed the electorate
    /// meanwhile.
    pub(crate) fn members_to_write(&self, now: u64, current: Option<&Accepted>) -> Option<Vec<Member>> {
        let electorate = current.map(|current| &current.value.electorate).or(self.replica.electorate())?;
        if !self.acts_for_electorate(now, electorate) {
            return None;
        }
        let members = self.desired_members(now, electorate)?;
        let mut present = electorate.members.clone();
        present.sort_by_key(|member| member.id);
        (members != present).then_some(members)
    }

    /// The process is to end: the other nodes are told at once.
    pub(crate) fn leave(&mut self, now: u64) {
        self.leaving = true;
        self.send_heartbeat(now);
    }

    /// Whether the process may end after [`Input::Leave`](crate::Input::Leave): the electorate goes on without this node,
    /// so a majority of the others durably holds the newest value. It may also end where it goes as one of the losses to
    /// be borne, with all other members in contact and nobody to take its place, and where all others are told to end too.
    /// A node that reaches no quorum can't tell, and waits: the others may be about to come back and need its copy.
    pub fn may_leave(&self, now: u64) -> bool {
        let Some(electorate) = self.replica.electorate() else { return true };
        let me = ReplicaId(self.settings.replica);
        if !electorate.contains(me) {
            return true;
        }
        let others = || electorate.members.iter().map(|member| member.id).filter(|id| *id != me);
        let told_to_end =
            |id: ReplicaId| self.contacts.get(id.0).is_some_and(|contact| contact.status.leaving);
        if others().all(told_to_end) {
            return true;
        }
        let is_calm = !electorate.is_joint()
            && self.has_quorum(now)
            && others().all(|id| self.contacts.is_in_contact(now, id.0) && !told_to_end(id))
            && !self.has_successor(now, electorate);
        let wanted = || self.desired_members(now, electorate);
        is_calm && wanted().is_none_or(|members| members.iter().any(|member| member.id == me))
    }

    /// Whether a replica without a vote was heard that may take the place of a member, though not yet, if it has just
    /// restarted.
    fn has_successor(&self, now: u64, electorate: &Electorate) -> bool {
        self.contacts.iter().any(|(id, contact)| {
            let votes = electorate.members.iter().any(|member| member.id.0 == id);
            !votes && !contact.status.leaving && now < contact.last_heard_at + DROP_AFTER
        })
    }

    /// The newest electorate that this node knows to be chosen, with the ballot of its value.
    pub fn committed_electorate(&self) -> Option<(Ballot, &Electorate)> {
        self.replica.committed().map(|accepted| (accepted.ballot, &accepted.value.electorate))
    }

    /// Whether this node is the first member, in the order of ids, that can change the electorate. Members that this
    /// node does not reach both ways, that reach no quorum, that have no ballot to propose with or that leave are passed
    /// over.
    fn acts_for_electorate(&self, now: u64, electorate: &Electorate) -> bool {
        let me = self.settings.replica;
        let able = |id: u64| {
            let told = self.contacts.get(id).map(|contact| &contact.status);
            self.contacts.is_in_contact(now, id) && told.is_some_and(|told| told.in_quorum && !told.leaving)
        };
        let others = electorate.members.iter().map(|member| member.id.0).filter(|id| *id == me || able(*id));
        let can_change =
            !self.leaving && self.caught_up && self.has_quorum(now) && self.replica.can_propose();
        can_change && others.min() == Some(me)
    }

    fn desired_members(&self, now: u64, electorate: &Electorate) -> Option<Vec<Member>> {
        let joiners = self.joiners(now, electorate);
        let patience = if joiners.is_empty() { DROP_AFTER } else { GIVE_WAY_AFTER };
        let present = electorate.members.iter().map(|member| Candidate {
            member: member.clone(),
            zone: self.zone_of(member.id),
            standing: self.standing(now, member, patience),
        });
        let candidates = present.chain(joiners).collect();
        let tolerance = Tolerance { machines: self.settings.machines_lost, zones: self.settings.zones_lost };
        choose(candidates, tolerance)
    }

    /// Replicas without a vote that are in contact and stay.
    fn joiners(&self, now: u64, electorate: &Electorate) -> Vec<Candidate> {
        let joins = |id: u64, leaving: bool| {
            let known = electorate.members.iter().any(|member| member.id.0 == id);
            let heard = self.contacts.silent_for(now, id).is_some_and(|silent| silent < ADD_WITHIN);
            !known && heard && self.contacts.is_in_contact(now, id) && !leaving
        };
        let contacts = self.contacts.iter().filter(|(id, contact)| joins(*id, contact.status.leaving));
        let candidate = |id: u64, contact: &Contact| Candidate {
            member: Member { id: ReplicaId(id), address: contact.address.clone() },
            zone: contact.status.zone.clone(),
            standing: Standing::Joining { is_new: self.is_new(now, contact) },
        };
        contacts.map(|(id, contact)| candidate(id, contact)).collect()
    }

    /// Whether a node has only just appeared. A node that has itself just started can't tell, and at the start of the whole
    /// system all are new.
    fn is_new(&self, now: u64, contact: &Contact) -> bool {
        now >= self.started_at + NEW_FOR && now < contact.first_heard_at + NEW_FOR
    }

    fn zone_of(&self, id: ReplicaId) -> String {
        if id.0 == self.settings.replica {
            return self.settings.zone.clone();
        }
        self.contacts.get(id.0).map_or_else(String::new, |contact| contact.status.zone.clone())
    }

    /// Zones of the core nodes at these addresses, if the loss of a zone is to be borne.
    pub(crate) fn zones_of(&self, addresses: &BTreeSet<String>) -> Vec<String> {
        if self.settings.zones_lost == 0 {
            return Vec::new();
        }
        let zone_at = |address: &String| {
            if *address == self.settings.address {
                return self.settings.zone.clone();
            }
            let mut contacts = self.contacts.iter();
            let contact = contacts.find(|(_, contact)| contact.address == *address);
            contact.map_or_else(String::new, |(_, contact)| contact.status.zone.clone())
        };
        addresses.iter().map(zone_at).collect()
    }

    fn standing(&self, now: u64, member: &Member, patience: u64) -> Standing {
        let leaving = match member.id.0 == self.settings.replica {
            true => self.leaving,
            false => self.contacts.get(member.id.0).is_some_and(|contact| contact.status.leaving),
        };
        let silent_ms = self.silent_for(now, member);
        if self.is_replaced(member) {
            Standing::Replaced
        } else if leaving {
            Standing::Leaving
        } else if silent_ms >= patience || self.unconfirmed_for(now, member) >= DROP_AFTER {
            Standing::Lost { silent_ms }
        } else {
            Standing::Live
        }
    }

    fn silent_for(&self, now: u64, member: &Member) -> u64 {
        match member.id.0 == self.settings.replica {
            true => 0,
            // Never heard in this life: silent since the start.
            false => self.contacts.silent_for(now, member.id.0).unwrap_or(now - self.started_at),
        }
    }

    /// How long it is not certain that a member hears this node: a link that works one way keeps no vote.
    fn unconfirmed_for(&self, now: u64, member: &Member) -> u64 {
        if member.id.0 == self.settings.replica {
            return 0;
        }
        let confirmed_at = self.contacts.get(member.id.0).and_then(|contact| contact.confirmed_at);
        now.saturating_sub(confirmed_at.unwrap_or(self.started_at))
    }

    /// Whether another replica lives at a member's address: the disk of that member is lost.
    fn is_replaced(&self, member: &Member) -> bool {
        let other = |id: u64, address: &str| id != member.id.0 && address == member.address;
        other(self.settings.replica, &self.settings.address)
            || self.contacts.iter().any(|(id, contact)| other(id, &contact.address))
    }
}
