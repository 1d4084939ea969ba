//! A stand-in worker: heartbeats, orders, reports, whole answers and streams of events.

mod body;
mod run_book;
mod running;
mod state;

pub use self::run_book::{RunBook, RunEnd, RunRecord};
pub(crate) use self::running::{whole_answer, EVENTS, EVENTS_HEADER, PACE_HEADER};

use self::body::{whole, BrokenOff, WorkerBody};
use self::running::run;
use self::state::{OrderRequest, State};
use super::core_addresses::CoreAddresses;
use super::http::{call, post};
use super::machine::HEARTBEAT_MS;
use super::wait::until;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinHandle, JoinSet};

/// Time that loading a model takes.
const LOAD_TAKES: Duration = Duration::from_millis(300);

/// Time that everything else takes that is ordered.
const OTHER_ORDERS_TAKE: Duration = Duration::from_millis(20);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 64;

/// Marks answers to requests that did not run.
const NOT_EXECUTED: &str = "not-executed";

/// A worker that lives until it is killed or leaves.
pub struct StandInWorker {
    id: String,
    state: Shared,
    cores: CoreAddresses,
    heartbeats: JoinHandle<()>,
    serving: JoinHandle<()>,
    cut: Arc<Notify>,
}

type Shared = Arc<Mutex<State>>;

fn lock(state: &Shared) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl StandInWorker {
    /// Starts a worker that holds these models.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(
        id: &str,
        address: SocketAddr,
        models: &[&str],
        cores: Vec<SocketAddr>,
    ) -> anyhow::Result<StandInWorker> {
        let (cores, book) = (CoreAddresses::of(cores), RunBook::opened_at(Instant::now()));
        StandInWorker::start_recorded(id, address, models, cores, book).await
    }

    /// Starts a worker that notes its runs in a book.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start_recorded(
        id: &str,
        address: SocketAddr,
        models: &[&str],
        cores: CoreAddresses,
        book: RunBook,
    ) -> anyhow::Result<StandInWorker> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?;
        let state: Shared = Arc::new(Mutex::new(State::new(id, address, models, book)));
        let cut = Arc::new(Notify::new());
        let serving = tokio::spawn(serve(listener, state.clone(), cut.clone()));
        let heartbeats = tokio::spawn(tell_of_itself(state.clone(), cores.clone()));
        Ok(StandInWorker { id: id.to_owned(), state, cores, heartbeats, serving, cut })
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Requests that it runs now.
    pub fn running(&self) -> u32 {
        lock(&self.state).running
    }

    /// Requests that it has begun to run.
    pub fn runs(&self) -> u64 {
        lock(&self.state).runs
    }

    /// `Last-Event-Id` of the last stream that it took up in the middle.
    pub fn resumed_after(&self) -> Option<u64> {
        lock(&self.state).resumed_after
    }

    /// Whether it holds a model.
    pub fn holds(&self, model: &str) -> bool {
        lock(&self.state).models.contains_key(model)
    }

    /// Fencing tokens of the orders that it has taken.
    pub fn fencing_tokens(&self) -> Vec<u64> {
        lock(&self.state).fencing_tokens.clone()
    }

    /// Ends it at once: its connections break, and it says nothing.
    pub async fn crash(self) {
        self.heartbeats.abort();
        self.serving.abort();
        // The tasks' ends show that the sockets are closed.
        let _ = self.serving.await;
    }

    /// Closes all its connections, whatever they carry.
    pub fn cut_connections(&self) {
        self.cut.notify_one();
    }

    /// For this long it breaks off some of the answers to what it has run.
    pub fn lose_answers_for(&self, time: Duration) {
        lock(&self.state).losing_until = Some(Instant::now() + time);
    }

    /// For this long it refuses some requests with `Not-Executed`.
    pub fn refuse_for(&self, time: Duration) {
        lock(&self.state).refusing_until = Some(Instant::now() + time);
    }

    /// Tells a core machine that it is gone.
    pub async fn deregister(&self) {
        let path = format!("/api/instances/{}/deregister", self.id);
        for core in self.cores.list() {
            let answer = call(core, post(core, &path, &[], Bytes::from_static(b"{}"))).await;
            if answer.is_ok_and(|answer| answer.status < 300) {
                return;
            }
        }
    }

    /// Says that it leaves, until that is acknowledged. It goes on serving.
    ///
    /// # Errors
    /// It takes too long.
    pub async fn say_draining(&self) -> anyhow::Result<()> {
        lock(&self.state).draining = true;
        let cores = self.cores.list();
        let mut next = cores.iter().cycle();
        until("a draining worker is acknowledged", || {
            let address = *next.next().expect("there are core machines");
            let state = self.state.clone();
            async move { heartbeat(&state, address).await.then_some(()) }
        })
        .await?;
        Ok(())
    }
}

/// Sends heartbeats to a core machine as long as it acknowledges them, then to the next.
async fn tell_of_itself(state: Shared, cores: CoreAddresses) {
    let mut ticks = tokio::time::interval(Duration::from_millis(HEARTBEAT_MS));
    let mut current = fastrand::usize(..cores.list().len());
    loop {
        ticks.tick().await;
        let cores = cores.list();
        for _ in 0..cores.len() {
            if heartbeat(&state, cores[current]).await {
                break;
            }
            current = (current + 1) % cores.len();
        }
    }
}

async fn heartbeat(state: &Shared, core: SocketAddr) -> bool {
    let (path, body) = {
        let mut state = lock(state);
        (format!("/api/instances/{}/heartbeat", state.id), Bytes::from(state.next_heartbeat().to_string()))
    };
    let answer = call(core, post(core, &path, &[], body)).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

async fn serve(listener: TcpListener, state: Shared, cut: Arc<Notify>) {
    let mut connections = JoinSet::new();
    let book = lock(&state).book.clone();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve_connection(stream, state.clone()));
                book.has_connections(connections.len());
            }
            Some(_) = connections.join_next() => {}
            () = cut.notified() => connections.abort_all(),
        }
    }
}

async fn serve_connection(stream: TcpStream, state: Shared) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let state = state.clone();
        async move { respond(&state, request).await }
    });
    // A connection that breaks is the caller's matter.
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn respond(state: &Shared, request: Request<Incoming>) -> Result<Response<WorkerBody>, BrokenOff> {
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else { return Ok(status(StatusCode::BAD_REQUEST)) };
    let body = body.to_bytes();
    if !is_meant(state, &head.headers) {
        return Ok(not_run(StatusCode::MISDIRECTED_REQUEST));
    }
    Ok(match (&head.method, head.uri.path()) {
        (&Method::GET, "/api/report") => json(lock(state).report().to_string()),
        (&Method::POST, "/api/order") => take_order(state, &body),
        (&Method::GET, "/health") => status(StatusCode::OK),
        (_, path) => return run(state, path, &head.headers).await,
    })
}

/// Whether a call that names a worker names this one.
fn is_meant(state: &Shared, headers: &HeaderMap) -> bool {
    let expected = text(headers, "expect-instance");
    expected.is_empty() || expected == lock(state).id
}

fn take_order(state: &Shared, body: &Bytes) -> Response<WorkerBody> {
    let Ok(order) = serde_json::from_slice::<OrderRequest>(body) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let answer = lock(state).take_order(&order);
    if answer == StatusCode::ACCEPTED {
        let takes = if order.loads_a_model() { LOAD_TAKES } else { OTHER_ORDERS_TAKE };
        let state = state.clone();
        tokio::spawn(async move {
            tokio::time::sleep(takes).await;
            lock(&state).complete(&order);
        });
    }
    status(answer)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn last_event_id(headers: &HeaderMap) -> Option<u64> {
    text(headers, "last-event-id").parse().ok()
}

fn status(status: StatusCode) -> Response<WorkerBody> {
    let mut answer = Response::new(whole(String::new()));
    *answer.status_mut() = status;
    answer
}

fn not_run(why: StatusCode) -> Response<WorkerBody> {
    let mut answer = status(why);
    answer.headers_mut().insert(NOT_EXECUTED, "1".parse().expect("plain text"));
    answer
}

fn json(text: String) -> Response<WorkerBody> {
    let mut answer = Response::new(whole(text));
    answer.headers_mut().insert("content-type", "application/json".parse().expect("plain text"));
    answer
}

fn with_id(mut answer: Response<WorkerBody>, request: &HeaderMap) -> Response<WorkerBody> {
    if let Some(id) = request.get("request-id") {
        answer.headers_mut().insert("request-id", id.clone());
    }
    answer
}
