//! Faults, and plans of them by seed.

use super::calm::Subject;
use super::disk::DiskCondition;
use super::host::Host;
use super::network::Path;

/// When faults begin in a plan, in milliseconds: a core that has just started is not disturbed yet.
const FAULTS_FROM: u64 = 6_000;

/// When the last fault begins, in milliseconds.
pub const FAULTS_UNTIL: u64 = 18_000;

/// Longest time in milliseconds of a fault that lasts.
const LONGEST: u64 = 7_000;

/// Longest time in milliseconds between the two faults of a pair.
const PAIR_WITHIN: u64 = 700;

/// Direction of a cut, seen from the machine that is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Nothing passes.
    Both,
    /// Nothing reaches the machine.
    Inward,
    /// Nothing leaves the machine.
    Outward,
}

/// A fault. Machines are counted modulo those that there are.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A core node is killed and started again.
    KillCore {
        /// Number of the core machine.
        core: usize,
    },
    /// A core machine loses power for some time.
    PowerOffCore {
        /// Number of the core machine.
        core: usize,
    },
    /// A core machine stands still.
    FreezeCore {
        /// Number of the core machine.
        core: usize,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// A core machine loses its disk; the others may lose power at the same moment.
    WipeCore {
        /// Number of the core machine.
        core: usize,
        /// Whether all others lose power with it.
        others_lose_power: bool,
    },
    /// A core machine goes for good; an empty one joins at another address.
    ReplaceCore {
        /// Number of the core machine.
        core: usize,
    },
    /// All core nodes are killed at once.
    KillAllCores,
    /// All core machines lose power at once.
    PowerOffAllCores,
    /// All connections of a core machine are reset.
    ResetCore {
        /// Number of the core machine.
        core: usize,
    },
    /// A core machine's disk is slow, stalls or refuses writes.
    TroubleDisk {
        /// Number of the core machine.
        core: usize,
        /// How the disk behaves.
        condition: DiskCondition,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Some core machines, by bits, are cut from the other ones.
    CutCore {
        /// Which machines are on one side, by bits.
        side: u32,
        /// What does not pass.
        direction: Direction,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Packets between all core machines are lost.
    LosePacketsInCore {
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// An edge machine is cut from some core machines, by bits.
    CutEdge {
        /// Number of the edge machine.
        edge: usize,
        /// Core machines, by bits.
        cores: u32,
        /// What does not pass.
        direction: Direction,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Packets of an edge machine are lost.
    LosePacketsOfEdge {
        /// Number of the edge machine.
        edge: usize,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// An edge machine stands still.
    FreezeEdge {
        /// Number of the edge machine.
        edge: usize,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// All links of an agent are reset.
    ResetEdge {
        /// Number of the edge machine.
        edge: usize,
    },
    /// An agent is killed and started again.
    KillAgent {
        /// Number of the edge machine.
        edge: usize,
    },
    /// A data plane is killed and started again.
    KillDataPlane {
        /// Number of the edge machine.
        edge: usize,
    },
    /// An edge machine loses power for some time.
    PowerOffEdge {
        /// Number of the edge machine.
        edge: usize,
    },
    /// A worker crashes.
    CrashWorker {
        /// Number of the worker.
        place: usize,
    },
    /// A worker leaves as planned.
    DrainWorker {
        /// Number of the worker.
        place: usize,
    },
    /// A worker is cut from some core machines, by bits.
    CutWorker {
        /// Number of the worker.
        place: usize,
        /// Core machines, by bits.
        cores: u32,
        /// What does not pass.
        direction: Direction,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// A worker stands still.
    FreezeWorker {
        /// Number of the worker.
        place: usize,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Answers to the operator are lost.
    LoseAnswers {
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// A fault right after the next acknowledgement.
    AfterAcknowledgement(Box<Fault>),
}

/// The end of a fault that lasts.
#[derive(Debug, Clone)]
pub enum Ending {
    /// A machine goes on; the number tells its freezes apart.
    Thaw(Host, u64),
    /// Cuts heal.
    Heal {
        /// Directions.
        paths: Vec<Path>,
        /// What was in trouble.
        subjects: Vec<Subject>,
        /// Core machines that were lost.
        cores: Vec<usize>,
    },
    /// Packets are no longer lost.
    PacketsPass {
        /// Directions.
        paths: Vec<Path>,
        /// What was in trouble.
        subjects: Vec<Subject>,
        /// Core machines that were lost.
        cores: Vec<usize>,
    },
    /// A disk is well again.
    DiskIsWell(usize),
    /// Answers reach the operator.
    AnswersArrive,
}

/// A fault and when it begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedFault {
    /// When, in milliseconds.
    pub at: u64,
    /// What.
    pub fault: Fault,
}

/// Faults by seed: some alone, some in pairs, and often a heavy one at the end.
pub fn draw(random: &mut fastrand::Rng) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    for _ in 0..random.usize(3..=9) {
        let at = random.u64(FAULTS_FROM..FAULTS_UNTIL);
        faults.push(PlannedFault { at, fault: any(random) });
        if random.bool() {
            let at = at + random.u64(0..PAIR_WITHIN);
            faults.push(PlannedFault { at, fault: any(random) });
        }
    }
    for _ in 0..random.usize(1..=4) {
        let at = random.u64(FAULTS_FROM..FAULTS_UNTIL + 3_000);
        faults.push(PlannedFault { at, fault: Fault::DrainWorker { place: machine(random) } });
    }
    if random.bool() {
        let fault = Fault::AfterAcknowledgement(Box::new(heavy(random)));
        faults.push(PlannedFault { at: FAULTS_UNTIL, fault });
    }
    faults.sort_by_key(|fault| fault.at);
    faults
}

fn any(random: &mut fastrand::Rng) -> Fault {
    match random.u32(0..16) {
        0 => heavy(random),
        1 => Fault::AfterAcknowledgement(Box::new(heavy(random))),
        2 => Fault::AfterAcknowledgement(Box::new(of_core(random))),
        3..=8 => of_core(random),
        9..=11 => of_edge(random),
        12..=14 => of_worker(random),
        _ => Fault::LoseAnswers { for_ms: lasting(random) },
    }
}

fn heavy(random: &mut fastrand::Rng) -> Fault {
    match random.u32(0..4) {
        0 => Fault::KillAllCores,
        1 => Fault::PowerOffAllCores,
        _ => Fault::WipeCore { core: machine(random), others_lose_power: random.bool() },
    }
}

fn of_core(random: &mut fastrand::Rng) -> Fault {
    let core = machine(random);
    match random.u32(0..12) {
        0 | 1 => Fault::KillCore { core },
        2 => Fault::PowerOffCore { core },
        3 | 4 => Fault::FreezeCore { core, for_ms: lasting(random) },
        5 => Fault::WipeCore { core, others_lose_power: false },
        6 => Fault::ReplaceCore { core },
        7 => Fault::ResetCore { core },
        8 => Fault::TroubleDisk { core, condition: disk_condition(random), for_ms: lasting(random) },
        9 | 10 => {
            Fault::CutCore { side: random.u32(..), direction: direction(random), for_ms: lasting(random) }
        }
        _ => Fault::LosePacketsInCore { for_ms: lasting(random) },
    }
}

fn of_edge(random: &mut fastrand::Rng) -> Fault {
    let edge = machine(random);
    let for_ms = lasting(random);
    match random.u32(0..8) {
        0 | 1 => Fault::CutEdge { edge, cores: random.u32(..), direction: direction(random), for_ms },
        2 => Fault::LosePacketsOfEdge { edge, for_ms },
        3 => Fault::FreezeEdge { edge, for_ms },
        4 => Fault::ResetEdge { edge },
        5 => Fault::KillAgent { edge },
        6 => Fault::KillDataPlane { edge },
        _ => Fault::PowerOffEdge { edge },
    }
}

fn of_worker(random: &mut fastrand::Rng) -> Fault {
    let place = machine(random);
    let for_ms = lasting(random);
    match random.u32(0..6) {
        0 => Fault::CrashWorker { place },
        1..=3 => Fault::DrainWorker { place },
        4 => Fault::CutWorker { place, cores: random.u32(..), direction: direction(random), for_ms },
        _ => Fault::FreezeWorker { place, for_ms },
    }
}

fn machine(random: &mut fastrand::Rng) -> usize {
    random.usize(0..60)
}

fn lasting(random: &mut fastrand::Rng) -> u64 {
    match random.bool() {
        true => random.u64(200..1_500),
        false => random.u64(1_500..LONGEST),
    }
}

fn direction(random: &mut fastrand::Rng) -> Direction {
    match random.u32(0..4) {
        0 => Direction::Inward,
        1 => Direction::Outward,
        _ => Direction::Both,
    }
}

fn disk_condition(random: &mut fastrand::Rng) -> DiskCondition {
    match random.u32(0..3) {
        0 => DiskCondition { sync_ms: random.u64(50..400), refuses: false },
        1 => DiskCondition { sync_ms: random.u64(1_500..5_000), refuses: false },
        _ => DiskCondition { sync_ms: 2, refuses: true },
    }
}
