//! The commands of the emulator: seeds, one seed told, and measured bounds.

use std::collections::BTreeMap;
use switchhill_lab::emulator::faults::{Company, Fault, Partition, Pick, PlannedFault, Reach};
use switchhill_lab::emulator::figures::Figures;
use switchhill_lab::emulator::site::Sizes;
use switchhill_lab::emulator::{self, Plan, Report};

/// Seeds played between two lines of progress.
const PROGRESS_EVERY: u64 = 1_000;

/// Plays one seed and tells what happens. True where nothing broke.
pub fn narrate(seed: u64) -> bool {
    let report = emulator::play(emulator::Plan { narrated: true, ..emulator::plan(seed) });
    println!("{report}");
    report.holds()
}

/// Plays seeds and prints what broke, the worst figures and, if asked for, what was played. True where nothing broke.
pub fn play_seeds(from: u64, seeds: u64, jobs: usize, table: bool) -> bool {
    let mut sum = Sum::default();
    let mut first = from;
    while first < from + seeds {
        let end = (first + PROGRESS_EVERY).min(from + seeds);
        for report in emulator::replay_with(first..end, jobs) {
            if !report.holds() {
                println!("{report}");
            }
            sum.add(&report);
        }
        if seeds > PROGRESS_EVERY {
            eprintln!("{} of {seeds} seeds played, {} broken", end - from, sum.broken);
        }
        first = end;
    }
    sum.print();
    if table {
        sum.print_played();
    }
    sum.broken == 0
}

/// What came of many runs.
#[derive(Default)]
struct Sum {
    seeds: u64,
    broken: u64,
    acknowledged: u64,
    most_acknowledged: u64,
    reads: u64,
    orders: u64,
    ends: u64,
    events: u64,
    worst_answer_ms: u64,
    worst_recovery_ms: u64,
    most_loads: usize,
    figures: Figures,
    played: BTreeMap<String, (u64, u64)>,
    layouts: BTreeMap<String, u64>,
}

impl Sum {
    fn add(&mut self, report: &Report) {
        self.seeds += 1;
        self.broken += u64::from(!report.holds());
        self.acknowledged += report.acknowledged as u64;
        self.most_acknowledged = self.most_acknowledged.max(report.acknowledged as u64);
        self.reads += report.reads;
        self.orders += report.orders;
        self.ends += report.ends as u64;
        self.events += report.events;
        self.worst_answer_ms = self.worst_answer_ms.max(report.worst_answer_ms);
        self.worst_recovery_ms = self.worst_recovery_ms.max(report.worst_recovery_ms);
        self.most_loads = self.most_loads.max(report.most_loads);
        self.figures.add(&report.figures);
        for (kind, count) in &report.played {
            let (times, seeds) = self.played.entry(kind.clone()).or_default();
            *times += count;
            *seeds += 1;
        }
        *self.layouts.entry(report.layout.clone()).or_default() += 1;
    }

    fn print(&self) {
        println!("broken: {} of {} seeds", self.broken, self.seeds);
        println!(
            "acknowledged {} (at most {} in a run), read {}, orders {}, ends of workers {}, events {}",
            self.acknowledged, self.most_acknowledged, self.reads, self.orders, self.ends, self.events,
        );
        println!(
            "worst: answer {} ms, recovery {} ms, loads in a window {}, last word of a machine cut off {} ms",
            self.worst_answer_ms, self.worst_recovery_ms, self.most_loads, self.figures.last_word_ms,
        );
        println!("{:<58}{:>8}{:>9}{:>9}{:>9}", "milliseconds", "count", "median", "99 %", "worst");
        print_times("acknowledgement to in force", &self.figures.in_force_ms);
        print_times("order sent again to acknowledged", &self.figures.resent_ms);
        print_times("machine taken away to full electorate", &self.figures.electorate_ms);
        print_times("core node started to caught up", &self.figures.core_caught_up_ms);
        print_times("data plane started to caught up", &self.figures.data_plane_caught_up_ms);
    }

    fn print_played(&self) {
        println!("\n| core by zone, losses borne | seeds |\n| --- | --- |");
        self.layouts.iter().for_each(|(layout, seeds)| println!("| {layout} | {seeds} |"));
        println!("\n| played | times | in seeds |\n| --- | --- | --- |");
        self.played.iter().for_each(|(kind, (times, seeds))| println!("| {kind} | {times} | {seeds} |"));
    }
}

/// Prints count, median, 99th percentile and the greatest of some times.
pub fn print_times(what: &str, times: &[u64]) {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let at = |share: f64| sorted.get(((sorted.len() as f64 - 1.0) * share) as usize).copied().unwrap_or(0);
    println!("{what:<58}{:>8}{:>9}{:>9}{:>9}", sorted.len(), at(0.5), at(0.99), at(1.0));
}

/// Changes that a machine misses while it is away.
const MISSED: [usize; 3] = [10, 100, 1_000];

/// When the scripts of the bounds begin, in milliseconds.
const BOUNDS_FROM: u64 = 6_000;

/// Time in milliseconds that a change takes at the most in a storm of them.
const STORM_PER_CHANGE: u64 = 240;

/// Length in milliseconds above which a script is played with fewer seeds.
const LONG_SCRIPT: u64 = 100_000;

/// A deployment of five core machines, one loss to be borne.
const SIZES: Sizes = Sizes {
    zones: &[2, 1, 1, 1],
    machines_lost: 1,
    zones_lost: 0,
    edges: 4,
    workers: 8,
    fencing: true,
    sync_ms: 5,
};

/// Measures the bounds and prints them. True where nothing broke.
pub fn bounds(seeds: u64, jobs: usize) -> bool {
    println!("{:<58}{:>8}{:>9}{:>9}{:>9}", "milliseconds", "count", "median", "99 %", "worst");
    let mut holds = true;
    let mut measure = |faults: Vec<(u64, Fault)>, ends_at: u64| {
        // A thousand changes take four minutes of virtual time: a tenth of the seeds.
        let seeds = if ends_at > LONG_SCRIPT { seeds.div_ceil(10) } else { seeds };
        let (figures, held) = play_scripts(seeds, jobs, &faults, ends_at);
        holds &= held;
        figures
    };
    let cut = |reach| {
        let partition = Partition { reach, ..Partition::of_one(Pick::Leader, 20_000) };
        let company = Company { meet: true, race: true, hard: true, drain: true, lure: true };
        let cut = Fault::Accompanied(Box::new(Fault::Partition(partition)), company);
        vec![(BOUNDS_FROM, Fault::AfterSending(Box::new(cut)))]
    };
    let cut_off: Vec<Figures> =
        [Reach::Core, Reach::Near, Reach::All].into_iter().map(|reach| measure(cut(reach), 34_000)).collect();
    let last: Vec<u64> = cut_off.iter().map(|figures| figures.last_word_ms).collect();
    print_times("cut to last word of the machine cut off (worst a script)", &last);
    let lost = Fault::LoseAnswers { percent: 70, for_ms: 14_000 };
    print_times("order sent again to acknowledged", &measure(vec![(BOUNDS_FROM, lost)], 24_000).resent_ms);
    for planned in [false, true] {
        let replace = Fault::ReplaceCore { core: Pick::Oldest, planned };
        let figures = measure(vec![(BOUNDS_FROM, replace)], 20_000);
        let what = if planned { "planned end to full electorate" } else { "loss to full electorate" };
        print_times(what, &figures.electorate_ms);
    }
    for missed in MISSED {
        let for_ms = missed as u64 * STORM_PER_CHANGE;
        let storm = Fault::ChangeStorm { for_ms: for_ms + 4_000 };
        for emptied in [false, true] {
            let core = Pick::Number(3);
            let restart = match emptied {
                false => Fault::KillCore { core },
                true => Fault::WipeCore { core, others_lose_power: false },
            };
            let back = BOUNDS_FROM + for_ms - 1;
            let faults = vec![
                (BOUNDS_FROM, storm.clone()),
                (BOUNDS_FROM, Fault::FreezeCore { core, for_ms }),
                (BOUNDS_FROM, Fault::FreezeEdge { edge: 1, for_ms }),
                (back, restart),
                (back, Fault::KillAgent { edge: 1 }),
                (back, Fault::KillDataPlane { edge: 1 }),
            ];
            let figures = measure(faults, BOUNDS_FROM + for_ms + 12_000);
            println!(
                "about {missed} changes missed ({} in the run), file of a replica {} bytes",
                figures.changes_missed, figures.longest_file
            );
            let what = if emptied { "  core node with an empty disk" } else { "  core node with its disk" };
            print_times(&format!("{what}: start to caught up"), &figures.core_caught_up_ms);
            print_times("  data plane and agent: start to caught up", &figures.data_plane_caught_up_ms);
        }
    }
    print_times("acknowledgement to in force", &measure(Vec::new(), 30_000).in_force_ms);
    holds
}

/// Plays a script of faults with some seeds: what was measured, and whether nothing broke.
fn play_scripts(seeds: u64, jobs: usize, faults: &[(u64, Fault)], ends_at: u64) -> (Figures, bool) {
    let planned = |(at, fault): &(u64, Fault)| PlannedFault { at: *at, fault: fault.clone() };
    let faults: Vec<PlannedFault> = faults.iter().map(planned).collect();
    let plan = |seed| Plan {
        seed,
        sizes: SIZES,
        faults: faults.clone(),
        plain_from: 0,
        ends_at,
        flaw: None,
        narrated: false,
    };
    let (mut figures, mut holds) = (Figures::default(), true);
    for report in emulator::play_all(1..1 + seeds, jobs, plan) {
        if !report.holds() {
            println!("{report}");
            holds = false;
        }
        figures.add(&report.figures);
    }
    (figures, holds)
}
