//! Checks of what a run has seen. Each is a function from the records to the cases in which an invariant was broken.

mod answers;
mod configuration;
mod context;
mod leaving;
mod lost;
mod runs;

pub use lost::Excuse;

use super::finding::{Finding, Invariant};
use super::record::Observed;
use context::Context;
use std::collections::BTreeMap;
use std::time::Duration;

/// Unplanned trouble excuses what ends within this time after it; calm begins this long after the last trouble.
pub const LIVENESS: Duration = Duration::from_secs(3);

/// Bytes that were sent this long before a connection's end were read.
pub const READ_WITHIN: Duration = Duration::from_millis(200);

/// An acknowledged configuration is in force everywhere after this time.
pub const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);

/// Requests are served again this long after the last trouble.
pub const RECOVERY_WITHIN: Duration = Duration::from_secs(12);

/// All cases in which an invariant was broken.
pub fn check(observed: &Observed) -> Vec<Finding> {
    let context = Context::of(observed);
    let mut findings = lost::check(&context);
    findings.extend(runs::check(&context));
    findings.extend(answers::check(&context));
    findings.extend(leaving::check(&context));
    findings.extend(configuration::check(observed, &context));
    findings.extend(processes(observed));
    findings
}

/// How many requests were cut and are not held against the system, and why.
pub fn excuses(observed: &Observed) -> BTreeMap<Excuse, usize> {
    lost::excuses(&Context::of(observed))
}

fn processes(observed: &Observed) -> Vec<Finding> {
    let ends = observed.ends.iter().filter(|end| !end.expected).map(|end| {
        let story =
            format!("{} ended by itself at {:.3} s: {}", end.process, end.at.as_secs_f64(), end.status);
        Finding::new(Invariant::ProcessEnd, story)
    });
    let lines = observed.bad_log_lines.iter().map(|line| Finding::new(Invariant::Log, line));
    let late = |again: &Option<Duration>| again.is_none_or(|again| again > RECOVERY_WITHIN);
    let recovery = observed.served_again.iter().filter(|(_, again)| late(again)).map(|(edge, again)| {
        let story = match again {
            Some(again) => {
                format!("{edge} served again only {:.1} s after the last trouble", again.as_secs_f64())
            }
            None => format!("{edge} did not serve again after the last trouble"),
        };
        Finding::new(Invariant::Recovery, story)
    });
    ends.chain(lines).chain(recovery).collect()
}
