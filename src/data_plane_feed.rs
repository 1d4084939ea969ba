//! Feeds the data plane from the agent beside it.

use crate::data_plane::{self, now_ms, Feedback, RouteElsewhere, View};
use crate::site_settings::SiteSettings;
use crate::system::connection::{self, LinkKind};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use switchhill_distribution::FeedState;
use switchhill_protocol::{
    Downstream, Loads, Missing, ModelDemand, RouteAdmission, Summary, Upstream, UpstreamBody, WorkerLoad,
};
use switchhill_registration::{Worker, WorkerState};
use switchhill_routing::{Availability, ResidentModel, WorkerView};
use tokio::sync::{mpsc, watch};

/// Time for a connection to the agent to come up.
const CONNECT_WITHIN: Duration = Duration::from_millis(300);

/// Pause before the agent is tried again.
const RECONNECT_AFTER: Duration = Duration::from_millis(50);

/// Time between two rounds of forgetting what ended long ago.
const FORGET_EVERY: Duration = Duration::from_secs(5);

/// Runs the data plane and its feed until the process has stopped.
pub async fn run(settings: SiteSettings) -> anyhow::Result<()> {
    let (views, received_views) = watch::channel(Arc::new(View::default()));
    let (feedback, received_feedback) = mpsc::unbounded_channel();
    let agent = SocketAddr::from((Ipv4Addr::LOCALHOST, settings.feed_port())).to_string();
    let feed = Feed::new(&settings, views);
    tokio::task::spawn_local(feed.run(agent, received_feedback));
    data_plane::run(settings, received_views, feedback).await
}

/// What the agent told, and what the data plane is given of it.
struct Feed {
    feed: FeedState,
    loads: HashMap<String, u32>,
    loads_told_at: u64,
    /// Requests out at workers as this data plane last told.
    own_loads: HashMap<String, u32>,
    admission: Vec<RouteAdmission>,
    own_admission: BTreeMap<String, RouteAdmission>,
    views: watch::Sender<Arc<View>>,
}

impl Feed {
    fn new(settings: &SiteSettings, views: watch::Sender<Arc<View>>) -> Feed {
        Feed {
            feed: FeedState::new(&settings.node_name, &settings.zone),
            loads: HashMap::new(),
            loads_told_at: 0,
            own_loads: HashMap::new(),
            admission: Vec::new(),
            own_admission: BTreeMap::new(),
            views,
        }
    }

    async fn run(mut self, agent: String, mut feedback: mpsc::UnboundedReceiver<Feedback>) {
        loop {
            match connection::connect(&agent, LinkKind::Subscriber, CONNECT_WITHIN).await {
                Ok(stream) => self.exchange(stream, &mut feedback).await,
                Err(error) => log::debug!("the agent at {agent}: {error}"),
            }
            while feedback.try_recv().is_ok() {}
            tokio::time::sleep(RECONNECT_AFTER).await;
        }
    }

    /// Speaks with the agent until the connection ends.
    async fn exchange(
        &mut self,
        stream: tokio::net::TcpStream,
        feedback: &mut mpsc::UnboundedReceiver<Feedback>,
    ) {
        let (sender, queue) = mpsc::unbounded_channel::<Upstream>();
        let (received, mut messages) = mpsc::unbounded_channel::<Downstream>();
        let exchange = connection::exchange(stream, queue, |message| received.send(message).is_ok());
        tokio::pin!(exchange);
        let mut forget = tokio::time::interval(FORGET_EVERY);
        let _ = sender.send(self.feed.hello());
        loop {
            tokio::select! {
                ended = &mut exchange => {
                    log::debug!("the agent's connection ended: {ended}");
                    return;
                }
                Some(message) = messages.recv() => self.message(message, &sender),
                Some(told) = feedback.recv() => {
                    let _ = sender.send(self.feedback(told));
                }
                _ = forget.tick() => self.feed.tick(now_ms()),
            }
        }
    }

    fn message(&mut self, message: Downstream, sender: &mpsc::UnboundedSender<Upstream>) {
        let now = now_ms();
        let received = self.feed.receive(now, message);
        for answer in received.answers {
            let _ = sender.send(answer);
        }
        if let Some(loads) = received.loads {
            self.take_loads(now, loads);
        }
        self.publish();
    }

    fn take_loads(&mut self, now: u64, loads: Loads) {
        self.loads = loads.loads.into_iter().map(|load| (load.worker, load.outstanding)).collect();
        self.loads_told_at = now;
        self.admission = loads.admission;
    }

    fn publish(&self) {
        let view = View {
            document: self.feed.state().document().cloned(),
            workers: self.feed.state().workers().iter().map(|worker| self.worker_view(worker)).collect(),
            gatekeepers: self.feed.gatekeepers(),
            elsewhere: self.elsewhere(),
            confirmed: self.feed.state().confirmed(),
        };
        self.views.send_replace(Arc::new(view));
    }

    fn worker_view(&self, worker: &Worker) -> WorkerView {
        let state = match worker.state {
            WorkerState::Gone => Availability::Gone,
            WorkerState::Draining { .. } => Availability::Draining,
            WorkerState::Ready if worker.suspected => Availability::Suspected,
            WorkerState::Ready => Availability::Ready,
        };
        let total = self.loads.get(&worker.id).copied().unwrap_or(0);
        let own = self.own_loads.get(&worker.id).copied().unwrap_or(0);
        WorkerView {
            id: worker.id.clone(),
            service: worker.service.clone(),
            address: worker.address.clone(),
            zone: worker.zone.clone(),
            slots: worker.slots,
            state,
            cold_remaining_ms: worker.cold_remaining_ms,
            models: self.models(worker),
            load_elsewhere: total.saturating_sub(own),
            load_told_at: self.loads_told_at,
        }
    }

    /// What a worker holds: as its placer knows, else as it said itself.
    fn models(&self, worker: &Worker) -> Vec<ResidentModel> {
        if let Some(residency) = self.feed.state().residency().get(&worker.id) {
            let model = |model: &switchhill_protocol::ResidentModel| ResidentModel {
                name: model.name.clone(),
                adapters: model.adapters.clone(),
            };
            return residency.models.iter().map(model).collect();
        }
        let model = |model: &switchhill_registration::ResidentModel| ResidentModel {
            name: model.name.clone(),
            adapters: model.adapters.clone(),
        };
        worker.models.iter().map(model).collect()
    }

    fn elsewhere(&self) -> Vec<RouteElsewhere> {
        let others = |total: &RouteAdmission| {
            let own = self.own_admission.get(&total.route).cloned().unwrap_or_default();
            let summary = switchhill_admission::Summary {
                admitted_per_s: (total.admitted_per_s - own.admitted_per_s).max(0.0),
                delay_cost_per_s: (total.delay_cost_per_s - own.delay_cost_per_s).max(0.0),
            };
            RouteElsewhere { route: total.route.clone(), summary }
        };
        self.admission.iter().map(others).collect()
    }

    fn feedback(&mut self, told: Feedback) -> Upstream {
        let body = match told {
            Feedback::Missing { service, model, adapter, waiting, aim_ms } => {
                let adapter = adapter.unwrap_or_default();
                UpstreamBody::Missing(Missing { service, model, adapter, waiting, aim_ms })
            }
            Feedback::Summary(summary) => UpstreamBody::Summary(self.summary(summary)),
        };
        Upstream { body: Some(body) }
    }

    fn summary(&mut self, told: data_plane::Summary) -> Summary {
        let loads = told.outstanding.iter();
        let loads = loads.map(|load| WorkerLoad { worker: load.worker.clone(), outstanding: load.requests });
        let routes = told.routes.iter().map(|route| RouteAdmission {
            route: route.route.clone(),
            admitted_per_s: route.admitted_per_s,
            delay_cost_per_s: route.delay_cost_per_s,
        });
        let admission: Vec<RouteAdmission> = routes.collect();
        self.own_loads = told.outstanding.iter().map(|load| (load.worker.clone(), load.requests)).collect();
        self.own_admission = admission.iter().map(|route| (route.route.clone(), route.clone())).collect();
        let demand = told.demand.iter().filter_map(model_demand);
        Summary { loads: loads.collect(), demand: demand.collect(), admission }
    }
}

fn model_demand(demand: &data_plane::ModelDemand) -> Option<ModelDemand> {
    let model = demand.model.clone()?;
    Some(ModelDemand {
        service: demand.service.clone(),
        model,
        adapter: demand.adapter.clone().unwrap_or_default(),
        requests_per_s: demand.requests_per_s,
        tokens_per_s: demand.tokens_per_s,
        aim_ms: demand.aim_ms,
        outstanding: demand.outstanding,
    })
}
