//! Faults of edge machines and workers.

use super::core_machine::Power;
use super::{Event, World};
use crate::emulator::calm::Subject;
use crate::emulator::faults::{Ending, Fault};
use crate::emulator::host::Host;

/// Time in milliseconds after which a killed process starts again, at least and at most.
const RESTARTS_AFTER: std::ops::RangeInclusive<u64> = 200..=1_000;

/// Time in milliseconds for which a machine is without power, at least and at most.
const POWER_BACK_AFTER: std::ops::RangeInclusive<u64> = 500..=3_000;

impl World {
    /// Begins a fault of an edge machine or a worker.
    pub(super) fn apply_to_edge(&mut self, fault: Fault) {
        let (edges, workers) = (self.edges.len(), self.workers.len());
        match fault {
            Fault::CutEdge { edge, cores, direction, for_ms } => {
                self.cut_from_cores(Host::Edge(edge % edges), cores, direction, for_ms)
            }
            Fault::CutWorker { place, cores, direction, for_ms } => {
                self.cut_from_cores(Host::Worker(place % workers), cores, direction, for_ms)
            }
            Fault::LosePacketsOfEdge { edge, for_ms } => self.lose_packets_of_edge(edge, for_ms),
            Fault::FreezeEdge { edge, for_ms } => self.freeze(Host::Edge(edge % edges), for_ms),
            Fault::FreezeWorker { place, for_ms } => self.freeze(Host::Worker(place % workers), for_ms),
            Fault::ResetEdge { edge } => self.reset_edge(edge % edges),
            Fault::KillAgent { edge } => self.kill_agent(edge % edges),
            Fault::KillDataPlane { edge } => self.kill_data_plane(edge % edges),
            Fault::PowerOffEdge { edge } => self.power_off_edge(edge % edges),
            Fault::LoseEdge { edge } => self.lose_edge(edge % edges),
            Fault::HerdKill { power } => self.herd_kill(power),
            Fault::TurnOverSeeds { for_ms } => self.turn_over_seeds(for_ms),
            Fault::CrashWorker { place } => self.stop_worker(place % workers),
            Fault::DrainWorker { place } => self.drain_worker(place % workers),
            Fault::DeregisterWorker { place } => self.deregister_worker(place % workers),
            Fault::LateHeartbeats { place, for_ms } => {
                self.set_late_heartbeats(place % workers, true);
                let ending = Ending::HeartbeatsInTime(place % workers);
                self.events.add(self.now + for_ms, Event::FaultEnds(ending));
            }
            _ => {}
        }
    }

    fn reset_edge(&mut self, edge: usize) {
        self.calm.touch(self.now, Subject::Machine(Host::Edge(edge)));
        self.reset_links(edge);
    }

    /// An agent is killed and started again.
    pub(super) fn kill_agent(&mut self, edge: usize) {
        self.calm.touch(self.now, Subject::Machine(Host::Edge(edge)));
        self.stop_agent(edge, false);
        let back_at = self.now + self.random.u64(RESTARTS_AFTER);
        self.calm.touch(back_at, Subject::Machine(Host::Edge(edge)));
        self.events.add(back_at, Event::AgentStart(edge));
    }

    /// A data plane is killed and started again.
    pub(super) fn kill_data_plane(&mut self, edge: usize) {
        self.stop_data_plane(edge);
        let back_at = self.now + self.random.u64(RESTARTS_AFTER);
        self.calm.touch(back_at, Subject::Machine(Host::Edge(edge)));
        self.events.add(back_at, Event::DataPlaneStart(edge));
    }

    /// An edge machine loses power for some time.
    pub(super) fn power_off_edge(&mut self, edge: usize) {
        self.thaw_at_once(Host::Edge(edge));
        self.stop_agent(edge, true);
        self.stop_data_plane(edge);
        let back_at = self.now + self.random.u64(POWER_BACK_AFTER);
        self.calm.touch(back_at, Subject::Machine(Host::Edge(edge)));
        self.events.add(back_at, Event::AgentStart(edge));
        self.events.add(back_at, Event::DataPlaneStart(edge));
    }

    /// All edge machines go at once, and as many core machines as may be lost.
    fn herd_kill(&mut self, power: bool) {
        for edge in 0..self.edges.len() {
            if power {
                self.power_off_edge(edge);
            } else {
                self.kill_agent(edge);
                self.kill_data_plane(edge);
            }
        }
        for core in self.present_cores() {
            if self.may_lose(&[core]) {
                self.stop_and_start_core(core, if power { Power::Off } else { Power::Idle });
            }
        }
    }
}
