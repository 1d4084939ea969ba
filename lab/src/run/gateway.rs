//! A gateway's process: its start, its log, its signals, and what it uses.

use super::files::GatewayFiles;
use crate::rig::checker::{self, Event, Returned};
use crate::stand_in::{resident_kb, signal};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::oneshot;

/// A gateway has so long to be ready.
pub(super) const STARTS_WITHIN: Duration = Duration::from_secs(10);
/// The system counts processor time in hundredths of a second.
const CPU_TICK_US: u64 = 10_000;
/// Positions of user and system time in a process's figures, counted from behind its name.
const CPU_FIELDS: [usize; 2] = [11, 12];

/// Who learns from a gateway's log, beside its file, of agreement and returns.
#[derive(Debug, Clone)]
pub(super) struct LogObserver {
    /// The gateway's number.
    pub(super) number: usize,
    pub(super) events: Arc<Mutex<Vec<Event>>>,
    pub(super) returns: Arc<Mutex<Vec<Returned>>>,
}

impl LogObserver {
    fn observe(&self, line: &str) {
        let event = checker::event(self.number, line);
        self.events.lock().unwrap_or_else(PoisonError::into_inner).extend(event);
        let returned = checker::returned(self.number, line);
        self.returns.lock().unwrap_or_else(PoisonError::into_inner).extend(returned);
    }
}

/// A gateway in a process of its own, which ends with this value.
pub(super) struct GatewayProcess {
    child: Child,
    pub(super) address: SocketAddr,
    /// Where operators call, where the configuration names a place.
    pub(super) control: Option<SocketAddr>,
    /// How it is started: its files name the addresses that it got at first. None for the least relay.
    pub(super) files: Option<GatewayFiles>,
    /// Resident memory by second, in KiB.
    pub(super) resident_kb: Vec<u64>,
    cpu_us_at_start: u64,
}

impl Drop for GatewayProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

impl GatewayProcess {
    /// Starts a process and waits for the addresses that its log begins with; `has_control` where it names two.
    pub(super) async fn start(
        command: &mut Command,
        log: &Path,
        has_control: bool,
        observer: Option<LogObserver>,
    ) -> Result<Self, String> {
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(|e| format!("{}: {e}", command.get_program().to_string_lossy()))?;
        let stderr = child.stderr.take().ok_or("no log")?;
        let opened = File::options().create(true).append(true).open(log);
        let file = opened.map_err(|e| format!("{}: {e}", log.display()))?;
        let (tell, told) = oneshot::channel();
        // A thread of its own reads the log to its end, whatever the load does.
        std::thread::spawn(move || copy_log(stderr, file, has_control, tell, observer));
        let first = tokio::time::timeout(STARTS_WITHIN, told).await;
        let first = first.ok().and_then(Result::ok).unwrap_or_default();
        let told = |start: &str| first.lines().find_map(|line| line.strip_prefix(start)?.trim().parse().ok());
        let mut process = Self {
            child,
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            control: told("operators call at "),
            files: None,
            resident_kb: Vec::new(),
            cpu_us_at_start: 0,
        };
        // Dropped on the way out, it ends its process.
        process.address =
            told("listening on ").ok_or(format!("a gateway did not start: {}", first.trim()))?;
        Ok(process)
    }

    /// Starts it again with the same files.
    pub(super) async fn restart(&mut self, observer: LogObserver) -> Result<(), String> {
        let Some(files) = self.files.clone() else { return Ok(()) };
        let mut again = Self::start(&mut files.command(), &files.log, true, Some(observer)).await?;
        (again.files, again.resident_kb) = (Some(files), std::mem::take(&mut self.resident_kb));
        *self = again;
        Ok(())
    }

    /// Notes its resident memory, once a second.
    pub(super) fn sample_memory(&mut self) {
        self.resident_kb.push(resident_kb(self.child.id()).unwrap_or(0));
    }

    /// From now on its processor time counts.
    pub(super) fn start_cpu_count(&mut self) {
        self.cpu_us_at_start = self.cpu_us();
    }

    /// Processor time since the count began, in microseconds.
    pub(super) fn cpu_us_counted(&self) -> u64 {
        self.cpu_us() - self.cpu_us_at_start
    }

    /// Processor time so far, in microseconds.
    fn cpu_us(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let figures: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let field = |n: usize| figures.get(n).and_then(|ticks| ticks.parse::<u64>().ok()).unwrap_or(0);
        CPU_FIELDS.into_iter().map(field).sum::<u64>() * CPU_TICK_US
    }

    pub(super) fn signal(&self, name: &str) {
        // One that has ended is counted as crashed, not signalled.
        let _ = signal(self.child.id(), name);
    }

    pub(super) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    pub(super) fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

/// Copies a log to its file, telling first the lines with the addresses, and what follows to the observer.
fn copy_log(
    from: ChildStderr,
    mut to: File,
    has_control: bool,
    tell: oneshot::Sender<String>,
    observer: Option<LogObserver>,
) {
    let mut lines = BufReader::new(from);
    let mut first = String::new();
    let _ = lines.read_line(&mut first);
    if has_control {
        let _ = lines.read_line(&mut first);
    }
    let _ = tell.send(first.clone());
    let _ = to.write_all(first.as_bytes());
    for line in lines.lines().map_while(Result::ok) {
        if let Some(observer) = &observer {
            observer.observe(&line);
        }
        let _ = writeln!(to, "{line}");
    }
}
