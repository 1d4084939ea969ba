//! The time to leave, with settings files that change.

use super::Leave;
use crate::site_settings::SiteSettings;
use googletest::prelude::*;
use std::path::Path;
use std::time::Duration;

/// Time in which a file is read, however busy the host is.
const READ_WITHIN: Duration = Duration::from_secs(20);

fn write(path: &Path, grace_s: &str) {
    let text = format!(
        "nodeName: \"c\"\nip: \"127.0.0.1\"\nzone: \"z\"\nportRange: [1, 2]\nbounds:\n  graceS: {grace_s}\n"
    );
    std::fs::write(path, text).expect("written");
}

/// How long a process may take that began with one grace and finds another in its file at SIGTERM.
fn time_to_leave(name: &str, first: &str, newest: &str) -> Duration {
    let path = std::env::temp_dir().join(format!("switchhill-leave-{}-{name}.yaml", std::process::id()));
    write(&path, first);
    let settings = SiteSettings::read(&path).expect("the settings are right");
    write(&path, newest);
    let mut leave = Leave::begin(&settings);
    let began = std::time::Instant::now();
    while !leave.newest_grace.is_terminated() && began.elapsed() < READ_WITHIN {
        leave.is_over();
        std::thread::sleep(Duration::from_millis(1));
    }
    std::fs::remove_file(path).expect("removed");
    leave.within
}

#[gtest]
fn the_smaller_grace_of_the_old_and_the_newest_settings_holds() {
    for (name, first, newest, seconds) in [
        ("shorter", "8", "3", 2),
        ("longer", "8", "30", 7),
        ("same", "8", "8", 7),
        ("bad", "8", "soon", 7),
        ("negative", "8", "-3", 7),
        ("short", "8", "0.5", 0),
    ] {
        expect_that!(time_to_leave(name, first, newest), eq(Duration::from_secs(seconds)), "{name}");
    }
}
