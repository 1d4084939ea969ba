//! One process of the system, with nothing around it.

use crate::local_system::ports::{free_port, AddressBlock};
use crate::local_system::process::Launch;
use crate::local_system::{until, Process, ProcessLimits};
use rustix::process::{getrlimit, setrlimit, Resource};
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::net::TcpStream;

/// Folders made by this process.
static FOLDERS: AtomicU32 = AtomicU32::new(0);

/// Limits of the machine that a program runs on.
pub(super) fn limits_of(command: &str) -> ProcessLimits {
    match command {
        "control-plane" => ProcessLimits::SMALL_CORE,
        _ => ProcessLimits::SMALL_EDGE,
    }
}

/// Addresses and ports of a machine on which one program runs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Addresses {
    pub(super) ip: Ipv4Addr,
    pub(super) service: u16,
    pub(super) readiness: u16,
    pub(super) internal: u16,
    pub(super) feed: u16,
}

impl Addresses {
    /// Addresses that nothing else uses.
    pub(super) fn free() -> anyhow::Result<Addresses> {
        let ip = AddressBlock::new().address(1);
        Addresses::at(ip)
    }

    fn at(ip: Ipv4Addr) -> anyhow::Result<Addresses> {
        let mut ports = Vec::new();
        for _ in 0..4 {
            ports.push(free_port(&[ip, Ipv4Addr::LOCALHOST], &ports)?);
        }
        ports.sort_unstable();
        Ok(Addresses { ip, internal: ports[0], service: ports[1], readiness: ports[2], feed: ports[3] })
    }

    /// The same ports on the next address.
    pub(super) fn next_machine(self) -> Addresses {
        let [a, b, c, d] = self.ip.octets();
        Addresses { ip: Ipv4Addr::new(a, b, c, d + 1), ..self }
    }

    pub(super) fn socket(self, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip, port))
    }
}

/// A folder of its own, removed at the end.
pub(super) struct Folder(pub(super) PathBuf);

impl Folder {
    pub(super) fn new() -> anyhow::Result<Folder> {
        let number = FOLDERS.fetch_add(1, Ordering::SeqCst);
        let path = std::env::temp_dir().join(format!("switchhill-lone-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Raises the limit on this process's descriptors, and so on those of the processes that it starts, as far as the system
/// allows: floods have some thousand connections.
pub(super) fn raise_descriptor_limit() {
    let mut limit = getrlimit(Resource::Nofile);
    limit.current = limit.maximum;
    // Where it is refused, connections that fail tell it.
    let _ = setrlimit(Resource::Nofile, limit);
}

/// The settings file of a machine that runs this program, as the pages show it, in the order of its fields.
pub(super) fn settings(command: &str, addresses: Addresses, disk: &Path) -> Value {
    let limits = limits_of(command);
    json!({
        "nodeName": format!("machine-{}", addresses.ip),
        "ip": addresses.ip,
        "zone": "here",
        "zones": {"here": "nearby"},
        "bind": {
            "http": addresses.socket(addresses.service),
            "readiness": addresses.socket(addresses.readiness),
            "control": addresses.socket(addresses.service),
        },
        "portRange": [addresses.internal, addresses.feed],
        "seeds": [addresses.socket(addresses.service)],
        "bootstrap": true,
        "limits": {"memoryMb": limits.memory_mb, "maxFds": limits.max_fds},
        "dataDir": disk,
        "heartbeatMs": 1200,
        "faultTolerance": {"machines": 1},
        "bounds": {"graceS": 2, "leaseMs": 500},
    })
}

/// A program that runs alone on its machine.
pub struct LoneProcess {
    pub(super) process: Process,
    pub(super) addresses: Addresses,
    pub(super) log: PathBuf,
    _folder: Folder,
}

impl LoneProcess {
    /// Starts a program and waits until its listeners take connections.
    ///
    /// # Errors
    /// It cannot be started, or ends.
    pub async fn start(program: &Path, command: &'static str) -> anyhow::Result<LoneProcess> {
        raise_descriptor_limit();
        let (folder, addresses) = (Folder::new()?, Addresses::free()?);
        let path = folder.0.join("local.yaml");
        std::fs::write(&path, settings(command, addresses, &folder.0.join("disk")).to_string())?;
        let log = folder.0.join("log");
        let launch = Launch { program: program.to_owned(), command, settings: path, log: log.clone() };
        let lone = LoneProcess { process: launch.start()?, addresses, log, _folder: folder };
        let listener = match command {
            "agent" => addresses.socket(addresses.feed),
            _ => addresses.socket(addresses.service),
        };
        until("the process listens", || async move { TcpStream::connect(listener).await.ok() }).await?;
        Ok(lone)
    }

    /// The process.
    pub fn process(&mut self) -> &mut Process {
        &mut self.process
    }

    /// What it has logged so far.
    pub fn logged(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}
