//! The settings file of a process of the system, which the variable `SWITCHHILL_CONFIG` names.
//!
//! Unknown fields are skipped; a bad one is named with file, line and field. A file that is read again must give all that the
//! one in force gives.

mod decisions;
mod origin;

pub use decisions::DecisionSettings;
use origin::Origin;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "SWITCHHILL_CONFIG";

/// Longest time between SIGTERM and SIGKILL that is taken for meant, in seconds.
const LONGEST_GRACE_S: f64 = 86_400.0;

/// What went wrong when the settings were read.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The variable that names the file is not set.
    #[error("{SETTINGS_VARIABLE} is not set: it names the settings file")]
    NoVariable,
    /// The file could not be read.
    #[error("{path}: {source}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file was read and a field of it is wrong.
    #[error("{path}: {fault}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// Line, field and what is wrong with it.
        fault: String,
    },
    /// The file was read again and lacks a field that the file in force gives.
    #[error("{path}: `{field}` is missing, which the settings in force give: the file may be cut off")]
    FieldMissing {
        /// The file.
        path: PathBuf,
        /// Path of the first field that is missing, by name.
        field: String,
    },
    /// The file was read again and its last line has no end, unlike that of the file in force.
    #[error(
        "{path}: the last line has no end, unlike that of the settings in force: the file may be cut off"
    )]
    LastLineOpen {
        /// The file.
        path: PathBuf,
    },
}

/// Addresses that a role listens on.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Bind {
    /// Requests of clients.
    pub http: Option<SocketAddr>,
    /// The platform's readiness checks.
    pub readiness: Option<SocketAddr>,
    /// Calls of workers and of the operator.
    pub control: Option<SocketAddr>,
}

/// What the process may use.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct ProcessLimits {
    /// Resident memory in megabytes.
    pub memory_mb: u64,
    /// Descriptors, 200 of which are kept for other files.
    pub max_fds: u64,
    /// Disk space in megabytes.
    pub disk_mb: u64,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        ProcessLimits { memory_mb: 256, max_fds: 1024, disk_mb: 0 }
    }
}

/// How many may be lost at once while all rules hold.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct FaultTolerance {
    /// Machines that count for the quorum.
    pub machines: usize,
    /// Zones.
    pub zones: usize,
    /// Regions.
    pub regions: usize,
}

impl FaultTolerance {
    /// Failure domains (see [`SiteSettings::failure_domain`]) that may be lost at once.
    pub fn domains(&self) -> usize {
        if self.regions > 0 {
            self.regions
        } else {
            self.zones
        }
    }
}

/// Figures of the rules.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, rename_all = "camelCase")]
pub struct Bounds {
    /// Undisturbed time in milliseconds after which a machine is in touch.
    pub liveness_ms: u64,
    /// Time in milliseconds in which a draining worker stops receiving requests.
    pub drain_ms: u64,
    /// Seconds between SIGTERM and SIGKILL.
    pub grace_s: f64,
    /// Time in milliseconds in which a configuration is in force.
    pub config_ms: u64,
    /// Repeated requests allowed as a share of all requests.
    pub retry_budget_ratio: f64,
    /// Window in seconds of the retry budget.
    pub budget_window_s: f64,
    /// Repeated requests allowed beyond the ratio, over all gatekeepers.
    pub retry_budget_slack: f64,
    /// Whether workers check fencing tokens.
    pub fencing: bool,
    /// Time in milliseconds that must lie between orders of two holders.
    pub lease_ms: u64,
    /// Window in seconds of the ceiling of loads.
    pub ceiling_window_s: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds {
            liveness_ms: 3000,
            drain_ms: 2000,
            grace_s: 8.0,
            config_ms: 2000,
            retry_budget_ratio: 0.2,
            budget_window_s: 10.0,
            retry_budget_slack: 50.0,
            fencing: true,
            lease_ms: 3000,
            ceiling_window_s: 5.0,
        }
    }
}

/// Settings of one process.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct SiteSettings {
    /// Name of the machine.
    pub node_name: String,
    /// Address of the machine.
    pub ip: Ipv4Addr,
    /// Zone of the machine.
    pub zone: String,
    /// Region of each zone.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Addresses to listen on.
    #[serde(default)]
    pub bind: Bind,
    /// First and last port that the programs may use among themselves.
    pub port_range: (u16, u16),
    /// `control` addresses of up to three machines.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks.
    #[serde(default)]
    pub bootstrap: bool,
    /// What the process may use.
    #[serde(default)]
    pub limits: ProcessLimits,
    /// Folder of the process's own files, where it has a disk.
    #[serde(default)]
    pub data_dir: Option<PathBuf>,
    /// Time in milliseconds between two heartbeats of a worker.
    #[serde(default = "default_heartbeat_ms")]
    pub heartbeat_ms: u64,
    /// How many may be lost at once.
    #[serde(default)]
    pub fault_tolerance: FaultTolerance,
    /// Figures of the rules.
    #[serde(default)]
    pub bounds: Bounds,
    /// How the process decides; from the command line, not from this file.
    #[serde(skip)]
    pub decisions: DecisionSettings,
    /// The file they were read from, where there is one.
    #[serde(skip)]
    origin: Option<Origin>,
}

fn default_heartbeat_ms() -> u64 {
    1200
}

impl SiteSettings {
    /// Reads the file that the environment names.
    pub fn from_environment() -> Result<SiteSettings, SettingsError> {
        SiteSettings::read(&SiteSettings::path_from_environment()?)
    }

    /// Path of the file that the environment names.
    pub fn path_from_environment() -> Result<PathBuf, SettingsError> {
        Ok(std::env::var_os(SETTINGS_VARIABLE).ok_or(SettingsError::NoVariable)?.into())
    }

    /// Reads a file.
    pub fn read(path: &Path) -> Result<SiteSettings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        let invalid = |fault: String| SettingsError::Invalid { path: path.to_owned(), fault };
        let mut settings: SiteSettings =
            serde_saphyr::from_str(&text).map_err(|error| invalid(error.without_snippet().to_string()))?;
        settings.check().map_err(invalid)?;
        settings.origin = Some(Origin::of(path, &text));
        Ok(settings)
    }

    /// Reads the file again that these settings came from, or the one that the environment names where they came from none.
    ///
    /// # Errors
    /// The file can't be read, is wrong, or lacks what the file of these settings gives, as one does that its writer has
    /// not finished.
    pub fn reread(&self) -> Result<SiteSettings, SettingsError> {
        let Some(in_force) = &self.origin else { return SiteSettings::from_environment() };
        let mut settings = SiteSettings::read(in_force.path())?;
        settings.decisions = self.decisions.clone();
        if let Some(origin) = &settings.origin {
            origin.check_as_whole_as(in_force)?;
        }
        Ok(settings)
    }

    /// The file that the settings were read from, where there is one.
    pub fn path(&self) -> Option<&Path> {
        self.origin.as_ref().map(Origin::path)
    }

    fn check(&self) -> Result<(), String> {
        if self.port_range.1 < self.port_range.0 {
            return Err(format!("portRange: the last port {} is below the first", self.port_range.1));
        }
        if self.port_range.1 - self.port_range.0 < 1 {
            return Err("portRange: two ports are needed".into());
        }
        self.check_grace()
    }

    /// Whether [`SiteSettings::grace`] is a time that moments can be computed with.
    fn check_grace(&self) -> Result<(), String> {
        match (0.0..=LONGEST_GRACE_S).contains(&self.bounds.grace_s) {
            true => Ok(()),
            false => {
                Err(format!("bounds.graceS: {} is not from 0 to {LONGEST_GRACE_S}", self.bounds.grace_s))
            }
        }
    }

    /// Port on which core nodes speak to each other and to agents.
    pub fn internal_port(&self) -> u16 {
        self.port_range.0
    }

    /// Address on which the agent feeds the data plane. It is the machine's own: machines that share a host, each with an address
    /// of its own, share 127.0.0.1 too.
    pub fn feed_address(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.port_range.1))
    }

    /// What goes with the machine where a zone is lost: its zone, or its region where the loss of regions is to be borne.
    pub fn failure_domain(&self) -> &str {
        match self.fault_tolerance.regions {
            0 => &self.zone,
            _ => self.zones.get(&self.zone).unwrap_or(&self.zone),
        }
    }

    /// The time a process has to finish its answers after SIGTERM.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s)
    }
}
