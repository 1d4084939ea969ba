//! Routes: which service takes a request, and on what terms.

use garde::Validate;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::error::ConfigurationError;
use crate::fields::{read, whole, whole_u32};

/// Milliseconds a request may be held where a route gives no `timeoutMs`.
const DEFAULT_TIMEOUT_MS: u64 = 30_000;
/// Milliseconds aimed at where a route gives no `targetLatencyMs`.
const DEFAULT_TARGET_LATENCY_MS: u64 = 1_000;
/// Number of workers to which a request may go where a route gives no `retries`.
const DEFAULT_RETRIES: u32 = 1;

/// How often a request of a route may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RouteKind {
    /// It may run more than once.
    Safe,
    /// It runs at most once.
    #[default]
    Unsafe,
    /// It is answered by a stream of events; unless resumable it runs at most once.
    Streaming,
}

/// A service among which a route's requests are split.
#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct WeightedBackend {
    /// The name of the service.
    pub service: String,
    /// Its share, in relation to the sum of the route's weights.
    #[garde(range(min = 0.0))]
    pub weight: f64,
}

/// A route as it was read.
#[derive(Clone, Debug, PartialEq, Validate)]
#[garde(allow_unvalidated)]
pub struct Route {
    /// The name, unique among routes.
    #[garde(length(min = 1))]
    pub name: String,
    /// The host, as written.
    #[garde(length(min = 1))]
    pub host: String,
    /// The beginning of the paths; it begins and ends with a slash.
    #[garde(custom(check_path_prefix))]
    pub path_prefix: String,
    /// How often a request may run.
    pub kind: RouteKind,
    /// The longest a request may be held, in milliseconds.
    #[garde(range(min = 1))]
    pub timeout_ms: u64,
    /// The time within which an answer has its full worth, in milliseconds.
    pub target_latency_ms: u64,
    /// The rank; 0 is the highest.
    pub priority: u32,
    /// The services, at least one with a weight above 0.
    #[garde(dive, custom(check_weights))]
    pub backends: Vec<WeightedBackend>,
    /// The greatest number of workers to which one request may be sent.
    pub retries: u32,
    /// Requests of one session are best sent to one worker.
    pub session_affinity: bool,
    /// A stream may be taken up at another worker.
    pub resumable: bool,
    /// The longest pause between events that keeps a stream in time, in milliseconds.
    pub gap_aim_ms: Option<u64>,
}

impl Route {
    /// Reads a route from its text.
    pub(crate) fn read(raw: &RawValue) -> Result<Route, ConfigurationError> {
        let fields: RouteFields = read(raw)?;
        Ok(fields.into_route())
    }

    /// The service for one request. `draw` is uniform over all 64-bit numbers.
    pub fn pick_service(&self, draw: u64) -> &str {
        let total: f64 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut point = draw as f64 / u64::MAX as f64 * total;
        let mut last = "";
        for backend in self.backends.iter().filter(|backend| backend.weight > 0.0) {
            if point < backend.weight {
                return &backend.service;
            }
            point -= backend.weight;
            last = &backend.service;
        }
        last
    }
}

fn check_path_prefix(prefix: &str, _context: &()) -> garde::Result {
    match prefix.starts_with('/') && prefix.ends_with('/') {
        true => Ok(()),
        false => Err(garde::Error::new(format!("{prefix:?} does not begin and end with a slash"))),
    }
}

fn check_weights(backends: &[WeightedBackend], _context: &()) -> garde::Result {
    match backends.iter().any(|backend| backend.weight > 0.0) {
        true => Ok(()),
        false => Err(garde::Error::new("no backend has a weight above 0")),
    }
}

#[derive(Deserialize)]
struct BackendFields {
    service: String,
    weight: Option<f64>,
}

/// The fields of a route in the text. `null` counts as absent.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RouteFields {
    name: String,
    host: String,
    path_prefix: String,
    route_kind: Option<RouteKind>,
    #[serde(default, deserialize_with = "whole")]
    timeout_ms: Option<u64>,
    #[serde(default, deserialize_with = "whole")]
    target_latency_ms: Option<u64>,
    #[serde(default, deserialize_with = "whole_u32")]
    priority: Option<u32>,
    service: Option<String>,
    weighted_backends: Option<Vec<BackendFields>>,
    #[serde(default, deserialize_with = "whole_u32")]
    retries: Option<u32>,
    session_affinity: Option<bool>,
    resumable: Option<bool>,
    #[serde(default, rename = "gap_aim_ms", deserialize_with = "whole")]
    gap_aim_ms: Option<u64>,
}

impl RouteFields {
    fn into_route(self) -> Route {
        Route {
            name: self.name,
            host: self.host,
            path_prefix: self.path_prefix,
            kind: self.route_kind.unwrap_or_default(),
            timeout_ms: self.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS),
            target_latency_ms: self.target_latency_ms.unwrap_or(DEFAULT_TARGET_LATENCY_MS),
            priority: self.priority.unwrap_or(0),
            backends: backends(self.service, self.weighted_backends),
            retries: self.retries.unwrap_or(DEFAULT_RETRIES),
            session_affinity: self.session_affinity.unwrap_or(false),
            resumable: self.resumable.unwrap_or(false),
            gap_aim_ms: self.gap_aim_ms,
        }
    }
}

/// The split of a route: its list of weights, or else all of it to its one service.
fn backends(service: Option<String>, weighted: Option<Vec<BackendFields>>) -> Vec<WeightedBackend> {
    if let Some(weighted) = weighted {
        let read = |backend: BackendFields| WeightedBackend {
            service: backend.service,
            weight: backend.weight.unwrap_or(1.0),
        };
        return weighted.into_iter().map(read).collect();
    }
    service.map(|service| WeightedBackend { service, weight: 1.0 }).into_iter().collect()
}
