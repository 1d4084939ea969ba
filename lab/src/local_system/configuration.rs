//! The operator's configurations in the stories.

use super::client::HOST;
use serde_json::{json, Value};

/// The service that all routes lead to.
pub(crate) const SERVICE: &str = "generators";

/// The model that workers hold from their start.
pub(crate) const USUAL_MODEL: &str = "usual";

/// A model that no worker holds at its start.
pub(crate) const RARE_MODEL: &str = "rare";

/// Requests that a worker runs at once.
pub(super) const SLOTS: u32 = 8;

/// Longest body of a request, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 1 << 20;

/// The first configuration: whole answers under `/embed/`, streams under `/chat/`, long objectives under `/batch/`.
pub(super) fn first(revision: u64) -> Value {
    let routes = [
        route("embed", "safe", 1000),
        route("chat", "streaming", 2000),
        // An objective long enough for a request to be held while its model is loaded.
        route("batch", "safe", 8000),
    ];
    whole(revision, &routes, &[USUAL_MODEL, RARE_MODEL])
}

/// A whole configuration: these routes to the one service, which has these models.
pub(crate) fn whole(revision: u64, routes: &[Value], models: &[&str]) -> Value {
    let model =
        |name: &&str| json!({"name": name, "weightsMb": 60.0, "loadS": 0.3, "adapters": 2, "adapterMb": 1.0});
    let models: Vec<Value> = models.iter().map(model).collect();
    json!({
        "revision": revision,
        "routes": routes,
        "services": [{
            "name": SERVICE, "healthCheck": "/health", "maxConnections": 100, "protocol": "h1", "tls": false,
            "engine": {
                "slots": SLOTS, "kvCacheTokens": 100_000, "weightsMb": 200.0, "adapterSlots": 4, "loadsPerS": 4.0,
                "models": models,
            },
        }],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": MAX_BODY_BYTES, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    })
}

/// A change that adds a route.
pub(super) fn adding(revision: u64, name: &str) -> Value {
    json!({"revision": revision, "upsert": {"routes": [route(name, "safe", 1000)]}, "remove": {"routes": []}})
}

/// A route to the one service, of all paths that begin with its name.
pub(crate) fn route(name: &str, kind: &str, target_latency_ms: u64) -> Value {
    json!({
        "name": name, "host": HOST, "pathPrefix": format!("/{name}/"), "routeKind": kind, "timeoutMs": 20_000,
        "targetLatencyMs": target_latency_ms, "priority": 1, "service": SERVICE, "retries": 2,
        "resumable": kind == "streaming", "gap_aim_ms": 500,
    })
}
