//! Deltas lead from any configuration to any other.

mod common;

use common::{example_with, many_routes, EXAMPLE};
use googletest::prelude::*;
use proptest::prelude::*;
use switchhill_configuration::{Delta, DeltaError, Document};

fn document(text: &str) -> Document {
    Document::parse(text.as_bytes()).unwrap()
}

/// The configuration that results where `old` is held and the delta to `new` comes over the wire.
fn sent(old: &Document, new: &Document) -> std::result::Result<Document, DeltaError> {
    let delta = Delta::decode(&Delta::between(old, new).encode())?;
    assert_eq!((delta.from_revision(), delta.to_revision()), (old.revision(), new.revision()));
    old.apply_delta(&delta)
}

#[gtest]
fn delta_of_one_route_among_many_is_small() {
    let old = document(&many_routes(1, 400));
    let new = document(&many_routes(2, 400).replacen("1000", "2000", 1));
    expect_that!(Delta::between(&old, &new).encode().len(), lt(500));
    expect_that!(sent(&old, &new).unwrap(), eq(&new));
}

#[gtest]
fn members_that_come_and_go_are_carried() {
    let old = document(EXAMPLE);
    let new = document(r#"{"revision":9,"services":[{"name":"x"}],"added":[1,2]}"#);
    expect_that!(sent(&old, &new).unwrap().to_json(), eq(&new.to_json()));
    expect_that!(sent(&new, &old).unwrap().to_json(), eq(&old.to_json()));
}

#[gtest]
fn delta_does_not_apply_to_another_base() {
    let old = document(EXAMPLE);
    let new = document(&example_with("\"revision\": 7", "\"revision\": 9"));
    let delta = Delta::between(&old, &new);
    expect_that!(new.apply_delta(&delta), err(eq(&DeltaError::BaseDiffers { expected: 7, held: 9 })));
    // Two operators may choose one number for two configurations; the digest tells them apart.
    let rival = document(&example_with("day shift", "night shift"));
    expect_that!(rival.apply_delta(&delta), err(eq(&DeltaError::DigestDiffers)));
    expect_that!(Delta::decode(b"{"), err(anything()));
}

#[derive(Clone, Debug)]
struct RouteSketch {
    number: u8,
    timeout: u16,
    split: bool,
}

fn sketches() -> impl Strategy<Value = Vec<RouteSketch>> {
    let sketch = (0_u8..12, 1_u16..4, any::<bool>()).prop_map(|(number, timeout, split)| RouteSketch {
        number,
        timeout,
        split,
    });
    proptest::collection::vec(sketch, 0..10)
}

fn text(revision: u64, sketches: &[RouteSketch], limits: Option<u16>) -> String {
    let mut seen = std::collections::HashSet::new();
    let unique = sketches.iter().filter(|sketch| seen.insert(sketch.number));
    let routes: Vec<String> = unique
        .map(|sketch| {
            let backend = match sketch.split {
                true => r#""weightedBackends":[{"service":"a","weight":1},{"service":"b","weight":2.5}]"#,
                false => r#""service":"a""#,
            };
            let RouteSketch { number, timeout, .. } = sketch;
            format!(r#"{{"name":"r{number}","host":"h","pathPrefix":"/{number}/","timeoutMs":{timeout},{backend}}}"#)
        })
        .collect();
    let limits = limits.map(|limit| format!(r#","limits":{{"idleTimeoutMs":{limit}}}"#)).unwrap_or_default();
    let routes = routes.join(",");
    format!(
        r#"{{"revision":{revision},"routes":[{routes}],"services":[{{"name":"a"}},{{"name":"b"}}]{limits}}}"#
    )
}

proptest! {
    #[test]
    fn delta_applied_gives_the_new_configuration(
        old in sketches(), new in sketches(), old_limits: Option<u16>, new_limits: Option<u16>,
    ) {
        let old = document(&text(1, &old, old_limits));
        let new = document(&text(2, &new, new_limits));
        let result = sent(&old, &new).unwrap();
        prop_assert_eq!(result.to_json(), new.to_json());
        prop_assert_eq!(result.routes(), new.routes());
        prop_assert_eq!(result.digest(), new.digest());
    }

    #[test]
    fn text_read_and_written_is_the_same(sketches in sketches(), limits: Option<u16>) {
        let text = text(3, &sketches, limits);
        prop_assert_eq!(String::from_utf8(document(&text).to_json()).unwrap(), text);
    }

    #[test]
    fn no_body_makes_the_reader_fail_otherwise_than_by_an_error(body: Vec<u8>) {
        let _ = Document::parse(&body);
        let _ = Delta::decode(&body);
    }
}
