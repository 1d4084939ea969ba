//! What the log of a program of the system says of its end, as real processes on loopback.
#![allow(missing_docs)]

use googletest::prelude::*;
use rstest::rstest;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use switchhill::site_settings::SETTINGS_VARIABLE;
use switchhill_lab::stand_in::{program, signal};

/// Longest time that a start may take.
const BOUND: Duration = Duration::from_secs(20);

/// Time between two looks at the log.
const LOOK_EVERY: Duration = Duration::from_millis(10);

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("switchhill-log-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.0.join("log")).unwrap_or_default()
    }

    fn last_line(&self) -> String {
        self.log().lines().last().unwrap_or_default().to_owned()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn start(command: &str, folder: &Folder, settings: Option<&str>) -> Child {
    let path = folder.0.join("local.yaml");
    let mut start = Command::new(program());
    start.arg(command).env_remove(SETTINGS_VARIABLE).stdin(Stdio::null()).stdout(Stdio::null());
    if let Some(settings) = settings {
        std::fs::write(&path, settings).expect("written");
        start.env(SETTINGS_VARIABLE, &path);
    }
    let log = std::fs::File::create(folder.0.join("log")).expect("a log");
    start.stderr(log).spawn().expect("it starts")
}

fn settings() -> String {
    let port = || {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("its address").port()
    };
    let (control, client, feed) = (port(), port(), port());
    format!(
        "nodeName: \"m-1\"\nip: \"127.0.0.1\"\nzone: \"here\"\nportRange:\n  - 0\n  - {feed}\n\
         bind:\n  control: \"127.0.0.1:{control}\"\n  http: \"127.0.0.1:{client}\"\n"
    )
}

#[rstest]
#[case("control-plane")]
#[case("agent")]
#[case("data-plane")]
#[gtest]
fn the_last_line_names_role_code_and_cause_of_a_start_that_failed(#[case] command: &str) {
    let folder = Folder::new(&format!("failed-{command}"));
    let status = start(command, &folder, None).wait().expect("a child");
    expect_that!(status.code(), some(eq(1)));
    let expected = format!("{command} ended with 1: {SETTINGS_VARIABLE} is not set");
    expect_that!(folder.last_line(), contains_substring(expected));
}

#[rstest]
#[case("control-plane")]
#[case("agent")]
#[case("data-plane")]
#[gtest]
fn the_log_begins_with_the_role_and_ends_with_a_proper_end(#[case] command: &str) {
    let folder = Folder::new(&format!("told-{command}"));
    let disk = folder.0.join("disk");
    let mut child = start(command, &folder, Some(&format!("{}dataDir: {disk:?}\n", settings())));
    let began = Instant::now();
    while !folder.log().contains("started on m-1") {
        assert!(began.elapsed() < BOUND, "no start is logged: {}", folder.log());
        std::thread::sleep(LOOK_EVERY);
    }
    assert!(signal(child.id(), "-TERM"), "SIGTERM can't be sent");
    let status = child.wait().expect("a child");
    expect_that!(status.code(), some(eq(0)), "{}", folder.log());
    expect_that!(folder.last_line(), contains_substring(format!("{command} ended with 0: it was told to")));
}
