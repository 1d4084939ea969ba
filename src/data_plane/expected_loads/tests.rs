//! Tests of the table of expected loads and its copies.

use super::{ExpectedLoads, ModelKey};
use googletest::prelude::*;
use std::sync::Arc;

const MODELS: u32 = 300;

fn key(number: u32) -> Arc<ModelKey> {
    let (service, model) = ("service".to_owned(), format!("model-{number}"));
    Arc::new(ModelKey { service, model, adapter: None })
}

/// The table is copied for each announcement while the data plane holds the previous one, on every
/// gatekeeper. When copies did not share their keys, a profile of a busy day showed a fifth of a gatekeeper's
/// processor time in copying names.
#[gtest]
fn a_modified_copy_shares_its_keys_with_the_original() {
    let keys: Vec<Arc<ModelKey>> = (0..MODELS).map(key).collect();
    let mut first = ExpectedLoads::default();
    for key in &keys {
        first.set(key.clone(), Some(1_000));
    }
    let mut current = Arc::new(first);
    let previous = current.clone();
    Arc::make_mut(&mut current).set(key(0), Some(2_000));
    // Each key has three owners: this test and both tables.
    let owners = keys.iter().map(Arc::strong_count).collect::<Vec<usize>>();
    expect_that!(owners, each(eq(&3)));
    expect_that!((previous.ready_at(&keys[0]), current.ready_at(&keys[0])), eq((Some(1_000), Some(2_000))));
}

#[gtest]
fn expired_entries_are_removed() {
    let mut expected = ExpectedLoads::default();
    expected.set(key(1), Some(1_000));
    expected.set(key(2), Some(3_000));
    expect_that!((expected.has_entry_before(1_000), expected.has_entry_before(2_000)), eq((false, true)));
    expected.remove_before(2_000);
    expect_that!((expected.ready_at(&key(1)), expected.ready_at(&key(2))), eq((None, Some(3_000))));
}
