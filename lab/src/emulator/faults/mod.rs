//! Faults that a run plays, and what of them ends later.

mod draw;
mod kind;

pub use draw::{draw, Day, FIRST_FAULT};

use super::calm::Subject;
use super::disk::DiskCondition;
use super::host::Host;
use super::network::Path;

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

/// Which core machine a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pick {
    /// By its number, counted modulo those that there are.
    Number(usize),
    /// The one that acknowledged a change or gave an order last.
    Leader,
    /// The one that gave an order to a worker last.
    Giver,
    /// The one that answered a reading last.
    Reader,
    /// The one that was struck least often.
    Turn,
    /// The one whose disk has lasted longest.
    Oldest,
    /// One whose address is a seed.
    Seed,
}

/// From which machines a core machine is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// From the other core machines; all others still reach it.
    Core,
    /// From the other core machines, and from all machines of other zones and the operator.
    Near,
    /// From all machines.
    All,
}

/// A cut of core machines from others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Partition {
    /// Which one; with `count` also the next ones.
    pub core: Pick,
    /// How many, as far as the deployment has to bear.
    pub count: usize,
    /// From whom.
    pub reach: Reach,
    /// What does not pass.
    pub direction: Direction,
    /// Whether the connections are reset rather than silent.
    pub reset: bool,
    /// Whether new connections are refused, and those that stand reset.
    pub refuse: bool,
    /// Whether changes are made meanwhile, and the processes of the other core machines are killed as the cut has healed.
    pub relieve: bool,
    /// Whether processes that start meanwhile have the machines cut off for their first seeds, and some edge machines do.
    pub seeds: bool,
    /// Whether the machines that are cut off are restarted during the cut, and then the others.
    pub both: bool,
    /// For how long, in milliseconds.
    pub for_ms: u64,
}

impl Partition {
    /// One machine is cut off from the other core machines in both directions, in silence.
    pub fn of_one(core: Pick, for_ms: u64) -> Partition {
        Partition {
            core,
            count: 1,
            reach: Reach::Core,
            direction: Direction::Both,
            reset: false,
            refuse: false,
            relieve: false,
            seeds: false,
            both: false,
            for_ms,
        }
    }
}

/// What happens around a fault of a core machine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Company {
    /// A change is sent to the machine during the fault and as it returns.
    pub meet: bool,
    /// Two changes on one version are.
    pub race: bool,
    /// The change is sent to the same machine again and again until it answers.
    pub hard: bool,
    /// Workers of its zone leave soon after it is back, and tell it first.
    pub drain: bool,
    /// Workers that leave, and a third of the others, report to the machine first while the fault lasts.
    pub lure: bool,
}

/// A fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// A core node is killed and started again.
    KillCore {
        /// Which one.
        core: Pick,
    },
    /// A core node gets SIGTERM, ends as soon as it may, at the latest by SIGKILL, and is started again.
    TerminateCore {
        /// Which one.
        core: Pick,
        /// Whether it gets the signal while it answers the next call.
        busy: bool,
    },
    /// A core machine loses power for some time.
    PowerOffCore {
        /// Which one.
        core: Pick,
    },
    /// A core machine stands still.
    FreezeCore {
        /// Which one.
        core: Pick,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// A core machine runs slowly.
    SlowCore {
        /// Which one.
        core: Pick,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// A core machine loses its disk; the others may lose power at the same moment.
    WipeCore {
        /// Which one.
        core: Pick,
        /// Whether all others lose power with it.
        others_lose_power: bool,
    },
    /// A core machine goes for good; an empty one joins at another address.
    ReplaceCore {
        /// Which one.
        core: Pick,
        /// Whether the new one starts first, and the old one gets SIGTERM a second or two later.
        planned: bool,
    },
    /// All core nodes are killed at once.
    KillAllCores,
    /// All core machines lose power at once.
    PowerOffAllCores,
    /// All machines lose power at once, workers excepted.
    PowerOffAll,
    /// Each core node in turn gets SIGTERM and is started again after its end.
    RollCores {
        /// Whether each gets the signal while it answers a call.
        busy: bool,
        /// Time in milliseconds between two of them.
        gap_ms: u64,
    },
    /// A zone loses power, or is cut from all others.
    LoseZone {
        /// Which one.
        zone: usize,
        /// Whether its machines run on, cut off.
        cut: bool,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// All connections of a core machine are reset.
    ResetCore {
        /// Which one.
        core: Pick,
    },
    /// A core machine's disk is slow, stalls or refuses writes.
    TroubleDisk {
        /// Which one.
        core: Pick,
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
    /// Half of the core machines are cut from the other half.
    SplitCore {
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// As many core machines as may be lost miss changes behind a cut; as it heals one of the others loses its disk and the
    /// rest of them lose power.
    LeaveBehind {
        /// The first that is cut off.
        core: Pick,
        /// How long the rest are without power, in milliseconds.
        dark_ms: u64,
    },
    /// Core machines are cut off.
    Partition(Partition),
    /// Packets between all core machines are lost.
    LosePacketsInCore {
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Processes that start meanwhile have other seeds.
    TurnOverSeeds {
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
    /// An edge machine goes and never comes back.
    LoseEdge {
        /// Number of the edge machine.
        edge: usize,
    },
    /// All edge machines, and as many core machines as may be lost, are killed or lose power at once.
    HerdKill {
        /// Whether they lose power.
        power: bool,
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
    /// A worker deregisters without a word before, serves on for a while and ends.
    DeregisterWorker {
        /// Number of the worker.
        place: usize,
    },
    /// Heartbeats of a worker come seconds late.
    LateHeartbeats {
        /// Number of the worker.
        place: usize,
        /// For how long, in milliseconds.
        for_ms: u64,
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
        /// How many of a hundred.
        percent: u32,
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// The operator makes one change after the other.
    ChangeStorm {
        /// For how long, in milliseconds.
        for_ms: u64,
    },
    /// Several changes on one version at once, each to another core machine first.
    RaceChanges {
        /// How many.
        count: usize,
    },
    /// A change with many routes.
    BigConfiguration {
        /// How many.
        routes: usize,
    },
    /// Invalid changes, one after the other.
    InvalidChanges {
        /// How many.
        count: usize,
    },
    /// A fault with what happens around it.
    Accompanied(Box<Fault>, Company),
    /// A fault right after the next acknowledgement.
    AfterAcknowledgement(Box<Fault>),
    /// A fault some milliseconds after the next change was sent, acknowledged or not.
    AfterSending(Box<Fault>),
    /// A fault right after the end of a worker was acknowledged.
    AfterEnd(Box<Fault>),
    /// A fault right after a worker took an order.
    AfterOrder(Box<Fault>),
}

/// The end of a fault that lasts.
#[derive(Debug, Clone)]
pub enum Ending {
    /// A machine goes on; the number tells its freezes apart.
    Thaw(Host, u64),
    /// The cut of this number heals.
    Heal(u64),
    /// Core machines have missed changes: those ahead of them go.
    Behind {
        /// Core machines that were cut off.
        behind: Vec<usize>,
        /// How long most of the others are without power, in milliseconds.
        dark_ms: u64,
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
    /// A machine runs at its speed again.
    FullSpeed(usize),
    /// A planned replacement: the old machine gets SIGTERM.
    Replaced(usize),
    /// A process that was told to end is over by itself, in one life.
    ProcessEnds(usize, u32),
    /// `graceS` after SIGTERM: SIGKILL, in one life.
    GraceOver(usize, u32),
    /// Processes get the usual seeds.
    UsualSeeds,
    /// Workers report to any core machine.
    NoLure,
    /// Heartbeats of a worker come in time.
    HeartbeatsInTime(usize),
    /// Answers reach the operator.
    AnswersArrive,
    /// The operator changes less often.
    StormPasses,
}

/// A fault and when it begins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlannedFault {
    /// When, in milliseconds.
    pub at: u64,
    /// What.
    pub fault: Fault,
}
