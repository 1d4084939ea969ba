//! State that all connections of the data plane share.

use super::admission_stage::AdmissionStage;
use super::clock::now_ms;
use super::descriptors::DescriptorShares;
use super::drain::FittingShare;
use super::feedback::{Feedback, Summary, WorkerLoad};
use super::invariants::Violations;
use super::missing::MissingModels;
use super::policy;
use super::pool::Pool;
use super::reachability::ReachabilityReports;
use super::request_log::LineBudget;
use super::running_requests::RunningRequests;
use super::shutdown::{Phase, ShutdownHandle, ShutdownTimes};
use super::silence::SilentWorkers;
use super::statistics::{Refusals, Statistics};
use super::view::View;
use crate::site_settings::{Bounds, SiteSettings};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use switchhill_configuration::Document;
use switchhill_routing::{Availability, RetryBudget, Router, RouterSettings, WorkerKey};
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::Notify;
use tokio::time::Instant;

/// State of one data plane. It lives on one thread; no borrow is held across an await.
pub(crate) struct Shared {
    pub(crate) settings: RefCell<SiteSettings>,
    pub(crate) router: RefCell<Router>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) admission: Rc<AdmissionStage>,
    pub(crate) pool: Pool,
    pub(crate) statistics: RefCell<Statistics>,
    pub(crate) missing: MissingModels,
    pub(crate) silent: SilentWorkers,
    pub(crate) shutdown: ShutdownHandle,
    pub(crate) fitting_share: FittingShare,
    /// Times of the end, once the process has been told to end.
    pub(crate) end_times: Cell<Option<ShutdownTimes>>,
    pub(crate) running_requests: RunningRequests,
    pub(crate) violations: Violations,
    pub(crate) line_budget: LineBudget,
    pub(crate) reachability: ReachabilityReports,
    /// Told after the router has taken a new view.
    pub(crate) view_changed: Notify,
    /// Told after a view has come that tells of expected loads only, which all but held requests do without.
    pub(crate) expected_changed: Notify,
    /// Requests whose heads have been read and whose answers are not complete.
    pub(crate) running: Rc<Cell<u32>>,
    /// Open connections of clients.
    pub(crate) client_connections: Rc<Cell<u32>>,
    /// Those of them whose client has not taken all that was written.
    pub(crate) unwritten_connections: Rc<Cell<u32>>,
    pub(crate) descriptors: DescriptorShares,
    view: RefCell<Arc<View>>,
    feedback: UnboundedSender<Feedback>,
    summary_at: Cell<u64>,
}

impl Shared {
    /// State before the first view.
    pub(crate) fn new(
        settings: SiteSettings,
        feedback: UnboundedSender<Feedback>,
        shutdown: ShutdownHandle,
    ) -> Shared {
        let descriptors = DescriptorShares::of(settings.limits.max_fds);
        Shared {
            router: RefCell::new(Router::new(router_settings(&settings), fastrand::u64(..))),
            budget: RefCell::new(retry_budget(&settings)),
            admission: Rc::new(AdmissionStage::new(settings.decisions.admission, fastrand::u64(..))),
            settings: RefCell::new(settings),
            pool: Pool::new(descriptors.workers),
            statistics: RefCell::default(),
            missing: MissingModels::default(),
            silent: SilentWorkers::default(),
            shutdown,
            fitting_share: FittingShare::default(),
            end_times: Cell::default(),
            running_requests: RunningRequests::default(),
            violations: Violations::default(),
            line_budget: LineBudget::default(),
            reachability: ReachabilityReports::default(),
            view_changed: Notify::new(),
            expected_changed: Notify::new(),
            running: Rc::default(),
            client_connections: Rc::default(),
            unwritten_connections: Rc::default(),
            descriptors,
            view: RefCell::default(),
            feedback,
            summary_at: Cell::new(now_ms()),
        }
    }

    /// Milliseconds of the clock that all decisions use.
    pub(crate) fn now(&self) -> u64 {
        now_ms()
    }

    /// The newest view.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.borrow().clone()
    }

    /// The newest configuration.
    pub(crate) fn document(&self) -> Option<Arc<Document>> {
        self.view.borrow().document.clone()
    }

    /// Waits for a first configuration, no longer than told and not in a process that has been told to end.
    pub(crate) async fn first_document(&self, until: Instant) {
        let may_wait = || self.shutdown.phase() == Phase::Serving && Instant::now() < until;
        while self.document().is_none() && may_wait() {
            tokio::select! {
                () = self.view_changed.notified() => {}
                () = self.shutdown.reached(Phase::Leaving) => {}
                () = tokio::time::sleep_until(until) => {}
            }
        }
    }

    /// Takes a new view and wakes the requests that wait for one.
    pub(crate) fn take_view(&self, view: Arc<View>) {
        let is_same_state = view.shares_state_with(&self.view.borrow());
        if is_same_state {
            self.view.replace(view);
            self.expected_changed.notify_waiters();
        } else {
            self.take_state(view);
            self.view_changed.notify_waiters();
        }
    }

    fn take_state(&self, view: Arc<View>) {
        let now = self.now();
        self.take_document(now, &view);
        let former = self.view.replace(view.clone());
        self.take_workers(now, &view, &former);
        if view.gatekeepers > 0 {
            self.router.borrow_mut().set_data_plane_count(view.gatekeepers);
        }
        self.budget.borrow_mut().set_data_plane_count(view.gatekeepers);
        self.admission.set_view(now, &view, self.router.borrow().workers());
    }

    /// Takes the workers and loads in which a view differs from the former one.
    fn take_workers(&self, now: u64, view: &View, former: &View) {
        let same_workers = Arc::ptr_eq(&view.workers, &former.workers);
        let mut router = self.router.borrow_mut();
        if !same_workers {
            router.set_shared_workers(now, &view.workers);
            let takes_requests = |state| matches!(state, Availability::Ready | Availability::Suspected);
            let in_use = view.workers.iter().filter(|worker| takes_requests(worker.state));
            self.pool.retain(&in_use.map(|worker| worker.id.as_str()).collect());
        }
        if let Some(loads) = &view.loads {
            if !same_workers || !view.shares_loads_with(former) {
                router.set_peer_loads(loads.told_at, &loads.requests);
            }
        }
    }

    fn take_document(&self, now: u64, view: &View) {
        let Some(document) = &view.document else { return };
        let present = self.document();
        if present.is_some_and(|present| present.revision() == document.revision()) {
            return;
        }
        self.admission.set_document(now, document);
        let mut router = self.router.borrow_mut();
        for service in document.services() {
            if let Some(engine) = &service.engine {
                router.set_kv_cache_tokens(&service.name, engine.kv_cache_tokens);
            }
        }
    }

    /// Takes settings that were read again.
    pub(crate) fn take_settings(&self, settings: SiteSettings) {
        if !same_budget(&self.settings.borrow().bounds, &settings.bounds) {
            // A new budget begins without slack, so repeats already made stay within the rule.
            let mut budget = retry_budget(&settings);
            budget.set_data_plane_count(self.view.borrow().gatekeepers);
            *self.budget.borrow_mut() = budget;
        }
        *self.settings.borrow_mut() = settings;
    }

    /// Whether a request may still be sent to the worker.
    pub(crate) fn may_send(&self, worker: WorkerKey) -> bool {
        self.router.borrow().may_send(self.now(), worker)
    }

    /// Waits until no request may be sent to the worker any more.
    pub(crate) async fn worker_leaves(&self, worker: WorkerKey) {
        while self.may_send(worker) {
            self.view_changed.notified().await;
        }
    }

    /// Connections that this gatekeeper may hold to a worker of the service.
    pub(crate) fn connection_limit(&self, service: &str) -> u32 {
        let view = self.view.borrow();
        let service = view.document.as_ref().and_then(|document| document.service(service));
        let Some(service) = service else { return policy::LEAST_CONNECTIONS };
        let gatekeepers = f64::from(view.gatekeepers.max(1));
        let share = f64::from(service.max_connections) * policy::CONNECTION_SHARE / gatekeepers;
        policy::LEAST_CONNECTIONS.max(share as u32)
    }

    /// Tells the agent something. An agent that has gone hears nothing.
    pub(crate) fn tell(&self, feedback: Feedback) {
        let _ = self.feedback.send(feedback);
    }

    /// The work of each second.
    pub(crate) fn tick(&self) {
        let now = self.now();
        self.pool.drop_expired();
        self.missing.forget_old(now);
        self.admission.set_view(now, &self.view(), self.router.borrow().workers());
        self.admission.tick(now);
    }

    /// Tells the agent of load and demand.
    pub(crate) fn summarize(&self) {
        let now = self.now();
        let span_ms = now.saturating_sub(self.summary_at.replace(now));
        let mut statistics = self.statistics.borrow_mut();
        let mut routes = statistics.take_routes();
        self.admission.complete(now, &mut routes);
        let demand = statistics.take_demand(span_ms);
        let outstanding = self.router.borrow().outstanding();
        let outstanding = outstanding.into_iter().map(|(worker, requests)| WorkerLoad { worker, requests });
        self.tell(Feedback::Summary(Summary { span_ms, demand, outstanding: outstanding.collect(), routes }));
    }

    /// Logs why requests were refused since the last time.
    pub(crate) fn log_refusals(&self) {
        let refusals = std::mem::take(&mut self.statistics.borrow_mut().refusals);
        if refusals != Refusals::default() {
            log::info!("refused: {refusals:?}");
        }
    }

    /// Looks for workers whose streams have stopped.
    pub(crate) fn look_for_silence(&self) {
        if !self.settings.borrow().decisions.holding.beside_silent_worker {
            return;
        }
        let silent = self.router.borrow_mut().silent_workers(self.now());
        self.silent.replace(silent);
    }
}

fn router_settings(settings: &SiteSettings) -> RouterSettings {
    let zone = settings.zone.clone();
    RouterSettings { silent_ms: policy::STREAM_SILENCE_MS, zone, ..settings.decisions.router.clone() }
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
