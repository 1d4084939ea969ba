//! One client request on its way to an answer.

use super::admission_stage::AdmittedRequest;
use super::counted::Counted;
use super::forwarded_request::ForwardedRequest;
use super::policy;
use super::replies::LocalReply;
use super::request_head::RequestHead;
use super::request_log::Timeline;
use super::running_requests::RunningEntry;
use super::shared::Shared;
use super::statistics::RunningDemand;
use hyper::header::HeaderValue;
use std::rc::Rc;
use std::time::Duration;
use switchhill_configuration::{Route, RouteKind};
use switchhill_routing::{Choice, RequestProfile, WorkerKey};
use tokio::time::Instant;

/// What the request's route allows.
#[derive(Debug, Clone)]
pub(crate) struct RouteRules {
    /// The request may run more than once.
    pub(crate) idempotent: bool,
    /// A broken stream may be taken up at another worker.
    pub(crate) resumable: bool,
    /// Workers to which the request may be sent.
    pub(crate) most_workers: u32,
    pub(crate) aim: Duration,
    pub(crate) priority: u8,
}

/// What has been tried for a request.
#[derive(Debug, Default)]
pub(crate) struct Trail {
    /// Times it was sent to a worker.
    pub(crate) sent: u32,
    /// Attempts that ended before anything was sent.
    pub(crate) unsent: u32,
    /// Whether one of the workers may have run it.
    pub(crate) may_have_run: bool,
    /// Workers that are not tried again.
    pub(crate) excluded: Vec<WorkerKey>,
}

/// A request whose body is read and whose route is known.
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
    pub(crate) trail: Trail,
    pub(crate) entry: RunningEntry,
    pub(crate) timeline: Timeline,
    pub(crate) _running: Counted,
    pub(crate) _running_demand: RunningDemand,
}

impl RouteRules {
    /// The rules of a route.
    pub(crate) fn of(route: &Route) -> RouteRules {
        let resumable = route.kind == RouteKind::Streaming && route.resumable;
        RouteRules {
            idempotent: route.kind == RouteKind::Safe || resumable,
            resumable,
            most_workers: route.retries.max(1),
            aim: Duration::from_millis(route.target_latency_ms),
            priority: u8::try_from(route.priority).unwrap_or(u8::MAX),
        }
    }
}

/// The earlier of the client's and the route's limits.
pub(crate) fn deadline(arrived: Instant, head: &RequestHead, route: &Route) -> Instant {
    let timeout = Duration::from_millis(route.timeout_ms);
    arrived + head.deadline.map_or(timeout, |client| client.min(timeout))
}

/// The service for one request of the route. Requests of one session get the same one.
pub(crate) fn service_of(route: &Route, head: &RequestHead) -> String {
    let draw = session_of(route, head).map_or_else(|| fastrand::u64(..), spread);
    route.pick_service(draw).to_owned()
}

/// The session is named by the last part of the prompt.
pub(crate) fn session_of(route: &Route, head: &RequestHead) -> Option<u64> {
    let last = head.prompt_parts.last()?;
    route.session_affinity.then_some(last.id)
}

/// Spreads ids evenly over all 64-bit numbers (the finaliser of SplitMix64).
fn spread(id: u64) -> u64 {
    let id = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let id = (id ^ (id >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    id ^ (id >> 31)
}

/// What the router needs to know of the request.
pub(crate) fn profile_of(route: &Route, head: &RequestHead, service: String) -> RequestProfile {
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
        session: session_of(route, head),
    }
}

impl Exchange {
    /// Time left until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Notes that the answer has begun or goes on.
    pub(crate) fn first_byte(&mut self) {
        if let Some(admitted) = &mut self.admitted {
            admitted.first_byte(self.shared.now());
        }
        self.timeline.piece(Instant::now());
    }

    /// Whether another attempt is allowed after those made; the budget is asked when it is sent.
    pub(crate) fn may_try_again(&self) -> bool {
        let repeatable = self.rules.idempotent || !self.trail.may_have_run;
        repeatable
            && self.trail.sent < self.rules.most_workers
            && self.trail.unsent < policy::UNSENT_ATTEMPTS
            && !self.time_left().is_zero()
            && self.ends_before_process()
    }

    /// Whether the request may be sent once more and a worker other than those tried would take it.
    pub(crate) fn could_repeat_elsewhere(&self) -> bool {
        let allowed =
            self.rules.idempotent && self.trail.sent < self.rules.most_workers && self.ends_before_process();
        let in_budget =
            || self.shared.budget.borrow_mut().can_retry(self.shared.now(), &self.profile.service);
        allowed && in_budget() && matches!(self.choose(), Choice::Send(_))
    }

    /// The answer of a request whose time is over.
    pub(crate) fn time_over(&self) -> LocalReply {
        match self.trail.may_have_run {
            true => LocalReply::TimedOut,
            false => LocalReply::NotRun { retry_after_ms: policy::RETRY_AFTER_REFUSED_MS },
        }
    }
}
