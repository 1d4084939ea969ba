//! Builds the configurations and orders that the operator sends.

use switchhill_configuration::{Order, OrderKind};

/// Builds the first order, which replaces the whole configuration.
pub fn first(routes: u64) -> Order {
    let routes: Vec<String> = (0..routes).map(|number| route(number, 0)).collect();
    let routes = routes.join(",");
    let body = format!(
        "{{\"revision\":1,\"routes\":[{routes}],\"services\":[{{\"name\":\"service\",\"healthCheck\":\"/health\",\
         \"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false}}]}}"
    );
    Order { kind: OrderKind::Replace, base_version: 0, body: body.into_bytes().into() }
}

/// Builds the update order from revision `base` to the next one.
pub fn change(routes: u64, base: u64) -> Order {
    let revision = base + 1;
    let route = route(base % routes, revision);
    let body = format!("{{\"revision\":{revision},\"upsert\":{{\"routes\":[{route}]}}}}");
    Order { kind: OrderKind::Update, base_version: base, body: body.into_bytes().into() }
}

fn route(number: u64, revision: u64) -> String {
    format!(
        "{{\"name\":\"route-{number:04}\",\"host\":\"models.example\",\"pathPrefix\":\"/path{number:04}/r{revision}/\",\
         \"routeKind\":\"streaming\",\"timeoutMs\":20000,\"targetLatencyMs\":4000,\"priority\":1,\
         \"service\":\"service\",\"retries\":1,\"sessionAffinity\":true,\"resumable\":false,\"gap_aim_ms\":250}}"
    )
}
