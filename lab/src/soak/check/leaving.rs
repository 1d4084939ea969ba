//! Refusals of gatekeepers that are ending.

use super::context::{seconds, Context};
use crate::soak::finding::{Finding, Invariant};
use crate::soak::record::Ending;

/// Share of the objective for which a request may be held that is then refused.
const HOLD_SHARE: u32 = 4;

pub(super) fn check(context: &Context<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    let refused = context.observed.requests.iter().filter(|story| story.ending == Ending::Refused);
    for story in refused {
        let Some(sigterm) = context.sigterm(story) else { continue };
        if !story.has_retry_after {
            findings.push(Finding::new(Invariant::RefusalWithoutAdvice, context.tell(story)));
        }
        let held = story.ended.saturating_sub(story.sent.max(sigterm));
        // One whose time limit ends before the process may still be sent, and is held like any other.
        let may_outlast_process = story.sent + story.deadline > sigterm + context.observed.grace;
        let never_offered = context.arrivals(&story.id).is_empty();
        if never_offered
            && may_outlast_process
            && held > story.objective / HOLD_SHARE
            && !context.is_excused(story)
            && !context.stalled(story.sent, story.ended)
        {
            let told = format!("held {} after SIGTERM: {}", seconds(held), context.tell(story));
            findings.push(Finding::new(Invariant::RefusedLate, told));
        }
    }
    findings
}
