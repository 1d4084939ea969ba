//! Tests: hand-overs between tasks of the data plane through all interleavings of the tasks.
//!
//! All tasks run on one thread and give way only where they wait, so an interleaving is an order of the tasks between two
//! waits. The types are the program's; waits never time out here, so a wake-up that is lost is a deadlock, which the run
//! reports.

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

/// Stack of a task in bytes: the shared state is made on it.
const STACK: usize = 1 << 20;

/// Fewer interleavings than this would show nothing.
const LEAST_RUNS: usize = 10;

/// Runs a test through all interleavings of its tasks.
fn in_all_interleavings<F: Future<Output = ()>>(test: impl Fn() -> F + Send + Sync + 'static) {
    let mut config = shuttle::Config::new();
    config.stack_size = STACK;
    let all = DfsScheduler::new(None, false);
    let runs = shuttle::Runner::new(all, config).run(move || block_on(test()));
    assert!(runs >= LEAST_RUNS, "{runs} interleavings: the tasks do not run side by side");
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

/// The feed publishes views one after the other, the data plane takes them, an attempt waits for its worker to leave.
async fn views_are_handed_over() {
    let (views, received) = watch::channel(view(Availability::Ready, 1));
    let shared = shared();
    shared.apply_view(received.borrow().clone());
    let worker = key(&shared);
    let taking = spawn_local(apply_views(shared.clone(), received));
    let waiting = {
        let shared = shared.clone();
        spawn_local(async move { shared.worker_becomes_unavailable(worker).await })
    };
    yield_now().await;
    views.send_replace(view(Availability::Ready, 2));
    yield_now().await;
    views.send_replace(view(Availability::Draining, 3));
    waiting.await.expect("the attempt hears of it");
    assert!(!shared.may_send(worker));
    drop(views);
    taking.await.expect("it ends with the feed");
    assert_eq!(shared.view().gatekeepers, 3, "the newest view is the one in force");
}

#[test]
fn a_worker_that_leaves_is_heard_of_in_all_interleavings() {
    in_all_interleavings(views_are_handed_over);
}

/// Two attempts wait for their workers to fall silent, while sets of silent workers come.
async fn silence_is_heard_of() {
    let shared = shared();
    shared.apply_view(view(Availability::Ready, 1));
    let (worker, silent) = (key(&shared), Rc::new(StalledWorkers::default()));
    let waiting: Vec<_> = (0..2)
        .map(|_| {
            let silent = silent.clone();
            spawn_local(async move { silent.wait_for(worker).await })
        })
        .collect();
    yield_now().await;
    silent.replace(Vec::new());
    yield_now().await;
    silent.replace(vec![worker]);
    for one in waiting {
        one.await.expect("it hears of it");
    }
}

#[test]
fn a_silent_worker_is_heard_of_in_all_interleavings() {
    in_all_interleavings(silence_is_heard_of);
}

/// Tasks wait for the phases of an end, which begins from two sides.
async fn phases_are_reached() {
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
    let begun = shutdown.clone();
    let beginning = spawn_local(async move { begun.begin() });
    yield_now().await;
    shutdown.advance(Phase::Closing);
    beginning.await.expect("no panic");
    for one in waiting {
        one.await.expect("it hears of it");
    }
    assert_eq!(shutdown.phase(), Phase::Closing, "a late begin takes nothing back");
    assert!(order.borrow().iter().all(|(awaited, present)| present >= awaited));
}

#[test]
fn phases_of_the_end_are_heard_of_in_all_interleavings() {
    in_all_interleavings(phases_are_reached);
}

/// The planted fault: the same wait with a gap between the look and the wait, in which another task may run.
#[derive(Default)]
struct WithAGap {
    workers: RefCell<HashSet<u32>>,
    changed: Notify,
}

impl WithAGap {
    async fn wait_for(&self, worker: u32) {
        while !self.workers.borrow().contains(&worker) {
            yield_now().await;
            self.changed.notified().await;
        }
    }
}

#[test]
fn planted_gap_between_look_and_wait_is_noticed() {
    let run = || {
        in_all_interleavings(|| async {
            let silent = Rc::new(WithAGap::default());
            let waiting = {
                let silent = silent.clone();
                spawn_local(async move { silent.wait_for(1).await })
            };
            yield_now().await;
            silent.workers.borrow_mut().insert(1);
            silent.changed.notify_waiters();
            waiting.await.expect("it hears of it");
        });
    };
    assert!(catch_unwind(run).is_err());
}
