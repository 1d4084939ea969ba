//! Plans of the emulator's tests: a calm day of five core machines, with a script of faults or a planted fault.

use switchhill_lab::emulator::faults::{Fault, PlannedFault};
use switchhill_lab::emulator::site::Sizes;
use switchhill_lab::emulator::world::{Flaw, Plan};
use switchhill_lab::emulator::{play, Report};

/// Seeds of all chance beside the script.
pub const SEEDS: std::ops::Range<u64> = 1..9;

/// Five core machines in four zones, one loss to be borne.
pub const SIZES: Sizes = Sizes {
    zones: &[2, 1, 1, 1],
    machines_lost: 1,
    zones_lost: 0,
    edges: 4,
    workers: 8,
    fencing: true,
    sync_ms: 3,
};

/// Plays a script of faults with some seeds.
pub fn play_script(flaw: Option<Flaw>, sizes: Sizes, faults: &[(u64, Fault)], ends_at: u64) -> Vec<Report> {
    let planned = |(at, fault): &(u64, Fault)| PlannedFault { at: *at, fault: fault.clone() };
    let faults: Vec<PlannedFault> = faults.iter().map(planned).collect();
    let plan =
        |seed| Plan { seed, sizes, faults: faults.clone(), plain_from: 0, ends_at, flaw, narrated: false };
    SEEDS.map(|seed| play(plan(seed))).collect()
}
