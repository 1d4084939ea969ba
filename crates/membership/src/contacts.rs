//! All other nodes that a node knows.

use crate::contact::{Contact, ReceivedHeartbeat, SentHeartbeats};
use std::collections::BTreeMap;

/// Times of the membership, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct ContactSettings {
    /// Time between two heartbeats to the same node.
    pub heartbeat_interval_ms: u64,
    /// The same while the node seeks contact with a quorum.
    pub seeking_interval_ms: u64,
    /// Age of the last confirmed contact beyond which a node counts as out of contact.
    pub contact_timeout_ms: u64,
    /// Silence after which a node is taken for down.
    pub down_timeout_ms: u64,
    /// Silence after which a node is forgotten.
    pub forget_timeout_ms: u64,
}

impl Default for ContactSettings {
    /// Four heartbeats may be lost before contact is; a freeze shorter than `down_timeout_ms` moves no role.
    fn default() -> Self {
        ContactSettings {
            heartbeat_interval_ms: 200,
            seeking_interval_ms: 75,
            contact_timeout_ms: 900,
            down_timeout_ms: 1500,
            forget_timeout_ms: 60_000,
        }
    }
}

/// All other nodes that this node knows, by identity.
#[derive(Debug)]
pub struct Contacts {
    settings: ContactSettings,
    /// Identity of this node.
    self_id: u64,
    /// Random number of this life.
    incarnation: u64,
    sequence: u64,
    sent: SentHeartbeats,
    contacts: BTreeMap<u64, Contact>,
    last_heartbeat: Option<u64>,
}

impl Contacts {
    /// A node that knows no other yet.
    pub fn new(self_id: u64, incarnation: u64, settings: ContactSettings) -> Contacts {
        Contacts {
            settings,
            self_id,
            incarnation,
            sequence: 0,
            sent: SentHeartbeats::default(),
            contacts: BTreeMap::new(),
            last_heartbeat: None,
        }
    }

    /// The times.
    pub fn settings(&self) -> &ContactSettings {
        &self.settings
    }

    /// Random number of this life.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether heartbeats are due; if so their sequence. They are sent more often as long as contact is sought.
    pub fn heartbeat_due(&mut self, now: u64, seeking: bool) -> Option<u64> {
        let every =
            if seeking { self.settings.seeking_interval_ms } else { self.settings.heartbeat_interval_ms };
        if now < self.last_heartbeat.map_or(0, |last| last + every) {
            return None;
        }
        Some(self.next_heartbeat(now))
    }

    /// Sequence of a heartbeat that is sent now, due or not.
    pub fn next_heartbeat(&mut self, now: u64) -> u64 {
        self.last_heartbeat = Some(now);
        self.sequence += 1;
        self.sent.record(self.sequence, now);
        self.remove_expired(now);
        self.sequence
    }

    fn remove_expired(&mut self, now: u64) {
        let oldest = now.saturating_sub(self.settings.forget_timeout_ms);
        self.contacts.retain(|_, contact| contact.last_heard_at >= oldest);
    }

    /// Takes in a heartbeat. A late one of the same life changes nothing but the confirmation.
    pub fn receive_heartbeat(&mut self, now: u64, heard: ReceivedHeartbeat) {
        if heard.id == self.self_id {
            return;
        }
        let confirmed_at = heard.echo.and_then(|sequence| self.sent.sent_at(sequence));
        self.remove_replaced_at_address(&heard);
        let contact = self.contacts.entry(heard.id).or_insert_with(|| Contact {
            address: heard.address.clone(),
            node: heard.node.clone(),
            incarnation: heard.incarnation,
            first_heard_at: now,
            sequence: 0,
            last_heard_at: now,
            confirmed_at: None,
            status: heard.status.clone(),
        });
        if contact.incarnation != heard.incarnation {
            contact.incarnation = heard.incarnation;
            contact.first_heard_at = now;
            contact.sequence = 0;
            contact.confirmed_at = None;
        }
        if heard.sequence > contact.sequence {
            contact.sequence = heard.sequence;
            contact.last_heard_at = now;
            contact.address = heard.address;
            contact.node = heard.node;
            contact.status = heard.status;
        }
        contact.confirmed_at = contact.confirmed_at.max(confirmed_at);
    }

    /// An address belongs to the identity heard there last: a disk that was lost gives a new one.
    fn remove_replaced_at_address(&mut self, heard: &ReceivedHeartbeat) {
        let id = heard.id;
        self.contacts.retain(|other, contact| *other == id || contact.address != heard.address);
    }

    /// What is to be echoed: identity, life and newest sequence of each node.
    pub fn echoes(&self) -> impl Iterator<Item = (u64, &Contact)> {
        self.contacts.iter().map(|(id, contact)| (*id, contact))
    }

    /// A node.
    pub fn get(&self, id: u64) -> Option<&Contact> {
        self.contacts.get(&id)
    }

    /// All nodes.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Contact)> {
        self.echoes()
    }

    /// Whether a node is heard.
    pub fn is_up(&self, now: u64, id: u64) -> bool {
        self.contacts
            .get(&id)
            .is_some_and(|contact| now < contact.last_heard_at + self.settings.down_timeout_ms)
    }

    /// How long a node has been silent, in milliseconds; `None` for one not known.
    pub fn silent_for(&self, now: u64, id: u64) -> Option<u64> {
        self.contacts.get(&id).map(|contact| now.saturating_sub(contact.last_heard_at))
    }

    /// Whether a node was certain to hear this node a short time ago.
    pub fn is_in_contact(&self, now: u64, id: u64) -> bool {
        let oldest = now.saturating_sub(self.settings.contact_timeout_ms);
        self.contacts.get(&id).is_some_and(|contact| contact.confirmed_at.is_some_and(|at| at >= oldest))
    }

    /// Nodes that were certain to hear this node a short time ago, this node included.
    pub fn in_contact(&self, now: u64) -> impl Iterator<Item = u64> + '_ {
        self.in_contact_within(now, self.settings.contact_timeout_ms)
    }

    /// Nodes that were certain to hear this node within a time in milliseconds, this node included.
    pub fn in_contact_within(&self, now: u64, within: u64) -> impl Iterator<Item = u64> + '_ {
        let oldest = now.saturating_sub(within);
        let others = self
            .contacts
            .iter()
            .filter(move |(_, contact)| contact.confirmed_at.is_some_and(|at| at >= oldest));
        others.map(|(id, _)| *id).chain(std::iter::once(self.self_id))
    }
}
