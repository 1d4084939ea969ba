//! What the program is told at its start: the platform's configuration and the operator's file.

use super::document::{Fault, Faults, Node, Reader};
use super::logs::{self, Form, Wanted};
use crate::interface::{Backend, BackendState, Millis};
use crate::settings::{missing_key, Field, Told};
use miniserde::json::Value;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use switchhill_door::TicketKeys;

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
                "terminated" => BackendState::Removed,
                _ => return Err(phase.bad("unknown")),
            },
            rating: from.at("size").number_or(1.0)?,
            started_at: from.at("up_since_ms").number_or(0.0)?,
        },
        address: host_port.text()?.parse().map_err(|_| host_port.bad("is no address and port"))?,
        http2: from.at("protocol").text_or_empty()? == "h2c",
    })
}

/// The shared store that stands in for the meter.
#[derive(Debug, Clone, PartialEq)]
pub struct Store {
    /// Where it may be found, one after the other.
    pub addresses: Vec<SocketAddr>,
    /// Begins every key.
    pub prefix: String,
    /// An answer that takes longer counts as none.
    pub timeout: Millis,
    /// Its user there.
    pub user: String,
    /// Where the user's secret lies.
    pub secret_file: Option<PathBuf>,
    /// The user's name and secret, where there is one.
    pub auth: Option<(String, String)>,
    /// RESP3 is asked for.
    pub resp3: bool,
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
    /// The log.
    pub log: Wanted,
    /// Fair queues before the decisions.
    pub door: Option<Door>,
    /// Versions agreed with the other gateways through a store; off where absent.
    pub agreement: Option<Agreement>,
    /// What helps to come back after a restart; off where absent.
    pub recovery: Option<Recovery>,
}

/// What an operator says of coming back.
#[derive(Debug, Clone, PartialEq)]
pub struct Recovery {
    /// Where this gateway's state is written, for its next start.
    pub snapshot: Option<PathBuf>,
}

/// What an operator says of agreement: where its register is, and who this gateway is there.
#[derive(Debug, Clone, PartialEq)]
pub struct Agreement {
    /// The store that holds the register.
    pub store: SocketAddr,
    /// Begins every key: fleets that share a store have one each.
    pub prefix: String,
    /// This gateway's member id: letters, digits, `-` and `_`, 1 to 64 of them.
    pub id: String,
}

/// What an operator says of the door.
#[derive(Debug, Clone, PartialEq)]
pub struct Door {
    /// No stream is held longer.
    pub longest_wait: Millis,
    /// What one subscriber may have waiting.
    pub per_subscriber: f64,
    /// Weights by plan with their lines; a plan without one has its quota's rate.
    pub weights: Vec<(String, f64, usize)>,
    /// Streams handed on at once: at the start, at the least, at the most.
    pub limit: (f64, f64, f64),
    /// Share of what can pass that appointments may take.
    pub book_share: f64,
    /// The longest that a client is told to stay away.
    pub longest_hold_off: Millis,
    /// How late an appointment may be kept.
    pub grace: Millis,
    /// Where the keys for tickets lie.
    pub key_file: Option<PathBuf>,
    /// The keys.
    pub keys: TicketKeys,
}

/// The files that the program is told by; both are read again at SIGHUP.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Files {
    /// The platform's configuration.
    pub config: PathBuf,
    /// The operator's file.
    pub operator: Option<PathBuf>,
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
    /// Where operators call, if anywhere.
    pub control: Option<SocketAddr>,
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
    /// Where both were read from; empty paths where they were not read from files.
    pub files: Files,
    /// The platform's configuration as it was written.
    pub text: String,
}

fn document(text: &str, name: &str) -> Result<Value, String> {
    miniserde::json::from_str(text).map_err(|_| format!("{name}: not JSON"))
}

impl Config {
    /// Reads the platform's configuration; nothing of an operator's is in it.
    ///
    /// # Errors
    /// One line that names the first field at fault.
    pub fn read(text: &str) -> Result<Self, String> {
        let value = document(text, "configuration")?;
        let root = Field::root(&value, "").object()?;
        let address = |name: &str| -> Result<SocketAddr, String> {
            let field = root.at(name);
            field.text()?.parse().map_err(|_| field.bad("is no address and port"))
        };
        let settings = root.at("settings").object()?;
        let told = Told::read(&settings)?;
        Told::serviceable(&settings)?;
        let seed = root.at("seed");
        let seed = u64::from_str_radix(seed.text()?, 16).map_err(|_| seed.bad("is not 16 hex digits"))?;
        let known = root.at("known");
        let control = root.at("control").given().then(|| address("control")).transpose()?;
        let sockets = root.at("limits").at("sockets");
        let memory = root.at("limits").at("memory_mb");
        let config = Self {
            name: root.at("name").text_or_empty()?.into(),
            listen: address("listen")?,
            discovery: address("discovery")?,
            control,
            seed,
            sockets: if sockets.given() { sockets.count()? as usize } else { 1024 },
            memory: memory.number_or(192.0)?.max(0.0) as usize * 1024 * 1024,
            known: if known.given() { Some(List::read(&known, &told.zones)?) } else { None },
            told,
            operator: Operator::default(),
            files: Files::default(),
            text: text.into(),
        };
        match (config.sockets, config.memory >> 20) {
            (0..64, _) => Err(sockets.bad("must be at least 64")),
            (_, 0..16) => Err(memory.bad("must be at least 16")),
            _ => Ok(config),
        }
    }

    /// Reads the files, then the addresses that the environment gives in place of the configuration's.
    ///
    /// # Errors
    /// One line that names what is at fault.
    pub fn from_environment(files: &Files) -> Result<Self, String> {
        let mut config = Self::from_files(files)?;
        for (name, slot) in [("RELAY_LISTEN", &mut config.listen), ("RELAY_DISCOVERY", &mut config.discovery)]
        {
            if let Ok(text) = std::env::var(name) {
                *slot = text.parse().map_err(|_| format!("{name}: is no address and port"))?;
            }
        }
        if let Some(text) = std::env::var("RELAY_CONTROL").ok().filter(|text| !text.is_empty()) {
            config.control = Some(text.parse().map_err(|_| "RELAY_CONTROL: is no address and port")?);
        }
        Ok(config)
    }

    /// Reads the files as they are now. The environment's own addresses are as old as the process: at a
    /// reload they must not stand in for what the file has come to say.
    ///
    /// # Errors
    /// One line that names what is at fault.
    pub fn from_files(files: &Files) -> Result<Self, String> {
        Self::with_text(files, text_of(&files.config)?, &files.config.display().to_string())
    }

    /// As [`Config::from_files`], with the platform's configuration given as `text` rather than read from its file;
    /// `source` names it in errors.
    ///
    /// # Errors
    /// One line that names what is at fault.
    pub fn with_text(files: &Files, text: String, source: &str) -> Result<Self, String> {
        let operator = match &files.operator {
            Some(path) => Operator::read(&text_of(path)?).map_err(|faults| in_one_line(&faults, path))?,
            None => Operator::default(),
        };
        let config = Self::read(&text).map_err(|why| format!("{source}: {why}"))?;
        let mut config = Self { operator, files: files.clone(), ..config };
        if let Some(door) = &mut config.operator.door {
            if let Some(path) = &door.key_file {
                door.keys = read_keys(path)?;
            }
        }
        if let Some(store) = &mut config.operator.store {
            if let Some(path) = &store.secret_file {
                store.auth = Some((store.user.clone(), read_secret(path)?));
            }
        }
        // Without an operator's file there is nothing that could not fit.
        if let Some(path) = &files.operator {
            config.fits().map_err(|faults| in_one_line(&faults, path))?;
        }
        Ok(config)
    }

    /// Whether this one may take the place of a running one, whose text that is.
    ///
    /// # Errors
    /// One line that names a key that has got lost.
    pub fn may_follow(&self, text: &str) -> Result<(), String> {
        let (before, after) = (document(text, "the one in force")?, document(&self.text, "configuration")?);
        // The list comes from discovery; what the file says of it is for a start.
        match missing_key(&before, &after, &["known"]) {
            Some(path) => Err(format!("field `{path}`: missing, and the configuration in force has it")),
            None => Ok(()),
        }
    }

    /// Whether the operator's file fits the platform's configuration.
    fn fits(&self) -> Result<(), Faults> {
        let weights = self.operator.door.iter().flat_map(|door| &door.weights);
        let unknown = weights.filter(|(plan, ..)| !self.told.plans.contains(plan));
        let fault = |(plan, _, line): &(String, f64, usize)| {
            let problem = format!("no such plan; the settings know: {}", self.told.plans.join(", "));
            Fault { line: *line, field: format!("door.weights.{plan}"), problem }
        };
        let faults: Vec<Fault> = unknown.map(fault).collect();
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(faults))
        }
    }
}

impl Files {
    /// The files that the command line or, where it is silent, the environment names.
    ///
    /// # Errors
    /// When nothing names the configuration.
    pub fn named(config: Option<PathBuf>, operator: Option<PathBuf>) -> Result<Self, String> {
        let variable = |name| std::env::var_os(name).filter(|path| !path.is_empty()).map(PathBuf::from);
        let config = config.or_else(|| variable("RELAY_CONFIG"));
        let operator = operator.or_else(|| variable("SWITCHHILL_OPERATOR"));
        Ok(Self {
            config: config.ok_or("neither --config nor RELAY_CONFIG names a configuration")?,
            operator,
        })
    }
}

/// Reads a file that only its owner may read.
fn private_text(path: &Path) -> Result<String, String> {
    use std::os::unix::fs::PermissionsExt;
    let place = path.display();
    let mode = std::fs::metadata(path).map_err(|e| format!("cannot read {place}: {e}"))?.permissions().mode();
    // Danger: who reads the key can write tickets, who reads the secret can write the store.
    if mode & 0o077 != 0 {
        return Err(format!("{place}: others may read it; chmod 600"));
    }
    text_of(path)
}

fn read_keys(path: &Path) -> Result<TicketKeys, String> {
    TicketKeys::parse(&private_text(path)?).map_err(|(line, why)| format!("{}:{line}: {why}", path.display()))
}

/// The first line of a secret's file.
fn read_secret(path: &Path) -> Result<String, String> {
    let text = private_text(path)?;
    let secret = text.lines().next().unwrap_or("").to_owned();
    if secret.is_empty() {
        return Err(format!("{}:1: empty: the first line is the secret", path.display()));
    }
    Ok(secret)
}

/// All that is wrong in a file, as the log and the start's message take it.
fn in_one_line(faults: &Faults, file: &Path) -> String {
    faults.in_file(file).collect::<Vec<_>>().join("; ")
}

fn text_of(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("cannot read {}: {e}", path.display()))
}

/// Reads a configuration or an operator's file and tells everything wrong with it. The platform's
/// configuration is told by the fields only it has.
///
/// # Errors
/// When the file cannot be read, or the faults in it.
pub fn check(path: &Path) -> Result<(), Faults> {
    let whole = |problem| Faults(vec![Fault { line: 0, field: String::new(), problem }]);
    let text = text_of(path).map_err(whole)?;
    let node = Node::parse(&text)?;
    if !(node.has("settings") || node.has("listen")) {
        return Operator::read(&text).map(drop);
    }
    // The platform writes its own file: the first fault in it is enough, with its line.
    Config::read(&text).map(drop).map_err(|why| {
        let (field, problem) = match why.strip_prefix("field `").and_then(|rest| rest.split_once("`: ")) {
            Some((field, problem)) => (field, problem),
            None => ("", why.as_str()),
        };
        let (field, problem) = (field.to_string(), problem.to_string());
        Faults(vec![Fault { line: node.line_of(&field), field, problem }])
    })
}

impl Operator {
    /// Reads an operator's file, in YAML or JSON.
    ///
    /// # Errors
    /// Every fault in it.
    pub fn read(text: &str) -> Result<Self, Faults> {
        Node::parse(text)?.read(|root| {
            root.only(&["http2", "store", "log", "door", "agreement", "recovery"]);
            let http2 = root.at("http2");
            http2.only(&["downstream", "upstream_hosts"]);
            Self {
                http2_downstream: http2.at("downstream").flag(false),
                http2_hosts: http2.at("upstream_hosts").list().iter().map(|host| host.text("")).collect(),
                store: read_store(&root.at("store")),
                log: read_log(&root.at("log")),
                door: read_door(&root.at("door")),
                agreement: read_agreement(&root.at("agreement")),
                recovery: read_recovery(&root.at("recovery")),
            }
        })
    }
}

fn read_store(from: &Reader<'_>) -> Option<Store> {
    from.only(&["address", "prefix", "timeout_ms", "user", "secret_file", "resp3"]);
    let (user, secret) = (from.at("user"), from.at("secret_file"));
    if user.given() && !secret.given() {
        secret.fault("missing: a `user` needs the file of its secret");
    }
    let addresses = || {
        let all: Vec<SocketAddr> = from.at("address").list_or_one().iter().map(Reader::address).collect();
        if all.is_empty() {
            from.at("address").fault("empty: an address and port, or several");
        }
        all
    };
    from.given().then(|| Store {
        addresses: addresses(),
        prefix: from.at("prefix").text("switchhill"),
        timeout: from.at("timeout_ms").number(1.0..=60_000.0, 250.0),
        auth: None,
        user: user.text("default"),
        secret_file: secret.given().then(|| secret.text("").into()),
        resp3: from.at("resp3").flag(false),
    })
}

fn read_agreement(from: &Reader<'_>) -> Option<Agreement> {
    from.only(&["store", "prefix", "id"]);
    let id = from.at("id").text("");
    let fits = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    if from.given() && (id.is_empty() || id.len() > 64 || !id.chars().all(fits)) {
        from.at("id").fault(format!("`{id}` is not 1 to 64 letters, digits, `-` or `_`"));
    }
    let prefix = from.at("prefix").text(crate::net::agreement::PREFIX);
    if prefix.is_empty() || prefix.len() > 64 || !prefix.chars().all(|c| fits(c) || c == ':') {
        from.at("prefix").fault(format!("`{prefix}` is not 1 to 64 letters, digits, `-`, `_` or `:`"));
    }
    from.given().then(|| Agreement { store: from.at("store").address(), prefix, id })
}

fn read_recovery(from: &Reader<'_>) -> Option<Recovery> {
    from.only(&["snapshot"]);
    let snapshot = from.at("snapshot");
    if snapshot.given() && snapshot.text("").is_empty() {
        snapshot.fault("is empty: a path, such as /var/lib/switchhill/gw-1.state");
    }
    from.given().then(|| Recovery { snapshot: snapshot.given().then(|| snapshot.text("").into()) })
}

fn read_door(from: &Reader<'_>) -> Option<Door> {
    from.only(&["longest_wait_ms", "per_subscriber", "weights", "limit", "appointments"]);
    let (limit, appointments) = (from.at("limit"), from.at("appointments"));
    limit.only(&["start", "least", "most"]);
    appointments.only(&["book_share", "longest_hold_off_ms", "grace_ms", "key_file"]);
    let weight = |(plan, at): (String, Reader<'_>)| (plan, at.number(0.001..=1_000_000.0, 1.0), at.line());
    let streams = |name, absent| limit.at(name).count(1..=1_000_000, absent) as f64;
    let (start, least, most) = (streams("start", 32), streams("least", 4), streams("most", 4096));
    if least > most {
        limit.at("least").fault(format!("{least} is above `most`, {most}"));
    }
    let key_file = appointments.at("key_file");
    from.given().then(|| Door {
        longest_wait: from.at("longest_wait_ms").number(1.0..=8000.0, 1000.0),
        per_subscriber: from.at("per_subscriber").number(1.0..=1000.0, 8.0),
        weights: from.at("weights").members().into_iter().map(weight).collect(),
        limit: (start, least, most),
        book_share: appointments.at("book_share").number(0.05..=1.0, 0.75),
        longest_hold_off: appointments.at("longest_hold_off_ms").number(1000.0..=600_000.0, 10_000.0),
        grace: appointments.at("grace_ms").number(100.0..=60_000.0, 2000.0),
        key_file: key_file.given().then(|| key_file.text("").into()),
        keys: TicketKeys::default(),
    })
}

fn read_log(from: &Reader<'_>) -> Wanted {
    from.only(&["format", "filter"]);
    let form = match from.at("format").word(&["text", "json"]) {
        "json" => Form::Json,
        _ => Form::Text,
    };
    let filter = from.at("filter").text("info");
    if let Err(why) = logs::check_filter(&filter) {
        from.at("filter").fault(why);
    }
    Wanted { form, filter }
}
