//! The program's command line: what it prints and how it exits.
#![allow(missing_docs)]

use rstest::rstest;
use std::process::{Command, Output};
use switchhill_lab::stand_in::{program, CONFIG};

fn run(arguments: &[&str]) -> Output {
    let mut command = Command::new(program());
    command.env_remove("RELAY_CONFIG").env_remove("SWITCHHILL_OPERATOR").args(arguments);
    command.output().expect("runs")
}

#[rstest]
#[case::version(&["--version"], 0, "switchhill ")]
#[case::help(&["--help"], 0, "Exit codes: 0")]
#[case::help_of_check(&["check", "--help"], 0, "file:line: field")]
fn it_tells_about_itself(#[case] arguments: &[&str], #[case] code: i32, #[case] says: &str) {
    let output = run(arguments);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(code), "{said}");
    assert!(said.contains(says), "{said}");
}

#[rstest]
#[case::no_such_command(&["sever"], 2, "serve")]
#[case::check_of_nothing(&["check"], 2, "FILE")]
#[case::no_configuration(&[], 1, "neither --config nor RELAY_CONFIG")]
#[case::no_such_file(&["serve", "--config", "/nowhere/config.json"], 1, "cannot read /nowhere/config.json")]
fn a_bad_command_line_says_what_to_do(#[case] arguments: &[&str], #[case] code: i32, #[case] says: &str) {
    let output = run(arguments);
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(code), "{said}");
    assert!(said.contains(says), "{said}");
}

#[test]
fn check_prints_every_fault_of_every_file_with_its_line() {
    let folder = std::env::temp_dir().join(format!("switchhill-check-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let file = |name: &str, text: &str| {
        let path = folder.join(name);
        std::fs::write(&path, text).expect("written");
        path.to_str().expect("text").to_string()
    };
    let good = file("good.json", CONFIG);
    let bad = file("bad.json", &CONFIG.replacen("\"sockets\":1024", "\"sockets\":8", 1));
    let operator = file("operator.yaml", "http2:\n  upstream: []\nlog:\n  format: xml\n");
    assert_eq!(run(&["check", &good]).status.code(), Some(0));
    let output = run(&["check", &good, &bad, &operator]);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(2), "{said}");
    let lines: Vec<&str> = said.lines().collect();
    let begins = [
        format!("{bad}:2: `limits.sockets`: must be at least 64"),
        format!("{operator}:2: `http2.upstream`: unknown field"),
        format!("{operator}:4: `log.format`: "),
    ];
    assert_eq!(lines.len(), begins.len(), "{said}");
    for (line, begin) in lines.iter().zip(begins) {
        assert!(line.starts_with(&begin), "{line} for {begin}");
    }
    std::fs::remove_dir_all(folder).expect("removed");
}

#[test]
fn the_stores_bound_is_told_by_plan_with_its_terms_and_needs_a_store() {
    let folder = std::env::temp_dir().join(format!("switchhill-bound-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let put = |name: &str, text: &str| {
        std::fs::write(folder.join(name), text).expect("written");
        folder.join(name).display().to_string()
    };
    let config = put("config.json", CONFIG);
    let with = put("with.yaml", "store: {address: \"127.0.0.1:6379\", timeout_ms: 100}\n");
    let without = put("without.yaml", "log: {format: json}\n");
    let output = run(&["store", "bound", "--config", &config, "--operator", &with]);
    let said = String::from_utf8_lossy(&output.stdout).into_owned();
    assert_eq!(output.status.code(), Some(0), "{said}");
    for part in ["basic: 0.89 a second", "lost", "silent", "split", "use of the open period: rate x period"] {
        assert!(said.contains(part), "{part} in {said}");
    }
    let output = run(&["store", "bound", "--config", &config, "--operator", &without]);
    assert_eq!(output.status.code(), Some(1));
    assert!(String::from_utf8_lossy(&output.stderr).contains("names no `store`"));
    let _ = std::fs::remove_dir_all(folder);
}
