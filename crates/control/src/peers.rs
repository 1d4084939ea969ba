//! Messages to and from other core nodes.

use crate::input::Output;
use crate::large_messages::LargeMessages;
use crate::node::ControlNode;
use std::collections::BTreeSet;
use switchhill_membership::{PeerStatus, ReceivedHeartbeat};
use switchhill_protocol::{Echo, PeerBody, PeerFrame, PeerHeartbeat, RegisterEnvelope};
use switchhill_register::{Ballot, Input, Message, ReplicaId};

impl ControlNode {
    /// Sends a message to the core node at an address.
    pub(crate) fn send_peer(&mut self, address: String, body: PeerBody) {
        self.send_peers(vec![address], body);
    }

    /// Sends a message to the core nodes at these addresses, except the node's own.
    fn send_peers(&mut self, mut addresses: Vec<String>, body: PeerBody) {
        addresses.retain(|address| *address != self.settings.address);
        if addresses.is_empty() {
            return;
        }
        let frame = PeerFrame {
            from: self.settings.replica_id,
            address: self.settings.address.clone(),
            body: Some(body),
        };
        self.outputs.push(Output::Peers(addresses, frame));
    }

    /// Sends a message to all core nodes that count as up.
    pub(crate) fn send_all_peers(&mut self, now: u64, body: PeerBody) {
        self.send_peers(self.live_peer_addresses(now), body);
    }

    fn live_peer_addresses(&self, now: u64) -> Vec<String> {
        let up = self.contacts.iter().filter(|(id, _)| self.contacts.is_up(now, *id));
        up.map(|(_, contact)| contact.address.clone()).collect()
    }

    /// Addresses of all known core nodes, including the node's own: seeds, members, and those heard or reported within
    /// the time after which a node is forgotten.
    fn known_addresses(&self, now: u64) -> BTreeSet<String> {
        let mut known = self.core_addresses(now);
        known.extend(self.settings.seeds.iter().cloned());
        known.extend(self.reported_addresses.iter().cloned());
        known.extend(self.contacts.iter().map(|(_, contact)| contact.address.clone()));
        known
    }

    /// Addresses of the core nodes that are members or count as up, including the node's own. Subscribers and other core
    /// nodes are told these: one that is gone is not passed on once it is no member any more.
    pub(crate) fn core_addresses(&self, now: u64) -> BTreeSet<String> {
        let mut addresses: BTreeSet<String> = self.live_peer_addresses(now).into_iter().collect();
        addresses.insert(self.settings.address.clone());
        if let Some(electorate) = self.replica.electorate() {
            addresses.extend(electorate.members.iter().map(|member| member.address.clone()));
        }
        addresses
    }

    /// Forgets what is kept of core nodes that have not been heard for long.
    fn forget_departed_nodes(&mut self, now: u64) {
        if self.has_quorum(now) {
            let timeout_ms = self.contacts.settings().forget_timeout_ms;
            self.reported_addresses.remove_expired(now, timeout_ms);
        }
        let contacts = &self.contacts;
        let is_known = |id: u64| contacts.get(id).is_some();
        self.updates.retain_nodes(is_known);
        self.load.retain_nodes(is_known);
    }

    /// Sends heartbeats if they are due.
    pub(crate) fn send_heartbeats(&mut self, now: u64) {
        let seeking = !self.is_in_quorum(now);
        if let Some(sequence) = self.contacts.heartbeat_due(now, seeking) {
            self.send_heartbeat_with(now, sequence);
        }
    }

    /// Sends a heartbeat immediately.
    pub(crate) fn send_heartbeat(&mut self, now: u64) {
        let sequence = self.contacts.next_heartbeat(now);
        self.send_heartbeat_with(now, sequence);
    }

    /// Whether the node is in contact with a quorum and has read the register since that contact was last lost.
    fn is_in_quorum(&self, now: u64) -> bool {
        self.has_quorum(now) && self.caught_up
    }

    fn send_heartbeat_with(&mut self, now: u64, sequence: u64) {
        self.forget_departed_nodes(now);
        // The changes precede the heartbeat because its digest covers them.
        self.send_model_changes_to_peers(now);
        let committed = self.committed_ballot().unwrap_or(Ballot::NONE);
        let accepted = self.replica.accepted_ballot();
        let echoes = self.contacts.echoes();
        let echoes = echoes.map(|(from, contact)| Echo {
            from,
            life: contact.incarnation,
            sequence: contact.sequence,
        });
        let heartbeat = PeerHeartbeat {
            sequence,
            node: self.settings.node_name.clone(),
            echoes: echoes.collect(),
            committed_counter: committed.counter,
            committed_proposer: committed.proposer.0,
            workers_digest: self.state.workers().digest(),
            warm: self.workers_complete,
            home_gatekeepers: self.subscribers.home_count(),
            known: self.core_addresses(now).into_iter().collect(),
            life: self.contacts.incarnation(),
            accepted_counter: accepted.counter,
            accepted_proposer: accepted.proposer.0,
            zone: self.settings.zone.clone(),
            in_quorum: self.is_in_quorum(now) && self.replica.can_propose(),
            leaving: self.leaving,
        };
        let known = self.known_addresses(now).into_iter().collect();
        self.send_peers(known, PeerBody::Heartbeat(heartbeat));
    }

    /// Handles a message from another core node.
    pub(crate) fn peer_frame(&mut self, now: u64, frame: PeerFrame) {
        let PeerFrame { from, address, body } = frame;
        if from == self.settings.replica_id {
            return;
        }
        match body {
            Some(PeerBody::Heartbeat(heartbeat)) => self.peer_heartbeat(now, from, address, heartbeat),
            Some(PeerBody::Register(envelope)) => self.register_message(now, from, &envelope),
            Some(PeerBody::WorkerUpdate(update)) => self.worker_update(now, address, update),
            Some(PeerBody::WorkerUpdateAck(ack)) => self.worker_update_acknowledged(now, from, ack.number),
            Some(PeerBody::WorkersHeard(heard)) => self.peer_heard_workers(now, &heard),
            Some(PeerBody::Load(load)) => self.load.apply_peer_report(now, from, load),
            Some(PeerBody::Missing(missing)) => self.model_missing(now, missing, false),
            Some(PeerBody::Unreachable(report)) => self.unreachable(now, &report, false),
            Some(PeerBody::Residency(residency)) => self.apply_residency(&residency),
            Some(PeerBody::Expectation(expectation)) => self.queue_expectation(expectation),
            None => {}
        }
    }

    fn peer_heartbeat(&mut self, now: u64, from: u64, address: String, heartbeat: PeerHeartbeat) {
        let is_own =
            |echo: &&Echo| echo.from == self.settings.replica_id && echo.life == self.contacts.incarnation();
        let echo = heartbeat.echoes.iter().find(is_own).map(|echo| echo.sequence);
        let heard = ReceivedHeartbeat {
            id: from,
            address: address.clone(),
            node: heartbeat.node,
            incarnation: heartbeat.life,
            sequence: heartbeat.sequence,
            echo,
            status: PeerStatus {
                zone: heartbeat.zone,
                in_quorum: heartbeat.in_quorum,
                leaving: heartbeat.leaving,
            },
        };
        self.contacts.receive_heartbeat(now, heard);
        self.reported_addresses.report(now, heartbeat.known);
        self.load.set_peer_gatekeepers(now, from, heartbeat.home_gatekeepers);
        let theirs = Ballot {
            counter: heartbeat.committed_counter,
            proposer: ReplicaId(heartbeat.committed_proposer),
        };
        let accepted =
            Ballot { counter: heartbeat.accepted_counter, proposer: ReplicaId(heartbeat.accepted_proposer) };
        self.freshness.ballot_reported(accepted);
        self.announce_committed(now, from, &address, theirs);
        self.compare_workers(now, from, address, heartbeat.workers_digest, heartbeat.warm);
    }

    /// Tells a node that has an older committed value of the newest one.
    fn announce_committed(&mut self, now: u64, to: u64, address: &str, theirs: Ballot) {
        if self.replica.committed().is_none_or(|accepted| accepted.ballot <= theirs) {
            return;
        }
        let Some(body) = self.replica.announcement() else { return };
        if self.updates.may_send_committed(now, to) {
            self.send_register(address.to_owned(), Message { to: ReplicaId(to), body });
        }
    }

    /// Sends a register message, or lets it wait its turn. If the address is empty, the address from which the receiver was
    /// last heard is used.
    pub(crate) fn send_register(&mut self, address: String, message: Message) {
        if LargeMessages::is_large(&message) {
            self.large_messages.push(address, message);
        } else {
            self.send_register_now(address, &message);
        }
    }

    /// Sends the next message that has waited, if it is due.
    pub(crate) fn send_due_large_message(&mut self, now: u64) {
        if let Some((address, message)) = self.large_messages.next_due(now) {
            self.send_register_now(address, &message);
        }
    }

    fn send_register_now(&mut self, address: String, message: &Message) {
        let heard_at = || self.contacts.get(message.to.0).map(|contact| contact.address.clone());
        let address = if address.is_empty() { heard_at() } else { Some(address) };
        let Some(address) = address else { return };
        let envelope = RegisterEnvelope { to: message.to.0, message: message.encode() };
        self.send_peer(address, PeerBody::Register(envelope));
    }

    fn register_message(&mut self, now: u64, from: u64, envelope: &RegisterEnvelope) {
        if envelope.to != self.settings.replica_id {
            return;
        }
        match Message::decode(&envelope.message) {
            Ok(message) => self.register_input(now, Input::Message { from: ReplicaId(from), message }),
            Err(error) => log::warn!("failed to decode a register message from replica {from:016x}: {error}"),
        }
    }
}
