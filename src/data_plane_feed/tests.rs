//! The descriptions kept up to date worker by worker are those made of the whole state.

use super::worker_views::{worker_view, WorkerViews};
use super::Feed;
use crate::data_plane::View;
use crate::system::outgoing::{self, Outgoing};
use googletest::prelude::*;
use std::sync::Arc;
use switchhill_distribution::FeedState;
use switchhill_protocol::{
    Downstream, DownstreamBody, Loads, Residency, ResidentModel, Status, WorkerLoad, Workers,
};
use switchhill_registration::{Worker, WorkerState};
use switchhill_routing::{Router, RouterSettings, WorkerView};
use tokio::sync::{mpsc, watch};

const WORKERS: u64 = 12;

fn worker(random: &mut fastrand::Rng, number: u64) -> Worker {
    Worker {
        id: format!("worker-{number}"),
        sequence: random.u64(1..40),
        service: format!("service-{}", number % 2),
        address: format!("10.0.0.{}:80", random.u64(0..30)),
        zone: "here".to_owned(),
        slots: random.u32(1..4),
        state: match random.u32(0..6) {
            0 => WorkerState::Draining { remaining_ms: Some(random.u64(0..900)) },
            1 => WorkerState::Gone,
            _ => WorkerState::Ready,
        },
        cold_remaining_ms: random.u64(0..3),
        suspected: random.u32(0..5) == 0,
        ..Worker::default()
    }
}

fn entries(random: &mut fastrand::Rng) -> DownstreamBody {
    let whole = random.u32(0..4) == 0;
    let count = if whole { WORKERS } else { random.u64(1..4) };
    let numbers = (0..count).map(|number| if whole { number } else { random.u64(0..WORKERS) });
    let numbers: Vec<u64> = numbers.collect();
    let entries = numbers.into_iter().filter(|_| random.u32(0..5) > 0).collect::<Vec<u64>>();
    let entries = entries.into_iter().map(|number| worker(random, number).to_bytes());
    DownstreamBody::Workers(Workers { entries: entries.collect(), whole })
}

fn residency(random: &mut fastrand::Rng) -> DownstreamBody {
    let model =
        |number: u64| ResidentModel { name: format!("model-{number}"), adapters: vec!["a".to_owned()] };
    DownstreamBody::Residency(Residency {
        worker: format!("worker-{}", random.u64(0..WORKERS + 2)),
        epoch: random.u64(1..3),
        version: random.u64(1..50),
        models: (0..random.u64(0..3)).map(model).collect(),
    })
}

fn status(random: &mut fastrand::Rng) -> DownstreamBody {
    DownstreamBody::Status(Status { quorum: random.bool(), warm: random.bool(), ..Status::default() })
}

fn message(random: &mut fastrand::Rng) -> Downstream {
    let body = match random.u32(0..6) {
        0 => status(random),
        1 | 2 => residency(random),
        _ => entries(random),
    };
    Downstream { body: Some(body) }
}

fn whole(feed: &FeedState) -> Vec<WorkerView> {
    feed.state().workers().iter().map(|worker| worker_view(worker, feed.state())).collect()
}

fn held(views: &mut WorkerViews) -> Vec<WorkerView> {
    views.list().iter().map(|view| WorkerView::clone(view)).collect()
}

#[gtest]
fn views_kept_up_to_date_are_those_built_whole() {
    for seed in 0..200 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut feed = FeedState::new("edge", "here");
        let mut views = WorkerViews::default();
        let mut now = 0;
        for step in 0..80 {
            now += random.u64(1..2_000);
            let received = feed.receive(now, message(&mut random));
            received.workers.iter().for_each(|worker| views.update(worker, feed.state()));
            if random.u32(0..8) == 0 {
                now += random.u64(0..70_000);
                feed.tick(now);
                views.forget(feed.state());
            }
            expect_that!(held(&mut views), eq(&whole(&feed)), "seed {seed}, step {step}");
        }
    }
}

#[gtest]
fn a_router_told_of_changes_is_as_one_told_all() {
    for seed in 0..100 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut feed = FeedState::new("edge", "here");
        let mut views = WorkerViews::default();
        let settings = || RouterSettings::for_zone("here");
        let (mut incremental, mut replaced) = (Router::new(settings(), 1), Router::new(settings(), 1));
        let mut now = 0;
        for step in 0..60 {
            now += random.u64(1..2_000);
            let received = feed.receive(now, message(&mut random));
            received.workers.iter().for_each(|worker| views.update(worker, feed.state()));
            feed.tick(now);
            views.forget(feed.state());
            incremental.set_shared_workers(now, &views.list());
            replaced.set_workers(now, whole(&feed));
            expect_that!(sorted(&incremental), eq(&sorted(&replaced)), "seed {seed}, step {step}");
        }
    }
}

fn sorted(router: &Router) -> Vec<WorkerView> {
    let mut views: Vec<WorkerView> = router.workers().map(|(view, _)| view.clone()).collect();
    views.sort_by(|one, other| one.id.cmp(&other.id));
    views
}

/// A feed, and the views that it tells.
struct Told {
    feed: Feed,
    views: watch::Receiver<Arc<View>>,
    sender: Outgoing<switchhill_protocol::Upstream>,
}

impl Told {
    fn new() -> Told {
        let settings = serde_json::json!({
            "nodeName": "edge-1", "ip": "127.0.0.1", "zone": "here", "portRange": [7660, 7675],
            "bind": {"http": "127.0.0.1:0", "readiness": "127.0.0.1:0"},
        });
        let settings = serde_json::from_value(settings).expect("settings");
        let (sender, views) = watch::channel(Arc::new(View::default()));
        Told { feed: Feed::new(&settings, sender), views, sender: outgoing::queue().0 }
    }

    /// The view that is told after a message, if a new one is.
    fn after(&mut self, body: DownstreamBody) -> Option<Arc<View>> {
        self.views.mark_unchanged();
        self.feed.message(Downstream { body: Some(body) }, &self.sender);
        self.feed.publish();
        let changed = self.views.has_changed().expect("the feed has gone");
        changed.then(|| self.views.borrow_and_update().clone())
    }
}

fn entry(number: u64, sequence: u64, state: WorkerState) -> Worker {
    Worker { id: format!("worker-{number}"), sequence, state, slots: 2, ..Worker::default() }
}

fn told(workers: &[Worker], whole: bool) -> DownstreamBody {
    DownstreamBody::Workers(Workers { entries: workers.iter().map(Worker::to_bytes).collect(), whole })
}

#[gtest]
fn a_drain_is_told_at_once_and_the_other_workers_are_shared() {
    let mut feed = Told::new();
    let ready: Vec<Worker> = (0..3).map(|number| entry(number, 1, WorkerState::Ready)).collect();
    let before = feed.after(told(&ready, true)).expect("a first view");
    let drained = entry(1, 2, WorkerState::Draining { remaining_ms: None });
    let after = feed.after(told(&[drained], false)).expect("a view with the drain");
    expect_that!(after.workers[1].state, eq(switchhill_routing::Availability::Draining));
    expect_true!(Arc::ptr_eq(&before.workers[0], &after.workers[0]));
    expect_true!(Arc::ptr_eq(&before.workers[2], &after.workers[2]));
}

#[gtest]
fn what_changes_nothing_tells_no_view() {
    let mut feed = Told::new();
    let ready = [entry(0, 1, WorkerState::Ready)];
    expect_that!(feed.after(told(&ready, true)), some(anything()));
    expect_that!(feed.after(told(&ready, true)), none());
    expect_that!(feed.after(DownstreamBody::Status(Status::default())), none());
}

#[gtest]
fn loads_leave_the_workers_as_they_are() {
    let mut feed = Told::new();
    let before = feed.after(told(&[entry(0, 1, WorkerState::Ready)], true)).expect("a first view");
    let loads = vec![WorkerLoad { worker: "worker-0".to_owned(), outstanding: 7 }];
    let after = feed.after(DownstreamBody::Loads(Loads { loads, ..Loads::default() })).expect("loads");
    expect_true!(Arc::ptr_eq(&before.workers, &after.workers));
    let requests = after.loads.as_ref().map(|loads| loads.requests.clone()).unwrap_or_default();
    expect_that!(requests.get("worker-0"), some(eq(&7)));
}

#[gtest]
fn a_drain_behind_what_all_workers_hold_is_told_with_it() {
    // A new placer tells anew what each of 90 workers holds; the drain of one comes behind.
    let mut feed = Told::new();
    let ready: Vec<Worker> = (0..90).map(|number| entry(number, 1, WorkerState::Ready)).collect();
    feed.after(told(&ready, true)).expect("a first view");
    let (queue, mut waiting) = mpsc::unbounded_channel();
    let residency = |number: u64| Residency {
        worker: format!("worker-{number}"),
        epoch: 2,
        version: number,
        models: vec![ResidentModel { name: "m".to_owned(), adapters: Vec::new() }],
    };
    let messages = (0..90).map(|number| DownstreamBody::Residency(residency(number)));
    let drained = entry(30, 2, WorkerState::Draining { remaining_ms: None });
    for body in messages.chain([told(&[drained], false)]) {
        queue.send(Downstream { body: Some(body) }).expect("a queue");
    }
    let first = waiting.try_recv().expect("a first message");
    feed.views.mark_unchanged();
    feed.feed.take_all(first, &mut waiting, &feed.sender);
    let view = feed.views.borrow_and_update().clone();
    let drained = view.workers.iter().find(|worker| worker.id == "worker-30").expect("the worker");
    expect_that!(drained.state, eq(switchhill_routing::Availability::Draining));
    expect_that!(view.workers.iter().filter(|worker| worker.holds("m", None)).count(), eq(90));
    expect_true!(waiting.try_recv().is_err());
    expect_false!(feed.views.has_changed().expect("the feed has gone"));
}
