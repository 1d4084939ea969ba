//! State shared by all connections and tasks of the data plane.

use super::admission_stage::AdmissionStage;
use super::clock::now_ms;
use super::connection_limits::ConnectionLimits;
use super::drain::FittingShare;
use super::feedback::{Feedback, Summary, WorkerLoad};
use super::invariants::Violations;
use super::missing::MissingModels;
use super::policy;
use super::pool::Pool;
use super::reachability::ReachabilityReports;
use super::request_log::LogRateLimiter;
use super::running_requests::RunningRequests;
use super::shutdown::{Phase, ShutdownHandle, ShutdownTimes};
use super::silence::StalledWorkers;
use super::statistics::{Refusals, Statistics};
use super::view::View;
use crate::site_settings::{Bounds, SiteSettings};
use crate::system::memory_budget::MemoryBudget;
use crate::system::memory_watch::MemoryShortage;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use switchhill_configuration::Document;
use switchhill_routing::{Availability, RetryBudget, Router, RouterSettings, WorkerKey};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Shared state of one data plane. It is confined to one thread; no `RefCell` borrow may be held across an
/// await.
pub(crate) struct Shared {
    pub(crate) settings: RefCell<SiteSettings>,
    pub(crate) router: RefCell<Router>,
    pub(crate) retry_budget: RefCell<RetryBudget>,
    pub(crate) admission: Rc<AdmissionStage>,
    pub(crate) pool: Pool,
    pub(crate) statistics: RefCell<Statistics>,
    pub(crate) missing_models: MissingModels,
    pub(crate) stalled_workers: StalledWorkers,
    pub(crate) shutdown: ShutdownHandle,
    pub(crate) fitting_share: FittingShare,
    /// Shutdown times, fixed when the shutdown begins.
    pub(crate) fixed_shutdown_times: Cell<Option<ShutdownTimes>>,
    pub(crate) running_requests: RunningRequests,
    pub(crate) violations: Violations,
    pub(crate) log_rate_limiter: LogRateLimiter,
    pub(crate) reachability: ReachabilityReports,
    /// Notified after the router has applied a new view.
    pub(crate) view_changed: Notify,
    /// Notified after a view has changed only the expected loads, which concern no one but waiting requests.
    pub(crate) expected_loads_changed: Notify,
    /// Number of requests whose heads have been read and whose responses are not complete.
    pub(crate) running: Rc<Cell<u32>>,
    /// Number of open client connections.
    pub(crate) client_connections: Rc<Cell<u32>>,
    /// Number of client connections with written data that the client has not read yet.
    pub(crate) unwritten_connections: Rc<Cell<u32>>,
    pub(crate) connection_limits: ConnectionLimits,
    pub(crate) body_memory: MemoryBudget,
    pub(crate) head_memory: MemoryBudget,
    pub(crate) response_memory: MemoryBudget,
    pub(crate) memory_shortage: MemoryShortage,
    view: RefCell<Arc<View>>,
    feedback: UnboundedSender<Feedback>,
    last_summary_at: Cell<u64>,
}

impl Shared {
    /// State before the first view.
    pub(crate) fn new(
        settings: SiteSettings,
        feedback: UnboundedSender<Feedback>,
        shutdown: ShutdownHandle,
    ) -> Shared {
        let connection_limits = ConnectionLimits::of(&settings.limits);
        let memory_mb = settings.limits.memory_mb;
        let head_memory = MemoryBudget::new("heads", memory_mb, policy::HEAD_MEMORY_SHARE);
        let body_memory = MemoryBudget::new("bodies", memory_mb, policy::BODY_MEMORY_SHARE);
        let response_memory = MemoryBudget::new("responses", memory_mb, policy::RESPONSE_MEMORY_SHARE);
        Shared {
            router: RefCell::new(Router::new(router_settings(&settings), fastrand::u64(..))),
            retry_budget: RefCell::new(retry_budget(&settings)),
            admission: Rc::new(AdmissionStage::new(settings.decisions.admission, fastrand::u64(..))),
            settings: RefCell::new(settings),
            pool: Pool::new(connection_limits.workers),
            statistics: RefCell::default(),
            missing_models: MissingModels::default(),
            stalled_workers: StalledWorkers::default(),
            shutdown,
            fitting_share: FittingShare::default(),
            fixed_shutdown_times: Cell::default(),
            running_requests: RunningRequests::default(),
            violations: Violations::default(),
            log_rate_limiter: LogRateLimiter::default(),
            reachability: ReachabilityReports::default(),
            view_changed: Notify::new(),
            expected_loads_changed: Notify::new(),
            running: Rc::default(),
            client_connections: Rc::default(),
            unwritten_connections: Rc::default(),
            connection_limits,
            body_memory,
            head_memory,
            response_memory,
            memory_shortage: MemoryShortage::default(),
            view: RefCell::default(),
            feedback,
            last_summary_at: Cell::new(now_ms()),
        }
    }

    /// What takes memory in this process, for the log.
    pub(crate) fn memory_uses(&self) -> Vec<String> {
        let configuration = self.document().map(|document| document.size()).unwrap_or_default();
        vec![
            self.body_memory.to_string(),
            self.head_memory.to_string(),
            self.response_memory.to_string(),
            format!("client connections {}", self.client_connections.get()),
            format!("worker connections {}", self.pool.open_connections()),
            format!("running requests {}", self.running.get()),
            configuration.to_string(),
        ]
    }

    /// Whether one more request would risk the process: its memory is short, and enough requests run to be what holds it.
    pub(crate) fn is_out_of_memory(&self) -> bool {
        self.memory_shortage.is_on() && self.running.get() > policy::MIN_REQUESTS_IN_SHORTAGE
    }

    /// Current time in milliseconds, on the clock that all decisions use.
    pub(crate) fn now(&self) -> u64 {
        now_ms()
    }

    /// The newest view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// The newest configuration, if one has been received.
    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        self.view.borrow().document.clone()
    }

    /// Waits for the first configuration until the given time. Does not wait once a shutdown has begun.
    pub(crate) async fn wait_for_configuration(&self, until: Instant) {
        let may_wait = || self.shutdown.phase() == Phase::Serving && Instant::now() < until;
        while self.document().is_none() && may_wait() {
            tokio::select! {
                () = self.view_changed.notified() => {}
                () = self.shutdown.reached(Phase::Draining) => {}
                () = tokio::time::sleep_until(until) => {}
            }
        }
    }

    /// Applies a new view and wakes the requests that wait for one.
    pub(crate) fn apply_view(&self, view: Arc<View>) {
        let state_is_unchanged = view.shares_state_with(&self.view.borrow());
        if state_is_unchanged {
            self.view.replace(view);
            self.expected_loads_changed.notify_waiters();
        } else {
            self.apply_state(view);
            self.view_changed.notify_waiters();
        }
    }

    fn apply_state(&self, view: Arc<View>) {
        let now = self.now();
        self.apply_document(now, &view);
        let previous = self.view.replace(view.clone());
        self.apply_workers(now, &view, &previous);
        if view.gatekeepers > 0 {
            self.router.borrow_mut().set_data_plane_count(view.gatekeepers);
        }
        self.retry_budget.borrow_mut().set_data_plane_count(view.gatekeepers);
        self.admission.apply_view(now, &view, self.router.borrow().workers());
    }

    /// Applies the workers and loads in which the view differs from the previous one.
    fn apply_workers(&self, now: u64, view: &View, previous: &View) {
        let same_workers = Arc::ptr_eq(&view.workers, &previous.workers);
        let mut router = self.router.borrow_mut();
        if !same_workers {
            router.set_shared_workers(now, &view.workers);
            let accepts_requests = |state| matches!(state, Availability::Ready | Availability::Suspected);
            let in_use = view.workers.iter().filter(|worker| accepts_requests(worker.state));
            self.pool.retain(&in_use.map(|worker| worker.id.as_str()).collect());
        }
        if let Some(loads) = &view.loads {
            if !same_workers || !view.shares_loads_with(previous) {
                router.set_peer_loads(loads.received_at, &loads.requests);
            }
        }
    }

    fn apply_document(&self, now: u64, view: &View) {
        let Some(document) = &view.document else { return };
        let current = self.document();
        if current.is_some_and(|current| current.revision() == document.revision()) {
            return;
        }
        self.admission.set_routes(now, document);
        let mut router = self.router.borrow_mut();
        for service in document.services() {
            if let Some(engine) = &service.engine {
                router.set_kv_cache_tokens(&service.name, engine.kv_cache_tokens);
            }
        }
    }

    /// Applies reloaded settings.
    pub(crate) fn apply_settings(&self, settings: SiteSettings) {
        if !same_budget(&self.settings.borrow().bounds, &settings.bounds) {
            // A new budget starts without slack, so that retries already made stay within the limit.
            let mut budget = retry_budget(&settings);
            budget.set_data_plane_count(self.view.borrow().gatekeepers);
            *self.retry_budget.borrow_mut() = budget;
        }
        *self.settings.borrow_mut() = settings;
    }

    /// Whether requests may still be sent to the worker.
    pub(crate) fn may_send(&self, worker: WorkerKey) -> bool {
        self.router.borrow().may_send(self.now(), worker)
    }

    /// Waits until requests may no longer be sent to the worker.
    pub(crate) async fn worker_becomes_unavailable(&self, worker: WorkerKey) {
        while self.may_send(worker) {
            self.view_changed.notified().await;
        }
    }

    /// Maximum number of connections that this gatekeeper may hold to a worker of the service.
    pub(crate) fn connection_limit(&self, service: &str) -> u32 {
        let view = self.view.borrow();
        let service = view.document.as_ref().and_then(|document| document.service(service));
        let Some(service) = service else { return policy::MIN_CONNECTIONS_PER_WORKER };
        let gatekeepers = f64::from(view.gatekeepers.max(1));
        let share = f64::from(service.max_connections) * policy::WORKER_CONNECTION_SHARE / gatekeepers;
        policy::MIN_CONNECTIONS_PER_WORKER.max(share as u32)
    }

    /// Sends feedback to the agent. Dropped silently if the agent's side has ended.
    pub(crate) fn send_feedback(&self, feedback: Feedback) {
        let _ = self.feedback.send(feedback);
    }

    /// Periodic housekeeping.
    pub(crate) fn tick(&self) {
        let now = self.now();
        self.pool.drop_expired();
        self.missing_models.remove_stale(now);
        self.admission.apply_view(now, &self.view(), self.router.borrow().workers());
        self.admission.tick(now);
    }

    /// Sends a summary of load and demand to the agent.
    pub(crate) fn summarize(&self) {
        let now = self.now();
        let span_ms = now.saturating_sub(self.last_summary_at.replace(now));
        let mut statistics = self.statistics.borrow_mut();
        let mut routes = statistics.take_routes();
        self.admission.add_route_rates(now, &mut routes);
        let demand = statistics.take_demand(span_ms);
        let outstanding = self.router.borrow().outstanding();
        let outstanding = outstanding.into_iter().map(|(worker, requests)| WorkerLoad { worker, requests });
        self.send_feedback(Feedback::Summary(Summary {
            span_ms,
            demand,
            outstanding: outstanding.collect(),
            routes,
        }));
    }

    /// Logs the number of refusals by reason since the last call.
    pub(crate) fn log_refusals(&self) {
        let refusals = std::mem::take(&mut self.statistics.borrow_mut().refusals);
        if refusals != Refusals::default() {
            log::info!("refused: {refusals:?}");
        }
    }

    /// Updates the set of stalled workers.
    pub(crate) fn check_stalled_workers(&self) {
        if !self.settings.borrow().decisions.holding.beside_silent_worker {
            return;
        }
        let stalled = self.router.borrow_mut().silent_workers(self.now());
        self.stalled_workers.replace(stalled);
    }
}

fn router_settings(settings: &SiteSettings) -> RouterSettings {
    let zone = settings.zone.clone();
    RouterSettings { silent_ms: policy::STREAM_STALL_MS, zone, ..settings.decisions.router.clone() }
}

fn same_budget(one: &Bounds, other: &Bounds) -> bool {
    one.retry_budget_ratio == other.retry_budget_ratio
        && one.retry_budget_slack == other.retry_budget_slack
        && one.budget_window_s == other.budget_window_s
}

fn retry_budget(settings: &SiteSettings) -> RetryBudget {
    let bounds = &settings.bounds;
    let window_ms = (bounds.budget_window_s * 1000.0) as u64;
    RetryBudget::new(bounds.retry_budget_ratio, window_ms, bounds.retry_budget_slack)
}
