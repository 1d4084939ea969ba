//! Starts on a machine that is not ready for the process yet, or that other processes share.

use super::lone_process::{settings, Addresses, Folder};
use crate::local_system::process::Launch;
use crate::local_system::Process;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// How long what a start needs is not there yet.
const MISSING_FOR: Duration = Duration::from_millis(300);

/// Time from the moment at which it is there to the verdict.
const SETTLE: Duration = Duration::from_millis(2500);

/// What is wrong when a program starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartCase {
    /// Another socket holds an address that the program listens on, and gives it up.
    AddressHeld,
    /// The settings file is empty, and then whole.
    SettingsEmpty,
    /// The settings file ends in the middle, and then is whole.
    SettingsCut,
    /// Another machine on the same host runs the same program with the same ports, at another address.
    MachineBeside,
    /// The replica's file holds bytes that are no records.
    ReplicaFileSpoilt,
    /// The replica's file ends after three bytes.
    ReplicaFileCut,
}

/// What came of a start.
#[derive(Debug, Clone)]
pub struct StartOutcome {
    /// Whether the program runs.
    pub runs: bool,
    /// The last line of its log.
    pub last_line: String,
    /// Its whole log.
    pub log: String,
}

/// Starts a program under a case and tells what came of it.
///
/// # Errors
/// The case cannot be set up.
pub async fn play_start(
    program: &Path,
    command: &'static str,
    case: StartCase,
) -> anyhow::Result<StartOutcome> {
    let (folder, addresses) = (Folder::new()?, Addresses::free()?);
    let disk = folder.0.join("disk");
    let path = folder.0.join("local.yaml");
    let log = folder.0.join("log");
    let text = serde_json::to_string_pretty(&settings(command, addresses, &disk))? + "\n";
    let launch = Launch { program: program.to_owned(), command, settings: path.clone(), log: log.clone() };
    std::fs::write(&path, &text)?;
    let mut beside = None;
    let process = match case {
        StartCase::AddressHeld => {
            let held = TcpListener::bind(listened_address(command, addresses))?;
            let process = launch.start()?;
            tokio::time::sleep(MISSING_FOR).await;
            drop(held);
            process
        }
        StartCase::SettingsEmpty => start_before_settings(&launch, &path, "", &text).await?,
        StartCase::SettingsCut => {
            start_before_settings(&launch, &path, &text[..text.len() / 2], &text).await?
        }
        StartCase::MachineBeside => {
            beside = Some(start_beside(&launch, addresses, &folder.0)?);
            tokio::time::sleep(MISSING_FOR).await;
            launch.start()?
        }
        StartCase::ReplicaFileSpoilt => {
            let spoilt: Vec<u8> = std::iter::repeat_with(|| fastrand::u8(..)).take(5000).collect();
            start_with_replica_file(&launch, &disk, &spoilt)?
        }
        StartCase::ReplicaFileCut => start_with_replica_file(&launch, &disk, &[1, 2, 3])?,
    };
    tokio::time::sleep(SETTLE).await;
    let outcome = outcome(process, &log)?;
    drop(beside);
    Ok(outcome)
}

/// An address that the program listens on.
fn listened_address(command: &str, addresses: Addresses) -> SocketAddr {
    match command {
        "agent" => SocketAddr::from((Ipv4Addr::UNSPECIFIED, addresses.feed)),
        _ => addresses.socket(addresses.service),
    }
}

async fn start_before_settings(
    launch: &Launch,
    path: &Path,
    first: &str,
    whole: &str,
) -> anyhow::Result<Process> {
    std::fs::write(path, first)?;
    let process = launch.start()?;
    tokio::time::sleep(MISSING_FOR).await;
    std::fs::write(path, whole)?;
    Ok(process)
}

fn start_beside(launch: &Launch, addresses: Addresses, folder: &Path) -> anyhow::Result<Process> {
    let path: PathBuf = folder.join("beside.yaml");
    let settings = settings(launch.command, addresses.next_machine(), &folder.join("disk-beside"));
    std::fs::write(&path, settings.to_string())?;
    Launch { settings: path, log: folder.join("log-beside"), ..launch.clone() }.start()
}

fn start_with_replica_file(launch: &Launch, disk: &Path, content: &[u8]) -> anyhow::Result<Process> {
    std::fs::create_dir_all(disk)?;
    std::fs::write(disk.join("replica.log"), content)?;
    launch.start()
}

fn outcome(mut process: Process, log: &Path) -> anyhow::Result<StartOutcome> {
    let runs = process.ended()?.is_none();
    let log = std::fs::read_to_string(log)?;
    let last_line = log.lines().last().unwrap_or_default().to_owned();
    Ok(StartOutcome { runs, last_line, log })
}
