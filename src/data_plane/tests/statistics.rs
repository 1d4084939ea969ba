//! Demand statistics over intervals of any length.

use super::super::statistics::Statistics;
use googletest::prelude::*;
use switchhill_routing::RequestProfile;

fn profile() -> RequestProfile {
    RequestProfile {
        service: "llm".into(),
        model: Some("small".into()),
        prompt_tokens: 100,
        output_tokens: 10,
        target_latency_ms: 400,
        ..RequestProfile::default()
    }
}

#[gtest]
fn a_request_that_arrives_in_the_same_millisecond_as_a_summary_is_counted() -> Result<()> {
    let mut statistics = Statistics::default();
    let _running = statistics.arrived("r1", &profile());
    let demand = statistics.take_demand(0);
    verify_that!(demand.len(), eq(1))?;
    expect_that!(demand[0].requests_per_s, gt(0.0));
    expect_that!(demand[0].tokens_per_s / demand[0].requests_per_s, near(110.0, 1e-6));
    let later = statistics.take_demand(300);
    verify_that!(later[0].requests_per_s, gt(0.0))
}

#[gtest]
fn the_request_rate_does_not_depend_on_the_interval() -> Result<()> {
    for span_ms in [1, 10, 300, 1000] {
        let mut statistics = Statistics::default();
        let mut demand = Vec::new();
        for _ in 0..10_000 / span_ms {
            for _ in 0..span_ms {
                drop(statistics.arrived("r1", &profile()));
            }
            demand = statistics.take_demand(span_ms);
        }
        expect_that!(demand[0].requests_per_s, near(1000.0, 10.0), "intervals of {span_ms} ms");
    }
    Ok(())
}
