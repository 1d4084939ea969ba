//! Records arranged for the checks: runs by request, troubles by target.

use crate::local_system::RunRecord;
use crate::soak::check::LIVENESS;
use crate::soak::record::{Observed, RequestStory, Target, Trouble, TroubleKind};
use std::collections::HashMap;
use std::fmt::Write;
use std::time::Duration;

/// What the checks look at.
pub(super) struct Context<'a> {
    pub(super) observed: &'a Observed,
    runs: HashMap<&'a str, Vec<&'a RunRecord>>,
    troubles: HashMap<&'a Target, Vec<&'a Trouble>>,
}

impl<'a> Context<'a> {
    pub(super) fn of(observed: &'a Observed) -> Context<'a> {
        let mut runs: HashMap<&str, Vec<&RunRecord>> = HashMap::new();
        for run in &observed.runs {
            runs.entry(&run.request_id).or_default().push(run);
        }
        let mut troubles: HashMap<&Target, Vec<&Trouble>> = HashMap::new();
        for trouble in &observed.troubles {
            troubles.entry(&trouble.target).or_default().push(trouble);
        }
        Context { observed, runs, troubles }
    }

    /// All arrivals of a request at workers, refused ones too.
    pub(super) fn arrivals(&self, id: &str) -> &[&'a RunRecord] {
        self.runs.get(id).map_or(&[], Vec::as_slice)
    }

    /// Arrivals that a worker began to work on.
    pub(super) fn runs(&self, id: &str) -> impl Iterator<Item = &'a RunRecord> + '_ {
        self.arrivals(id).iter().copied().filter(|run| !run.stamp.is_empty())
    }

    pub(super) fn troubles_of(&self, target: &Target) -> &[&'a Trouble] {
        self.troubles.get(target).map_or(&[], Vec::as_slice)
    }

    /// The troubles of a request's edge and of all workers that it reached, which strike from [`LIVENESS`] before it
    /// to its end.
    pub(super) fn troubles_around(&self, story: &RequestStory) -> Vec<&'a Trouble> {
        let from = story.sent.saturating_sub(LIVENESS);
        let workers = self.arrivals(&story.id).iter().map(|run| Target::Worker(run.worker.clone()));
        let mut targets: Vec<Target> = workers.chain([Target::Machine(story.edge.clone())]).collect();
        targets.sort_by_key(|target| format!("{target:?}"));
        targets.dedup();
        let troubles = targets.iter().flat_map(|target| self.troubles_of(target).iter().copied());
        troubles.filter(|trouble| trouble.overlaps(from, story.ended)).collect()
    }

    /// Whether unplanned trouble excuses a request's end.
    pub(super) fn is_excused(&self, story: &RequestStory) -> bool {
        self.troubles_around(story).iter().any(|trouble| trouble.kind.is_unplanned())
    }

    /// Whether unplanned trouble struck any worker from [`LIVENESS`] before a request to its end: it may have been sent on
    /// a connection that the worker closed unread, so that the worker knows nothing of it.
    pub(super) fn a_worker_was_struck(&self, story: &RequestStory) -> bool {
        let from = story.sent.saturating_sub(LIVENESS);
        self.observed.troubles.iter().any(|trouble| {
            let is_worker = matches!(trouble.target, Target::Worker(_));
            is_worker && trouble.kind.is_unplanned() && trouble.overlaps(from, story.ended)
        })
    }

    /// Whether the soak itself stood still in a span, so that its times tell nothing.
    pub(super) fn stalled(&self, from: Duration, until: Duration) -> bool {
        self.stalls(from, until).next().is_some()
    }

    fn stalls(&self, from: Duration, until: Duration) -> impl Iterator<Item = &'a (Duration, Duration)> {
        self.observed.stalls.iter().filter(move |(began, ended)| *began <= until && *ended >= from)
    }

    /// The first SIGTERM of a request's edge before its end whose process had not been started again at its sending.
    pub(super) fn sigterm(&self, story: &RequestStory) -> Option<Duration> {
        let troubles = self.troubles_of(&Target::Machine(story.edge.clone()));
        let terms = troubles.iter().filter(|trouble| {
            trouble.kind == TroubleKind::Terminate && trouble.overlaps(story.sent, story.ended)
        });
        terms.map(|trouble| trouble.from).min()
    }

    /// A request with all times that matter.
    pub(super) fn tell(&self, story: &RequestStory) -> String {
        let mut told = format!(
            "{:?} request {} at {} ({} before it on its connection): sent {}, ended {} as {:?}",
            story.class,
            story.id,
            story.edge,
            story.earlier_on_connection,
            seconds(story.sent),
            seconds(story.ended),
            story.ending
        );
        // Writing to a String cannot fail.
        let _ = write!(told, ", deadline after {}", seconds(story.deadline));
        if let Some(status) = story.status {
            let _ = write!(told, ", status {status} stamp `{}`", story.stamp);
        }
        for run in self.arrivals(&story.id) {
            let ended = run.ended.map_or_else(|| "never".to_owned(), seconds);
            let _ = write!(told, "; {} from {} to {ended}: {:?}", run.worker, seconds(run.started), run.end);
        }
        for trouble in self.troubles_around(story) {
            let _ = write!(told, "; {:?} of {:?} at {}", trouble.kind, trouble.target, seconds(trouble.from));
        }
        for (from, until) in self.stalls(story.sent, story.ended) {
            let _ =
                write!(told, "; the soak itself stood still from {} to {}", seconds(*from), seconds(*until));
        }
        told
    }
}

pub(super) fn seconds(time: Duration) -> String {
    format!("{:.3} s", time.as_secs_f64())
}
