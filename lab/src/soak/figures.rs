//! Counts of what a run has seen.

use super::check::excuses;
use super::record::{Ending, Observed, TroubleKind};
use std::collections::{BTreeMap, HashSet};
use std::fmt;

/// Counts of a run.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Figures {
    /// Requests.
    pub requests: usize,
    /// Requests by how they ended.
    pub endings: BTreeMap<String, usize>,
    /// Cut requests that are not held against the system, by excuse.
    pub excused: BTreeMap<String, usize>,
    /// Repeatable requests that were refused after a run, which no rule forbids.
    pub refused_after_a_run: usize,
    /// Runs at workers, and what they refused with `Not-Executed`.
    pub runs: (usize, usize),
    /// The most connections that one worker had open.
    pub most_connections: usize,
    /// Times in which the soak itself stood still.
    pub stalls: usize,
    /// Troubles by kind.
    pub troubles: BTreeMap<String, usize>,
    /// Changes sent and acknowledged.
    pub changes: (usize, usize),
    /// Probes answered.
    pub probes: usize,
    /// Reads answered during the run.
    pub reads: usize,
}

impl Figures {
    /// The counts.
    pub fn of(observed: &Observed) -> Figures {
        let mut figures = Figures {
            requests: observed.requests.len(),
            changes: (
                observed.changes.len(),
                observed.changes.iter().filter(|change| change.acknowledged().is_some()).count(),
            ),
            excused: excuses(observed).into_iter().map(|(why, count)| (format!("{why:?}"), count)).collect(),
            stalls: observed.stalls.len(),
            most_connections: observed.most_connections,
            probes: observed.probes.len(),
            reads: observed.reads.len(),
            ..Figures::default()
        };
        let runs = observed.runs.iter().filter(|run| !run.stamp.is_empty()).count();
        figures.runs = (runs, observed.runs.len() - runs);
        let ran: HashSet<&str> = observed
            .runs
            .iter()
            .filter(|run| !run.stamp.is_empty())
            .map(|run| run.request_id.as_str())
            .collect();
        for story in &observed.requests {
            let ending = match (story.ending, story.status) {
                (Ending::Failed | Ending::Refused, Some(status)) => format!("{:?} {status}", story.ending),
                (ending, _) => format!("{ending:?}"),
            };
            *figures.endings.entry(ending).or_default() += 1;
            let is_refused = story.ending == Ending::Refused && story.class.is_repeatable();
            figures.refused_after_a_run += usize::from(is_refused && ran.contains(story.id.as_str()));
        }
        for trouble in &observed.troubles {
            *figures.troubles.entry(format!("{:?}", trouble.kind)).or_default() += 1;
        }
        figures
    }

    /// Troubles of a kind.
    pub fn troubles_of(&self, kind: TroubleKind) -> usize {
        self.troubles.get(&format!("{kind:?}")).copied().unwrap_or_default()
    }
}

impl fmt::Display for Figures {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let list = |counts: &BTreeMap<String, usize>| {
            counts.iter().map(|(name, count)| format!("{name}: {count}")).collect::<Vec<_>>().join(", ")
        };
        write!(out, "{} requests ({})", self.requests, list(&self.endings))?;
        write!(out, "; {} runs, {} refused by workers", self.runs.0, self.runs.1)?;
        write!(out, ", {} connections to one at the most", self.most_connections)?;
        write!(out, "; cuts excused: {}", list(&self.excused))?;
        write!(out, "; {} refused after a run", self.refused_after_a_run)?;
        write!(out, "; {} of {} changes acknowledged", self.changes.1, self.changes.0)?;
        write!(out, "; {} probes, {} reads", self.probes, self.reads)?;
        write!(out, "; {} stalls of the soak itself", self.stalls)?;
        write!(out, "; troubles: {}", list(&self.troubles))
    }
}
