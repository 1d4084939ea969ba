//! Plans of faults by seed.

use super::{Company, Direction, Fault, Partition, Pick, PlannedFault, Reach};
use crate::emulator::disk::DiskCondition;
use crate::emulator::site::Sizes;

/// When faults begin in a plan, in milliseconds: a core that has just started is not disturbed yet.
pub const FIRST_FAULT: u64 = 5_000;

/// Time in milliseconds in which faults begin on a usual day.
const FAULTS_FOR: u64 = 9_000;

/// Longest time in milliseconds of a fault that lasts, on a usual day.
const LONGEST: u64 = 7_000;

/// Length in milliseconds of a long cut.
const LONG_CUT: u64 = 20_000;

/// Longest time in milliseconds between the two faults of a pair.
const PAIR_WITHIN: u64 = 700;

/// Time in milliseconds from the last fault's begin to the operator's plain changes.
const PLAIN_AFTER: u64 = 5_000;

/// Time in milliseconds from the last fault's begin to the end: late enough for a recovery.
const ENDS_AFTER: u64 = 16_500;

/// The times of a run and its faults.
#[derive(Debug, Clone)]
pub struct Day {
    /// Faults in the order of time.
    pub faults: Vec<PlannedFault>,
    /// When the operator turns to plain changes, in milliseconds.
    pub plain_from: u64,
    /// When the run ends, in milliseconds.
    pub ends_at: u64,
}

/// A day by seed: some faults alone, some in pairs, and often a heavy one at the end. One in ten has a cut of twenty seconds,
/// one in twelve hundreds of changes, one in thirty a long configuration.
pub fn draw(random: &mut fastrand::Rng, sizes: &Sizes) -> Day {
    let mut faults = Vec::new();
    let mut until = FIRST_FAULT + FAULTS_FOR;
    if random.u32(0..10) == 0 {
        let at = random.u64(FIRST_FAULT..FIRST_FAULT + 2_000);
        until = at + LONG_CUT;
        faults.push(PlannedFault { at, fault: long_cut(random) });
    }
    if random.u32(0..12) == 0 {
        let for_ms = random.u64(3_000..9_000);
        faults.push(PlannedFault { at: random.u64(2_500..6_000), fault: Fault::ChangeStorm { for_ms } });
    }
    if random.u32(0..30) == 0 {
        let fault = Fault::BigConfiguration { routes: 400 };
        faults.push(PlannedFault { at: random.u64(2_000..6_000), fault });
    }
    for _ in 0..random.usize(3..=7) {
        let at = random.u64(FIRST_FAULT..until);
        faults.push(PlannedFault { at, fault: any(random, sizes) });
        if random.bool() {
            let at = at + random.u64(0..PAIR_WITHIN);
            faults.push(PlannedFault { at, fault: any(random, sizes) });
        }
    }
    for _ in 0..random.usize(1..=4) {
        faults.push(PlannedFault { at: random.u64(FIRST_FAULT..until + 2_000), fault: leaving(random) });
    }
    if random.bool() {
        faults.push(PlannedFault { at: until, fault: triggered(random, heavy) });
    }
    faults.sort_by_key(|fault| fault.at);
    Day { faults, plain_from: until + PLAIN_AFTER, ends_at: until + ENDS_AFTER }
}

fn any(random: &mut fastrand::Rng, sizes: &Sizes) -> Fault {
    match random.u32(0..32) {
        0 | 1 => heavy(random),
        2..=4 => triggered(random, heavy),
        5..=8 => triggered(random, of_core),
        9..=13 => of_core(random),
        14..=17 => accompanied(random),
        18 | 19 if sizes.zones_lost > 0 => lose_zone(random),
        18..=21 => of_edge(random),
        22..=26 => of_worker(random),
        27 => Fault::RaceChanges { count: if random.bool() { 8 } else { 2 } },
        28 => Fault::InvalidChanges { count: random.usize(1..=3) },
        29 => Fault::TurnOverSeeds { for_ms: lasting(random) },
        _ => Fault::LoseAnswers { percent: 70, for_ms: lasting(random) },
    }
}

fn triggered(random: &mut fastrand::Rng, fault: fn(&mut fastrand::Rng) -> Fault) -> Fault {
    let fault = Box::new(fault(random));
    match random.u32(0..6) {
        5 => Fault::AfterOrder(fault),
        0 | 1 => Fault::AfterAcknowledgement(fault),
        2 | 3 => Fault::AfterSending(fault),
        _ => Fault::AfterEnd(fault),
    }
}

fn accompanied(random: &mut fastrand::Rng) -> Fault {
    let fault = Box::new(of_core(random));
    let company = Company {
        meet: random.bool(),
        race: random.bool(),
        hard: random.bool(),
        drain: random.bool(),
        lure: random.bool(),
    };
    Fault::Accompanied(fault, company)
}

fn heavy(random: &mut fastrand::Rng) -> Fault {
    match random.u32(0..6) {
        0 => Fault::KillAllCores,
        1 => Fault::PowerOffAllCores,
        2 => Fault::PowerOffAll,
        _ => Fault::WipeCore { core: pick(random), others_lose_power: random.bool() },
    }
}

fn lose_zone(random: &mut fastrand::Rng) -> Fault {
    Fault::LoseZone { zone: random.usize(0..3), cut: random.bool(), for_ms: lasting(random) }
}

fn of_core(random: &mut fastrand::Rng) -> Fault {
    let core = pick(random);
    match random.u32(0..31) {
        28 => Fault::SplitCore { for_ms: lasting(random) },
        29 | 30 => Fault::LeaveBehind { core, dark_ms: lasting(random) },
        0 | 1 => Fault::KillCore { core },
        26 | 27 => Fault::TerminateCore { core, busy: random.bool() },
        2 => Fault::PowerOffCore { core },
        3 | 4 => Fault::FreezeCore { core, for_ms: lasting(random) },
        5 => Fault::SlowCore { core, for_ms: lasting(random).min(3_000) },
        6 | 7 => Fault::WipeCore { core, others_lose_power: false },
        8..=10 => Fault::ReplaceCore { core, planned: false },
        11..=13 => Fault::ReplaceCore { core, planned: true },
        14 => Fault::ResetCore { core },
        15 | 16 => Fault::TroubleDisk { core, condition: disk_condition(random), for_ms: lasting(random) },
        17 => Fault::CutCore { side: random.u32(..), direction: direction(random), for_ms: lasting(random) },
        18..=23 => Fault::Partition(partition(random)),
        24 => Fault::RollCores { gap_ms: random.u64(800..1_500), busy: random.bool() },
        _ => Fault::LosePacketsInCore { for_ms: lasting(random) },
    }
}

fn partition(random: &mut fastrand::Rng) -> Partition {
    let reach = match random.u32(0..3) {
        0 => Reach::Core,
        1 => Reach::Near,
        _ => Reach::All,
    };
    Partition {
        core: pick(random),
        count: random.usize(1..=2),
        reach,
        direction: direction(random),
        reset: random.u32(0..4) == 0,
        refuse: random.u32(0..6) == 0,
        relieve: random.u32(0..6) == 0,
        seeds: random.u32(0..4) == 0,
        both: random.u32(0..8) == 0,
        for_ms: lasting(random),
    }
}

fn long_cut(random: &mut fastrand::Rng) -> Fault {
    let fault = Fault::Partition(Partition { for_ms: LONG_CUT, ..partition(random) });
    let company = Company {
        meet: random.bool(),
        race: random.bool(),
        hard: random.bool(),
        drain: random.bool(),
        lure: random.bool(),
    };
    Fault::Accompanied(Box::new(fault), company)
}

fn of_edge(random: &mut fastrand::Rng) -> Fault {
    let edge = machine(random);
    let for_ms = lasting(random);
    match random.u32(0..18) {
        0 => Fault::LoseEdge { edge },
        1 => Fault::CutEdge { edge, cores: u32::MAX, direction: direction(random), for_ms },
        2..=4 => Fault::CutEdge { edge, cores: random.u32(..), direction: direction(random), for_ms },
        5 | 6 => Fault::LosePacketsOfEdge { edge, for_ms },
        7 | 8 => Fault::FreezeEdge { edge, for_ms },
        9 | 10 => Fault::ResetEdge { edge },
        11 | 12 => Fault::KillAgent { edge },
        13 | 14 => Fault::KillDataPlane { edge },
        15 | 16 => Fault::HerdKill { power: random.bool() },
        _ => Fault::PowerOffEdge { edge },
    }
}

fn of_worker(random: &mut fastrand::Rng) -> Fault {
    let place = machine(random);
    let for_ms = lasting(random);
    match random.u32(0..7) {
        0 => Fault::CrashWorker { place },
        1..=3 => leaving(random),
        4 => Fault::CutWorker { place, cores: random.u32(..), direction: direction(random), for_ms },
        5 => Fault::LateHeartbeats { place, for_ms },
        _ => Fault::FreezeWorker { place, for_ms },
    }
}

fn leaving(random: &mut fastrand::Rng) -> Fault {
    let place = machine(random);
    match random.u32(0..3) {
        0 => Fault::DeregisterWorker { place },
        _ => Fault::DrainWorker { place },
    }
}

fn pick(random: &mut fastrand::Rng) -> Pick {
    match random.u32(0..11) {
        10 => Pick::Giver,
        0 | 1 => Pick::Leader,
        2 => Pick::Reader,
        3 => Pick::Turn,
        4 | 5 => Pick::Oldest,
        6 => Pick::Seed,
        _ => Pick::Number(machine(random)),
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
