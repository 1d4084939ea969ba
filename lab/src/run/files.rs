//! The files of a run's gateways: configuration, operator's file, keys and log.

use crate::boxes::Discovery;
use crate::load::GIVE_UP_MS;
use crate::rig::faults::Rig;
use crate::scenario::Scenario;
use crate::stand_in::SETTINGS_VARIABLES;
use serde_json::{json, Value};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Keys of the scenarios' key files: nothing secret lies behind them.
pub(super) const KEYS: [&str; 2] = [
    "6c61622d6b65792d6f6e652d6c61622d6b65792d6f6e652d6c61622d6b657931",
    "6c61622d6b65792d74776f2d6c61622d6b65792d74776f2d6c61622d6b657932",
];

/// A gateway's program and files.
#[derive(Debug, Clone)]
pub(super) struct GatewayFiles {
    pub(super) program: PathBuf,
    pub(super) config: PathBuf,
    pub(super) operator: Option<PathBuf>,
    pub(super) log: PathBuf,
}

impl GatewayFiles {
    /// The command that starts the program with these files.
    pub(super) fn command(&self) -> Command {
        let mut command = Command::new(&self.program);
        command.current_dir(self.folder());
        for name in SETTINGS_VARIABLES {
            command.env_remove(name);
        }
        // Danger: with one place for all, a gateway started again would be taken for an upgrade of another one.
        command.env("RELAY_CONFIG", &self.config).env("TMPDIR", self.config.with_extension("tmp"));
        if let Some(operator) = &self.operator {
            command.env("SWITCHHILL_OPERATOR", operator);
        }
        command
    }

    /// Replaces the configuration's text in one step.
    pub(super) fn write(&self, text: &str) -> Result<(), String> {
        let next = self.config.with_extension("next");
        let written = std::fs::write(&next, text).and_then(|()| std::fs::rename(next, &self.config));
        written.map_err(|e| format!("{}: {e}", self.config.display()))
    }

    /// Changes the configuration, which is read at the next start or SIGHUP.
    pub(super) fn change(&self, change: impl FnOnce(&mut Value)) -> Result<(), String> {
        let text = std::fs::read_to_string(self.whole()).map_err(|e| e.to_string())?;
        let mut config: Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        change(&mut config);
        std::fs::write(self.whole(), config.to_string()).map_err(|e| e.to_string())?;
        self.write(&config.to_string())
    }

    /// The last whole text, beside the one in place, which may be cut off.
    pub(super) fn whole(&self) -> PathBuf {
        self.config.with_extension("whole")
    }

    /// Where all files of the run lie.
    pub(super) fn folder(&self) -> &Path {
        self.config.parent().unwrap_or(Path::new("."))
    }

    /// Writes the whole configuration for the first start.
    pub(super) fn create(&self, config: &str, operator: Option<&str>) -> Result<(), String> {
        std::fs::create_dir_all(self.config.with_extension("tmp")).map_err(|e| e.to_string())?;
        std::fs::write(self.whole(), config).map_err(|e| e.to_string())?;
        self.write(config)?;
        if let (Some(path), Some(operator)) = (&self.operator, operator) {
            std::fs::write(path, operator).map_err(|e| e.to_string())?;
        }
        Ok(())
    }

    /// Cuts the configuration in place off in the middle; the whole text stays beside it.
    pub(super) fn truncate(&self) -> Result<(), String> {
        let text = std::fs::read_to_string(self.whole()).map_err(|e| e.to_string())?;
        self.write(&text[..text.len() / 2])
    }
}

/// The platform's configuration of one gateway.
pub(super) fn configuration(
    scenario: &Scenario,
    number: usize,
    discovery: &Discovery,
    seed: u64,
    rig: Option<&Rig>,
) -> Result<String, String> {
    let mut config: Value = serde_json::from_str(crate::stand_in::CONFIG).map_err(|e| e.to_string())?;
    config["name"] = json!(format!("n{number}"));
    config["listen"] = json!("127.0.0.1:0");
    config["discovery"] = json!(rig.map_or(discovery.address, |rig| rig.discovery(number)).to_string());
    if rig.is_some() {
        config["control"] = json!("127.0.0.1:0");
    }
    config["seed"] = json!(format!("{:016x}", seed.wrapping_add(number as u64)));
    config["limits"] = json!({"cores": 1.0, "memory_mb": scenario.memory_mb, "sockets": scenario.sockets});
    config["known"] = serde_json::from_str(&discovery.list(0)).map_err(|e| e.to_string())?;
    config["settings"]["balancers"] = json!(scenario.gateways);
    config["settings"]["ordinal"] = json!(number);
    config["settings"]["az"] = json!(0);
    config["settings"]["callers"]["marksRetry"] = json!(false);
    config["settings"]["requestClasses"][0]["giveUpMs"] = json!(GIVE_UP_MS[0]);
    config["settings"]["requestClasses"][1]["giveUpMs"] = json!(GIVE_UP_MS[1]);
    Ok(config.to_string())
}

/// Puts a key file in place in one step: the first key signs, all are good.
pub(super) fn write_keys(folder: &Path, keys: &[&str]) -> Result<(), String> {
    use std::os::unix::fs::OpenOptionsExt;
    let (path, next) = (folder.join("appointments.key"), folder.join("appointments.next"));
    let file = std::fs::OpenOptions::new().create(true).truncate(true).write(true).mode(0o600).open(&next);
    file.and_then(|mut file| file.write_all(keys.join("\n").as_bytes()))
        .and_then(|()| std::fs::rename(next, path))
        .map_err(|e| e.to_string())
}
