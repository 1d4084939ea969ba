//! Stand-ins for what surrounds a gateway, on loopback: discovery, upstream hosts, clients.
#![allow(dead_code, missing_docs)]

pub mod http2;

use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use switchhill::net::http1::{self, Parsed};
use switchhill::net::message::{Answer, Message};

/// No wait in a test is longer.
pub const PATIENCE: Duration = Duration::from_secs(20);

pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < PATIENCE, "waited in vain for {what}");
        thread::sleep(Duration::from_millis(5));
    }
}

/// Lets the gateway's connections to hosts rest long enough after an answer to be used again.
pub fn settle() {
    thread::sleep(Duration::from_millis(60));
}

/// Answers every connection in a thread of its own, for as long as the test runs.
pub fn serve(each: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("binds");
    let address = listener.local_addr().expect("bound");
    let each = Arc::new(each);
    thread::spawn(move || {
        for socket in listener.incoming().map_while(Result::ok) {
            let each = each.clone();
            thread::spawn(move || each(socket));
        }
    });
    address
}

/// One entry of discovery's list.
#[derive(Clone)]
pub struct Member {
    pub id: &'static str,
    pub address: SocketAddr,
    pub phase: &'static str,
    pub http2: bool,
}

pub fn member(id: &'static str, address: SocketAddr) -> Member {
    Member { id, address, phase: "in_service", http2: false }
}

#[derive(Default)]
struct Listed {
    revision: AtomicU64,
    members: Mutex<Vec<Member>>,
    silent: AtomicBool,
    calls: AtomicU64,
}

/// Discovery: tells the whole list, and a watch every change.
pub struct Discovery {
    pub address: SocketAddr,
    listed: Arc<Listed>,
}

impl Discovery {
    pub fn new(members: Vec<Member>) -> Self {
        let listed =
            Arc::new(Listed { revision: 1.into(), members: Mutex::new(members), ..Listed::default() });
        let told = listed.clone();
        let address = serve(move |mut socket| {
            let mut bytes = Vec::new();
            while let Some(call) = read_request(&mut socket, &mut bytes) {
                told.calls.fetch_add(1, Ordering::SeqCst);
                let known =
                    call.target.split_once("index=").map(|(_, rest)| rest.split('&').next().unwrap_or(""));
                let known: u64 = known.and_then(|k| k.parse().ok()).unwrap_or(0);
                let start = Instant::now();
                while told.revision.load(Ordering::SeqCst) == known
                    && start.elapsed() < Duration::from_secs(3)
                {
                    thread::sleep(Duration::from_millis(2));
                }
                while told.silent.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(10));
                }
                let body = told.list(known);
                if socket.write_all(&whole(200, "", body.as_bytes())).is_err() {
                    return;
                }
            }
        });
        Self { address, listed }
    }

    pub fn change(&self, id: &str, phase: &'static str) {
        let mut members = self.listed.members.lock().expect("lock");
        members.iter_mut().filter(|m| m.id == id).for_each(|m| m.phase = phase);
        self.listed.revision.fetch_add(1, Ordering::SeqCst);
    }

    pub fn calls(&self) -> u64 {
        self.listed.calls.load(Ordering::SeqCst)
    }

    pub fn silence(&self, on: bool) {
        self.listed.silent.store(on, Ordering::SeqCst);
    }
}

impl Listed {
    fn list(&self, known: u64) -> String {
        let members = self.members.lock().expect("lock");
        // Danger: read before the lock, a change in between is told as known without ever having been listed.
        let revision = self.revision.load(Ordering::SeqCst);
        let nothing_new = revision == known;
        let entry = |m: &Member| {
            let protocol = if m.http2 { "h2c" } else { "http/1.1" };
            list_entry(m.id, m.address, m.phase, protocol)
        };
        let entries: Vec<String> = if nothing_new { vec![] } else { members.iter().map(entry).collect() };
        list_text(revision, !nothing_new, &entries)
    }
}

/// One entry of discovery's list.
pub fn list_entry(id: &str, address: SocketAddr, phase: &str, protocol: &str) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"room-a","flavor":"big-box","cell":0,"phase":"{phase}","size":1.0,"up_since_ms":0,"protocol":"{protocol}"}}"#
    )
}

/// Discovery's list.
pub fn list_text(revision: u64, complete: bool, entries: &[String]) -> String {
    format!(r#"{{"revision":{revision},"complete":{complete},"members":[{}]}}"#, entries.join(","))
}

/// A whole answer's bytes.
pub fn whole(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = http1::answer_head(status, headers.as_bytes(), body.len(), false);
    bytes.extend_from_slice(body);
    bytes
}

/// Reads once. A read that a signal interrupts goes on: with a timeout set, it is not restarted by the system, and the
/// signals of a test's own child processes come at any time.
pub fn read_some(from: &mut impl Read, to: &mut [u8]) -> std::io::Result<usize> {
    loop {
        match from.read(to) {
            Err(error) if error.kind() == std::io::ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(socket: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Message> {
    loop {
        match http1::request(bytes) {
            Parsed::Whole(message, used, _) => {
                bytes.drain(..used);
                return Some(message);
            }
            Parsed::Bad(..) => return None,
            Parsed::Partial(_) => {
                let mut some = [0; 4096];
                match read_some(socket, &mut some) {
                    Ok(n) if n > 0 => bytes.extend_from_slice(&some[..n]),
                    _ => return None,
                }
            }
        }
    }
}

/// What an upstream host does with a request.
#[derive(Clone, Copy, PartialEq)]
pub enum Act {
    /// 200, with the request's body and id as its body.
    Serve,
    /// 200 after so many milliseconds.
    ServeAfter(u64),
    Error,
    TurnAway,
    /// Reads the request, then breaks the connection.
    Break,
    Hang,
    /// HTTP/2 only: `REFUSED_STREAM`.
    Refuse,
    /// These bytes as they stand; the connection stays open.
    Say(&'static str),
    /// These bytes in front of a good answer.
    ServeBehind(&'static str),
    /// These bytes right behind a good answer.
    ServeBefore(&'static str),
    /// An answer whose body never ends.
    KeepComing,
}

/// How often each id has come whole to any of the upstream hosts that share it.
#[derive(Default)]
pub struct Seen {
    ids: Mutex<HashMap<String, usize>>,
    pub probes: AtomicU64,
}

impl Seen {
    pub fn note(&self, id: &str) {
        *self.ids.lock().expect("lock").entry(id.into()).or_default() += 1;
    }

    pub fn times(&self, id: &str) -> usize {
        self.ids.lock().expect("lock").get(id).copied().unwrap_or(0)
    }

    pub fn all(&self) -> usize {
        self.ids.lock().expect("lock").values().sum()
    }

    pub fn most(&self) -> usize {
        self.ids.lock().expect("lock").values().copied().max().unwrap_or(0)
    }
}

pub fn id_of(message: &Message) -> String {
    let text = String::from_utf8_lossy(&message.headers).to_lowercase();
    text.lines().find_map(|l| l.strip_prefix("x-txn: ").map(String::from)).unwrap_or_default()
}

/// An upstream host that speaks HTTP/1.1.
pub fn host(seen: &Arc<Seen>, act: impl Fn(&Message) -> Act + Send + Sync + 'static) -> SocketAddr {
    let seen = seen.clone();
    serve(move |mut socket| {
        let mut bytes = Vec::new();
        while let Some(message) = read_request(&mut socket, &mut bytes) {
            if message.path() == "/stats" {
                seen.probes.fetch_add(1, Ordering::SeqCst);
                let _ = socket.write_all(&whole(200, "X-Pressure: latency_ms=1\r\n", b""));
                continue;
            }
            let id = id_of(&message);
            let act = act(&message);
            if act != Act::TurnAway {
                seen.note(&id);
            }
            let answer = match act {
                Act::Serve => {
                    whole(200, "X-RateLimit-Used: 10\r\n", &[id.as_bytes(), &message.body].concat())
                }
                Act::ServeAfter(ms) => {
                    thread::sleep(Duration::from_millis(ms));
                    whole(200, "", &[id.as_bytes(), &message.body].concat())
                }
                Act::Say(bytes) => bytes.as_bytes().to_vec(),
                Act::ServeBehind(bytes) => [
                    bytes.as_bytes(),
                    &whole(200, "X-Pressure: ?=!\r\nX-RateLimit-Used: -\r\n", id.as_bytes()),
                ]
                .concat(),
                Act::ServeBefore(bytes) => [&whole(200, "", id.as_bytes()), bytes.as_bytes()].concat(),
                Act::KeepComing => {
                    let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 60000\r\nX-Pad: ");
                    while socket.write_all(&[b'p'; 8192]).is_ok() {}
                    return;
                }
                Act::Error => whole(500, "", b""),
                Act::TurnAway | Act::Refuse => whole(503, "X-Turned-Away: 1\r\n", b""),
                Act::Break => return,
                Act::Hang => {
                    // Until the gateway gives the connection up.
                    let _ = read_some(&mut socket, &mut [0; 1]);
                    return;
                }
            };
            if socket.write_all(&answer).is_err() {
                return;
            }
        }
    })
}

/// An address on which nothing listens.
pub fn nowhere() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("binds")
}

/// The program, in a process of its own.
pub struct Gateway {
    pub address: SocketAddr,
    /// Where operators call, where the configuration names an address.
    pub control: Option<SocketAddr>,
    child: Option<Child>,
    directory: std::path::PathBuf,
}

static STARTED: AtomicU64 = AtomicU64::new(0);

/// Where the gateway's program lies: beside the running test or tool, which cargo builds into the same place.
///
/// # Panics
/// When it has not been built there.
pub fn program() -> std::path::PathBuf {
    let own = std::env::current_exe().expect("a program");
    let beside = own.ancestors().skip(1).take(2).map(|place| place.join("switchhill"));
    beside.into_iter().find(|path| path.is_file()).expect("the gateway is built: cargo build")
}

/// Writes files into a new folder and prepares the program to be told them.
pub fn prepare(config: &str, operator: Option<&str>) -> (Command, std::path::PathBuf) {
    let number = STARTED.fetch_add(1, Ordering::SeqCst);
    let directory = std::env::temp_dir().join(format!("switchhill-test-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a folder");
    let mut command = Command::new(program());
    for name in ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONTROL", "SWITCHHILL_OPERATOR"] {
        command.env_remove(name);
    }
    std::fs::write(directory.join("config.json"), config).expect("written");
    command.env("RELAY_CONFIG", directory.join("config.json"));
    if let Some(operator) = operator {
        std::fs::write(directory.join("operator.yaml"), operator).expect("written");
        command.env("SWITCHHILL_OPERATOR", directory.join("operator.yaml"));
    }
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    (command, directory)
}

pub const CONFIG: &str = include_str!("config.json");

/// A configuration that listens on any port and asks this discovery.
pub fn config(discovery: SocketAddr) -> String {
    let known = r#"{"revision":0,"complete":true,"members":[]}"#;
    let (head, rest) = CONFIG.split_once("\"known\":").expect("has it");
    let settings = rest.split_once("\"settings\":").expect("has them").1;
    format!("{head}\"known\":{known},\"settings\":{settings}")
        .replace("10.0.0.4:8443", "127.0.0.1:0")
        .replace("10.2.0.1:8500", &discovery.to_string())
}

impl Gateway {
    pub fn start(discovery: &Discovery) -> Self {
        Self::start_with(&config(discovery.address), None)
    }

    pub fn start_with(config: &str, operator: Option<&str>) -> Self {
        let (command, directory) = prepare(config, operator);
        Self::run(command, directory)
    }

    pub fn run(mut command: Command, directory: std::path::PathBuf) -> Self {
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
    pub fn take_log(&mut self) -> std::process::ChildStderr {
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

/// The configuration with an operators' door on any port.
pub fn with_door(config: &str) -> String {
    config.replacen('{', r#"{"control":"127.0.0.1:0","#, 1)
}

/// A client's connection in HTTP/1.1.
pub struct Client {
    pub socket: TcpStream,
    bytes: Vec<u8>,
}

/// The text of a request with an id; each customer has a quota of its own.
pub fn request(class: &str, id: u64, customer: u64, wait_ms: u64) -> String {
    let (method, body) = if class == "top-up" { ("POST", "pay") } else { ("GET", "") };
    let length = if body.is_empty() { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    format!(
        "{method} /{class} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {id:016x}\r\nX-Tier: farm-pro\r\n\
         Cookie: client={customer:016x}\r\nX-Remaining-Ms: {wait_ms}\r\n{length}\
         X-Call-Terms: units=1,spread=1,first=0\r\n\r\n{body}"
    )
}

impl Client {
    pub fn connect(address: SocketAddr) -> Self {
        let socket = TcpStream::connect(address).expect("connects");
        socket.set_read_timeout(Some(PATIENCE)).expect("set");
        Self { socket, bytes: Vec::new() }
    }

    pub fn write(&mut self, text: &str) {
        // A gateway that has answered and closed may not take the rest.
        let _ = self.socket.write_all(text.as_bytes());
    }

    /// The next answer; `None` when the connection ends without one.
    pub fn answer(&mut self) -> Option<Answer> {
        loop {
            if let Parsed::Whole(answer, used, _) = http1::answer(&self.bytes, false) {
                self.bytes.drain(..used);
                return Some(answer);
            }
            let mut some = [0; 4096];
            match read_some(&mut self.socket, &mut some) {
                Ok(n) if n > 0 => self.bytes.extend_from_slice(&some[..n]),
                _ => return None,
            }
        }
    }

    pub fn ask(&mut self, class: &str, id: u64, customer: u64, wait_ms: u64) -> Answer {
        self.write(&request(class, id, customer, wait_ms));
        self.answer().expect("an answer")
    }
}

/// One of an answer's headers, whatever the case of its name.
pub fn header(answer: &Answer, name: &str) -> Option<String> {
    let text = String::from_utf8_lossy(&answer.headers);
    let mut lines = text.lines().filter_map(|line| line.split_once(": "));
    lines.find(|(own, _)| own.eq_ignore_ascii_case(name)).map(|(_, value)| value.to_string())
}

pub fn retry_after(answer: &Answer) -> Option<f64> {
    header(answer, "retry-after")?.parse().ok()
}

/// The memory that a process holds, in KiB.
pub fn resident_kb(process: u32) -> Option<u64> {
    status_kb(process, "VmRSS:")
}

fn status_kb(process: u32, name: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}

/// Sends a process a signal, such as `-TERM`; true if it was sent.
pub fn signal(process: u32, name: &str) -> bool {
    Command::new("kill").args([name, &process.to_string()]).status().is_ok_and(|status| status.success())
}
