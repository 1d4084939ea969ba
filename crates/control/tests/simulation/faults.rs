//! Faults, and the network as they leave it.

use super::core_machine::CoreMachine;
use super::World;
use std::collections::BTreeSet;

/// What goes wrong, or ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// Nothing passes between these hosts and all others, in the directions told: out of them, into them.
    Cut {
        hosts: Vec<usize>,
        out: bool,
        into: bool,
    },
    /// Nothing passes between these two hosts.
    CutPair(usize, usize),
    /// All cuts end.
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

/// Which host reaches which: core machines first, then machines with data planes. Clients reach all.
#[derive(Debug)]
pub struct Network {
    hosts: usize,
    cut: BTreeSet<(usize, usize)>,
}

impl Network {
    pub fn new(hosts: usize) -> Network {
        Network { hosts, cut: BTreeSet::new() }
    }

    pub fn passes(&self, from: usize, to: usize) -> bool {
        !self.cut.contains(&(from, to))
    }

    fn cut(&mut self, inside: &[usize], out: bool, into: bool) {
        for here in inside {
            for there in (0..self.hosts).filter(|there| !inside.contains(there)) {
                if out {
                    self.cut.insert((*here, there));
                }
                if into {
                    self.cut.insert((there, *here));
                }
            }
        }
    }
}

impl World {
    pub fn fault(&mut self, fault: &Fault) {
        self.checkers.forget_said();
        match fault {
            Fault::Cut { hosts, out, into } => self.network.cut(hosts, *out, *into),
            Fault::CutPair(one, other) => {
                self.network.cut.extend([(*one, *other), (*other, *one)]);
            }
            Fault::Heal => {
                self.network.cut.clear();
                self.release_held();
            }
            Fault::Freeze(core) => self.cores[*core].frozen = self.cores[*core].process.is_some(),
            Fault::Thaw(core) => {
                // What it says of what it did before it was frozen counts as said out of contact.
                self.checkers.thawing = true;
                self.thaw_core(*core);
                self.checkers.thawing = false;
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
        self.note_isolation();
        let is_calm = self.network.cut.is_empty() && self.cores.iter().all(CoreMachine::runs);
        let calm_since = self.checkers.calm_since;
        self.checkers.calm_since = is_calm.then(|| calm_since.unwrap_or(self.now));
    }

    /// Notes which core machines can't be in contact with a majority of them.
    fn note_isolation(&mut self) {
        for core in 0..self.plan.cores {
            let reached = (0..self.plan.cores).filter(|other| {
                let both_ways = self.network.passes(core, *other) && self.network.passes(*other, core);
                *other == core || (both_ways && self.cores[*other].runs())
            });
            let isolated = reached.count() * 2 <= self.plan.cores || self.cores[core].frozen;
            self.checkers.isolation(self.now, core, isolated);
        }
    }

    /// Machines that are cut off now.
    pub fn cut_off(&self) -> Vec<usize> {
        (0..self.plan.cores).filter(|core| self.checkers.is_isolated(*core)).collect()
    }
}

/// Faults of a seed: a few troubles one after the other, each with its end.
pub fn draw(random: &mut fastrand::Rng, cores: usize, edges: usize, until: u64) -> Vec<(u64, Fault)> {
    let mut faults = Vec::new();
    let mut at = 3_500;
    while at < until {
        let ends = (at + random.u64(1_200..=9_000)).min(until);
        let core = random.usize(0..cores);
        let directions = [(true, true), (true, true), (true, false), (false, true)][random.usize(0..4)];
        let cut = |hosts| Fault::Cut { hosts, out: directions.0, into: directions.1 };
        match random.u32(0..10) {
            0..=2 => faults.extend([(at, cut(vec![core])), (ends, Fault::Heal)]),
            3..=5 => {
                let minority = (0..cores / 2).map(|step| (core + step) % cores);
                let near = (0..edges).filter(|_| random.bool()).map(|edge| cores + edge);
                let hosts: Vec<usize> = minority.chain(near).collect();
                faults.extend([(at, cut(hosts)), (ends, Fault::Heal)]);
            }
            6 => faults.extend([(at, Fault::Freeze(core)), (ends, Fault::Thaw(core))]),
            7 => {
                faults.extend([(at, Fault::Freeze(core)), (at + 400, cut(vec![core]))]);
                faults.extend([(ends, Fault::Thaw(core)), (ends + 700, Fault::Heal)]);
            }
            8 => {
                let edge = random.usize(0..edges);
                faults.extend([(at, Fault::FreezeEdge(edge)), (ends, Fault::ThawEdge(edge))]);
                faults.extend([(at, cut(vec![core])), (ends, Fault::Heal)]);
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
