//! The pages on control safety and the planted faults name tests, files and patches: all of them exist, and no patch is left unnamed.

mod names;
mod tree;

use googletest::prelude::*;
use names::{named_patches, wrong_names};
use tree::Tree;

/// The page of all points; the points' own are in the folder of the same name.
const PAGES: &str = "docs/design/control-safety";

fn pages(tree: &Tree) -> Vec<(&str, String)> {
    let is_page = |file: &str| file.starts_with(PAGES) && file.ends_with(".md");
    tree.files().filter(|file| is_page(file)).map(|file| (file, tree.read(file))).collect()
}

#[gtest]
fn the_pages_name_only_what_exists() {
    let tree = Tree::of_checkout();
    let pages = pages(&tree);
    expect_that!(pages.len(), ge(10));
    for (page, text) in &pages {
        for (line, wrong) in wrong_names(&tree, text) {
            add_failure!("{page}:{line}: {wrong}");
        }
    }
}

#[gtest]
fn each_patch_is_named_on_a_page() {
    let tree = Tree::of_checkout();
    let named: Vec<String> = pages(&tree).iter().flat_map(|(_, text)| named_patches(&tree, text)).collect();
    expect_that!(tree.patches().count(), ge(50));
    for patch in tree.patches().filter(|patch| !named.iter().any(|name| name == patch)) {
        add_failure!("lab/flaws/{patch}.patch: on no page of {PAGES}");
    }
}

#[gtest]
fn each_patch_names_a_test_that_exists() {
    let tree = Tree::of_checkout();
    for patch in tree.patches() {
        let text = tree.read(&format!("lab/flaws/{patch}.patch"));
        let command = text.lines().next().and_then(|line| line.strip_prefix("# test: "));
        match command {
            None => add_failure!("lab/flaws/{patch}.patch: the first line names no test"),
            Some(command) if !tree.has_test(command) => {
                add_failure!("lab/flaws/{patch}.patch: no test that `{command}` runs")
            }
            Some(_) => {}
        }
    }
}

/// A tree of two files and a patch.
fn small_tree() -> Tree {
    let source = "/// What it does.\npub fn answer_read() {}\npub enum Flaw {\n    ReadsFromMemory,\n}\n";
    let test =
        "#[gtest]\nfn a_node_that_is_cut_off_answers_no_read() {}\n\nfn helper_of_the_test_above_it() {}\n";
    Tree::of_texts([
        ("crates/control/src/node.rs", source),
        ("crates/control/tests/authority_scripts.rs", test),
        ("lab/flaws/authority-read-after-freeze.patch", ""),
    ])
}

#[gtest]
fn names_that_exist_are_let_pass() {
    let page = "`answer_read` in `node.rs` and `crates/control/src/node.rs`, `a_node_that_is_cut_off...no_read`\n\
        `a_node_that_is_cut_off_answers_no_read`, `authority_scripts::a_node_that_is_…`, `Flaw::ReadsFromMemory`\n\
        `read-after-freeze`, `authority-read-after-freeze.patch`, `lab/flaws/authority-*.patch`, `control/tests/`\n\
        `gv-portal` is no patch; `cargo test -p switchhill-control --test authority_scripts`\n";
    let wrong = wrong_names(&small_tree(), &page.replace("`gv-portal`", "gv-portal"));
    expect_that!(wrong, is_empty());
    expect_that!(named_patches(&small_tree(), page), contains(eq("authority-read-after-freeze")));
}

#[rstest::rstest]
#[case::function("`answer_reads`")]
#[case::test("`a_node_that_is_cut_off_answers_no_call`")]
#[case::shortened_test("`a_node_that_is_frozen...`")]
#[case::shortened_end("`a_node_that_is_cut_off...no_call`")]
#[case::no_test_of_this_module("`node::a_node_that_is_cut_off_answers_no_read`")]
#[case::file("`nodes.rs`")]
#[case::path("`crates/control/node.rs`")]
#[case::folder("`crates/controls/`")]
#[case::function_of_a_file("`tests/authority_scripts.rs::a_node_that_is_frozen`")]
#[case::patch("`authority-read-after-thaw`")]
#[case::patch_by_file("`lab/flaws/authority-read-after-thaw.patch`")]
#[case::patches("`lab/flaws/orders-*.patch`")]
#[case::flaw("`Flaw::ReadsFromDisk`")]
#[case::target("    cargo test -p switchhill-control --test orders_scripts")]
#[gtest]
fn a_name_that_does_not_exist_is_told(#[case] page: &str) {
    expect_that!(wrong_names(&small_tree(), page), len(eq(1)));
}

#[rstest::rstest]
#[case::whole("cargo test -p switchhill-control --test authority_scripts a_node_that_is_cut_off", true)]
#[case::all_of_a_file("cargo test -p switchhill-control --test authority_scripts", true)]
#[case::other_file("cargo test -p switchhill-control --test orders_scripts a_node_that_is_cut_off", false)]
#[case::other_package("cargo test -p switchhill-register --test authority_scripts a_node_that_is", false)]
#[case::no_test("cargo test -p switchhill-control --test authority_scripts helper_of_the_test", false)]
#[case::not_of_the_library("cargo test -p switchhill-control --lib a_node_that_is_cut_off", false)]
#[gtest]
fn a_command_is_known_by_whether_it_runs_a_test(#[case] command: &str, #[case] runs: bool) {
    expect_that!(small_tree().has_test(command), eq(runs));
}
