//! Programs of the system as real processes, and what their tests share.

use std::fs::File;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};
use switchhill::site_settings::SETTINGS_VARIABLE;
use switchhill_lab::stand_in::{program, signal};

/// Longest time that anything awaited in a test may take.
const BOUND: Duration = Duration::from_secs(20);

/// Time between two looks at what is awaited.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// A program of the system, ended by its own id whatever happens.
pub struct Program {
    child: Child,
    log: PathBuf,
}

impl Program {
    /// Starts it. Without `settings` the environment names no settings file.
    pub fn start(command: &str, settings: Option<&Path>, folder: &Path) -> Program {
        let log = folder.join("log");
        let mut start = Command::new(program());
        start.arg(command).env_remove(SETTINGS_VARIABLE).env("RUST_LOG", "switchhill=debug");
        if let Some(settings) = settings {
            start.env(SETTINGS_VARIABLE, settings);
        }
        start.stdin(Stdio::null()).stdout(Stdio::null()).stderr(File::create(&log).expect("a file"));
        Program { child: start.spawn().expect("it starts"), log }
    }

    /// Sends a signal, such as `-TERM`.
    pub fn send(&self, name: &str) {
        assert!(signal(self.child.id(), name), "{name} can't be sent");
    }

    /// Waits for its end.
    pub fn wait(&mut self) -> ExitStatus {
        until("the program's end", || self.child.try_wait().expect("a child"))
    }

    /// What it has logged so far.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).expect("the log")
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Both have no effect on a process that has ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Looks until there is something.
pub fn until<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    while began.elapsed() < BOUND {
        if let Some(found) = look() {
            return found;
        }
        std::thread::sleep(LOOK_EVERY);
    }
    panic!("{what} took too long");
}

/// A folder of this test's own.
pub fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("switchhill-program-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// A port that nobody listens on.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.local_addr().expect("its address").port()
}
