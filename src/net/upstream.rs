//! HTTP/1.1 connections to upstream hosts: one upstream request at a time on each.

mod leaving;
mod reuse;
#[cfg(test)]
mod tests;

pub(super) use reuse::{Host, Reuse};

use super::http1::{self, Parsed};
use super::message::{Answer, Coming, Message, MOST_BODY, MOST_HEAD};
use super::poll::Interest;
use super::relay::Feed;
use super::{Conn, Downstream, Due, Gateway};
use crate::core::{End, UpstreamId};
use crate::interface::{BackendId, Code, Millis};
use crate::memory::buffer::{Inbound, Outbound, ReadResult};
use crate::memory::pool::Token;
use socket2::{Domain, Protocol, Socket, Type};
use std::io;
use std::net::{SocketAddr, TcpStream};

/// Share of the time after which an upstream host closes an idle connection at which ours are closed.
/// Danger: a request written into that close would be a reset, and a `top-up` could not be sent again.
pub(super) const IDLE_SHARE: f64 = 0.5;
/// A probe without an answer by then has failed.
pub(super) const PROBE_WITHIN: Millis = 1000.0;

/// An answer that has begun and brings nothing more for this long will not become whole.
pub(super) const STALLED: Millis = 400.0;
/// Bytes of one answer after which it is no answer: head, body and the framing of its chunks.
const MOST_ANSWER: usize = 2 * MOST_HEAD + 2 * MOST_BODY;

/// A kept connection that breaks this soon after a request was written to it had been given up by its host.
const STALE_WITHIN: Millis = 25.0;

/// What a connection is opened or used for: a stream's request, with the time until which its answer is
/// waited for, or a probe, with its start.
pub(super) enum Job {
    Stream(UpstreamId, Millis),
    Probe(Millis),
}

/// One connection to an upstream host.
pub(super) struct Up {
    pub(super) socket: TcpStream,
    token: Token,
    host: BackendId,
    address: SocketAddr,
    connecting: bool,
    job: Option<Job>,
    pub(super) inbound: Inbound,
    pub(super) outbound: Outbound,
    interest: Interest,
    /// A long answer that it brings.
    pub(super) feed: Option<Feed>,
    /// More of its request's body is to come.
    pub(super) wants_body: bool,
    /// It has more of that body than it can write, and its reader waits.
    pub(super) full: bool,
    /// When it began to connect, was given its job, or became idle.
    since: Millis,
    /// When it last brought anything, and bytes of interim answers to its job.
    pub(super) read_at: Millis,
    interim: usize,
    /// It has served before.
    reused: bool,
}

impl Gateway {
    pub(super) fn place_host(&mut self, id: &BackendId, address: SocketAddr, http2: bool) {
        match self.hosts.get_mut(id) {
            Some(host) if host.address == address && host.http2 == http2 => {}
            Some(host) => {
                (host.address, host.http2) = (address, http2);
                self.close_idle(id);
            }
            None => {
                self.hosts.insert(
                    id.clone(),
                    Host { address, http2, idle: Vec::new(), heard: self.now, http2_token: None },
                );
            }
        }
    }

    pub(super) fn send(&mut self, id: UpstreamId, host: &BackendId, wait: Millis) {
        self.start(host, Job::Stream(id, self.now + wait));
    }

    pub(super) fn probe(&mut self, host: &BackendId) {
        self.start(host, Job::Probe(self.now));
    }

    /// Puts a job on an idle connection, or opens one for it.
    fn start(&mut self, host: &BackendId, job: Job) {
        if self.hosts.get(host).is_some_and(|h| h.http2) {
            let long = matches!(&job, Job::Stream(id, _) if self.exchanges.get(&id.0).is_some_and(|e| e.passing.is_some()));
            // Long bodies pass on over HTTP/1.1 only.
            return if long {
                self.job_over(host, job, End::NeverSent, None)
            } else {
                self.start_http2(host, job)
            };
        }
        let reuse = match &job {
            Job::Stream(id, _) => {
                let once = self.exchanges.get(&id.0).is_some_and(|exchange| exchange.once);
                self.reuse.allows(once)
            }
            Job::Probe(_) => true,
        };
        let now = self.now;
        while let Some(token) = self.hosts.get_mut(host).filter(|_| reuse).and_then(|h| h.settled(now)) {
            let Some(Conn::Up(mut up)) = self.slots.take(token) else { continue };
            // Danger: what came behind the last answer, a copy of it or noise, lies unread until the next
            // round. Written to now, it would pass for the answer to this request.
            if !is_quiet(&up.socket) {
                self.close_up(up, End::Reset);
                self.slots.release(token);
                continue;
            }
            up.job = Some(job);
            up.reused = true;
            if let Some(Job::Stream(id, _)) = up.job {
                self.in_flight.insert(id, token);
            } else {
                self.timers.push(self.now + PROBE_WITHIN, Due::Probe(token));
            }
            let kept = self.begin(token, up).map(Conn::Up);
            return self.keep(token, kept);
        }
        let room = self.upstreams < self.most_upstreams || self.close_any_idle();
        let address = self.hosts.get(host).map(|h| h.address).filter(|_| room);
        let connected = address.ok_or(io::ErrorKind::NotConnected.into()).and_then(|a| Ok((a, connect(a)?)));
        let token = self.slots.reserve();
        let interest = Interest { read: false, write: true };
        let added = connected.and_then(|up| self.poll.add(&up.1, token, interest).map(|()| up));
        let Ok((address, socket)) = added else {
            self.slots.release(token);
            return self.job_over(host, job, End::NeverSent, None);
        };
        self.upstreams += 1;
        self.core.counters.upstream_connections += 1;
        match job {
            Job::Stream(id, _) => drop(self.in_flight.insert(id, token)),
            Job::Probe(_) => self.timers.push(self.now + PROBE_WITHIN, Due::Probe(token)),
        }
        self.timers.push(self.now + self.told.connect_timeout, Due::Connect(token));
        let up = Up {
            socket,
            token,
            host: host.clone(),
            address,
            connecting: true,
            job: Some(job),
            inbound: Inbound::default(),
            outbound: Outbound::default(),
            interest,
            feed: None,
            wants_body: false,
            full: false,
            since: self.now,
            read_at: self.now,
            interim: 0,
            reused: false,
        };
        self.slots.put(token, Conn::Up(up));
    }

    /// Writes the request of a connection that is up.
    fn begin(&mut self, token: Token, mut up: Up) -> Option<Up> {
        up.since = self.now;
        up.interim = 0;
        match up.job {
            Some(Job::Stream(id, until)) => {
                // A connect takes time: whether it may still begin is looked at again at the first byte.
                let may_send = self.core.may_begin(id, &up.host, self.now);
                let exchange = self.exchanges.get_mut(&id.0).filter(|e| may_send && e.is_at_hand());
                let Some(exchange) = exchange else {
                    up.job = None;
                    let _ = self.upstream_ended(id, End::NeverSent, None);
                    return self.rest(token, up);
                };
                let wait = if exchange.passing.is_some() { exchange.wait } else { until - self.now };
                up.outbound.push(http1::request_head(&exchange.message, wait.max(1.0) as u64));
                let body = exchange.message.body.clone();
                match &mut exchange.passing {
                    Some(passing) => {
                        passing.to = Some(id);
                        up.wants_body = true;
                        let chunks = exchange.message.coming == Some(Coming::Chunks);
                        up.take_body(body, chunks, passing.whole);
                        if let Downstream::Http1(token) = exchange.downstream {
                            self.resumed.push(token);
                        }
                    }
                    None => up.outbound.push(body),
                }
            }
            Some(Job::Probe(since)) => {
                if !self.core.may_send_to(&up.host) {
                    up.job = None;
                    self.probed(up.host.clone(), Code::NotSent, since);
                    return self.rest(token, up);
                }
                let mut message =
                    Message { method: "GET".into(), target: "/stats".into(), ..Message::default() };
                message.header("Host", b"app.svc");
                up.outbound.push(http1::request_head(&message, PROBE_WITHIN as u64));
            }
            None => return self.rest(token, up),
        }
        self.up_ready(token, up, false, true)
    }

    /// Handles an event; gives the connection back unless it is closed.
    pub(super) fn up_ready(&mut self, token: Token, mut up: Up, read: bool, write: bool) -> Option<Up> {
        if up.connecting {
            if !read && !write {
                return Some(up);
            }
            if !matches!(up.socket.take_error(), Ok(None)) || up.socket.peer_addr().is_err() {
                return self.close_up(up, End::NotConnected);
            }
            up.connecting = false;
            return self.begin(token, up);
        }
        if !up.outbound.is_empty() {
            match up.outbound.write(&mut up.socket) {
                Ok(true) if matches!(up.job, Some(Job::Stream(..))) && !up.wants_body => {
                    self.core.metrics.backend_calls += 1;
                }
                Ok(_) => {}
                Err(_) => return self.close_up(up, End::NotConnected),
            }
            if up.full && up.outbound.len() <= self.room() / 2 {
                up.full = false;
                let exchange = up.stream().and_then(|id| self.exchanges.get(&id.0));
                if let Some(Downstream::Http1(token)) = exchange.map(|exchange| exchange.downstream) {
                    self.resumed.push(token);
                }
            }
        }
        if up.feed.is_some() {
            return self.feed_ready(token, up, read);
        }
        if read {
            up.read_at = self.now;
            loop {
                match up.inbound.read(&mut up.socket, &mut self.scratch) {
                    // Danger: an answer that keeps coming is read as fast as it is sent.
                    ReadResult::Data if up.inbound.bytes().len() > MOST_ANSWER => break,
                    ReadResult::Data => {}
                    ReadResult::Blocked => break,
                    got => return self.up_ended(up, got == ReadResult::Eof),
                }
            }
            // Interim answers say nothing of when the final one comes; what is cut short is looked at behind them.
            let interim = http1::interim(up.inbound.bytes());
            up.inbound.consume(interim);
            up.interim += interim;
            match http1::answer(up.inbound.bytes(), false) {
                Parsed::Partial(_) if up.interim > MOST_HEAD => return self.close_up(up, End::Error),
                Parsed::Partial(_) if up.inbound.bytes().len() > MOST_ANSWER => {
                    return self.close_up(up, End::Error)
                }
                Parsed::Partial(_) => {}
                Parsed::Bad(413, _) => return self.long_answer(token, up),
                Parsed::Bad(..) => return self.close_up(up, End::Error),
                Parsed::Whole(answer, used, reusable) => {
                    if up.job.is_none() {
                        // Nothing was asked: what comes would be taken for the next answer.
                        return self.close_up(up, End::Reset);
                    }
                    up.inbound.consume(used);
                    let clean = reusable && up.outbound.is_empty() && up.inbound.bytes().is_empty();
                    self.answered(&mut up, answer);
                    if !clean {
                        return self.close_up(up, End::Reset);
                    }
                    return self.rest(token, up);
                }
            }
            if up.job.is_none() {
                return self.close_up(up, End::Reset);
            }
        }
        self.watch_up(token, up)
    }

    pub(super) fn watch_up(&mut self, token: Token, mut up: Up) -> Option<Up> {
        let interest = up.wanted();
        if interest != up.interest {
            if self.poll.change(&up.socket, token, interest).is_err() {
                return self.close_up(up, End::Reset);
            }
            up.interest = interest;
        }
        Some(up)
    }

    /// The upstream host has ended its sending, or the connection broke.
    fn up_ended(&mut self, mut up: Up, in_order: bool) -> Option<Up> {
        if in_order && up.job.is_some() {
            if let Parsed::Whole(answer, ..) = http1::answer(up.inbound.bytes(), true) {
                self.answered(&mut up, answer);
            }
        }
        self.close_up(up, End::Reset)
    }

    /// A whole answer has come for the job at hand.
    fn answered(&mut self, up: &mut Up, answer: Answer) {
        let Some(job) = up.job.take() else { return };
        self.heard_from(up);
        let end = end_of(&answer);
        self.job_over(&up.host.clone(), job, end, Some(answer));
    }

    /// A host has answered on this connection.
    pub(super) fn heard_from(&mut self, up: &Up) {
        if up.reused {
            self.reuse.told(false);
        }
        if let Some(host) = self.hosts.get_mut(&up.host) {
            host.heard = self.now;
        }
    }

    pub(super) fn job_over(&mut self, host: &BackendId, job: Job, end: End, answer: Option<Answer>) {
        match job {
            Job::Stream(id, _) => drop(self.upstream_ended(id, end, answer)),
            Job::Probe(since) => {
                let code = match end {
                    End::Served => Code::Success,
                    End::TurnedAway => Code::Overloaded,
                    End::Error => Code::Failure,
                    End::NotConnected => Code::Unreachable,
                    End::Reset => Code::Reset,
                    End::NeverSent => Code::NotSent,
                };
                self.probed(host.clone(), code, since);
            }
        }
    }

    /// Closes a connection; a job on it ends as `end`, or as never run if its last byte was not written.
    pub(super) fn close_up(&mut self, mut up: Up, end: End) -> Option<Up> {
        self.poll.remove(&up.socket);
        self.upstreams -= 1;
        if let Some(feed) = up.feed.take() {
            self.cut(&feed);
        }
        if let Some(host) = self.hosts.get_mut(&up.host) {
            host.idle.retain(|(token, _)| *token != up.token);
        }
        if let Some(job) = up.job.take() {
            let unsent = up.connecting || !up.outbound.is_empty() || up.wants_body;
            let end = if unsent { End::NotConnected } else { end };
            if up.reused {
                self.reuse.told(end == End::Reset && self.now - up.since < STALE_WITHIN);
            }
            self.job_over(&up.host.clone(), job, end, None);
        }
        None
    }

    /// Lays a connection without a job by for the next one.
    pub(super) fn rest(&mut self, token: Token, mut up: Up) -> Option<Up> {
        let known = self.hosts.get(&up.host).is_some_and(|h| h.address == up.address);
        if !known
            || !self.core.may_send_to(&up.host)
            || self.stopping.is_some() && self.core.open_streams() == 0
        {
            return self.close_up(up, End::Reset);
        }
        // Where few are used again they would only pile up at the host.
        let spare = self.hosts.get(&up.host).is_some_and(|h| h.idle.len() >= 2);
        if spare && self.reuse.is_risky() {
            return self.close_up(up, End::Reset);
        }
        up.since = self.now;
        let host = up.host.clone();
        let up = self.watch_up(token, up)?;
        if let Some(host) = self.hosts.get_mut(&host) {
            host.idle.push((token, up.since));
        }
        Some(up)
    }
}

impl Up {
    /// The upstream request that it has in work.
    pub(super) fn stream(&self) -> Option<UpstreamId> {
        match self.job {
            Some(Job::Stream(id, _)) => Some(id),
            _ => None,
        }
    }

    /// Its upstream request has an answer.
    pub(super) fn take_stream(&mut self) -> Option<UpstreamId> {
        let id = self.stream()?;
        self.job = None;
        Some(id)
    }
}

/// What an upstream host's answer says of its request.
pub(super) fn end_of(answer: &Answer) -> End {
    match answer.status {
        200 => End::Served,
        503 | 504 if answer.turned_away => End::TurnedAway,
        _ => End::Error,
    }
}

/// Whether a connection is open and nothing lies unread on it.
fn is_quiet(socket: &TcpStream) -> bool {
    socket.peek(&mut [0]).is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
}

/// Begins to connect without waiting.
pub(super) fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&address.into()) {
        // 115 is EINPROGRESS, which the standard library names only in newer editions.
        Err(e) if e.raw_os_error() != Some(115) && e.kind() != io::ErrorKind::WouldBlock => Err(e),
        _ => Ok(socket.into()),
    }
}
