//! Long histories of orders: the valid ones are taken, the others never, and each one taken is known again.

mod common;

use common::{example_state, many_routes, replace, taken, update};
use googletest::prelude::*;
use switchhill_configuration::{ControlState, Decision, Delta, Order};

const SEEDS: u64 = 20;
const ORDERS: usize = 100;

/// A valid order on what is in force.
fn valid_order(rng: &mut fastrand::Rng, state: &ControlState) -> Order {
    let base = state.revision();
    let revision = base + rng.u64(1..4);
    if rng.u8(0..4) == 0 {
        return replace(base, &many_routes(revision, rng.usize(0..20)));
    }
    let number = rng.u8(0..30);
    let change = match rng.bool() {
        true => format!(r#""remove":{{"routes":["r{number}"]}}"#),
        false => {
            let service = &state.document.as_ref().unwrap().services()[0].name;
            let prefix = rng.u32(..);
            format!(
                r#""upsert":{{"routes":[{{"name":"r{number}","host":"new","pathPrefix":"/{prefix}/","service":"{service}"}}]}}"#
            )
        }
    };
    update(base, &format!(r#"{{"revision":{revision},{change}}}"#))
}

/// An order like `valid` with a fault.
fn invalid_order(rng: &mut fastrand::Rng, state: &ControlState, valid: &Order) -> Order {
    let base = state.revision();
    let cut = valid.body.slice(..rng.usize(0..valid.body.len()));
    match rng.u8(0..4) {
        0 => Order { base_version: base + 1, ..valid.clone() },
        1 => Order { body: cut, ..valid.clone() },
        2 => update(base, &format!(r#"{{"revision":{base}}}"#)),
        _ => {
            let route = r#"{"name":"x","host":"x","pathPrefix":"/","service":"lost"}"#;
            let revision = base + 1;
            update(base, &format!(r#"{{"revision":{revision},"upsert":{{"routes":[{route}]}}}}"#))
        }
    }
}

#[gtest]
fn valid_orders_are_taken_invalid_ones_refused_and_repeats_known() {
    for seed in 0..SEEDS {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut state = example_state();
        let mut history: Vec<(Order, u64)> = Vec::new();
        for step in 0..ORDERS {
            let order = valid_order(&mut rng, &state);
            let invalid = invalid_order(&mut rng, &state, &order);
            assert_that!(
                state.decide(&invalid),
                matches_pattern!(Decision::Refused(_)),
                "seed {seed}, step {step}: {invalid:?}"
            );
            let next = taken(&state, &order);
            assert_that!(next.revision(), gt(state.revision()), "seed {seed}, step {step}");
            let (old, new) = (state.document.as_ref().unwrap(), next.document.as_ref().unwrap());
            assert_that!(old.apply_delta(&Delta::between(old, new)), ok(eq(new)), "seed {seed}, step {step}");
            state = ControlState::decode(&next.encode()).unwrap();
            assert_that!(state, eq(&next), "seed {seed}, step {step}");
            history.push((order, state.revision()));
            let (earlier, revision) = rng.choice(&history).unwrap();
            let expected = Decision::TakenBefore { revision: *revision };
            assert_that!(state.decide(earlier), eq(&expected), "seed {seed}, step {step}");
        }
    }
}
