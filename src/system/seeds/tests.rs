//! Seeds of a settings file that changes while a process runs.

use super::*;
use googletest::prelude::*;
use std::path::PathBuf;

/// Time in which a changed file is in force, with or without a signal: `livenessMs` of the deployments.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(3);

const SEEDS: [&str; 2] = ["10.0.0.1:8146", "10.0.0.2:8146"];
const OTHER_SEEDS: [&str; 2] = ["10.0.0.8:8146", "10.0.0.9:8146"];

/// A settings file that is removed at the end.
struct SettingsFile(PathBuf);

impl SettingsFile {
    fn new(name: &str) -> SettingsFile {
        let file = std::env::temp_dir().join(format!("switchhill-seeds-{}-{name}.yaml", std::process::id()));
        let file = SettingsFile(file);
        file.write(&text_with(&SEEDS));
        file
    }

    fn write(&self, text: &str) {
        std::fs::write(&self.0, text).expect("the file can be written");
    }

    fn seeds(&self) -> Seeds {
        Seeds::of(&SiteSettings::read(&self.0).expect("settings")).expect("a handler of SIGHUP")
    }
}

impl Drop for SettingsFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn text_with(seeds: &[&str]) -> String {
    let seeds: String = seeds.iter().map(|seed| format!("  - \"{seed}\"\n")).collect();
    format!(
        "nodeName: edge-1\nip: 10.0.0.20\nzone: here\nportRange: [7660, 7675]\nseeds:\n{seeds}graceS: 8\n"
    )
}

async fn changed_within(seeds: &mut Seeds, time: Duration) -> Option<Vec<String>> {
    tokio::time::timeout(time, seeds.changed()).await.ok()
}

/// Guards against a process that finds no core machine any more: all that it knew were replaced while it was cut off, and
/// the settings file was read at the start alone.
#[gtest]
#[tokio::test(start_paused = true)]
async fn seeds_of_a_changed_file_are_in_force_without_a_signal() {
    let file = SettingsFile::new("changed");
    let mut seeds = file.seeds();
    expect_that!(changed_within(&mut seeds, IN_FORCE_WITHIN).await, none());
    file.write(&text_with(&OTHER_SEEDS));
    let changed = changed_within(&mut seeds, IN_FORCE_WITHIN).await;
    let internal = ["10.0.0.8:7660", "10.0.0.9:7660"].map(str::to_owned).to_vec();
    expect_that!(changed, some(eq(&internal)));
    expect_that!(changed_within(&mut seeds, IN_FORCE_WITHIN).await, none());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_change_between_the_start_and_the_first_look_is_seen() {
    let file = SettingsFile::new("early");
    let settings = SiteSettings::read(&file.0).expect("settings");
    file.write(&text_with(&OTHER_SEEDS));
    let mut seeds = Seeds::of(&settings).expect("a handler of SIGHUP");
    expect_that!(changed_within(&mut seeds, IN_FORCE_WITHIN).await, some(anything()));
}

/// A file that its writer has not finished names fewer seeds, or none: the ones in force stay until it is whole.
#[gtest]
#[tokio::test(start_paused = true)]
async fn seeds_are_kept_while_the_file_is_not_whole() {
    let file = SettingsFile::new("partial");
    let mut seeds = file.seeds();
    let whole = text_with(&OTHER_SEEDS);
    for length in [0, whole.len() / 2, whole.len() - 12] {
        file.write(&whole[..length]);
        expect_that!(changed_within(&mut seeds, IN_FORCE_WITHIN).await, none(), "{length} bytes");
    }
    std::fs::remove_file(&file.0).expect("the file is there");
    expect_that!(changed_within(&mut seeds, IN_FORCE_WITHIN).await, none(), "no file");
    file.write(&whole);
    expect_that!(changed_within(&mut seeds, IN_FORCE_WITHIN).await, some(anything()));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn a_change_of_other_settings_is_none_of_the_seeds() {
    let file = SettingsFile::new("other");
    let mut seeds = file.seeds();
    file.write(&text_with(&SEEDS).replace("graceS: 8", "graceS: 20"));
    expect_that!(changed_within(&mut seeds, IN_FORCE_WITHIN).await, none());
}
