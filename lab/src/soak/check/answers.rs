//! Whole answers against what workers put out.

use super::context::Context;
use crate::local_system::client::event_ids;
use crate::local_system::stand_in_worker::whole_answer;
use crate::soak::finding::{Finding, Invariant};
use crate::soak::record::{Ending, RequestStory};

pub(super) fn check(context: &Context<'_>) -> Vec<Finding> {
    let faults = context.observed.requests.iter().filter_map(|story| Some((story, fault(context, story)?)));
    faults
        .map(|(story, fault)| Finding::new(Invariant::Mixed, format!("{fault}: {}", context.tell(story))))
        .collect()
}

fn fault(context: &Context<'_>, story: &RequestStory) -> Option<&'static str> {
    if story.head.is_some() && !story.answer_id.is_empty() && story.answer_id != story.id {
        return Some("the answer is that of another request");
    }
    if story.class.is_stream() && story.status == Some(200) {
        let ids = event_ids(&story.body);
        if !ids.iter().copied().eq(1..=ids.len() as u64) {
            return Some("events are missing or come twice");
        }
        if story.ending == Ending::Complete && ids.len() as u64 != story.events {
            return Some("the stream ends as if it were whole");
        }
    }
    if story.head.is_some() && story.status != Some(200) && !story.stamp.is_empty() {
        return Some("a failure bears the stamp of a worker that has not failed");
    }
    if story.ending != Ending::Complete {
        return None;
    }
    if story.answer_id.is_empty() {
        return Some("a success does not name its request");
    }
    let Some(run) = context.runs(&story.id).find(|run| run.stamp == story.stamp) else {
        return Some("the stamp is not that of a run of this request");
    };
    let is_wrong = !story.class.is_stream() && story.body != whole_answer(&run.worker, &story.id);
    is_wrong.then_some("the body is not the worker's")
}
