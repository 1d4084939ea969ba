//! A data plane between a client and workers, all in memory and in paused time.

use super::scripted_worker::{Answer, MemoryConnector, Plan, ReadRequest, Workers};
use crate::data_plane::drain::shut_down;
use crate::data_plane::ingress;
use crate::data_plane::pool::Pool;
use crate::data_plane::server::spawn_periodic_tasks;
use crate::data_plane::shared::Shared;
use crate::data_plane::shutdown::ShutdownHandle;
use crate::data_plane::view::View;
use crate::data_plane::Feedback;
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

/// Time limit of the routes.
pub(crate) const TIMEOUT: Duration = Duration::from_millis(2000);

/// Bound that the rules set on answers after the time limit.
pub(crate) const LATE: Duration = Duration::from_millis(500);

/// Bytes of a connection that the network takes before the other side reads.
const WINDOW: usize = 1 << 20;

/// Runs a test in paused time, with the same luck each time.
pub(crate) fn paused<T>(test: impl Future<Output = T>) -> T {
    fastrand::seed(7);
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_time().start_paused(true).build().expect("runtime");
    let local = LocalSet::new();
    local.block_on(&runtime, test)
}

/// The four kinds of routes that differ in what may be repeated.
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

    /// Whether its answers are series of events.
    pub(crate) fn is_stream(self) -> bool {
        matches!(self, RouteUnderTest::Streaming | RouteUnderTest::Resumable)
    }

    /// How a healthy worker answers.
    pub(crate) fn answer(self) -> Answer {
        if self.is_stream() {
            Rc::new(stream_answer)
        } else {
            Rc::new(plain_answer)
        }
    }

    /// The body that a client has to get.
    pub(crate) fn whole_body(self, id: &str) -> String {
        match self.is_stream() {
            true => (1..=LAST_EVENT).map(|event| event_text(id, event)).collect(),
            false => plain_body(id),
        }
    }
}

/// Events of a stream.
pub(crate) const LAST_EVENT: u64 = 3;

fn plain_body(id: &str) -> String {
    format!("answer to {id}")
}

fn event_text(id: &str, event: u64) -> String {
    format!("id: {event}\ndata: {id}/{event}\n\n")
}

fn plain_answer(request: &ReadRequest) -> Vec<u8> {
    let id = request.header("request-id");
    let body = plain_body(id);
    format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The same answer without a length: it ends with its connection.
pub(crate) fn unframed_answer(request: &ReadRequest) -> Vec<u8> {
    let id = request.header("request-id");
    let body = plain_body(id);
    format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n\r\n{body}").into_bytes()
}

/// A refusal that proves that the request did not run.
pub(crate) fn refusal(request: &ReadRequest) -> Vec<u8> {
    let id = request.header("request-id");
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: {id}\r\nNot-Executed: full\r\nContent-Length: 2\r\n\r\nno"
    )
    .into_bytes()
}

/// A failure that the worker counts as run.
pub(crate) fn stamped_failure(request: &ReadRequest) -> Vec<u8> {
    let id = request.header("request-id");
    format!("HTTP/1.1 500 X\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\nContent-Length: 0\r\n\r\n")
        .into_bytes()
}

fn stream_answer(request: &ReadRequest) -> Vec<u8> {
    let id = request.header("request-id");
    let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
    let mut answer = format!(
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: s\r\n\
         Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    for event in after + 1..=LAST_EVENT {
        let text = event_text(id, event);
        answer.push_str(&format!("{:x}\r\n{text}\r\n", text.len()));
    }
    answer.push_str("0\r\n\r\n");
    answer.into_bytes()
}

/// The bytes of a request; a client that asks for one answer only closes after it.
pub(crate) fn request_bytes(route: RouteUnderTest, id: &str, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "POST /{}/x?y=1 HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nContent-Length: {}\r\n{headers}\r\n{body}",
        route.name(),
        body.len()
    )
    .into_bytes()
}

/// A data plane with two workers.
pub(crate) struct MemoryRig {
    pub(crate) shared: Rc<Shared>,
    pub(crate) workers: Rc<Workers>,
    tasks: JoinSet<()>,
    end: Option<JoinHandle<()>>,
    _feedback: mpsc::UnboundedReceiver<Feedback>,
}

impl MemoryRig {
    /// Starts one that knows its routes and two workers.
    pub(crate) fn start() -> MemoryRig {
        let rig = MemoryRig::without_configuration();
        rig.tell(vec![worker_view(1), worker_view(2)]);
        rig
    }

    /// Starts one that knows nothing.
    pub(crate) fn without_configuration() -> MemoryRig {
        let workers = Rc::new(Workers::default());
        let (tell, feedback) = mpsc::unbounded_channel();
        let mut shared = Shared::new(settings(), tell, ShutdownHandle::new());
        shared.pool = Pool::with_connector(Rc::new(MemoryConnector(workers.clone())), 1000);
        let shared = Rc::new(shared);
        let mut tasks = JoinSet::new();
        spawn_periodic_tasks(&shared, &mut tasks);
        MemoryRig { shared, workers, tasks, end: None, _feedback: feedback }
    }

    /// Tells a view with these workers.
    pub(crate) fn tell(&self, workers: Vec<WorkerView>) {
        self.tell_routes(1, &ALL_ROUTES, workers);
    }

    /// Tells a view with another configuration.
    pub(crate) fn tell_routes(&self, revision: u64, routes: &[RouteUnderTest], workers: Vec<WorkerView>) {
        self.shared.apply_view(view(revision, routes, workers));
    }

    /// Tells the process to end, as SIGTERM does.
    pub(crate) fn terminate(&mut self) {
        let shared = self.shared.clone();
        shared.shutdown.begin();
        self.end = Some(tokio::task::spawn_local(async move { shut_down(&shared).await }));
    }

    /// Waits for the end of a process that was told to end: all its connections are closed.
    pub(crate) async fn process_end(&mut self) {
        let end = self.end.take().expect("it was told to end");
        end.await.expect("the end does not panic");
        self.tasks.shutdown().await;
    }

    /// Opens a connection of a client.
    pub(crate) fn connect(&mut self) -> DuplexStream {
        self.connect_with(WINDOW)
    }

    /// Opens a connection that takes so many bytes before the other side reads.
    pub(crate) fn connect_with(&mut self, window: usize) -> DuplexStream {
        let (client, served) = tokio::io::duplex(window);
        self.tasks.spawn_local(ingress::serve_stream(self.shared.clone(), served));
        client
    }

    /// Sends one request on a connection of its own and reads what comes until that ends.
    pub(crate) async fn ask(
        &mut self,
        route: RouteUnderTest,
        id: &str,
        headers: &str,
        body: &str,
    ) -> Answered {
        let headers = format!("Connection: close\r\n{headers}");
        let mut client = self.connect();
        client.write_all(&request_bytes(route, id, &headers, body)).await.expect("window");
        read_to_end(client).await
    }

    /// Requests of this id that were run.
    pub(crate) fn runs(&self, id: &str) -> usize {
        let seen = self.workers.seen.borrow();
        seen.runs.iter().filter(|run| run.header("request-id") == id).count()
    }

    /// Sends a request that everything is well for; it has to get its own answer.
    pub(crate) async fn serves_another(&mut self, route: RouteUnderTest, id: &str) -> Result<(), String> {
        self.workers.otherwise(Plan::answering(route.answer()));
        let answered = self.ask(route, id, "", "more").await;
        let expected = (200, route.whole_body(id), true);
        match (answered.status, answered.body.clone(), answered.complete) == expected {
            true => Ok(()),
            false => Err(format!("the next request got {answered:?}")),
        }
    }
}

impl Drop for MemoryRig {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            assert_eq!(self.shared.violations.count(), 0, "an invariant was violated");
        }
    }
}

/// A view with this configuration and these workers.
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

/// What a client gets until its connection ends.
pub(crate) async fn read_to_end(mut client: DuplexStream) -> Answered {
    let sent = Instant::now();
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(4 * TIMEOUT, client.read_to_end(&mut bytes)).await;
    Answered::read(&bytes, read.is_ok(), sent.elapsed())
}

/// What a client got.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Answered {
    /// 0 where there was no head.
    pub(crate) status: u16,
    pub(crate) headers: String,
    pub(crate) body: String,
    /// The body ended as its head announced.
    pub(crate) complete: bool,
    /// The connection ended.
    pub(crate) ended: bool,
    /// Bytes after the answer.
    pub(crate) surplus: usize,
    pub(crate) took: Duration,
}

impl Answered {
    fn read(bytes: &[u8], ended: bool, took: Duration) -> Answered {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let (head, rest) = text.split_once("\r\n\r\n").unwrap_or(("", ""));
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
        let headers = head.to_ascii_lowercase();
        let (body, complete, surplus) = match header(&headers, "content-length") {
            Some(length) => counted_body(rest, length.parse().expect("a length")),
            None if headers.contains("transfer-encoding: chunked") => chunked_body(rest),
            None => (rest.to_owned(), false, 0),
        };
        Answered { status, headers, body, complete, ended, surplus, took }
    }

    /// A header, if there is one.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

fn header<'a>(headers: &'a str, name: &str) -> Option<&'a str> {
    headers.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

fn counted_body(rest: &str, length: usize) -> (String, bool, usize) {
    let end = length.min(rest.len());
    (rest[..end].to_owned(), rest.len() >= length, rest.len() - end)
}

fn chunked_body(mut rest: &str) -> (String, bool, usize) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a size of a chunk");
        if size == 0 {
            let whole = after.starts_with("\r\n");
            return (body, whole, after.len().saturating_sub(2));
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

/// Settings of the data plane.
pub(crate) fn settings() -> crate::site_settings::SiteSettings {
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
        "routeKind": kind, "timeoutMs": TIMEOUT.as_millis() as u64, "targetLatencyMs": 400, "priority": 1,
        "service": "llm", "retries": 2, "sessionAffinity": false,
        "resumable": route == RouteUnderTest::Resumable, "gap_aim_ms": 250,
    })
}

/// Worker number one or two.
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
