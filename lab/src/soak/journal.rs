//! The journal of a run that all its parts write into.

use super::record::{Observed, Target, Trouble, TroubleKind};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How often the soak looks whether it runs.
const PULSE: Duration = Duration::from_millis(50);

/// Lateness from which on it counts as a stall.
const STALL: Duration = Duration::from_millis(200);

/// A run's clock and what was seen so far.
#[derive(Debug, Clone)]
pub(super) struct Journal {
    began: Instant,
    seen: Arc<Mutex<Observed>>,
}

impl Journal {
    /// An empty journal of a run that begins now.
    pub(super) fn begin(grace: Duration) -> Journal {
        let seen = Observed { grace, ..Observed::default() };
        Journal { began: Instant::now(), seen: Arc::new(Mutex::new(seen)) }
    }

    /// The run's beginning.
    pub(super) fn began(&self) -> Instant {
        self.began
    }

    /// Time since the run's beginning.
    pub(super) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// What was seen, for one entry; not to be kept over a wait.
    pub(super) fn seen(&self) -> MutexGuard<'_, Observed> {
        self.seen.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A trouble begins; the number is for [`Journal::trouble_ends`].
    pub(super) fn trouble(&self, target: Target, kind: TroubleKind) -> usize {
        let from = self.now();
        let mut seen = self.seen();
        seen.troubles.push(Trouble { target, kind, from, until: None });
        seen.troubles.len() - 1
    }

    /// A trouble that has begun ends.
    pub(super) fn trouble_ends(&self, number: usize) {
        let now = self.now();
        if let Some(trouble) = self.seen().troubles.get_mut(number) {
            trouble.until = trouble.until.or(Some(now));
        }
    }

    /// Watches for times in which the soak itself does not run.
    pub(super) async fn watch_for_stalls(self) {
        let mut before = self.now();
        loop {
            tokio::time::sleep(PULSE).await;
            let now = self.now();
            if now - before > PULSE + STALL {
                self.seen().stalls.push((before, now));
            }
            before = now;
        }
    }

    /// A trouble of one moment.
    pub(super) fn trouble_of_a_moment(&self, target: Target, kind: TroubleKind) {
        let number = self.trouble(target, kind);
        self.trouble_ends(number);
    }
}
