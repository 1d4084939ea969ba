//! A gateway's clients: connections kept, and one try over them.

use super::{Fate, Planned, Try, GIVE_UP_MS};
use crate::h2client::Pool;
use crate::stand_in::{header, retry_after};
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;
use switchhill::net::http1::{self, Parsed};
use switchhill::net::message::Answer;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::Instant;

/// An answer that comes no later than this after the client's time is late, not lost.
const LOST_AFTER: Duration = Duration::from_millis(1000);

/// A gateway's clients: connections kept, and no more than so many.
pub(super) struct GatewayClient {
    address: SocketAddr,
    idle: Mutex<Vec<TcpStream>>,
    room: Semaphore,
    http2: Option<Pool>,
}

/// What an answer says.
struct Reply {
    status: u16,
    right: bool,
    hold_off: f64,
    ticket: Option<String>,
}

/// A try to be sent.
pub(super) struct Due {
    /// Microseconds from the start.
    pub(super) at: u64,
    /// Which of the planned.
    pub(super) ask: u32,
    /// 0 for the first try.
    pub(super) number: u32,
    pub(super) ticket: Option<String>,
    /// The gateway, counted on over all of them.
    pub(super) gateway: usize,
}

/// A try that has ended.
pub(super) struct Ended {
    pub(super) done: Try,
    pub(super) gateway: usize,
    /// The ticket that it was given.
    pub(super) ticket: Option<String>,
}

impl GatewayClient {
    pub(super) fn new(address: SocketAddr, connections: usize, http2: bool) -> Self {
        Self {
            address,
            idle: Mutex::new(Vec::new()),
            room: Semaphore::new(connections),
            http2: http2.then(|| Pool::new(address, connections)),
        }
    }

    /// Sends a request and waits for what becomes of it.
    pub(super) async fn try_once(&self, due: &Due, ask: &Ask<'_>, start: Instant) -> (Try, Option<String>) {
        let wait = GIVE_UP_MS[ask.class];
        let whole = Duration::from_millis(wait) + LOST_AFTER;
        let reply = match &self.http2 {
            Some(pool) => tokio::time::timeout(whole, ask_http2(pool, ask, wait)).await,
            None => tokio::time::timeout(whole, self.ask_http1(ask, wait)).await,
        };
        let took_ms = (start.elapsed().as_secs_f64() * 1000.0 - due.at as f64 / 1000.0) as f32;
        let done = |fate, told_ms| Try {
            ask: due.ask,
            number: due.number,
            id: ask.id,
            due: due.at,
            took_ms,
            fate,
            told_ms,
        };
        match reply {
            Ok(Ok(reply)) => (done(reply.fate(), (reply.hold_off * 1000.0) as f32), reply.ticket),
            Ok(Err(false)) => (done(Fate::Failed, 0.0), None),
            Ok(Err(true)) | Err(_) => (done(Fate::Lost, 0.0), None),
        }
    }

    /// Asks over HTTP/1.1; an error tells whether the request had been written whole.
    async fn ask_http1(&self, ask: &Ask<'_>, wait: u64) -> Result<Reply, bool> {
        let _room = self.room.acquire().await.map_err(|_| false)?;
        let mut fresh = false;
        loop {
            let kept = self.idle.lock().map_or(None, |mut idle| idle.pop());
            let mut socket = match kept {
                Some(socket) => socket,
                None => {
                    fresh = true;
                    let socket = TcpStream::connect(self.address).await.map_err(|_| false)?;
                    let _ = socket.set_nodelay(true);
                    socket
                }
            };
            match exchange(&mut socket, ask, wait).await {
                Ok((answer, reusable)) => {
                    if reusable {
                        if let Ok(mut idle) = self.idle.lock() {
                            idle.push(socket);
                        }
                    }
                    return Ok(Reply::of(&answer, ask));
                }
                // A close of a kept connection that crosses a request: once more on a new one.
                Err(_) if !fresh => {
                    if let Ok(mut idle) = self.idle.lock() {
                        idle.clear();
                    }
                }
                Err(written) => return Err(written),
            }
        }
    }
}

/// Asks over HTTP/2; an error tells whether the request had been written whole.
async fn ask_http2(pool: &Pool, ask: &Ask<'_>, wait: u64) -> Result<Reply, bool> {
    let answer = pool.exchange(ask, wait).await?;
    Ok(Reply::of(&answer, ask))
}

/// One try's request.
pub(crate) struct Ask<'a> {
    pub(crate) class: usize,
    pub(crate) id: u64,
    pub(crate) customer: u64,
    pub(crate) plan: &'a str,
    pub(crate) spread: usize,
    pub(crate) ticket: Option<&'a str>,
}

impl<'a> Ask<'a> {
    /// The request for what was planned.
    pub(super) fn new(
        planned: &Planned,
        id: u64,
        plan: &'a str,
        spread: usize,
        ticket: Option<&'a str>,
    ) -> Self {
        Self { class: planned.class, id, customer: planned.customer, plan, spread, ticket }
    }

    /// Method, path and body.
    pub(crate) fn target(&self) -> (&'static str, &'static str, &'static str) {
        match self.class {
            0 => ("GET", "/usage-view", ""),
            _ => ("POST", "/top-up", "pay=10"),
        }
    }

    pub(crate) fn headers(&self, wait: u64) -> Vec<(&'static str, String)> {
        let mut headers = vec![
            ("x-txn", format!("{:016x}", self.id)),
            ("x-tier", self.plan.to_string()),
            ("cookie", format!("client={:016x}", self.customer)),
            ("x-remaining-ms", wait.to_string()),
            ("x-call-terms", format!("units=1,spread={},first=0", self.spread)),
        ];
        headers.extend(self.ticket.map(|ticket| ("x-appointment", ticket.to_string())));
        headers
    }
}

/// One request and its answer, and whether the connection may be used again.
async fn exchange(socket: &mut TcpStream, ask: &Ask<'_>, wait: u64) -> Result<(Answer, bool), bool> {
    let (method, path, body) = ask.target();
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: portal\r\n");
    for (name, value) in ask.headers(wait) {
        text += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        text += &format!("Content-Length: {}\r\n", body.len());
    }
    text += "\r\n";
    text += body;
    socket.write_all(text.as_bytes()).await.map_err(|_| false)?;
    let mut bytes = Vec::with_capacity(512);
    loop {
        match socket.read_buf(&mut bytes).await {
            Ok(n) if n > 0 => {}
            _ => return Err(true),
        }
        match http1::answer(&bytes, false) {
            Parsed::Whole(answer, _, reusable) => return Ok((answer, reusable)),
            Parsed::Partial(_) => {}
            Parsed::Bad(..) => return Err(true),
        }
    }
}

impl Reply {
    fn of(answer: &Answer, ask: &Ask<'_>) -> Self {
        Self {
            status: answer.status,
            right: answer.body == format!("{:016x}", ask.id).as_bytes(),
            hold_off: retry_after(answer).unwrap_or(0.0),
            ticket: header(answer, "x-appointment"),
        }
    }

    fn fate(&self) -> Fate {
        match self.status {
            200 if self.right => Fate::Served,
            200 => Fate::Wrong,
            429 | 503 => Fate::Refused,
            _ => Fate::Failed,
        }
    }
}
