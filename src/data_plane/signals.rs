//! Signals of the platform.

use super::shared::Shared;
use super::shutdown::ShutdownHandle;
use std::rc::Rc;
use tokio::signal::unix::{signal, SignalKind};

/// Begins the shutdown at the first SIGTERM.
pub(crate) async fn begin_shutdown_at_sigterm(shutdown: ShutdownHandle) {
    match signal(SignalKind::terminate()) {
        Ok(mut terminate) => {
            terminate.recv().await;
            shutdown.begin();
        }
        Err(error) => log::error!("SIGTERM cannot be taken: {error}"),
    }
}

/// Reads the settings again at each SIGHUP. A file that cannot be read, or lacks what the present one gives, leaves the
/// present settings in force.
pub(crate) async fn reload_at_sighup(shared: Rc<Shared>) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    while hangup.recv().await.is_some() {
        let reread = shared.settings.borrow().reread();
        match reread {
            Ok(settings) => shared.take_settings(settings),
            Err(error) => log::warn!("settings are kept: {error}"),
        }
    }
}
