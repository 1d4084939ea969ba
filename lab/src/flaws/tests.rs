//! Unit tests of the command's record, report and reading.

use super::report::{summary, Row};
use super::tree_copy::ran_a_test;
use super::{record, Verdict};
use googletest::prelude::*;

fn row(name: &str, verdict: Option<Verdict>, earlier: bool) -> Row {
    Row { name: name.to_owned(), test: "cargo test x".to_owned(), verdict, seconds: 3, earlier }
}

#[gtest]
fn a_run_that_was_stopped_while_it_wrote_keeps_the_whole_lines() {
    let kept = record::read("00ff 12 one.patch\n0a0b 7 a disk loses records\n0c0d 9 thr");
    expect_that!(kept.len(), eq(2));
    expect_that!(kept.get("00ff"), some(eq(&12)));
    expect_that!(kept.get("0a0b"), some(eq(&7)));
}

#[gtest]
fn the_count_names_each_fault_that_was_not_noticed() {
    let rows = [
        row("one", Some(Verdict::Noticed), false),
        row("two", Some(Verdict::NotNoticed), false),
        row("three", Some(Verdict::Noticed), true),
        row("four", Some(Verdict::FailsWithout), false),
        row("five", None, false),
    ];
    expect_that!(
        summary(&rows, 40),
        eq("2 of 5 noticed (1 in an earlier run), 40 s\n- two: NOT noticed\n\
            - four: BROKEN (the test fails without the fault)\n- five: not run")
    );
}

#[gtest]
fn a_row_tells_the_verdict_and_its_seconds() {
    let line = row("one.patch", Some(Verdict::DoesNotApply), false).line();
    expect_that!(line, eq("| one.patch | `cargo test x` | BROKEN (does not apply) | 3 |"));
    let line = row("one.patch", Some(Verdict::Noticed), true).line();
    expect_that!(line, eq("| one.patch | `cargo test x` | noticed, earlier run | 3 |"));
    let line = row("one.patch", None, false).line();
    expect_that!(line, eq("| one.patch | `cargo test x` | not run | - |"));
}

#[gtest]
fn a_filter_that_meets_no_test_is_told_from_one_that_passes() {
    let nothing = "test result: ok. 0 passed; 0 failed; 0 ignored; 0 measured; 40 filtered out";
    expect_that!(ran_a_test(nothing), eq(false));
    let one =
        format!("{nothing}\ntest result: ok. 1 passed; 0 failed; 0 ignored; 0 measured; 0 filtered out");
    expect_that!(ran_a_test(&one), eq(true));
    expect_that!(ran_a_test("test result: FAILED. 3 passed; 1 failed"), eq(false));
}
