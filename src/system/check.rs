//! Faults in the system's files: a process's settings and the operator's configuration.

use crate::process::document::{Fault, Faults, Node};
use crate::site_settings::{SettingsError, SiteSettings};
use std::path::Path;
use switchhill_configuration::{ConfigurationError, Document};

/// Members that only a settings file has.
const SETTINGS_MEMBERS: [&str; 2] = ["nodeName", "portRange"];

/// Members that only an operator's configuration has.
const CONFIGURATION_MEMBERS: [&str; 2] = ["routes", "services"];

/// What serde says before the name of a field that is not there.
const MISSING_FIELD: &str = "missing field `";

/// Checks a file of the system; `None` where the file is of another kind or cannot be read at all.
///
/// # Errors
/// The faults in the file.
pub fn check(path: &Path) -> Option<Result<(), Faults>> {
    let text = std::fs::read_to_string(path).ok()?;
    let node = Node::parse(&text).ok()?;
    let has_one_of = |members: &[&str]| members.iter().any(|member| node.has(member));
    if has_one_of(&SETTINGS_MEMBERS) {
        return Some(check_settings(path, &text, &node));
    }
    has_one_of(&CONFIGURATION_MEMBERS).then(|| check_configuration(&text, &node))
}

fn check_settings(path: &Path, text: &str, node: &Node) -> Result<(), Faults> {
    if let Err(error) = serde_saphyr::from_str::<SiteSettings>(text) {
        let line = error.location().map_or(0, |place| place.line() as usize);
        // The library's own text shows the source around the place.
        let said = error.without_snippet().to_string();
        return Err(one_fault(unreadable_field(line, &said, node)));
    }
    match SiteSettings::read(path) {
        Err(SettingsError::Invalid { fault, .. }) => {
            let (field, problem) = fault.split_once(": ").unwrap_or(("", &fault));
            Err(one_fault(fault_at(node.line_of(field), field, problem)))
        }
        Err(error) => Err(one_fault(fault_at(0, "", &error.to_string()))),
        Ok(_) => Ok(()),
    }
}

fn unreadable_field(line: usize, said: &str, node: &Node) -> Fault {
    let problem = said.lines().next().unwrap_or("cannot be read");
    let missing = problem.split_once(MISSING_FIELD).and_then(|(_, rest)| rest.split_once('`'));
    match missing {
        Some((name, _)) => fault_at(line, name, problem),
        None => fault_at(line, &node.field_at(line), problem),
    }
}

fn check_configuration(text: &str, node: &Node) -> Result<(), Faults> {
    Document::parse(text.as_bytes()).map(drop).map_err(|error| one_fault(configuration_fault(&error, node)))
}

fn configuration_fault(error: &ConfigurationError, node: &Node) -> Fault {
    let item = error.item.as_ref().map(|item| format!("[{item}]")).unwrap_or_default();
    let list = error.list.as_ref().map(|list| format!("{list}{item}"));
    let path: Vec<&str> = list.iter().chain(&error.field).map(String::as_str).collect();
    let path = path.join(".");
    // Faults outside of lists come without a line.
    let line = error.line.unwrap_or_else(|| node.line_of(&path));
    let problem = format!("{}: {}: {}", error.code.number(), error.code.meaning(), error.detail);
    fault_at(line, &path, &problem)
}

fn fault_at(line: usize, field: &str, problem: &str) -> Fault {
    Fault { line, field: field.to_owned(), problem: problem.to_owned() }
}

fn one_fault(fault: Fault) -> Faults {
    Faults(vec![fault])
}
