//! Tests of what an order makes of a state.

use super::decide_change;
use bytes::Bytes;
use googletest::prelude::*;
use switchhill_configuration::{ControlState, Order, OrderKind};

fn order(base_version: u64, revision: u64) -> Order {
    let body = format!("{{\"revision\":{revision},\"routes\":[],\"services\":[],\"limits\":{{}}}}");
    Order { kind: OrderKind::Replace, base_version, body: Bytes::from(body) }
}

fn state_after(first: &Order) -> (ControlState, Bytes) {
    let (data, _) = decide_change(&ControlState::default(), first, None, true);
    let data = data.expect("the first order is taken");
    (ControlState::decode(&data).expect("a state that was encoded"), data)
}

#[gtest]
fn an_order_is_refused_at_once_on_a_chosen_state() {
    let (state, data) = state_after(&order(0, 3));
    let (write, answer) = decide_change(&state, &order(0, 4), Some(data), true);
    expect_that!(write, none());
    expect_that!(answer.status, eq(412));
}

#[gtest]
fn an_order_is_refused_only_after_the_state_against_it_is_written_again() {
    let (state, data) = state_after(&order(0, 3));
    let (write, answer) = decide_change(&state, &order(0, 4), Some(data.clone()), false);
    expect_that!(write, some(eq(&data)));
    expect_that!(answer.status, eq(412));
}
