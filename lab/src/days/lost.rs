//! Where the requests of a day were lost: an account of the data planes' own lines, route by route and cause by cause.

use std::collections::BTreeMap;
use std::fmt;

/// Wait before the first send, in milliseconds, from which the wait and not the worker made a request late.
const WAITED_MS: i64 = 100;

/// Why a request earned less than its worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
    /// Refused by admission or for want of a worker, and never sent.
    RefusedUnsent,
    /// Refused after it had waited for a model or an adapter.
    RefusedAfterHold,
    /// Refused after workers had proved that they did not run it.
    RefusedAfterSend,
    /// Answered 502 or 504: it may have run.
    MayHaveRun,
    /// Sent, and its answer ended before it was whole, before a first byte.
    CutBeforeFirstByte,
    /// Its answer ended in the middle.
    CutInAnswer,
    /// Late: it waited for a model or an adapter.
    LateHold,
    /// Late: it was sent late for another reason.
    LateSend,
    /// Late: its worker took long to the first byte.
    LateFirstByte,
    /// Late: its stream paused too long.
    LatePause,
}

/// One line of the request log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRequest {
    /// Name of its route.
    pub route: String,
    /// Worker that it was sent to last, empty if none.
    pub worker: String,
    /// Why it was lost.
    pub cause: Cause,
    /// Lines that the process left out before this one.
    pub left_out: u32,
}

/// Requests by route and cause, and by worker.
#[derive(Debug, Default)]
pub struct LostRequests {
    by_route: BTreeMap<String, BTreeMap<Cause, u32>>,
    by_worker: BTreeMap<String, u32>,
    left_out: u32,
}

impl LostRequest {
    /// Reads a line; none if it is not one of the request log.
    #[must_use]
    pub fn read(line: &str) -> Option<LostRequest> {
        let (_, told) = line.split_once("request ")?;
        let (end, fields) = told.split_once(": ")?;
        let fields: BTreeMap<&str, &str> =
            fields.split_whitespace().filter_map(|field| field.split_once('=')).collect();
        let number = |name: &str| fields.get(name)?.parse::<i64>().ok();
        let held = *fields.get("held")? == "true";
        let sends = number("sends")?;
        let (sent_ms, first_ms) = (number("sent_ms")?, number("first_ms")?);
        let cause = match end {
            "refused" if sends > 0 => Cause::RefusedAfterSend,
            "refused" if held => Cause::RefusedAfterHold,
            "refused" => Cause::RefusedUnsent,
            "failed" => Cause::MayHaveRun,
            "cut" if first_ms < 0 => Cause::CutBeforeFirstByte,
            "cut" => Cause::CutInAnswer,
            "late" if sent_ms >= WAITED_MS && held => Cause::LateHold,
            "late" if sent_ms >= WAITED_MS => Cause::LateSend,
            "late" if first_ms - sent_ms > number("gap_ms")? => Cause::LateFirstByte,
            "late" => Cause::LatePause,
            _ => return None,
        };
        Some(LostRequest {
            route: (*fields.get("route")?).to_owned(),
            worker: fields.get("worker").copied().unwrap_or_default().to_owned(),
            cause,
            left_out: number("left_out").and_then(|count| u32::try_from(count).ok()).unwrap_or(0),
        })
    }
}

impl LostRequests {
    /// Reads all lines of a log; others than those of the request log are skipped.
    #[must_use]
    pub fn of_log(text: &str) -> LostRequests {
        let mut all = LostRequests::default();
        text.lines().filter_map(LostRequest::read).for_each(|request| all.add(request));
        all
    }

    fn add(&mut self, request: LostRequest) {
        *self.by_route.entry(request.route).or_default().entry(request.cause).or_default() += 1;
        if !request.worker.is_empty() {
            *self.by_worker.entry(request.worker).or_default() += 1;
        }
        self.left_out += request.left_out;
    }

    /// Requests of a route that were lost for this cause.
    #[must_use]
    pub fn count(&self, route: &str, cause: Cause) -> u32 {
        self.by_route.get(route).and_then(|causes| causes.get(&cause)).copied().unwrap_or(0)
    }

    /// All requests counted.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.by_route.values().flat_map(BTreeMap::values).sum()
    }

    /// How many workers, those with most first, account for half of the requests that were sent to one.
    #[must_use]
    pub fn workers_of_half(&self) -> usize {
        let mut counts: Vec<u32> = self.by_worker.values().copied().collect();
        counts.sort_unstable_by(|one, other| other.cmp(one));
        let half = counts.iter().sum::<u32>().div_ceil(2);
        let mut sum = 0;
        let is_short = |count: &&u32| {
            let short = sum < half;
            sum += **count;
            short
        };
        counts.iter().take_while(is_short).count()
    }
}

impl fmt::Display for LostRequests {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(out, "| route | cause | requests |")?;
        writeln!(out, "| --- | --- | --- |")?;
        for (route, causes) in &self.by_route {
            for (cause, count) in causes {
                writeln!(out, "| {route} | {cause:?} | {count} |")?;
            }
        }
        writeln!(
            out,
            "\n{} requests, {} lines left out; {} of {} workers account for half",
            self.total(),
            self.left_out,
            self.workers_of_half(),
            self.by_worker.len()
        )
    }
}
