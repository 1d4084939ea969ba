//! Drawn days: every trouble in every form, written so that the file says what was drawn.

use googletest::prelude::*;
use std::collections::BTreeSet;
use switchhill_lab::days::{catalogue, draw, Form, Site};

const SITE: &str = r#"name = "two-halls"
length_s = 30.0
services = [ { name = "model" }, { name = "tiles" } ]
classes = [ { name = "reply" } ]

[[day]]
name = "calm"
slot = "quiet"
traffic = [ { per_s = 1.0 } ]

[[day]]
name = "hard"
slot = "trouble"
traffic = [ { per_s = 2.5 } ]
"#;

fn site() -> Site {
    Site::parse(SITE).expect("a site file")
}

#[gtest]
fn a_full_draw_holds_every_trouble_in_every_form() {
    let site = site();
    let troubles = catalogue(&site.service, &site.class);
    let days = draw(&site, &troubles, &Form::ALL, troubles.len() * Form::ALL.len(), 7);
    let drawn: BTreeSet<String> =
        days.iter().map(|day| day.name.split(" #").next().unwrap_or_default().to_owned()).collect();
    let mut wanted = BTreeSet::new();
    for trouble in &troubles {
        wanted.extend(Form::ALL.map(|form| format!("{form}: {}", trouble.label())));
    }
    expect_that!(drawn, eq(&wanted));
}

#[gtest]
fn the_copy_keeps_the_site_and_holds_the_days_drawn() {
    let site = site();
    let days = draw(&site, &catalogue("model", "reply"), &[Form::Twice], 3, 1);
    let text = site.with_days("own", &days).expect("a site file");
    let copy: toml::Table = text.parse().expect("TOML");
    expect_that!(copy["name"].as_str(), some(eq("own")));
    expect_that!(copy["length_s"].as_float(), some(eq(30.0)));
    let written = copy["day"].as_array().expect("days");
    expect_that!(written.len(), eq(3));
    for (day, wanted) in written.iter().zip(&days) {
        expect_that!(day["name"].as_str(), some(eq(wanted.name.as_str())));
        expect_that!(day["traffic"][0]["per_s"].as_float(), some(eq(2.5)));
        let entries = ["plan", "faults"].map(|list| day[list].as_array().map_or(0, Vec::len));
        expect_that!(entries.iter().sum::<usize>(), eq(2));
    }
}

#[gtest]
fn a_trouble_before_the_final_fault_has_one() {
    let site = site();
    let days = draw(&site, &catalogue("model", "reply"), &[Form::Final], 40, 3);
    expect_that!(days.iter().all(|day| day.closing.is_some()), eq(true));
    let late =
        |day: &switchhill_lab::days::Day| day.plan.iter().chain(&day.faults).all(|entry| entry.at >= 27.5);
    expect_that!(days.iter().all(late), eq(true));
}

#[gtest]
fn a_file_without_days_is_refused_by_name() {
    let error = Site::parse("name = \"x\"\n").expect_err("no days");
    expect_that!(error.to_string(), contains_substring("`day`"));
}
