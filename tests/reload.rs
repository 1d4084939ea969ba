//! The configuration read again on SIGHUP, on real sockets.
#![allow(missing_docs)]

use std::sync::Arc;
use switchhill_lab::stand_in::*;

#[test]
fn a_reload_moves_discovery_and_keeps_streams_and_connections() {
    // Guarded against: a SIGHUP that ends the program, a new address masked by the environment's old one,
    // and a list from the new address that is never asked for.
    let (old, new) = (Arc::new(Seen::default()), Arc::new(Seen::default()));
    let before = Discovery::new(vec![member("s-1", host(&old, |_| Act::ServeAfter(1500)))]);
    let after = Discovery::new(vec![member("s-2", host(&new, |_| Act::Serve))]);
    let (mut command, directory) = prepare(&config(before.address), None);
    command.env("RELAY_DISCOVERY", before.address.to_string());
    let mut gateway = Gateway::run(command, directory);
    let (mut early, mut kept) = (Client::connect(gateway.address), Client::connect(gateway.address));
    early.write(&request("top-up", 1, 1, 8000));
    wait_for("the request at a host", || old.all() == 1);
    gateway.reload(&config(after.address));
    wait_for("a call at the new address", || after.calls() > 0);
    wait_for("the new list", || kept.ask("usage-view", 2, 2, 3000).status == 200 && new.all() > 0);
    // What was taken before the reload has its answer, on the connection it came by.
    assert_eq!(early.answer().expect("an answer").body, format!("{:016x}pay", 1).into_bytes());
    let told = before.calls();
    assert_eq!(early.ask("usage-view", 3, 3, 3000).status, 200);
    assert_eq!((old.all(), before.calls()), (1, told));
    gateway.terminate();
    assert_eq!(gateway.wait().status.code(), Some(0));
}

#[test]
fn a_bad_new_file_is_logged_and_the_old_configuration_kept() {
    let seen = Arc::new(Seen::default());
    let discovery = Discovery::new(vec![member("s-1", host(&seen, |_| Act::Serve))]);
    let good = config(discovery.address);
    let mut gateway = Gateway::start_with(&good, None);
    let mut client = Client::connect(gateway.address);
    gateway.reload("{ no JSON");
    assert_eq!(client.ask("usage-view", 1, 1, 3000).status, 200);
    gateway.reload(&good.replace("\"sockets\":1024", "\"sockets\":\"many\""));
    let calls = discovery.calls();
    wait_for("the old watch to go on", || discovery.calls() > calls);
    assert_eq!(client.ask("usage-view", 2, 2, 3000).status, 200);
    gateway.terminate();
    let output = gateway.wait();
    let said = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(output.status.code(), Some(0), "{said}");
    assert!(said.contains("not taken") && said.contains("`limits.sockets`"), "{said}");
}

/// Reads a log until a line satisfies the condition; gives that line.
fn line_that(log: &mut impl std::io::BufRead, holds: impl Fn(&str) -> bool) -> String {
    loop {
        let mut line = String::new();
        assert!(log.read_line(&mut line).expect("readable") > 0, "the log ended without it");
        if holds(&line) {
            return line;
        }
    }
}

#[test]
fn a_reload_changes_the_logs_form_and_keeps_it_where_the_file_has_a_fault() {
    let seen = Arc::new(Seen::default());
    let discovery = Discovery::new(vec![member("s-1", host(&seen, |_| Act::Serve))]);
    let mut gateway = Gateway::start_with(&config(discovery.address), Some("log: {format: text}\n"));
    let mut log = std::io::BufReader::new(gateway.take_log());
    gateway.reload_operator("log:\n  format: json\n");
    let first = line_that(&mut log, |line| line.contains("configuration read again"));
    assert!(!first.starts_with('{'), "written before the change: {first}");
    gateway.reload_operator("log:\n  format: yes please\n");
    let second = line_that(&mut log, |line| line.contains("not taken"));
    assert!(second.starts_with('{') && second.contains(":2: `log.format`"), "{second}");
    gateway.terminate();
    assert_eq!(gateway.wait().status.code(), Some(0));
}

#[test]
fn a_log_that_nobody_reads_stops_nothing() {
    // Guarded against: a full pipe on standard error that blocks the loop. Every reload below logs a line of
    // over 200 bytes, and a pipe holds 64 KiB. The bad file is written once and then only read again at each
    // SIGHUP: a rename over a file can take 60 ms or more on a disk that flushes it, and the lines that fill the
    // log's queue would then take longer than any wait here.
    let seen = Arc::new(Seen::default());
    let discovery = Discovery::new(vec![member("s-1", host(&seen, |_| Act::Serve))]);
    let gateway = Gateway::start_with(&config(discovery.address), Some("log: {}\n"));
    let mut client = Client::connect(gateway.address);
    gateway.reload_operator(&format!("log: {{format: {}}}\n", "x".repeat(4000)));
    let mut id = 0;
    wait_for("dropped lines", || {
        for _ in 0..50 {
            gateway.hang_up();
            std::thread::sleep(std::time::Duration::from_millis(1));
        }
        id += 1;
        assert_eq!(client.ask("usage-view", id, id, 3000).status, 200);
        gateway.counter("log_lines_dropped") > 0
    });
}
