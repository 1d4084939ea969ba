//! The settings file of a system process: what is read, what is skipped, and how a fault is named.

use googletest::prelude::*;
use std::path::PathBuf;
use switchhill::site_settings::{SettingsError, SiteSettings};

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
    expect_that!(settings.feed_address().to_string(), eq("10.1.0.38:7675"));
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

/// Settings as the platform writes them, with a figure of the retry budget at the end.
const WITH_BUDGET: &str = r#"nodeName: "edge-1"
ip: "10.1.0.35"
zone: "north"
zones:
  north: "region"
bind:
  http: "10.1.0.35:8144"
portRange:
  - 7660
  - 7675
seeds:
  - "10.1.0.38:8146"
  - "10.2.0.30:8146"
heartbeatMs: 1200
bounds:
  livenessMs: 3000
  graceS: 12
  retryBudgetRatio: 0.15
  leaseMs: 3000
  retryBudgetSlack: 18
"#;

/// What reading the file again says once `text` has taken the place of `former`.
fn reread(name: &str, former: &str, text: &str) -> Result<SiteSettings, SettingsError> {
    let path = file(name, former);
    let in_force = SiteSettings::read(&path).expect("the settings are right");
    std::fs::write(&path, text).expect("the file can be written");
    let reread = in_force.reread();
    std::fs::remove_file(path).expect("the file can be removed");
    reread
}

#[gtest]
fn no_file_that_is_cut_off_takes_the_place_of_the_whole_one() {
    let as_json = r#"{"nodeName": "edge-1", "ip": "10.1.0.35", "zone": "north", "portRange": [7660, 7675],
        "bounds": {"graceS": 12, "retryBudgetSlack": 18}}"#;
    for whole in [WITH_BUDGET, as_json] {
        let accepted: Vec<usize> =
            (0..whole.len()).filter(|cut| reread("cut", whole, &whole[..*cut]).is_ok()).collect();
        expect_that!(accepted, is_empty(), "bytes of {} after which the file was cut off", whole.len());
        expect_true!(reread("cut", whole, whole).is_ok());
    }
}

#[gtest]
fn a_file_without_a_field_of_the_present_one_is_refused_by_name() {
    for (line, field) in [
        ("  retryBudgetRatio: 0.15\n", "bounds.retryBudgetRatio"),
        ("zones:\n  north: \"region\"\n", "zones"),
    ] {
        let refused =
            reread("gone", WITH_BUDGET, &WITH_BUDGET.replace(line, "")).expect_err("a field is gone");
        let named =
            matches!(&refused, SettingsError::FieldMissing { field: missing, .. } if missing == field);
        expect_true!(named, "{refused}");
        expect_that!(refused.to_string(), contains_substring("switchhill-settings-"));
    }
}

#[gtest]
fn fewer_items_of_a_list_are_a_change() {
    // The platform names fewer seeds where fewer machines serve control.
    let fewer = WITH_BUDGET.replace("  - \"10.2.0.30:8146\"\n", "");
    expect_that!(reread("fewer", WITH_BUDGET, &fewer).expect("it is whole").seeds.len(), eq(1));
}

#[gtest]
fn changed_and_added_fields_are_taken_and_must_stay() -> googletest::Result<()> {
    let changed = WITH_BUDGET.replace("retryBudgetSlack: 18", "retryBudgetSlack: 20\n  drainMs: 1500");
    let path = file("changed", WITH_BUDGET);
    let first = SiteSettings::read(&path)?;
    std::fs::write(&path, &changed)?;
    let second = first.reread()?;
    expect_that!(second.bounds.retry_budget_slack, eq(20.0));
    expect_that!(second.bounds.drain_ms, eq(1500));
    std::fs::write(&path, WITH_BUDGET)?;
    let third = second.reread().expect_err("a field of the second file is gone");
    expect_that!(third.to_string(), contains_substring("bounds.drainMs"));
    std::fs::remove_file(path)?;
    Ok(())
}

#[gtest]
fn a_grace_that_is_no_time_is_refused_when_the_file_is_read_again() {
    for grace in ["-1", ".nan", "1e300"] {
        let text = WITH_BUDGET.replace("graceS: 12", &format!("graceS: {grace}"));
        let refused = reread("grace", WITH_BUDGET, &text).expect_err("it is no time");
        expect_that!(refused.to_string(), contains_substring("bounds.graceS"), "{grace}");
    }
}
