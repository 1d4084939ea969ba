//! A data plane between a client and stand-in workers, all on loopback and on one thread.

#![allow(dead_code)]

pub mod client;
pub mod worker;

use serde_json::{json, Value};
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use switchhill::data_plane::{DataPlane, ExpectedLoads, Feedback, ShutdownHandle, View};
use switchhill::site_settings::SiteSettings;
use switchhill_configuration::Document;
use switchhill_routing::{Availability, ResidentModel, WorkerView};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet};
use worker::StandInWorker;

/// Longest time that anything awaited in a test may take.
const BOUND: Duration = Duration::from_secs(10);

pub const HOST: &str = "shop.example";

/// Runs a test on one thread.
pub fn on_one_thread<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    runtime.block_on(LocalSet::new().run_until(within(test)))
}

/// What comes in time.
pub async fn within<T>(awaited: impl Future<Output = T>) -> T {
    tokio::time::timeout(BOUND, awaited).await.expect("it took too long")
}

/// A running data plane.
pub struct Rig {
    pub address: SocketAddr,
    pub readiness: SocketAddr,
    pub shutdown: ShutdownHandle,
    pub feedback: mpsc::UnboundedReceiver<Feedback>,
    pub ended: JoinHandle<anyhow::Result<()>>,
    views: watch::Sender<Arc<View>>,
}

impl Rig {
    /// Starts one that knows nothing.
    pub fn start() -> Rig {
        let data_plane = DataPlane::bind(settings()).expect("bind");
        let (views, taken) = watch::channel(Arc::new(View::default()));
        let (tell, feedback) = mpsc::unbounded_channel();
        Rig {
            address: data_plane.http_address().expect("address"),
            readiness: data_plane.readiness_address().expect("readiness address"),
            shutdown: data_plane.shutdown_handle(),
            ended: tokio::task::spawn_local(data_plane.serve(taken, tell)),
            feedback,
            views,
        }
    }

    /// Starts one with a configuration of these routes and with these workers.
    pub fn with(routes: Value, workers: &[&StandInWorker]) -> Rig {
        let rig = Rig::start();
        rig.tell(routes, workers.iter().map(|worker| worker.view()).collect());
        rig
    }

    /// Tells a new view.
    pub fn tell(&self, routes: Value, workers: Vec<WorkerView>) {
        self.tell_expecting(routes, workers, ExpectedLoads::default());
    }

    /// Tells a new view, and when missing models should stand.
    pub fn tell_expecting(&self, routes: Value, workers: Vec<WorkerView>, expected: ExpectedLoads) {
        let view = View {
            document: Some(Arc::new(document(routes))),
            workers: workers.into_iter().map(Arc::new).collect(),
            loads: None,
            expected_loads: Arc::new(expected),
            gatekeepers: 1,
            confirmed: true,
        };
        self.views.send(Arc::new(view)).expect("the data plane has ended");
    }

    /// Tells when missing models should stand, and nothing else.
    #[allow(dead_code, reason = "each test program has its own copy of this module")]
    pub fn tell_expected(&self, expected: ExpectedLoads) {
        let held = View::clone(&self.views.borrow());
        self.tell_view(View { expected_loads: Arc::new(expected), ..held });
    }

    /// Tells a view as it is.
    pub fn tell_view(&self, view: View) {
        self.views.send(Arc::new(view)).expect("the data plane has ended");
    }

    /// The next report of a missing model.
    pub async fn next_missing(&mut self) -> Feedback {
        loop {
            let told = within(self.feedback.recv()).await.expect("the data plane has ended");
            if matches!(told, Feedback::Missing { .. }) {
                return told;
            }
        }
    }
}

fn settings() -> SiteSettings {
    let text = json!({
        "nodeName": "edge-1", "ip": "127.0.0.1", "zone": "here", "portRange": [7660, 7675],
        "bind": {"http": "127.0.0.1:0", "readiness": "127.0.0.1:0"},
        "bounds": {"graceS": 1.5, "retryBudgetRatio": 100.0, "retryBudgetSlack": 1000},
    });
    serde_json::from_value(text).expect("settings")
}

/// A configuration with these routes and one service.
pub fn document(routes: Value) -> Document {
    let text = json!({
        "revision": 1,
        "routes": routes,
        "services": [{
            "name": "llm", "healthCheck": "/health", "maxConnections": 100, "protocol": "h1", "tls": false,
            "engine": {"slots": 4, "kvCacheTokens": 10_000, "weightsMb": 1000.0, "models": [
                {"name": "small", "weightsMb": 10.0, "loadS": 1.5, "adapters": 2, "adapterMb": 1.0},
            ]},
        }],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    });
    Document::parse(text.to_string().as_bytes()).expect("document")
}

/// A route of that service.
pub fn route(kind: &str, changes: Value) -> Value {
    let mut route = json!({
        "name": format!("r-{kind}"), "host": HOST, "pathPrefix": format!("/{kind}/"), "routeKind": kind,
        "timeoutMs": 5000, "targetLatencyMs": 400, "priority": 1, "service": "llm", "retries": 2,
        "sessionAffinity": false, "resumable": false, "gap_aim_ms": 250,
    });
    for (name, value) in changes.as_object().into_iter().flatten() {
        route[name] = value.clone();
    }
    route
}

/// One route of each kind; streams can be resumed.
pub fn all_routes() -> Value {
    json!([
        route("safe", json!({})),
        route("unsafe", json!({})),
        route("streaming", json!({"resumable": true}))
    ])
}

/// A worker that takes requests.
pub fn worker_view(id: &str, address: SocketAddr, models: &[&str]) -> WorkerView {
    let resident = |name: &&str| ResidentModel { name: (*name).to_owned(), adapters: Vec::new() };
    WorkerView {
        id: id.to_owned(),
        service: "llm".into(),
        address: address.to_string(),
        zone: "here".into(),
        slots: 4,
        state: Availability::Ready,
        cold_remaining_ms: 0,
        models: models.iter().map(resident).collect(),
        peer_load: 0,
        peer_load_at: 0,
    }
}
