//! The operators' table of result codes and the enum say the same.

use std::collections::HashSet;

use googletest::prelude::*;
use switchhill_configuration::ResultCode;

const PAGE: &str = include_str!("../../../docs/operators/result-codes.md");

#[gtest]
fn page_lists_every_code_with_status_and_meaning() {
    let rows: Vec<&str> =
        PAGE.lines().filter(|line| line.starts_with("| ") && line.contains(char::is_numeric)).collect();
    let expected: Vec<String> = ResultCode::ALL
        .iter()
        .map(|code| format!("| {} | {} | {} |", code.number(), code.http_status(), code.meaning()))
        .collect();
    expect_that!(rows, eq(&expected));
}

#[gtest]
fn numbers_are_unique() {
    let numbers: HashSet<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    expect_that!(numbers.len(), eq(ResultCode::ALL.len()));
}
