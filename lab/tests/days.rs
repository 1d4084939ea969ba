//! Drawn days: every trouble in every form, written so that the file says what was drawn.

use googletest::prelude::*;
use std::collections::BTreeSet;
use switchhill_lab::days::{catalogue, draw, each, Entry, Form, Site, Table, Trouble};

const SITE: &str = r#"name = "two-halls"
length_s = 30.0
services = [ { name = "model" }, { name = "tiles" } ]
classes = [ { name = "reply" } ]
troubles = [ { kind = "config_storm", gap_s = 0.3 } ]

[[day]]
name = "calm"
slot = "quiet"
traffic = [ { per_s = 1.0 } ]

[[day]]
name = "hard"
slot = "trouble"
traffic = [ { zone = "hall-a", per_s = 2.5 } ]
"#;

fn site() -> Site {
    Site::parse(SITE).expect("a site file")
}

#[gtest]
fn a_full_draw_holds_every_trouble_in_every_form() {
    let site = site();
    let troubles = catalogue(&site);
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
    let days = draw(&site, &catalogue(&site), &[Form::Twice], 3, 1);
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
    let days = draw(&site, &catalogue(&site), &[Form::Final], 40, 3);
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

#[gtest]
fn one_day_for_each_trouble_takes_the_forms_in_turn() {
    let site = site();
    let troubles = catalogue(&site);
    let labels: Vec<String> = troubles.iter().map(Trouble::label).collect();
    let mut drawn = BTreeSet::new();
    for seed in 0..Form::ALL.len() as u64 {
        let names: Vec<String> = each(&site, &troubles, &Form::ALL, seed)
            .iter()
            .map(|day| day.name.split(" #").next().unwrap_or_default().to_owned())
            .collect();
        let troubles_in_order: Vec<String> =
            names.iter().map(|name| name.split_once(": ").expect("a form").1.to_owned()).collect();
        expect_that!(troubles_in_order, eq(&labels));
        drawn.extend(names);
    }
    let wanted: BTreeSet<String> = labels
        .iter()
        .flat_map(|label| Form::ALL.into_iter().map(move |form| format!("{form}: {label}")))
        .collect();
    expect_that!(drawn, eq(&wanted));
}

/// The kinds of trouble and the words of their variants that the bench's days may hold.
const KINDS: [(&str, &str); 39] = [
    ("burst", ""),
    ("srv_crash", "dark gone domain joined rack across"),
    ("release", "across"),
    ("scale_in", "spot reclaim dry"),
    ("answer_lost", "across"),
    ("garble", "extra unframed early rot"),
    ("node_kill", "power leader reader giver seed turn meet race hard drain"),
    ("node_freeze", "leader reader giver seed turn meet race hard drain"),
    ("roll_term", "remove busy"),
    ("herd_kill", "power off taken all"),
    ("replace_core", "oldest planned leader reader seed turn"),
    ("after_ack_wipe", "oldest"),
    ("disk_slow", "leader"),
    ("disk_stall", "leader"),
    ("clock_step", "back ahead leader"),
    ("core_cut", "behind split all near oldest one_way seeds both lure relieve reset refuse"),
    ("core_cut", "leader reader turn meet race hard drain"),
    ("node_cut", "all servers leader reset refuse"),
    ("config_change", "route weights timeout tenant quota down topup idle"),
    ("config_storm", "idle"),
    ("config_race", ""),
    ("bad_config", "cut_short unknown_service same_place no_weight no_timeout old_version same_version"),
    ("bad_config", "stale_match shared_key"),
    ("ack_lost", ""),
    ("big_config", ""),
    ("model_shift", ""),
    ("retry_abuse", ""),
    ("give_up", ""),
    ("srv_slow", "across"),
    ("srv_grey", "errors shed busy hang reset mute slow one_zone across all"),
    ("srv_cut", "fronts some lossy one_way reset across"),
    ("replace_with_reuse", "drain dark"),
    ("scale_out", ""),
    ("node_slow", "leader"),
    ("seed_turnover", ""),
    ("after_ack_kill", "kill timed taken gone"),
    ("disk_full", "leader"),
    ("hup", ""),
    ("reset_conns", ""),
];

#[gtest]
fn the_catalogue_holds_every_kind_and_the_words_of_every_variant() {
    let entries: Vec<Entry> = catalogue(&site()).into_iter().map(|trouble| trouble.entry).collect();
    let kinds: BTreeSet<&str> = entries.iter().map(|entry| entry.kind.as_str()).collect();
    expect_that!(kinds, eq(&KINDS.into_iter().map(|(kind, _)| kind).collect::<BTreeSet<_>>()));
    let words: BTreeSet<(&str, &str)> = entries
        .iter()
        .flat_map(|entry| entry.how.split_whitespace().map(move |word| (entry.kind.as_str(), word)))
        .collect();
    let wanted: BTreeSet<(&str, &str)> = KINDS
        .into_iter()
        .flat_map(|(kind, how)| how.split_whitespace().map(move |word| (kind, word)))
        .collect();
    expect_that!(wanted.difference(&words).collect::<Vec<_>>(), is_empty());
    expect_that!(words.difference(&wanted).collect::<Vec<_>>(), is_empty());
}

#[gtest]
fn a_storm_of_changes_is_drawn_only_where_the_site_lists_it() {
    let storms = |site: &Site| {
        catalogue(site).into_iter().filter(|trouble| trouble.entry.kind == "config_storm").count()
    };
    let calm = Site::parse(&SITE.replace("config_storm", "config_race")).expect("a site file");
    expect_that!(storms(&calm), eq(0));
    expect_that!(storms(&site()), gt(0));
}

#[gtest]
fn labels_tell_the_core_from_other_machines_and_a_class_from_a_zone() {
    let labels: Vec<String> = catalogue(&site()).iter().map(Trouble::label).collect();
    for label in ["node_kill", "node_kill on core", "burst", "burst of a class", "burst in a zone"] {
        expect_that!(labels, contains(eq(label)));
    }
}

/// An entry of the journal with days of these names, each with its score, rules broken and fault.
fn entry(days: &[(&str, f64, &str, Option<&str>)]) -> String {
    let days: Vec<serde_json::Value> = days
        .iter()
        .map(|(name, score, rule, fault)| {
            let rules = if rule.is_empty() { serde_json::json!({}) } else { serde_json::json!({ *rule: 2 }) };
            let gate = rule.is_empty() && fault.is_none() && *score > 0.2;
            serde_json::json!({
                "name": name, "score": score, "rules": rules, "fault": fault, "gate": gate, "served": 0.9
            })
        })
        .collect();
    let entry = serde_json::json!({
        "v": 1, "id": "0a1b", "site": "two-halls", "head": "c0ffee", "dirty": false, "days_left_out": 1, "days": days
    });
    entry.to_string()
}

#[gtest]
fn the_table_tells_days_rules_faults_and_scores_kind_by_kind() {
    let mut table = Table::default();
    table
        .add(&entry(&[
            ("alone: core_cut all #1", 0.5, "", None),
            ("pair: core_cut all #2 with hup", 0.9, "", None),
            ("final: core_cut all #3", 0.0, "CONFIG", None),
            ("start: hup #4", 0.0, "", Some("too slow")),
        ]))
        .expect("an entry");
    table
        .add(&entry(&[("alone: hup #5", 0.6, "", None), ("twice: hup #6", 0.1, "", None)]))
        .expect("an entry");
    let text = table.to_string();
    expect_that!(
        text,
        contains_substring("6 days, 2 with a broken rule or a fault, 2 left out; program: c0ffee\n")
    );
    expect_that!(
        text,
        contains_substring("| core_cut all | 3 | alone, pair, final | CONFIG | 0 | 0 | 0.50 | 0.00 |")
    );
    expect_that!(text, contains_substring("| hup | 3 | alone, twice, start | - | 1 | 1 | 0.10 | 0.00 |"));
    expect_that!(text, contains_substring("| final: core_cut all #3 | two-halls | 0a1b | CONFIG | - |"));
    expect_that!(text, contains_substring("| start: hup #4 | two-halls | 0a1b | - | too slow |"));
    expect_that!(text, contains_substring("| twice: hup #6 | two-halls | 0a1b | - | below the gate |"));
    expect_that!(text, not(contains_substring("alone: hup #5")));
    expect_that!(table.missing(["hup", "core_cut all", "core_cut near"]), eq(&vec!["core_cut near"]));
}

#[gtest]
fn the_middle_of_an_even_number_of_scores_is_the_mean_of_two() {
    let mut table = Table::default();
    let days = [("alone: hup #1", 0.25, "", None), ("alone: hup #2", 0.75, "", None)];
    table.add(&entry(&days)).expect("an entry");
    expect_that!(table.to_string(), contains_substring("| hup | 2 | alone | - | 0 | 0 | 0.50 | 0.25 |"));
}

#[gtest]
fn days_that_were_not_drawn_and_broken_entries_are_refused_by_name() {
    let mut table = Table::default();
    for name in ["quiet-1", "sideways: hup #1", "alone: hup"] {
        let error = table.add(&entry(&[(name, 0.5, "", None)])).expect_err("not a drawn day");
        expect_that!(error.to_string(), contains_substring(format!("`{name}`")));
    }
    let conflict = table.add("<<<<<<< HEAD\n{}").expect_err("not JSON");
    expect_that!(conflict.to_string(), contains_substring("not an entry of the journal"));
    expect_that!(table.days().len(), eq(0));
}
