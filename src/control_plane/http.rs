//! The HTTP interface for workers and the operator.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use switchhill_configuration::{MemoryLimit, Order, OrderKind, ResultCode};
use switchhill_control::{Answer, Call, CallId, Input};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::site_settings::ProcessLimits;
use crate::system::connection;
use crate::system::connection_slots::{most_connections, ConnectionSlots, LISTENER_MEMORY_SHARE};
use crate::system::essential_tasks::EssentialTasks;
use crate::system::head_memory::{HeadMemory, HeadMemoryStream};
use crate::system::memory_budget::MemoryBudget;
use crate::system::memory_watch::MemoryShortage;
use crate::system::request_body::{self, ReadBodyError};
use crate::system::request_in_work::RequestInWork;

/// Longest body in bytes that is taken while memory is short: any heartbeat, and changes of some hundred routes.
const SHORT_BODY: u64 = 64 << 10;

/// Share of the process's memory for the bodies of calls.
const BODY_MEMORY_SHARE: f64 = 0.25;

/// Share of the process's memory for the heads of calls.
const HEAD_MEMORY_SHARE: f64 = 0.05;

/// Longest head of a call, in bytes.
const LONGEST_HEAD: usize = 64 << 10;

/// Share of the descriptors for the connections of callers. The others are for core nodes, agents and calls to workers.
const DESCRIPTOR_SHARE: f64 = 0.5;

/// Time for a call to be answered by the node.
const ANSWER_WITHIN: Duration = Duration::from_millis(2500);

/// Time that a caller's connection may rest, or take over its head or its body.
const IDLE_FOR: Duration = Duration::from_secs(30);

/// Path under which workers tell of themselves.
const INSTANCES: &str = "/api/instances/";

/// Header with the version that a change builds on.
const BASE_VERSION: &str = "base-version";

/// Calls that wait for the node.
#[derive(Clone)]
pub(super) struct Calls {
    waiting: WaitingCalls,
    next: Rc<Cell<u64>>,
    inputs: mpsc::UnboundedSender<Input>,
    body_memory: MemoryBudget,
    head_memory: MemoryBudget,
    memory_shortage: MemoryShortage,
    /// Longest body of a call, in bytes: that of the largest configuration.
    longest_body: usize,
    connections: ConnectionSlots,
    closed: Rc<watch::Sender<bool>>,
}

/// Where the answer of each call goes.
type WaitingCalls = Rc<RefCell<BTreeMap<CallId, oneshot::Sender<Answer>>>>;

impl Calls {
    /// Serves on a listener; calls go to `inputs`.
    pub(super) fn start(
        listener: TcpListener,
        inputs: mpsc::UnboundedSender<Input>,
        limits: &ProcessLimits,
        memory_shortage: MemoryShortage,
        tasks: &mut EssentialTasks,
    ) -> Calls {
        let calls = Calls { memory_shortage, ..Calls::new(inputs, limits) };
        tasks.spawn_local("calls", accept(listener, calls.clone()));
        calls
    }

    /// What calls may hold.
    pub(super) fn memory_budgets(&self) -> Vec<MemoryBudget> {
        vec![self.body_memory.clone(), self.head_memory.clone()]
    }

    fn new(inputs: mpsc::UnboundedSender<Input>, limits: &ProcessLimits) -> Calls {
        let descriptors = (limits.max_fds as f64 * DESCRIPTOR_SHARE) as usize;
        Calls {
            waiting: Rc::default(),
            next: Rc::default(),
            inputs,
            body_memory: MemoryBudget::new("bodies of calls", limits.memory_mb, BODY_MEMORY_SHARE),
            head_memory: MemoryBudget::new("heads of calls", limits.memory_mb, HEAD_MEMORY_SHARE),
            memory_shortage: MemoryShortage::default(),
            longest_body: usize::try_from(MemoryLimit::of_process(limits.memory_mb).longest_text())
                .unwrap_or(usize::MAX),
            connections: ConnectionSlots::new(
                descriptors.clamp(1, most_connections(limits.memory_mb, LISTENER_MEMORY_SHARE)),
            ),
            closed: Rc::default(),
        }
    }

    /// Answers a call.
    pub(super) fn answer(&mut self, id: CallId, answer: Answer) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&id) {
            let _ = waiting.send(answer);
        }
    }

    /// The process is about to end: no connection is taken any more, and calls that the node does not have yet are
    /// refused at once. Has no effect a second time.
    pub(super) fn close(&self) {
        self.closed.send_if_modified(|closed| !std::mem::replace(closed, true));
    }

    /// Whether calls are refused and none waits for the node any more.
    pub(super) fn are_done(&self) -> bool {
        self.are_closed() && self.waiting.borrow().is_empty()
    }

    /// Answers all calls that wait: what comes of them is not known.
    pub(super) fn leave_open(&self) {
        let waiting = std::mem::take(&mut *self.waiting.borrow_mut());
        for call in waiting.into_values() {
            let _ = call.send(coded(ResultCode::OutcomeUnknown, "the process ends"));
        }
    }

    fn are_closed(&self) -> bool {
        *self.closed.borrow()
    }

    async fn make(&self, call: Call) -> Answer {
        if self.are_closed() {
            return coded(ResultCode::Leaving, "call another node");
        }
        let id = CallId(self.next.get());
        self.next.set(id.0 + 1);
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        let _forgotten_at_the_end = ForgetCall { waiting: self.waiting.clone(), id };
        let _ = self.inputs.send(Input::Call(id, call));
        let began = Instant::now();
        match tokio::time::timeout(ANSWER_WITHIN, answer).await {
            // One that was given before the process was frozen may be found only after.
            Ok(Ok(answer)) if began.elapsed() <= ANSWER_WITHIN => answer,
            _ => coded(ResultCode::OutcomeUnknown, "no answer in time"),
        }
    }
}

/// Forgets a call when it is over, also one whose caller has gone.
struct ForgetCall {
    waiting: WaitingCalls,
    id: CallId,
}

impl Drop for ForgetCall {
    fn drop(&mut self) {
        self.waiting.borrow_mut().remove(&self.id);
    }
}

/// Takes connections until the calls are closed, those that had come by then included.
async fn accept(listener: TcpListener, calls: Calls) {
    let mut closed = calls.closed.subscribe();
    loop {
        tokio::select! {
            stream = accept_with_room(&listener, &calls.connections) => {
                tokio::task::spawn_local(serve(stream, calls.clone()));
            }
            _ = closed.wait_for(|closed| *closed) => break,
        }
    }
    for stream in connection::accept_last(listener) {
        tokio::task::spawn_local(serve(stream, calls.clone()));
    }
}

async fn accept_with_room(listener: &TcpListener, connections: &ConnectionSlots) -> TcpStream {
    connections.room().await;
    connection::accept(listener).await
}

async fn serve(stream: impl AsyncRead + AsyncWrite + Unpin, calls: Calls) {
    let slot = calls.connections.open();
    let memory = HeadMemory::new(calls.head_memory.clone());
    let service = service_fn(|request| {
        let in_work = RequestInWork::begin(&slot, &memory);
        handle(request, calls.clone(), in_work)
    });
    let stream = TokioIo::new(HeadMemoryStream::new(stream, memory.clone()));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_FOR)
        .max_buf_size(LONGEST_HEAD)
        .serve_connection(stream, service);
    tokio::select! {
        // Polled first: a call that has come is taken before the connection may be closed.
        biased;
        served = served => if let Err(error) = served {
            log::debug!("caller's connection ended: {error}");
        },
        () = slot.evicted() => log::debug!("caller's connection gave way to another one"),
    }
}

async fn handle(
    request: Request<Incoming>,
    calls: Calls,
    in_work: Rc<RequestInWork>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let answer = match read_call(request, &calls, &in_work).await {
        Ok(call) => calls.make(call).await,
        Err(answer) => answer,
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    if calls.are_closed() {
        response.headers_mut().insert(hyper::header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// An answer that names a result code.
fn coded(code: ResultCode, detail: &str) -> Answer {
    Answer { status: code.http_status(), body: Bytes::from(code.answer(detail)) }
}

fn no_such_call() -> Answer {
    Answer { status: 404, body: Bytes::from_static(b"{\"error\":\"no such call\"}") }
}

fn body_refused(error: ReadBodyError) -> Answer {
    match error {
        ReadBodyError::OutOfMemory => {
            log::info!("a call is refused: the bodies of others fill their share of the memory");
            coded(ResultCode::TooManyOrders, "their bodies fill the memory; send it again")
        }
        ReadBodyError::TooLong => coded(ResultCode::TooLarge, "its body is longer than the largest one"),
        ReadBodyError::Unreadable => coded(ResultCode::Unreadable, "it can't be read whole"),
    }
}

/// Not a refusal: the caller may send the call again.
fn body_late() -> Answer {
    Answer { status: 408, body: Bytes::from_static(b"{\"error\":\"the body did not come in time\"}") }
}

async fn read_call(
    request: Request<Incoming>,
    calls: &Calls,
    in_work: &Rc<RequestInWork>,
) -> Result<Call, Answer> {
    let (head, mut body) = request.into_parts();
    let base_version =
        head.headers.get(BASE_VERSION).and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let read = tokio::time::timeout(IDLE_FOR, read_body(calls, &mut body));
    let read = read.await.map_err(|_| body_late())?;
    let body = read.map_err(|error| {
        tokio::task::spawn_local(request_body::discard(body, IDLE_FOR, in_work.clone()));
        body_refused(error)
    })?;
    let path = head.uri.path();
    match (&head.method, path) {
        (&Method::GET, "/api/config/read") => Ok(Call::Read),
        (&Method::POST, "/api/config/replace") => change(OrderKind::Replace, base_version, body),
        (&Method::POST, "/api/config/update") => change(OrderKind::Update, base_version, body),
        (&Method::POST, _) => instance_call(path, body),
        _ => Err(no_such_call()),
    }
}

/// Reads the body of a call. While memory is short, a long one is not read.
async fn read_body(calls: &Calls, body: &mut Incoming) -> Result<Bytes, ReadBodyError> {
    let is_short = body.size_hint().upper().is_some_and(|length| length <= SHORT_BODY);
    if calls.memory_shortage.is_on() && !is_short {
        return Err(ReadBodyError::OutOfMemory);
    }
    request_body::read(&calls.body_memory, body, calls.longest_body).await
}

fn change(kind: OrderKind, base_version: Option<u64>, body: Bytes) -> Result<Call, Answer> {
    let missing = || coded(ResultCode::BadBaseVersion, "the header says what the order builds on");
    let base_version = base_version.ok_or_else(missing)?;
    Ok(Call::Change(Order { kind, base_version, body }))
}

fn instance_call(path: &str, body: Bytes) -> Result<Call, Answer> {
    let (id, verb) =
        path.strip_prefix(INSTANCES).and_then(|rest| rest.split_once('/')).ok_or_else(no_such_call)?;
    match verb {
        "heartbeat" => Ok(Call::Heartbeat { id: id.to_owned(), body }),
        "deregister" => Ok(Call::Deregister { id: id.to_owned() }),
        _ => Err(no_such_call()),
    }
}
