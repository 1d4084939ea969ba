//! Reading a configuration, giving it back, and finding routes.

mod common;

use common::{example_with, many_routes, EXAMPLE};
use googletest::prelude::*;
use switchhill_configuration::{ClientLimits, Document, ResultCode, Route, RouteKind};

fn example() -> Document {
    Document::parse(EXAMPLE.as_bytes()).unwrap()
}

fn route_of(fields: &str) -> Route {
    let text = format!(
        r#"{{"revision":1,"services":[{{"name":"a"}},{{"name":"b"}}],"routes":[{{"name":"r","host":"h","pathPrefix":"/",{fields}}}]}}"#
    );
    Route::clone(&Document::parse(text.as_bytes()).unwrap().routes()[0])
}

#[gtest]
fn typed_views_hold_what_the_text_says() {
    let document = example();
    expect_that!(document.revision(), eq(7));
    let chat = &document.routes()[0];
    expect_that!(chat.kind, eq(RouteKind::Streaming));
    expect_that!(chat.target_latency_ms, eq(4_000));
    expect_that!(chat.gap_aim_ms, some(eq(250)));
    expect_true!(chat.session_affinity && chat.resumable);
    let backends = &document.routes()[1].backends;
    expect_that!(backends.iter().map(|backend| backend.weight).collect::<Vec<_>>(), eq(&vec![90.0, 10.0]));
    let engine = document.service("large").unwrap().engine.as_ref().unwrap();
    expect_that!(engine.slots, eq(64));
    expect_that!(engine.models[0].weights_mb, eq(65099.99999999999));
    expect_that!(document.service("small").unwrap().engine, none());
    expect_that!(document.limits().idle_timeout_ms, eq(15_000));
}

#[gtest]
fn text_is_given_back_with_order_and_unknown_fields() {
    let given_back = String::from_utf8(example().to_json()).unwrap();
    expect_that!(given_back, contains_substring(r#""colour":{"z":1,"a":[null]}"#));
    expect_that!(given_back, contains_substring("65099.99999999999"));
    let places =
        ["revision", "routes", "owner", "services", "limits"].map(|name| given_back.find(name).unwrap());
    expect_true!(places.is_sorted());
    let again = Document::parse(given_back.as_bytes()).unwrap();
    expect_that!(again, eq(&example()));
    expect_that!(again.digest(), eq(example().digest()));
}

#[gtest]
fn digest_tells_documents_apart() {
    let other = Document::parse(example_with("day shift", "night shift").as_bytes()).unwrap();
    expect_that!(other.digest(), not(eq(example().digest())));
}

#[gtest]
fn longest_prefix_of_the_host_wins() {
    let document = example();
    let name = |host, path| document.route(host, path).map(|route| route.name.as_str());
    expect_that!(name("models.example", "/chat/2f"), some(eq("chat")));
    expect_that!(name("MODELS.example:8080", "/chat/"), some(eq("chat")));
    expect_that!(name("models.example", "/chat"), some(eq("embed")));
    expect_that!(name("models.example", "/other?next=/chat/"), some(eq("embed")));
    expect_that!(name("models.example", "/é"), some(eq("embed")));
    expect_that!(name("models.example", "*"), none());
    expect_that!(name("other.example", "/chat/"), none());
}

#[gtest]
fn every_one_of_many_routes_is_found() {
    let document = Document::parse(many_routes(1, 500).as_bytes()).unwrap();
    for number in 0..500 {
        let found = document.route(&format!("h{}.example", number % 10), &format!("/p{number}/x/y"));
        assert_that!(found.map(|route| route.name.clone()), some(eq(&format!("r{number}"))));
    }
    expect_that!(document.route("h0.example", "/p1/"), none());
}

#[gtest]
fn draws_split_by_weight() {
    let document = example();
    let embed = &document.routes()[1];
    const DRAWS: u64 = 1_000;
    let step = u64::MAX / DRAWS;
    let small = (0..DRAWS).filter(|draw| embed.pick_service(draw * step) == "small").count();
    expect_that!(small, all![ge(99), le(101)]);
    expect_that!(embed.pick_service(0), eq("large"));
    expect_that!(embed.pick_service(u64::MAX), eq("small"));
}

#[gtest]
fn backend_without_weight_is_never_picked() {
    let route = route_of(r#""weightedBackends":[{"service":"a","weight":0},{"service":"b","weight":3}]"#);
    for draw in [0, 1, u64::MAX / 2, u64::MAX] {
        expect_that!(route.pick_service(draw), eq("b"));
    }
}

#[gtest]
fn absent_and_null_fields_have_defaults() {
    let route = route_of(r#""service":"a","timeoutMs":null,"routeKind":null,"weightedBackends":null"#);
    expect_that!(route.kind, eq(RouteKind::Unsafe));
    expect_that!(route.timeout_ms, gt(0));
    expect_that!(route.gap_aim_ms, none());
    let document = Document::parse(br#"{"revision":1}"#).unwrap();
    expect_that!(*document.limits(), eq(ClientLimits::default()));
    expect_that!(document.routes(), is_empty());
}

#[gtest]
fn whole_numbers_may_carry_a_fraction() {
    expect_that!(route_of(r#""service":"a","timeoutMs":12000.0"#).timeout_ms, eq(12_000));
    expect_that!(route_of(r#""service":"a","timeoutMs":0.4"#).timeout_ms, eq(1));
}

#[gtest]
fn each_fault_has_its_code_item_field_and_line() {
    let faults = [
        (r#""service":"large""#, r#""service":"lost""#, ResultCode::UnknownService, "chat", "service", 4),
        (
            r#""pathPrefix":"/""#,
            r#""pathPrefix":"/chat/""#,
            ResultCode::SharedPlace,
            "embed",
            "pathPrefix",
            7,
        ),
        (r#""timeoutMs":12000"#, r#""timeoutMs":0"#, ResultCode::NoTimeout, "embed", "timeoutMs", 7),
        (r#""name":"embed""#, r#""name":"chat""#, ResultCode::DuplicateName, "chat", "", 7),
        (r#""name":"small""#, r#""name":"large""#, ResultCode::DuplicateName, "large", "", 17),
        (
            r#""pathPrefix":"/chat/""#,
            r#""pathPrefix":"/chat""#,
            ResultCode::BadPathPrefix,
            "chat",
            "pathPrefix",
            4,
        ),
        (r#""routeKind":"safe""#, r#""routeKind":"tame""#, ResultCode::BadField, "embed", "routeKind", 7),
        (r#""timeoutMs":20000"#, r#""timeoutMs":-1"#, ResultCode::BadField, "chat", "timeoutMs", 4),
    ];
    for (old, new, code, item, field, line) in faults {
        let error = Document::parse(example_with(old, new).as_bytes()).unwrap_err();
        expect_that!(error.code, eq(code), "{new}: {error}");
        expect_that!(error.item.as_deref(), some(eq(item)), "{new}: {error}");
        expect_that!(error.field.as_deref().unwrap_or(""), eq(field), "{new}: {error}");
        expect_that!(error.line, some(eq(line)), "{new}: {error}");
    }
}

#[gtest]
fn split_without_weight_is_refused() {
    let split = r#""weightedBackends":[{"service":"large","weight":90},
     {"service":"small","weight":10}],"#;
    for without in
        [r#""weightedBackends":[{"service":"large","weight":0}],"#, r#""weightedBackends":[],"#, ""]
    {
        let error = Document::parse(example_with(split, without).as_bytes()).unwrap_err();
        expect_that!(error.code, eq(ResultCode::NoWeight), "{without}");
    }
    let negative = r#""weightedBackends":[{"service":"large","weight":-1},{"service":"small","weight":2}],"#;
    let error = Document::parse(example_with(split, negative).as_bytes()).unwrap_err();
    expect_that!(error.code, eq(ResultCode::BadField));
}

#[gtest]
fn body_cut_short_anywhere_is_unreadable() {
    for length in 0..EXAMPLE.len() {
        let error = Document::parse(&EXAMPLE.as_bytes()[..length]).unwrap_err();
        assert_that!(error.code, eq(ResultCode::Unreadable), "cut to {length} bytes");
        assert_that!(error.line, some(anything()));
    }
    let doubled = format!("{EXAMPLE}{EXAMPLE}");
    expect_that!(Document::parse(doubled.as_bytes()).unwrap_err().code, eq(ResultCode::Unreadable));
}

#[gtest]
fn revision_has_to_be_a_whole_number() {
    for revision in [r#""seven""#, "-7", "null", "[]"] {
        let body = example_with(r#""revision": 7"#, &format!(r#""revision": {revision}"#));
        let error = Document::parse(body.as_bytes()).unwrap_err();
        expect_that!(error.code, eq(ResultCode::BadRevision), "{revision}");
    }
    expect_that!(Document::parse(b"{}").unwrap_err().code, eq(ResultCode::BadRevision));
}
