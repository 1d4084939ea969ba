//! The first reading of the settings file, whose writer may not be done with it.

#[cfg(test)]
mod tests;

use crate::site_settings::{SettingsError, SiteSettings};
use std::path::Path;
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a file that is not there or has a fault is read again.
const TRY_FOR: Duration = Duration::from_secs(2);

/// Pause between two readings.
const TRY_EVERY: Duration = Duration::from_millis(50);

/// Reads the file; one that is not there or has a fault is read again for a while.
///
/// # Errors
/// The fault of the last reading.
pub(super) async fn read_first(path: &Path) -> Result<SiteSettings, SettingsError> {
    let give_up_at = Instant::now() + TRY_FOR;
    let mut is_told = false;
    loop {
        let error = match SiteSettings::read(path) {
            Ok(settings) => return Ok(settings),
            Err(error) => error,
        };
        if Instant::now() >= give_up_at {
            return Err(error);
        }
        if !is_told {
            log::warn!("the settings are read again for {} s: {error}", TRY_FOR.as_secs());
            is_told = true;
        }
        tokio::time::sleep(TRY_EVERY).await;
    }
}
