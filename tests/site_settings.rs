//! The settings file of a system process: what is read, what is skipped, and how a fault is named.

use googletest::prelude::*;
use std::path::PathBuf;
use switchhill::site_settings::SiteSettings;

const WHOLE: &str = r#"
nodeName: "core-1"
role: "my-core"
machineClass: "core"
serves:
  - "control"
ip: "10.1.0.38"
zone: "north"
zones:
  north: "region"
bind:
  control: "10.1.0.38:8146"
portRange:
  - 7660
  - 7675
seeds:
  - "10.1.0.38:8146"
  - "10.2.0.30:8146"
bootstrap: true
limits:
  maxFds: 4096
  somethingNew: 7
dataDir: "/data/my-core"
heartbeatMs: 1200
faultTolerance:
  machines: 2
bounds:
  livenessMs: 2500
  graceS: 4.5
  again_s: 0
  fencing: false
"#;

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("switchhill-settings-{}-{name}.yaml", std::process::id()));
    std::fs::write(&path, text).expect("the file can be written");
    path
}

fn fault(name: &str, text: &str) -> String {
    let path = file(name, text);
    let fault = SiteSettings::read(&path).expect_err("the settings are wrong").to_string();
    std::fs::remove_file(path).expect("the file can be removed");
    fault
}

#[gtest]
fn the_failure_domain_is_the_zone_or_the_region_where_its_loss_is_to_be_borne() {
    let read = |name: &str, tolerance: &str| {
        let path = file(name, &WHOLE.replace("  machines: 2", tolerance));
        let settings = SiteSettings::read(&path).expect("the settings are right");
        std::fs::remove_file(path).expect("the file can be removed");
        (settings.failure_domain().to_owned(), settings.fault_tolerance.domains())
    };
    expect_that!(read("none", "  machines: 2"), eq(&("north".to_owned(), 0)));
    expect_that!(read("zones", "  machines: 1\n  zones: 1"), eq(&("north".to_owned(), 1)));
    expect_that!(read("regions", "  zones: 1\n  regions: 1"), eq(&("region".to_owned(), 1)));
}

#[gtest]
fn fields_are_read_and_unknown_ones_skipped() -> googletest::Result<()> {
    let path = file("whole", WHOLE);
    let settings = SiteSettings::read(&path).expect("the settings are right");
    std::fs::remove_file(path).expect("the file can be removed");
    expect_that!(settings.node_name, eq("core-1"));
    expect_that!(settings.internal_port(), eq(7660));
    expect_that!(settings.feed_port(), eq(7675));
    expect_that!(settings.seeds, len(eq(2)));
    expect_that!(settings.bootstrap, eq(true));
    expect_that!(settings.fault_tolerance.machines, eq(2));
    expect_that!(settings.bounds.liveness_ms, eq(2500));
    expect_that!(settings.bounds.fencing, eq(false));
    expect_that!(settings.bounds.drain_ms, eq(2000));
    expect_that!(settings.grace().as_millis(), eq(4500));
    Ok(())
}

#[gtest]
fn a_wrong_field_is_named_with_file_and_line() {
    let fault = fault("wrong", &WHOLE.replace("\"10.2.0.30:8146\"", "\"nowhere\""));
    expect_that!(fault, contains_substring("switchhill-settings-"));
    expect_that!(fault, contains_substring("line 18"));
}

#[gtest]
fn a_missing_field_is_named() {
    let fault = fault("missing", &WHOLE.replace("nodeName: \"core-1\"", ""));
    expect_that!(fault, contains_substring("nodeName"));
}

#[gtest]
fn ports_that_cannot_be_used_are_refused() {
    let fault = fault("ports", &WHOLE.replace("- 7675", "- 7660"));
    expect_that!(fault, contains_substring("portRange"));
}

#[gtest]
fn a_file_that_is_not_there_is_named() {
    let fault = SiteSettings::read(&PathBuf::from("/nowhere/local.yaml")).expect_err("there is no such file");
    expect_that!(fault.to_string(), contains_substring("/nowhere/local.yaml"));
}
