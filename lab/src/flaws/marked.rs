//! Tests that plant a fault themselves: found by the comment that marks them.

use super::Fault;
use std::fs;
use std::path::{Path, PathBuf};

/// What marks a test that plants a fault itself.
const MARK: &str = "Planted fault: ";

/// The laboratory without the features that its programs alone need: the tests of the patches use the same build.
const LAB: &str = "switchhill-lab --no-default-features";

/// Folders that are not searched for marked tests.
const NOT_SEARCHED: [&str; 3] = ["target", ".git", "journal"];

/// The marked tests in a folder and all below it.
pub(super) fn marked_tests(folder: &Path) -> Vec<Fault> {
    let Ok(entries) = fs::read_dir(folder) else { return Vec::new() };
    let mut paths: Vec<PathBuf> = entries.filter_map(|entry| Some(entry.ok()?.path())).collect();
    paths.sort();
    let mut found = Vec::new();
    for path in paths {
        let name = path.file_name().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
        if path.is_dir() && !NOT_SEARCHED.contains(&name.as_str()) {
            found.extend(marked_tests(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.extend(marked_in(&path));
        }
    }
    found
}

fn marked_in(path: &Path) -> Vec<Fault> {
    let text = fs::read_to_string(path).unwrap_or_default();
    let Some((package, target)) = place_of(path) else { return Vec::new() };
    let mut found = Vec::new();
    let lines: Vec<&str> = text.lines().map(str::trim_start).collect();
    for (number, line) in lines.iter().enumerate() {
        let Some(what) = line.strip_prefix("/// ").and_then(|line| line.strip_prefix(MARK)) else { continue };
        // Attributes up to the function; anything else than a test has none that names one.
        let block: Vec<&str> = lines[number..].iter().copied().take_while(|line| !line.is_empty()).collect();
        let Some(end) = block.iter().position(|line| function_name(line).is_some()) else { continue };
        let is_test = block[..end].iter().any(|line| line.starts_with("#[") && line.contains("test"));
        let Some(test) = function_name(block[end]).filter(|_| is_test) else { continue };
        let cases: Vec<String> = block[..end].iter().filter_map(|line| case_name(line)).collect();
        let what = what.trim_end_matches('.');
        let options = format!("-p {package} {}", target.join(" "));
        let marked = |name: String, test: String| Fault {
            name,
            test: format!("cargo test {options} {test}"),
            diff: None,
        };
        if cases.is_empty() {
            found.push(marked(what.to_owned(), test));
            continue;
        }
        let width = if cases.len() > 9 { 2 } else { 1 };
        found.extend(cases.iter().enumerate().map(|(case, name)| {
            let number = case + 1;
            marked(name.replace('_', " "), format!("{test}::case_{number:0width$}_{name}"))
        }));
    }
    found
}

/// Name of a named case of a test.
fn case_name(line: &str) -> Option<String> {
    let rest = line.strip_prefix("#[case::")?;
    Some(rest.chars().take_while(|letter| letter.is_alphanumeric() || *letter == '_').collect())
}

fn function_name(line: &str) -> Option<String> {
    let rest = line.trim_start_matches("pub ").trim_start_matches("async ").strip_prefix("fn ")?;
    Some(rest.chars().take_while(|letter| letter.is_alphanumeric() || *letter == '_').collect())
}

/// The package of a test file and the options that choose its target.
fn place_of(path: &Path) -> Option<(String, Vec<String>)> {
    let parts: Vec<String> = path.iter().map(|part| part.to_string_lossy().into_owned()).collect();
    let parts: Vec<&str> = parts.iter().map(String::as_str).filter(|part| *part != ".").collect();
    let (package, inside) = match parts.as_slice() {
        ["crates", name, inside @ ..] => (format!("switchhill-{}", name.replace('_', "-")), inside),
        ["lab", inside @ ..] => (LAB.to_owned(), inside),
        inside => ("switchhill".to_owned(), inside),
    };
    match inside {
        ["tests", file] => {
            Some((package, vec!["--test".to_owned(), file.trim_end_matches(".rs").to_owned()]))
        }
        ["tests", folder, ..] => Some((package, vec!["--test".to_owned(), (*folder).to_owned()])),
        ["src", ..] => Some((package, vec!["--lib".to_owned()])),
        _ => None,
    }
}
