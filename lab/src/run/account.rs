//! What a run has gathered, and what is worked out of it.

use super::tally::share;
use crate::boxes::Records;
use crate::load::{Fate, Planned, Try};
use crate::scenario::{Manner, Scenario};
use std::collections::{BTreeMap, HashMap};
use tokio::time::Instant;

/// Who comes back is met when it is handed on within this of the time told.
const MET_WITHIN_MS: f64 = 500.0;
/// Those who are told moments within this of each other are a crowd, in microseconds.
const CROWD_SPAN_US: u64 = 100_000;
/// Into how many parts a second is divided to tell when service was whole again.
const BINS_A_SECOND: f64 = 2.0;
/// Service is whole from this part of its usual share on.
const WHOLE_FROM: f64 = 0.8;

/// The end of what a subscriber wanted.
pub(super) struct End<'a> {
    pub(super) planned: &'a Planned,
    pub(super) fate: Fate,
    /// From the moment planned.
    pub(super) took_ms: f64,
}

/// How those who came back when told were met.
#[derive(Default)]
pub(super) struct Returns {
    pub(super) count: u64,
    /// Handed on within [`MET_WITHIN_MS`].
    pub(super) met: u64,
    pub(super) greatest_miss_ms: f64,
    /// The most that were told moments within [`CROWD_SPAN_US`].
    pub(super) greatest_crowd: u64,
}

impl Returns {
    /// Its figures, for hosts that can do so many requests a second.
    pub(super) fn figures(&self, capacity: f64) -> [(&'static str, f64); 4] {
        let can_pass = capacity / (1e6 / CROWD_SPAN_US as f64);
        [
            ("returns.count", self.count as f64),
            ("returns.met_share", share(self.met, self.count)),
            ("returns.greatest_miss_ms", self.greatest_miss_ms),
            ("returns.peak_to_capacity", self.greatest_crowd as f64 / can_pass),
        ]
    }
}

/// How many asked, and how many of them were served.
#[derive(Clone, Copy, Default)]
pub(super) struct Served {
    asked: u32,
    served: u32,
}

impl Served {
    pub(super) fn take(&mut self, fate: Fate) {
        self.asked += 1;
        self.served += u32::from(fate == Fate::Served);
    }

    /// The served share; no number where none asked.
    pub(super) fn share(self) -> f64 {
        share(self.served.into(), self.asked.into())
    }
}

/// What a run has gathered.
pub(super) struct Account<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) planned: &'a [Planned],
    pub(super) tries: &'a [Try],
    pub(super) records: &'a Records,
    pub(super) start: Instant,
    /// The rig's figures.
    pub(super) rig: BTreeMap<String, f64>,
    /// When the first fault began and the last one began or ended, in seconds.
    pub(super) faults_at: Option<(f64, f64)>,
}

impl Account<'_> {
    /// Each ask with the fate of its last try and the time from the moment planned to its end.
    pub(super) fn ends(&self) -> Vec<End<'_>> {
        let mut last: HashMap<u32, &Try> = HashMap::new();
        for one in self.tries {
            let known = last.entry(one.ask).or_insert(one);
            if one.number >= known.number {
                *known = one;
            }
        }
        last.into_values().map(|one| self.end(one)).collect()
    }

    fn end(&self, last: &Try) -> End<'_> {
        let planned = &self.planned[last.ask as usize];
        let waited_ms = (last.due - planned.at) as f64 / 1000.0;
        End { planned, fate: last.fate, took_ms: waited_ms + f64::from(last.took_ms) }
    }

    /// How those who came back when told were met.
    pub(super) fn returns(&self) -> Returns {
        let exact = |one: &&Try| {
            let group = &self.scenario.groups[self.planned[one.ask as usize].group];
            one.number > 0 && group.manner == Manner::Exactly
        };
        let mut returns = Returns::default();
        let mut crowds: HashMap<u64, u64> = HashMap::new();
        for one in self.tries.iter().filter(exact) {
            returns.count += 1;
            *crowds.entry(one.due / CROWD_SPAN_US).or_default() += 1;
            let Some(came) = self.records.came(one.id) else { continue };
            let late = (came - self.start).as_secs_f64() * 1000.0 - one.due as f64 / 1000.0;
            returns.greatest_miss_ms = returns.greatest_miss_ms.max(late);
            returns.met += u64::from(late <= MET_WITHIN_MS);
        }
        returns.greatest_crowd = crowds.values().max().copied().unwrap_or(0);
        returns
    }

    /// How long service took to be whole again after the last fault between processes began or ended, in milliseconds:
    /// until the end of the last half second in which fewer of the asks inside their quotas were served than four fifths
    /// of the share before the first fault. Asks of the run's last second do not count: they may not have ended.
    pub(super) fn whole_again_ms(&self) -> f64 {
        let Some((first, last)) = self.faults_at else { return f64::NAN };
        let bins = (self.scenario.seconds * BINS_A_SECOND) as usize;
        let mut by_bin = vec![Served::default(); bins + 1];
        let mut before = Served::default();
        for end in self.ends().iter().filter(|end| end.planned.in_quota) {
            let at = end.planned.at as f64 / 1e6;
            by_bin[((at * BINS_A_SECOND) as usize).min(bins)].take(end.fate);
            if at >= self.scenario.counted_from && at < first {
                before.take(end.fate);
            }
        }
        let usual = f64::from(before.served) / f64::from(before.asked.max(1));
        let short = |&n: &usize| by_bin[n].share() < WHOLE_FROM * usual;
        let from = (last * BINS_A_SECOND) as usize;
        let end = (from..bins.saturating_sub(2)).filter(short).max();
        end.map_or(0.0, |n| (((n + 1) as f64 / BINS_A_SECOND - last) * 1000.0).max(0.0))
    }
}
