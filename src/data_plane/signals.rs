//! Signals of the platform.

use super::shared::Shared;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};

/// Reads the settings again at each SIGHUP. A file that cannot be read, or lacks what the present one gives, leaves the
/// present settings in force.
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
