//! In-memory workers whose responses and connection failures are scripted byte by byte.

use crate::data_plane::connector::{ConnectFuture, Connector, WorkerStream};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::sync::Notify;
use tokio::time::Instant;

/// How a connection fails at its failure point.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The connection is reset. Writes still report success; only a read reports the reset.
    Reset,
    /// The connection is reset, and the next write reports it.
    ResetOnWrite,
    /// The worker closes both directions.
    Close,
    /// The worker closes its sending direction, continues to read and runs the request.
    HalfClose,
    /// The worker continues to read and runs the request, but sends nothing more.
    Stall,
}

pub(crate) const ALL_FAILURES: [Failure; 5] =
    [Failure::Reset, Failure::ResetOnWrite, Failure::Close, Failure::HalfClose, Failure::Stall];

/// Where a connection fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FailurePoint {
    /// After the worker has read this many bytes of the request.
    Request(usize),
    /// After the worker has sent this many bytes of the response.
    Response(usize),
}

/// A request as received by a worker.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReceivedRequest {
    pub(crate) request_line: String,
    pub(crate) headers: HashMap<String, String>,
    pub(crate) body: Vec<u8>,
}

impl ReceivedRequest {
    /// Value of a header, or an empty string if it is absent.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Produces the bytes of a worker's response.
pub(crate) type ResponseFn = Rc<dyn Fn(&ReceivedRequest) -> Vec<u8>>;

/// Scripted handling of one request by a worker.
#[derive(Clone)]
pub(crate) struct Plan {
    /// Produces the response.
    pub(crate) respond: ResponseFn,
    /// Where and how the connection fails.
    pub(crate) failure: Option<(FailurePoint, Failure)>,
    /// The worker responds as soon as it has the head, and reads the body only after
    /// [`Workers::resume_reading`].
    pub(crate) responds_early: bool,
    /// Whether the worker runs the request.
    pub(crate) runs: bool,
    /// Bytes sent after the response that belong to no request.
    pub(crate) surplus: Vec<u8>,
    /// The connection is lost after the response; the data plane notices only when it reuses it.
    pub(crate) resets_on_reuse: bool,
    /// How the connection ends right after the complete response.
    pub(crate) end_after_response: Option<Failure>,
}

impl Plan {
    /// Runs the request and responds to it.
    pub(crate) fn responding(respond: ResponseFn) -> Plan {
        Plan {
            respond,
            failure: None,
            responds_early: false,
            runs: true,
            surplus: Vec::new(),
            resets_on_reuse: false,
            end_after_response: None,
        }
    }

    /// The same plan with a connection failure.
    pub(crate) fn with_failure(self, point: FailurePoint, failure: Failure) -> Plan {
        Plan { failure: Some((point, failure)), ..self }
    }
}

/// What the workers have observed.
#[derive(Debug, Default)]
pub(crate) struct Observations {
    /// Worker and arrival time of each request of which at least one byte was read, in order.
    pub(crate) arrivals: Vec<(SocketAddr, Instant)>,
    /// Requests that were read completely, in order.
    pub(crate) complete_requests: Vec<ReceivedRequest>,
    /// Requests that were run, in order.
    pub(crate) runs: Vec<ReceivedRequest>,
    /// Request lines of requests that are no POST or have no `Request-Id`.
    pub(crate) malformed: Vec<String>,
    /// Number of connections opened.
    pub(crate) connections: u32,
    /// When the data plane closed a connection on which a request had no complete response.
    pub(crate) abandoned: Vec<Instant>,
}

/// All workers of a test. Each arriving request takes the next plan, whichever worker receives it.
#[derive(Default)]
pub(crate) struct Workers {
    plans: RefCell<VecDeque<Plan>>,
    /// Used once `plans` is empty.
    default_plan: RefCell<Option<Plan>>,
    pub(crate) observed: RefCell<Observations>,
    connections: RefCell<Vec<Rc<RefCell<Connection>>>>,
    /// Connection attempts stay pending.
    connect_hangs: Cell<bool>,
    connect_resumed: Notify,
}

impl std::fmt::Debug for Workers {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Workers")
    }
}

impl Workers {
    pub(crate) fn push_plan(&self, plan: Plan) {
        self.plans.borrow_mut().push_back(plan);
    }

    pub(crate) fn set_default_plan(&self, plan: Plan) {
        *self.default_plan.borrow_mut() = Some(plan);
    }

    pub(crate) fn set_connect_hangs(&self, hangs: bool) {
        self.connect_hangs.set(hangs);
        self.connect_resumed.notify_waiters();
    }

    /// Lets the workers read the request bodies that [`Plan::responds_early`] has paused.
    pub(crate) fn resume_reading(&self) {
        for connection in self.connections.borrow().iter() {
            connection.borrow_mut().read_paused = false;
            connection.borrow_mut().wake();
        }
    }

    /// Fails all open connections.
    pub(crate) fn fail_connections(&self, failure: Failure) {
        for connection in self.connections.borrow().iter() {
            connection.borrow_mut().fail(failure);
        }
    }

    /// Sends bytes to the data plane on all open connections.
    pub(crate) fn send(&self, bytes: &[u8]) {
        self.send_from(None, bytes);
    }

    /// Sends bytes to the data plane on the open connections of one worker, or of all.
    pub(crate) fn send_from(&self, worker: Option<&str>, bytes: &[u8]) {
        for connection in self.connections.borrow().iter() {
            let mut connection = connection.borrow_mut();
            if worker.is_none_or(|worker| connection.address.to_string() == worker) {
                connection.readable.extend(bytes);
                connection.wake();
            }
        }
    }

    fn next_plan(&self) -> Plan {
        let plan = self.plans.borrow_mut().pop_front();
        plan.or_else(|| self.default_plan.borrow().clone()).expect("a plan for each request")
    }
}

/// Connects the data plane to the scripted workers.
#[derive(Debug)]
pub(crate) struct MemoryConnector(pub(crate) Rc<Workers>);

impl Connector for MemoryConnector {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        let workers = self.0.clone();
        Box::pin(async move {
            while workers.connect_hangs.get() {
                workers.connect_resumed.notified().await;
            }
            workers.observed.borrow_mut().connections += 1;
            let connection = Rc::new(RefCell::new(Connection::new(address)));
            workers.connections.borrow_mut().push(connection.clone());
            Ok(Box::new(ScriptedStream { workers, connection }) as Box<dyn WorkerStream>)
        })
    }
}

/// Worker side of one connection.
struct Connection {
    address: SocketAddr,
    /// Bytes of the current request that the worker has read.
    received: Vec<u8>,
    /// Lengths of the current request's head and of the whole request, once the head is read.
    lengths: Option<(usize, usize)>,
    plan: Option<Plan>,
    response_sent: bool,
    /// Bytes sent to the data plane that it has not read.
    readable: VecDeque<u8>,
    /// Result of reading after `readable`, once the connection has failed.
    failure: Option<Failure>,
    /// Writes of the data plane stay pending.
    read_paused: bool,
    /// The connection is lost, which only the next write reveals.
    resets_on_next_write: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Connection {
    fn new(address: SocketAddr) -> Connection {
        Connection {
            address,
            received: Vec::new(),
            lengths: None,
            plan: None,
            response_sent: false,
            readable: VecDeque::new(),
            failure: None,
            read_paused: false,
            resets_on_next_write: false,
            reader: None,
            writer: None,
        }
    }

    /// Length of the current request, once its head is read.
    fn request_length(&mut self) -> Option<usize> {
        if self.lengths.is_none() && self.received.ends_with(b"\r\n\r\n") {
            let head = parse_request(&self.received, self.received.len());
            let length = head.header("content-length").parse().unwrap_or(0);
            self.lengths = Some((self.received.len(), self.received.len() + length));
        }
        self.lengths.map(|(_, total)| total)
    }

    /// The current request as far as it is read.
    fn request(&self) -> ReceivedRequest {
        parse_request(&self.received, self.lengths.map_or(self.received.len(), |(head, _)| head))
    }

    fn wake(&mut self) {
        for waker in [self.reader.take(), self.writer.take()].into_iter().flatten() {
            waker.wake();
        }
    }

    fn fail(&mut self, failure: Failure) {
        self.failure = Some(failure);
        if matches!(failure, Failure::Reset | Failure::ResetOnWrite) && !self.response_sent {
            self.readable.clear();
        }
        self.wake();
    }
}

/// The data plane's end of a connection.
struct ScriptedStream {
    workers: Rc<Workers>,
    connection: Rc<RefCell<Connection>>,
}

impl ScriptedStream {
    /// Accepts written bytes. `Ok` holds the number of bytes reported as written.
    fn accept_bytes(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut connection = self.connection.borrow_mut();
        if connection.resets_on_next_write {
            connection.resets_on_next_write = false;
            connection.plan = Some(self.workers.next_plan());
            self.workers.observed.borrow_mut().arrivals.push((connection.address, Instant::now()));
            connection.fail(Failure::Reset);
            return Ok(bytes.len());
        }
        if connection.plan.is_none() {
            connection.plan = Some(self.workers.next_plan());
        }
        for (written, byte) in bytes.iter().enumerate() {
            if let Some(result) = self.failure_before_byte(&mut connection, written, bytes.len()) {
                return result;
            }
            if connection.received.is_empty() {
                self.workers.observed.borrow_mut().arrivals.push((connection.address, Instant::now()));
            }
            connection.received.push(*byte);
            if self.process_received(&mut connection) {
                return Ok(written + 1);
            }
        }
        // A failure right after the last byte of a write takes effect at once, not at the next write.
        if let Some(result) = self.failure_before_byte(&mut connection, bytes.len(), bytes.len()) {
            return result;
        }
        Ok(bytes.len())
    }

    /// Result of the write if the connection has failed and reads no further byte. Applies the plan's failure
    /// when its failure point is reached.
    fn failure_before_byte(
        &self,
        connection: &mut Connection,
        written: usize,
        total: usize,
    ) -> Option<io::Result<usize>> {
        if let Some(end) = connection.failure {
            return match end {
                Failure::Reset => Some(Ok(total)),
                Failure::ResetOnWrite if written > 0 => Some(Ok(written)),
                Failure::ResetOnWrite => Some(Err(io::ErrorKind::ConnectionReset.into())),
                Failure::Close if written > 0 => Some(Ok(written)),
                Failure::Close => Some(Err(io::ErrorKind::BrokenPipe.into())),
                Failure::HalfClose | Failure::Stall => None,
            };
        }
        let (point, failure) = connection.plan.as_ref()?.failure?;
        if point != FailurePoint::Request(connection.received.len()) {
            return None;
        }
        connection.fail(failure);
        self.failure_before_byte(connection, written, total)
    }

    /// Handles the bytes received so far. Returns whether reading is paused.
    fn process_received(&self, connection: &mut Connection) -> bool {
        let Some(plan) = connection.plan.clone() else { return false };
        let Some(length) = connection.request_length() else { return false };
        if plan.responds_early && !connection.response_sent {
            let request = connection.request();
            self.send_response(connection, &plan, &request);
            connection.read_paused = true;
            return true;
        }
        if connection.received.len() < length {
            return false;
        }
        let request = connection.request();
        if !request.request_line.starts_with("POST /") || request.header("request-id").is_empty() {
            self.workers.observed.borrow_mut().malformed.push(request.request_line.clone());
        }
        self.workers.observed.borrow_mut().complete_requests.push(request.clone());
        if plan.runs {
            self.workers.observed.borrow_mut().runs.push(request.clone());
        }
        if !connection.response_sent {
            self.send_response(connection, &plan, &request);
        }
        if connection.failure.is_none() {
            connection.received.clear();
            connection.lengths = None;
            connection.plan = None;
            connection.response_sent = false;
            connection.resets_on_next_write = plan.resets_on_reuse;
        }
        false
    }

    fn send_response(&self, connection: &mut Connection, plan: &Plan, request: &ReceivedRequest) {
        if connection.failure.is_some() {
            return;
        }
        let response = (plan.respond)(request);
        connection.response_sent = true;
        match plan.failure {
            Some((FailurePoint::Response(sent), failure)) if sent <= response.len() => {
                connection.readable.extend(&response[..sent]);
                connection.fail(failure);
            }
            _ => {
                connection.readable.extend(response);
                connection.readable.extend(&plan.surplus);
                if let Some(end) = plan.end_after_response {
                    connection.fail(end);
                }
            }
        }
        connection.wake();
    }
}

fn parse_request(bytes: &[u8], head_end: usize) -> ReceivedRequest {
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.lines();
    let request_line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
    ReceivedRequest { request_line, headers, body: bytes[head_end..].to_vec() }
}

impl AsyncRead for ScriptedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut connection = self.connection.borrow_mut();
        if !connection.readable.is_empty() {
            let count = connection.readable.len().min(buffer.remaining());
            let bytes: Vec<u8> = connection.readable.drain(..count).collect();
            buffer.put_slice(&bytes);
            return Poll::Ready(Ok(()));
        }
        match connection.failure {
            Some(Failure::Reset | Failure::ResetOnWrite) => {
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
            Some(Failure::Close | Failure::HalfClose) => Poll::Ready(Ok(())),
            Some(Failure::Stall) | None => {
                connection.reader = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl AsyncWrite for ScriptedStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.connection.borrow().read_paused {
            self.connection.borrow_mut().writer = Some(context.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(self.accept_bytes(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Drop for ScriptedStream {
    fn drop(&mut self) {
        let is_busy = self.connection.borrow().plan.is_some();
        if is_busy {
            self.workers.observed.borrow_mut().abandoned.push(Instant::now());
        }
        self.workers.connections.borrow_mut().retain(|connection| !Rc::ptr_eq(connection, &self.connection));
    }
}
