//! Hollow data planes: what the agent feeds, the router's view of it, and the load that is told.

use super::site::{model_name, SERVICE};
use super::worker::MODELS_OF_EACH;
use super::Sizes;
use std::collections::{BTreeMap, HashMap};
use switchhill::data_plane_feed::WorkerViews;
use switchhill_distribution::{FeedState, LoadDeltaEncoder, LoadTable};
use switchhill_protocol::{Downstream, ModelDemand, RouteAdmission, Summary, Upstream, WorkerLoad};
use switchhill_registration::{Worker, WorkerState};
use switchhill_routing::{Availability, ResidentModel, Router, RouterSettings, WorkerView};

/// Requests out at a worker at the peak: 3,000 a second of some 430 tokens, 29 ms each, over 940 workers.
const REQUESTS_A_WORKER: usize = 40;
/// Routes with traffic at one gatekeeper.
const ACTIVE_ROUTES: usize = 40;
/// Requests that end, and begin, between two summaries, as a share of those out: 0.3 s of 12.6 s.
const RENEWED: f64 = 0.3 / 12.6;
/// How steeply popularity falls: the power of a uniform number that gives a model's rank.
const SKEW: i32 = 4;

/// A running request.
#[derive(Clone, Copy)]
struct Request {
    worker: usize,
    model: usize,
    adapter: Option<u32>,
}

/// The requests of one gatekeeper.
pub(super) struct Traffic {
    sizes: Sizes,
    requests: Vec<Request>,
    random: fastrand::Rng,
    /// Load and demand at the last summary, and what the agent was told of them.
    present: LoadTable,
    told: Option<LoadDeltaEncoder>,
}

impl Traffic {
    /// The steady traffic of one gatekeeper.
    pub(super) fn new(sizes: Sizes, seed: u64) -> Traffic {
        let mut random = fastrand::Rng::with_seed(seed);
        let count = (REQUESTS_A_WORKER * sizes.workers).div_ceil(sizes.gatekeepers);
        let requests = (0..count).map(|_| draw(&mut random, sizes)).collect();
        Traffic { sizes, requests, random, present: LoadTable::default(), told: None }
    }

    /// Load and demand at the last summary.
    pub(super) fn present(&self) -> &LoadTable {
        &self.present
    }

    /// Some requests end and others begin; the load and demand of all.
    pub(super) fn summary(&mut self, worker_id: impl Fn(usize) -> String) -> Summary {
        for request in &mut self.requests {
            if self.random.f64() < RENEWED {
                *request = draw(&mut self.random, self.sizes);
            }
        }
        let mut loads: BTreeMap<usize, u32> = BTreeMap::new();
        let mut demand: BTreeMap<(usize, Option<u32>), u32> = BTreeMap::new();
        for request in &self.requests {
            *loads.entry(request.worker).or_default() += 1;
            *demand.entry((request.model, request.adapter)).or_default() += 1;
        }
        let loads = loads.into_iter();
        let loads = loads.map(|(worker, outstanding)| WorkerLoad { worker: worker_id(worker), outstanding });
        let demand = demand.into_iter().map(model_demand);
        let admission = (0..ACTIVE_ROUTES).map(|route| RouteAdmission {
            route: format!("route-{route}"),
            admitted_per_s: 0.2,
            delay_cost_per_s: 0.1,
        });
        let whole = Summary {
            loads: loads.collect(),
            demand: demand.collect(),
            admission: admission.collect(),
            delta: false,
        };
        self.present.apply(&whole);
        match &mut self.told {
            Some(told) => told.delta_summary(&self.present),
            None => self.told.insert(LoadDeltaEncoder::default()).full_summary(&self.present),
        }
    }
}

fn draw(random: &mut fastrand::Rng, sizes: Sizes) -> Request {
    let rank = (random.f64().powi(SKEW) * sizes.models as f64) as usize;
    let holders = (sizes.workers * MODELS_OF_EACH).div_ceil(sizes.models).max(1);
    let copy = random.usize(0..holders) * sizes.models;
    let worker = (rank + copy) / MODELS_OF_EACH % sizes.workers;
    Request { worker, model: rank, adapter: random.bool().then(|| random.u32(1..=2)) }
}

fn model_demand(((model, adapter), outstanding): ((usize, Option<u32>), u32)) -> ModelDemand {
    ModelDemand {
        service: SERVICE.to_owned(),
        model: model_name(model),
        adapter: adapter.map(|number| format!("a{number}")).unwrap_or_default(),
        requests_per_s: f64::from(outstanding) / 12.6,
        tokens_per_s: f64::from(outstanding) * 34.0,
        aim_ms: 540,
        outstanding,
    }
}

/// A data plane without requests.
pub(super) struct DataPlane {
    feed: FeedState,
    router: Router,
    workers: WorkerViews,
    loads: Option<(u64, HashMap<String, u32>)>,
}

impl DataPlane {
    /// A data plane that knows nothing.
    pub(super) fn new(seed: u64) -> DataPlane {
        DataPlane {
            feed: FeedState::new("edge", "zone-0"),
            router: Router::new(RouterSettings::for_zone("zone-0"), seed),
            workers: WorkerViews::default(),
            loads: None,
        }
    }

    /// Revision of the configuration that it holds.
    pub(super) fn revision(&self) -> u64 {
        self.feed.state().revision()
    }

    /// Load over the fleet as it was told.
    pub(super) fn loads(&self) -> &LoadTable {
        self.feed.loads()
    }

    /// Whether its router no longer sends to a worker.
    pub(super) fn has_left(&self, now: u64, worker: &str) -> bool {
        self.router.key(worker).is_none_or(|key| !self.router.may_send(now, key))
    }

    /// Takes in a message.
    pub(super) fn receive(&mut self, now: u64, message: Downstream) -> Vec<Upstream> {
        let received = self.feed.receive(now, message);
        for worker in &received.workers {
            self.workers.update(worker, self.feed.state());
        }
        if received.loads {
            let loads = self.feed.loads().loads.iter();
            self.loads = Some((now, loads.map(|(worker, requests)| (worker.clone(), *requests)).collect()));
        }
        received.answers
    }

    /// Hands the router what has changed, as the real one does after each message.
    pub(super) fn take_view(&mut self, now: u64) {
        self.router.set_shared_workers(now, &self.workers.list());
        if let Some((told_at, loads)) = self.loads.take() {
            self.router.set_peer_loads(told_at, &loads);
        }
    }
}

/// The router's view of a worker.
pub(super) fn view(worker: &Worker, peer_load: u32, now: u64) -> WorkerView {
    let state = match worker.state {
        WorkerState::Gone => Availability::Gone,
        WorkerState::Draining { .. } => Availability::Draining,
        WorkerState::Ready if worker.suspected => Availability::Suspected,
        WorkerState::Ready => Availability::Ready,
    };
    let model = |held: &switchhill_registration::ResidentModel| ResidentModel {
        name: held.name.clone(),
        adapters: held.adapters.clone(),
    };
    WorkerView {
        id: worker.id.clone(),
        service: worker.service.clone(),
        address: worker.address.clone(),
        zone: worker.zone.clone(),
        slots: worker.slots,
        state,
        cold_remaining_ms: worker.cold_remaining_ms,
        models: worker.models.iter().map(model).collect(),
        peer_load,
        peer_load_at: now,
    }
}
