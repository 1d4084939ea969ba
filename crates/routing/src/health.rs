//! Health of a worker as its responses show it: failures, ejection, trials, and backoff.
//!
//! An ejected worker gets no requests until its ejection ends; then a single trial request (the half-open state of a
//! circuit breaker) decides whether it returns or is ejected for twice as long. Backoff is milder: after a failed
//! connection or a rejection by a full worker, other workers are preferred for a moment.

use crate::attempt::{Attempt, AttemptKey, AttemptOutcome};

/// First and longest duration of an ejection.
const EJECTION_MS: (u64, u64) = (1_000, 8_000);
/// Least decayed count of failures for an ejection by failure rate.
const MIN_FAILURES: f64 = 2.6;
/// Failures without a success between them that eject regardless of the failure rate: a worker that froze after
/// serving well would keep a low failure rate for long.
const CONSECUTIVE_FAILURES: u32 = 3;
/// Failure rate of the rest of the service from which consecutive failures are no evidence against a single worker.
const SERVICE_FAILURE_RATE: f64 = 0.3;
/// Least failure rate for an ejection.
const MIN_FAILURE_RATE: f64 = 0.3;
/// Least failure rate for an ejection, as a multiple of the failure rate of the rest of the service.
const FAILURE_RATE_FACTOR: f64 = 3.0;
/// A worker with this failure rate may be ejected however high that of the rest of the service is.
const MAX_REQUIRED_FAILURE_RATE: f64 = 0.95;
/// Distinct clients or sessions that must have seen the failures.
const MIN_FAILING_CLIENTS: usize = 2;
/// Half-life of the outcome counts.
const OUTCOME_HALF_LIFE_MS: f64 = 6_000.0;
/// First and longest backoff after a failed connection.
const CONNECT_BACKOFF_MS: (u64, u64) = (300, 4_800);
/// First and longest backoff after a rejection by a full worker.
const FULL_BACKOFF_MS: (u64, u64) = (50, 150);
/// Time after an ejection from which the next one starts at the shortest duration again.
const EJECTION_RESET_MS: u64 = 20_000;
/// How recently a suspected worker must have responded to be used.
const RECENT_RESPONSE_MS: u64 = 3_000;

/// Whether a worker may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Eligibility {
    /// It may be chosen.
    Eligible,
    /// Others are preferred until the time given, because connections to it failed.
    Unreachable(u64),
    /// Others are preferred until the time given, because it was full.
    Full(u64),
    /// It gets no requests until the time given (`u64::MAX`: until its trial ends).
    Ejected(u64),
}

/// Exponentially decaying counts of outcomes.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct OutcomeCounts {
    successes: f64,
    failures: f64,
    updated_at: u64,
}

impl OutcomeCounts {
    /// Adds one outcome.
    pub fn add(&mut self, now: u64, failure: bool) {
        self.decay(now);
        if failure {
            self.failures += 1.0;
        } else {
            self.successes += 1.0;
        }
    }

    /// Failures and total outcomes, decayed to `now`.
    pub fn failures_and_total(&self, now: u64) -> (f64, f64) {
        let mut counts = *self;
        counts.decay(now);
        (counts.failures, counts.failures + counts.successes)
    }

    fn decay(&mut self, now: u64) {
        let age = now.saturating_sub(self.updated_at) as f64;
        let factor = (-age * std::f64::consts::LN_2 / OUTCOME_HALF_LIFE_MS).exp();
        self.successes *= factor;
        self.failures *= factor;
        self.updated_at = now.max(self.updated_at);
    }
}

/// Exponential backoff: its length doubles with each consecutive failure.
#[derive(Debug, Default, Clone, Copy)]
struct Backoff {
    until: u64,
    consecutive: u32,
}

impl Backoff {
    fn extend(&mut self, now: u64, bounds: (u64, u64)) {
        let length = (bounds.0 << self.consecutive.min(10)).min(bounds.1);
        // Failures of concurrent requests count as one failure, not as several consecutive ones.
        if now >= self.until {
            self.consecutive += 1;
        }
        self.until = self.until.max(now + length);
    }
}

/// Health of one worker.
#[derive(Debug, Default)]
pub(crate) struct Health {
    counts: OutcomeCounts,
    /// Clients or sessions that saw failures since the counts were last reset, at most `MIN_FAILING_CLIENTS`.
    failing_clients: Vec<u64>,
    consecutive_failures: u32,
    connect_backoff: Backoff,
    full_backoff: Backoff,
    ejected_until: Option<u64>,
    ejected_at: u64,
    ejection_ms: u64,
    trial: Option<AttemptKey>,
    last_response_at: Option<u64>,
}

impl Health {
    /// Whether it may be chosen at `now`.
    pub fn eligibility(&self, now: u64) -> Eligibility {
        if self.trial.is_some() {
            return Eligibility::Ejected(u64::MAX);
        }
        match self.ejected_until {
            Some(until) if now < until => Eligibility::Ejected(until),
            _ if now < self.connect_backoff.until => Eligibility::Unreachable(self.connect_backoff.until),
            _ if now < self.full_backoff.until => Eligibility::Full(self.full_backoff.until),
            _ => Eligibility::Eligible,
        }
    }

    /// Whether it is ejected; it stays so until its trial has ended.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// When its ejection ends, if it is ejected.
    pub fn ejected_until(&self) -> Option<u64> {
        self.ejected_until
    }

    /// Ends its ejection without a trial.
    pub fn end_ejection(&mut self, now: u64) {
        self.ejected_until = None;
        self.reset_outcomes(now);
    }

    /// Whether a trial is allowed before the end of a long ejection, if no other worker is left.
    pub fn early_trial_due(&self, now: u64) -> bool {
        self.is_ejected() && self.trial.is_none() && now >= self.ejected_at + EJECTION_MS.0
    }

    /// Whether it responded recently and is neither ejected nor in backoff.
    pub fn responded_recently(&self, now: u64) -> bool {
        let recent = self.last_response_at.is_some_and(|at| now.saturating_sub(at) <= RECENT_RESPONSE_MS);
        recent && self.eligibility(now) == Eligibility::Eligible && !self.is_ejected()
    }

    /// Records that a request was sent; returns whether it is the trial of an ejected worker.
    pub fn request_sent(&mut self, attempt: AttemptKey) -> bool {
        let is_trial = self.is_ejected() && self.trial.is_none();
        if is_trial {
            self.trial = Some(attempt);
        }
        is_trial
    }

    /// Records that a part of a response arrived.
    pub fn response_received(&mut self, now: u64) {
        self.last_response_at = Some(now);
        self.connect_backoff = Backoff::default();
    }

    /// Records the outcome of an attempt and returns whether the worker is to be ejected, given `others`, the
    /// failures and total outcomes of the rest of its service.
    pub fn attempt_finished(
        &mut self,
        now: u64,
        attempt: &Attempt,
        outcome: AttemptOutcome,
        others: (f64, f64),
    ) -> bool {
        match outcome {
            AttemptOutcome::Success => self.record_success(now),
            AttemptOutcome::WorkerError(status) if status < 500 => self.record_success(now),
            AttemptOutcome::WorkerError(_) | AttemptOutcome::Broken | AttemptOutcome::TimedOut => {
                self.record_failure(now, attempt.client);
            }
            AttemptOutcome::NotExecuted(421) if attempt.without_model => self.back_off_connecting(now),
            AttemptOutcome::NotExecuted(421) | AttemptOutcome::Cancelled => {}
            AttemptOutcome::NotExecuted(_) => self.full_backoff.extend(now, FULL_BACKOFF_MS),
            AttemptOutcome::ConnectFailed => self.back_off_connecting(now),
        }
        let failure = is_failure(outcome);
        if attempt.is_trial {
            return self.trial_finished(now, outcome);
        }
        failure && !self.is_ejected() && self.is_outlier(now, others)
    }

    /// Ejects it; an ejection soon after another lasts twice as long, up to the bound.
    pub fn eject(&mut self, now: u64) {
        let reset = now.saturating_sub(self.ejected_at) > EJECTION_RESET_MS;
        self.ejection_ms = if reset || self.ejection_ms == 0 {
            EJECTION_MS.0
        } else {
            (self.ejection_ms * 2).min(EJECTION_MS.1)
        };
        self.ejected_at = now;
        self.ejected_until = Some(now + self.ejection_ms);
        self.reset_outcomes(now);
    }

    fn record_success(&mut self, now: u64) {
        self.counts.add(now, false);
        self.consecutive_failures = 0;
        self.response_received(now);
        self.full_backoff = Backoff::default();
    }

    fn record_failure(&mut self, now: u64, client: u64) {
        self.counts.add(now, true);
        self.consecutive_failures += 1;
        if self.failing_clients.len() < MIN_FAILING_CLIENTS && !self.failing_clients.contains(&client) {
            self.failing_clients.push(client);
        }
    }

    fn reset_outcomes(&mut self, now: u64) {
        self.trial = None;
        self.counts = OutcomeCounts { updated_at: now, ..OutcomeCounts::default() };
        self.failing_clients.clear();
        self.consecutive_failures = 0;
    }

    fn back_off_connecting(&mut self, now: u64) {
        self.connect_backoff.extend(now, CONNECT_BACKOFF_MS);
    }

    /// Ends the trial and returns whether the worker is to be ejected again. A response ends the ejection; an
    /// outcome that is no evidence leaves it to the next trial.
    fn trial_finished(&mut self, now: u64, outcome: AttemptOutcome) -> bool {
        self.trial = None;
        if is_failure(outcome) || outcome == AttemptOutcome::ConnectFailed {
            return true;
        }
        let responded = matches!(outcome, AttemptOutcome::Success | AttemptOutcome::WorkerError(_));
        if responded {
            self.end_ejection(now);
        }
        false
    }

    fn is_outlier(&self, now: u64, others: (f64, f64)) -> bool {
        let (failures, total) = self.counts.failures_and_total(now);
        let (other_failures, other_total) = others;
        // One success is added to the others, so that the rate is defined in a service with one worker too.
        let others_rate = other_failures / (other_total + 1.0);
        let required = MIN_FAILURE_RATE.max(FAILURE_RATE_FACTOR * others_rate).min(MAX_REQUIRED_FAILURE_RATE);
        let by_rate = failures >= MIN_FAILURES && failures / total >= required;
        let by_consecutive =
            self.consecutive_failures >= CONSECUTIVE_FAILURES && others_rate < SERVICE_FAILURE_RATE;
        (by_rate || by_consecutive) && self.failing_clients.len() >= MIN_FAILING_CLIENTS
    }

    /// Decayed counts of failures and of all outcomes.
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
