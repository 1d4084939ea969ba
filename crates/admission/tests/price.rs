//! The price arithmetic that the gateway and the system share.

use googletest::prelude::*;
use switchhill_admission::price::{congestion_price, delay_cost, exceeds_cost, smoothed};

#[gtest]
fn delay_cost_is_worth_over_aim_for_each_admitted_unit_a_second() {
    // Worth 2 over an aim of half a second, 30 units in 3 seconds.
    expect_that!(delay_cost(2.0, 500.0, 30.0, 3.0), near(40.0, 1e-9));
    expect_that!(delay_cost(2.0, 500.0, 0.0, 3.0), eq(0.0));
}

#[gtest]
fn a_price_is_squared_wait_over_ready_workers_times_delay_cost() {
    expect_that!(congestion_price(200.0, 4.0, 100.0), near(1.0, 1e-9));
    expect_that!(congestion_price(400.0, 4.0, 100.0), near(4.0, 1e-9));
    expect_that!(congestion_price(200.0, 8.0, 100.0), near(0.5, 1e-9));
    expect_that!(congestion_price(-50.0, 4.0, 100.0), eq(0.0));
}

#[gtest]
fn smoothing_closes_a_tenth_of_the_gap_each_time() {
    let mut price = 0.0;
    for _ in 0..7 {
        price = smoothed(0.1, 1.0, price);
    }
    expect_that!(price, near(1.0 - 0.9_f64.powi(7), 1e-9));
    expect_that!(smoothed(0.1, 0.0, 1.0), near(0.9, 1e-9));
}

#[gtest]
fn a_request_pays_while_its_value_exceeds_delay_and_price() {
    // Half of the aim costs half of the worth.
    expect_that!(exceeds_cost(1.0, 1.0, 400.0, 200.0, 0.49), eq(true));
    expect_that!(exceeds_cost(1.0, 1.0, 400.0, 200.0, 0.5), eq(false));
    expect_that!(exceeds_cost(1.0, 1.0, 400.0, 400.0, 0.0), eq(false));
    expect_that!(exceeds_cost(2.0, 1.0, 400.0, 400.0, 0.9), eq(true));
}
