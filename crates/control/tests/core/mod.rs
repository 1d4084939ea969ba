//! A core of a few nodes in virtual time. Messages are delivered at once unless a test drops them, and disk writes
//! complete at once.
#![allow(dead_code, reason = "each test crate uses a part of this module")]

#[path = "../node_settings/mod.rs"]
mod node_settings;

use bytes::Bytes;
use node_settings::node_settings;
use std::collections::{BTreeMap, VecDeque};
use switchhill_configuration::{Order, OrderKind};
use switchhill_control::{
    Answer, Call, CallId, ControlNode, Input, NodeSettings, OrderCall, Output, ReportCall,
};
use switchhill_protocol::PeerFrame;
use switchhill_register::{Member, ReplicaId};

/// Interval between two ticks.
const TICK_INTERVAL_MS: u64 = 25;

/// Nodes by number, from 1.
pub struct Core {
    pub now: u64,
    nodes: BTreeMap<u64, ControlNode>,
    records: BTreeMap<u64, Vec<Bytes>>,
    in_flight: VecDeque<(u64, PeerFrame)>,
    /// Whether a message to the given node is lost.
    pub is_lost: fn(u64, &PeerFrame) -> bool,
    /// All messages sent, with their receivers, including lost ones.
    pub sent: Vec<(u64, PeerFrame)>,
    pub answers: BTreeMap<CallId, Answer>,
    pub orders: Vec<OrderCall>,
    pub report_requests: Vec<ReportCall>,
    next_call: u64,
}

fn address(node: u64) -> String {
    format!("10.0.0.{node}:7660")
}

fn settings(nodes: u64, node: u64, incarnation: u64) -> NodeSettings {
    let seeds = (1..=nodes).map(address).collect();
    NodeSettings {
        node_name: format!("core-{node}"),
        machines_lost: (nodes as usize - 1) / 2,
        worker_heartbeat_ms: 1000,
        lease_ms: 3000,
        seed: 7,
        ..node_settings(node, incarnation, address(node), seeds)
    }
}

impl Core {
    /// Starts a new core with this number of nodes. The incarnation of node N is N * 1000.
    pub fn start(nodes: u64) -> Core {
        let members = |node| Member { id: ReplicaId(node), address: address(node) };
        let genesis: Vec<Member> = (1..=nodes).map(members).collect();
        let now = 1_000_000;
        let node = |node| {
            let settings = settings(nodes, node, node * 1000);
            (node, ControlNode::new(now, settings, Vec::new(), Some(genesis.clone())))
        };
        Core {
            now,
            nodes: (1..=nodes).map(node).collect(),
            records: BTreeMap::new(),
            in_flight: VecDeque::new(),
            is_lost: |_, _| false,
            sent: Vec::new(),
            answers: BTreeMap::new(),
            orders: Vec::new(),
            report_requests: Vec::new(),
            next_call: 0,
        }
    }

    /// Restarts a node in another incarnation with the records on its disk.
    pub fn restart(&mut self, node: u64, incarnation: u64) {
        let settings = settings(self.nodes.len() as u64, node, incarnation);
        let records = self.records.get(&node).cloned().unwrap_or_default();
        self.nodes.insert(node, ControlNode::new(self.now, settings, records, None));
        self.in_flight.retain(|(to, _)| *to != node);
    }

    pub fn node(&self, node: u64) -> &ControlNode {
        &self.nodes[&node]
    }

    /// Advances time by a number of milliseconds.
    pub fn run(&mut self, milliseconds: u64) {
        let until = self.now + milliseconds;
        while self.now < until {
            self.now += TICK_INTERVAL_MS;
            let nodes: Vec<u64> = self.nodes.keys().copied().collect();
            nodes.into_iter().for_each(|node| self.input(node, Input::Tick));
        }
    }

    /// Sends a call to a node.
    pub fn call(&mut self, node: u64, call: Call) -> CallId {
        self.next_call += 1;
        let id = CallId(self.next_call);
        self.input(node, Input::Call(id, call));
        id
    }

    /// Sends the operator's configuration to a node.
    pub fn replace(&mut self, node: u64, base_version: u64, body: &str) -> CallId {
        let order = Order { kind: OrderKind::Replace, base_version, body: Bytes::from(body.to_owned()) };
        self.call(node, Call::Change(order))
    }

    /// Status of a call's answer.
    pub fn status(&self, call: CallId) -> Option<u16> {
        self.answers.get(&call).map(|answer| answer.status)
    }

    /// Passes an input to a node and delivers all messages that result.
    pub fn input(&mut self, node: u64, input: Input) {
        self.handle(node, input);
        while let Some((to, frame)) = self.in_flight.pop_front() {
            self.handle(to, Input::Peer(frame));
        }
    }

    fn handle(&mut self, node: u64, input: Input) {
        let Some(machine) = self.nodes.get_mut(&node) else { return };
        for output in machine.handle(self.now, input) {
            match output {
                Output::Peers(addresses, frame) => {
                    addresses.iter().for_each(|to| self.send(to, frame.clone()));
                }
                Output::Answer(call, answer) => {
                    let before = self.answers.insert(call, answer);
                    assert!(before.is_none(), "one answer to {call:?}");
                }
                Output::Persist(token, record) => {
                    self.records.entry(node).or_default().push(record);
                    self.handle(node, Input::Persisted(token));
                }
                Output::RewriteLog(records) => drop(self.records.insert(node, records)),
                Output::Order(order) => self.orders.push(order),
                Output::RequestReport(call) => self.report_requests.push(call),
                Output::Subscribers(..) | Output::CloseSubscriber(_) => {}
            }
        }
    }

    fn send(&mut self, to: &str, frame: PeerFrame) {
        let Some(to) = self.nodes.keys().copied().find(|node| address(*node) == to) else { return };
        self.sent.push((to, frame.clone()));
        if !(self.is_lost)(to, &frame) {
            self.in_flight.push_back((to, frame));
        }
    }
}
