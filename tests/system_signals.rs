//! Signals to the system's programs, as real processes on loopback.
#![allow(missing_docs)]

mod system_program;

use googletest::prelude::*;
use rstest::rstest;
use std::fs::File;
use std::io::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::Command;
use system_program::{folder, free_port, until, Program};

/// A settings file that is there to be read, but not yet written: its reader waits.
struct UnwrittenSettings {
    path: PathBuf,
    text: String,
}

impl UnwrittenSettings {
    fn new(folder: &Path, text: String) -> UnwrittenSettings {
        let path = folder.join("local.yaml");
        let made = Command::new("mkfifo").arg(&path).status().expect("mkfifo runs");
        assert!(made.success(), "mkfifo: {made}");
        UnwrittenSettings { path, text }
    }

    /// Waits until the file is being read, does something and then writes it. Later readers find a usual file.
    fn write_after(&self, act: impl FnOnce()) {
        let mut pipe = File::options().write(true).open(&self.path).expect("it is being read");
        act();
        let usual = self.path.with_extension("new");
        std::fs::write(&usual, &self.text).expect("written");
        std::fs::rename(usual, &self.path).expect("renamed");
        pipe.write_all(self.text.as_bytes()).expect("the process is there and reads on");
    }
}

fn settings(extra: &str) -> String {
    let feed = free_port();
    format!(
        "nodeName: \"m-1\"\nip: \"127.0.0.1\"\nzone: \"here\"\nportRange:\n  - 0\n  - {feed}\n{extra}\
         bounds:\n  graceS: 1\n  retryBudgetRatio: 0.1\n  retryBudgetSlack: 3\n"
    )
}

#[gtest]
fn a_file_cut_off_at_sighup_is_named_with_the_missing_field() {
    let folder = folder("cut");
    let path = folder.join("local.yaml");
    let whole = settings("bind:\n  http: \"127.0.0.1:0\"\n");
    std::fs::write(&path, &whole).expect("written");
    let data_plane = Program::start("data-plane", Some(&path), &folder);
    // The agent is called once the file has been read.
    until("a call to the agent", || data_plane.logged().contains("the agent at").then_some(()));
    let cut = whole.find("  retryBudgetRatio").expect("it is there");
    std::fs::write(&path, &whole[..cut]).expect("written");
    let told = until("the log line", || {
        data_plane.send("-HUP");
        data_plane.logged().lines().find(|line| line.contains("settings are kept")).map(str::to_owned)
    });
    expect_that!(told, contains_substring("WARN"));
    expect_that!(told, contains_substring("local.yaml: `bounds.retryBudgetRatio` is missing"));
    std::fs::remove_dir_all(folder).expect("removed");
}

/// What each program needs beside the common settings.
fn own_settings(command: &str, folder: &Path) -> String {
    match command {
        "data-plane" => "bind:\n  http: \"127.0.0.1:0\"\n".to_owned(),
        "control-plane" => format!("bind:\n  control: \"127.0.0.1:0\"\ndataDir: {folder:?}\n"),
        _ => String::new(),
    }
}

#[rstest]
#[case::data_plane("data-plane")]
#[case::agent("agent")]
#[case::control_plane("control-plane")]
fn signals_before_the_settings_are_read_end_nothing_at_once(#[case] command: &str) {
    let folder = folder(command);
    let unwritten = UnwrittenSettings::new(&folder, settings(&own_settings(command, &folder)));
    let mut program = Program::start(command, Some(&unwritten.path), &folder);
    unwritten.write_after(|| {
        program.send("-HUP");
        program.send("-TERM");
    });
    let status = program.wait();
    assert_eq!(status.code(), Some(0), "{status}: {}", program.logged());
    std::fs::remove_dir_all(folder).expect("removed");
}

/// A core machine that reaches no quorum leaves only when its time is over.
#[gtest]
fn a_grace_shortened_in_the_file_holds_for_a_core_machine_that_waits_for_others() {
    let folder = folder("shortened");
    let path = folder.join("local.yaml");
    let alone = "seeds:\n  - \"127.0.0.1:1\"\n  - \"127.0.0.2:1\"\n  - \"127.0.0.3:1\"\nbootstrap: true\n";
    let own = format!("{}{alone}", own_settings("control-plane", &folder));
    let long = settings(&own).replace("graceS: 1\n", "graceS: 600\n");
    std::fs::write(&path, &long).expect("written");
    let mut core = Program::start("control-plane", Some(&path), &folder);
    // The file of the replica is there once the settings have been read.
    until("the start", || folder.join("replica.log").exists().then_some(()));
    std::fs::write(&path, long.replace("graceS: 600", "graceS: 2")).expect("written");
    core.send("-TERM");
    let status = core.wait();
    expect_that!(status.code(), eq(Some(0)));
    std::fs::remove_dir_all(folder).expect("removed");
}

/// Guards against a process that finds no core machine any more since it read the seeds at its start alone.
#[rstest]
#[case::agent("agent", false)]
#[case::agent_at_sighup("agent", true)]
#[case::control_plane("control-plane", false)]
#[case::control_plane_at_sighup("control-plane", true)]
fn seeds_that_the_file_names_later_are_called(#[case] command: &str, #[case] is_signalled: bool) {
    let folder = folder(&format!("seeds-{command}-{is_signalled}"));
    let path = folder.join("local.yaml");
    let later = TcpListener::bind("127.0.0.2:0").expect("an address of the loopback interface");
    let port = later.local_addr().expect("its address").port();
    let feed = until("a port above", || Some(free_port()).filter(|feed| *feed > port));
    let own = own_settings(command, &folder);
    let first = format!(
        "nodeName: \"m-1\"\nip: \"127.0.0.1\"\nzone: \"here\"\nportRange: [{port}, {feed}]\n{own}\
         seeds:\n  - \"127.0.0.3:1\"\n"
    );
    std::fs::write(&path, &first).expect("written");
    let program = Program::start(command, Some(&path), &folder);
    let has_begun =
        || folder.join("replica.log").exists() || program.logged().contains("no link to 127.0.0.3");
    until("the start", || has_begun().then_some(()));
    later.set_nonblocking(true).expect("set");
    assert!(later.accept().is_err(), "called before the file names it: {}", program.logged());
    std::fs::write(&path, first.replace("127.0.0.3:1", "127.0.0.2:1")).expect("written");
    if is_signalled {
        program.send("-HUP");
    }
    until("a call", || later.accept().ok());
    drop(program);
    std::fs::remove_dir_all(folder).expect("removed");
}
