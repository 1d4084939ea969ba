//! Core machines: their processes start and end, their disks write.

use super::core_process::{Connections, CoreProcess};
use super::leaving::Leaving;
use super::{Event, Message, World};
use crate::emulator::calm::Subject;
use crate::emulator::disk::{Disk, DiskCondition, DiskFlaw, Identity};
use crate::emulator::host::Host;
use crate::emulator::network::{Path, Stream};
use bytes::Bytes;
use switchhill_control::{ControlNode, Input, NodeSettings, SubscriberId};
use switchhill_register::{Member, Record, ReplicaId};

/// Time in milliseconds between two ticks of a core node.
pub(super) const CORE_TICK_EVERY: u64 = 25;

/// Seeds of the first electorate.
const FIRST_VOTERS: usize = 3;

/// Whether a machine works.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Power {
    /// Its process is not running; connections are refused.
    Idle,
    /// Its process runs.
    Running,
    /// It has no power; nothing answers.
    Off,
    /// It was taken away.
    Gone,
}

/// A core machine.
pub(super) struct CoreMachine {
    pub(super) power: Power,
    pub(super) life: u32,
    pub(super) process: Option<CoreProcess>,
    pub(super) disk: Disk,
    pub(super) usual: DiskCondition,
    /// The zone in which it stands.
    pub(super) zone: usize,
    /// Since when it has had its disk.
    pub(super) disk_since: u64,
    /// Identity of the replica on its disk.
    replica: Option<u64>,
    /// When its process started.
    pub(super) running_since: u64,
    /// What its process makes of a SIGTERM, if it got one.
    pub(super) leaving: Option<Leaving>,
    /// Whether it goes for good once its process has ended.
    pub(super) is_removed: bool,
    /// Whether the process was started before: the system is not started for the first time.
    started_before: bool,
}

impl CoreMachine {
    /// A machine with an empty disk that has not started.
    pub(super) fn new(zone: usize, sync_ms: u64, flaw: Option<DiskFlaw>) -> CoreMachine {
        let usual = DiskCondition { sync_ms, refuses: false };
        CoreMachine {
            power: Power::Off,
            life: 0,
            process: None,
            disk: Disk::new(usual, flaw),
            usual,
            zone,
            disk_since: 0,
            replica: None,
            running_since: 0,
            leaving: None,
            is_removed: false,
            started_before: false,
        }
    }

    /// A machine that joins a running system.
    pub(super) fn joining(now: u64, zone: usize, sync_ms: u64, flaw: Option<DiskFlaw>) -> CoreMachine {
        let machine = CoreMachine::new(zone, sync_ms, flaw);
        CoreMachine { started_before: true, disk_since: now, ..machine }
    }

    /// Identity and zone of its replica while it runs.
    pub(super) fn voter(&self) -> Option<(u64, usize)> {
        self.replica.filter(|_| self.is_running()).map(|replica| (replica, self.zone))
    }

    pub(super) fn is_gone(&self) -> bool {
        self.power == Power::Gone
    }

    pub(super) fn is_running(&self) -> bool {
        self.power == Power::Running
    }
}

impl World {
    /// A core machine's process starts.
    pub(super) fn start_core(&mut self, core: usize) {
        if matches!(self.cores[core].power, Power::Running | Power::Gone) {
            return;
        }
        if self.cores[core].is_removed {
            self.take_away(core);
            return;
        }
        let seeds = self.seeds();
        let address = Host::Core(core).address();
        let bootstrap = !self.cores[core].started_before;
        let first_voter = bootstrap && seeds.iter().take(FIRST_VOTERS).any(|seed| *seed == address);
        let fresh = match first_voter {
            true => Identity { replica: genesis_replica(&address), genesis: true },
            false => Identity { replica: self.random.u64(..) & !1, genesis: false },
        };
        let machine = &mut self.cores[core];
        let identity = machine.disk.identity_or(fresh);
        let records = machine.disk.open();
        machine.replica = Some(identity.replica);
        let genesis = (identity.genesis && records.is_empty()).then(|| genesis_members(&seeds));
        let life_number = self.random.u64(..) & !1;
        let settings = NodeSettings {
            replica_id: identity.replica,
            incarnation: life_number,
            node_name: Host::Core(core).to_string(),
            address,
            seeds,
            machines_lost: self.plan.sizes.machines_lost,
            zone: format!("zone-{}", machine.zone),
            zones_lost: self.plan.sizes.zones_lost,
            worker_heartbeat_ms: self.bounds.heartbeat_ms,
            lease_ms: self.bounds.lease_ms,
            ceiling_window_ms: self.bounds.ceiling_window_ms,
            fencing: self.plan.sizes.fencing,
            configuration_limit: switchhill_configuration::MemoryLimit::NONE,
            planner: Default::default(),
            seed: life_number,
        };
        machine.started_before = true;
        if self.plan.narrated {
            println!(
                "{:>6} core-{core} starts as {:016x}, {} records, genesis {}",
                self.now,
                identity.replica,
                records.len(),
                genesis.is_some()
            );
        }
        machine.life += 1;
        machine.power = Power::Running;
        machine.running_since = self.now;
        machine.process = Some(CoreProcess::new(ControlNode::new(self.now, settings, records, genesis)));
        let life = machine.life;
        self.events.add(self.now, Event::CoreTick(core, life));
        self.figures.core_started(self.now, core);
        self.calm.touch(self.now, Subject::Core);
        self.note_all_back();
    }

    pub(super) fn note_all_back(&mut self) {
        if self.all_down_since.is_some() && self.all_cores_run() {
            self.all_down_since = None;
            self.calm.end(self.now, Subject::Core);
            self.calm.end(self.now, Subject::Majority);
            self.calm.touch(self.now + self.bounds.liveness_ms, Subject::Core);
            self.checkers.liveness.all_back(self.now);
        }
    }

    /// A core machine's process ends at once. Its connections are reset, unless the power failed.
    pub(super) fn stop_core(&mut self, core: usize, power: Power) {
        let machine = &mut self.cores[core];
        if machine.power == Power::Gone {
            return;
        }
        match power {
            Power::Off => machine.disk.power_lost(&mut self.random),
            _ => machine.disk.process_ended(),
        }
        let life = machine.life;
        machine.life += 1;
        machine.power = power;
        if self.plan.narrated {
            println!("{:>6} core-{core} stops: {power:?}", self.now);
        }
        let process = machine.process.take();
        if machine.leaving.take().is_some() {
            self.lost.end(core, self.now + self.bounds.catch_up_ms);
        }
        self.calm.touch(self.now, Subject::Core);
        if let Some(process) = process.filter(|_| power != Power::Off) {
            self.reset_connections(core, life, process.connections);
        }
    }

    /// All connections of a core machine are reset, its process goes on.
    pub(super) fn reset_core_connections(&mut self, core: usize) {
        let life = self.cores[core].life;
        let Some(process) = self.cores[core].process.as_mut() else { return };
        let connections = std::mem::take(&mut process.connections);
        let subscribers: Vec<SubscriberId> = connections.subscribers.keys().copied().collect();
        self.reset_connections(core, life, connections);
        for id in subscribers {
            self.core_input(core, Input::SubscriberDisconnected(id));
        }
    }

    fn reset_connections(&mut self, core: usize, life: u32, connections: Connections) {
        let from = Host::Core(core);
        for (edge, agent_life, link) in connections.subscribers.into_values() {
            let path = Path { from, to: Host::Edge(edge) };
            self.send(path, Stream::Link(link.0), (life, Some(agent_life)), Message::LinkReset(link));
        }
        for caller in connections.calls.into_values() {
            let path = Path { from, to: caller.host };
            self.send(
                path,
                Stream::Call,
                (life, Some(caller.life)),
                Message::CallAnswered(caller.number, None),
            );
        }
    }

    /// Lets a disk begin what waits.
    pub(super) fn start_disk(&mut self, core: usize) {
        let machine = &mut self.cores[core];
        if let Some(takes) = machine.disk.begin() {
            self.events.add(self.now + takes, Event::DiskDone(core, machine.life));
        }
    }

    /// A disk has synced.
    pub(super) fn disk_done(&mut self, core: usize, life: u32) {
        if self.cores[core].life != life {
            return;
        }
        for input in self.cores[core].disk.complete() {
            if let Input::Persisted(token) = &input {
                self.records_durable(core, *token);
            }
            self.core_input(core, input);
        }
        self.start_disk(core);
    }
}

impl World {
    /// A core machine has written a record: what it says of the electorate counts once it is durable.
    pub(super) fn record_written(&mut self, core: usize, token: u64, record: &Bytes) {
        let Ok(Record::Accepted(accepted)) = Record::decode(record) else { return };
        let Some(process) = self.cores[core].process.as_mut() else { return };
        process.accepting.push((token, accepted.ballot, accepted.value.electorate));
    }

    fn records_durable(&mut self, core: usize, token: u64) {
        let replica = self.cores[core].replica;
        let Some(process) = self.cores[core].process.as_mut() else { return };
        let durable = process.accepting.partition_point(|(written, ..)| *written <= token);
        let Some(replica) = replica else { return };
        for (_, ballot, electorate) in process.accepting.drain(..durable) {
            self.checkers.electorate.accepted(ReplicaId(replica), ballot, electorate);
        }
    }
}

fn genesis_members(seeds: &[String]) -> Vec<Member> {
    let member =
        |address: &String| Member { id: ReplicaId(genesis_replica(address)), address: address.clone() };
    seeds.iter().take(FIRST_VOTERS).map(member).collect()
}

/// Identity of a seed of the first electorate: odd, the same for all that know its address.
fn genesis_replica(address: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    address.bytes().fold(OFFSET, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME)) | 1
}
