//! Runs at workers against what the answers promise.

use super::context::Context;
use crate::soak::finding::{Finding, Invariant};
use crate::soak::record::Ending;

pub(super) fn check(context: &Context<'_>) -> Vec<Finding> {
    let mut findings = Vec::new();
    let once = context.observed.requests.iter().filter(|story| !story.class.is_repeatable());
    for story in once {
        let runs = context.runs(&story.id).count();
        if runs > 1 {
            findings.push(Finding::new(Invariant::Twice, context.tell(story)));
        }
        if runs > 0 && story.ending == Ending::Refused {
            findings.push(Finding::new(Invariant::Refused, context.tell(story)));
        }
    }
    findings
}
