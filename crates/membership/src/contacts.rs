//! Table of the other nodes known to this node.

use crate::contact::{Contact, ReceivedHeartbeat, SentHeartbeats};
use std::collections::BTreeMap;

/// Intervals and timeouts of the heartbeat protocol, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct ContactSettings {
    /// Heartbeat interval while in contact with a quorum.
    pub heartbeat_interval_ms: u64,
    /// Heartbeat interval while the node seeks contact with a quorum.
    pub seeking_interval_ms: u64,
    /// Age of the last confirmation beyond which a node is out of contact.
    pub contact_timeout_ms: u64,
    /// Time without a heartbeat after which a node is considered down.
    pub down_timeout_ms: u64,
    /// Time without a heartbeat after which a node is removed from the table.
    pub forget_timeout_ms: u64,
}

impl Default for ContactSettings {
    /// `contact_timeout_ms` tolerates four lost heartbeats. A freeze shorter than `down_timeout_ms` causes no role to
    /// be reassigned.
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

/// The other nodes known to this node, keyed by identity.
#[derive(Debug)]
pub struct Contacts {
    settings: ContactSettings,
    self_id: u64,
    incarnation: u64,
    sequence: u64,
    sent: SentHeartbeats,
    contacts: BTreeMap<u64, Contact>,
    last_heartbeat: Option<u64>,
}

impl Contacts {
    /// Creates an empty table for the node `self_id`.
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

    /// Returns the intervals and timeouts in use.
    pub fn settings(&self) -> &ContactSettings {
        &self.settings
    }

    /// Returns the random number that identifies this process run.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Returns the sequence number of the next heartbeat if one is due. The shorter interval applies while the node
    /// seeks contact with a quorum.
    pub fn heartbeat_due(&mut self, now: u64, seeking: bool) -> Option<u64> {
        let interval =
            if seeking { self.settings.seeking_interval_ms } else { self.settings.heartbeat_interval_ms };
        if now < self.last_heartbeat.map_or(0, |last| last + interval) {
            return None;
        }
        Some(self.next_heartbeat(now))
    }

    /// Returns the sequence number of a heartbeat that is sent now, whether or not one is due.
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

    /// Processes a received heartbeat. One that arrives out of order within an incarnation updates only the
    /// confirmation time.
    pub fn receive_heartbeat(&mut self, now: u64, heartbeat: ReceivedHeartbeat) {
        if heartbeat.id == self.self_id {
            return;
        }
        let confirmed_at = heartbeat.echo.and_then(|sequence| self.sent.sent_at(sequence));
        self.remove_replaced_at_address(&heartbeat);
        let contact = self.contacts.entry(heartbeat.id).or_insert_with(|| Contact {
            address: heartbeat.address.clone(),
            node: heartbeat.node.clone(),
            incarnation: heartbeat.incarnation,
            first_heard_at: now,
            sequence: 0,
            last_heard_at: now,
            confirmed_at: None,
            status: heartbeat.status.clone(),
        });
        if contact.incarnation != heartbeat.incarnation {
            contact.incarnation = heartbeat.incarnation;
            contact.first_heard_at = now;
            contact.sequence = 0;
            contact.confirmed_at = None;
        }
        if heartbeat.sequence > contact.sequence {
            contact.sequence = heartbeat.sequence;
            contact.last_heard_at = now;
            contact.address = heartbeat.address;
            contact.node = heartbeat.node;
            contact.status = heartbeat.status;
        }
        contact.confirmed_at = contact.confirmed_at.max(confirmed_at);
    }

    /// Removes other identities at the sender's address: a node that lost its disk returns under a new identity.
    fn remove_replaced_at_address(&mut self, heartbeat: &ReceivedHeartbeat) {
        let id = heartbeat.id;
        self.contacts.retain(|other, contact| *other == id || contact.address != heartbeat.address);
    }

    /// Returns the nodes whose incarnation and newest sequence number are echoed in heartbeats.
    pub fn echoes(&self) -> impl Iterator<Item = (u64, &Contact)> {
        self.contacts.iter().map(|(id, contact)| (*id, contact))
    }

    /// Returns a node by identity.
    pub fn get(&self, id: u64) -> Option<&Contact> {
        self.contacts.get(&id)
    }

    /// Returns all known nodes with their identities.
    pub fn iter(&self) -> impl Iterator<Item = (u64, &Contact)> {
        self.echoes()
    }

    /// Whether a heartbeat from the node arrived within the down timeout.
    pub fn is_up(&self, now: u64, id: u64) -> bool {
        self.contacts
            .get(&id)
            .is_some_and(|contact| now < contact.last_heard_at + self.settings.down_timeout_ms)
    }

    /// Returns the time since the node's newest heartbeat in milliseconds, or `None` if the node is unknown.
    pub fn silent_for(&self, now: u64, id: u64) -> Option<u64> {
        self.contacts.get(&id).map(|contact| now.saturating_sub(contact.last_heard_at))
    }

    /// Whether the node has confirmed contact within the contact timeout.
    pub fn is_in_contact(&self, now: u64, id: u64) -> bool {
        let oldest = now.saturating_sub(self.settings.contact_timeout_ms);
        self.contacts.get(&id).is_some_and(|contact| contact.confirmed_at.is_some_and(|at| at >= oldest))
    }

    /// Returns the nodes with confirmed contact within the contact timeout, including this node.
    pub fn in_contact(&self, now: u64) -> impl Iterator<Item = u64> + '_ {
        self.in_contact_within(now, self.settings.contact_timeout_ms)
    }

    /// Returns the nodes with confirmed contact within `within` milliseconds, including this node.
    pub fn in_contact_within(&self, now: u64, within: u64) -> impl Iterator<Item = u64> + '_ {
        let oldest = now.saturating_sub(within);
        let others = self
            .contacts
            .iter()
            .filter(move |(_, contact)| contact.confirmed_at.is_some_and(|at| at >= oldest));
        others.map(|(id, _)| *id).chain(std::iter::once(self.self_id))
    }
}
