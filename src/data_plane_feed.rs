//! Feeds the data plane from the agent beside it.

#[cfg(test)]
mod tests;
mod worker_views;

pub use self::worker_views::{worker_view, WorkerViews};
use crate::data_plane::{
    self, now_ms, DataPlane, ExpectedLoads, Feedback, ModelKey, PeerLoads, PeerRouteLoad, ShutdownHandle,
    View,
};
use crate::site_settings::SiteSettings;
use crate::system::connection::{self, LinkKind};
use crate::system::essential_tasks::EssentialTasks;
use crate::system::incoming::incoming_memory;
use crate::system::memory_budget::MemoryBudget;
use crate::system::outgoing::{self, Outgoing};
use crate::system::stop::Stop;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use switchhill_distribution::{FeedState, LoadDeltaEncoder, LoadTable};
use switchhill_protocol::{
    Downstream, Expectation, Missing, ModelDemand, RouteAdmission, Summary, Unreachable, Upstream,
    UpstreamBody, WorkerLoad,
};
use tokio::sync::{mpsc, watch};

/// Time for a connection to the agent to come up.
const CONNECT_WITHIN: Duration = Duration::from_millis(300);

/// Pause before the agent is tried again.
const RECONNECT_AFTER: Duration = Duration::from_millis(50);

/// Time between two rounds of forgetting what ended long ago.
const FORGET_EVERY: Duration = Duration::from_secs(5);

/// Time in milliseconds after which an expected load that has not come is forgotten.
const EXPECTED_FOR_MS: u64 = 2_000;

/// Runs the data plane and its feed until the process has stopped.
///
/// # Errors
/// A listener cannot be opened, the settings name no address for clients, or an essential task has panicked.
pub async fn run(settings: SiteSettings, mut stop: Stop) -> anyhow::Result<()> {
    let (views, received_views) = watch::channel(Arc::new(View::default()));
    let (feedback, received_feedback) = mpsc::unbounded_channel();
    let agent = settings.feed_address();
    let feed = Feed::new(&settings, views);
    let mut tasks = EssentialTasks::default();
    tasks.spawn_local("feed", feed.run(agent, received_feedback));
    let data_plane = tokio::select! {
        biased;
        bound = DataPlane::bind(settings) => bound?,
        () = stop.told_to_end() => return Ok(()),
    };
    tasks.spawn_local("signals", end_when_told(stop, data_plane.shutdown_handle()));
    tokio::select! {
        served = data_plane.serve(received_views, feedback) => served,
        failed = tasks.failed() => Err(failed.into()),
    }
}

/// Begins the end of the data plane. The signal may have come before the data plane was there.
async fn end_when_told(mut stop: Stop, shutdown: ShutdownHandle) {
    stop.told_to_end().await;
    shutdown.begin();
}

/// What the agent told, and what the data plane is given of it.
struct Feed {
    /// Name of this machine.
    node: String,
    feed: FeedState,
    workers: WorkerViews,
    loads: Option<Arc<PeerLoads>>,
    expected: Arc<ExpectedLoads>,
    /// Load and demand of this data plane at its last summary.
    own: LoadTable,
    /// What the agent was told of them on this connection, if anything.
    told: Option<LoadDeltaEncoder>,
    views: watch::Sender<Arc<View>>,
    /// Memory for messages that are being read.
    memory: MemoryBudget,
}

impl Feed {
    fn new(settings: &SiteSettings, views: watch::Sender<Arc<View>>) -> Feed {
        Feed {
            node: settings.node_name.clone(),
            feed: FeedState::new(&settings.node_name, &settings.zone),
            workers: WorkerViews::default(),
            loads: None,
            expected: Arc::default(),
            own: LoadTable::default(),
            told: None,
            views,
            memory: incoming_memory(settings.limits.memory_mb),
        }
    }

    async fn run(mut self, agent: SocketAddr, mut feedback: mpsc::UnboundedReceiver<Feedback>) {
        loop {
            match connection::connect_from(agent.ip(), agent, LinkKind::Subscriber, CONNECT_WITHIN).await {
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
        let (sender, waiting) = outgoing::queue::<Upstream>();
        let (received, mut messages) = mpsc::unbounded_channel::<Downstream>();
        let memory = self.memory.clone();
        let exchange =
            connection::exchange(stream, waiting, &memory, |message| received.send(message).is_ok());
        tokio::pin!(exchange);
        let mut forget = tokio::time::interval(FORGET_EVERY);
        sender.send(&self.feed.hello());
        self.told = None;
        loop {
            tokio::select! {
                ended = &mut exchange => {
                    log::debug!("the agent's connection ended: {ended}");
                    return;
                }
                Some(message) = messages.recv() => self.take_all(message, &mut messages, &sender),
                Some(told) = feedback.recv() => {
                    sender.send(&self.feedback(told));
                }
                _ = forget.tick() => {
                    self.feed.tick(now_ms());
                    self.workers.forget(self.feed.state());
                    self.forget_expected(now_ms());
                    self.publish();
                }
            }
        }
    }

    /// Takes a message and those that came after it and wait; the data plane is told of all of them together.
    fn take_all(
        &mut self,
        first: Downstream,
        waiting: &mut mpsc::UnboundedReceiver<Downstream>,
        sender: &Outgoing<Upstream>,
    ) {
        self.message(first, sender);
        while let Ok(message) = waiting.try_recv() {
            self.message(message, sender);
        }
        self.publish();
    }

    fn message(&mut self, message: Downstream, sender: &Outgoing<Upstream>) {
        let now = now_ms();
        let received = self.feed.receive(now, message);
        for answer in received.answers {
            sender.send(&answer);
        }
        for worker in &received.workers {
            self.workers.update(worker, self.feed.state());
        }
        if let Some(expectation) = received.expectation {
            self.expect(now, expectation);
        }
        if received.loads {
            self.loads = Some(Arc::new(self.loads_elsewhere(now)));
        }
    }

    /// Notes when a missing model should stand.
    fn expect(&mut self, now: u64, told: Expectation) {
        let adapter = Some(told.adapter).filter(|adapter| !adapter.is_empty());
        let key = ModelKey { service: told.service, model: told.model, adapter };
        let ready_at = told.ready_in_ms.map(|ready_in_ms| now.saturating_add(ready_in_ms));
        if self.expected.differs_significantly(&key, ready_at) {
            Arc::make_mut(&mut self.expected).set(Arc::new(key), ready_at);
        }
    }

    fn forget_expected(&mut self, now: u64) {
        let oldest = now.saturating_sub(EXPECTED_FOR_MS);
        if self.expected.has_entry_before(oldest) {
            Arc::make_mut(&mut self.expected).remove_before(oldest);
        }
    }

    /// Tells the data plane what has changed, if anything has.
    fn publish(&mut self) {
        let view = View {
            document: self.feed.state().document().cloned(),
            workers: self.workers.list(),
            loads: self.loads.clone(),
            expected_loads: self.expected.clone(),
            gatekeepers: self.feed.gatekeepers(),
            confirmed: self.feed.state().confirmed(),
        };
        self.views.send_if_modified(|held| {
            let differs = !held.shares_all_with(&view);
            if differs {
                *held = Arc::new(view);
            }
            differs
        });
    }

    /// The load over the fleet without what this data plane last told.
    fn loads_elsewhere(&self, now: u64) -> PeerLoads {
        let loads = self.feed.loads();
        let others = |(worker, total): (&String, &u32)| {
            let own = self.own.loads.get(worker).copied().unwrap_or(0);
            (worker.clone(), total.saturating_sub(own))
        };
        PeerLoads {
            received_at: now,
            requests: loads.loads.iter().map(others).collect(),
            routes: self.routes_elsewhere(&loads.admission),
        }
    }

    fn routes_elsewhere(&self, totals: &BTreeMap<String, RouteAdmission>) -> Vec<PeerRouteLoad> {
        let others = |total: &RouteAdmission| {
            let own = self.own.admission.get(&total.route).cloned().unwrap_or_default();
            let summary = switchhill_admission::Summary {
                admitted_per_s: (total.admitted_per_s - own.admitted_per_s).max(0.0),
                delay_cost_per_s: (total.delay_cost_per_s - own.delay_cost_per_s).max(0.0),
            };
            PeerRouteLoad { route: total.route.clone(), summary }
        };
        totals.values().map(others).collect()
    }

    fn feedback(&mut self, told: Feedback) -> Upstream {
        let body = match told {
            Feedback::Missing { service, model, adapter, waiting, target_latency_ms } => {
                let adapter = adapter.unwrap_or_default();
                UpstreamBody::Missing(Missing { service, model, adapter, waiting, aim_ms: target_latency_ms })
            }
            Feedback::Unreachable { worker, refused } => {
                UpstreamBody::Unreachable(Unreachable { node: self.node.clone(), worker, refused })
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
        let demand = told.demand.iter().filter_map(model_demand);
        let whole = Summary {
            loads: loads.collect(),
            demand: demand.collect(),
            admission: routes.collect(),
            delta: false,
        };
        self.own.apply(&whole);
        match &mut self.told {
            Some(told) => told.delta_summary(&self.own),
            None => self.told.insert(LoadDeltaEncoder::default()).full_summary(&self.own),
        }
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
        aim_ms: demand.target_latency_ms,
        outstanding: demand.outstanding,
    })
}
