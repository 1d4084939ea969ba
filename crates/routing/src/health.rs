//! What a worker's answers say about its health: failures, ejection, trials, and rests.
//!
//! An ejected worker gets nothing until its ejection ends; then a single trial request decides whether it
//! returns or is ejected for twice as long. A rest is milder: after a refused connection or a rejection by
//! a full worker, others are preferred for a moment.

use crate::attempt::{Attempt, AttemptKey, AttemptOutcome};

/// First and longest ejection.
const EJECTION_MS: (u64, u64) = (1_000, 8_000);
/// Failures within the memory of the window that an ejection needs.
const EJECTION_FAILURES: f64 = 2.6;
/// Failures without a success between them that eject, whatever the share: a worker that served well until
/// it froze would keep a good share for long.
const EJECTION_IN_ROW: u32 = 3;
/// Failure share of the rest of the service from which failures in a row say nothing of one worker.
const SERVICE_FAILS_SHARE: f64 = 0.3;
/// Least failure share of an ejected worker.
const EJECTION_SHARE: f64 = 0.3;
/// How many times the share of the rest of its service a worker's failure share must be.
const EJECTION_TIMES_OTHERS: f64 = 3.0;
/// A worker with this failure share may be ejected however badly the others fare.
const MOST_SHARE_NEEDED: f64 = 0.95;
/// Distinct clients or sessions that must have seen the failures.
const EJECTION_ORIGINS: usize = 2;
/// Time in which counts of the window halve.
const WINDOW_HALF_LIFE_MS: f64 = 6_000.0;
/// First and longest rest after a failed connection.
const CONNECT_REST_MS: (u64, u64) = (300, 4_800);
/// First and longest rest after a rejection by a full worker.
const FULL_REST_MS: (u64, u64) = (50, 150);
/// Time after an ejection from which the next one starts short again.
const CALM_AFTER_MS: u64 = 20_000;
/// How recently a suspected worker must have answered to be used.
const GOOD_EVIDENCE_MS: u64 = 3_000;

/// Whether a worker may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Nothing speaks against it.
    Good,
    /// Others are preferred until the time given: its connections failed.
    Unreachable(u64),
    /// Others are preferred until the time given: it was full.
    Full(u64),
    /// It gets nothing until the time given (`u64::MAX`: until its trial ends).
    Ejected(u64),
}

/// Decaying counts of outcomes.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct OutcomeCounts {
    successes: f64,
    failures: f64,
    at: u64,
}

impl OutcomeCounts {
    /// Adds one outcome.
    pub fn add(&mut self, now: u64, failure: bool) {
        self.fade(now);
        if failure {
            self.failures += 1.0;
        } else {
            self.successes += 1.0;
        }
    }

    /// Failures and all outcomes, faded to `now`.
    pub fn failures_and_total(&self, now: u64) -> (f64, f64) {
        let mut counts = *self;
        counts.fade(now);
        (counts.failures, counts.failures + counts.successes)
    }

    fn fade(&mut self, now: u64) {
        let age = now.saturating_sub(self.at) as f64;
        let factor = (-age * std::f64::consts::LN_2 / WINDOW_HALF_LIFE_MS).exp();
        self.successes *= factor;
        self.failures *= factor;
        self.at = now.max(self.at);
    }
}

/// A pause that doubles with each failure in a row.
#[derive(Debug, Default, Clone, Copy)]
struct Rest {
    until: u64,
    in_row: u32,
}

impl Rest {
    fn extend(&mut self, now: u64, bounds: (u64, u64)) {
        let length = (bounds.0 << self.in_row.min(10)).min(bounds.1);
        // Failures of requests that were under way together are one failure, not several in a row.
        if now >= self.until {
            self.in_row += 1;
        }
        self.until = self.until.max(now + length);
    }
}

/// Health of one worker as its answers show it.
#[derive(Debug, Default)]
pub(crate) struct Health {
    counts: OutcomeCounts,
    /// Clients or sessions that saw failures since the last calm, up to as many as an ejection needs.
    origins: Vec<u64>,
    in_row: u32,
    unreachable: Rest,
    full: Rest,
    ejected_until: Option<u64>,
    ejected_at: u64,
    ejection_ms: u64,
    trial: Option<AttemptKey>,
    last_good_at: Option<u64>,
}

impl Health {
    /// Whether it may be chosen at `now`.
    pub fn standing(&self, now: u64) -> Standing {
        if self.trial.is_some() {
            return Standing::Ejected(u64::MAX);
        }
        match self.ejected_until {
            Some(until) if now < until => Standing::Ejected(until),
            _ if now < self.unreachable.until => Standing::Unreachable(self.unreachable.until),
            _ if now < self.full.until => Standing::Full(self.full.until),
            _ => Standing::Good,
        }
    }

    /// Whether it is ejected, its trial included.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// When its ejection ends, if it is ejected.
    pub fn ejected_until(&self) -> Option<u64> {
        self.ejected_until
    }

    /// Ends its ejection without a trial.
    pub fn release(&mut self, now: u64) {
        self.ejected_until = None;
        self.forget_outcomes(now);
    }

    /// Whether a trial is allowed before the end of a long ejection, if no other worker is left.
    pub fn early_trial_due(&self, now: u64) -> bool {
        self.is_ejected() && self.trial.is_none() && now >= self.ejected_at + EJECTION_MS.0
    }

    /// Whether an answer came lately and nothing has failed since.
    pub fn has_good_evidence(&self, now: u64) -> bool {
        let recent = self.last_good_at.is_some_and(|at| now.saturating_sub(at) <= GOOD_EVIDENCE_MS);
        recent && self.standing(now) == Standing::Good && !self.is_ejected()
    }

    /// Notes a request sent; returns whether it is the trial of an ejected worker.
    pub fn sent(&mut self, attempt: AttemptKey) -> bool {
        let is_trial = self.is_ejected() && self.trial.is_none();
        if is_trial {
            self.trial = Some(attempt);
        }
        is_trial
    }

    /// Notes that bytes of an answer came.
    pub fn heard(&mut self, now: u64) {
        self.last_good_at = Some(now);
        self.unreachable = Rest::default();
    }

    /// Takes in the outcome of an attempt and returns whether the worker now looks faulty next to `others`,
    /// the failures and outcomes of the rest of its service.
    pub fn finished(
        &mut self,
        now: u64,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        others: (f64, f64),
    ) -> bool {
        match outcome {
            AttemptOutcome::Success => self.succeeded(now),
            AttemptOutcome::WorkerError(status) if status < 500 => self.succeeded(now),
            AttemptOutcome::WorkerError(_) | AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                self.failed(now, attempt.origin);
            }
            AttemptOutcome::NotExecuted(421) if attempt.plain => self.unreachable(now),
            AttemptOutcome::NotExecuted(421) | AttemptOutcome::Cancelled => {}
            AttemptOutcome::NotExecuted(_) => self.full.extend(now, FULL_REST_MS),
            AttemptOutcome::ConnectFailed => self.unreachable(now),
        }
        let failure = is_failure(outcome);
        if attempt.trial {
            return self.trial_finished(now, outcome);
        }
        failure && !self.is_ejected() && self.looks_faulty(now, others)
    }

    /// Ejects it; each ejection soon after another lasts twice as long.
    pub fn eject(&mut self, now: u64) {
        let calm = now.saturating_sub(self.ejected_at) > CALM_AFTER_MS;
        self.ejection_ms = if calm || self.ejection_ms == 0 {
            EJECTION_MS.0
        } else {
            (self.ejection_ms * 2).min(EJECTION_MS.1)
        };
        self.ejected_at = now;
        self.ejected_until = Some(now + self.ejection_ms);
        self.forget_outcomes(now);
    }

    fn succeeded(&mut self, now: u64) {
        self.counts.add(now, false);
        self.in_row = 0;
        self.heard(now);
        self.full = Rest::default();
    }

    fn failed(&mut self, now: u64, origin: u64) {
        self.counts.add(now, true);
        self.in_row += 1;
        if self.origins.len() < EJECTION_ORIGINS && !self.origins.contains(&origin) {
            self.origins.push(origin);
        }
    }

    fn forget_outcomes(&mut self, now: u64) {
        self.trial = None;
        self.counts = OutcomeCounts { at: now, ..OutcomeCounts::default() };
        self.origins.clear();
        self.in_row = 0;
    }

    fn unreachable(&mut self, now: u64) {
        self.unreachable.extend(now, CONNECT_REST_MS);
    }

    /// A failed trial asks for another ejection; a good one ends the ejection.
    fn trial_finished(&mut self, now: u64, outcome: AttemptOutcome) -> bool {
        self.trial = None;
        if is_failure(outcome) || outcome == AttemptOutcome::ConnectFailed {
            return true;
        }
        let answered = matches!(outcome, AttemptOutcome::Success | AttemptOutcome::WorkerError(_));
        if answered {
            self.release(now);
        }
        false
    }

    fn looks_faulty(&self, now: u64, others: (f64, f64)) -> bool {
        let (failures, total) = self.counts.failures_and_total(now);
        let (other_failures, other_total) = others;
        // One success is added to the others, so that a service with one worker has a share too.
        let others_share = other_failures / (other_total + 1.0);
        let needed = EJECTION_SHARE.max(EJECTION_TIMES_OTHERS * others_share).min(MOST_SHARE_NEEDED);
        let by_share = failures >= EJECTION_FAILURES && failures / total >= needed;
        let by_row = self.in_row >= EJECTION_IN_ROW && others_share < SERVICE_FAILS_SHARE;
        (by_share || by_row) && self.origins.len() >= EJECTION_ORIGINS
    }

    /// Failures and outcomes lately.
    pub fn failures_and_total(&self, now: u64) -> (f64, f64) {
        self.counts.failures_and_total(now)
    }
}

/// Whether the outcome counts against the worker.
pub(crate) fn is_failure(outcome: AttemptOutcome) -> bool {
    match outcome {
        AttemptOutcome::WorkerError(status) => status >= 500,
        AttemptOutcome::Broken | AttemptOutcome::TimedOut => true,
        _ => false,
    }
}
