//! Fault injection, and the network partitions that result from it.

use super::core_machine::CoreMachine;
use super::World;
use std::collections::BTreeSet;

/// A fault, or the end of one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Partitions these hosts from all others, in the directions `out` of them and `into` them.
    Partition {
        hosts: Vec<usize>,
        out: bool,
        into: bool,
    },
    /// Partitions two hosts from each other.
    PartitionPair(usize, usize),
    /// Ends all partitions.
    Heal,
    Freeze(usize),
    Thaw(usize),
    Kill {
        core: usize,
        loses_disk: bool,
    },
    Start(usize),
    RestartEdge(usize),
    FreezeEdge(usize),
    ThawEdge(usize),
}

/// Reachability between hosts. Core machines are numbered first, then edge machines. Clients reach all hosts.
#[derive(Debug)]
pub struct Network {
    hosts: usize,
    blocked: BTreeSet<(usize, usize)>,
}

impl Network {
    pub fn new(hosts: usize) -> Network {
        Network { hosts, blocked: BTreeSet::new() }
    }

    pub fn passes(&self, from: usize, to: usize) -> bool {
        !self.blocked.contains(&(from, to))
    }

    fn partition(&mut self, inside: &[usize], out: bool, into: bool) {
        for here in inside {
            for there in (0..self.hosts).filter(|there| !inside.contains(there)) {
                if out {
                    self.blocked.insert((*here, there));
                }
                if into {
                    self.blocked.insert((there, *here));
                }
            }
        }
    }
}

impl World {
    pub fn fault(&mut self, fault: &Fault) {
        self.checkers.clear_sent_revisions();
        match fault {
            Fault::Partition { hosts, out, into } => self.network.partition(hosts, *out, *into),
            Fault::PartitionPair(one, other) => {
                self.network.blocked.extend([(*one, *other), (*other, *one)]);
            }
            Fault::Heal => {
                self.network.blocked.clear();
                self.release_held();
            }
            Fault::Freeze(core) => self.cores[*core].frozen = self.cores[*core].process.is_some(),
            Fault::Thaw(core) => {
                // Messages about work begun before the freeze are checked as sent without majority contact.
                self.checkers.is_thawing = true;
                self.thaw_core(*core);
                self.checkers.is_thawing = false;
            }
            Fault::Kill { core, loses_disk } => self.kill_core(*core, *loses_disk),
            Fault::Start(core) => {
                if self.cores[*core].process.is_none() {
                    self.start_core(*core, false);
                }
            }
            Fault::RestartEdge(edge) => self.start_edge(*edge),
            Fault::FreezeEdge(edge) => self.edges[*edge].frozen = true,
            Fault::ThawEdge(edge) => self.thaw_edge(*edge),
        }
        self.update_isolation();
        let is_fault_free = self.network.blocked.is_empty() && self.cores.iter().all(CoreMachine::runs);
        let fault_free_since = self.checkers.fault_free_since;
        self.checkers.fault_free_since = is_fault_free.then(|| fault_free_since.unwrap_or(self.now));
    }

    /// Records which core machines cannot be in contact with a majority.
    fn update_isolation(&mut self) {
        for core in 0..self.plan.cores {
            let reached = (0..self.plan.cores).filter(|other| {
                let both_ways = self.network.passes(core, *other) && self.network.passes(*other, core);
                *other == core || (both_ways && self.cores[*other].runs())
            });
            let isolated = reached.count() * 2 <= self.plan.cores || self.cores[core].frozen;
            self.checkers.isolation(self.now, core, isolated);
        }
    }

    /// Core machines without contact to a majority.
    pub fn isolated_cores(&self) -> Vec<usize> {
        (0..self.plan.cores).filter(|core| self.checkers.is_isolated(*core)).collect()
    }
}

/// Generates a random sequence of faults, each with its end.
pub fn generate_faults(
    random: &mut fastrand::Rng,
    cores: usize,
    edges: usize,
    until: u64,
) -> Vec<(u64, Fault)> {
    let mut faults = Vec::new();
    let mut at = 3_500;
    while at < until {
        let ends = (at + random.u64(1_200..=9_000)).min(until);
        let core = random.usize(0..cores);
        let directions = [(true, true), (true, true), (true, false), (false, true)][random.usize(0..4)];
        let partition = |hosts| Fault::Partition { hosts, out: directions.0, into: directions.1 };
        match random.u32(0..10) {
            0..=2 => faults.extend([(at, partition(vec![core])), (ends, Fault::Heal)]),
            3..=5 => {
                let minority = (0..cores / 2).map(|step| (core + step) % cores);
                let near = (0..edges).filter(|_| random.bool()).map(|edge| cores + edge);
                let hosts: Vec<usize> = minority.chain(near).collect();
                faults.extend([(at, partition(hosts)), (ends, Fault::Heal)]);
            }
            6 => faults.extend([(at, Fault::Freeze(core)), (ends, Fault::Thaw(core))]),
            7 => {
                faults.extend([(at, Fault::Freeze(core)), (at + 400, partition(vec![core]))]);
                faults.extend([(ends, Fault::Thaw(core)), (ends + 700, Fault::Heal)]);
            }
            8 => {
                let edge = random.usize(0..edges);
                faults.extend([(at, Fault::FreezeEdge(edge)), (ends, Fault::ThawEdge(edge))]);
                faults.extend([(at, partition(vec![core])), (ends, Fault::Heal)]);
            }
            _ => {
                let loses_disk = random.bool();
                faults.extend([(at, Fault::Kill { core, loses_disk }), (ends, Fault::Start(core))]);
            }
        }
        if random.bool() {
            let during = random.u64(at..=ends);
            faults.push((during, Fault::RestartEdge(random.usize(0..edges))));
        }
        at = ends + random.u64(1_500..=4_500);
    }
    faults
}
