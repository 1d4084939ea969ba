//! `packages` in `deploy/system.toml`: the system packages of a clean build, complete against what is built and linked,
//! and the same in the pages that tell how to set a machine up.
#![allow(missing_docs)]

use googletest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::Command;

/// What any build of a Rust program needs beyond the toolchain, and why; traced once, see docs/operators/system.md.
const ALWAYS: [(&str, &str); 8] = [
    ("binutils", "the linker of `cc`, where the toolchain brings none"),
    ("ca-certificates", "the registry's certificates"),
    ("dash", "the shell that runs the build command"),
    ("gcc", "`cc`, by which rustc links, and libgcc"),
    ("libc6", "the C library of all programs that run, and of the result"),
    ("libc6-dev", "Scrt1.o, crti.o, libc.so and libm.so for linking"),
    ("libgcc-s1", "unwinding, in the toolchain and in the result"),
    ("zlib1g", "the toolchain's LLVM"),
];

/// Crates that build scripts use to compile or find foreign code, and the package that this takes.
const BUILD_HELPERS: [(&str, &str); 7] = [
    ("autotools", "automake"),
    ("bindgen", "libclang-dev"),
    ("cc", "gcc"),
    ("cmake", "cmake"),
    ("nasm-rs", "nasm"),
    ("pkg-config", "pkgconf"),
    ("prost-build", "protobuf-compiler"),
];

/// Libraries that a crate may link without a package: by their `links` key. Those of one that brings its own source, or
/// none.
const LINKS_NOTHING: [&str; 0] = [];

/// A crate of the build.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Crate {
    name: String,
    /// Its `links` key: a library of the system that it links.
    links: Option<String>,
}

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(file: &str) -> String {
    std::fs::read_to_string(root().join(file)).unwrap_or_else(|error| panic!("{file}: {error}"))
}

/// The list at the top level of the deploy file.
fn listed() -> Vec<String> {
    let text = read("deploy/system.toml");
    let top = text.split("\n[").next().expect("a top level");
    let line =
        top.lines().find_map(|line| line.strip_prefix("packages = [")).expect("`packages` on one line");
    let list = line.strip_suffix(']').expect("a closing bracket");
    list.split(", ").map(|name| name.trim_matches('"').to_owned()).collect()
}

fn cargo(arguments: &[&str]) -> String {
    let output =
        Command::new(env!("CARGO")).current_dir(root()).args(arguments).output().expect("cargo runs");
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "cargo {arguments:?}: {error}");
    String::from_utf8(output.stdout).expect("text")
}

/// The triple of this machine.
fn host() -> String {
    let told = Command::new("rustc").arg("-vV").output().expect("rustc runs");
    let told = String::from_utf8(told.stdout).expect("text");
    told.lines().find_map(|line| line.strip_prefix("host: ")).expect("a host").to_owned()
}

/// All crates that the build command builds: those of the program and of build scripts, none of the tests.
fn built_crates() -> BTreeSet<Crate> {
    let host = host();
    let tree = ["tree", "--offline", "--locked", "--prefix", "none", "--edges", "normal,build"];
    let tree = cargo(&[&tree[..], &["--package", "switchhill", "--target", &host]].concat());
    let metadata = ["metadata", "--offline", "--locked", "--format-version", "1", "--filter-platform", &host];
    let metadata: serde_json::Value = serde_json::from_str(&cargo(&metadata)).expect("JSON");
    let packages = metadata["packages"].as_array().expect("packages");
    let links: BTreeMap<(&str, &str), Option<&str>> = packages
        .iter()
        .map(|package| {
            let text = |key: &str| package[key].as_str();
            ((text("name").expect("a name"), text("version").expect("a version")), text("links"))
        })
        .collect();
    tree.lines()
        .map(|line| {
            let mut words = line.split(' ');
            let name = words.next().expect("a name");
            let version = words.next().expect("a version").trim_start_matches('v');
            let links =
                links.get(&(name, version)).unwrap_or_else(|| panic!("{name} {version} in the metadata"));
            Crate { name: name.to_owned(), links: links.map(str::to_owned) }
        })
        .collect()
}

/// What the crates take that the list lacks, with the cause.
fn missing(listed: &[String], crates: &BTreeSet<Crate>) -> Vec<String> {
    let lacks = |package: &str| !listed.iter().any(|name| name == package);
    let always = ALWAYS.iter().filter(|(package, _)| lacks(package));
    let always = always.map(|(package, why)| format!("{package}: {why}"));
    let helpers = crates.iter().filter_map(|built| {
        let (_, package) = BUILD_HELPERS.iter().find(|(helper, _)| built.name == *helper)?;
        lacks(package).then(|| format!("{package}: a build script uses {}", built.name))
    });
    let linked = crates.iter().filter_map(|built| {
        let library = built.links.as_deref().filter(|library| !LINKS_NOTHING.contains(library))?;
        Some(format!("a package for the library {library}, which {} links", built.name))
    });
    always.chain(helpers).chain(linked).collect()
}

fn crates(of: &[(&str, Option<&str>)]) -> BTreeSet<Crate> {
    let built = |(name, links): &(&str, Option<&str>)| Crate {
        name: (*name).to_owned(),
        links: links.map(str::to_owned),
    };
    of.iter().map(built).collect()
}

#[gtest]
fn the_list_covers_all_that_a_clean_build_links_and_runs() {
    let built = built_crates();
    expect_true!(built.iter().any(|one| one.name == "tokio"));
    expect_that!(missing(&listed(), &built), is_empty());
}

#[gtest]
fn the_list_names_nothing_twice_and_nothing_without_a_reason() {
    let listed = listed();
    let sorted: BTreeSet<String> = listed.iter().cloned().collect();
    expect_that!(listed, eq(&Vec::from_iter(sorted)));
    let helpers: Vec<&str> = BUILD_HELPERS.iter().map(|(_, package)| *package).collect();
    for name in &listed {
        let has_reason =
            ALWAYS.iter().any(|(package, _)| package == name) || helpers.contains(&name.as_str());
        expect_true!(has_reason);
    }
}

#[gtest]
fn the_pages_name_the_same_packages() {
    let command = format!("    apt-get install --no-install-recommends {}", listed().join(" "));
    for page in ["README.md", "docs/operators/system.md"] {
        let text = read(page);
        let installs: Vec<&str> = text.lines().filter(|line| line.contains("apt-get install")).collect();
        expect_that!(installs, eq(&vec![command.as_str()]), "{page}");
    }
}

#[gtest]
fn a_list_that_lacks_the_compiler_is_noticed() {
    let without: Vec<String> = listed().into_iter().filter(|name| name != "gcc").collect();
    expect_that!(missing(&without, &crates(&[])), elements_are![starts_with("gcc: ")]);
    let found = missing(&without, &crates(&[("cc", None)]));
    expect_that!(found, elements_are![starts_with("gcc: "), eq("gcc: a build script uses cc")]);
}

#[gtest]
fn a_crate_that_links_or_compiles_foreign_code_is_noticed() {
    let foreign = crates(&[("cmake", None), ("openssl-sys", Some("openssl")), ("tokio", None)]);
    let expected = elements_are![
        eq("cmake: a build script uses cmake"),
        eq("a package for the library openssl, which openssl-sys links")
    ];
    expect_that!(missing(&listed(), &foreign), expected);
}
