//! The data plane server: listeners, periodic tasks and shutdown.

use super::drain::shut_down;
use super::feedback::Feedback;
use super::ingress;
use super::policy;
use super::readiness;
use super::shared::Shared;
use super::shutdown::ShutdownHandle;
use super::signals;
use super::view::View;
use crate::site_settings::SiteSettings;
use crate::system::essential_tasks::EssentialTasks;
use crate::system::listen::listen;
use crate::system::memory_watch::watch_memory;
use anyhow::Context;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::MissedTickBehavior;

/// A data plane whose listeners are open.
pub struct DataPlane {
    settings: SiteSettings,
    http: TcpListener,
    readiness: Option<TcpListener>,
    shutdown: ShutdownHandle,
}

impl DataPlane {
    /// Opens the configured listeners. Must be called within a Tokio runtime.
    ///
    /// # Errors
    /// If an address cannot be listened on, or if none is configured for clients.
    pub async fn bind(settings: SiteSettings) -> anyhow::Result<DataPlane> {
        let http = settings.bind.http.context("bind.http: the data plane needs an address")?;
        let http = listen(http).await?;
        let readiness = match settings.bind.readiness {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        Ok(DataPlane { http, readiness, shutdown: ShutdownHandle::new(), settings })
    }

    /// The address on which clients connect.
    ///
    /// # Errors
    /// If the operating system does not report the address.
    pub fn http_address(&self) -> std::io::Result<SocketAddr> {
        self.http.local_addr()
    }

    /// The address for readiness checks, if one is configured.
    pub fn readiness_address(&self) -> Option<SocketAddr> {
        self.readiness.as_ref()?.local_addr().ok()
    }

    /// A handle with which other tasks can start the shutdown.
    pub fn shutdown_handle(&self) -> ShutdownHandle {
        self.shutdown.clone()
    }

    /// Serves until a shutdown is complete. Must run inside a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// An essential task has panicked. Callers have to treat an error as fatal to the process.
    pub async fn serve(
        self,
        views: watch::Receiver<Arc<View>>,
        feedback: mpsc::UnboundedSender<Feedback>,
    ) -> anyhow::Result<()> {
        let shared = Rc::new(Shared::new(self.settings, feedback, self.shutdown));
        // Dropping them at the end aborts the tasks.
        let mut tasks = EssentialTasks::default();
        tasks.spawn_local("views", apply_views(shared.clone(), views));
        spawn_periodic_tasks(&shared, &mut tasks);
        tasks.spawn_local("settings", signals::reload_at_sighup(shared.clone()));
        tasks.spawn_local("clients", ingress::accept(shared.clone(), self.http));
        if let Some(listener) = self.readiness {
            tasks.spawn_local("readiness", readiness::serve_readiness_checks(shared.clone(), listener));
        }
        let memory_mb = shared.settings.borrow().limits.memory_mb;
        let uses = {
            let shared = shared.clone();
            move || shared.memory_uses()
        };
        tasks.spawn_local("memory watch", watch_memory(memory_mb, shared.memory_shortage.clone(), uses));
        tokio::select! {
            () = shut_down(&shared) => Ok(()),
            failed = tasks.failed() => Err(failed.into()),
        }
    }
}

/// Name, interval and function of a periodic task.
type PeriodicTask = (&'static str, Duration, fn(&Shared));

/// Starts the periodic tasks of the data plane.
pub(crate) fn spawn_periodic_tasks(shared: &Rc<Shared>, tasks: &mut EssentialTasks) {
    let periodic: [PeriodicTask; 4] = [
        ("housekeeping", policy::HOUSEKEEPING_INTERVAL, Shared::tick),
        ("summaries", policy::SUMMARY_INTERVAL, Shared::summarize),
        ("stall check", policy::STALL_CHECK_INTERVAL, Shared::check_stalled_workers),
        ("refusal log", policy::REFUSAL_LOG_INTERVAL, Shared::log_refusals),
    ];
    for (name, interval, task) in periodic {
        let shared = shared.clone();
        tasks.spawn_local(name, run_periodically(interval, move || task(&shared)));
    }
}

/// Applies each new view to the shared state until the agent has closed the channel.
pub(super) async fn apply_views(shared: Rc<Shared>, mut views: watch::Receiver<Arc<View>>) {
    loop {
        let view = views.borrow_and_update().clone();
        shared.apply_view(view);
        if views.changed().await.is_err() {
            // The agent has closed the channel; the last view stays in effect.
            return;
        }
    }
}

/// Runs a task at an interval.
async fn run_periodically(interval: Duration, mut task: impl FnMut()) {
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        task();
    }
}
