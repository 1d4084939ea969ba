//! All other nodes that a node knows.

use crate::contact::{Contact, Heard, SentHeartbeats};
use std::collections::BTreeMap;

/// Times of the membership, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct ContactSettings {
    /// Time between two heartbeats to the same node.
    pub heartbeat_every: u64,
    /// The same while the node seeks contact with a quorum.
    pub seeking_every: u64,
    /// Age of the last confirmed contact beyond which a node counts as out of contact.
    pub contact_for: u64,
    /// Silence after which a node is taken for down.
    pub down_after: u64,
    /// Silence after which a node is forgotten.
    pub forget_after: u64,
}

impl Default for ContactSettings {
    /// Four heartbeats may be lost before contact is; a freeze shorter than `down_after` moves no role.
    fn default() -> Self {
        ContactSettings {
            heartbeat_every: 200,
            seeking_every: 75,
            contact_for: 900,
            down_after: 1500,
            forget_after: 60_000,
        }
    }
}

/// All other nodes that this node knows, by identity.
#[derive(Debug)]
pub struct Contacts {
    settings: ContactSettings,
    /// Identity of this node.
    me: u64,
    /// Random number of this life.
    life: u64,
    sequence: u64,
    sent: SentHeartbeats,
    contacts: BTreeMap<u64, Contact>,
    last_heartbeat: Option<u64>,
}

impl Contacts {
    /// A node that knows no other yet.
    pub fn new(me: u64, life: u64, settings: ContactSettings) -> Contacts {
        Contacts {
            settings,
            me,
            life,
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
    pub fn life(&self) -> u64 {
        self.life
    }

    /// Whether heartbeats are due; if so their sequence. They are sent more often as long as contact is sought.
    pub fn heartbeat_due(&mut self, now: u64, seeking: bool) -> Option<u64> {
        let every = if seeking { self.settings.seeking_every } else { self.settings.heartbeat_every };
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
        self.forget(now);
        self.sequence
    }

    fn forget(&mut self, now: u64) {
        let oldest = now.saturating_sub(self.settings.forget_after);
        self.contacts.retain(|_, contact| contact.heard_at >= oldest);
    }

    /// Takes in a heartbeat. A late one of the same life changes nothing but the confirmation.
    pub fn heard(&mut self, now: u64, heard: Heard) {
        if heard.id == self.me {
            return;
        }
        let confirmed_at = heard.echo.and_then(|sequence| self.sent.sent_at(sequence));
        self.end_older_at_address(&heard);
        let contact = self.contacts.entry(heard.id).or_insert_with(|| Contact {
            address: heard.address.clone(),
            node: heard.node.clone(),
            life: heard.life,
            heard_since: now,
            sequence: 0,
            heard_at: now,
            confirmed_at: None,
            told: heard.told.clone(),
        });
        if contact.life != heard.life {
            contact.life = heard.life;
            contact.heard_since = now;
            contact.sequence = 0;
            contact.confirmed_at = None;
        }
        if heard.sequence > contact.sequence {
            contact.sequence = heard.sequence;
            contact.heard_at = now;
            contact.address = heard.address;
            contact.node = heard.node;
            contact.told = heard.told;
        }
        contact.confirmed_at = contact.confirmed_at.max(confirmed_at);
    }

    /// An address belongs to the identity heard there last: a disk that was lost gives a new one.
    fn end_older_at_address(&mut self, heard: &Heard) {
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
        self.contacts.get(&id).is_some_and(|contact| now < contact.heard_at + self.settings.down_after)
    }

    /// How long a node has been silent, in milliseconds; `None` for one not known.
    pub fn silent_for(&self, now: u64, id: u64) -> Option<u64> {
        self.contacts.get(&id).map(|contact| now.saturating_sub(contact.heard_at))
    }

    /// Whether a node was certain to hear this node a short time ago.
    pub fn is_in_contact(&self, now: u64, id: u64) -> bool {
        let oldest = now.saturating_sub(self.settings.contact_for);
        self.contacts.get(&id).is_some_and(|contact| contact.confirmed_at.is_some_and(|at| at >= oldest))
    }

    /// Nodes that were certain to hear this node a short time ago, this node included.
    pub fn in_contact(&self, now: u64) -> impl Iterator<Item = u64> + '_ {
        self.in_contact_within(now, self.settings.contact_for)
    }

    /// Nodes that were certain to hear this node within a time in milliseconds, this node included.
    pub fn in_contact_within(&self, now: u64, within: u64) -> impl Iterator<Item = u64> + '_ {
        let oldest = now.saturating_sub(within);
        let others = self
            .contacts
            .iter()
            .filter(move |(_, contact)| contact.confirmed_at.is_some_and(|at| at >= oldest));
        others.map(|(id, _)| *id).chain(std::iter::once(self.me))
    }
}
