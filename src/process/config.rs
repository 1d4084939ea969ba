//! What the program is told at its start: the platform's configuration and the operator's file.

use crate::interface::{Backend, BackendState, Millis};
use crate::settings::{Field, Told};
use miniserde::json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// One entry of discovery's list: what the module hears of a worker, and what only the wire needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// For the module.
    pub backend: Backend,
    /// Where it listens.
    pub address: SocketAddr,
    /// It speaks HTTP/2 with prior knowledge.
    pub http2: bool,
}

/// A list, whole or of changes.
#[derive(Debug, Clone, PartialEq)]
pub struct List {
    /// Its version.
    pub revision: u64,
    /// Everything, not only changes.
    pub complete: bool,
    /// The entries.
    pub members: Vec<Member>,
}

impl List {
    /// Reads a list in discovery's form.
    ///
    /// # Errors
    /// One line that names the first field at fault.
    pub fn read(from: &Field<'_>, zones: &[String]) -> Result<Self, String> {
        match Self::read_what_can_be(from, zones)? {
            (list, None) => Ok(list),
            (_, Some(why)) => Err(why),
        }
    }

    /// Reads a list as well as it goes: an entry that cannot be read is left out and complained of, so that
    /// one odd host does not hide the others.
    ///
    /// # Errors
    /// One line that names the first field at fault, when it is no list at all.
    pub fn read_what_can_be(from: &Field<'_>, zones: &[String]) -> Result<(Self, Option<String>), String> {
        let (mut members, mut complaint) = (Vec::new(), None);
        for member in from.at("members").list()? {
            match read_member(&member, zones) {
                Ok(member) => members.push(member),
                Err(why) => drop(complaint.get_or_insert(why)),
            }
        }
        let revision = from.at("revision").number()? as u64;
        Ok((Self { revision, complete: from.at("complete").flag()?, members }, complaint))
    }
}

fn read_member(from: &Field<'_>, zones: &[String]) -> Result<Member, String> {
    let locality = from.at("locality").text_or_empty()?;
    let (host_port, phase) = (from.at("host_port"), from.at("phase"));
    Ok(Member {
        backend: Backend {
            id: from.at("id").text()?.into(),
            // A locality that the settings do not know is no gateway's own.
            zone: zones.iter().position(|z| z == locality).map_or(u32::MAX, |at| at as u32),
            cell: from.at("cell").number_or(0.0)? as u32,
            state: match phase.text()? {
                "in_service" => BackendState::Ready,
                "terminating" => BackendState::Draining,
                "terminated" => BackendState::Gone,
                _ => return Err(phase.bad("unknown")),
            },
            rating: from.at("size").number_or(1.0)?,
            born: from.at("up_since_ms").number_or(0.0)?,
        },
        address: host_port.text()?.parse().map_err(|_| host_port.bad("is no address and port"))?,
        http2: from.at("protocol").text_or_empty()? == "h2c",
    })
}

/// The shared store that stands in for the meter.
#[derive(Debug, Clone, PartialEq)]
pub struct Store {
    /// Where it listens.
    pub address: SocketAddr,
    /// Begins every key.
    pub prefix: String,
    /// An answer that takes longer counts as none.
    pub timeout: Millis,
}

/// What an operator's file adds to the platform's configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Operator {
    /// HTTP/2 with prior knowledge is taken from downstreams.
    pub http2_downstream: bool,
    /// Upstream hosts, by id, that are spoken to in HTTP/2.
    pub http2_hosts: BTreeSet<String>,
    /// The shared store.
    pub store: Option<Store>,
}

/// Everything the program is told.
#[derive(Debug, Clone)]
pub struct Config {
    /// This gateway's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// For chances.
    pub seed: u64,
    /// File descriptors that may be open.
    pub sockets: usize,
    /// Bytes of memory that may be taken.
    pub memory: usize,
    /// The list as last known.
    pub known: Option<List>,
    /// The settings.
    pub told: Told,
    /// The operator's file.
    pub operator: Operator,
}

fn document(text: &str, name: &str) -> Result<Value, String> {
    miniserde::json::from_str(text).map_err(|_| format!("{name}: not JSON"))
}

impl Config {
    /// Reads the configuration; `operator` is the text of the operator's file, if there is one.
    ///
    /// # Errors
    /// One line that names the first field at fault.
    pub fn read(text: &str, operator: Option<&str>) -> Result<Self, String> {
        let value = document(text, "configuration")?;
        let root = Field::root(&value, "").object()?;
        let address = |name: &str| -> Result<SocketAddr, String> {
            let field = root.at(name);
            field.text()?.parse().map_err(|_| field.bad("is no address and port"))
        };
        let told = Told::read(&root.at("settings").object()?)?;
        let seed = root.at("seed");
        let seed = u64::from_str_radix(seed.text()?, 16).map_err(|_| seed.bad("is not 16 hex digits"))?;
        let known = root.at("known");
        let sockets = root.at("limits").at("sockets");
        let memory = root.at("limits").at("memory_mb");
        let config = Self {
            name: root.at("name").text_or_empty()?.into(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            seed,
            sockets: if sockets.given() { sockets.count()? as usize } else { 1024 },
            memory: memory.number_or(192.0)?.max(0.0) as usize * 1024 * 1024,
            known: if known.given() { Some(List::read(&known, &told.zones)?) } else { None },
            told,
            operator: operator.map(Operator::read).transpose()?.unwrap_or_default(),
        };
        match (config.sockets, config.memory >> 20) {
            (0..64, _) => Err(sockets.bad("must be at least 64")),
            (_, 0..16) => Err(memory.bad("must be at least 16")),
            _ => Ok(config),
        }
    }

    /// Reads what the environment names.
    ///
    /// # Errors
    /// One line that names what is at fault.
    pub fn from_environment() -> Result<Self, String> {
        let mut config = Self::from_files()?;
        for (name, slot) in [("RELAY_LISTEN", &mut config.listen), ("RELAY_DISCOVERY", &mut config.discovery)]
        {
            if let Ok(text) = std::env::var(name) {
                *slot = text.parse().map_err(|_| format!("{name}: is no address and port"))?;
            }
        }
        Ok(config)
    }

    /// Reads the files that the environment names, as they are now. The environment's own addresses are as
    /// old as the process: at a reload they must not stand in for what the file has come to say.
    ///
    /// # Errors
    /// One line that names what is at fault.
    pub fn from_files() -> Result<Self, String> {
        let read = |path: &str| std::fs::read_to_string(path).map_err(|e| format!("cannot read {path}: {e}"));
        let path = std::env::var("RELAY_CONFIG").map_err(|_| "RELAY_CONFIG is not set")?;
        let operator = match std::env::var("SWITCHHILL_OPERATOR") {
            Ok(path) if !path.is_empty() => Some(read(&path)?),
            _ => None,
        };
        Self::read(&read(&path)?, operator.as_deref())
    }
}

impl Operator {
    /// Reads an operator's file.
    ///
    /// # Errors
    /// One line that names the first field at fault.
    pub fn read(text: &str) -> Result<Self, String> {
        let value = document(text, "operator's file")?;
        let root = Field::root(&value, "").object()?;
        let (http2, store) = (root.at("http2"), root.at("store"));
        let mut operator = Self { http2_downstream: http2.at("downstream").flag()?, ..Self::default() };
        if http2.at("upstream_hosts").given() {
            for host in http2.at("upstream_hosts").list()? {
                operator.http2_hosts.insert(host.text()?.into());
            }
        }
        if store.given() {
            let address = store.at("address");
            let prefix = store.at("prefix").text_or_empty()?;
            operator.store = Some(Store {
                address: address.text()?.parse().map_err(|_| address.bad("is no address and port"))?,
                prefix: if prefix.is_empty() { "switchhill".into() } else { prefix.into() },
                timeout: store.at("timeout_ms").number_or(250.0)?,
            });
        }
        Ok(operator)
    }
}
