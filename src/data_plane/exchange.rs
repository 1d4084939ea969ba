//! State of one client request from admission to its response.

use super::admission_stage::AdmittedRequest;
use super::count_guard::CountGuard;
use super::forwarded_request::ForwardedRequest;
use super::policy;
use super::replies::LocalReply;
use super::request_head::RequestHead;
use super::request_log::Timeline;
use super::running_requests::RunningEntry;
use super::shared::Shared;
use super::statistics::RunningDemand;
use crate::system::request_in_work::RequestInWork;
use hyper::header::HeaderValue;
use std::rc::Rc;
use std::time::Duration;
use switchhill_configuration::{Route, RouteKind};
use switchhill_routing::{Choice, RequestProfile, WorkerKey};
use tokio::time::Instant;

/// What the request's route permits.
#[derive(Debug, Clone)]
pub(crate) struct RouteRules {
    /// The request may run more than once.
    pub(crate) idempotent: bool,
    /// A broken stream may be resumed at another worker.
    pub(crate) resumable: bool,
    /// Maximum number of workers to which the request may be sent.
    pub(crate) max_workers: u32,
    pub(crate) target_latency: Duration,
    pub(crate) priority: u8,
}

/// Attempts made for a request so far.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Number of times the request was sent to a worker.
    pub(crate) sent: u32,
    /// Number of attempts that ended before anything was sent.
    pub(crate) unsent: u32,
    /// Whether a worker may have run the request.
    pub(crate) may_have_run: bool,
    /// Workers that are not tried again.
    pub(crate) excluded: Vec<WorkerKey>,
}

/// An admitted request with its whole body and its route.
pub(crate) struct Exchange {
    pub(crate) shared: Rc<Shared>,
    pub(crate) rules: RouteRules,
    pub(crate) request: ForwardedRequest,
    pub(crate) request_id: Option<HeaderValue>,
    pub(crate) profile: RequestProfile,
    pub(crate) last_event_id: Option<u64>,
    pub(crate) arrived: Instant,
    pub(crate) deadline: Instant,
    pub(crate) admitted: Option<AdmittedRequest>,
    pub(crate) history: AttemptHistory,
    pub(crate) running_entry: RunningEntry,
    pub(crate) timeline: Timeline,
    pub(crate) _running: CountGuard,
    pub(crate) _in_work: Rc<RequestInWork>,
    pub(crate) _running_demand: RunningDemand,
}

impl RouteRules {
    /// Rules of a route.
    pub(crate) fn of(route: &Route) -> RouteRules {
        let resumable = route.kind == RouteKind::Streaming && route.resumable;
        RouteRules {
            idempotent: route.kind == RouteKind::Safe || resumable,
            resumable,
            max_workers: route.retries.max(1),
            target_latency: Duration::from_millis(route.target_latency_ms),
            priority: u8::try_from(route.priority).unwrap_or(u8::MAX),
        }
    }
}

/// Deadline of a request: the client's limit or the route's, whichever is earlier.
pub(crate) fn deadline(arrived: Instant, head: &RequestHead, route: &Route) -> Instant {
    let timeout = Duration::from_millis(route.timeout_ms);
    arrived + head.deadline.map_or(timeout, |client| client.min(timeout))
}

/// Selects the service for a request of the route. All requests of a session get the same service.
pub(crate) fn select_service(route: &Route, head: &RequestHead) -> String {
    let key = session_id(route, head).map_or_else(|| fastrand::u64(..), mix64);
    route.pick_service(key).to_owned()
}

/// Session id of a request: the id of the last part of its prompt, on routes with session affinity.
pub(crate) fn session_id(route: &Route, head: &RequestHead) -> Option<u64> {
    let last = head.prompt_parts.last()?;
    route.session_affinity.then_some(last.id)
}

/// Maps ids uniformly onto 64-bit numbers (the finalizer of SplitMix64).
fn mix64(id: u64) -> u64 {
    let id = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let id = (id ^ (id >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    id ^ (id >> 31)
}

/// Properties of the request that routing and admission use.
pub(crate) fn request_profile(route: &Route, head: &RequestHead, service: String) -> RequestProfile {
    let name = head.model.clone();
    let (model, adapter) = name.map_or((None, None), |name| (Some(name.model), name.adapter));
    RequestProfile {
        service,
        model,
        adapter,
        prompt_parts: head.prompt_parts.clone(),
        prompt_tokens: head.prompt_tokens,
        output_tokens: head.output_tokens,
        priority: u8::try_from(route.priority).unwrap_or(u8::MAX),
        target_latency_ms: route.target_latency_ms,
        session: session_id(route, head),
    }
}

impl Exchange {
    /// Time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Records that response data arrived: the first byte or a later piece.
    pub(crate) fn record_response_data(&mut self) {
        if let Some(admitted) = &mut self.admitted {
            admitted.record_first_byte(self.shared.now());
        }
        self.timeline.record_chunk(Instant::now());
    }

    /// Whether the request may be attempted again. The retry budget is charged when the request is sent.
    pub(crate) fn may_retry(&self) -> bool {
        let may_repeat = self.rules.idempotent || !self.history.may_have_run;
        may_repeat
            && self.request.has_body()
            && self.history.sent < self.rules.max_workers
            && self.history.unsent < policy::MAX_UNSENT_ATTEMPTS
            && !self.time_left().is_zero()
            && self.ends_before_shutdown()
    }

    /// Releases the request's body if a worker has answered and the rules allow no further attempt.
    pub(crate) fn release_body_if_final(&mut self) {
        if !self.rules.idempotent || self.history.sent >= self.rules.max_workers {
            self.request.release_body();
        }
    }

    /// Whether the request may be sent once more and a worker other than those tried could take it.
    pub(crate) fn may_retry_elsewhere(&self) -> bool {
        let allowed = self.rules.idempotent
            && self.request.has_body()
            && self.history.sent < self.rules.max_workers
            && self.ends_before_shutdown();
        let within_budget =
            || self.shared.retry_budget.borrow_mut().can_retry(self.shared.now(), &self.profile.service);
        allowed && within_budget() && matches!(self.choose_worker(), Choice::Send(_))
    }

    /// Reply to a request whose deadline has passed.
    pub(crate) fn deadline_reply(&self) -> LocalReply {
        match self.history.may_have_run {
            true => LocalReply::TimedOut,
            false => LocalReply::NotRun { retry_after_ms: policy::RETRY_AFTER_REFUSED_MS },
        }
    }
}
