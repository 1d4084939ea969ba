//! Core machines: disk, process, and the inputs queued while the process is frozen.

use super::checkers::MessageKind;
use super::flaws::{self, CoreNode};
use super::node_settings::node_settings;
use super::{Connection, Event, World, TICK_INTERVAL_MS};
use bytes::Bytes;
use std::collections::{BTreeMap, VecDeque};
use switchhill_control::{Input, NodeSettings, SubscriberId};
use switchhill_protocol::{Downstream, DownstreamBody, PeerBody, PeerFrame};
use switchhill_register::{Member, ReplicaId};

/// A running core process.
pub struct Process {
    pub node: Box<dyn CoreNode>,
    pub connections: BTreeMap<SubscriberId, Connection>,
}

pub struct CoreMachine {
    pub index: usize,
    pub disk: Vec<Bytes>,
    pub replica: u64,
    pub incarnation: u64,
    pub frozen: bool,
    pub inbox: VecDeque<Input>,
    pub process: Option<Process>,
    /// Completion time of the last write; writes complete in order.
    pub disk_busy_until: u64,
}

pub fn address(core: usize) -> String {
    format!("core-{core}")
}

impl CoreMachine {
    pub fn new(index: usize) -> CoreMachine {
        CoreMachine {
            index,
            disk: Vec::new(),
            replica: 100 + index as u64,
            incarnation: 0,
            frozen: false,
            inbox: VecDeque::new(),
            process: None,
            disk_busy_until: 0,
        }
    }

    pub fn runs(&self) -> bool {
        self.process.is_some() && !self.frozen
    }
}

impl World {
    pub fn start_core(&mut self, core: usize, is_genesis: bool) {
        let seeds: Vec<String> = (0..self.plan.cores).map(address).collect();
        let members = (0..self.plan.cores)
            .map(|core| Member { id: ReplicaId(100 + core as u64), address: address(core) });
        let machine = &mut self.cores[core];
        machine.incarnation += 1;
        let incarnation = machine.replica * 1_000 + machine.incarnation;
        let settings = NodeSettings {
            machines_lost: (self.plan.cores - 1) / 2,
            fencing: false,
            seed: self.plan.seed * 1_000 + machine.replica * 10 + machine.incarnation,
            ..node_settings(machine.replica, incarnation, address(core), seeds)
        };
        let genesis = is_genesis.then(|| members.collect());
        let node = flaws::node(self.plan.flaw, self.now, settings, machine.disk.clone(), genesis);
        machine.process = Some(Process { node, connections: BTreeMap::new() });
        machine.frozen = false;
        machine.disk_busy_until = 0;
        let incarnation = machine.incarnation;
        let phase = self.random.u64(0..TICK_INTERVAL_MS);
        self.after(phase, Event::Tick(core, incarnation));
    }

    /// Ends the process: incomplete writes are lost and its connections break.
    pub fn kill_core(&mut self, core: usize, loses_disk: bool) {
        let machine = &mut self.cores[core];
        let Some(process) = machine.process.take() else { return };
        machine.frozen = false;
        machine.inbox.clear();
        if loses_disk {
            machine.disk.clear();
            machine.replica += 100;
        }
        for connection in process.connections.into_values() {
            let (edge, edge_incarnation, link) =
                (connection.edge, connection.edge_incarnation, connection.link);
            self.after(2, Event::ConnectFailed { edge, edge_incarnation, link });
        }
    }

    pub fn tick_core(&mut self, core: usize, incarnation: u64) {
        let machine = &self.cores[core];
        if machine.incarnation != incarnation || machine.process.is_none() {
            return;
        }
        if !machine.frozen {
            self.core_input(core, Input::Tick);
        }
        self.after(TICK_INTERVAL_MS, Event::Tick(core, incarnation));
    }

    /// Passes an input to a node if it still runs in this incarnation.
    pub fn incarnation_input(&mut self, core: usize, incarnation: u64, input: Input) {
        if self.cores[core].incarnation == incarnation {
            self.core_input(core, input);
        }
    }

    /// Passes an input to a node, or queues it while the node is frozen.
    pub fn core_input(&mut self, core: usize, input: Input) {
        let machine = &mut self.cores[core];
        let Some(process) = &mut machine.process else { return };
        if machine.frozen {
            machine.inbox.push_back(input);
            return;
        }
        let outputs = process.node.handle(self.now, input);
        self.execute_outputs(core, outputs);
    }

    /// Resumes the node: queued inputs are processed in order, possibly after a tick.
    pub fn thaw_core(&mut self, core: usize) {
        let machine = &mut self.cores[core];
        if !std::mem::take(&mut machine.frozen) {
            return;
        }
        let tick_first = self.random.bool();
        if tick_first {
            self.core_input(core, Input::Tick);
        }
        while let Some(input) = self.cores[core].inbox.pop_front() {
            self.core_input(core, input);
        }
    }

    pub fn send_peer(&mut self, from: usize, address: &str, frame: PeerFrame) {
        let Some(to) = (0..self.plan.cores).find(|core| self::address(*core) == address) else { return };
        if !self.network.passes(from, to) || self.random.u32(0..1_000) < self.plan.disruption_per_mille {
            return;
        }
        if self.register_unreachable == Some(to) && matches!(frame.body, Some(PeerBody::Register(_))) {
            return;
        }
        let delay = self.delay();
        if self.random.u32(0..1_000) < self.plan.disruption_per_mille {
            let late = self.random.u64(1..=300);
            self.after(delay + late, Event::Peer { from, to, frame: frame.clone() });
        }
        self.after(delay, Event::Peer { from, to, frame });
    }

    pub fn persist(&mut self, core: usize, token: u64, record: Bytes) {
        let delay =
            if self.random.u32(0..20) == 0 { self.random.u64(20..=150) } else { self.random.u64(1..=4) };
        let machine = &mut self.cores[core];
        machine.disk_busy_until = (self.now + delay).max(machine.disk_busy_until);
        let (incarnation, wait) = (machine.incarnation, machine.disk_busy_until - self.now);
        self.after(wait, Event::Persisted { core, incarnation, token, record });
    }

    pub fn persisted(&mut self, core: usize, incarnation: u64, token: u64, record: Bytes) {
        let machine = &mut self.cores[core];
        if machine.incarnation != incarnation || machine.process.is_none() {
            return;
        }
        machine.disk.push(record);
        self.core_input(core, Input::Persisted(token));
    }

    pub fn send_subscriber(&mut self, core: usize, id: SubscriberId, message: Downstream) {
        let kind = match &message.body {
            Some(DownstreamBody::Status(status)) if status.quorum => Some(MessageKind::Status),
            Some(DownstreamBody::Configuration(_)) => Some(MessageKind::Configuration),
            Some(DownstreamBody::Workers(workers)) if workers.whole => Some(MessageKind::Workers),
            _ => None,
        };
        match &message.body {
            Some(DownstreamBody::Status(status)) if status.quorum => {
                self.checkers.record_sent_revision(core, status.revision);
            }
            Some(DownstreamBody::Configuration(configuration)) => {
                self.checkers.record_sent_revision(core, configuration.revision)
            }
            _ => {}
        }
        if let Some(kind) = kind {
            self.checkers.check_message(self.now, core, kind);
        }
        let connection = self.cores[core].process.as_ref().and_then(|process| process.connections.get(&id));
        if let Some(connection) = connection.copied() {
            self.stream(false, connection, Event::ToEdge(connection, message));
        }
    }

    pub fn close_subscriber(&mut self, core: usize, id: SubscriberId) {
        let Some(process) = &mut self.cores[core].process else { return };
        if let Some(connection) = process.connections.remove(&id) {
            let (edge, edge_incarnation, link) =
                (connection.edge, connection.edge_incarnation, connection.link);
            if self.network.passes(core, self.plan.cores + edge) {
                self.after(3, Event::ConnectFailed { edge, edge_incarnation, link });
            }
        }
    }
}
