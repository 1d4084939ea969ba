//! A running gateway as tests drive it: its files, its signals, its counters and its operators' door.

use super::process::{resident_kb, signal, status_kb};
use super::{config, prepare, wait_for, Client, Discovery, PATIENCE};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, Output};
use switchhill::net::message::Answer;

/// The program, in a process of its own.
pub struct Gateway {
    pub address: SocketAddr,
    /// Where operators call, where the configuration names an address.
    pub control: Option<SocketAddr>,
    child: Option<Child>,
    directory: PathBuf,
}

impl Gateway {
    pub fn start(discovery: &Discovery) -> Self {
        Self::start_with(&config(discovery.address), None)
    }

    pub fn start_with(config: &str, operator: Option<&str>) -> Self {
        let (command, directory) = prepare(config, operator);
        Self::run(command, directory)
    }

    pub fn run(mut command: Command, directory: PathBuf) -> Self {
        let mut child = command.spawn().expect("starts");
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a line");
        let address =
            line.trim().strip_prefix("listening on ").and_then(|a| a.parse().ok()).expect("an address");
        let config = std::fs::read_to_string(directory.join("config.json")).expect("readable");
        let control = config.contains("\"control\"").then(|| {
            line.clear();
            log.read_line(&mut line).expect("a line");
            line.trim().strip_prefix("operators call at ").and_then(|a| a.parse().ok()).expect("an address")
        });
        child.stderr = Some(log.into_inner());
        let gateway = Self { address, control, child: Some(child), directory };
        wait_for("readiness", || gateway.get("/health/ready").is_some_and(|a| a.status == 200));
        gateway
    }

    pub fn get(&self, path: &str) -> Option<Answer> {
        let mut client = Client::connect(self.address);
        client.write(&format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
        client.answer()
    }

    /// All counters that the program tells on request, for the account of a test that failed.
    pub fn counters(&self) -> String {
        let body = self.get("/health/counters").map(|answer| answer.body);
        body.map_or_else(|| "none told".to_owned(), |body| String::from_utf8_lossy(&body).into_owned())
    }

    /// One of the counters that the program tells on request.
    pub fn counter(&self, name: &str) -> u64 {
        let body = self.get("/health/counters").expect("counters").body;
        let text = String::from_utf8(body).expect("text");
        let name = format!("switchhill_{name} ");
        text.lines().find_map(|l| l.strip_prefix(&name)?.parse().ok()).expect("a counter")
    }

    /// One call at the operators' door: its whole answer.
    pub fn call(&self, line: &str) -> String {
        call(self.control.expect("it has a door"), line)
    }

    /// One of the figures that operators fetch.
    pub fn figure(&self, name: &str) -> u64 {
        let text = self.call("counters");
        assert!(text.ends_with("\nEOF\n"), "{text}");
        let name = format!("edge_relay.{name}:");
        let value = text.lines().find_map(|l| l.strip_prefix(&name)?.split('|').next()?.parse().ok());
        value.unwrap_or_else(|| panic!("no {name} in {text}"))
    }

    fn id(&self) -> u32 {
        self.child.as_ref().expect("running").id()
    }

    /// The epoch its settings' agreement acts on, and 1 where it is safe (`agreement_settings_epoch`, `_safe`).
    pub fn agreed(&self) -> (u64, u64) {
        (self.counter("agreement_settings_epoch"), self.counter("agreement_settings_safe"))
    }

    /// SIGSTOP: nothing of the process runs until [`Gateway::wake`]; its clocks go on.
    pub fn freeze(&self) {
        self.signal("-STOP");
    }

    /// SIGCONT after [`Gateway::freeze`].
    pub fn wake(&self) {
        self.signal("-CONT");
    }

    /// The memory that the program holds.
    pub fn memory_kb(&self) -> u64 {
        resident_kb(self.id()).expect("a size")
    }

    /// The memory that the program has taken itself. What is mapped from files, its own text above all, is left aside:
    /// in a build for tests that is 12 MB, and grows with every line of the program.
    pub fn taken_kb(&self) -> u64 {
        status_kb(self.id(), "RssAnon:").expect("a size")
    }

    fn signal(&self, name: &str) {
        assert!(signal(self.id(), name), "kill runs");
    }

    pub fn terminate(&mut self) {
        self.signal("-TERM");
    }

    /// Puts another configuration in the place of the one it was started with and says so.
    pub fn reload(&self, config: &str) {
        let next = self.directory.join("next.json");
        std::fs::write(&next, config).expect("written");
        std::fs::rename(next, self.directory.join("config.json")).expect("replaced");
        self.signal("-HUP");
    }

    /// Says SIGHUP without changing a file: the files in place are read again.
    pub fn hang_up(&self) {
        self.signal("-HUP");
    }

    /// Puts another operator's file in the place of the one it was started with and says so.
    pub fn reload_operator(&self, operator: &str) {
        let next = self.directory.join("next.yaml");
        std::fs::write(&next, operator).expect("written");
        std::fs::rename(next, self.directory.join("operator.yaml")).expect("replaced");
        self.signal("-HUP");
    }

    /// What it writes to its log from now on.
    pub fn take_log(&mut self) -> ChildStderr {
        self.child.as_mut().and_then(|child| child.stderr.take()).expect("piped, not taken yet")
    }

    pub fn wait(&mut self) -> Output {
        self.child.take().expect("running").wait_with_output().expect("ends")
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// One call at an operators' door: its whole answer.
pub fn call(control: SocketAddr, line: &str) -> String {
    let mut socket = TcpStream::connect(control).expect("connects");
    socket.set_read_timeout(Some(PATIENCE)).expect("set");
    socket.write_all(format!("{line}\n").as_bytes()).expect("written");
    let mut text = String::new();
    socket.read_to_string(&mut text).expect("an answer and an end");
    text
}
