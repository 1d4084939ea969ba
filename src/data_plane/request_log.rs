//! Log line for each request that was late, refused or not completed.
//!
//! The line contains the wait for a worker, the time to the first byte and the longest pause of a stream.
//! Lines are limited by [`LogRateLimiter`], so that the cost of logging stays bounded when every request is
//! late.

use super::exchange::{AttemptHistory, Exchange};
use super::replies::LocalReply;
use std::cell::Cell;
use std::fmt;
use std::time::Duration;
use switchhill_configuration::Route;
use switchhill_routing::RequestProfile;
use tokio::time::Instant;

/// Maximum number of lines in a burst.
const MAX_BURST_LINES: f64 = 20.0;
/// Sustained rate in lines per second.
const LINES_PER_S: f64 = 5.0;

/// Token bucket that limits the log lines of the process.
#[derive(Debug)]
pub(crate) struct LogRateLimiter {
    tokens: Cell<f64>,
    refilled_at: Cell<Instant>,
    /// Lines suppressed since the last written line.
    suppressed: Cell<u32>,
}

/// How a request ended from the client's point of view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum RequestEnd {
    /// The response was not forwarded completely: the worker failed, the client disconnected, the process
    /// ended or the deadline passed.
    #[default]
    Incomplete,
    /// A worker's response was forwarded completely.
    Completed,
    /// The gatekeeper responded itself.
    Local(LocalReply),
}

/// Times at which the parts of a response arrived.
#[derive(Debug, Clone)]
pub(crate) struct Timeline {
    route: String,
    /// Latency target for the first byte.
    target_latency: Duration,
    /// Longest pause of a stream that does not count as late.
    max_gap: Option<Duration>,
    first_sent_at: Option<Instant>,
    first_byte_at: Option<Instant>,
    last_chunk_at: Option<Instant>,
    longest_gap: Duration,
    chunks: u32,
    waited_for_model: bool,
    worker: String,
    pub(crate) end: RequestEnd,
}

/// Log line of a finished request.
struct LogLine<'a> {
    timeline: &'a Timeline,
    profile: &'a RequestProfile,
    history: &'a AttemptHistory,
    arrived: Instant,
    now: Instant,
}

impl Default for LogRateLimiter {
    fn default() -> Self {
        LogRateLimiter {
            tokens: Cell::new(MAX_BURST_LINES),
            refilled_at: Cell::new(Instant::now()),
            suppressed: Cell::default(),
        }
    }
}

impl LogRateLimiter {
    /// Takes a token. Returns the number of lines suppressed since the last written one, or `None` if this
    /// line is to be suppressed too.
    pub(crate) fn take(&self, now: Instant) -> Option<u32> {
        let elapsed = now.saturating_duration_since(self.refilled_at.replace(now));
        let tokens = (self.tokens.get() + elapsed.as_secs_f64() * LINES_PER_S).min(MAX_BURST_LINES);
        if tokens < 1.0 {
            self.tokens.set(tokens);
            self.suppressed.set(self.suppressed.get() + 1);
            return None;
        }
        self.tokens.set(tokens - 1.0);
        Some(self.suppressed.take())
    }
}

impl Timeline {
    /// Timeline of a request that has just been admitted on the route.
    pub(crate) fn new(route: &Route) -> Timeline {
        Timeline {
            route: route.name.clone(),
            target_latency: Duration::from_millis(route.target_latency_ms),
            max_gap: route.gap_aim_ms.map(Duration::from_millis),
            first_sent_at: None,
            first_byte_at: None,
            last_chunk_at: None,
            longest_gap: Duration::ZERO,
            chunks: 0,
            waited_for_model: false,
            worker: String::new(),
            end: RequestEnd::default(),
        }
    }

    /// Records that the request waits for a model, an adapter or a first worker.
    pub(crate) fn record_model_wait(&mut self) {
        self.waited_for_model = true;
    }

    /// Records that the request is being sent to a worker.
    pub(crate) fn record_sent(&mut self, now: Instant, worker: &str) {
        self.first_sent_at.get_or_insert(now);
        worker.clone_into(&mut self.worker);
    }

    /// Records that response data is forwarded.
    pub(crate) fn record_chunk(&mut self, now: Instant) {
        self.chunks += 1;
        self.first_byte_at.get_or_insert(now);
        if let Some(last) = self.last_chunk_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now.saturating_duration_since(last));
        }
    }

    /// Whether the request was late or not completed, and so is logged.
    pub(crate) fn is_notable(&self, arrived: Instant) -> bool {
        let late =
            self.first_byte_at.is_some_and(|at| at.saturating_duration_since(arrived) > self.target_latency);
        let paused = self.max_gap.is_some_and(|max_gap| self.longest_gap > max_gap);
        self.end != RequestEnd::Completed || late || paused
    }
}

impl fmt::Display for LogLine<'_> {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LogLine { timeline, profile, history, arrived, now } = self;
        let elapsed_ms = |at: Option<Instant>| {
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
            history.sent,
            history.unsent,
            timeline.waited_for_model,
            elapsed_ms(timeline.first_sent_at),
            elapsed_ms(timeline.first_byte_at),
            timeline.longest_gap.as_millis(),
            timeline.chunks,
            elapsed_ms(Some(*now)),
        )
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !self.timeline.is_notable(self.arrived) {
            return;
        }
        let now = Instant::now();
        let Some(suppressed) = self.shared.log_rate_limiter.take(now) else { return };
        let line = LogLine {
            timeline: &self.timeline,
            profile: &self.profile,
            history: &self.history,
            arrived: self.arrived,
            now,
        };
        log::info!("{line} left_out={suppressed}");
    }
}
