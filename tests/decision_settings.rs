//! The file of decision settings that the laboratory names on the command line.

use googletest::prelude::*;
use std::path::PathBuf;
use switchhill::site_settings::{DecisionSettings, SettingsError};

fn file(name: &str, text: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("switchhill-decisions-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let path = folder.join("decisions.yaml");
    std::fs::write(&path, text).expect("a file");
    path
}

#[gtest]
fn fields_that_are_not_named_keep_their_usual_values() -> Result<()> {
    let path = file("partial", "router:\n  ejection: false\nplanner:\n  anticipation: false\n");
    let read = DecisionSettings::read(&path)?;
    let mut expected = DecisionSettings::default();
    expected.router.ejection = false;
    expected.planner.anticipation = false;
    verify_that!(read, eq(&expected))
}

#[gtest]
fn an_unknown_field_is_named_with_file_and_line() -> Result<()> {
    let path = file("unknown", "router:\n  ejection: true\n  ejektion: true\n");
    let Err(SettingsError::Invalid { path: named, fault }) = DecisionSettings::read(&path) else {
        return fail!("an unknown field was taken");
    };
    expect_that!(named, eq(&path));
    expect_that!(fault, contains_substring("ejektion"));
    verify_that!(fault, contains_substring("line 3"))
}

/// The process gives these itself: a value in the file would be taken and overridden without a word.
#[gtest]
fn a_field_that_the_process_gives_is_named_with_file_and_line() -> Result<()> {
    let given = [("router", "silent_ms"), ("router", "zone"), ("planner", "watch_ms"), ("admission", "seed")];
    for (section, field) in given {
        let path = file(field, &format!("{section}:\n  {field}: 7\n"));
        let Err(SettingsError::Invalid { path: named, fault }) = DecisionSettings::read(&path) else {
            return fail!("{section}.{field} was taken");
        };
        expect_that!(named, eq(&path));
        expect_that!(fault, all![contains_substring(field), contains_substring("line 2")]);
    }
    Ok(())
}

#[gtest]
fn a_file_that_is_not_there_is_named() -> Result<()> {
    let path = PathBuf::from("/nowhere/decisions.yaml");
    verify_that!(
        DecisionSettings::read(&path),
        err(displays_as(contains_substring("/nowhere/decisions.yaml")))
    )
}

#[gtest]
fn an_empty_file_changes_nothing() -> Result<()> {
    for (name, text) in
        [("empty-map", "{}\n"), ("empty-section", "router: {}\n"), ("usual", "router:\n  ejection: true\n")]
    {
        let read = DecisionSettings::read(&file(name, text))?;
        verify_that!(read, eq(&DecisionSettings::default()))?;
    }
    Ok(())
}
