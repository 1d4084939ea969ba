//! A node that restarts with a large committed value on its disk.
#![allow(missing_docs)]

mod core;

use core::Core;
use googletest::prelude::*;
use switchhill_protocol::{PeerBody, PeerFrame};

/// Routes of the configuration: some 200 KB.
const ROUTES: usize = 1_000;

/// Time in milliseconds for the electorate to settle, and for a node to catch up.
const SETTLE_MS: u64 = 3_000;

fn configuration() -> String {
    let route = |number: usize| {
        format!(
            "{{\"name\":\"route-{number}\",\"host\":\"models.example\",\"pathPrefix\":\"/path{number}/\",\
             \"routeKind\":\"streaming\",\"timeoutMs\":20000,\"targetLatencyMs\":4000,\"priority\":1,\
             \"service\":\"service\",\"retries\":1,\"sessionAffinity\":true}}"
        )
    };
    let routes: Vec<String> = (0..ROUTES).map(route).collect();
    format!(
        "{{\"revision\":1,\"routes\":[{}],\"services\":[{{\"name\":\"service\",\"healthCheck\":\"/health\",\
         \"maxConnections\":360,\"protocol\":\"h1\",\"tls\":false}}]}}",
        routes.join(",")
    )
}

fn register_bytes(sent: &[(u64, PeerFrame)], receiver: u64) -> usize {
    let registers =
        sent.iter().filter(|(to, _)| *to == receiver).filter_map(|(_, frame)| match &frame.body {
            Some(PeerBody::Register(envelope)) => Some(envelope.message.len()),
            _ => None,
        });
    registers.sum()
}

#[gtest]
fn a_node_is_not_sent_the_large_value_on_its_own_disk() {
    let mut core = Core::start(3);
    core.run(SETTLE_MS);
    let body = configuration();
    let change = core.replace(1, 0, &body);
    core.run(SETTLE_MS);
    expect_that!(core.status(change), some(eq(200)));
    core.restart(2, 2_001);
    core.sent.clear();
    core.run(SETTLE_MS);
    expect_that!(core.node(2).revision(), eq(1));
    expect_that!(register_bytes(&core.sent, 2), lt(body.len() / 10));
}
