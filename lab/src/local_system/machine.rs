//! Machines of the site and their settings files.

use super::process::{Launch, Process};
use anyhow::Context;
use serde_json::{json, Value};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// Seconds that an edge has to finish its answers.
pub(super) const GRACE_S: f64 = 5.0;

/// Time in milliseconds between two heartbeats of a worker.
pub(super) const HEARTBEAT_MS: u64 = 300;

/// Pause in milliseconds between orders of two placers.
const LEASE_MS: u64 = 500;

/// Ports that all machines of a site share.
#[derive(Debug, Clone, Copy)]
pub(super) struct SitePorts {
    /// Clients at edges, workers and the operator at core machines.
    pub(super) service: u16,
    /// Readiness checks at edges.
    pub(super) readiness: u16,
    /// First port of the range that the programs use among themselves.
    pub(super) internal: u16,
}

/// One machine: what runs on it, and how it is started again.
pub(super) struct Machine {
    pub(super) name: String,
    pub(super) ip: Ipv4Addr,
    settings: Value,
    path: PathBuf,
    launches: Vec<Launch>,
    pub(super) running: Vec<Process>,
}

/// What a machine is made from.
pub(super) struct MachinePlan<'a> {
    pub(super) program: &'a Path,
    pub(super) folder: &'a Path,
    pub(super) name: String,
    pub(super) ip: Ipv4Addr,
    pub(super) ports: SitePorts,
    /// Port on 127.0.0.1 between agent and data plane.
    pub(super) feed_port: u16,
    pub(super) seeds: &'a [SocketAddr],
}

impl Machine {
    /// A core machine, with its disk.
    pub(super) fn core(plan: &MachinePlan<'_>) -> anyhow::Result<Machine> {
        let mut settings = common_settings(plan);
        let disk = plan.folder.join(format!("{}-disk", plan.name));
        std::fs::create_dir_all(&disk)?;
        settings["dataDir"] = json!(disk);
        settings["bind"] = json!({"control": SocketAddr::from((plan.ip, plan.ports.service))});
        Machine::with(plan, settings, &["control-plane"])
    }

    /// An edge machine.
    pub(super) fn edge(plan: &MachinePlan<'_>) -> anyhow::Result<Machine> {
        let mut settings = common_settings(plan);
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
    pub(super) fn start(&mut self) -> anyhow::Result<()> {
        self.running = self.launches.iter().map(Launch::start).collect::<Result<_, _>>()?;
        Ok(())
    }

    /// Ends all of it at once.
    pub(super) fn kill(&mut self) -> anyhow::Result<()> {
        self.running.drain(..).try_for_each(Process::kill)
    }

    /// Removes all that its disk holds.
    pub(super) fn wipe_disk(&self) -> anyhow::Result<()> {
        let disk = self.settings["dataDir"].as_str().context("the machine has no disk")?;
        std::fs::remove_dir_all(disk)?;
        std::fs::create_dir_all(disk)?;
        Ok(())
    }

    /// How often a text stands in the logs of the machine's programs.
    pub(super) fn logged(&self, text: &str) -> usize {
        let logs = self.launches.iter().filter_map(|launch| std::fs::read_to_string(&launch.log).ok());
        logs.map(|log| log.matches(text).count()).sum()
    }

    /// From now on the machine starts as part of a system that has run before.
    pub(super) fn has_started_once(&mut self) -> anyhow::Result<()> {
        self.settings["bootstrap"] = json!(false);
        std::fs::write(&self.path, self.settings.to_string())?;
        Ok(())
    }
}

fn common_settings(plan: &MachinePlan<'_>) -> Value {
    json!({
        "nodeName": plan.name,
        "ip": plan.ip,
        "zone": "here",
        "zones": {"here": "nearby"},
        "portRange": [plan.ports.internal, plan.feed_port],
        "seeds": plan.seeds,
        "bootstrap": true,
        "limits": {"maxFds": 1024},
        "heartbeatMs": HEARTBEAT_MS,
        "faultTolerance": {"machines": 1},
        "bounds": {"graceS": GRACE_S, "leaseMs": LEASE_MS},
    })
}
