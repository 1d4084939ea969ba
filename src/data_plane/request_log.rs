//! One line of the log for each request that was answered late, refused, or not answered whole.
//!
//! The line tells where the time went: the wait for a worker, the wait for the first byte, the longest pause of a
//! stream. Lines are bounded by [`LogRateLimiter`], so that a day on which everything is late costs no more than this.

use super::exchange::{AttemptHistory, Exchange};
use super::replies::LocalReply;
use std::cell::Cell;
use std::fmt;
use std::time::Duration;
use switchhill_configuration::Route;
use switchhill_routing::RequestProfile;
use tokio::time::Instant;

/// Lines that may be written at once after a quiet time.
const MOST_LINES: f64 = 20.0;
/// Lines a second over time.
const LINES_PER_S: f64 = 5.0;

/// A token bucket over the lines of one process.
#[derive(Debug)]
pub(crate) struct LogRateLimiter {
    lines: Cell<f64>,
    at: Cell<Instant>,
    /// Lines left out since the last one written.
    left_out: Cell<u32>,
}

/// How a request ended for its client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum RequestEnd {
    /// The answer was not passed on whole: its worker, its client or this process left first, or its time was over.
    #[default]
    Incomplete,
    /// A worker's whole answer.
    Completed,
    /// The gatekeeper's own answer.
    Local(LocalReply),
}

/// When the parts of one request's answer came.
#[derive(Debug, Clone)]
pub(crate) struct Timeline {
    route: String,
    /// Objective for the first byte.
    aim: Duration,
    /// Longest pause that still keeps a stream in time.
    longest_gap_allowed: Option<Duration>,
    sent_at: Option<Instant>,
    first_byte_at: Option<Instant>,
    last_event_at: Option<Instant>,
    longest_gap: Duration,
    pieces: u32,
    waited_for_model: bool,
    worker: String,
    pub(crate) end: RequestEnd,
}

/// A request that is over, as its line tells it.
struct Line<'a> {
    timeline: &'a Timeline,
    profile: &'a RequestProfile,
    trail: &'a AttemptHistory,
    arrived: Instant,
    now: Instant,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        LogRateLimiter {
            lines: Cell::new(MOST_LINES),
            at: Cell::new(Instant::now()),
            left_out: Cell::default(),
        }
    }
}

impl LogRateLimiter {
    /// Whether a line may be written now, and if so how many were left out before it.
    pub(crate) fn take(&self, now: Instant) -> Option<u32> {
        let elapsed = now.saturating_duration_since(self.at.replace(now));
        let lines = (self.lines.get() + elapsed.as_secs_f64() * LINES_PER_S).min(MOST_LINES);
        if lines < 1.0 {
            self.lines.set(lines);
            self.left_out.set(self.left_out.get() + 1);
            return None;
        }
        self.lines.set(lines - 1.0);
        Some(self.left_out.take())
    }
}

impl Timeline {
    /// A request of the route that has just been admitted.
    pub(crate) fn new(route: &Route) -> Timeline {
        Timeline {
            route: route.name.clone(),
            aim: Duration::from_millis(route.target_latency_ms),
            longest_gap_allowed: route.gap_aim_ms.map(Duration::from_millis),
            sent_at: None,
            first_byte_at: None,
            last_event_at: None,
            longest_gap: Duration::ZERO,
            pieces: 0,
            waited_for_model: false,
            worker: String::new(),
            end: RequestEnd::default(),
        }
    }

    /// The request waits for a model, an adapter or a first worker.
    pub(crate) fn record_model_wait(&mut self) {
        self.waited_for_model = true;
    }

    /// The request is being written to a worker.
    pub(crate) fn record_sent(&mut self, now: Instant, worker: &str) {
        self.sent_at.get_or_insert(now);
        worker.clone_into(&mut self.worker);
    }

    /// Bytes of the answer are passed on.
    pub(crate) fn record_chunk(&mut self, now: Instant) {
        self.pieces += 1;
        self.first_byte_at.get_or_insert(now);
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now.saturating_duration_since(last));
        }
    }

    /// Whether the client got less than an answer in time.
    pub(crate) fn is_notable(&self, arrived: Instant) -> bool {
        let late = self.first_byte_at.is_some_and(|at| at.saturating_duration_since(arrived) > self.aim);
        let paused = self.longest_gap_allowed.is_some_and(|allowed| self.longest_gap > allowed);
        self.end != RequestEnd::Completed || late || paused
    }
}

impl fmt::Display for Line<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Line { timeline, profile, trail, arrived, now } = self;
        let since = |at: Option<Instant>| {
            at.map_or(-1, |at| at.saturating_duration_since(*arrived).as_millis() as i64)
        };
        let end = match timeline.end {
            RequestEnd::Incomplete => "cut",
            RequestEnd::Completed => "late",
            RequestEnd::Local(LocalReply::NotRun { .. }) => "refused",
            RequestEnd::Local(_) => "failed",
        };
        write!(
            out,
            "request {end}: route={} model={} adapter={} prompt={} worker={} sends={} unsent={} held={} \
             sent_ms={} first_ms={} gap_ms={} pieces={} total_ms={}",
            timeline.route,
            profile.model.as_deref().unwrap_or("-"),
            profile.adapter.as_deref().unwrap_or("-"),
            profile.prompt_tokens,
            timeline.worker,
            trail.sent,
            trail.unsent,
            timeline.waited_for_model,
            since(timeline.sent_at),
            since(timeline.first_byte_at),
            timeline.longest_gap.as_millis(),
            timeline.pieces,
            since(Some(*now)),
        )
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.timeline.is_notable(self.arrived) {
            return;
        }
        let now = Instant::now();
        let Some(left_out) = self.shared.log_rate_limiter.take(now) else { return };
        let line = Line {
            timeline: &self.timeline,
            profile: &self.profile,
            trail: &self.history,
            arrived: self.arrived,
            now,
        };
        log::info!("{line} left_out={left_out}");
    }
}
