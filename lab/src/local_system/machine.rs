//! Machines of the site and their settings files.

use super::process::{Launch, Process};
use anyhow::Context;
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// Seconds that an edge has to finish its answers.
pub(crate) const GRACE_S: f64 = 5.0;

/// Time in milliseconds between two heartbeats of a worker.
pub(crate) const HEARTBEAT_MS: u64 = 300;

/// Pause in milliseconds between orders of two placers.
const LEASE_MS: u64 = 500;

/// Memory that a process may use, in megabytes, as its settings state it.
pub(super) const MEMORY_MB: u64 = 256;

/// Descriptors of a process.
const MAX_FDS: u64 = 1024;

/// What a process may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Resident memory in megabytes.
    pub memory_mb: u64,
    /// Descriptors.
    pub max_fds: u64,
}

impl ProcessLimits {
    /// Limits of a core machine of a small deployment.
    pub const SMALL_CORE: ProcessLimits = ProcessLimits { memory_mb: 256, max_fds: 4096 };
    /// Limits of an edge machine of a small deployment.
    pub const SMALL_EDGE: ProcessLimits = ProcessLimits { memory_mb: 260, max_fds: 4200 };
    /// Limits of the machines of the stories.
    const USUAL: ProcessLimits = ProcessLimits { memory_mb: MEMORY_MB, max_fds: MAX_FDS };
}

/// Limits of the machines of a site.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SiteLimits {
    pub(crate) core: ProcessLimits,
    pub(crate) edge: ProcessLimits,
}

impl SiteLimits {
    /// Limits of the stories.
    pub(crate) const USUAL: SiteLimits =
        SiteLimits { core: ProcessLimits::USUAL, edge: ProcessLimits::USUAL };
    /// Limits of a small deployment.
    pub(crate) const SMALL_DEPLOYMENT: SiteLimits =
        SiteLimits { core: ProcessLimits::SMALL_CORE, edge: ProcessLimits::SMALL_EDGE };
}

/// `retryBudgetSlack` of the first change of settings.
const RETRY_BUDGET_SLACK: u32 = 40;

/// Changed settings after which those of the first change come again.
const SETTINGS_CHANGES: u32 = 5;

/// What `leaseMs` rises by from one change to the next.
const LEASE_STEP_MS: u64 = 50;

/// Ports that all machines of a site share.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SitePorts {
    /// Clients at edges, workers and the operator at core machines.
    pub(crate) service: u16,
    /// Readiness checks at edges.
    pub(crate) readiness: u16,
    /// First port of the range that the programs use among themselves.
    pub(crate) internal: u16,
    /// Last port of that range, between agent and data plane.
    pub(crate) feed: u16,
}

/// One machine: what runs on it, and how it is started again.
pub(crate) struct Machine {
    pub(crate) name: String,
    pub(crate) ip: Ipv4Addr,
    settings: Value,
    path: PathBuf,
    pub(crate) launches: Vec<Launch>,
    pub(crate) running: Vec<Process>,
}

/// What a machine is made from.
pub(crate) struct MachinePlan<'a> {
    pub(crate) program: &'a Path,
    pub(crate) folder: &'a Path,
    pub(crate) name: String,
    pub(crate) ip: Ipv4Addr,
    pub(crate) ports: SitePorts,
    pub(crate) seeds: &'a [SocketAddr],
    pub(crate) limits: SiteLimits,
}

impl Machine {
    /// A core machine, with its disk.
    pub(crate) fn core(plan: &MachinePlan<'_>) -> anyhow::Result<Machine> {
        let mut settings = common_settings(plan, plan.limits.core);
        let disk = plan.folder.join(format!("{}-disk", plan.name));
        std::fs::create_dir_all(&disk)?;
        settings["dataDir"] = json!(disk);
        settings["bind"] = json!({"control": SocketAddr::from((plan.ip, plan.ports.service))});
        Machine::with(plan, settings, &["control-plane"])
    }

    /// An edge machine.
    pub(crate) fn edge(plan: &MachinePlan<'_>) -> anyhow::Result<Machine> {
        let mut settings = common_settings(plan, plan.limits.edge);
        settings["bind"] = json!({
            "http": SocketAddr::from((plan.ip, plan.ports.service)),
            "readiness": SocketAddr::from((plan.ip, plan.ports.readiness)),
        });
        Machine::with(plan, settings, &["agent", "data-plane"])
    }

    fn with(plan: &MachinePlan<'_>, settings: Value, commands: &[&'static str]) -> anyhow::Result<Machine> {
        // YAML takes JSON as it is.
        let path = plan.folder.join(format!("{}.yaml", plan.name));
        std::fs::write(&path, settings.to_string())?;
        let launch = |command: &&'static str| Launch {
            program: plan.program.to_owned(),
            command,
            settings: path.clone(),
            log: plan.folder.join(format!("{}-{command}.log", plan.name)),
        };
        let launches = commands.iter().map(launch).collect();
        Ok(Machine { name: plan.name.clone(), ip: plan.ip, settings, path, launches, running: Vec::new() })
    }

    /// Starts what runs on the machine.
    pub(crate) fn start(&mut self) -> anyhow::Result<()> {
        self.running = self.launches.iter().map(Launch::start).collect::<Result<_, _>>()?;
        Ok(())
    }

    /// Ends all of it at once.
    pub(crate) fn kill(&mut self) -> anyhow::Result<()> {
        self.running.drain(..).try_for_each(Process::kill)
    }

    /// Removes all that its disk holds.
    pub(crate) fn wipe_disk(&self) -> anyhow::Result<()> {
        let disk = self.settings["dataDir"].as_str().context("the machine has no disk")?;
        std::fs::remove_dir_all(disk)?;
        std::fs::create_dir_all(disk)?;
        Ok(())
    }

    /// How often a text stands in the logs of the machine's programs.
    pub(crate) fn logged(&self, text: &str) -> usize {
        let logs = self.launches.iter().filter_map(|launch| std::fs::read_to_string(&launch.log).ok());
        logs.map(|log| log.matches(text).count()).sum()
    }

    /// Writes the settings file with other figures, by a number that rises from change to change.
    pub(crate) fn change_settings(&mut self, change: u32) -> anyhow::Result<()> {
        let change = change % SETTINGS_CHANGES;
        self.settings["bounds"]["leaseMs"] = json!(LEASE_MS + LEASE_STEP_MS * u64::from(change));
        self.settings["bounds"]["retryBudgetSlack"] = json!(RETRY_BUDGET_SLACK + change);
        self.settings["limits"]["maxFds"] = json!(MAX_FDS + u64::from(change));
        self.save_settings()
    }

    /// Puts the settings file in place whole: a process that starts meanwhile reads the former or the new one.
    fn save_settings(&self) -> anyhow::Result<()> {
        let whole = self.path.with_extension("new");
        std::fs::write(&whole, self.settings.to_string())?;
        std::fs::rename(whole, &self.path)?;
        Ok(())
    }

    /// A machine of the core that takes this one's place: at another address, with an empty disk.
    pub(crate) fn successor(&self, name: String, ip: Ipv4Addr) -> anyhow::Result<Machine> {
        let folder = self.path.parent().context("the settings file lies in no folder")?;
        let [launch] = self.launches.as_slice() else { anyhow::bail!("{} is no core machine", self.name) };
        let disk = folder.join(format!("{name}-disk"));
        std::fs::create_dir_all(&disk)?;
        let path = folder.join(format!("{name}.yaml"));
        let log = folder.join(format!("{name}-{}.log", launch.command));
        let launches = vec![Launch { settings: path.clone(), log, ..launch.clone() }];
        let mut settings = self.settings.clone();
        settings["nodeName"] = json!(name);
        settings["ip"] = json!(ip);
        settings["dataDir"] = json!(disk);
        settings["bind"]["control"] = json!(SocketAddr::from((ip, self.control_address()?.port())));
        settings["bootstrap"] = json!(false);
        let machine = Machine { name, ip, settings, path, launches, running: Vec::new() };
        machine.save_settings()?;
        Ok(machine)
    }

    /// Where a core machine is called by workers and the operator.
    pub(crate) fn control_address(&self) -> anyhow::Result<SocketAddr> {
        let address = self.settings["bind"]["control"].as_str().context("the machine serves no control")?;
        Ok(address.parse()?)
    }

    /// Where other machines reach a core machine.
    pub(crate) fn internal_address(&self) -> anyhow::Result<SocketAddr> {
        let port = self.settings["portRange"][0].as_u64().context("the machine has no ports")?;
        Ok(SocketAddr::from((self.ip, u16::try_from(port)?)))
    }

    /// Names other seeds in the settings file.
    pub(crate) fn name_seeds(&mut self, seeds: &[SocketAddr]) -> anyhow::Result<()> {
        self.settings["seeds"] = json!(seeds);
        self.save_settings()
    }

    /// From now on the machine starts as part of a system that has run before.
    pub(crate) fn has_started_once(&mut self) -> anyhow::Result<()> {
        self.settings["bootstrap"] = json!(false);
        self.save_settings()
    }
}

fn common_settings(plan: &MachinePlan<'_>, limits: ProcessLimits) -> Value {
    json!({
        "nodeName": plan.name,
        "ip": plan.ip,
        "zone": "here",
        "zones": {"here": "nearby"},
        "portRange": [plan.ports.internal, plan.ports.feed],
        "seeds": plan.seeds,
        "bootstrap": true,
        "limits": {"maxFds": limits.max_fds, "memoryMb": limits.memory_mb},
        "heartbeatMs": HEARTBEAT_MS,
        "faultTolerance": {"machines": 1},
        "bounds": {"graceS": GRACE_S, "leaseMs": LEASE_MS},
    })
}
