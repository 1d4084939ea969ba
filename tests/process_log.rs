//! What the log of a program of the system says of its end, as real processes on loopback.
#![allow(missing_docs)]

mod system_program;

use googletest::prelude::*;
use rstest::rstest;
use std::path::Path;
use switchhill::site_settings::SETTINGS_VARIABLE;
use system_program::{folder, free_port, until, Program};

fn settings(disk: &Path) -> String {
    let (control, client, feed) = (free_port(), free_port(), free_port());
    format!(
        "nodeName: \"m-1\"\nip: \"127.0.0.1\"\nzone: \"here\"\nportRange:\n  - 0\n  - {feed}\n\
         bind:\n  control: \"127.0.0.1:{control}\"\n  http: \"127.0.0.1:{client}\"\ndataDir: {disk:?}\n"
    )
}

fn last_line(program: &Program) -> String {
    program.logged().lines().last().unwrap_or_default().to_owned()
}

#[rstest]
#[case("control-plane")]
#[case("agent")]
#[case("data-plane")]
#[gtest]
fn the_last_line_names_role_code_and_cause_of_a_start_that_failed(#[case] command: &str) {
    let folder = folder(&format!("failed-{command}"));
    let mut program = Program::start(command, None, &folder);
    expect_that!(program.wait().code(), some(eq(1)));
    let expected = format!("{command} ended with 1: {SETTINGS_VARIABLE} is not set");
    expect_that!(last_line(&program), contains_substring(expected));
    std::fs::remove_dir_all(folder).expect("removed");
}

#[rstest]
#[case("control-plane")]
#[case("agent")]
#[case("data-plane")]
#[gtest]
fn the_log_begins_with_the_role_and_ends_with_a_proper_end(#[case] command: &str) {
    let folder = folder(&format!("told-{command}"));
    let path = folder.join("local.yaml");
    std::fs::write(&path, settings(&folder.join("disk"))).expect("written");
    let mut program = Program::start(command, Some(&path), &folder);
    until("the line of the start", || program.logged().contains("started on m-1").then_some(()));
    program.send("-TERM");
    expect_that!(program.wait().code(), some(eq(0)), "{}", program.logged());
    expect_that!(last_line(&program), contains_substring(format!("{command} ended with 0: it was told to")));
    std::fs::remove_dir_all(folder).expect("removed");
}
