//! Handling of POSIX signals.

use super::shared::Shared;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};

/// Reloads the settings on each SIGHUP. The current settings stay in force if the file cannot be read or
/// lacks a setting that is set now.
pub(crate) async fn reload_at_sighup(shared: Rc<Shared>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    while hangup.recv().await.is_some() {
        let reread = shared.settings.borrow().reread();
        match reread {
            Ok(settings) => shared.apply_settings(settings),
            Err(error) => log::warn!("settings are kept: {error}"),
        }
    }
}
