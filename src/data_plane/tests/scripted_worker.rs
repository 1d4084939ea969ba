//! Workers in memory, of which a test sets every byte and every failure.

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

/// How a connection fails once its position is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Reset; bytes written before it was noticed look written.
    Reset,
    /// Reset, noticed by the very next write.
    ResetAtWrite,
    /// The worker closes both directions.
    Close,
    /// The worker closes its own direction, reads on and runs what it has read.
    HalfClose,
    /// The worker reads on, runs what it has read, and says nothing more.
    Silence,
}

pub(crate) const ALL_FAILURES: [Failure; 5] =
    [Failure::Reset, Failure::ResetAtWrite, Failure::Close, Failure::HalfClose, Failure::Silence];

/// Where a connection fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Position {
    /// After so many bytes of the request have been read.
    Request(usize),
    /// After so many bytes of the answer have been sent.
    Answer(usize),
}

/// A request as a worker read it.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadRequest {
    pub(crate) line: String,
    pub(crate) headers: HashMap<String, String>,
    pub(crate) body: Vec<u8>,
}

impl ReadRequest {
    /// A header, empty if it is absent.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// What a worker answers to a request.
pub(crate) type Answer = Rc<dyn Fn(&ReadRequest) -> Vec<u8>>;

/// What happens to one request at a worker.
#[derive(Clone)]
pub(crate) struct Plan {
    /// The bytes of the answer.
    pub(crate) answer: Answer,
    /// Where and how the connection fails.
    pub(crate) failure: Option<(Position, Failure)>,
    /// The answer is sent once the head is there; the body is read when the test says so.
    pub(crate) early: bool,
    /// Whether the worker runs the request.
    pub(crate) runs: bool,
    /// Bytes that belong to no request, sent before the connection's next request is read.
    pub(crate) surplus: Vec<u8>,
    /// How the connection ends after the answer, unnoticed until the next use.
    pub(crate) forgotten: bool,
    /// How the connection ends right after the whole answer.
    pub(crate) ends: Option<Failure>,
}

impl Plan {
    /// A request that is run and answered.
    pub(crate) fn answering(answer: Answer) -> Plan {
        Plan {
            answer,
            failure: None,
            early: false,
            runs: true,
            surplus: Vec::new(),
            forgotten: false,
            ends: None,
        }
    }

    /// The same with a failure.
    pub(crate) fn failing(self, position: Position, failure: Failure) -> Plan {
        Plan { failure: Some((position, failure)), ..self }
    }
}

/// What the workers have seen.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    /// Requests of which a byte was read, by worker, in order.
    pub(crate) arrivals: Vec<(SocketAddr, Instant)>,
    /// Requests that were read whole, in order.
    pub(crate) whole: Vec<ReadRequest>,
    /// Requests that were run, in order.
    pub(crate) runs: Vec<ReadRequest>,
    /// Bytes that were no request.
    pub(crate) faults: Vec<String>,
    /// Connections opened.
    pub(crate) connections: u32,
    /// When the data plane closed a connection on which a request had no whole answer.
    pub(crate) left: Vec<Instant>,
}

/// All workers of a test. Plans are taken by requests in the order in which these arrive.
#[derive(Default)]
pub(crate) struct Workers {
    plans: RefCell<VecDeque<Plan>>,
    /// What happens when there is no plan left.
    otherwise: RefCell<Option<Plan>>,
    pub(crate) seen: RefCell<Seen>,
    wires: RefCell<Vec<Rc<RefCell<Wire>>>>,
    /// Connections hang for now.
    connect_hangs: Cell<bool>,
    connects_again: Notify,
}

impl std::fmt::Debug for Workers {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("Workers")
    }
}

impl Workers {
    pub(crate) fn plan(&self, plan: Plan) {
        self.plans.borrow_mut().push_back(plan);
    }

    pub(crate) fn otherwise(&self, plan: Plan) {
        *self.otherwise.borrow_mut() = Some(plan);
    }

    pub(crate) fn connect_hangs(&self, hangs: bool) {
        self.connect_hangs.set(hangs);
        self.connects_again.notify_waiters();
    }

    /// Lets the workers read the bodies they have held up.
    pub(crate) fn read_on(&self) {
        for wire in self.wires.borrow().iter() {
            wire.borrow_mut().held = false;
            wire.borrow_mut().wake();
        }
    }

    /// Fails all open connections.
    pub(crate) fn fail(&self, failure: Failure) {
        for wire in self.wires.borrow().iter() {
            wire.borrow_mut().fail(failure);
        }
    }

    /// Sends bytes on all open connections.
    pub(crate) fn say(&self, bytes: &[u8]) {
        self.say_from(None, bytes);
    }

    /// Sends bytes on the open connections of one worker, or of all.
    pub(crate) fn say_from(&self, worker: Option<&str>, bytes: &[u8]) {
        for wire in self.wires.borrow().iter() {
            let mut wire = wire.borrow_mut();
            if worker.is_none_or(|worker| wire.address.to_string() == worker) {
                wire.readable.extend(bytes);
                wire.wake();
            }
        }
    }

    fn next_plan(&self) -> Plan {
        let plan = self.plans.borrow_mut().pop_front();
        plan.or_else(|| self.otherwise.borrow().clone()).expect("a plan for each request")
    }
}

/// The connector of a test.
#[derive(Debug)]
pub(crate) struct MemoryConnector(pub(crate) Rc<Workers>);

impl Connector for MemoryConnector {
    fn connect(&self, address: SocketAddr) -> ConnectFuture {
        let workers = self.0.clone();
        Box::pin(async move {
            while workers.connect_hangs.get() {
                workers.connects_again.notified().await;
            }
            workers.seen.borrow_mut().connections += 1;
            let wire = Rc::new(RefCell::new(Wire::new(address)));
            workers.wires.borrow_mut().push(wire.clone());
            Ok(Box::new(WorkerEnd { workers, wire }) as Box<dyn WorkerStream>)
        })
    }
}

/// One connection.
struct Wire {
    address: SocketAddr,
    /// Bytes of the present request that the worker has read.
    read: Vec<u8>,
    /// Length of its head, once that is read, and of all of it.
    head: Option<(usize, usize)>,
    plan: Option<Plan>,
    answered: bool,
    /// Bytes on their way to the data plane.
    readable: VecDeque<u8>,
    /// What reading gives after those bytes.
    end: Option<Failure>,
    /// No byte is taken for now.
    held: bool,
    /// The worker was lost without a word: the next write finds out.
    forgotten: bool,
    reader: Option<Waker>,
    writer: Option<Waker>,
}

impl Wire {
    fn new(address: SocketAddr) -> Wire {
        Wire {
            address,
            read: Vec::new(),
            head: None,
            plan: None,
            answered: false,
            readable: VecDeque::new(),
            end: None,
            held: false,
            forgotten: false,
            reader: None,
            writer: None,
        }
    }

    /// Length of the present request, once its head is read.
    fn whole_length(&mut self) -> Option<usize> {
        if self.head.is_none() && self.read.ends_with(b"\r\n\r\n") {
            let length =
                read_request(&self.read, self.read.len()).header("content-length").parse().unwrap_or(0);
            self.head = Some((self.read.len(), self.read.len() + length));
        }
        self.head.map(|(_, whole)| whole)
    }

    /// The present request as far as it is read.
    fn request(&self) -> ReadRequest {
        read_request(&self.read, self.head.map_or(self.read.len(), |(head, _)| head))
    }

    fn wake(&mut self) {
        for waker in [self.reader.take(), self.writer.take()].into_iter().flatten() {
            waker.wake();
        }
    }

    fn fail(&mut self, failure: Failure) {
        self.end = Some(failure);
        if matches!(failure, Failure::Reset | Failure::ResetAtWrite) && !self.answered {
            self.readable.clear();
        }
        self.wake();
    }
}

/// The data plane's end of a connection.
struct WorkerEnd {
    workers: Rc<Workers>,
    wire: Rc<RefCell<Wire>>,
}

impl WorkerEnd {
    /// Takes bytes; `Ok` counts those that look written.
    fn take(&self, bytes: &[u8]) -> io::Result<usize> {
        let mut wire = self.wire.borrow_mut();
        if wire.forgotten {
            wire.forgotten = false;
            wire.plan = Some(self.workers.next_plan());
            self.workers.seen.borrow_mut().arrivals.push((wire.address, Instant::now()));
            wire.fail(Failure::Reset);
            return Ok(bytes.len());
        }
        if wire.plan.is_none() {
            wire.plan = Some(self.workers.next_plan());
        }
        for (taken, byte) in bytes.iter().enumerate() {
            if let Some(result) = self.fail_before_byte(&mut wire, taken, bytes.len()) {
                return result;
            }
            if wire.read.is_empty() {
                self.workers.seen.borrow_mut().arrivals.push((wire.address, Instant::now()));
            }
            wire.read.push(*byte);
            if self.read_further(&mut wire) {
                return Ok(taken + 1);
            }
        }
        // A failure right after the last byte of a write shows at once, not at the next one.
        if let Some(result) = self.fail_before_byte(&mut wire, bytes.len(), bytes.len()) {
            return result;
        }
        Ok(bytes.len())
    }

    /// The failure that the plan has for this moment, if the next byte is not read any more.
    fn fail_before_byte(&self, wire: &mut Wire, taken: usize, all: usize) -> Option<io::Result<usize>> {
        if let Some(end) = wire.end {
            return match end {
                Failure::Reset => Some(Ok(all)),
                Failure::ResetAtWrite if taken > 0 => Some(Ok(taken)),
                Failure::ResetAtWrite => Some(Err(io::ErrorKind::ConnectionReset.into())),
                Failure::Close if taken > 0 => Some(Ok(taken)),
                Failure::Close => Some(Err(io::ErrorKind::BrokenPipe.into())),
                Failure::HalfClose | Failure::Silence => None,
            };
        }
        let (position, failure) = wire.plan.as_ref()?.failure?;
        if position != Position::Request(wire.read.len()) {
            return None;
        }
        wire.fail(failure);
        self.fail_before_byte(wire, taken, all)
    }

    /// Looks at what the worker has read. Tells whether it reads no more for now.
    fn read_further(&self, wire: &mut Wire) -> bool {
        let Some(plan) = wire.plan.clone() else { return false };
        let Some(whole) = wire.whole_length() else { return false };
        if plan.early && !wire.answered {
            let request = wire.request();
            self.answer(wire, &plan, &request);
            wire.held = true;
            return true;
        }
        if wire.read.len() < whole {
            return false;
        }
        let request = wire.request();
        if !request.line.starts_with("POST /") || request.header("request-id").is_empty() {
            self.workers.seen.borrow_mut().faults.push(request.line.clone());
        }
        self.workers.seen.borrow_mut().whole.push(request.clone());
        if plan.runs {
            self.workers.seen.borrow_mut().runs.push(request.clone());
        }
        if !wire.answered {
            self.answer(wire, &plan, &request);
        }
        if wire.end.is_none() {
            wire.read.clear();
            wire.head = None;
            wire.plan = None;
            wire.answered = false;
            wire.forgotten = plan.forgotten;
        }
        false
    }

    fn answer(&self, wire: &mut Wire, plan: &Plan, request: &ReadRequest) {
        if wire.end.is_some() {
            return;
        }
        let answer = (plan.answer)(request);
        wire.answered = true;
        match plan.failure {
            Some((Position::Answer(sent), failure)) if sent <= answer.len() => {
                wire.readable.extend(&answer[..sent]);
                wire.fail(failure);
            }
            _ => {
                wire.readable.extend(answer);
                wire.readable.extend(&plan.surplus);
                if let Some(end) = plan.ends {
                    wire.fail(end);
                }
            }
        }
        wire.wake();
    }
}

fn read_request(bytes: &[u8], head_end: usize) -> ReadRequest {
    let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
    let mut lines = head.lines();
    let line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned())).collect();
    ReadRequest { line, headers, body: bytes[head_end..].to_vec() }
}

impl AsyncRead for WorkerEnd {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut wire = self.wire.borrow_mut();
        if !wire.readable.is_empty() {
            let count = wire.readable.len().min(buffer.remaining());
            let bytes: Vec<u8> = wire.readable.drain(..count).collect();
            buffer.put_slice(&bytes);
            return Poll::Ready(Ok(()));
        }
        match wire.end {
            Some(Failure::Reset | Failure::ResetAtWrite) => {
                Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
            }
            Some(Failure::Close | Failure::HalfClose) => Poll::Ready(Ok(())),
            Some(Failure::Silence) | None => {
                wire.reader = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl AsyncWrite for WorkerEnd {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.wire.borrow().held {
            self.wire.borrow_mut().writer = Some(context.waker().clone());
            return Poll::Pending;
        }
        Poll::Ready(self.take(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

impl Drop for WorkerEnd {
    fn drop(&mut self) {
        let is_busy = self.wire.borrow().plan.is_some();
        if is_busy {
            self.workers.seen.borrow_mut().left.push(Instant::now());
        }
        self.workers.wires.borrow_mut().retain(|wire| !Rc::ptr_eq(wire, &self.wire));
    }
}
