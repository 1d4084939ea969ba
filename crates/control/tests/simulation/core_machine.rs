//! A core machine: its disk, its process, and what waits for it while it is frozen.

use super::checkers::Word;
use super::flaws::{self, CoreNode};
use super::node_settings::node_settings;
use super::{Connection, Event, World, TICK_EVERY};
use std::collections::{BTreeMap, VecDeque};
use switchhill_control::{Input, NodeSettings, SubscriberId};
use switchhill_protocol::{Downstream, DownstreamBody, PeerBody, PeerFrame};
use switchhill_register::{Member, ReplicaId};

/// The running process.
pub struct Process {
    pub node: Box<dyn CoreNode>,
    pub connections: BTreeMap<SubscriberId, Connection>,
}

/// A core machine.
pub struct CoreMachine {
    pub index: usize,
    pub disk: Vec<Vec<u8>>,
    pub replica: u64,
    pub life: u64,
    pub frozen: bool,
    pub inbox: VecDeque<Input>,
    pub process: Option<Process>,
    /// When the last record is on the disk: writes end in order.
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
            life: 0,
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
        machine.life += 1;
        let life = machine.replica * 1_000 + machine.life;
        let settings = NodeSettings {
            machines_lost: (self.plan.cores - 1) / 2,
            fencing: false,
            seed: self.plan.seed * 1_000 + machine.replica * 10 + machine.life,
            ..node_settings(machine.replica, life, address(core), seeds)
        };
        let genesis = is_genesis.then(|| members.collect());
        let node = flaws::node(self.plan.flaw, self.now, settings, machine.disk.clone(), genesis);
        machine.process = Some(Process { node, connections: BTreeMap::new() });
        machine.frozen = false;
        machine.disk_busy_until = 0;
        let life = machine.life;
        let phase = self.random.u64(0..TICK_EVERY);
        self.after(phase, Event::Tick(core, life));
    }

    /// Ends the process; what was not yet on the disk is lost. Its connections break.
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
            let (edge, edge_life, link) = (connection.edge, connection.edge_life, connection.link);
            self.after(2, Event::ConnectFailed { edge, edge_life, link });
        }
    }

    pub fn tick_core(&mut self, core: usize, life: u64) {
        let machine = &self.cores[core];
        if machine.life != life || machine.process.is_none() {
            return;
        }
        if !machine.frozen {
            self.core_input(core, Input::Tick);
        }
        self.after(TICK_EVERY, Event::Tick(core, life));
    }

    /// Gives an input to the node of one life of a core machine.
    pub fn life_input(&mut self, core: usize, life: u64, input: Input) {
        if self.cores[core].life == life {
            self.core_input(core, input);
        }
    }

    /// Gives an input to a node; while it is frozen, inputs wait.
    pub fn core_input(&mut self, core: usize, input: Input) {
        let machine = &mut self.cores[core];
        let Some(process) = &mut machine.process else { return };
        if machine.frozen {
            machine.inbox.push_back(input);
            return;
        }
        let outputs = process.node.handle(self.now, input);
        self.carry_out(core, outputs);
    }

    /// The node goes on: what waited for it comes in order, and its ticks run again.
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
        if !self.network.passes(from, to) || self.random.u32(0..1_000) < self.plan.spoilt {
            return;
        }
        if self.deaf_to_register == Some(to) && matches!(frame.body, Some(PeerBody::Register(_))) {
            return;
        }
        let delay = self.delay();
        if self.random.u32(0..1_000) < self.plan.spoilt {
            let late = self.random.u64(1..=300);
            self.after(delay + late, Event::Peer { from, to, frame: frame.clone() });
        }
        self.after(delay, Event::Peer { from, to, frame });
    }

    pub fn persist(&mut self, core: usize, token: u64, record: Vec<u8>) {
        let delay =
            if self.random.u32(0..20) == 0 { self.random.u64(20..=150) } else { self.random.u64(1..=4) };
        let machine = &mut self.cores[core];
        machine.disk_busy_until = (self.now + delay).max(machine.disk_busy_until);
        let (life, wait) = (machine.life, machine.disk_busy_until - self.now);
        self.after(wait, Event::Persisted { core, life, token, record });
    }

    pub fn persisted(&mut self, core: usize, life: u64, token: u64, record: Vec<u8>) {
        let machine = &mut self.cores[core];
        if machine.life != life || machine.process.is_none() {
            return;
        }
        machine.disk.push(record);
        self.core_input(core, Input::Persisted(token));
    }

    pub fn send_subscriber(&mut self, core: usize, id: SubscriberId, message: Downstream) {
        let word = match &message.body {
            Some(DownstreamBody::Status(status)) if status.quorum => Some(Word::Status),
            Some(DownstreamBody::Configuration(_)) => Some(Word::Configuration),
            Some(DownstreamBody::Workers(workers)) if workers.whole => Some(Word::Workers),
            _ => None,
        };
        match &message.body {
            Some(DownstreamBody::Status(status)) if status.quorum => {
                self.checkers.said(core, status.revision);
            }
            Some(DownstreamBody::Configuration(told)) => self.checkers.said(core, told.revision),
            _ => {}
        }
        if let Some(word) = word {
            self.checkers.word(self.now, core, word);
        }
        let connection = self.cores[core].process.as_ref().and_then(|process| process.connections.get(&id));
        if let Some(connection) = connection.copied() {
            self.stream(false, connection, Event::ToEdge(connection, message));
        }
    }

    pub fn close_subscriber(&mut self, core: usize, id: SubscriberId) {
        let Some(process) = &mut self.cores[core].process else { return };
        if let Some(connection) = process.connections.remove(&id) {
            let (edge, edge_life, link) = (connection.edge, connection.edge_life, connection.link);
            if self.network.passes(core, self.plan.cores + edge) {
                self.after(3, Event::ConnectFailed { edge, edge_life, link });
            }
        }
    }
}
