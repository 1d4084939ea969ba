//! The data plane as a whole: listeners, periodic work, shutdown.

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
use anyhow::Context;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

/// A data plane whose listeners are open.
pub struct DataPlane {
    settings: SiteSettings,
    http: TcpListener,
    readiness: Option<TcpListener>,
    shutdown: ShutdownHandle,
}

impl DataPlane {
    /// Opens the listeners that the settings name. It needs the context of a runtime.
    ///
    /// # Errors
    /// An address cannot be listened on, or there is none for clients.
    pub fn bind(settings: SiteSettings) -> anyhow::Result<DataPlane> {
        let http = settings.bind.http.context("bind.http: the data plane needs an address")?;
        Ok(DataPlane {
            http: listen(http)?,
            readiness: settings.bind.readiness.map(listen).transpose()?,
            shutdown: ShutdownHandle::new(),
            settings,
        })
    }

    /// The address for clients.
    ///
    /// # Errors
    /// The system does not tell it.
    pub fn http_address(&self) -> std::io::Result<SocketAddr> {
        self.http.local_addr()
    }

    /// The address for readiness checks, where there is one.
    pub fn readiness_address(&self) -> Option<SocketAddr> {
        self.readiness.as_ref()?.local_addr().ok()
    }

    /// Starts the shutdown from elsewhere.
    pub fn shutdown_handle(&self) -> ShutdownHandle {
        self.shutdown.clone()
    }

    /// Serves until a shutdown has been carried out. It runs inside a [`tokio::task::LocalSet`].
    ///
    /// # Errors
    /// None at present; a caller ends the process with them.
    pub async fn serve(
        self,
        views: watch::Receiver<Arc<View>>,
        feedback: mpsc::UnboundedSender<Feedback>,
    ) -> anyhow::Result<()> {
        let shared = Rc::new(Shared::new(self.settings, feedback, self.shutdown));
        // Dropping the set at the end aborts the tasks.
        let mut tasks = JoinSet::new();
        tasks.spawn_local(apply_views(shared.clone(), views));
        spawn_periodic_tasks(&shared, &mut tasks);
        tasks.spawn_local(signals::reload_at_sighup(shared.clone()));
        tasks.spawn_local(ingress::accept(shared.clone(), self.http));
        if let Some(listener) = self.readiness {
            tasks.spawn_local(readiness::serve_readiness_checks(shared.clone(), listener));
        }
        shut_down(&shared).await;
        Ok(())
    }
}

/// Work that is done again and again, and how often.
type RepeatedWork = (Duration, fn(&Shared));

/// Starts what the data plane does by the clock.
pub(crate) fn spawn_periodic_tasks(shared: &Rc<Shared>, tasks: &mut JoinSet<()>) {
    let repeated: [RepeatedWork; 4] = [
        (policy::HOUSEKEEPING_INTERVAL, Shared::tick),
        (policy::SUMMARY_INTERVAL, Shared::summarize),
        (policy::STALL_CHECK_INTERVAL, Shared::check_stalled_workers),
        (policy::REFUSAL_LOG_INTERVAL, Shared::log_refusals),
    ];
    for (every, work) in repeated {
        let shared = shared.clone();
        tasks.spawn_local(repeat(every, move || work(&shared)));
    }
}

fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let open = || {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(policy::LISTEN_BACKLOG)
    };
    open().with_context(|| format!("listening on {address}"))
}

/// Hands each new view over to the shared state, until the agent's side has gone.
pub(super) async fn apply_views(shared: Rc<Shared>, mut views: watch::Receiver<Arc<View>>) {
    loop {
        let view = views.borrow_and_update().clone();
        shared.apply_view(view);
        if views.changed().await.is_err() {
            // The agent's side has gone: the newest view stays in force.
            return;
        }
    }
}

/// Does something again and again.
async fn repeat(every: Duration, mut work: impl FnMut()) {
    let mut ticks = tokio::time::interval(every);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        work();
    }
}
