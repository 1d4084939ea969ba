//! Requests as clients draw them.

use super::record::RouteClass;
use crate::local_system::client::HOST;
use crate::local_system::configuration::{route, USUAL_MODEL};
use crate::local_system::stand_in_worker::{EVENTS_HEADER, PACE_HEADER};
use bytes::Bytes;
use fastrand::Rng;
use http::Request;
use http_body_util::Full;
use serde_json::{json, Value};
use std::ops::Range;
use std::time::Duration;

/// Milliseconds that one token takes a worker that is alone with it; tells clients how many a whole answer has.
const TOKEN_MS: u64 = 25;

/// Events of a stream: some last longer than what is left of the grace after a SIGTERM.
const EVENTS: Range<u64> = 2..160;

/// Milliseconds between two events.
const PACE_MS: Range<u64> = 15..50;

/// Milliseconds until a whole answer.
const ANSWER_MS: Range<u64> = 1..400;

/// The same for the few that take long.
const LONG_ANSWER_MS: Range<u64> = 1000..4000;

/// One request in so many is long.
const LONG_ONE_IN: u32 = 12;

/// Models that stand on few workers or nowhere: more than fit beside the usual one, so that they are loaded and
/// unloaded and requests for them are held.
const RARE_MODELS: [&str; 6] = ["rare-1", "rare-2", "rare-3", "rare-4", "rare-5", "rare-6"];

/// Of the requests with a long objective, and of all others, one in so many is for such a model.
const RARE_ONE_IN: (u32, u32) = (2, 12);

/// From this objective on there is time to load a model.
const LONG_OBJECTIVE_MS: u64 = 8000;

/// Bytes of a body.
const BODY_BYTES: Range<usize> = 1..3000;

/// Tokens of a prompt.
const PROMPT_TOKENS: Range<u64> = 10..400;

/// Milliseconds of a deadline beyond what the answer takes at a worker that is not busy.
const SLACK_MS: Range<u64> = 1500..9000;

/// `timeoutMs` of all routes.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(20);

/// A route of the soak.
#[derive(Debug, Clone, Copy)]
struct SoakRoute {
    name: &'static str,
    class: RouteClass,
    objective_ms: u64,
}

const ROUTES: [SoakRoute; 5] = [
    SoakRoute { name: "embed", class: RouteClass::Safe, objective_ms: 1000 },
    SoakRoute { name: "pay", class: RouteClass::Unsafe, objective_ms: 1500 },
    SoakRoute { name: "chat", class: RouteClass::Resumable, objective_ms: 2000 },
    SoakRoute { name: "talk", class: RouteClass::Stream, objective_ms: 2000 },
    SoakRoute { name: "batch", class: RouteClass::Safe, objective_ms: LONG_OBJECTIVE_MS },
];

/// Shares of the routes in the requests, in hundredths.
const SHARES: [u32; 5] = [20, 25, 20, 25, 10];

/// All models of the service.
pub(super) fn models() -> Vec<&'static str> {
    RARE_MODELS.into_iter().chain([USUAL_MODEL]).collect()
}

/// The routes of the first configuration.
pub(super) fn routes() -> Vec<Value> {
    ROUTES.iter().map(soak_route).collect()
}

fn soak_route(of: &SoakRoute) -> Value {
    let kind = match of.class {
        RouteClass::Safe => "safe",
        RouteClass::Unsafe => "unsafe",
        RouteClass::Resumable | RouteClass::Stream => "streaming",
    };
    let mut value = route(of.name, kind, of.objective_ms);
    value["resumable"] = json!(of.class == RouteClass::Resumable);
    value
}

/// A request that a client has drawn; its tries differ in their ids only.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Draft {
    path: String,
    model: &'static str,
    pub(super) class: RouteClass,
    pub(super) objective: Duration,
    pub(super) deadline: Duration,
    pub(super) events: u64,
    pace_ms: u64,
    tokens: (u64, u64),
    body: Bytes,
}

impl Draft {
    /// Draws a request.
    pub(super) fn draw(rng: &mut Rng) -> Draft {
        let mut drawn = rng.u32(..SHARES.iter().sum::<u32>());
        let index = SHARES.iter().position(|share| {
            let is_it = drawn < *share;
            drawn = drawn.saturating_sub(*share);
            is_it
        });
        let route = ROUTES[index.unwrap_or(0)];
        let is_stream = route.class.is_stream();
        let is_long = rng.u32(..LONG_ONE_IN) == 0;
        let events = if is_stream { rng.u64(EVENTS) } else { 0 };
        let pace_ms = match (is_stream, is_long) {
            (true, _) => rng.u64(PACE_MS),
            (false, true) => rng.u64(LONG_ANSWER_MS),
            (false, false) => rng.u64(ANSWER_MS),
        };
        let takes_ms = if is_stream { events * pace_ms } else { pace_ms };
        let tokens_out = if is_stream { events } else { 1 + pace_ms / TOKEN_MS };
        let is_long_objective = route.objective_ms >= LONG_OBJECTIVE_MS;
        let is_rare = rng.u32(..if is_long_objective { RARE_ONE_IN.0 } else { RARE_ONE_IN.1 }) == 0;
        Draft {
            path: format!("/{}/{}", route.name, rng.u32(..)),
            model: if is_rare { RARE_MODELS[rng.usize(..RARE_MODELS.len())] } else { USUAL_MODEL },
            class: route.class,
            objective: Duration::from_millis(route.objective_ms),
            deadline: Duration::from_millis(takes_ms + rng.u64(SLACK_MS)).min(ROUTE_TIMEOUT),
            events,
            pace_ms,
            tokens: (rng.u64(PROMPT_TOKENS), tokens_out),
            body: Bytes::from(vec![b'x'; rng.usize(BODY_BYTES)]),
        }
    }

    /// A try of it with an id of its own and the time that is left.
    pub(super) fn with_id(&self, id: &str, left: Duration) -> Request<Full<Bytes>> {
        Request::post(&self.path)
            .header("host", HOST)
            .header("request-id", id)
            .header("request-deadline-ms", left.as_millis().to_string())
            .header("model", self.model)
            .header("token-usage", format!("{},{}", self.tokens.0, self.tokens.1))
            .header(EVENTS_HEADER, self.events.to_string())
            .header(PACE_HEADER, self.pace_ms.to_string())
            .body(Full::new(self.body.clone()))
            .expect("paths and models are plain text")
    }
}
