//! How long requests run at workers, learned from whole answers.
//!
//! A data plane that has been told to end takes a request only if it can be expected to end before the process does. The
//! real length of a generation is not known beforehand, only the most tokens that it may put out. What is learned is
//! therefore the time to the first byte and the time for a token, each as a smoothed mean with a smoothed mean
//! deviation (the estimator of RFC 6298), and the expectation is an upper bound: the most tokens at a slow pace.

use super::policy;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;
use switchhill_routing::RequestProfile;

/// Weight of a new sample in the mean (RFC 6298).
const MEAN_WEIGHT: f64 = 1.0 / 8.0;
/// Weight of a new sample in the mean deviation (RFC 6298).
const DEVIATION_WEIGHT: f64 = 1.0 / 4.0;
/// Mean deviations that the upper bound lies above the mean (RFC 6298).
const DEVIATIONS: f64 = 4.0;
/// Kinds of requests that are kept at most; further ones are not learned, so their time limits count.
const MOST_KINDS: usize = 4096;

/// A whole answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct RunSample {
    /// From the attempt's start to the first byte of the answer.
    pub(crate) first_byte: Duration,
    /// From the first byte to the last.
    pub(crate) rest: Duration,
    /// Tokens that came after the first byte; `None` where the answer is no stream.
    pub(crate) tokens: Option<u64>,
}

/// Run times by kind of request.
#[derive(Debug, Default)]
pub(crate) struct RunTimes {
    kinds: RefCell<HashMap<RunKind, RunTime>>,
}

/// Requests that run alike.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct RunKind {
    service: String,
    model: Option<String>,
    aim_ms: u64,
}

#[derive(Debug, Default)]
struct RunTime {
    samples: u32,
    first_byte_ms: Smoothed,
    token_ms: Smoothed,
    is_stream: bool,
}

/// Smoothed mean and mean deviation.
#[derive(Debug, Default)]
struct Smoothed {
    value: Option<(f64, f64)>,
}

impl RunTimes {
    /// Learns from a whole answer.
    pub(crate) fn learn(&self, profile: &RequestProfile, sample: RunSample) {
        let mut kinds = self.kinds.borrow_mut();
        let kind = RunKind::of(profile);
        if kinds.len() < MOST_KINDS || kinds.contains_key(&kind) {
            kinds.entry(kind).or_default().learn(sample);
        }
    }

    /// An upper bound of the time that a request runs, or `None` where too little is known of its kind.
    pub(crate) fn upper_bound(&self, profile: &RequestProfile) -> Option<Duration> {
        let kinds = self.kinds.borrow();
        kinds.get(&RunKind::of(profile))?.upper_bound(profile.output_tokens)
    }
}

impl RunKind {
    fn of(profile: &RequestProfile) -> RunKind {
        RunKind { service: profile.service.clone(), model: profile.model.clone(), aim_ms: profile.aim_ms }
    }
}

impl RunTime {
    fn learn(&mut self, sample: RunSample) {
        self.samples = self.samples.saturating_add(1);
        self.is_stream |= sample.tokens.is_some();
        match sample.tokens {
            Some(tokens) => {
                self.first_byte_ms.add(milliseconds(sample.first_byte));
                if tokens > 0 {
                    self.token_ms.add(milliseconds(sample.rest) / tokens as f64);
                }
            }
            None => self.first_byte_ms.add(milliseconds(sample.first_byte + sample.rest)),
        }
    }

    fn upper_bound(&self, most_tokens: u32) -> Option<Duration> {
        if self.samples < policy::LEAST_RUN_SAMPLES {
            return None;
        }
        let tokens_ms = match (self.is_stream, most_tokens) {
            (false, _) => 0.0,
            // A stream of unknown length.
            (true, 0) => return None,
            (true, tokens) => f64::from(tokens) * self.token_ms.upper_bound()?,
        };
        Some(Duration::from_secs_f64((self.first_byte_ms.upper_bound()? + tokens_ms) / 1000.0))
    }
}

impl Smoothed {
    fn add(&mut self, sample: f64) {
        self.value = Some(match self.value {
            None => (sample, sample / 2.0),
            Some((mean, deviation)) => (
                mean + MEAN_WEIGHT * (sample - mean),
                deviation + DEVIATION_WEIGHT * ((sample - mean).abs() - deviation),
            ),
        });
    }

    fn upper_bound(&self) -> Option<f64> {
        let (mean, deviation) = self.value?;
        Some(mean * policy::RUN_TIME_SLACK + DEVIATIONS * deviation)
    }
}

fn milliseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1000.0
}
