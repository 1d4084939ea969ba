//! The gateway's program: where it lies, the files it is started with, and its start.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};

/// The variables of the environment that name the program's settings: a test's own environment has no say.
pub const SETTINGS_VARIABLES: [&str; 4] =
    ["RELAY_LISTEN", "RELAY_DISCOVERY", "RELAY_CONTROL", "SWITCHHILL_OPERATOR"];

/// The platform's configuration of a gateway.
pub const CONFIG: &str = include_str!("config.json");

static STARTED: AtomicU64 = AtomicU64::new(0);

/// Where the gateway's program lies: beside the running test or tool, which cargo builds into the same place.
///
/// # Panics
/// When it has not been built there.
pub fn program() -> PathBuf {
    let own = std::env::current_exe().expect("a program");
    let beside = own.ancestors().skip(1).take(2).map(|place| place.join("switchhill"));
    beside.into_iter().find(|path| path.is_file()).expect("the gateway is built: cargo build")
}

/// Writes files into a new folder and prepares the program to be told them.
pub fn prepare(config: &str, operator: Option<&str>) -> (Command, PathBuf) {
    let number = STARTED.fetch_add(1, Ordering::SeqCst);
    let directory = std::env::temp_dir().join(format!("switchhill-test-{}-{number}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a folder");
    let mut command = Command::new(program());
    SETTINGS_VARIABLES.iter().for_each(|name| {
        command.env_remove(name);
    });
    std::fs::write(directory.join("config.json"), config).expect("written");
    command.env("RELAY_CONFIG", directory.join("config.json"));
    if let Some(operator) = operator {
        std::fs::write(directory.join("operator.yaml"), operator).expect("written");
        command.env("SWITCHHILL_OPERATOR", directory.join("operator.yaml"));
    }
    command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
    (command, directory)
}

/// A configuration that listens on any port and asks this discovery.
pub fn config(discovery: SocketAddr) -> String {
    let known = r#"{"revision":0,"complete":true,"members":[]}"#;
    let (head, rest) = CONFIG.split_once("\"known\":").expect("has it");
    let settings = rest.split_once("\"settings\":").expect("has them").1;
    format!("{head}\"known\":{known},\"settings\":{settings}")
        .replace("10.0.0.4:8443", "127.0.0.1:0")
        .replace("10.2.0.1:8500", &discovery.to_string())
}

/// The configuration with an operators' door on any port.
pub fn with_door(config: &str) -> String {
    config.replacen('{', r#"{"control":"127.0.0.1:0","#, 1)
}
