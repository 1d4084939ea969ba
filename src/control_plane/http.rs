//! The HTTP interface for workers and the operator.

#[cfg(test)]
mod tests;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;
use switchhill_configuration::{Order, OrderKind, ResultCode};
use switchhill_control::{Answer, Call, CallId, Input};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use crate::system::connection;

/// Longest body of a call, in bytes.
const LONGEST_BODY: usize = 8 << 20;

/// Time for a call to be answered by the node.
const ANSWER_WITHIN: Duration = Duration::from_millis(2500);

/// Time that a caller's connection may rest or take over its head.
const IDLE_FOR: Duration = Duration::from_secs(30);

/// Path under which workers tell of themselves.
const INSTANCES: &str = "/api/instances/";

/// Header with the version that a change builds on.
const BASE_VERSION: &str = "base-version";

/// Calls that wait for the node.
#[derive(Clone)]
pub(super) struct Calls {
    waiting: Rc<RefCell<BTreeMap<CallId, oneshot::Sender<Answer>>>>,
    next: Rc<Cell<u64>>,
    inputs: mpsc::UnboundedSender<Input>,
}

impl Calls {
    /// Serves on a listener; calls go to `inputs`.
    pub(super) fn start(listener: TcpListener, inputs: mpsc::UnboundedSender<Input>) -> Calls {
        let calls = Calls { waiting: Rc::default(), next: Rc::default(), inputs };
        let serving = calls.clone();
        tokio::task::spawn_local(async move {
            loop {
                let stream = connection::accept(&listener).await;
                tokio::task::spawn_local(serve(stream, serving.clone()));
            }
        });
        calls
    }

    /// Answers a call.
    pub(super) fn answer(&mut self, id: CallId, answer: Answer) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&id) {
            let _ = waiting.send(answer);
        }
    }

    async fn make(&self, call: Call) -> Answer {
        let id = CallId(self.next.get());
        self.next.set(id.0 + 1);
        let (sender, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        let _ = self.inputs.send(Input::Call(id, call));
        let began = Instant::now();
        let answer = tokio::time::timeout(ANSWER_WITHIN, answer).await;
        self.waiting.borrow_mut().remove(&id);
        match answer {
            // One that was given before the process was frozen may be found only after.
            Ok(Ok(answer)) if began.elapsed() <= ANSWER_WITHIN => answer,
            _ => coded(ResultCode::OutcomeUnknown, "no answer in time"),
        }
    }
}

async fn serve(stream: TcpStream, calls: Calls) {
    let service = service_fn(|request| handle(request, calls.clone()));
    let served = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_FOR)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        log::debug!("caller's connection ended: {error}");
    }
}

async fn handle(request: Request<Incoming>, calls: Calls) -> Result<Response<Full<Bytes>>, Infallible> {
    let answer = match read_call(request).await {
        Ok(call) => calls.make(call).await,
        Err(answer) => answer,
    };
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = Response::new(Full::new(answer.body));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    Ok(response)
}

/// An answer that names a result code.
fn coded(code: ResultCode, detail: &str) -> Answer {
    Answer { status: code.http_status(), body: Bytes::from(code.answer(detail)) }
}

fn no_such_call() -> Answer {
    Answer { status: 404, body: Bytes::from_static(b"{\"error\":\"no such call\"}") }
}

async fn read_call(request: Request<Incoming>) -> Result<Call, Answer> {
    let (head, body) = request.into_parts();
    let base_version =
        head.headers.get(BASE_VERSION).and_then(|value| value.to_str().ok()?.trim().parse().ok());
    let body = Limited::new(body, LONGEST_BODY).collect().await;
    let unreadable = |_| coded(ResultCode::Unreadable, "it can't be read whole or is too long");
    let body = body.map_err(unreadable)?.to_bytes();
    let path = head.uri.path();
    match (&head.method, path) {
        (&Method::GET, "/api/config/read") => Ok(Call::Read),
        (&Method::POST, "/api/config/replace") => change(OrderKind::Replace, base_version, body),
        (&Method::POST, "/api/config/update") => change(OrderKind::Update, base_version, body),
        (&Method::POST, _) => instance_call(path, body),
        _ => Err(no_such_call()),
    }
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
