//! Configurations of the sites on which floods of answers and growing configurations are played.

use super::flood_worker::{AnswerCase, SLOTS};
use crate::local_system::client::HOST;
use crate::local_system::configuration::SERVICE;
use serde_json::{json, Value};

/// The model that every worker holds.
pub(super) const MODEL: &str = "usual";

/// Beginning of the paths of requests that are answered at once.
pub(super) const PLAIN_PATH: &str = "/plain/";

/// The first configuration: a route to each kind of answer.
pub(super) fn first(revision: u64) -> Value {
    let routes: Vec<Value> =
        AnswerCase::ALL.iter().map(|case| case.path()).chain([PLAIN_PATH]).map(route).collect();
    json!({
        "revision": revision,
        "routes": routes,
        "services": [{
            "name": SERVICE, "healthCheck": "/health", "maxConnections": SLOTS, "protocol": "h1", "tls": false,
            "engine": {
                "slots": SLOTS, "kvCacheTokens": 10_000_000, "weightsMb": 200.0, "adapterSlots": 4, "loadsPerS": 4.0,
                "models": [{"name": MODEL, "weightsMb": 60.0, "loadS": 0.3, "adapters": 0, "adapterMb": 1.0}],
            },
        }],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    })
}

fn route(path: &str) -> Value {
    let is_stream = path == AnswerCase::EndlessEvent.path();
    json!({
        "name": path.trim_matches('/'), "host": HOST, "pathPrefix": path,
        "routeKind": if is_stream { "streaming" } else { "unsafe" }, "timeoutMs": 30_000,
        "targetLatencyMs": 10_000, "priority": 1, "service": SERVICE, "retries": 1,
    })
}

/// A change that adds `count` routes, numbered from `first`, each as long as those of a small deployment.
pub(super) fn growth(revision: u64, first: usize, count: usize) -> Value {
    let route = |number: usize| {
        json!({
            "name": format!("r-grown{number:07}"), "host": HOST, "pathPrefix": format!("/grown{number:07}/"),
            "routeKind": "streaming", "timeoutMs": 12_000, "targetLatencyMs": 300, "priority": 1,
            "service": SERVICE, "retries": 2, "sessionAffinity": true, "resumable": true, "gap_aim_ms": 250,
        })
    };
    let routes: Vec<Value> = (first..first + count).map(route).collect();
    json!({"revision": revision, "upsert": {"routes": routes}, "remove": {}})
}
