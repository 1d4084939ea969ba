//! Test harness: a data plane between a client and mock workers, all on loopback and on one thread.

#![allow(dead_code)]

pub mod client;
pub mod worker;

use serde_json::{json, Value};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use switchhill::data_plane::{DataPlane, ExpectedLoads, Feedback, ShutdownHandle, View};
use switchhill::site_settings::SiteSettings;
use switchhill_configuration::Document;
use switchhill_routing::{Availability, ResidentModel, WorkerView};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, LocalSet};
use worker::MockWorker;

/// Timeout of a test, and of each step that it awaits.
const AWAIT_TIMEOUT: Duration = Duration::from_secs(10);

pub const HOST: &str = "shop.example";

/// Runs a test on a single-threaded runtime.
pub fn run_on_one_thread<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("runtime");
    runtime.block_on(LocalSet::new().run_until(with_timeout(test)))
}

/// Output of the future. Panics if it takes longer than [`AWAIT_TIMEOUT`].
pub async fn with_timeout<T>(future: impl Future<Output = T>) -> T {
    tokio::time::timeout(AWAIT_TIMEOUT, future).await.expect("completed in time")
}

/// A running data plane.
pub struct Harness {
    pub address: SocketAddr,
    pub readiness: SocketAddr,
    pub shutdown: ShutdownHandle,
    pub feedback: mpsc::UnboundedReceiver<Feedback>,
    pub ended: JoinHandle<anyhow::Result<()>>,
    views: watch::Sender<Arc<View>>,
}

/// The result of a future that waits for nothing: the addresses are free.
fn ready_at_once<T>(future: impl Future<Output = T>) -> T {
    let mut context = Context::from_waker(Waker::noop());
    match pin!(future).poll(&mut context) {
        Poll::Ready(result) => result,
        Poll::Pending => panic!("it waits"),
    }
}

impl Harness {
    /// Starts a data plane without a configuration.
    pub fn start() -> Harness {
        let data_plane = ready_at_once(DataPlane::bind(settings())).expect("bind");
        let (views, view_receiver) = watch::channel(Arc::new(View::default()));
        let (feedback_sender, feedback) = mpsc::unbounded_channel();
        Harness {
            address: data_plane.http_address().expect("address"),
            readiness: data_plane.readiness_address().expect("readiness address"),
            shutdown: data_plane.shutdown_handle(),
            ended: tokio::task::spawn_local(data_plane.serve(view_receiver, feedback_sender)),
            feedback,
            views,
        }
    }

    /// Starts a data plane with these routes and workers.
    pub fn with(routes: Value, workers: &[&MockWorker]) -> Harness {
        let harness = Harness::start();
        harness.publish(routes, workers.iter().map(|worker| worker.view()).collect());
        harness
    }

    /// Publishes a view with these routes and workers.
    pub fn publish(&self, routes: Value, workers: Vec<WorkerView>) {
        self.publish_with_expected_loads(routes, workers, ExpectedLoads::default());
    }

    /// Publishes a view with these routes and workers and the expected ready times of missing models.
    pub fn publish_with_expected_loads(
        &self,
        routes: Value,
        workers: Vec<WorkerView>,
        expected: ExpectedLoads,
    ) {
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

    /// Publishes the expected ready times of missing models and leaves the rest of the view unchanged.
    #[allow(dead_code, reason = "each test program has its own copy of this module")]
    pub fn publish_expected_loads(&self, expected: ExpectedLoads) {
        let current = View::clone(&self.views.borrow());
        self.publish_view(View { expected_loads: Arc::new(expected), ..current });
    }

    /// Publishes this view.
    pub fn publish_view(&self, view: View) {
        self.views.send(Arc::new(view)).expect("the data plane has ended");
    }

    /// Waits for the next report of a missing model.
    pub async fn next_missing(&mut self) -> Feedback {
        loop {
            let feedback = with_timeout(self.feedback.recv()).await.expect("the data plane has ended");
            if matches!(feedback, Feedback::Missing { .. }) {
                return feedback;
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

/// A configuration with these routes and the service `llm`.
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

/// A route of the service `llm`, with these fields changed.
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

/// One route of each kind. Streams are resumable.
pub fn all_routes() -> Value {
    json!([
        route("safe", json!({})),
        route("unsafe", json!({})),
        route("streaming", json!({"resumable": true}))
    ])
}

/// View of a worker that is ready for requests.
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
