//! Core nodes: what reaches them, and what becomes of what they return.

use super::events::Event;
use super::fleet::{Fleet, BEAT_MS, DRAIN_CALL, DRAIN_MS, NETWORK_MS, OPERATOR_CALL};
use super::gatekeepers::edge_and_link;
use super::kinds::{downstream_kind, peer_kind, upstream_kind, Label, FRAME_HEADER};
use super::ledger::{Direction, ProcessorTime, Role};
use super::Sizes;
use prost::Message;
use switchhill_control::{ControlNode, Input, NodeSettings, Output, SubscriberId};
use switchhill_protocol::{PeerFrame, Upstream};
use switchhill_register::{Member, ReplicaId};

/// Time in milliseconds of a sync of a core node's disk.
const SYNC_MS: u64 = 2;
/// Time in milliseconds of a worker's answer.
const ANSWER_MS: u64 = 3;
/// First voters.
const FIRST_VOTERS: usize = 3;
/// Time in milliseconds of the placer's lease, and of the window over which a ceiling is kept: the real ones.
const LEASE_MS: u64 = 3_000;
const CEILING_WINDOW_MS: u64 = 5_000;

/// Address of a core node.
pub(super) fn core_address(core: usize) -> String {
    format!("10.0.0.{}:7000", core + 1)
}

/// Replica, and first life, of a core node.
fn replica(core: usize) -> u64 {
    0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(core as u64 + 1) | 1
}

/// A core node that starts with an empty disk.
pub(super) fn new_core(core: usize, sizes: Sizes, seed: u64) -> ControlNode {
    let seeds: Vec<String> = (0..sizes.cores.min(FIRST_VOTERS)).map(core_address).collect();
    let members = seeds.iter().enumerate();
    let members =
        members.map(|(core, address)| Member { id: ReplicaId(replica(core)), address: address.clone() });
    let settings = NodeSettings {
        replica_id: replica(core),
        incarnation: replica(core),
        node_name: format!("core-{core}"),
        address: core_address(core),
        seeds: seeds.clone(),
        machines_lost: sizes.cores.saturating_sub(1) / 2,
        zone: String::new(),
        zones_lost: 0,
        worker_heartbeat_ms: BEAT_MS,
        lease_ms: LEASE_MS,
        ceiling_window_ms: CEILING_WINDOW_MS,
        fencing: true,
        configuration_limit: switchhill_configuration::MemoryLimit::NONE,
        planner: Default::default(),
        seed: seed.wrapping_add(core as u64),
    };
    let genesis = (core < FIRST_VOTERS).then(|| members.collect());
    ControlNode::new(0, settings, Vec::new(), genesis)
}

impl Fleet {
    /// Whether a core node places.
    fn role(&self, core: usize) -> Role {
        match self.cores[core].placer_epoch() {
            Some(_) => Role::Placer,
            None => Role::Core,
        }
    }

    /// Decodes an input, hands it to a core node and carries out what it returns.
    pub(super) fn core_input(&mut self, core: usize, label: Label, input: impl FnOnce() -> Option<Input>) {
        let role = self.role(core);
        let since = ProcessorTime::now();
        let Some(input) = input() else { return };
        let outputs = self.cores[core].handle(self.now, input);
        self.ledger.add((role, label.direction, label.kind), label.bytes, since);
        for output in outputs {
            self.core_output(core, role, output);
        }
    }

    fn core_output(&mut self, core: usize, role: Role, output: Output) {
        let arrives = self.now + NETWORK_MS;
        match output {
            Output::Peers(addresses, frame) => {
                let kind = peer_kind(&frame);
                for address in addresses {
                    let encoded = self.encode(role, kind, &frame);
                    if let Some(to) = (0..self.sizes.cores).find(|to| core_address(*to) == address) {
                        self.add(arrives, Event::Peer { core: to, frame: encoded });
                    }
                }
            }
            Output::Subscribers(ids, message) => {
                for id in ids {
                    let encoded = self.encode(role, downstream_kind(&message), &message);
                    let (edge, link) = edge_and_link(id);
                    self.add(arrives, Event::Down { edge, link, frame: encoded });
                }
            }
            Output::Persist(token, _) => {
                let input = Box::new(Input::Persisted(token));
                self.add(self.now + SYNC_MS, Event::CoreInput { core, input, kind: "persisted" });
            }
            Output::Order(call) => {
                let Some(worker) = self.worker_numbers.get(&call.worker) else { return };
                let answer = self.workers[*worker].order(self.now, &call);
                let input = Box::new(Input::OrderAnswered(call.ticket, answer));
                self.add(self.now + ANSWER_MS, Event::CoreInput { core, input, kind: "order answered" });
            }
            Output::RequestReport(call) => {
                let Some(worker) = self.worker_numbers.get(&call.worker) else { return };
                let report = self.workers[*worker].report(self.now, call);
                let input = Box::new(Input::Reported(report));
                self.add(self.now + ANSWER_MS, Event::CoreInput { core, input, kind: "report" });
            }
            Output::Answer(id, answer) if id.0 == DRAIN_CALL && answer.status == 200 => {
                self.drain.acknowledged_ms.get_or_insert(arrives - DRAIN_MS);
            }
            Output::Answer(id, answer) if id.0 >= OPERATOR_CALL => self.change_answered(&answer),
            Output::Answer(..) | Output::RewriteLog(_) | Output::CloseSubscriber(_) => {}
        }
    }

    /// Encodes what a process sends, and counts it.
    pub(super) fn encode(&mut self, role: Role, kind: &'static str, message: &impl Message) -> Vec<u8> {
        let since = ProcessorTime::now();
        let encoded = message.encode_to_vec();
        self.ledger.add((role, Direction::Sent, kind), encoded.len() + FRAME_HEADER, since);
        encoded
    }

    /// A message of another core node arrives.
    pub(super) fn peer(&mut self, core: usize, encoded: &[u8]) {
        let kind = PeerFrame::decode(encoded).map_or("unreadable", |frame| peer_kind(&frame));
        let input = || PeerFrame::decode(encoded).ok().map(Input::Peer);
        self.core_input(core, Label::received(kind, encoded.len()), input);
    }

    /// A message of an agent arrives.
    pub(super) fn up(&mut self, core: usize, id: SubscriberId, encoded: &[u8]) {
        let kind = Upstream::decode(encoded).map_or("unreadable", |message| upstream_kind(&message));
        let input = || Some(Input::Subscriber(id, Upstream::decode(encoded).ok()?));
        self.core_input(core, Label::received(kind, encoded.len()), input);
    }
}
