//! Tests of notifications between tasks of the data plane under all interleavings of the tasks.
//!
//! All tasks run on one thread and yield only at await points, so an interleaving is an order of the tasks
//! between two await points. The tests use the production types. Waits have no timeout here, so a lost
//! wake-up is a deadlock, which the scheduler reports.

use super::server::apply_views;
use super::shared::Shared;
use super::shutdown::{Phase, ShutdownHandle};
use super::silence::StalledWorkers;
use super::view::View;
use crate::site_settings::SiteSettings;
use shuttle::future::{block_on, spawn_local, yield_now};
use shuttle::scheduler::DfsScheduler;
use std::cell::RefCell;
use std::collections::HashSet;
use std::future::Future;
use std::panic::catch_unwind;
use std::rc::Rc;
use std::sync::Arc;
use switchhill_routing::{Availability, WorkerKey, WorkerView};
use tokio::sync::{mpsc, watch, Notify};

const WORKER: &str = "w-1";

/// Stack size of a task in bytes. The shared state is constructed on the stack.
const STACK_SIZE: usize = 1 << 20;

/// Minimum number of interleavings. With fewer, the tasks of a test do not run concurrently.
const MIN_INTERLEAVINGS: usize = 10;

/// Runs a test once for each interleaving of its tasks.
fn in_all_interleavings<F: Future<Output = ()>>(test: impl Fn() -> F + Send + Sync + 'static) {
    let mut config = shuttle::Config::new();
    config.stack_size = STACK_SIZE;
    let scheduler = DfsScheduler::new(None, false);
    let runs = shuttle::Runner::new(scheduler, config).run(move || block_on(test()));
    assert!(runs >= MIN_INTERLEAVINGS, "only {runs} interleavings: the tasks do not run concurrently");
}

fn view(state: Availability, gatekeepers: u32) -> Arc<View> {
    let worker = WorkerView {
        id: WORKER.to_owned(),
        service: "large".to_owned(),
        address: "10.1.0.9:80".to_owned(),
        zone: "north".to_owned(),
        slots: 8,
        state,
        cold_remaining_ms: 0,
        models: Vec::new(),
        peer_load: 0,
        peer_load_at: 0,
    };
    Arc::new(View { workers: [Arc::new(worker)].into(), gatekeepers, ..View::default() })
}

fn shared() -> Rc<Shared> {
    let settings = "nodeName: edge-1\nip: 10.1.0.1\nzone: north\nportRange: [7660, 7675]\n";
    let settings: SiteSettings = serde_saphyr::from_str(settings).expect("settings");
    let (feedback, _) = mpsc::unbounded_channel();
    Rc::new(Shared::new(settings, feedback, ShutdownHandle::new()))
}

fn key(shared: &Shared) -> WorkerKey {
    shared.router.borrow().key(WORKER).expect("the worker is known")
}

/// The feed publishes several views, the data plane applies them, and an attempt waits for its worker to
/// become unavailable.
async fn wait_for_unavailable_worker() {
    let (views, received) = watch::channel(view(Availability::Ready, 1));
    let shared = shared();
    shared.apply_view(received.borrow().clone());
    let worker = key(&shared);
    let applying = spawn_local(apply_views(shared.clone(), received));
    let waiting = {
        let shared = shared.clone();
        spawn_local(async move { shared.worker_becomes_unavailable(worker).await })
    };
    yield_now().await;
    views.send_replace(view(Availability::Ready, 2));
    yield_now().await;
    views.send_replace(view(Availability::Draining, 3));
    waiting.await.expect("the attempt is notified");
    assert!(!shared.may_send(worker));
    drop(views);
    applying.await.expect("the task ends when the feed closes the channel");
    assert_eq!(shared.view().gatekeepers, 3, "the last view is in effect");
}

#[test]
fn unavailable_worker_notifies_attempts_in_all_interleavings() {
    in_all_interleavings(wait_for_unavailable_worker);
}

/// Two attempts wait for their worker to stall while the set of stalled workers is replaced.
async fn wait_for_stalled_worker() {
    let shared = shared();
    shared.apply_view(view(Availability::Ready, 1));
    let (worker, stalled) = (key(&shared), Rc::new(StalledWorkers::default()));
    let waiting: Vec<_> = (0..2)
        .map(|_| {
            let stalled = stalled.clone();
            spawn_local(async move { stalled.wait_for(worker).await })
        })
        .collect();
    yield_now().await;
    stalled.replace(Vec::new());
    yield_now().await;
    stalled.replace(vec![worker]);
    for task in waiting {
        task.await.expect("the task is notified");
    }
}

#[test]
fn stalled_worker_notifies_attempts_in_all_interleavings() {
    in_all_interleavings(wait_for_stalled_worker);
}

/// Tasks wait for shutdown phases while two tasks advance the shutdown.
async fn wait_for_shutdown_phases() {
    let shutdown = ShutdownHandle::new();
    let order = Rc::new(RefCell::new(Vec::new()));
    let waiting: Vec<_> = [Phase::Closing, Phase::Draining]
        .map(|phase| {
            let (shutdown, order) = (shutdown.clone(), order.clone());
            spawn_local(async move {
                shutdown.reached(phase).await;
                order.borrow_mut().push((phase, shutdown.phase()));
            })
        })
        .into();
    let handle = shutdown.clone();
    let beginning = spawn_local(async move { handle.begin() });
    yield_now().await;
    shutdown.advance(Phase::Closing);
    beginning.await.expect("no panic");
    for task in waiting {
        task.await.expect("the task is notified");
    }
    assert_eq!(shutdown.phase(), Phase::Closing, "a late begin does not move the phase back");
    assert!(order.borrow().iter().all(|(awaited, current)| current >= awaited));
}

#[test]
fn shutdown_phases_notify_waiters_in_all_interleavings() {
    in_all_interleavings(wait_for_shutdown_phases);
}

/// Deliberately faulty version of [`StalledWorkers`]: another task can run between the check and the wait, so
/// that the notification is lost.
#[derive(Default)]
struct RacyStalledWorkers {
    workers: RefCell<HashSet<u32>>,
    changed: Notify,
}

impl RacyStalledWorkers {
    async fn wait_for(&self, worker: u32) {
        while !self.workers.borrow().contains(&worker) {
            yield_now().await;
            self.changed.notified().await;
        }
    }
}

#[test]
fn lost_wake_up_between_check_and_wait_is_detected() {
    let run = || {
        in_all_interleavings(|| async {
            let stalled = Rc::new(RacyStalledWorkers::default());
            let waiting = {
                let stalled = stalled.clone();
                spawn_local(async move { stalled.wait_for(1).await })
            };
            yield_now().await;
            stalled.workers.borrow_mut().insert(1);
            stalled.changed.notify_waiters();
            waiting.await.expect("the task is notified");
        });
    };
    assert!(catch_unwind(run).is_err());
}
