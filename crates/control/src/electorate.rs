//! Automatic changes of the electorate: joined replicas are added; replaced, leaving and lost members are removed.
//!
//! This module collects the status of each replica and decides which node drives a change. [`choice`] selects the
//! members.

mod choice;

use crate::jobs::Job;
use crate::node::ControlNode;
use choice::{select_members, Candidate, FaultTolerance, ReplicaStatus};
use std::collections::BTreeSet;
use switchhill_membership::Contact;
use switchhill_register::{Accepted, Ballot, Electorate, Member, ReplicaId};

/// Silence in milliseconds after which a member may be removed. A lost machine has to be removed well before its
/// replacement has run for 4 s, because from then on another machine may be lost.
const REMOVE_TIMEOUT_MS: u64 = 2_500;

/// Silence in milliseconds after which a joining replica may replace a member. Both happen in one change, so there is
/// no intermediate electorate that contains the lost member in addition.
const REPLACE_TIMEOUT_MS: u64 = 800;

/// Time in milliseconds for which a replica counts as new and may well be lost again: `catchUpS` of the deployments.
const NEW_REPLICA_PERIOD_MS: u64 = 4_000;

/// Maximum silence in milliseconds of a replica that may be added.
const MAX_JOINER_SILENCE_MS: u64 = 600;

impl ControlNode {
    /// Queues a change to a better electorate, if there is one and this node is the member that drives changes.
    pub(crate) fn tick_electorate(&mut self, now: u64) {
        let pending = self.jobs.has(|job| matches!(job, Job::Electorate));
        if pending || !self.caught_up {
            return;
        }
        // A value that may not have been chosen yet is completed first.
        let newest = self.replica.committed().map_or(Ballot::NONE, |committed| committed.ballot);
        if self.replica.accepted_ballot() > newest {
            return;
        }
        if let Some(members) = self.members_to_write(now, self.replica.committed()) {
            log::info!("electorate: {} members wanted", members.len());
            self.jobs.push_first(Job::Electorate);
        }
    }

    /// The members that are to replace those of a value (or of the initial electorate while the register is empty), if
    /// this node is the one to change them. Evaluated again once a change is prepared, because another node may have
    /// changed the electorate in the meantime.
    pub(crate) fn members_to_write(&self, now: u64, current: Option<&Accepted>) -> Option<Vec<Member>> {
        let electorate = current.map(|current| &current.value.electorate).or(self.replica.electorate())?;
        if !self.drives_electorate_changes(now, electorate) {
            return None;
        }
        let members = self.desired_members(now, electorate)?;
        let mut current = electorate.members.clone();
        current.sort_by_key(|member| member.id);
        (members != current).then_some(members)
    }

    /// Starts leaving the electorate and informs the other nodes immediately.
    pub(crate) fn start_leaving(&mut self, now: u64) {
        self.leaving = true;
        self.send_heartbeat(now);
    }

    /// Whether the process may exit after [`Input::Leave`](crate::Input::Leave). It may once the electorate no longer
    /// contains this node, which means that a majority of the others durably holds the newest value. It may also exit
    /// as one of the tolerated losses, if all other members are in contact and no replica can take its place, and if
    /// all others are leaving too. A node without a quorum waits: the others may be about to return and need its copy.
    pub fn may_leave(&self, now: u64) -> bool {
        let Some(electorate) = self.replica.electorate() else { return true };
        let me = ReplicaId(self.settings.replica_id);
        if !electorate.contains(me) {
            return true;
        }
        let others = || electorate.members.iter().map(|member| member.id).filter(|id| *id != me);
        let is_leaving =
            |id: ReplicaId| self.contacts.get(id.0).is_some_and(|contact| contact.status.leaving);
        if others().all(is_leaving) {
            return true;
        }
        let is_stable = !electorate.is_joint()
            && self.has_quorum(now)
            && others().all(|id| self.contacts.is_in_contact(now, id.0) && !is_leaving(id))
            && !self.has_possible_replacement(now, electorate);
        let desired = || self.desired_members(now, electorate);
        is_stable && desired().is_none_or(|members| members.iter().any(|member| member.id == me))
    }

    /// Whether a non-voting replica was heard recently that can take the place of a member. It may have restarted just
    /// now and not be eligible yet.
    fn has_possible_replacement(&self, now: u64, electorate: &Electorate) -> bool {
        self.contacts.iter().any(|(id, contact)| {
            let votes = electorate.members.iter().any(|member| member.id.0 == id);
            !votes && !contact.status.leaving && now < contact.last_heard_at + REMOVE_TIMEOUT_MS
        })
    }

    /// The newest electorate known to be chosen, with the ballot of its value.
    pub fn committed_electorate(&self) -> Option<(Ballot, &Electorate)> {
        self.replica.committed().map(|accepted| (accepted.ballot, &accepted.value.electorate))
    }

    /// Whether this node is the member with the lowest id that can change the electorate. Members are skipped if they
    /// are not in contact with this node in both directions, have no quorum, have no ballot to propose with, or are
    /// leaving.
    fn drives_electorate_changes(&self, now: u64, electorate: &Electorate) -> bool {
        let me = self.settings.replica_id;
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
        let timeout_ms = if joiners.is_empty() { REMOVE_TIMEOUT_MS } else { REPLACE_TIMEOUT_MS };
        let members = electorate.members.iter().map(|member| Candidate {
            member: member.clone(),
            zone: self.zone_of(member.id),
            status: self.status_of_member(now, member, timeout_ms),
        });
        let candidates = members.chain(joiners).collect();
        let tolerance =
            FaultTolerance { machines: self.settings.machines_lost, zones: self.settings.zones_lost };
        select_members(candidates, tolerance)
    }

    /// Non-voting replicas that are in contact and not leaving.
    fn joiners(&self, now: u64, electorate: &Electorate) -> Vec<Candidate> {
        let joins = |id: u64, leaving: bool| {
            let known = electorate.members.iter().any(|member| member.id.0 == id);
            let heard =
                self.contacts.silent_for(now, id).is_some_and(|silent| silent < MAX_JOINER_SILENCE_MS);
            !known && heard && self.contacts.is_in_contact(now, id) && !leaving
        };
        let contacts = self.contacts.iter().filter(|(id, contact)| joins(*id, contact.status.leaving));
        let candidate = |id: u64, contact: &Contact| Candidate {
            member: Member { id: ReplicaId(id), address: contact.address.clone() },
            zone: contact.status.zone.clone(),
            status: ReplicaStatus::Joining { is_new: self.is_new(now, contact) },
        };
        contacts.map(|(id, contact)| candidate(id, contact)).collect()
    }

    /// Whether a node has appeared only recently. A node that has itself just started cannot tell, and when the whole
    /// system starts, every node would count as new; in both cases the result is `false`.
    fn is_new(&self, now: u64, contact: &Contact) -> bool {
        now >= self.started_at + NEW_REPLICA_PERIOD_MS && now < contact.first_heard_at + NEW_REPLICA_PERIOD_MS
    }

    fn zone_of(&self, id: ReplicaId) -> String {
        if id.0 == self.settings.replica_id {
            return self.settings.zone.clone();
        }
        self.contacts.get(id.0).map_or_else(String::new, |contact| contact.status.zone.clone())
    }

    /// Zones of the core nodes at these addresses, if the loss of a zone is to be tolerated.
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

    fn status_of_member(&self, now: u64, member: &Member, timeout_ms: u64) -> ReplicaStatus {
        let leaving = match member.id.0 == self.settings.replica_id {
            true => self.leaving,
            false => self.contacts.get(member.id.0).is_some_and(|contact| contact.status.leaving),
        };
        let silent_ms = self.silent_for(now, member);
        if self.is_replaced(member) {
            ReplicaStatus::Replaced
        } else if leaving {
            ReplicaStatus::Leaving
        } else if silent_ms >= timeout_ms || self.unconfirmed_for(now, member) >= REMOVE_TIMEOUT_MS {
            ReplicaStatus::Lost { silent_ms }
        } else {
            ReplicaStatus::Live
        }
    }

    fn silent_for(&self, now: u64, member: &Member) -> u64 {
        match member.id.0 == self.settings.replica_id {
            true => 0,
            // Never heard since this process started.
            false => self.contacts.silent_for(now, member.id.0).unwrap_or(now - self.started_at),
        }
    }

    /// Time since a member last confirmed that it receives this node's messages. A member with a one-way link thus
    /// loses its vote.
    fn unconfirmed_for(&self, now: u64, member: &Member) -> u64 {
        if member.id.0 == self.settings.replica_id {
            return 0;
        }
        let confirmed_at = self.contacts.get(member.id.0).and_then(|contact| contact.confirmed_at);
        now.saturating_sub(confirmed_at.unwrap_or(self.started_at))
    }

    /// Whether another replica runs at a member's address, which means that the member's disk is lost.
    fn is_replaced(&self, member: &Member) -> bool {
        let other = |id: u64, address: &str| id != member.id.0 && address == member.address;
        other(self.settings.replica_id, &self.settings.address)
            || self.contacts.iter().any(|(id, contact)| other(id, &contact.address))
    }
}
