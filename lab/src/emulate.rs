//! The commands of the emulator: seeds, one seed told, and measured bounds.

use std::collections::BTreeMap;
use switchhill_lab::emulator::figures::Figures;
use switchhill_lab::emulator::{self, Report};

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
