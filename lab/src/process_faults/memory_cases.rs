//! Floods that fill the memory of a process.

use super::lone_process::{limits_of, LoneProcess};
use super::unfinished::{hold_connections, unfinished_frame, unfinished_head, CONNECTION_WITHIN};
use crate::local_system::http::{get, send};
use crate::local_system::ProcessLimits;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpStream;

/// How long a flood is held.
const HELD_FOR: Duration = Duration::from_secs(2);

/// Time for a caller to be answered. A data plane waits for its first configuration for a second.
const ANSWER_WITHIN: Duration = Duration::from_secs(4);

/// A listener of a program.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// Calls of workers and the operator, at a control plane.
    Control,
    /// Other core machines and agents, at a control plane.
    Internal,
    /// The data plane beside it, at an agent.
    Feed,
    /// Clients, at a data plane.
    Clients,
    /// Readiness checks, at a data plane.
    Readiness,
}

impl Listener {
    fn command(self) -> &'static str {
        match self {
            Listener::Control | Listener::Internal => "control-plane",
            Listener::Feed => "agent",
            Listener::Clients | Listener::Readiness => "data-plane",
        }
    }

    /// Limits of the process that has the listener.
    pub fn limits(self) -> ProcessLimits {
        limits_of(self.command())
    }

    fn address(self, process: &LoneProcess) -> SocketAddr {
        let addresses = process.addresses;
        match self {
            Listener::Control | Listener::Clients => addresses.socket(addresses.service),
            Listener::Internal => addresses.socket(addresses.internal),
            Listener::Readiness => addresses.socket(addresses.readiness),
            Listener::Feed => addresses.socket(addresses.feed),
        }
    }
}

/// Connections that send much and finish nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Flood {
    /// Where they connect.
    pub listener: Listener,
    /// How many.
    pub connections: usize,
    /// What each sends, in bytes.
    pub bytes_each: usize,
}

/// What a flood did.
#[derive(Debug, Clone)]
pub struct MemoryOutcome {
    /// Connections that came up.
    pub connected: usize,
    /// The most memory that was resident, in megabytes.
    pub peak_mb: u64,
    /// Whether the process still ran.
    pub runs: bool,
    /// Whether the listener answered a caller while the flood was held. Only listeners for requests answer.
    pub answers_meanwhile: bool,
    /// Whether its listener took a connection once the flood had ended.
    pub answers_afterwards: bool,
}

/// Floods a listener with requests whose heads do not end.
///
/// # Errors
/// The process does not start, or the system does not tell its memory.
pub async fn flood_heads(program: &Path, flood: Flood) -> anyhow::Result<MemoryOutcome> {
    let process = LoneProcess::start(program, flood.listener.command()).await?;
    let address = flood.listener.address(&process);
    let head = unfinished_head(flood.bytes_each);
    let held = hold_connections(address, flood.connections, head).await;
    outcome(process, flood.listener, held).await
}

/// Floods a listener for internal messages with frames that do not end: each announces `announced_bytes`.
///
/// # Errors
/// The process does not start, or the system does not tell its memory.
pub async fn flood_internal_frames(
    program: &Path,
    flood: Flood,
    announced_bytes: u32,
) -> anyhow::Result<MemoryOutcome> {
    let process = LoneProcess::start(program, flood.listener.command()).await?;
    let address = flood.listener.address(&process);
    let frame = unfinished_frame(announced_bytes, flood.bytes_each);
    let held = hold_connections(address, flood.connections, frame).await;
    outcome(process, flood.listener, held).await
}

async fn outcome(
    mut process: LoneProcess,
    listener: Listener,
    held: Vec<TcpStream>,
) -> anyhow::Result<MemoryOutcome> {
    tokio::time::sleep(HELD_FOR).await;
    let connected = held.len();
    let address = listener.address(&process);
    let answer = tokio::time::timeout(ANSWER_WITHIN, call_once(address)).await;
    let peak_mb = process.process().peak_resident_bytes()? >> 20;
    let runs = process.process().ended()?.is_none();
    drop(held);
    let connects = tokio::time::timeout(CONNECTION_WITHIN, TcpStream::connect(address)).await;
    Ok(MemoryOutcome {
        connected,
        peak_mb,
        runs,
        answers_meanwhile: matches!(answer, Ok(Ok(_))),
        answers_afterwards: matches!(connects, Ok(Ok(_))),
    })
}

/// A call that is answered whatever the state of the process.
async fn call_once(address: SocketAddr) -> anyhow::Result<()> {
    send(address, get(address, "/api/ready")).await.map(drop)
}
