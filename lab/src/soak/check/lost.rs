//! Requests that were read whole and whose connection ended without a whole answer, or that were failed.

use super::context::Context;
use super::READ_WITHIN;
use crate::local_system::{RunEnd, RunRecord};
use crate::soak::finding::{Finding, Invariant};
use crate::soak::record::{Ending, RequestStory};
use std::collections::BTreeMap;
use std::time::Duration;

/// An end this close to the deadline is that of the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);

/// A process may end this share of its grace before SIGKILL.
const LAST_SHARE_OF_GRACE: u32 = 6;

/// A process ends this long before SIGKILL: what a worker ends only then comes too late for it.
const EXIT_MARGIN: Duration = Duration::from_millis(100);

/// A request sent this long after SIGTERM may still have been read before the signal: the process notices both when
/// the scheduler lets it.
const NOTICED_WITHIN: Duration = Duration::from_millis(100);

/// The pages excuse a worker that is at work at the end also for requests sent this long after SIGTERM.
const PAGES_EXCUSE_WITHIN: Duration = Duration::from_secs(3);

pub(super) fn check(context: &Context<'_>) -> Vec<Finding> {
    let requests = &context.observed.requests;
    let lost = requests.iter().filter(|story| is_lost(context, story)).map(|story| {
        let planned = match context.sigterm(story) {
            Some(sigterm) => format!(
                " [SIGTERM {:+.3} s from its sending{}]",
                sigterm.as_secs_f64() - story.sent.as_secs_f64(),
                if is_excused_by_pages(context, story, sigterm) { "; the pages would excuse it" } else { "" }
            ),
            None => " [no SIGTERM near]".to_owned(),
        };
        Finding::new(Invariant::Lost, context.tell(story) + &planned)
    });
    let silent = requests.iter().filter(|story| {
        let is_silent = story.ending == Ending::Silence && !context.stalled(story.sent, story.ended);
        is_silent && !context.is_excused(story)
    });
    let silent = silent.map(|story| Finding::new(Invariant::Unanswered, context.tell(story)));
    let failed = requests.iter().filter(|story| {
        let is_failed = story.ending == Ending::Failed && excuse(context, story).is_none();
        let never_arrived = context.arrivals(&story.id).is_empty();
        is_failed && !(never_arrived && context.a_worker_was_struck(story))
    });
    let failed = failed.map(|story| Finding::new(Invariant::Failed, context.tell(story)));
    lost.chain(silent).chain(failed).collect()
}

/// Why a cut request is not lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Excuse {
    /// It was not read.
    NotRead,
    /// Its deadline was reached.
    Deadline,
    /// A worker broke off.
    WorkerBrokeOff,
    /// Unplanned trouble struck its edge or a worker of its.
    UnplannedTrouble,
    /// It was sent before the SIGTERM was noticed, and its worker was at work when the grace was over.
    OutOfGrace,
}

fn is_lost(context: &Context<'_>, story: &RequestStory) -> bool {
    is_cut(story) && excuse(context, story).is_none()
}

fn is_cut(story: &RequestStory) -> bool {
    matches!(story.ending, Ending::Cut | Ending::NoAnswer)
}

fn excuse(context: &Context<'_>, story: &RequestStory) -> Option<Excuse> {
    if !was_read(context, story) {
        Some(Excuse::NotRead)
    } else if story.ended >= story.sent + story.deadline.saturating_sub(DEADLINE_MARGIN) {
        Some(Excuse::Deadline)
    } else if context.runs(&story.id).any(|run| run.end == RunEnd::BrokenOff) {
        Some(Excuse::WorkerBrokeOff)
    } else if context.is_excused(story) {
        Some(Excuse::UnplannedTrouble)
    } else {
        ran_out_of_grace(context, story).then_some(Excuse::OutOfGrace)
    }
}

/// How many cut requests are excused, and why.
pub(super) fn excuses(context: &Context<'_>) -> BTreeMap<Excuse, usize> {
    let mut counts = BTreeMap::new();
    let cut = context.observed.requests.iter().filter(|story| is_cut(story));
    for excuse in cut.filter_map(|story| excuse(context, story)) {
        *counts.entry(excuse).or_default() += 1;
    }
    counts
}

/// A request that is answered was read, too.
fn was_read(context: &Context<'_>, story: &RequestStory) -> bool {
    story.head.is_some() || !context.arrivals(&story.id).is_empty() || story.ended >= story.sent + READ_WITHIN
}

/// Sent before the SIGTERM was noticed, and its worker still at work when the grace was over.
fn ran_out_of_grace(context: &Context<'_>, story: &RequestStory) -> bool {
    let Some(sigterm) = context.sigterm(story) else { return false };
    story.sent < sigterm + NOTICED_WITHIN && was_at_work_at_the_end(context, story, sigterm)
}

fn is_excused_by_pages(context: &Context<'_>, story: &RequestStory, sigterm: Duration) -> bool {
    story.sent <= sigterm + PAGES_EXCUSE_WITHIN && was_at_work_at_the_end(context, story, sigterm)
}

fn was_at_work_at_the_end(context: &Context<'_>, story: &RequestStory, sigterm: Duration) -> bool {
    let grace = context.observed.grace;
    let last = sigterm + grace - grace / LAST_SHARE_OF_GRACE;
    let process_ended = sigterm + grace - EXIT_MARGIN;
    let was_at_work = |run: &RunRecord| match run.end {
        RunEnd::CallerGone | RunEnd::AtWork => true,
        // A worker may write the end of its answer before it notices that its caller is gone.
        RunEnd::Complete => run.ended.is_some_and(|ended| ended >= process_ended),
        RunEnd::BrokenOff | RunEnd::NotExecuted(_) => false,
    };
    story.ended >= last && context.runs(&story.id).any(was_at_work)
}
