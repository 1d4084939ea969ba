//! The register's value: which orders are taken, and its encoding.

mod common;

use common::{example_state, example_with, many_routes, replace, taken, update, EXAMPLE};
use googletest::prelude::*;
use std::sync::Arc;
use switchhill_configuration::{
    Change, ControlState, Decision, Document, MemoryLimit, Order, PlacerGrant, ResultCode, StateError,
    TAKEN_ORDERS_KEPT,
};

fn refusal(state: &ControlState, order: &Order) -> ResultCode {
    match state.decide(order) {
        Decision::Refused(error) => error.code,
        other => panic!("the order is not refused: {other:?}"),
    }
}

fn idle_change(base: u64, revision: u64) -> Order {
    update(base, &format!(r#"{{"revision":{revision},"limits":{{"idleTimeoutMs":{revision}}}}}"#))
}

#[gtest]
fn first_order_builds_on_nothing() {
    let state = example_state();
    expect_that!(state.revision(), eq(7));
    expect_that!(state.taken, len(eq(1)));
    expect_that!(refusal(&ControlState::default(), &replace(3, EXAMPLE)), eq(ResultCode::BaseVersionDiffers));
}

#[gtest]
fn same_order_is_acknowledged_again_also_after_later_changes() {
    let first = replace(0, EXAMPLE);
    let mut state = example_state();
    expect_that!(state.decide(&first), eq(&Decision::TakenBefore { revision: 7 }));
    let second = idle_change(7, 9);
    state = taken(&state, &second);
    state = taken(&state, &idle_change(9, 12));
    expect_that!(state.decide(&first), eq(&Decision::TakenBefore { revision: 7 }));
    expect_that!(state.decide(&second), eq(&Decision::TakenBefore { revision: 9 }));
}

#[gtest]
fn other_change_under_the_same_number_loses() {
    let state = taken(&example_state(), &idle_change(7, 9));
    let rival = update(7, r#"{"revision":9,"remove":{"routes":["chat"]}}"#);
    expect_that!(refusal(&state, &rival), eq(ResultCode::BaseVersionDiffers));
    // The same body on another base is another order.
    let rebased = Order { base_version: 9, ..idle_change(7, 9) };
    expect_that!(refusal(&state, &rebased), eq(ResultCode::RevisionNotAbove));
}

#[gtest]
fn each_bad_kind_is_refused_with_its_status() {
    let state = example_state();
    let newer = |old: &str, new: &str| example_with(old, new).replace(r#""revision": 7"#, r#""revision": 9"#);
    let faults = [
        (replace(7, &EXAMPLE[..EXAMPLE.len() / 2]), ResultCode::Unreadable, 400),
        (replace(7, &newer(r#""service":"large""#, r#""service":"x""#)), ResultCode::UnknownService, 400),
        (replace(7, &newer(r#""pathPrefix":"/""#, r#""pathPrefix":"/chat/""#)), ResultCode::SharedPlace, 400),
        (replace(7, &newer("90", "0").replace("\"weight\":10", "\"weight\":0")), ResultCode::NoWeight, 400),
        (replace(7, &newer("20000", "0")), ResultCode::NoTimeout, 400),
        (replace(7, &newer("\"revision\": 7", "\"revision\": 3")), ResultCode::RevisionNotAbove, 400),
        (replace(7, &example_with("day shift", "night shift")), ResultCode::RevisionNotAbove, 400),
        (replace(5, &newer("day shift", "night shift")), ResultCode::BaseVersionDiffers, 412),
        (update(7, r#"{"revision":9,"remove":{"services":["large"]}}"#), ResultCode::UnknownService, 400),
        (update(7, r#"{"revision":7,"remove":{"routes":["chat"]}}"#), ResultCode::RevisionNotAbove, 400),
        (update(6, r#"{"revision":9,"remove":{"routes":["chat"]}}"#), ResultCode::BaseVersionDiffers, 412),
    ];
    for (order, code, status) in faults {
        expect_that!(refusal(&state, &order), eq(code), "{order:?}");
        expect_that!(code.http_status(), eq(status));
    }
}

#[gtest]
fn digests_differ_by_kind_base_and_body() {
    let order = replace(7, EXAMPLE);
    let others = [update(7, EXAMPLE), replace(8, EXAMPLE), replace(7, &example_with("day", "late"))];
    for other in others {
        expect_that!(other.digest(), not(eq(order.digest())));
    }
    expect_that!(replace(7, EXAMPLE).digest(), eq(order.digest()));
}

#[gtest]
fn oldest_orders_are_forgotten_past_the_bound() {
    let mut state = example_state();
    state.taken = vec![state.taken[0]; TAKEN_ORDERS_KEPT];
    let state = taken(&state, &idle_change(7, 9));
    expect_that!(state.taken, len(eq(TAKEN_ORDERS_KEPT)));
    expect_that!(state.taken[TAKEN_ORDERS_KEPT - 1].revision, eq(9));
}

/// The first order, and the state after it and `changes` further ones.
fn after_many_changes(changes: u64) -> (Order, ControlState) {
    let first = replace(0, EXAMPLE);
    let last =
        (7..7 + changes).fold(example_state(), |state, base| taken(&state, &idle_change(base, base + 1)));
    (first, last)
}

#[gtest]
fn order_older_than_what_is_remembered_is_left_open_and_never_refused() {
    let (first, state) = after_many_changes(5_000);
    expect_that!(state.forgotten_up_to, eq(5_007 - TAKEN_ORDERS_KEPT as u64));
    expect_that!(state.decide(&first), eq(&Decision::Forgotten));
    for base in 7..5_007 {
        let decision = state.decide(&idle_change(base, base + 1));
        let remembered = base + 1 > state.forgotten_up_to;
        let expected = match remembered {
            true => Decision::TakenBefore { revision: base + 1 },
            false => Decision::Forgotten,
        };
        expect_that!(decision, eq(&expected), "order on {base}");
    }
    let decoded = ControlState::decode(&state.encode()).unwrap();
    expect_that!(decoded.decide(&first), eq(&Decision::Forgotten));
    expect_that!(decoded.grant_placer("node-1").decide(&first), eq(&Decision::Forgotten));
}

#[gtest]
fn what_was_certainly_never_taken_is_refused_however_old() {
    let (_, state) = after_many_changes(5_000);
    let invalid = replace(7, &example_with("20000", "0").replace(r#""revision": 7"#, r#""revision": 8"#));
    expect_that!(refusal(&state, &invalid), eq(ResultCode::NoTimeout));
    expect_that!(refusal(&state, &replace(7, "{")), eq(ResultCode::Unreadable));
    // Above what is forgotten every order taken is known, and below its own base none ever was.
    let lost = update(4_999, r#"{"revision":5000,"remove":{"routes":["chat"]}}"#);
    expect_that!(refusal(&state, &lost), eq(ResultCode::BaseVersionDiffers));
    expect_that!(refusal(&state, &idle_change(9, 8)), eq(ResultCode::BaseVersionDiffers));
}

#[gtest]
fn state_of_an_edition_without_the_floor_has_one_where_orders_may_be_forgotten() {
    let (first, state) = after_many_changes(5_000);
    let former = ControlState { forgotten_up_to: 0, ..state };
    let decoded = ControlState::decode(&former.encode()).unwrap();
    expect_that!(decoded.decide(&first), eq(&Decision::Forgotten));
    let short = ControlState::decode(&example_state().encode()).unwrap();
    expect_that!(short.forgotten_up_to, eq(0));
}

#[gtest]
fn state_survives_its_encoding() {
    let large = replace(7, &many_routes(8, 400));
    let state = taken(&example_state(), &large).grant_placer("node-3");
    let decoded = ControlState::decode(&state.encode()).unwrap();
    expect_that!(decoded, eq(&state));
    expect_that!(decoded.encode(), eq(&state.encode()));
    expect_that!(decoded.decide(&large), eq(&Decision::TakenBefore { revision: 8 }));
    let empty = ControlState::default();
    expect_that!(ControlState::decode(&empty.encode()).unwrap(), eq(&empty));
}

/// Written by the edition before the second layout: [`EXAMPLE`], one order taken, a grant to `node-3`.
const FIRST_LAYOUT: &[u8] = include_bytes!("state-layout-1.bin");

#[gtest]
fn state_of_the_first_layout_is_read() {
    let decoded = ControlState::decode(FIRST_LAYOUT).unwrap();
    let state = example_state().grant_placer("node-3");
    expect_that!(decoded, eq(&state));
    expect_that!(decoded.encode(), eq(&state.encode()));
    let similar = ControlState::decode_similar(FIRST_LAYOUT, state.document.as_ref()).unwrap();
    expect_that!(similar, eq(&state));
}

#[gtest]
fn a_state_that_is_cut_anywhere_is_an_error() {
    let encoded = example_state().grant_placer("node-3").encode();
    for length in 0..encoded.len() {
        expect_that!(ControlState::decode(&encoded[..length]), err(anything()), "{length} bytes");
    }
}

#[gtest]
fn unknown_layouts_and_broken_bytes_are_errors() {
    let mut encoded = example_state().encode();
    expect_true!(matches!(ControlState::decode(&[]), Err(StateError::Empty)));
    encoded[0] = 200;
    expect_true!(matches!(ControlState::decode(&encoded), Err(StateError::UnknownLayout(200))));
    let mut first = FIRST_LAYOUT.to_vec();
    first.truncate(first.len() / 2);
    expect_that!(ControlState::decode(&first), err(anything()));
    // A length that reaches beyond the beginning.
    let end = encoded.len() - 4;
    encoded[0] = 2;
    encoded[end..].copy_from_slice(&u32::MAX.to_le_bytes());
    expect_true!(matches!(ControlState::decode(&encoded), Err(StateError::CutOff)));
}

#[gtest]
fn placer_epochs_rise_with_each_grant() {
    let first = ControlState::default().grant_placer("node-1");
    let second = first.grant_placer("node-1");
    expect_that!(first.placer, some(eq(&PlacerGrant { holder: "node-1".to_owned(), epoch: 1 })));
    expect_that!(second.placer, some(eq(&PlacerGrant { holder: "node-1".to_owned(), epoch: 2 })));
    expect_that!(second.next_epoch, eq(2));
}

/// Guards against reading each route of a large configuration again at each change, which kept a core machine from its
/// heartbeats for longer than the others wait for them.
#[gtest]
fn a_state_decoded_beside_a_similar_one_is_the_same_and_shares_its_routes() {
    let route = |number: u32, timeout: u32| {
        format!(
            r#"{{"name":"r-{number}","host":"h.example","pathPrefix":"/{number}/","routeKind":"safe","timeoutMs":{timeout},"service":"s"}}"#
        )
    };
    let document = |revision: u32, routes: &[String]| {
        let text = format!(
            r#"{{"revision":{revision},"routes":[{}],"services":[{{"name":"s","healthCheck":"/h"}}],"limits":{{}}}}"#,
            routes.join(",")
        );
        Document::parse(text.as_bytes()).expect("a valid configuration")
    };
    let before: Vec<String> = (0..20).map(|number| route(number, 100)).collect();
    let similar = document(1, &before);
    // One replaced in its place, two taken out, one moved, two added.
    let mut after = before.clone();
    after[3] = route(3, 200);
    after.remove(7);
    after.remove(10);
    let moved = after.remove(12);
    after.insert(2, moved);
    after.extend([route(30, 100), route(31, 100)]);
    let state = ControlState { document: Some(document(2, &after)), ..example_state() };
    let alone = ControlState::decode(&state.encode()).unwrap();
    let decoded = ControlState::decode_similar(&state.encode(), Some(&similar)).unwrap();
    expect_that!(decoded, eq(&alone));
    let (decoded, alone) = (decoded.document.unwrap(), alone.document.unwrap());
    expect_that!(decoded.routes(), eq(alone.routes()));
    expect_that!(decoded.to_json(), eq(&alone.to_json()));
    let shared =
        decoded.routes().iter().filter(|route| similar.routes().iter().any(|old| Arc::ptr_eq(old, route)));
    // All but the one replaced and the two added.
    expect_that!(shared.count(), eq(after.len() - 3));
}

#[gtest]
fn a_change_shares_the_routes_that_it_leaves_alone() {
    let before = example_state().document.expect("a configuration");
    let change = Change::parse(format!(r#"{{"revision":{}}}"#, before.revision() + 1).as_bytes()).unwrap();
    let after = before.apply(&change).unwrap();
    let pairs = before.routes().iter().zip(after.routes());
    expect_that!(pairs.filter(|(old, new)| Arc::ptr_eq(old, new)).count(), eq(before.routes().len()));
    expect_that!(before.routes(), not(is_empty()));
}

/// A change that adds routes, numbered from `first`.
fn growth(base: u64, first: usize, count: usize) -> Order {
    let route = |number: usize| {
        format!(
            r#"{{"name":"g{number}","host":"grown.example","pathPrefix":"/{number}/","routeKind":"safe","timeoutMs":1000,"service":"large"}}"#
        )
    };
    let routes: Vec<String> = (first..first + count).map(route).collect();
    update(base, &format!(r#"{{"revision":{},"upsert":{{"routes":[{}]}}}}"#, base + 1, routes.join(",")))
}

/// Guards against a configuration that grows by changes, each of them small, until core machines are over their memory.
#[gtest]
fn a_configuration_over_the_memory_limit_is_refused_and_one_that_shrinks_is_taken() {
    let limit = MemoryLimit::of_process(1);
    let mut state = example_state();
    let mut count = 0;
    let refusal = loop {
        match state.decide_within(&growth(state.revision(), count, 20), limit) {
            Decision::Take(next) => state = *next,
            Decision::Refused(error) => break error,
            other => panic!("decided {other:?}"),
        }
        count += 20;
    };
    expect_that!(refusal.code, eq(ResultCode::TooLarge));
    expect_that!(refusal.code.http_status(), eq(413));
    expect_that!(refusal.to_string(), contains_substring("routes would take 1 MB of a core machine"));
    let held = state.document.as_ref().unwrap().size();
    expect_that!(held.memory_bytes(), all!(gt(300_000), le(393_216)), "three eighths of a megabyte");
    // A change that leaves the size as it is, and one that makes it smaller, are taken even above the limit.
    let lower = MemoryLimit::of_process(0);
    let idle = idle_change(state.revision(), state.revision() + 1);
    let smaller = update(
        state.revision(),
        &format!(r#"{{"revision":{},"remove":{{"routes":["g3","g4"]}}}}"#, state.revision() + 1),
    );
    expect_true!(matches!(state.decide_within(&smaller, lower), Decision::Take(_)));
    expect_true!(matches!(state.decide_within(&idle, MemoryLimit::NONE), Decision::Take(_)));
    let larger = growth(state.revision(), count, 1);
    expect_true!(matches!(state.decide_within(&larger, lower), Decision::Refused(_)));
}
