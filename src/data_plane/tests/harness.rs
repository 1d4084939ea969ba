//! Test harness: a data plane between a client and workers, all in memory and in paused time.

use super::scripted_worker::{MemoryConnector, Plan, ReceivedRequest, ResponseFn, Workers};
use crate::data_plane::drain::shut_down;
use crate::data_plane::ingress;
use crate::data_plane::pool::Pool;
use crate::data_plane::server::spawn_periodic_tasks;
use crate::data_plane::shared::Shared;
use crate::data_plane::shutdown::ShutdownHandle;
use crate::data_plane::view::View;
use crate::data_plane::Feedback;
use crate::site_settings::SiteSettings;
use crate::system::connection_slots::ConnectionSlots;
use crate::system::essential_tasks::EssentialTasks;
use serde_json::{json, Value};
use std::future::Future;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use switchhill_configuration::Document;
use switchhill_routing::{Availability, ResidentModel, WorkerView};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, JoinSet, LocalSet};
use tokio::time::Instant;

/// `timeoutMs` of the test routes.
pub(crate) const ROUTE_TIMEOUT: Duration = Duration::from_millis(2000);

/// Time after the route's time limit by which the final response must have arrived.
pub(crate) const RESPONSE_TOLERANCE: Duration = Duration::from_millis(500);

/// Bytes that a connection buffers before the other side reads.
const CONNECTION_BUFFER_BYTES: usize = 1 << 20;

/// Runs a test in paused time and with a fixed random seed.
pub(crate) fn run_in_paused_time<T>(test: impl Future<Output = T>) -> T {
    fastrand::seed(7);
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("runtime");
    let local = LocalSet::new();
    local.block_on(&runtime, test)
}

/// The four kinds of routes, which differ in what may be retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RouteUnderTest {
    Safe,
    Unsafe,
    Streaming,
    Resumable,
}

pub(crate) const ALL_ROUTES: [RouteUnderTest; 4] =
    [RouteUnderTest::Safe, RouteUnderTest::Unsafe, RouteUnderTest::Streaming, RouteUnderTest::Resumable];

impl RouteUnderTest {
    pub(crate) fn name(self) -> &'static str {
        match self {
            RouteUnderTest::Safe => "safe",
            RouteUnderTest::Unsafe => "unsafe",
            RouteUnderTest::Streaming => "streaming",
            RouteUnderTest::Resumable => "resumable",
        }
    }

    /// Whether a request may run more than once.
    pub(crate) fn is_idempotent(self) -> bool {
        matches!(self, RouteUnderTest::Safe | RouteUnderTest::Resumable)
    }

    /// Whether its responses are event streams.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, RouteUnderTest::Streaming | RouteUnderTest::Resumable)
    }

    /// How a healthy worker responds.
    pub(crate) fn respond_fn(self) -> ResponseFn {
        if self.is_stream() {
            Rc::new(stream_response)
        } else {
            Rc::new(response_with_length)
        }
    }

    /// The body that a client must receive.
    pub(crate) fn expected_body(self, id: &str) -> String {
        match self.is_stream() {
            true => (1..=LAST_EVENT_ID).map(|event| event_text(id, event)).collect(),
            false => response_body(id),
        }
    }
}

/// Id of the last event of a stream; the ids start at 1.
pub(crate) const LAST_EVENT_ID: u64 = 3;

fn response_body(id: &str) -> String {
    format!("answer to {id}")
}

fn event_text(id: &str, event: u64) -> String {
    format!("id: {event}\ndata: {id}/{event}\n\n")
}

fn response_with_length(request: &ReceivedRequest) -> Vec<u8> {
    let id = request.header("request-id");
    let body = response_body(id);
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The same response without `Content-Length`: the end of the connection delimits it.
pub(crate) fn close_delimited_response(request: &ReceivedRequest) -> Vec<u8> {
    let id = request.header("request-id");
    let body = response_body(id);
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n\r\n{body}").into_bytes()
}

/// A refusal that proves that the request has not run.
pub(crate) fn not_executed_response(request: &ReceivedRequest) -> Vec<u8> {
    let id = request.header("request-id");
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: full\r\nContent-Length: 2\r\n\r\nno"
    )
    .into_bytes()
}

/// An error response whose stamp shows that the request has run.
pub(crate) fn stamped_error_response(request: &ReceivedRequest) -> Vec<u8> {
    let id = request.header("request-id");
    format!("HTTP/1.1 500 X\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

fn stream_response(request: &ReceivedRequest) -> Vec<u8> {
    let id = request.header("request-id");
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let mut response = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    for event in after + 1..=LAST_EVENT_ID {
        let text = event_text(id, event);
        response.push_str(&format!("{:x}\r\n{text}\r\n", text.len()));
    }
    response.push_str("0\r\n\r\n");
    response.into_bytes()
}

/// The bytes of a request. With `Connection: close` in `headers` the connection closes after the response.
pub(crate) fn request_bytes(route: RouteUnderTest, id: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /{}/x?y=1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nContent-Length: {}\r\n{headers}\r\n{body}",
        route.name(),
        body.len()
    )
    .into_bytes()
}

/// A data plane with two workers.
pub(crate) struct InMemoryHarness {
    pub(crate) shared: Rc<Shared>,
    pub(crate) workers: Rc<Workers>,
    connections: JoinSet<()>,
    _periodic_tasks: EssentialTasks,
    shutdown_task: Option<JoinHandle<()>>,
    _feedback: mpsc::UnboundedReceiver<Feedback>,
}

impl InMemoryHarness {
    /// Starts a data plane with all routes and two workers.
    pub(crate) fn start() -> InMemoryHarness {
        let harness = InMemoryHarness::start_unconfigured();
        harness.publish_workers(vec![worker_view(1), worker_view(2)]);
        harness
    }

    /// Starts a data plane with all routes, two workers and this memory limit in megabytes.
    pub(crate) fn start_with_memory(memory_mb: u64) -> InMemoryHarness {
        let mut settings = settings();
        settings.limits.memory_mb = memory_mb;
        let harness = InMemoryHarness::with_settings(settings);
        harness.publish_workers(vec![worker_view(1), worker_view(2)]);
        harness
    }

    /// Starts a data plane without a configuration.
    pub(crate) fn start_unconfigured() -> InMemoryHarness {
        InMemoryHarness::with_settings(settings())
    }

    fn with_settings(settings: SiteSettings) -> InMemoryHarness {
        let workers = Rc::new(Workers::default());
        let (feedback_sender, feedback) = mpsc::unbounded_channel();
        let mut shared = Shared::new(settings, feedback_sender, ShutdownHandle::new());
        shared.pool = Pool::with_connector(Rc::new(MemoryConnector(workers.clone())), 1000);
        let shared = Rc::new(shared);
        let mut periodic_tasks = EssentialTasks::default();
        spawn_periodic_tasks(&shared, &mut periodic_tasks);
        InMemoryHarness {
            shared,
            workers,
            connections: JoinSet::new(),
            _periodic_tasks: periodic_tasks,
            shutdown_task: None,
            _feedback: feedback,
        }
    }

    /// Publishes a view with all routes and these workers.
    pub(crate) fn publish_workers(&self, workers: Vec<WorkerView>) {
        self.publish_view(1, &ALL_ROUTES, workers);
    }

    /// Publishes a view with this configuration and these workers.
    pub(crate) fn publish_view(&self, revision: u64, routes: &[RouteUnderTest], workers: Vec<WorkerView>) {
        self.shared.apply_view(view(revision, routes, workers));
    }

    /// Begins the shutdown, as SIGTERM does.
    pub(crate) fn begin_shutdown(&mut self) {
        let shared = self.shared.clone();
        shared.shutdown.begin();
        self.shutdown_task = Some(tokio::task::spawn_local(async move { shut_down(&shared).await }));
    }

    /// Waits for the end of the shutdown, then drops all connections as the end of the process does.
    pub(crate) async fn wait_for_shutdown(&mut self) {
        let shutdown_task = self.shutdown_task.take().expect("the shutdown has begun");
        shutdown_task.await.expect("the shutdown does not panic");
        self.connections.shutdown().await;
    }

    /// Opens a client connection.
    pub(crate) fn connect(&mut self) -> DuplexStream {
        self.connect_with_buffer(CONNECTION_BUFFER_BYTES)
    }

    /// Opens a client connection that buffers `capacity` bytes in each direction.
    pub(crate) fn connect_with_buffer(&mut self, capacity: usize) -> DuplexStream {
        let (client, served) = tokio::io::duplex(capacity);
        let slot = ConnectionSlots::new(1).open();
        self.connections.spawn_local(ingress::serve_stream(self.shared.clone(), served, slot));
        client
    }

    /// Sends one request on a new connection and reads the response until the connection closes.
    pub(crate) async fn exchange(
        &mut self,
        route: RouteUnderTest,
        id: &str,
        headers: &str,
        body: &str,
    ) -> ClientResponse {
        let headers = format!("Connection: close\r\n{headers}");
        let mut client = self.connect();
        client.write_all(&request_bytes(route, id, &headers, body)).await.expect("written");
        read_to_end(client).await
    }

    /// How often the request with this id was run.
    pub(crate) fn run_count(&self, id: &str) -> usize {
        let observed = self.workers.observed.borrow();
        observed.runs.iter().filter(|run| run.header("request-id") == id).count()
    }

    /// Checks that a request to a healthy worker gets its own complete response.
    pub(crate) async fn check_next_request(&mut self, route: RouteUnderTest, id: &str) -> Result<(), String> {
        self.workers.set_default_plan(Plan::responding(route.respond_fn()));
        let response = self.exchange(route, id, "", "more").await;
        let expected = (200, route.expected_body(id), true);
        match (response.status, response.body.clone(), response.complete) == expected {
            true => Ok(()),
            false => Err(format!("the next request got {response:?}")),
        }
    }
}

impl Drop for InMemoryHarness {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            assert_eq!(self.shared.violations.count(), 0, "an invariant was violated");
        }
    }
}

/// A view with these routes and workers.
pub(crate) fn view(revision: u64, routes: &[RouteUnderTest], workers: Vec<WorkerView>) -> Arc<View> {
    Arc::new(View {
        document: Some(Arc::new(document(revision, routes))),
        workers: workers.into_iter().map(Arc::new).collect(),
        loads: None,
        expected_loads: Arc::default(),
        gatekeepers: 1,
        confirmed: true,
    })
}

/// Reads the response until the connection closes or four times the route timeout has passed.
pub(crate) async fn read_to_end(mut client: DuplexStream) -> ClientResponse {
    let sent = Instant::now();
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(4 * ROUTE_TIMEOUT, client.read_to_end(&mut bytes)).await;
    ClientResponse::parse(&bytes, read.is_ok(), sent.elapsed())
}

/// The response that a client received.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct ClientResponse {
    /// 0 if there was no response head.
    pub(crate) status: u16,
    pub(crate) headers: String,
    pub(crate) body: String,
    /// Whether the body has the length that the head announced, or its final chunk.
    pub(crate) complete: bool,
    /// Whether the connection was closed.
    pub(crate) connection_closed: bool,
    /// Number of bytes after the response.
    pub(crate) trailing_bytes: usize,
    pub(crate) elapsed: Duration,
}

impl ClientResponse {
    fn parse(bytes: &[u8], connection_closed: bool, elapsed: Duration) -> ClientResponse {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let (head, rest) = text.split_once("\r\n\r\n").unwrap_or(("", ""));
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let headers = head.to_ascii_lowercase();
        let (body, complete, trailing_bytes) = match header(&headers, "content-length") {
            Some(length) => body_with_length(rest, length.parse().expect("a length")),
            None if headers.contains("transfer-encoding: chunked") => chunked_body(rest),
            None => (rest.to_owned(), false, 0),
        };
        ClientResponse { status, headers, body, complete, connection_closed, trailing_bytes, elapsed }
    }

    /// Value of a header, if present.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

fn header<'a>(headers: &'a str, name: &str) -> Option<&'a str> {
    headers.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

fn body_with_length(rest: &str, length: usize) -> (String, bool, usize) {
    let end = length.min(rest.len());
    (rest[..end].to_owned(), rest.len() >= length, rest.len() - end)
}

fn chunked_body(mut rest: &str) -> (String, bool, usize) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a chunk size");
        if size == 0 {
            let is_complete = after.starts_with("\r\n");
            return (body, is_complete, after.len().saturating_sub(2));
        }
        if after.len() < size + 2 {
            body.push_str(&after[..size.min(after.len())]);
            return (body, false, 0);
        }
        body.push_str(&after[..size]);
        rest = &after[size + 2..];
    }
    (body, false, 0)
}

/// Settings of the data plane under test.
pub(crate) fn settings() -> SiteSettings {
    let text = json!({
        "nodeName": "edge-1", "ip": "127.0.0.1", "zone": "here", "portRange": [7660, 7675],
        "bind": {"http": "127.0.0.1:0", "readiness": "127.0.0.1:0"},
        "bounds": {"graceS": 1.5, "retryBudgetRatio": 100.0, "retryBudgetSlack": 1000},
    });
    serde_json::from_value(text).expect("settings")
}

fn document(revision: u64, routes: &[RouteUnderTest]) -> Document {
    let routes: Vec<Value> = routes.iter().copied().map(route).collect();
    let text = json!({
        "revision": revision,
        "routes": routes,
        "services": [{
            "name": "llm", "healthCheck": "/health", "maxConnections": 100, "protocol": "h1", "tls": false,
            "engine": {"slots": 4, "kvCacheTokens": 10_000, "weightsMb": 1000.0, "models": [
                {"name": "small", "weightsMb": 10.0, "loadS": 1.5, "adapters": 2, "adapterMb": 1.0},
            ]},
        }],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_000_000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    });
    Document::parse(text.to_string().as_bytes()).expect("document")
}

fn route(route: RouteUnderTest) -> Value {
    let kind = match route {
        RouteUnderTest::Safe => "safe",
        RouteUnderTest::Unsafe => "unsafe",
        RouteUnderTest::Streaming | RouteUnderTest::Resumable => "streaming",
    };
    json!({
        "name": route.name(), "host": "shop.example", "pathPrefix": format!("/{}/", route.name()),
        "routeKind": kind, "timeoutMs": ROUTE_TIMEOUT.as_millis() as u64, "targetLatencyMs": 400, "priority": 1,
        "service": "llm", "retries": 2, "sessionAffinity": false,
        "resumable": route == RouteUnderTest::Resumable, "gap_aim_ms": 250,
    })
}

/// View of a worker whose id and address contain this number.
pub(crate) fn worker_view(number: u8) -> WorkerView {
    WorkerView {
        id: format!("w{number}"),
        service: "llm".into(),
        address: format!("10.0.0.{number}:80"),
        zone: "here".into(),
        slots: 4,
        state: Availability::Ready,
        cold_remaining_ms: 0,
        models: vec![ResidentModel { name: "small".into(), adapters: Vec::new() }],
        peer_load: 0,
        peer_load_at: 0,
    }
}
