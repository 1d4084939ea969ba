//! Settings of everything that decides: admission, routing, holding and placement.
//!
//! The defaults are what runs in production. The laboratory changes single fields to measure what a mechanism is worth;
//! a file names just those that differ.

use super::SettingsError;
use serde::Deserialize;
use std::path::Path;
use switchhill_admission as admission;
use switchhill_placement::PlannerSettings;
use switchhill_routing::RouterSettings;

/// How a process decides.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DecisionSettings {
    /// Admission ahead of routing.
    pub admission: admission::Settings,
    /// Choice of a worker.
    pub router: RouterSettings,
    /// Which worker holds which model.
    pub planner: PlannerSettings,
    /// What becomes of requests that no worker can take now.
    pub holding: HoldingSettings,
}

/// Holding of requests whose model, adapter or service has no worker yet.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HoldingSettings {
    /// Whether requests wait for a model or an adapter.
    pub for_model: bool,
    /// Whether the streams of a silent worker are asked for elsewhere as well.
    pub beside_silent_worker: bool,
}

impl Default for HoldingSettings {
    fn default() -> Self {
        HoldingSettings { for_model: true, beside_silent_worker: true }
    }
}

impl DecisionSettings {
    /// Reads a file.
    ///
    /// # Errors
    /// The file can't be read, or a field of it is unknown or wrong; the error names file, line and field.
    pub fn read(path: &Path) -> Result<DecisionSettings, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| SettingsError::Unreadable { path: path.to_owned(), source })?;
        let invalid = |error: serde_saphyr::Error| SettingsError::Invalid {
            path: path.to_owned(),
            fault: error.to_string(),
        };
        serde_saphyr::from_str(&text).map_err(invalid)
    }
}
