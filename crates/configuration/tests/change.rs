//! Changes of named items.

mod common;

use common::EXAMPLE;
use googletest::prelude::*;
use switchhill_configuration::{Change, ConfigurationError, Document, ResultCode};

fn changed(change: &str) -> std::result::Result<Document, ConfigurationError> {
    let document = Document::parse(EXAMPLE.as_bytes()).unwrap();
    document.apply(&Change::parse(change.as_bytes())?)
}

fn route_names(document: &Document) -> Vec<&str> {
    document.routes().iter().map(|route| route.name.as_str()).collect()
}

#[gtest]
fn replaced_items_keep_their_place_and_new_ones_come_last() {
    let document = changed(
        r#"{"revision":9,"upsert":{"routes":[
            {"name":"new","host":"h","pathPrefix":"/new/","service":"small","shape":"round"},
            {"name":"chat","host":"models.example","pathPrefix":"/talk/","service":"small"}]}}"#,
    )
    .unwrap();
    expect_that!(document.revision(), eq(9));
    expect_that!(route_names(&document), eq(&vec!["chat", "embed", "new"]));
    expect_that!(document.route("models.example", "/talk/").unwrap().name.as_str(), eq("chat"));
    expect_that!(document.route("models.example", "/chat/").unwrap().name.as_str(), eq("embed"));
    let text = String::from_utf8(document.to_json()).unwrap();
    expect_that!(text, contains_substring(r#""shape":"round""#));
    expect_that!(text, contains_substring(r#""owner":"day shift""#));
    expect_that!(text, not(contains_substring("colour")));
}

#[gtest]
fn removed_items_are_gone_and_unknown_names_passed_over() {
    let document = changed(r#"{"revision":8,"remove":{"routes":["chat","never-there"]}}"#).unwrap();
    expect_that!(route_names(&document), eq(&vec!["embed"]));
}

#[gtest]
fn removal_comes_before_addition() {
    let document = changed(
        r#"{"revision":8,"upsert":{"routes":[{"name":"other","host":"models.example","pathPrefix":"/chat/",
            "service":"small"}]},"remove":{"routes":["chat"]}}"#,
    )
    .unwrap();
    expect_that!(route_names(&document), eq(&vec!["embed", "other"]));
}

#[gtest]
fn limits_may_stand_beside_or_under_upsert() {
    for change in [
        r#"{"revision":8,"limits":{"idleTimeoutMs":9000}}"#,
        r#"{"revision":8,"upsert":{"limits":{"idleTimeoutMs":9000}}}"#,
    ] {
        expect_that!(changed(change).unwrap().limits().idle_timeout_ms, eq(9_000), "{change}");
    }
}

#[gtest]
fn result_is_checked_as_a_whole() {
    let faults = [
        (r#""remove":{"services":["small"]}"#, ResultCode::UnknownService, None),
        (
            r#""upsert":{"routes":[
            {"name":"x","host":"MODELS.EXAMPLE","pathPrefix":"/chat/","service":"small"}]}"#,
            ResultCode::SharedPlace,
            Some(2),
        ),
        (
            r#""upsert":{"routes":[
            {"name":"x","host":"h","pathPrefix":"/","service":"small","timeoutMs":0}]}"#,
            ResultCode::NoTimeout,
            Some(2),
        ),
        (r#""upsert":{"routes":{}}"#, ResultCode::BadField, None),
        (r#""routes":[]"#, ResultCode::BadField, None),
        (r#""upsert":{"routes":[{"host":"h"}]}"#, ResultCode::BadField, None),
    ];
    for (fault, code, line) in faults {
        let error = changed(&format!(r#"{{"revision":8,{fault}}}"#)).unwrap_err();
        expect_that!(error.code, eq(code), "{fault}: {error}");
        expect_that!(error.line, eq(line), "{fault}: {error}");
    }
}

#[gtest]
fn change_needs_a_revision_and_a_whole_body() {
    expect_that!(changed(r#"{"upsert":{}}"#).unwrap_err().code, eq(ResultCode::BadRevision));
    expect_that!(changed(r#"{"revision":8,"upsert":{"#).unwrap_err().code, eq(ResultCode::Unreadable));
}
