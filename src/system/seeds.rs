//! Seeds of a running process: the settings file may change, with or without a signal.
//!
//! A process that was cut off while all core machines that it knew were replaced finds the core by the file alone.

#[cfg(test)]
mod tests;

use super::internal_addresses;
use crate::site_settings::SiteSettings;
use std::path::Path;
use std::time::{Duration, SystemTime};
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::time::{Interval, MissedTickBehavior};

/// Time between two looks at the file: a third of `livenessMs` of the deployments.
const LOOK_EVERY: Duration = Duration::from_secs(1);

/// What tells that a file has changed without reading it.
type Stamp = (SystemTime, u64);

/// The seeds that the settings file names.
pub struct Seeds {
    settings: SiteSettings,
    /// Stamp of the file at the last look; `None` before the first, at which it is read once more: it may have changed
    /// since the settings were read.
    stamp: Option<Stamp>,
    hangup: Signal,
    looks: Interval,
}

impl Seeds {
    /// The seeds of settings that have been read.
    ///
    /// # Errors
    /// The system refuses the handler of SIGHUP.
    pub fn of(settings: &SiteSettings) -> std::io::Result<Seeds> {
        let mut looks = tokio::time::interval(LOOK_EVERY);
        looks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        Ok(Seeds { settings: settings.clone(), stamp: None, hangup: signal(SignalKind::hangup())?, looks })
    }

    /// Completes when the file names other seeds than before, and returns their internal addresses. The seeds in force stay
    /// where the file cannot be read or may be cut off.
    pub async fn changed(&mut self) -> Vec<String> {
        loop {
            let must_read = tokio::select! {
                _ = self.hangup.recv() => true,
                _ = self.looks.tick() => false,
            };
            if self.has_file_changed() || must_read {
                if let Some(seeds) = self.read() {
                    return seeds;
                }
            }
        }
    }

    fn has_file_changed(&mut self) -> bool {
        let stamp = self.settings.path().and_then(stamp_of);
        let has_changed = stamp.is_some() && stamp != self.stamp;
        if has_changed {
            self.stamp = stamp;
        }
        has_changed
    }

    /// Reads the file and returns its seeds if they are others than before.
    fn read(&mut self) -> Option<Vec<String>> {
        let settings = match self.settings.reread() {
            Ok(settings) => settings,
            Err(error) => {
                log::warn!("seeds are kept: {error}");
                return None;
            }
        };
        let has_changed = settings.seeds != self.settings.seeds;
        self.settings.seeds = settings.seeds;
        has_changed.then(|| internal_addresses(&self.settings))
    }
}

fn stamp_of(path: &Path) -> Option<Stamp> {
    let metadata = std::fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}
