//! The hollow fleet's configuration.

use bytes::Bytes;
use serde_json::{json, Value};
use switchhill_configuration::{Order, OrderKind};

/// The service of all workers.
pub(super) const SERVICE: &str = "models";
/// Routes of the configuration.
pub(super) const ROUTES: usize = 400;
/// Adapters of each model: 62,000 over 1,400 models.
pub(super) const ADAPTERS: u32 = 44;
/// Time in milliseconds of a load from the store.
pub(super) const LOAD_MS: u64 = 4_000;
/// Requests that a worker runs at a time.
pub(super) const SLOTS: u32 = 64;

/// Name of a model.
pub(super) fn model_name(model: usize) -> String {
    format!("m{model}")
}

fn route(number: usize, timeout_ms: u64) -> Value {
    json!({
        "name": format!("route-{number}"),
        "host": format!("tenant-{number}.example"),
        "pathPrefix": "/v1/chat/",
        "routeKind": "safe",
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 540,
        "service": SERVICE,
        "retries": 1,
    })
}

/// The whole configuration.
pub(super) fn document(models: usize) -> Vec<u8> {
    let model = |model: usize| {
        json!({
            "name": model_name(model),
            "weightsMb": 70_000.0,
            "loadS": LOAD_MS as f64 / 1_000.0,
            "adapters": ADAPTERS,
            "adapterMb": 60.0,
        })
    };
    let service = json!({
        "name": SERVICE,
        "healthCheck": "/health",
        "maxConnections": 1_000,
        "protocol": "h1",
        "tls": false,
        "engine": {
            "slots": SLOTS,
            "kvCacheTokens": 120_000,
            "kvTokenBytes": 163_840,
            "linkMbps": 550_000.0,
            "stride": 5,
            "models": (0..models).map(model).collect::<Vec<_>>(),
            "weightsMb": 230_000.0,
            "adapterSlots": 8,
            "loadsPerS": 0.35,
        },
    });
    let document = json!({
        "revision": 1,
        "routes": (0..ROUTES).map(|number| route(number, 30_000)).collect::<Vec<_>>(),
        "services": [service],
        "limits": {"maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304, "headerTimeoutMs": 3_000, "idleTimeoutMs": 15_000},
    });
    document.to_string().into_bytes()
}

/// The change of one route that leads to a revision.
pub(super) fn change(revision: u64) -> Vec<u8> {
    let number = revision as usize % ROUTES;
    json!({"revision": revision, "upsert": {"routes": [route(number, 30_000 + revision)]}})
        .to_string()
        .into_bytes()
}

/// The order that leads from a revision to the next.
pub(super) fn order(models: usize, revision: u64) -> Order {
    let (kind, body) = match revision {
        0 => (OrderKind::Replace, document(models)),
        _ => (OrderKind::Update, change(revision + 1)),
    };
    Order { kind, base_version: revision, body: Bytes::from(body) }
}
