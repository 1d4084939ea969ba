//! The files that `deploy/balancer.toml` names as the decisions: all of them, within their size.

use googletest::prelude::*;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Most lines of all decisions together, blank ones apart.
const MOST_LINES: usize = 1010;
/// Widest line, in characters, so that lines are not joined to save some.
const WIDEST: usize = 110;
/// What of the module takes no decision.
const NOT_DECIDING: &str = "src/decision_engine/snapshot.rs";

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The files of a list in the deploy file.
fn named(list: &str) -> Vec<String> {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("a deploy file");
    let start = format!("{list} = [");
    let line = text.lines().find(|line| line.starts_with(&start)).expect("the list on one line");
    line.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

fn read(file: &str) -> String {
    std::fs::read_to_string(root().join(file)).unwrap_or_else(|error| panic!("{file}: {error}"))
}

/// The files under a folder of the decision module.
fn module_files() -> BTreeSet<String> {
    let entries = std::fs::read_dir(root().join("src/decision_engine")).expect("the module's folder");
    let paths = entries.map(|entry| entry.expect("an entry").path());
    let name = |path: PathBuf| path.strip_prefix(root()).expect("inside").to_string_lossy().into_owned();
    paths.map(name).chain(["src/decision_engine.rs".to_owned()]).collect()
}

#[gtest]
fn all_decisions_together_stay_within_their_size() {
    let lines = |file: &String| read(file).lines().filter(|line| !line.trim().is_empty()).count();
    let total: usize = named("policy").iter().map(lines).sum();
    expect_that!(total, all![gt(500), le(MOST_LINES)]);
}

#[gtest]
fn no_line_of_a_decision_is_overlong() {
    for file in named("policy") {
        for line in read(&file).lines() {
            expect_that!(line.chars().count(), le(WIDEST), "{file}: {line}");
        }
    }
}

#[gtest]
fn every_file_of_the_module_is_named_once() {
    let policy = named("policy");
    let deciding: BTreeSet<String> = policy.iter().cloned().collect();
    expect_that!(deciding.len(), eq(policy.len()), "none is named twice");
    let mut module = module_files();
    expect_that!(module.remove(NOT_DECIDING), eq(true));
    expect_that!(module.difference(&deciding).collect::<Vec<_>>(), is_empty());
    expect_that!(named("node"), contains(eq(NOT_DECIDING)));
}

#[gtest]
fn the_shared_price_is_a_decision_and_its_crate_is_named() {
    expect_that!(named("policy"), contains(eq("crates/admission/src/price.rs")));
    expect_that!(named("node"), contains(eq("crates/admission")));
    expect_that!(read("src/decision_engine/price.rs"), contains_substring("switchhill_admission::price"));
}
