//! Runs by seed.

use super::checkers::{Rule, Violation};
use super::faults::{self, Day};
use super::figures::Figures;
use super::site::Sizes;
use super::world::{Plan, World};
use std::collections::BTreeMap;
use std::fmt;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Broken rules, the first of each.
    pub violations: Vec<Violation>,
    /// Changes that were acknowledged.
    pub acknowledged: usize,
    /// Readings that were answered.
    pub reads: u64,
    /// Orders that workers received.
    pub orders: u64,
    /// Ends of workers that were acknowledged.
    pub ends: usize,
    /// Longest time in milliseconds from an acknowledgement to its being in force at a machine in touch.
    pub worst_in_force_ms: u64,
    /// Longest time in milliseconds of a change's answer while the core was calm.
    pub worst_answer_ms: u64,
    /// Longest time in milliseconds until a change was acknowledged after all of the core was down.
    pub worst_recovery_ms: u64,
    /// Most loads from the weight store in a window.
    pub most_loads: usize,
    /// What was played, by name.
    pub played: BTreeMap<String, u64>,
    /// The core's layout.
    pub layout: String,
    /// What was measured.
    pub figures: Figures,
    /// Events handled.
    pub events: u64,
    /// Digest of all answers: the same for the same seed.
    pub trace: u64,
}

impl Report {
    /// Whether all that must hold held.
    pub fn holds(&self) -> bool {
        self.violations.is_empty()
    }

    /// Whether a rule was broken.
    pub fn breaks(&self, rule: Rule) -> bool {
        self.violations.iter().any(|violation| violation.rule == rule)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}", self.seed)?;
        self.violations.iter().try_for_each(|violation| write!(f, "\n  {violation}"))
    }
}

/// The plan of a seed.
pub fn plan(seed: u64) -> Plan {
    let mut random = fastrand::Rng::with_seed(seed);
    let sizes = Sizes::draw(&mut random);
    let Day { faults, plain_from, ends_at } = faults::draw(&mut random, &sizes);
    Plan { seed, sizes, faults, plain_from, ends_at, flaw: None, narrated: false }
}

/// Plays a plan.
pub fn play(plan: Plan) -> Report {
    let (seed, layout) = (plan.seed, plan.sizes.layout());
    let mut world = World::new(plan);
    world.run();
    let checkers = &world.checkers;
    Report {
        seed,
        acknowledged: checkers.changes.acknowledged_count(),
        reads: world.reads,
        orders: checkers.placers.orders(),
        ends: checkers.draining.count(),
        worst_in_force_ms: checkers.in_force.worst_ms(),
        worst_answer_ms: checkers.liveness.worst_ms(),
        worst_recovery_ms: checkers.liveness.worst_recovery_ms(),
        most_loads: checkers.loads.most(),
        played: world.played.clone(),
        layout,
        figures: world.figures.clone(),
        events: world.handled,
        trace: world.trace,
        violations: world.checkers.violations.clone().into_vec(),
    }
}

/// Plays a seed, the same each time.
pub fn replay(seed: u64) -> Report {
    play(plan(seed))
}

/// Plays many seeds on all processors; the reports in the order of the seeds.
pub fn replay_all(seeds: Range<u64>) -> Vec<Report> {
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    replay_with(seeds, threads)
}

/// Plays many seeds, so many at a time; the reports in the order of the seeds.
pub fn replay_with(seeds: Range<u64>, threads: usize) -> Vec<Report> {
    play_all(seeds, threads, plan)
}

/// Plays the plans of many seeds, so many at a time; the reports in the order of the seeds.
pub fn play_all(seeds: Range<u64>, threads: usize, plan: impl Fn(u64) -> Plan + Sync) -> Vec<Report> {
    let next = AtomicU64::new(seeds.start);
    let take = || Some(next.fetch_add(1, Ordering::Relaxed)).filter(|seed| *seed < seeds.end);
    let work = || std::iter::from_fn(take).map(|seed| play(plan(seed))).collect::<Vec<Report>>();
    let mut reports: Vec<Report> = std::thread::scope(|scope| {
        let handles: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        handles.into_iter().flat_map(|handle| handle.join().expect("a run panicked")).collect()
    });
    reports.sort_by_key(|report| report.seed);
    reports
}
