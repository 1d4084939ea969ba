//! `switchhill check` on the system's files: settings of a process, configurations of the operator.
#![allow(missing_docs)]

use googletest::prelude::*;
use std::path::PathBuf;
use std::process::Command;
use switchhill_lab::stand_in::program;

const SETTINGS: &str = r#"nodeName: "core-1"
role: "control-plane"
ip: "10.1.0.38"
zone: "north"
bind:
  control: "10.1.0.38:8146"
portRange:
  - 7660
  - 7675
seeds:
  - "10.1.0.38:8146"
  - "10.2.0.30:8146"
limits:
  maxFds: 4096
"#;

const CONFIGURATION: &str = r#"{"revision": 7,
 "routes": [
  {"name": "chat", "host": "models.example", "pathPrefix": "/chat/", "routeKind": "streaming",
   "timeoutMs": 20000, "targetLatencyMs": 4000, "priority": 0, "service": "large"},
  {"name": "embed", "host": "models.example", "pathPrefix": "/embed/", "routeKind": "safe",
   "timeoutMs": 12000, "targetLatencyMs": 300, "priority": 1, "service": "small"}
 ],
 "services": [{"name": "large"}, {"name": "small"}]
}
"#;

/// Checks a file with this text; its exit code, its lines, and the name that its lines begin with.
fn check(name: &str, text: &str) -> (Option<i32>, Vec<String>, String) {
    let path: PathBuf = std::env::temp_dir().join(format!("switchhill-check-{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file can be written");
    let output = Command::new(program()).arg("check").arg(&path).output().expect("the program runs");
    std::fs::remove_file(&path).expect("the file can be removed");
    let said = String::from_utf8_lossy(&output.stdout).lines().map(str::to_owned).collect();
    (output.status.code(), said, path.display().to_string())
}

fn expect_fault(name: &str, text: &str, place: &str, problem: &str) {
    let (code, said, file) = check(name, text);
    expect_that!(code, some(eq(2)));
    let line = said.first().cloned().unwrap_or_default();
    expect_that!(said, len(eq(1)));
    expect_that!(line, starts_with(format!("{file}:{place}")));
    expect_that!(line, contains_substring(problem));
}

#[gtest]
fn sound_files_pass_without_a_word() {
    for (name, text) in [("sound.yaml", SETTINGS), ("sound.json", CONFIGURATION)] {
        let (code, said, _) = check(name, text);
        expect_that!(code, some(eq(0)), "{name}");
        expect_that!(said, is_empty(), "{name}");
    }
}

#[gtest]
fn a_wrong_value_in_settings_is_named_by_line_and_field() {
    let text = SETTINGS.replace("\"10.2.0.30:8146\"", "\"nowhere\"");
    expect_fault("value.yaml", &text, "12: `seeds[1]`: ", "invalid");
}

#[gtest]
fn a_field_that_settings_lack_is_named() {
    expect_fault("missing.yaml", &SETTINGS.replace("zone: \"north\"\n", ""), "", "`zone`: missing field");
}

#[gtest]
fn ports_in_the_wrong_order_are_named_by_line_and_field() {
    let text = SETTINGS.replace("- 7675", "- 7600");
    expect_fault("ports.yaml", &text, "8: `portRange`: ", "below the first");
}

#[gtest]
fn an_unknown_service_is_named_by_line_route_and_field_with_its_code() {
    let text = CONFIGURATION.replace("\"service\": \"small\"", "\"service\": \"tiny\"");
    expect_fault("service.json", &text, "5: `routes[embed].service`: 1001: ", "there is no service \"tiny\"");
}

#[gtest]
fn a_revision_that_is_no_number_is_named() {
    let text = CONFIGURATION.replace("\"revision\": 7", "\"revision\": \"seven\"");
    expect_fault("revision.json", &text, "1: `revision`: 1008: ", "seven");
}

#[gtest]
fn text_that_yaml_takes_and_json_does_not_is_no_configuration() {
    let text = CONFIGURATION.replace("{\"name\": \"small\"}]", "{\"name\": \"small\"},]");
    expect_fault("comma.json", &text, "", "1000: ");
}
